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

std::string Text(const json::value& value) {
  const auto& text = value.as_string();
  return {text.data(), text.size()};
}

std::string TextOr(const json::object& object, std::string_view key) {
  const auto* value = object.if_contains(key);
  return value == nullptr ? std::string() : Text(*value);
}

template <typename Number>
Number NumberOr(const json::object& object, std::string_view key,
                Number fallback) {
  const auto* value = object.if_contains(key);
  return value == nullptr ? fallback : value->to_number<Number>();
}

/// Runs `read` on the parsed text; what it throws becomes kInvalid.
template <typename T>
base::Outcome<T> Parse(std::string_view text,
                       const std::function<T(const json::value&)>& read) {
  json::parse_options options;
  options.allow_invalid_utf8 = true;
  try {
    return read(json::parse(text, {}, options));
  } catch (const std::exception& error) {
    return base::Error(base::Errc::kInvalid, error.what());
  }
}

template <typename Enum, typename Table>
Enum ParseName(const Table& table, const std::string& name) {
  const auto value = table.Parse(name);
  if (!value) throw std::invalid_argument("unknown name: " + name);
  return *value;
}

json::object ToJson(const base::ListedVm& vm) {
  json::object out;
  out["name"] = vm.name;
  out["role"] = base::kVmRoleNames.Name(vm.role);
  out["state"] = base::kVmStateNames.Name(vm.state);
  out["address"] = vm.address;
  out["domain"] = vm.place.domain.text;
  out["region"] = vm.place.region.text;
  if (vm.role != base::VmRole::kEndpoint) return out;
  json::array models;
  for (const auto& model : vm.models) models.emplace_back(model.text);
  out["service"] = vm.service.text;
  out["models"] = std::move(models);
  out["slots"] = vm.slots;
  out["checks_fencing"] = vm.checks_fencing;
  return out;
}

base::ListedVm VmFromJson(const json::object& in) {
  base::ListedVm vm;
  vm.name = Text(in.at("name"));
  vm.role = ParseName<base::VmRole>(base::kVmRoleNames, Text(in.at("role")));
  const auto state = TextOr(in, "state");
  if (!state.empty()) {
    vm.state = ParseName<base::VmState>(base::kVmStateNames, state);
  }
  vm.address = Text(in.at("address"));
  vm.place.domain.text = Text(in.at("domain"));
  vm.place.region.text = Text(in.at("region"));
  vm.service.text = TextOr(in, "service");
  if (const auto* models = in.if_contains("models")) {
    for (const auto& model : models->as_array()) {
      vm.models.emplace_back(Text(model));
    }
  }
  vm.slots = NumberOr<std::uint32_t>(in, "slots", 0);
  const auto* fencing = in.if_contains("checks_fencing");
  vm.checks_fencing = fencing != nullptr && fencing->as_bool();
  return vm;
}

base::TableCommit CommitFromJson(const json::value& in) {
  base::TableCommit commit;
  commit.operation_id = Text(in.at("operation_id"));
  for (const auto& condition : in.at("conditions").as_array()) {
    commit.conditions.push_back(
        {Text(condition.at("key")),
         condition.at("version").to_number<std::uint64_t>()});
  }
  for (const auto& write : in.at("writes").as_array()) {
    const auto* value = write.as_object().if_contains("value");
    base::RowWrite row{Text(write.at("key")), std::nullopt};
    if (value != nullptr) row.value = Text(*value);
    commit.writes.push_back(std::move(row));
  }
  return commit;
}

base::TableScan ScanFromJson(const json::value& in) {
  const auto& object = in.as_object();
  base::TableScan scan;
  scan.prefix = TextOr(object, "prefix");
  scan.after = TextOr(object, "after");
  scan.limit = NumberOr(object, "limit", scan.limit);
  return scan;
}

base::ScanReply ScanReplyFromJson(const json::value& in) {
  base::ScanReply reply;
  for (const auto& row : in.at("rows").as_array()) {
    reply.rows.push_back({Text(row.at("key")),
                          row.at("version").to_number<std::uint64_t>(),
                          Text(row.at("value"))});
  }
  reply.more = in.at("more").as_bool();
  return reply;
}

std::vector<base::ListedVm> VmsFromJson(const json::value& in) {
  std::vector<base::ListedVm> vms;
  for (const auto& vm : in.as_array())
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
  return Parse<base::TableCommit>(text, CommitFromJson);
}

std::string FormatScan(const base::TableScan& scan) {
  return json::serialize(json::object{
      {"prefix", scan.prefix}, {"after", scan.after}, {"limit", scan.limit}});
}

base::Outcome<base::TableScan> ParseScan(std::string_view text) {
  return Parse<base::TableScan>(text, ScanFromJson);
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
  return Parse<base::ScanReply>(text, ScanReplyFromJson);
}

std::string FormatVms(const std::vector<base::ListedVm>& vms) {
  json::array out;
  for (const auto& vm : vms) out.push_back(ToJson(vm));
  return json::serialize(out);
}

base::Outcome<std::vector<base::ListedVm>> ParseVms(std::string_view text) {
  return Parse<std::vector<base::ListedVm>>(text, VmsFromJson);
}

}  // namespace gypsumtrack::platform
