#include <fmt/format.h>

#include <atomic>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <new>
#include <string>
#include <vector>

#include "bench.h"
#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/policy/access.h"
#include "gypsumtrack/policy/limit_node.h"
#include "gypsumtrack/policy/membership.h"
#include "gypsumtrack/policy/router.h"
#include "gypsumtrack/policy/token_bucket.h"
#include "gypsumtrack/telemetry/service_level.h"

/// Measures the memory per object and the processor time per operation, from
/// which docs/CAPACITY.md is calculated.
namespace {

std::atomic<std::uint64_t> live_bytes = 0;

/// Each block is preceded by its size, so that operator delete can subtract it
/// from `live_bytes`. The header keeps the block's alignment.
constexpr std::size_t kBlockHeaderBytes = alignof(std::max_align_t);

}  // namespace

void* operator new(std::size_t size) {
  void* block = std::malloc(size + kBlockHeaderBytes);
  if (block == nullptr) std::abort();
  *static_cast<std::size_t*>(block) = size;
  live_bytes += size;
  return static_cast<char*>(block) + kBlockHeaderBytes;
}

void operator delete(void* pointer) noexcept {
  if (pointer == nullptr) return;
  void* block = static_cast<char*>(pointer) - kBlockHeaderBytes;
  live_bytes -= *static_cast<std::size_t*>(block);
  std::free(block);
}

void operator delete(void* pointer, std::size_t /*size*/) noexcept {
  operator delete(pointer);
}

namespace gypsumtrack::bench {
namespace {

using policy::kMicroRequestsPerRequest;

constexpr std::uint64_t kOrganisations = 1300;
constexpr std::uint64_t kRulesPerOrganisation = 4;
constexpr std::uint64_t kEndpoints = 6400;
constexpr std::uint64_t kModels = 7;
constexpr std::uint64_t kDomains = 7;
constexpr const char* kSecret = "0123456789abcdef";

std::string ApiKeyOf(std::uint64_t organisation, std::uint64_t key) {
  return fmt::format("gt_{:024x}{:024x}", organisation, key);
}

std::string OrganisationName(std::uint64_t number) {
  return fmt::format("organisation-{:05}", number);
}

policy::Rule MakeRule(std::uint64_t organisation, std::uint64_t number) {
  policy::Rule rule;
  rule.id.organisation = base::Organisation(OrganisationName(organisation));
  rule.id.service = base::Service("clockdesk");
  rule.id.model = base::Model(fmt::format("model-{}", number));
  rule.rate_per_second = 4;
  rule.burst = 8;
  rule.comment = "events office: national cup";
  return rule;
}

std::shared_ptr<policy::AccessSnapshot> MakeAccessSnapshot(
    std::uint64_t organisations) {
  policy::RuleSet rules;
  std::vector<policy::KeyGrant> grants;
  for (std::uint64_t organisation = 0; organisation < organisations;
       ++organisation) {
    for (std::uint64_t n = 0; n < kRulesPerOrganisation; ++n) {
      rules.push_back(MakeRule(organisation, n));
      grants.push_back({base::HmacSha256Hex(kSecret, ApiKeyOf(organisation, n)),
                        base::Organisation(OrganisationName(organisation)),
                        fmt::format("desk-{}", n)});
    }
  }
  return std::make_shared<policy::AccessSnapshot>(
      1, std::move(rules), std::move(grants), std::set<std::string>());
}

base::Location LocationOf(std::uint64_t number) {
  return {base::FailureDomain(fmt::format("domain-{}", number % kDomains)),
          base::Region(fmt::format("region-{}", number % kDomains % 3))};
}

std::unique_ptr<policy::FleetView> MakeFleetView(std::uint64_t endpoints) {
  auto view = std::make_unique<policy::FleetView>();
  view->location = LocationOf(0);
  for (std::uint64_t n = 0; n < endpoints; ++n) {
    policy::Endpoint endpoint;
    endpoint.id = base::EndpointId(fmt::format("worker-{:05}", n));
    endpoint.address = fmt::format("10.1.{}.{}:8090", n / 250, n % 250);
    endpoint.location = LocationOf(n);
    endpoint.service = base::Service("clockdesk");
    endpoint.models = {base::Model(fmt::format("model-{}", n / 7 % kModels))};
    endpoint.slots = 8;
    view->endpoints.push_back(std::move(endpoint));
  }
  return view;
}

std::unique_ptr<policy::EndpointRouter> MakeRouter(std::uint64_t endpoints) {
  const auto view = MakeFleetView(endpoints);
  auto router =
      std::make_unique<policy::EndpointRouter>(policy::RouterOptions{});
  router->OnView(*view);
  for (const auto& endpoint : view->endpoints) {
    router->OnReport({endpoint.id, base::Instant(base::Duration(1)), 4});
  }
  return router;
}

std::unique_ptr<policy::Membership> MakeMembership(std::uint64_t vms) {
  auto membership = std::make_unique<policy::Membership>(
      policy::MembershipOptions{}, base::VmId{"vm-00000", 1}, "10.0.0.1:8082",
      LocationOf(0), 1);
  std::vector<base::ListedVm> listed;
  for (std::uint64_t n = 1; n <= vms; ++n) {
    base::ListedVm vm;
    vm.name = fmt::format("vm-{:05}", n);
    vm.address = fmt::format("10.0.{}.{}:8082", n / 250, n % 250);
    vm.location = LocationOf(n);
    listed.push_back(std::move(vm));
  }
  membership->HandleList(base::Instant(base::Duration(1)), listed);
  return membership;
}

std::unique_ptr<policy::LimitNode> MakeLimitNode(std::uint64_t count) {
  auto node = std::make_unique<policy::LimitNode>(
      policy::LimitSettings{}, policy::LimitPeer{{"vm-1", 1}, "10.0.0.1:8082"},
      LocationOf(0));
  std::map<policy::LimitKey, policy::Limit> limits;
  for (std::uint64_t n = 0; n < count; ++n) {
    limits[policy::LimitKey(fmt::format("organisation-{:05}", n))] = {
        {4 * kMicroRequestsPerRequest, 8 * kMicroRequestsPerRequest}};
  }
  (void)node->OnRules(1, std::move(limits), base::Instant(base::Duration(1)));
  return node;
}

std::unique_ptr<telemetry::ServiceLevels> MakeServiceLevels(
    std::uint64_t series) {
  auto levels = std::make_unique<telemetry::ServiceLevels>();
  for (std::uint64_t n = 0; n < series; ++n) {
    levels->Record(
        {base::Organisation(OrganisationName(n)), base::Service("clockdesk")},
        telemetry::ServiceEvent::kServed, {},
        base::WallTime(std::chrono::hours(1)));
  }
  return levels;
}

/// Prints the memory of each additional object: the difference between
/// `2 * count` and `count` objects, divided by `count`. Fixed costs cancel out.
template <typename Make>
void PrintBytesPerObject(const char* name, std::uint64_t count, Make make) {
  const auto measure = [&](std::uint64_t objects) {
    const std::uint64_t before = live_bytes;
    const auto object = make(objects);
    return live_bytes - before;
  };
  const auto bytes_at_count = measure(count);
  const auto bytes_at_double_count = measure(2 * count);
  fmt::print("| {} | {:.0f} |\n", name,
             static_cast<double>(bytes_at_double_count - bytes_at_count) /
                 static_cast<double>(count));
}

double ProcessorNanoseconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  constexpr double kNanosPerSecond = 1e9;
  return static_cast<double>(now.tv_sec) * kNanosPerSecond +
         static_cast<double>(now.tv_nsec);
}

/// A named operation whose processor time is measured.
struct Operation {
  std::string name;
  std::function<void(std::uint64_t)> run;
};

std::vector<Operation> MakeOperations() {
  std::vector<Operation> operations;
  auto access = MakeAccessSnapshot(kOrganisations);
  operations.push_back({"hash_key", [](std::uint64_t i) {
                          (void)base::HmacSha256Hex(kSecret, ApiKeyOf(i, 1));
                        }});
  const auto hash = base::HmacSha256Hex(kSecret, ApiKeyOf(7, 1));
  operations.push_back(
      {"find_rule", [access, hash](std::uint64_t i) {
         const auto organisation = access->FindOrganisation(hash);
         const auto model =
             base::Model(fmt::format("model-{}", i % kRulesPerOrganisation));
         (void)access->FindRule(
             *organisation, {base::Service("clockdesk"), model, "POST", "/v1"});
       }});
  auto slice = std::make_shared<policy::TokenSlice>();
  const auto expiry = base::Instant(std::chrono::hours(1));
  operations.push_back({"take_token", [slice, expiry](std::uint64_t i) {
                          if (i % 1024 == 0) (void)slice->Add(1024, expiry);
                          (void)slice->TryTake(base::Instant());
                        }});
  std::shared_ptr<policy::FleetView> view = MakeFleetView(kEndpoints);
  std::shared_ptr<policy::EndpointRouter> router = MakeRouter(kEndpoints);
  operations.push_back(
      {"choose_endpoint", [view, router](std::uint64_t i) {
         policy::RouteRequest request;
         request.service = base::Service("clockdesk");
         request.model = base::Model(fmt::format("model-{}", i % kModels));
         request.affinity_key = fmt::format("prompt-{}", i);
         request.seed = i;
         (void)router->Choose(*view, request, base::Instant(base::Duration(2)));
       }});
  std::shared_ptr<telemetry::ServiceLevels> levels =
      MakeServiceLevels(kOrganisations);
  operations.push_back({"record_service_level", [levels](std::uint64_t i) {
                          levels->Record(
                              {base::Organisation(OrganisationName(i % 1300)),
                               base::Service("clockdesk")},
                              telemetry::ServiceEvent::kServed, {},
                              base::WallTime(std::chrono::hours(1)));
                        }});
  return operations;
}

void PrintProcessorTimes() {
  constexpr std::uint64_t kIterations = 2000;
  fmt::print("| operation | processor time, us |\n|---|---|\n");
  for (const auto& operation : MakeOperations()) {
    const double before = ProcessorNanoseconds();
    for (std::uint64_t i = 0; i < kIterations; ++i) operation.run(i);
    const double elapsed = ProcessorNanoseconds() - before;
    fmt::print("| {} | {:.2f} |\n", operation.name,
               elapsed / static_cast<double>(kIterations) / 1000);
  }
}

void PrintMemory() {
  fmt::print("| one more | bytes |\n|---|---|\n");
  PrintBytesPerObject("organisation with 4 rules and 4 keys", 200,
                      MakeAccessSnapshot);
  PrintBytesPerObject("limit of an organisation", 500, MakeLimitNode);
  PrintBytesPerObject("VM in membership", 50, MakeMembership);
  PrintBytesPerObject("endpoint in the fleet view", 500, MakeFleetView);
  PrintBytesPerObject("endpoint in the router", 500, MakeRouter);
  PrintBytesPerObject("organisation and service in service levels", 200,
                      MakeServiceLevels);
}

/// Runs `operation NAME COUNT` for callgrind. The difference between the
/// instruction counts of two COUNTs gives the cost of one operation.
int RunOperation(const std::string& name, const std::string& count_text) {
  std::uint64_t count = 0;
  std::from_chars(count_text.data(), count_text.data() + count_text.size(),
                  count);
  for (const auto& operation : MakeOperations()) {
    if (operation.name != name) continue;
    for (std::uint64_t i = 0; i < count; ++i) operation.run(i);
    return 0;
  }
  fmt::print(stderr, "unknown operation \"{}\"\n", name);
  return 2;
}

}  // namespace

int BenchCapacity(const std::vector<std::string>& args) {
  if (args.size() == 3 && args[0] == "operation") {
    return RunOperation(args[1], args[2]);
  }
  PrintMemory();
  fmt::print("\n");
  PrintProcessorTimes();
  return 0;
}

}  // namespace gypsumtrack::bench
