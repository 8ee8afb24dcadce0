#include "gypsumtrack/policy/client_memory.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::Instant kStart(seconds(100));
constexpr ClientMemoryOptions kOptions{
    .limit_bytes = 1000, .large_fraction = 0.75, .small_bytes = 50};

// Guards against a process that runs out of memory for bodies that never end.
TEST_CASE("clients hold no more than the limit together") {
  ClientMemory memory(kOptions);
  const auto first = memory.Add();
  const auto second = memory.Add();
  CHECK(memory.TryGrow(first, 700));
  SECTION("large requests fill a part of it") {
    CHECK_FALSE(memory.TryGrow(second, 100));
    CHECK(memory.held_bytes() == 700);
    SECTION("the rest is kept for small ones") {
      CHECK(memory.TryGrow(second, 50));
      CHECK_FALSE(memory.TryGrow(second, 10));
    }
  }
  SECTION("what ends makes room") {
    memory.Release(first);
    CHECK(memory.TryGrow(second, 700));
    memory.Remove(second);
    CHECK(memory.held_bytes() == 0);
  }
  SECTION("answers are held in any case, and make the account full") {
    memory.Grow(second, 500);
    CHECK(memory.is_full());
  }
}

// Guards against a crowd that stops just short of its end and keeps the room.
TEST_CASE("who stalls with the most for the longest is cut off first") {
  ClientMemory memory(kOptions);
  std::vector<ClientMemory::HolderId> ids;
  for (int i = 0; i < 3; ++i) ids.push_back(memory.Add());
  memory.Grow(ids[0], 100);
  memory.Grow(ids[1], 300);
  memory.Grow(ids[2], 600);
  memory.OnClientAwaited(ids[0], kStart);
  memory.OnClientAwaited(ids[1], kStart);
  SECTION("nobody while all make progress") {
    CHECK_FALSE(memory.TakeStalled(kStart + milliseconds(900)));
    memory.OnClientAwaited(ids[1], kStart + milliseconds(900));
    CHECK(memory.TakeStalled(kStart + milliseconds(1500)) == ids[0]);
  }
  SECTION("each once, and never a request that the daemon works on") {
    const auto now = kStart + seconds(5);
    CHECK(memory.TakeStalled(now) == ids[1]);
    CHECK(memory.TakeStalled(now) == ids[0]);
    CHECK_FALSE(memory.TakeStalled(now));
  }
  SECTION("nobody who holds nothing") {
    memory.Release(ids[1]);
    CHECK(memory.TakeStalled(kStart + seconds(5)) == ids[0]);
    CHECK_FALSE(memory.TakeStalled(kStart + seconds(5)));
  }
}

// Guards against JSON whose values take many times the memory of its text.
TEST_CASE("the memory of parsed JSON is estimated by its values") {
  const std::string text(1000, 'x');
  CHECK(EstimateParsedBytes("\"" + text + "\"") < 1100);
  std::string values = "[";
  for (int i = 0; i < 500; ++i) values += "1,";
  CHECK(EstimateParsedBytes(values) > 20 * values.size());
}

}  // namespace
}  // namespace gypsumtrack::policy
