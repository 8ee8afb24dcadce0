#include "gypsumtrack/gateway/isolated_admission.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace gypsumtrack::gateway {
namespace {

AdmissionDecision Decide(const AdmitHook& admit, const policy::Rule& rule) {
  boost::asio::io_context context;
  auto decision = AdmissionDecision::kNotReady;
  boost::asio::co_spawn(
      context,
      [&]() -> boost::asio::awaitable<void> {
        const auto admission = co_await admit(rule, base::kNever);
        decision = admission.decision;
      },
      boost::asio::detached);
  context.run();
  return decision;
}

TEST_CASE("a rule with isolated=refuse refuses in an isolated domain") {
  bool isolated = true;
  const auto admit = RefuseWhenIsolated(
      [&] { return isolated; }, base::SystemClock(),
      [](const policy::Rule&, base::Instant)
          -> boost::asio::awaitable<Admission> { co_return Admission{}; });
  policy::Rule rule;
  CHECK(Decide(admit, rule) == AdmissionDecision::kAdmitted);
  rule.isolated = policy::IsolatedMode::kRefuse;
  CHECK(Decide(admit, rule) == AdmissionDecision::kIsolated);
  isolated = false;
  CHECK(Decide(admit, rule) == AdmissionDecision::kAdmitted);
}

}  // namespace
}  // namespace gypsumtrack::gateway
