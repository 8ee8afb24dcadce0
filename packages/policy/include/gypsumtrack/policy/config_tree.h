#ifndef GYPSUMTRACK_POLICY_CONFIG_TREE_H_
#define GYPSUMTRACK_POLICY_CONFIG_TREE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/policy/fleet_view.h"

/// Who passes configuration to whom. Each VM works it out from its own view, so
/// that two VMs may differ for a while; what they send is safe either way.
namespace gypsumtrack::policy {

/// Names by falling rendezvous score for `key`. Thread-safe.
std::vector<std::string> RankByRendezvous(std::string_view key,
                                          std::vector<std::string> names);

/// The live VMs of each failure domain as a tree, first by rendezvous hash.
/// Queries are thread-safe.
class ConfigTree {
 public:
  ConfigTree() = default;
  /// Precondition: fan_out > 0.
  ConfigTree(const FleetView& view, std::uint32_t fan_out);

  const std::string& self() const { return this->name; }           // NOLINT
  const base::FailureDomain& domain() const { return this->own; }  // NOLINT
  /// Whether this VM is the first of its domain.
  bool IsRoot() const { return this->rank == 0; }
  /// Empty for the root.
  const std::string& parent() const { return this->above; }  // NOLINT
  const std::vector<std::string>& children() const {         // NOLINT
    return this->below;
  }
  /// The first VM of every other domain.
  const std::vector<std::string>& other_roots() const {  // NOLINT
    return this->roots;
  }
  /// VMs of each domain in rank order, this VM included. A domain without a
  /// live VM shows its suspect ones, so that contact can be tried.
  const std::map<base::FailureDomain, std::vector<std::string>>& domains()
      const {  // NOLINT
    return this->members;
  }
  /// All VMs of the own domain that may be up, without this one.
  const std::vector<std::string>& neighbours() const {  // NOLINT
    return this->near;
  }
  /// Those of them that are live.
  std::vector<std::string> LiveNeighbours() const;
  bool IsChild(const std::string& vm) const;

 private:
  std::string name;
  base::FailureDomain own;
  std::size_t rank = 0;
  std::string above;
  std::vector<std::string> below;
  std::vector<std::string> roots;
  std::vector<std::string> near;
  std::map<base::FailureDomain, std::vector<std::string>> members;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_CONFIG_TREE_H_
