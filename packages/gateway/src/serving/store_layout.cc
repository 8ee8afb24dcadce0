#include "gypsumtrack/gateway/serving/store_layout.h"

#include <fmt/format.h>

#include <boost/json.hpp>

namespace gypsumtrack::gateway::layout {
namespace {

namespace json = boost::json;

constexpr std::string_view kRoutePrefix = "route/";
constexpr std::string_view kJobPrefix = "job/";

base::Error Unreadable(std::string_view what) {
  return {base::Errc::kInvalid, fmt::format("The {} row can't be read.", what)};
}

/// Null if the text isn't a JSON object.
json::object ParseObject(std::string_view text) {
  boost::system::error_code error;
  auto value = json::parse(text, error);
  if (error || !value.is_object()) return {};
  return std::move(value.as_object());
}

std::optional<std::string> Text(const json::object& from,
                                std::string_view name) {
  const auto* value = from.if_contains(name);
  if (value == nullptr || !value->is_string()) return std::nullopt;
  return std::string(value->as_string());
}

std::optional<std::uint64_t> Number(const json::object& from,
                                    std::string_view name) {
  const auto* value = from.if_contains(name);
  if (value == nullptr) return std::nullopt;
  boost::system::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  if (error) return std::nullopt;
  return number;
}

}  // namespace

std::string WriteDaemon(const PeerDaemon& daemon) {
  return json::serialize(json::object{
      {"incarnation", daemon.vm.incarnation},
      {"domain", daemon.location.domain.text},
      {"region", daemon.location.region.text},
      {"gossip", daemon.gossip_address},
  });
}

base::Outcome<PeerDaemon> ReadDaemon(const std::string& vm_name,
                                     std::string_view value) {
  const auto object = ParseObject(value);
  const auto incarnation = Number(object, "incarnation");
  const auto domain = Text(object, "domain");
  const auto region = Text(object, "region");
  const auto gossip = Text(object, "gossip");
  if (!incarnation || !domain || !region || !gossip) {
    return Unreadable("daemon");
  }
  PeerDaemon daemon;
  daemon.vm = {vm_name, *incarnation};
  daemon.location = {base::FailureDomain(*domain), base::Region(*region)};
  daemon.gossip_address = *gossip;
  return daemon;
}

std::string WriteJob(const JobRow& job) {
  return json::serialize(json::object{{"route", job.route},
                                      {"items", job.items},
                                      {"accepted", job.accepted_at},
                                      {"in_object", job.in_object}});
}

base::Outcome<JobRow> ReadJob(std::string_view value) {
  const auto object = ParseObject(value);
  const auto route = Text(object, "route");
  const auto items = Number(object, "items");
  const auto accepted = Number(object, "accepted");
  if (!route || !items || !accepted) return Unreadable("job");
  const auto* in_object = object.if_contains("in_object");
  const bool elsewhere =
      in_object != nullptr && in_object->is_bool() && in_object->as_bool();
  return JobRow{*route, *items, static_cast<base::StoreMillis>(*accepted),
                elsewhere};
}

std::string WriteOwner(const base::VmId& owner) {
  return json::serialize(
      json::object{{"vm", owner.name}, {"incarnation", owner.incarnation}});
}

base::Outcome<base::VmId> ReadOwner(std::string_view value) {
  const auto object = ParseObject(value);
  const auto name = Text(object, "vm");
  const auto incarnation = Number(object, "incarnation");
  if (!name || !incarnation) return Unreadable("owner");
  return base::VmId{*name, *incarnation};
}

std::string WriteBacklog(const BacklogRow& backlog) {
  return json::serialize(
      json::object{{"route", backlog.route}, {"tokens", backlog.tokens}});
}

base::Outcome<BacklogRow> ReadBacklog(std::string_view value) {
  const auto object = ParseObject(value);
  const auto route = Text(object, "route");
  const auto tokens = Number(object, "tokens");
  if (!route || !tokens) return Unreadable("backlog");
  return BacklogRow{*route, *tokens};
}

std::string RouteKey(const std::string& route) {
  return std::string(kRoutePrefix) + route;
}

std::string BacklogKey(const base::JobId& job) {
  return std::string(kJobPrefix) + job.text;
}

bool IsJobBacklog(std::string_view key) { return key.starts_with(kJobPrefix); }

std::string WriteResult(const ResultRow& row) {
  json::object object{
      {"item", row.result.item},
      {"verdict", policy::kJobItemStatusNames.Name(row.result.status)}};
  if (row.output_object.empty()) {
    object["output"] = row.result.output;
  } else {
    object["object"] = row.output_object;
  }
  return json::serialize(object);
}

base::Outcome<ResultRow> ReadResult(std::string_view value) {
  const auto object = ParseObject(value);
  const auto item = Text(object, "item");
  const auto name = Text(object, "verdict");
  const auto output = Text(object, "output");
  const auto elsewhere = Text(object, "object");
  const auto verdict =
      name ? policy::kJobItemStatusNames.Parse(*name) : std::nullopt;
  if (!item || !verdict || (!output && !elsewhere)) return Unreadable("result");
  ResultRow row;
  row.result = {*item, *verdict, output.value_or("")};
  row.output_object = elsewhere.value_or("");
  return row;
}

std::string WritePartials(const std::vector<policy::PartialItem>& partials) {
  json::array list;
  for (const auto& each : partials) {
    list.push_back(json::object{{"item", each.item},
                                {"last_event", each.last_event},
                                {"events", each.events},
                                {"text", each.text}});
  }
  return json::serialize(json::object{{"partials", std::move(list)}});
}

base::Outcome<std::vector<policy::PartialItem>> ReadPartials(
    std::string_view value) {
  const auto object = ParseObject(value);
  const auto* list = object.if_contains("partials");
  if (list == nullptr || !list->is_array()) return Unreadable("partial");
  std::vector<policy::PartialItem> partials;
  for (const auto& each : list->as_array()) {
    if (!each.is_object()) return Unreadable("partial");
    const auto& fields = each.as_object();
    const auto item = Text(fields, "item");
    const auto last_event = Number(fields, "last_event");
    const auto events = Number(fields, "events");
    const auto text = Text(fields, "text");
    if (!item || !last_event || !events || !text) return Unreadable("partial");
    partials.push_back({*item, *last_event, *events, *text});
  }
  return partials;
}

std::string ResultKey(const base::JobId& job, std::size_t position) {
  return fmt::format("{}/{:07}", job.text, position);
}

base::RowRange ResultRange(const base::Organisation& organisation,
                           const base::JobId& job, std::size_t from) {
  base::RowRange range;
  range.table = kResultTable;
  range.partition = organisation.text;
  range.from = ResultKey(job, from);
  // The character after the slash.
  range.until = job.text + "0";
  return range;
}

std::string SubmissionObject(const base::Organisation& organisation,
                             const base::JobId& job) {
  return fmt::format("job.{}.{}", organisation.text, job.text);
}

std::string OutputObject(const base::Organisation& organisation,
                         const base::JobId& job, std::size_t position) {
  return fmt::format("output.{}.{}.{}", organisation.text, job.text, position);
}

}  // namespace gypsumtrack::gateway::layout
