#ifndef GYPSUMTRACK_POLICY_RUN_STATE_H_
#define GYPSUMTRACK_POLICY_RUN_STATE_H_

#include "gypsumtrack/base/enum_table.h"

/// What is known of whether an endpoint ran a request.
namespace gypsumtrack::policy {

enum class RunState {
  kNotRun,   ///< no byte left, or the endpoint refused it before running
  kUnknown,  ///< sent, and no whole answer came
  kRan,      ///< the endpoint answered
};

/// As in the response header `Gypsumtrack-Run`.
inline constexpr auto kRunStateNames = base::MakeEnumTable<RunState>({
    {RunState::kNotRun, "not-run"},
    {RunState::kUnknown, "unknown"},
    {RunState::kRan, "ran"},
});

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_RUN_STATE_H_
