#include "gypsumtrack/policy/batch_chunk.h"

#include <catch2/catch.hpp>

namespace gypsumtrack::policy {
namespace {

const base::EndpointId kEndpoint("e0");

/// A chunk whose item 0 is complete. A healthy endpoint rejected item 1 once,
/// so that it waits for another healthy one.
class WaitingChunk {
 public:
  WaitingChunk() : run({"a", "b"}, true, {}, ChunkRow{}, {}) {
    this->Run(0, ItemOutcome::kCompleted);
    this->Run(1, ItemOutcome::kRejected);
  }

  void Probe(ItemOutcome outcome, bool any_healthy) {
    REQUIRE(this->run.ProbeItem() == 0);
    this->run.EndProbe(outcome, any_healthy);
  }

  /// As many failed probes as the chunk bears, but one.
  void FailAllProbesButOne() {
    for (std::uint32_t i = 1; i < PoisonOptions().max_failed_probes; ++i) {
      this->Probe(ItemOutcome::kEndpointFailed, false);
    }
  }

  ChunkRun run;

 private:
  void Run(std::uint32_t item, ItemOutcome outcome) {
    this->run.Start({item, false});
    this->run.End(item, kEndpoint, false, /*known_healthy=*/true,
                  {outcome, "", ""});
  }
};

TEST_CASE("an item waits for a healthy endpoint") {
  WaitingChunk chunk;
  CHECK_FALSE(chunk.run.NextItem(kEndpoint, /*known_healthy=*/false));
  CHECK(chunk.run.NextItem(kEndpoint, /*known_healthy=*/true)->item == 1);
  SECTION("it is left to other VMs if the probes fail") {
    chunk.FailAllProbesButOne();
    CHECK_FALSE(chunk.run.AllRemainingDeferred());
    SECTION("with an error") {
      chunk.Probe(ItemOutcome::kEndpointFailed, false);
      CHECK(chunk.run.AllRemainingDeferred());
    }
    SECTION("with a rejection of what was completed before") {
      chunk.Probe(ItemOutcome::kRejected, false);
      CHECK(chunk.run.AllRemainingDeferred());
    }
    SECTION("and there is nothing left to probe for") {
      chunk.Probe(ItemOutcome::kEndpointFailed, false);
      CHECK_FALSE(chunk.run.ProbeItem());
    }
  }
  SECTION("it stays here if a probe completes") {
    chunk.FailAllProbesButOne();
    chunk.Probe(ItemOutcome::kCompleted, true);
    chunk.FailAllProbesButOne();
    CHECK_FALSE(chunk.run.AllRemainingDeferred());
  }
  SECTION("it stays here if another endpoint is healthy") {
    chunk.FailAllProbesButOne();
    chunk.Probe(ItemOutcome::kEndpointFailed, true);
    CHECK_FALSE(chunk.run.AllRemainingDeferred());
  }
  SECTION("it stays here if the probes weren't run") {
    chunk.FailAllProbesButOne();
    chunk.Probe(ItemOutcome::kNotRun, false);
    chunk.Probe(ItemOutcome::kStopped, false);
    CHECK_FALSE(chunk.run.AllRemainingDeferred());
  }
}

}  // namespace
}  // namespace gypsumtrack::policy
