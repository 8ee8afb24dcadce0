#ifndef GYPSUMTRACK_BASE_NAMES_H_
#define GYPSUMTRACK_BASE_NAMES_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

/// Strongly typed names and identifiers shared by all packages.
namespace gypsumtrack::base {

/// A string with a distinct type per `Tag`, so that an organisation, for
/// example, can't be passed as a service.
template <typename Tag>
struct Name {
  std::string text;

  Name() = default;
  explicit Name(std::string value) : text(std::move(value)) {}

  /// Whether the name is unset.
  bool empty() const { return this->text.empty(); }  // NOLINT
  auto operator<=>(const Name&) const = default;
};

/// Organisation on whose behalf requests are made.
using Organisation = Name<struct OrganisationTag>;
/// Service that an endpoint offers.
using Service = Name<struct ServiceTag>;
/// Model that an endpoint runs.
using Model = Name<struct ModelTag>;
/// Set of VMs that can fail together.
using FailureDomain = Name<struct FailureDomainTag>;
/// Region that contains failure domains.
using Region = Name<struct RegionTag>;
/// Name of an endpoint, as in the list of VMs.
using EndpointId = Name<struct EndpointTag>;
/// Identifier of a part of a prompt, such as a system prompt. Prompts with the
/// same beginning have the same first parts.
using PromptPart = Name<struct PromptPartTag>;
/// Identifier of a batch job.
using JobId = Name<struct JobTag>;

/// Identifies a VM. The incarnation differs for each process started, so that a
/// replacement at the same address counts as another VM.
struct VmId {
  std::string name;
  std::uint64_t incarnation = 0;

  auto operator<=>(const VmId&) const = default;
};

/// Failure domain and region of a VM or an endpoint.
struct Location {
  FailureDomain domain;
  Region region;

  auto operator<=>(const Location&) const = default;
};

/// Position in the log of configuration changes; 0 for an empty log.
using Revision = std::uint64_t;

}  // namespace gypsumtrack::base

template <typename Tag>
struct std::hash<gypsumtrack::base::Name<Tag>> {
  std::size_t operator()(const gypsumtrack::base::Name<Tag>& name) const {
    return std::hash<std::string>()(name.text);
  }
};

template <>
struct std::hash<gypsumtrack::base::VmId> {
  std::size_t operator()(const gypsumtrack::base::VmId& vm) const {
    return std::hash<std::string>()(vm.name) ^
           (vm.incarnation * 0x9E3779B97F4A7C15ULL);
  }
};

#endif  // GYPSUMTRACK_BASE_NAMES_H_
