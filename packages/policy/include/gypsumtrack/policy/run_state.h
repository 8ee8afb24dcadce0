#ifndef GYPSUMTRACK_POLICY_RUN_STATE_H_
#define GYPSUMTRACK_POLICY_RUN_STATE_H_

#include "gypsumtrack/base/enum_table.h"

/// Whether an endpoint has run a request.
namespace gypsumtrack::policy {

/// What is known of the execution of a request.
enum class RunState {
  kNotRun,  ///< Nothing was sent, or the endpoint refused it before running it.
  kUnknown,  ///< The request was sent but no complete response was received.
  kRan,      ///< The endpoint has responded.
};

/// Values of the response header `Gypsumtrack-Run`.
inline constexpr auto kRunStateNames = base::MakeEnumTable<RunState>({
    {RunState::kNotRun, "not-run"},
    {RunState::kUnknown, "unknown"},
    {RunState::kRan, "ran"},
});

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_RUN_STATE_H_
