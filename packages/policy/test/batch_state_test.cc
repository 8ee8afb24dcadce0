#include "gypsumtrack/policy/batch_state.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace gypsumtrack::policy {

TEST_CASE("Batch rows are decoded as they were encoded") {
  rc::prop("a job", [] {
    BatchJob job;
    job.organisation.text = *rc::gen::arbitrary<std::string>();
    job.id.text = *rc::gen::arbitrary<std::string>();
    job.uid = *rc::gen::arbitrary<std::string>();
    job.state = *rc::gen::element(JobState::kOpen, JobState::kCancelled,
                                  JobState::kFinished);
    job.idempotent = *rc::gen::arbitrary<bool>();
    job.items = *rc::gen::arbitrary<std::uint64_t>();
    const auto decoded = DecodeJob(EncodeJob(job));
    RC_ASSERT(decoded.ok());
    RC_ASSERT(*decoded == job);
  });
  rc::prop("a holder", [] {
    HolderRow row;
    row.vm = *rc::gen::arbitrary<std::string>();
    row.chunk_keys = *rc::gen::arbitrary<std::vector<std::string>>();
    const auto decoded = DecodeHolder(EncodeHolder(row));
    RC_ASSERT(decoded.ok());
    RC_ASSERT(*decoded == row);
  });
  rc::prop("decoding any bytes yields a row or an error", [] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(!DecodeChunk(bytes).ok() || !bytes.empty());
  });
  SECTION("a chunk") {
    const ChunkRow row{7, "batch/holder/vm1/2/0", 160, 40, 16, "part", 1};
    const auto decoded = DecodeChunk(EncodeChunk(row));
    REQUIRE(decoded.ok());
    CHECK(*decoded == row);
    CHECK_FALSE(DecodeChunk("7\t").ok());
  }
}

TEST_CASE("Chunk keys contain the chunk number and the job uid") {
  const auto key = ChunkRowKey("u1", 42);
  CHECK(ChunkOfKey(key) == 42U);
  CHECK(UidOfKey(key) == "u1");
  CHECK(IsJobId("draw-2026.12"));
  CHECK_FALSE(IsJobId("a/b"));
  CHECK_FALSE(IsJobId(""));
}

}  // namespace gypsumtrack::policy
