#ifndef GYPSUMTRACK_TESTING_CROWD_CROWD_CASES_H_
#define GYPSUMTRACK_TESTING_CROWD_CROWD_CASES_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "gypsumtrack/base/enum_table.h"

/// The crowds of clients that the crowd test plays.
namespace gypsumtrack::testing {

/// What each client of a crowd does. None ends its request.
enum class CrowdShape {
  kWholeBody,        ///< a legal body in one piece, all but its last byte
  kPieces,           ///< the same in small pieces, in turns
  kChunks,           ///< the same in chunks
  kOversized,        ///< a body far over the limit, with its length
  kOversizedChunks,  ///< the same in chunks
  kExpectContinue,   ///< a legal body, announced by Expect: 100-continue
  kShortFields,      ///< a legal head of very many short fields, half a body
  kShortMembers,     ///< a complete JSON body of very many short members
  kDeepNesting,      ///< a complete JSON body of deeply nested arrays
  kPipelined,        ///< many requests ahead, whose answers aren't read
  kHalfHead,         ///< a part of a head
  kSilent,           ///< nothing
  kUnreadAnswers,    ///< requests of large answers that aren't read
};

/// Where the requests of a crowd go.
enum class CrowdTarget {
  kRoute,         ///< a route, with a key
  kWrongKey,      ///< a route, with a key that nobody holds
  kNoKey,         ///< a route, without a key
  kNoRoute,       ///< a path without a route
  kBatchRoute,    ///< a route for batch jobs, with a key
  kJobResults,    ///< the results of a job
  kReadyPath,     ///< the path of the readiness check, at its address
  kCallersReady,  ///< the same path at the callers' address
  kMetrics,       ///< the metrics address
};

inline constexpr auto kCrowdShapeNames = base::MakeEnumTable<CrowdShape>({
    {CrowdShape::kWholeBody, "whole-body"},
    {CrowdShape::kPieces, "pieces"},
    {CrowdShape::kChunks, "chunks"},
    {CrowdShape::kOversized, "oversized"},
    {CrowdShape::kOversizedChunks, "oversized-chunks"},
    {CrowdShape::kExpectContinue, "expect-continue"},
    {CrowdShape::kShortFields, "short-fields"},
    {CrowdShape::kShortMembers, "short-members"},
    {CrowdShape::kDeepNesting, "deep-nesting"},
    {CrowdShape::kPipelined, "pipelined"},
    {CrowdShape::kHalfHead, "half-head"},
    {CrowdShape::kSilent, "silent"},
    {CrowdShape::kUnreadAnswers, "unread-answers"},
});

inline constexpr auto kCrowdTargetNames = base::MakeEnumTable<CrowdTarget>({
    {CrowdTarget::kRoute, "route"},
    {CrowdTarget::kWrongKey, "wrong-key"},
    {CrowdTarget::kNoKey, "no-key"},
    {CrowdTarget::kNoRoute, "no-route"},
    {CrowdTarget::kBatchRoute, "batch"},
    {CrowdTarget::kJobResults, "results"},
    {CrowdTarget::kReadyPath, "ready"},
    {CrowdTarget::kCallersReady, "callers-ready"},
    {CrowdTarget::kMetrics, "metrics"},
});

/// Limits of the daemon, lowered so that a small crowd exceeds them.
inline constexpr std::size_t kMemoryLimitMb = 64;
inline constexpr std::size_t kDescriptorLimit = 400;
inline constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 20;
inline constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024;

/// Number of clients of a crowd.
std::size_t CrowdSize(CrowdShape shape);

/// Returns what a client sends, in the pieces that are sent in turns.
std::vector<std::string> CrowdPieces(CrowdShape shape, CrowdTarget target);

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_CROWD_CROWD_CASES_H_
