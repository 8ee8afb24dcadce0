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

/// The tree along which VMs distribute the configuration. Each VM derives the
/// tree from its own view of the fleet, so the trees of two VMs may differ for
/// a while. The messages are correct in any tree.
namespace gypsumtrack::policy {

/// Sorts names by descending rendezvous score for `key`. Thread-safe.
std::vector<std::string> RankByRendezvous(std::string_view key,
                                          std::vector<std::string> names);

/// A tree of each failure domain's live VMs. The VM with the highest rendezvous
/// score is the root. Immutable; all queries are thread-safe.
class ConfigTree {
 public:
  /// An empty tree.
  ConfigTree() = default;
  /// `fan_out` is the maximum number of children of a VM. Precondition: fan_out
  /// > 0.
  ConfigTree(const FleetView& view, std::uint32_t fan_out);

  /// The name of this VM.
  const std::string& self() const { return this->self_name; }  // NOLINT
  /// The failure domain of this VM.
  const base::FailureDomain& domain() const {  // NOLINT
    return this->own_domain;
  }
  /// Whether this VM is the root of its domain.
  bool IsRoot() const { return this->rank == 0; }
  /// The parent of this VM; empty for the root.
  const std::string& parent() const { return this->parent_vm; }  // NOLINT
  /// The children of this VM.
  const std::vector<std::string>& children() const {  // NOLINT
    return this->child_vms;
  }
  /// The roots of the other domains.
  const std::vector<std::string>& other_roots() const {  // NOLINT
    return this->remote_roots;
  }
  /// The live VMs of each domain in rank order, including this VM. Suspect VMs
  /// are listed for a domain without a live VM, so that they can still be
  /// contacted.
  const std::map<base::FailureDomain, std::vector<std::string>>& domains()
      const {  // NOLINT
    return this->vms_by_domain;
  }
  /// The live and suspect VMs of this VM's domain, without this VM.
  const std::vector<std::string>& neighbours() const {  // NOLINT
    return this->neighbour_vms;
  }
  /// The live VMs among the neighbours.
  std::vector<std::string> LiveNeighbours() const;
  /// Whether `vm` is a child of this VM.
  bool IsChild(const std::string& vm) const;

 private:
  std::string self_name;
  base::FailureDomain own_domain;
  /// Position of this VM in the ranking of its domain.
  std::size_t rank = 0;
  std::string parent_vm;
  std::vector<std::string> child_vms;
  std::vector<std::string> remote_roots;
  std::vector<std::string> neighbour_vms;
  std::map<base::FailureDomain, std::vector<std::string>> vms_by_domain;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_CONFIG_TREE_H_
