#include "gypsumtrack/gateway/config_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <map>

#include "gypsumtrack/platform/memory_platform.h"
#include "gypsumtrack/policy/rule.h"

namespace gypsumtrack::gateway {
namespace {

constexpr const char* kRules =
    "allow org=cairo service=clockdesk rate=4/s burst=8  # events office\n";

/// Configuration services of several daemons that share an in-memory table and
/// run on one thread.
class Fleet {
 public:
  /// Creates all VMs before the first service, since services poll the view of
  /// the fleet from the start.
  explicit Fleet(int size) {
    for (int i = 0; i < size; ++i) this->AddRuntime(i);
    for (auto& vm : this->vms) {
      vm.service = std::make_unique<ConfigService>(
          vm.runtime, [this, &vm] { return this->ViewOf(vm); });
      vm.service->Start();
    }
  }

  ~Fleet() {
    for (auto& vm : this->vms) vm.service->Stop();
    this->context.poll();
  }

  ConfigService& service(std::size_t i) {  // NOLINT
    return *this->vms[i].service;
  }

  /// Runs events until the condition holds. Returns false if it doesn't hold
  /// after `kMaxEvents` events.
  template <typename Condition>
  bool RunUntil(Condition condition) {
    constexpr int kMaxEvents = 200'000;
    for (int i = 0; i < kMaxEvents && !condition(); ++i) {
      this->context.run_one();
    }
    return condition();
  }

  /// Submits a proposal to daemon `i` and waits for the result.
  base::Outcome<policy::AppendResult> Submit(std::size_t i,
                                             policy::ProposalBody body) {
    std::optional<base::Outcome<policy::AppendResult>> result;
    policy::Proposal proposal;
    proposal.operation_id = "op-" + std::to_string(this->operations++);
    proposal.author = "amira";
    proposal.body = std::move(body);
    this->service(i).Submit(proposal, [&](auto outcome) { result = outcome; });
    this->RunUntil([&] { return result.has_value(); });
    return *result;
  }

  /// Whether requests to the table fail.
  bool table_unavailable = false;  // NOLINT

 private:
  struct Vm {
    Runtime runtime;
    std::map<std::string, peer::NoticeHandler> notices;
    std::shared_ptr<const policy::FleetView> view;
    std::unique_ptr<ConfigService> service;
  };

  void AddRuntime(int index) {
    auto& vm = this->vms.emplace_back();
    auto& runtime = vm.runtime;
    runtime.self = {"vm-" + std::to_string(index), 1};
    runtime.settings.location = {base::FailureDomain("delta-cairo"),
                                 base::Region("delta")};
    runtime.clock = base::SystemClock();
    runtime.control = boost::asio::make_strand(this->context);
    runtime.pool = this->context.get_executor();
    runtime.platform.table.commit = [this](const base::TableCommit& commit,
                                           base::Instant /*deadline*/,
                                           const base::CommitHandler& done) {
      boost::asio::post(this->context, [this, commit, done] {
        done(this->table_unavailable ? Unavailable<base::Done>()
                                     : this->platform.Commit(commit));
      });
    };
    runtime.platform.table.scan = [this](const base::TableScan& scan,
                                         base::Instant /*deadline*/,
                                         const base::ScanHandler& done) {
      boost::asio::post(this->context, [this, scan, done] {
        done(this->table_unavailable
                 ? Unavailable<base::ScanReply>()
                 : base::Outcome<base::ScanReply>(this->platform.Scan(scan)));
      });
    };
    runtime.peers.on_notice = [&vm](const std::string& method,
                                    peer::NoticeHandler handler) {
      vm.notices[method] = std::move(handler);
    };
    runtime.peers.notify = [this, &vm](const std::string& address,
                                       const std::string& method,
                                       const Json::Value& params) {
      for (auto& other : this->vms) {
        if (other.runtime.self.name != address) continue;
        boost::asio::post(this->context, [&other, &vm, method, params] {
          other.notices[method](vm.runtime.self, params);
        });
      }
    };
  }

  template <typename T>
  static base::Outcome<T> Unavailable() {
    return base::Error(base::Errc::kUnavailable, "table unavailable");
  }

  std::shared_ptr<const policy::FleetView> ViewOf(Vm& vm) {
    if (vm.view != nullptr) return vm.view;
    auto view = std::make_shared<policy::FleetView>();
    view->self = vm.runtime.self;
    view->location = vm.runtime.settings.location;
    for (const auto& other : this->vms) {
      const auto& id = other.runtime.self;
      if (id == view->self) continue;
      view->peers.push_back(
          {id, id.name, view->location, policy::PeerState::kLive});
    }
    vm.view = view;
    return vm.view;
  }

  boost::asio::io_context context;
  platform::MemoryPlatform platform;
  std::deque<Vm> vms;
  int operations = 0;
};

TEST_CASE("configuration changes reach all daemons") {
  Fleet fleet(3);
  const auto all_services = [&](auto condition) {
    return fleet.RunUntil([&] {
      return condition(fleet.service(0)) && condition(fleet.service(1)) &&
             condition(fleet.service(2));
    });
  };
  REQUIRE(all_services([](const auto& service) { return service.ready(); }));
  CHECK(fleet.service(0).Access()->revision() == 0);

  const auto rules = policy::ParseRules(kRules);
  REQUIRE(rules.ok());
  const auto applied = fleet.Submit(1, policy::RulesFile{*rules});
  REQUIRE(applied.ok());
  CHECK(applied->revision == 1);
  const auto granted = fleet.Submit(
      2, policy::KeyGrant{"hash", base::Organisation("cairo"), "main"});
  REQUIRE(granted.ok());
  CHECK(granted->revision == 2);
  REQUIRE(all_services(
      [](const auto& service) { return service.Access()->revision() == 2; }));
  CHECK(fleet.service(0).Access()->rules() == *rules);
  CHECK(fleet.service(0).Access()->FindOrganisation("hash")->text == "cairo");

  SECTION("a key can be withdrawn while the table is unavailable") {
    fleet.table_unavailable = true;
    std::optional<policy::WithdrawResponse> response;
    policy::Proposal proposal;
    proposal.author = "amira";
    proposal.body = policy::KeyWithdrawal{{"hash"}};
    fleet.service(0).Withdraw(proposal,
                              [&](auto result) { response = result; });
    REQUIRE(all_services([](const auto& service) {
      return !service.Access()->FindOrganisation("hash");
    }));
    CHECK(fleet.service(2).InForce().pending_withdrawals == 1);
    SECTION("the withdrawal is logged once the table is available again") {
      fleet.table_unavailable = false;
      REQUIRE(all_services([](const auto& service) {
        return service.InForce().pending_withdrawals == 0;
      }));
      CHECK(fleet.service(1).Access()->revision() == 3);
      CHECK_FALSE(fleet.service(1).Access()->FindOrganisation("hash"));
    }
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
