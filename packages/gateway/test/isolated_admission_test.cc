#include "gypsumtrack/gateway/isolated_admission.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace gypsumtrack::gateway {
namespace {

AdmissionDecision Ask(const AdmitHook& admit, const policy::Rule& rule) {
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

TEST_CASE("a rule refuses in a domain that is cut off") {
  bool isolated = true;
  const auto admit = RefuseWhenIsolated(
      [&] { return isolated; }, base::SystemClock(),
      [](const policy::Rule&, base::Instant)
          -> boost::asio::awaitable<Admission> { co_return Admission{}; });
  policy::Rule rule;
  CHECK(Ask(admit, rule) == AdmissionDecision::kAdmitted);
  rule.isolated = policy::IsolatedMode::kRefuse;
  CHECK(Ask(admit, rule) == AdmissionDecision::kIsolated);
  isolated = false;
  CHECK(Ask(admit, rule) == AdmissionDecision::kAdmitted);
}

}  // namespace
}  // namespace gypsumtrack::gateway
