#include "gypsumtrack/gateway/serving/store_layout.h"

#include <fmt/format.h>

#include <boost/json.hpp>

#include "gypsumtrack/base/hash.h"
#include "gypsumtrack/base/utf8.h"

namespace gypsumtrack::gateway::layout {
namespace {

namespace json = boost::json;

constexpr std::string_view kRouteKeyPrefix = "route/";
constexpr std::string_view kJobKeyPrefix = "job/";
/// Partitions of the streams. A partition accepts a limited number of
/// transactions a second, and each stream in need of a record takes one.
constexpr std::uint64_t kStreamPartitions = 16;

base::Error MalformedRow(std::string_view table) {
  return {base::Errc::kInvalid, fmt::format("The {} row is malformed.", table)};
}

/// Returns an empty object if the text isn't a JSON object. Text that isn't
/// UTF-8, which earlier releases wrote, is left to StringField: it costs its
/// own field only.
json::object ParseObject(std::string_view text) {
  json::parse_options options;
  options.allow_invalid_utf8 = true;
  boost::system::error_code error;
  auto value = json::parse(text, error, {}, options);
  if (error || !value.is_object()) return {};
  return std::move(value.as_object());
}

/// Returns none if the field is missing or isn't UTF-8 text.
std::optional<std::string> StringField(const json::object& object,
                                       std::string_view name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) return std::nullopt;
  const std::string_view text = value->get_string();
  if (!base::IsUtf8(text)) return std::nullopt;
  return std::string(text);
}

/// A result whose output was lost. The item is empty if it isn't known either.
ResultRow LostResult(std::string item) {
  ResultRow row;
  row.result = {std::move(item), policy::JobItemStatus::kGivenUp, ""};
  row.is_damaged = true;
  return row;
}

std::optional<std::uint64_t> NumberField(const json::object& object,
                                         std::string_view name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr) return std::nullopt;
  boost::system::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  if (error) return std::nullopt;
  return number;
}

}  // namespace

std::string SerializeDaemon(const PeerDaemon& daemon) {
  return json::serialize(json::object{
      {"incarnation", daemon.vm.incarnation},
      {"domain", daemon.location.domain.text},
      {"region", daemon.location.region.text},
      {"gossip", daemon.gossip_address},
      {"cores", daemon.cores},
      {"tunnel", daemon.tunnel_address},
      {"tunnel_token", daemon.tunnel_token},
  });
}

std::string SerializeLease(const base::VmId& daemon) {
  return json::serialize(json::object{{"incarnation", daemon.incarnation}});
}

base::Outcome<base::VmId> ParseLease(const std::string& vm_name,
                                     std::string_view value) {
  const auto object = ParseObject(value);
  const auto incarnation = NumberField(object, "incarnation");
  if (!incarnation) return MalformedRow("lease");
  return base::VmId{vm_name, *incarnation};
}

base::Outcome<PeerDaemon> ParseDaemon(const std::string& vm_name,
                                      std::string_view value) {
  const auto object = ParseObject(value);
  const auto incarnation = NumberField(object, "incarnation");
  const auto domain = StringField(object, "domain");
  const auto region = StringField(object, "region");
  const auto gossip = StringField(object, "gossip");
  if (!incarnation || !domain || !region || !gossip) {
    return MalformedRow("daemon");
  }
  PeerDaemon daemon;
  daemon.vm = {vm_name, *incarnation};
  daemon.location = {base::FailureDomain(*domain), base::Region(*region)};
  daemon.gossip_address = *gossip;
  if (const auto* cores = object.if_contains("cores")) {
    boost::system::error_code error;
    const auto number = cores->to_number<double>(error);
    if (!error && number > 0) daemon.cores = number;
  }
  daemon.tunnel_address = StringField(object, "tunnel").value_or("");
  daemon.tunnel_token = StringField(object, "tunnel_token").value_or("");
  return daemon;
}

std::string SerializeJob(const JobRow& job) {
  return json::serialize(json::object{{"route", job.route},
                                      {"items", job.items},
                                      {"accepted", job.accepted_at},
                                      {"in_object", job.in_object}});
}

base::Outcome<JobRow> ParseJob(std::string_view value) {
  const auto object = ParseObject(value);
  const auto route = StringField(object, "route");
  const auto items = NumberField(object, "items");
  const auto accepted = NumberField(object, "accepted");
  if (!route || !items || !accepted) return MalformedRow("job");
  const auto* in_object = object.if_contains("in_object");
  const bool is_in_object =
      in_object != nullptr && in_object->is_bool() && in_object->as_bool();
  return JobRow{*route, *items, static_cast<base::StoreMillis>(*accepted),
                is_in_object};
}

std::string SerializeOwner(const base::VmId& owner,
                           const policy::RegionLimit& allowed_regions) {
  json::object object{{"vm", owner.name}, {"incarnation", owner.incarnation}};
  if (allowed_regions) {
    json::array regions;
    for (const auto& region : *allowed_regions)
      regions.emplace_back(region.text);
    object["regions"] = std::move(regions);
  }
  return json::serialize(object);
}

base::Outcome<base::VmId> ParseOwner(std::string_view value) {
  const auto object = ParseObject(value);
  const auto name = StringField(object, "vm");
  const auto incarnation = NumberField(object, "incarnation");
  if (!name || !incarnation) return MalformedRow("owner");
  return base::VmId{*name, *incarnation};
}

policy::RegionLimit ParseOwnerRegions(std::string_view value) {
  const auto object = ParseObject(value);
  const auto* regions = object.if_contains("regions");
  if (regions == nullptr || !regions->is_array()) return std::nullopt;
  std::set<base::Region> allowed;
  for (const auto& region : regions->as_array()) {
    if (region.is_string()) allowed.emplace(std::string(region.as_string()));
  }
  return allowed;
}

std::string SerializeBacklog(const BacklogRow& backlog) {
  return json::serialize(
      json::object{{"route", backlog.route}, {"tokens", backlog.tokens}});
}

base::Outcome<BacklogRow> ParseBacklog(std::string_view value) {
  const auto object = ParseObject(value);
  const auto route = StringField(object, "route");
  const auto tokens = NumberField(object, "tokens");
  if (!route || !tokens) return MalformedRow("backlog");
  return BacklogRow{*route, *tokens};
}

std::string RouteBacklogKey(const std::string& route) {
  return std::string(kRouteKeyPrefix) + route;
}

std::string JobBacklogKey(const base::JobId& job) {
  return std::string(kJobKeyPrefix) + job.text;
}

bool IsJobBacklogKey(std::string_view key) {
  return key.starts_with(kJobKeyPrefix);
}

bool IsValidJobId(const base::JobId& job) {
  return !job.text.empty() && job.text.size() <= kMaxJobIdBytes &&
         base::IsUtf8(job.text);
}

std::string SerializeResult(const ResultRow& row) {
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

ResultRow ParseResult(std::string_view value) {
  const auto object = ParseObject(value);
  const auto item = StringField(object, "item");
  const auto status_name = StringField(object, "verdict");
  const auto output = StringField(object, "output");
  const auto output_object = StringField(object, "object");
  const auto status = status_name
                          ? policy::kJobItemStatusNames.Parse(*status_name)
                          : std::nullopt;
  if (!item || !status || (!output && !output_object))
    return LostResult(item.value_or(""));
  ResultRow row;
  row.result = {*item, *status, output.value_or("")};
  row.output_object = output_object.value_or("");
  return row;
}

std::string SerializePartials(
    const std::vector<policy::PartialItem>& partials) {
  json::array list;
  for (const auto& partial : partials) {
    list.push_back(json::object{{"item", partial.item},
                                {"last_event", partial.last_event},
                                {"events", partial.events},
                                {"text", partial.text},
                                {"service", partial.origin.service.text},
                                {"version", partial.origin.version}});
  }
  return json::serialize(json::object{{"partials", std::move(list)}});
}

base::Outcome<std::vector<policy::PartialItem>> ParsePartials(
    std::string_view value) {
  const auto object = ParseObject(value);
  const auto* list = object.if_contains("partials");
  if (list == nullptr || !list->is_array()) return MalformedRow("partial");
  std::vector<policy::PartialItem> partials;
  for (const auto& element : list->as_array()) {
    if (!element.is_object()) return MalformedRow("partial");
    const auto& fields = element.as_object();
    const auto item = StringField(fields, "item");
    const auto last_event = NumberField(fields, "last_event");
    const auto events = NumberField(fields, "events");
    const bool has_text = fields.contains("text");
    if (!item || !last_event || !events || !has_text)
      return MalformedRow("partial");
    const auto text = StringField(fields, "text");
    // Damaged output, of a daemon that didn't check it.
    if (!text) continue;
    const auto service = StringField(fields, "service");
    const auto version = StringField(fields, "version");
    // Of a daemon that didn't know versions: no endpoint surely fits.
    if (!service || !version) continue;
    partials.push_back({*item,
                        *last_event,
                        *events,
                        *text,
                        {base::Service(*service), *version}});
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
  // '0' is the character after '/', so this bound follows all keys of the job.
  range.until = job.text + "0";
  return range;
}

std::string CrashReportRowKey(const policy::CrashReportKey& key) {
  const bool is_request = key.suspect.kind == policy::SuspectKind::kRequest;
  return fmt::format("{}{:016x}/{}", is_request ? "request-" : "",
                     base::Hash64(key.suspect.id), key.daemon);
}

std::string SerializeCrashReport(const policy::CrashReport& report) {
  json::array runs;
  for (const auto& run : report.runs) {
    runs.push_back(json::object{{"endpoint", run.endpoint.text},
                                {"incarnation", run.incarnation},
                                {"request", run.request}});
  }
  return json::serialize(json::object{
      {policy::kSuspectKindNames.Name(report.key.suspect.kind),
       report.key.suspect.id},
      {"vm", report.key.daemon},
      {"last_crash", report.last_crash_at.time_since_epoch().count()},
      {"runs", std::move(runs)}});
}

/// The field that names the suspect is called like its kind.
std::optional<policy::CrashSuspect> ReadSuspect(const json::object& object) {
  for (const auto kind :
       {policy::SuspectKind::kPromptPart, policy::SuspectKind::kRequest}) {
    const auto id = StringField(object, policy::kSuspectKindNames.Name(kind));
    if (id) return policy::CrashSuspect{kind, *id};
  }
  return std::nullopt;
}

base::Outcome<policy::CrashReport> ParseCrashReport(std::string_view value) {
  const auto object = ParseObject(value);
  const auto suspect = ReadSuspect(object);
  const auto daemon = StringField(object, "vm");
  const auto last_crash = NumberField(object, "last_crash");
  const auto* runs = object.if_contains("runs");
  const bool has_runs = runs != nullptr && runs->is_array();
  if (!suspect || !daemon || !last_crash || !has_runs)
    return MalformedRow("crash");
  policy::CrashReport report;
  report.key = {*suspect, *daemon};
  report.last_crash_at = base::WallTime(
      std::chrono::milliseconds(static_cast<std::int64_t>(*last_crash)));
  for (const auto& element : runs->as_array()) {
    if (!element.is_object()) return MalformedRow("crash");
    const auto& fields = element.as_object();
    const auto endpoint = StringField(fields, "endpoint");
    const auto incarnation = NumberField(fields, "incarnation");
    const auto request = StringField(fields, "request");
    if (!endpoint || !incarnation || !request) return MalformedRow("crash");
    report.runs.insert({base::EndpointId(*endpoint), *incarnation, *request});
  }
  return report;
}

std::string SerializeDefaultVersion(const std::string& version) {
  return json::serialize(json::object{{"version", version}});
}

base::Outcome<std::string> ParseDefaultVersion(std::string_view value) {
  auto version = StringField(ParseObject(value), "version");
  if (!version) return MalformedRow("versions");
  return std::move(*version);
}

base::RowKey StreamRowKey(const std::string& request, std::uint32_t attempt) {
  const auto hash = base::Hash64(request);
  return {kStreamTable, std::to_string(hash % kStreamPartitions),
          fmt::format("{:016x}.{:08}", hash, attempt)};
}

base::RowRange StreamRange(const std::string& request) {
  const auto first = StreamRowKey(request, 0);
  base::RowRange range;
  range.table = first.table;
  range.partition = first.partition;
  range.from = first.key;
  // The next character after the dot ends the range.
  range.until = fmt::format("{:016x}/", base::Hash64(request));
  return range;
}

std::string SerializeStreamOrigin(const policy::OutputOrigin& origin) {
  return json::serialize(json::object{{"service", origin.service.text},
                                      {"version", origin.version}});
}

base::Outcome<policy::OutputOrigin> ParseStreamOrigin(std::string_view value) {
  const auto object = ParseObject(value);
  const auto service = StringField(object, "service");
  const auto version = StringField(object, "version");
  if (!service || !version) return MalformedRow("streams");
  return policy::OutputOrigin{base::Service(*service), *version};
}

std::string SubmissionObjectName(const base::Organisation& organisation,
                                 const base::JobId& job) {
  return fmt::format("job.{}.{}", organisation.text, job.text);
}

std::string OutputObjectName(const base::Organisation& organisation,
                             const base::JobId& job, std::size_t position) {
  return fmt::format("output.{}.{}.{}", organisation.text, job.text, position);
}

}  // namespace gypsumtrack::gateway::layout
