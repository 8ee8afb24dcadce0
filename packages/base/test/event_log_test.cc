#include "gypsumtrack/base/event_log.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::base {
namespace {

TEST_CASE("a log line contains named values") {
  CHECK(FormatEvent("sent", {{"request", "9c41"}, {"load", 3}}) ==
        "event=sent request=9c41 load=3");
  SECTION("values with spaces, quotes or line feeds are quoted on one line") {
    CHECK(FormatEvent("note", {{"text", "a \"b\"\nc"}}) ==
          "event=note text=\"a \\\"b\\\" c\"");
    CHECK(FormatEvent("note", {{"text", ""}}) == "event=note text=\"\"");
  }
}

TEST_CASE("the log buffer drops and counts lines above its limits") {
  detail::LogBuffer buffer(1000, 300);
  const std::string line(100, 'x');
  SECTION("bytes accepted per second are limited") {
    for (int i = 0; i < 10; ++i) buffer.Add(line, 5000);
    CHECK(buffer.totals().lines == 3);
    CHECK(buffer.totals().dropped == 7);
    CHECK(buffer.Add(line, 6000));
    SECTION("the next output reports the number of dropped lines") {
      const auto text = buffer.TakeAll();
      CHECK(text.starts_with("event=log_dropped lines=7\n"));
      CHECK(buffer.TakeAll().empty());
    }
  }
  SECTION("queued bytes are limited") {
    for (std::uint64_t second = 0; second < 30; ++second) {
      buffer.Add(line, second * 1000);
    }
    CHECK(buffer.TakeAll().size() <= 1100);
  }
}

}  // namespace
}  // namespace gypsumtrack::base
