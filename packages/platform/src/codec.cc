#include "gypsumtrack/platform/codec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <functional>
#include <stdexcept>

namespace gypsumtrack::platform {
namespace {

namespace json = boost::json;

/// Throws if the value isn't a string.
std::string ToString(const json::value& value) {
  const auto& text = value.as_string();
  return {text.data(), text.size()};
}

/// Returns an empty string if the field is missing.
std::string StringOrEmpty(const json::object& object, std::string_view key) {
  const auto* value = object.if_contains(key);
  return value == nullptr ? std::string() : ToString(*value);
}

/// Returns `fallback` if the field is missing.
template <typename Number>
Number NumberOr(const json::object& object, std::string_view key,
                Number fallback) {
  const auto* value = object.if_contains(key);
  return value == nullptr ? fallback : value->to_number<Number>();
}

/// Parses the text and converts it with `convert`. Exceptions of both become
/// kInvalid.
template <typename T>
base::Outcome<T> ParseJson(
    std::string_view text,
    const std::function<T(const json::value&)>& convert) {
  json::parse_options options;
  options.allow_invalid_utf8 = true;
  try {
    return convert(json::parse(text, {}, options));
  } catch (const std::exception& error) {
    return base::Error(base::Errc::kInvalid, error.what());
  }
}

/// Throws if the table has no value of that name.
template <typename Enum, typename NameTable>
Enum ParseEnum(const NameTable& names, const std::string& name) {
  const auto value = names.Parse(name);
  if (!value) throw std::invalid_argument("unknown enum value: " + name);
  return *value;
}

json::object ToJson(const base::ListedVm& vm) {
  json::object object;
  object["name"] = vm.name;
  object["role"] = base::kVmRoleNames.Name(vm.role);
  object["state"] = base::kVmStateNames.Name(vm.state);
  object["address"] = vm.address;
  object["domain"] = vm.location.domain.text;
  object["region"] = vm.location.region.text;
  if (vm.role != base::VmRole::kEndpoint) return object;
  json::array models;
  for (const auto& model : vm.models) models.emplace_back(model.text);
  object["service"] = vm.service.text;
  object["models"] = std::move(models);
  object["slots"] = vm.slots;
  object["checks_fencing"] = vm.checks_fencing;
  return object;
}

base::ListedVm VmFromJson(const json::object& object) {
  base::ListedVm vm;
  vm.name = ToString(object.at("name"));
  vm.role =
      ParseEnum<base::VmRole>(base::kVmRoleNames, ToString(object.at("role")));
  const auto state = StringOrEmpty(object, "state");
  if (!state.empty()) {
    vm.state = ParseEnum<base::VmState>(base::kVmStateNames, state);
  }
  vm.address = ToString(object.at("address"));
  vm.location.domain.text = ToString(object.at("domain"));
  vm.location.region.text = ToString(object.at("region"));
  vm.service.text = StringOrEmpty(object, "service");
  if (const auto* models = object.if_contains("models")) {
    for (const auto& model : models->as_array()) {
      vm.models.emplace_back(ToString(model));
    }
  }
  vm.slots = NumberOr<std::uint32_t>(object, "slots", 0);
  const auto* fencing = object.if_contains("checks_fencing");
  vm.checks_fencing = fencing != nullptr && fencing->as_bool();
  return vm;
}

base::TableCommit CommitFromJson(const json::value& root) {
  base::TableCommit commit;
  commit.operation_id = ToString(root.at("operation_id"));
  for (const auto& condition : root.at("conditions").as_array()) {
    commit.conditions.push_back(
        {ToString(condition.at("key")),
         condition.at("version").to_number<std::uint64_t>()});
  }
  for (const auto& write : root.at("writes").as_array()) {
    const auto* value = write.as_object().if_contains("value");
    base::RowWrite row{ToString(write.at("key")), std::nullopt};
    if (value != nullptr) row.value = ToString(*value);
    commit.writes.push_back(std::move(row));
  }
  return commit;
}

base::TableScan ScanFromJson(const json::value& root) {
  const auto& object = root.as_object();
  base::TableScan scan;
  scan.prefix = StringOrEmpty(object, "prefix");
  scan.after = StringOrEmpty(object, "after");
  scan.limit = NumberOr(object, "limit", scan.limit);
  return scan;
}

base::ScanReply ScanReplyFromJson(const json::value& root) {
  base::ScanReply reply;
  for (const auto& row : root.at("rows").as_array()) {
    reply.rows.push_back({ToString(row.at("key")),
                          row.at("version").to_number<std::uint64_t>(),
                          ToString(row.at("value"))});
  }
  reply.more = root.at("more").as_bool();
  return reply;
}

std::vector<base::ListedVm> VmsFromJson(const json::value& root) {
  std::vector<base::ListedVm> vms;
  for (const auto& vm : root.as_array())
    vms.push_back(VmFromJson(vm.as_object()));
  return vms;
}

}  // namespace

std::string FormatCommit(const base::TableCommit& commit) {
  json::array conditions;
  for (const auto& condition : commit.conditions) {
    conditions.push_back(
        json::object{{"key", condition.key}, {"version", condition.version}});
  }
  json::array writes;
  for (const auto& write : commit.writes) {
    json::object row{{"key", write.key}};
    if (write.value) row["value"] = *write.value;
    writes.push_back(std::move(row));
  }
  return json::serialize(json::object{{"operation_id", commit.operation_id},
                                      {"conditions", std::move(conditions)},
                                      {"writes", std::move(writes)}});
}

base::Outcome<base::TableCommit> ParseCommit(std::string_view text) {
  return ParseJson<base::TableCommit>(text, CommitFromJson);
}

std::string FormatScan(const base::TableScan& scan) {
  return json::serialize(json::object{
      {"prefix", scan.prefix}, {"after", scan.after}, {"limit", scan.limit}});
}

base::Outcome<base::TableScan> ParseScan(std::string_view text) {
  return ParseJson<base::TableScan>(text, ScanFromJson);
}

std::string FormatScanReply(const base::ScanReply& reply) {
  json::array rows;
  for (const auto& row : reply.rows) {
    rows.push_back(json::object{
        {"key", row.key}, {"version", row.version}, {"value", row.value}});
  }
  return json::serialize(
      json::object{{"rows", std::move(rows)}, {"more", reply.more}});
}

base::Outcome<base::ScanReply> ParseScanReply(std::string_view text) {
  return ParseJson<base::ScanReply>(text, ScanReplyFromJson);
}

std::string FormatVms(const std::vector<base::ListedVm>& vms) {
  json::array out;
  for (const auto& vm : vms) out.push_back(ToJson(vm));
  return json::serialize(out);
}

base::Outcome<std::vector<base::ListedVm>> ParseVms(std::string_view text) {
  return ParseJson<std::vector<base::ListedVm>>(text, VmsFromJson);
}

}  // namespace gypsumtrack::platform
