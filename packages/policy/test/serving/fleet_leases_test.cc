#include "gypsumtrack/policy/serving/fleet_leases.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace gypsumtrack::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::Instant kStart(seconds(50));
constexpr int kDomains = 6;

base::FailureDomain DomainOf(int daemon) {
  return base::FailureDomain("domain-" + std::to_string(daemon % kDomains));
}

base::VmId VmOf(int daemon) { return {"vm-" + std::to_string(daemon), 1}; }

/// A fleet whose daemons write heartbeats and report their leases, as the
/// daemon 0 sees it.
class ObservedFleet {
 public:
  explicit ObservedFleet(int size) : leases(DomainOf(0), {}) {
    for (int i = 0; i < size; ++i) {
      this->alive.insert(i);
      this->registered.push_back({VmOf(i), DomainOf(i)});
    }
    this->leases.SetRegistered(this->registered, this->now);
  }

  /// Lets the time pass in steps of a second; returns the number of heartbeat
  /// rows that the daemon read in the last step.
  std::size_t Run(int steps) {
    std::size_t rows_read = 0;
    for (int step = 0; step < steps; ++step) {
      this->now += seconds(1);
      ++this->version;
      for (const int each : this->alive) {
        this->row_versions[each] = this->version;
        this->leases.OnHolderReport(VmOf(each), this->now);
      }
      rows_read = 0;
      for (const auto& domain : this->leases.DomainsToRead(this->now)) {
        std::vector<LeaseRow> rows;
        for (const auto& [daemon, row_version] : this->row_versions) {
          if (DomainOf(daemon) == domain) {
            rows.push_back({VmOf(daemon), row_version});
          }
        }
        rows_read += rows.size();
        this->leases.ObserveDomain(domain, rows, this->now);
      }
    }
    return rows_read;
  }

  void Kill(const std::function<bool(int)>& matches) {
    std::erase_if(this->alive, matches);
  }

  FleetLeases leases;
  std::vector<RegisteredDaemon> registered;
  std::set<int> alive;
  base::Instant now = kStart;

 private:
  std::map<int, std::uint64_t> row_versions;
  std::uint64_t version = 0;
};

TEST_CASE("heartbeats that a daemon reads don't grow with the square") {
  SECTION("a small fleet is read whole") {
    ObservedFleet fleet(12);
    CHECK(fleet.Run(5) == 12);
  }
  SECTION("in a large fleet only the own domain is read") {
    CHECK(ObservedFleet(300).Run(5) == 50);
    CHECK(ObservedFleet(600).Run(5) == 100);
  }
}

TEST_CASE("what a lost daemon leaves is taken over in its domain") {
  ObservedFleet fleet(300);
  fleet.Run(5);
  CHECK(fleet.leases.Holders(fleet.now).size() == 300);
  SECTION("a daemon of the own domain is lost when its lease ends") {
    fleet.Kill([](int each) { return each == 6; });
    fleet.Run(1);
    CHECK_FALSE(fleet.leases.HasLostLease(VmOf(6), fleet.now));
    CHECK(fleet.leases.MayServe(VmOf(6), fleet.now));
    fleet.Run(3);
    CHECK(fleet.leases.HasLostLease(VmOf(6), fleet.now));
    const auto adopters = fleet.leases.Adopters(VmOf(6), fleet.now);
    CHECK(adopters.size() == 49);
    CHECK(std::all_of(adopters.begin(), adopters.end(), [](const auto& each) {
      return std::stoi(each.name.substr(3)) % kDomains == 0;
    }));
    fleet.Run(3);
    CHECK_FALSE(fleet.leases.MayServe(VmOf(6), fleet.now));
  }
  SECTION("one of another domain is left to the daemons there") {
    fleet.Kill([](int each) { return each == 7; });
    fleet.Run(5);
    CHECK_FALSE(fleet.leases.HasLostLease(VmOf(7), fleet.now));
    CHECK(fleet.leases.Adopters(VmOf(7), fleet.now).empty());
    SECTION("until they remove its registration") {
      std::erase_if(fleet.registered,
                    [](const auto& each) { return each.vm == VmOf(7); });
      fleet.leases.SetRegistered(fleet.registered, fleet.now);
      CHECK(fleet.leases.HasLostLease(VmOf(7), fleet.now));
      CHECK(fleet.leases.Adopters(VmOf(7), fleet.now).size() == 299);
    }
  }
  SECTION("a domain without any holder is read and taken over from outside") {
    fleet.Kill([](int each) { return each % kDomains == 1; });
    fleet.Run(3);
    CHECK_FALSE(fleet.leases.HasLostLease(VmOf(7), fleet.now));
    fleet.Run(4);
    CHECK(fleet.leases.HasLostLease(VmOf(7), fleet.now));
    CHECK(fleet.leases.Adopters(VmOf(7), fleet.now).size() == 250);
    SECTION("and left alone again once it has holders") {
      fleet.alive.insert(7);
      fleet.Run(3);
      CHECK(fleet.Run(1) == 50);
      CHECK(fleet.leases.Adopters(VmOf(13), fleet.now).empty());
    }
  }
}

TEST_CASE("a registration that is seen before its heartbeat isn't lost") {
  ObservedFleet fleet(300);
  fleet.Run(5);
  fleet.registered.push_back({VmOf(306), DomainOf(306)});
  fleet.leases.SetRegistered(fleet.registered, fleet.now);
  CHECK_FALSE(fleet.leases.HasLostLease(VmOf(306), fleet.now));
  CHECK(fleet.leases.MayServe(VmOf(306), fleet.now));
  SECTION("unless the heartbeat stays away") {
    fleet.Run(3);
    CHECK(fleet.leases.HasLostLease(VmOf(306), fleet.now));
  }
}

TEST_CASE("a daemon whose VM registered anew has lost its lease") {
  ObservedFleet fleet(300);
  fleet.Run(5);
  fleet.registered[7].vm.incarnation = 2;
  fleet.leases.SetRegistered(fleet.registered, fleet.now);
  CHECK(fleet.leases.HasLostLease(VmOf(7), fleet.now));
  CHECK_FALSE(fleet.leases.HasLostLease({"vm-7", 2}, fleet.now));
}

TEST_CASE("nothing is lost before the registrations are known") {
  const FleetLeases leases(DomainOf(0), {});
  CHECK_FALSE(leases.HasLostLease(VmOf(1), kStart));
  CHECK(leases.DomainsToRead(kStart).empty());
}

}  // namespace
}  // namespace gypsumtrack::policy
