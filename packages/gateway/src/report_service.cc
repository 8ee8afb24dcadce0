#include "gypsumtrack/gateway/report_service.h"

#include <fmt/format.h>

#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <boost/url/parse_query.hpp>
#include <charconv>
#include <utility>

#include "gypsumtrack/gateway/await.h"
#include "gypsumtrack/gateway/peer_gather.h"
#include "gypsumtrack/telemetry/burn_report.h"

namespace gypsumtrack::gateway {
namespace {

using telemetry::ServiceCounts;

constexpr base::Duration kGatherWait = std::chrono::seconds(2);
constexpr const char* kCountsMethod = "report.counts";

template <std::size_t N>
Json::Value EncodeNumbers(const std::array<std::uint64_t, N>& numbers) {
  Json::Value list(Json::arrayValue);
  for (const auto number : numbers)
    list.append(static_cast<Json::UInt64>(number));
  return list;
}

template <std::size_t N>
bool DecodeNumbers(const Json::Value& list,
                   std::array<std::uint64_t, N>& numbers) {
  if (!list.isArray() || list.size() != N) return false;
  for (Json::ArrayIndex i = 0; i < N; ++i) {
    if (!list[i].isUInt64()) return false;
    numbers[i] = list[i].asUInt64();
  }
  return true;
}

bool DecodeSeries(const Json::Value& json, telemetry::SeriesCounts& counts) {
  if (!json.isArray() || json.size() != telemetry::kWindowCount) return false;
  for (Json::ArrayIndex i = 0; i < telemetry::kWindowCount; ++i) {
    if (!json[i].isObject()) return false;
    if (!DecodeNumbers(json[i]["events"], counts[i].events)) return false;
    if (!DecodeNumbers(json[i]["latency"], counts[i].latency)) return false;
  }
  return true;
}

/// Reads an objective from the query; keeps the default if it isn't a number
/// in (0, limit).
void ReadNumber(const boost::urls::params_encoded_view& query,
                std::string_view name, double limit, double& value) {
  const auto found = query.find(name);
  if (found == query.end()) return;
  const std::string text((*found).value);
  double number = 0;
  const auto end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data(), end, number);
  if (failure != std::errc() || stop != end) return;
  if (number > 0 && number < limit) value = number;
}

boost::json::value BurnJson(const telemetry::BurnReport& report) {
  boost::json::array rows;
  for (const auto& row : report.rows) {
    boost::json::object burn;
    for (const auto& [window, name] : telemetry::kWindowNames.entries) {
      const auto& rate = row.burn[static_cast<std::size_t>(window)];
      burn[name] = rate ? boost::json::value(*rate) : boost::json::value();
    }
    rows.push_back(
        {{"organisation", row.series.organisation.text},
         {"service", row.series.service.text},
         {"objective", telemetry::kObjectiveKindNames.Name(row.kind)},
         {"burn", burn},
         {"budget_left", row.budget_left},
         {"alarm", telemetry::kAlarmNames.Name(row.alarm)}});
  }
  return {{"rows", rows},
          {"refused_over_rate", report.refused_over_rate},
          {"refused_within_rate", report.refused_within_rate},
          {"silent_vms", boost::json::value_from(report.silent_vms)}};
}

enum class ReportFormat { kJson, kText, kHtml };

constexpr auto kReportFormatNames = base::MakeEnumTable<ReportFormat>({
    {ReportFormat::kJson, "json"},
    {ReportFormat::kText, "text"},
    {ReportFormat::kHtml, "html"},
});

struct ReportQuery {
  telemetry::Objectives objectives;
  ReportFormat format = ReportFormat::kJson;
};

ReportQuery ParseReportQuery(const std::string& text) {
  ReportQuery request;
  const auto query = boost::urls::parse_query(text);
  if (!query.has_value()) return request;
  auto& objectives = request.objectives;
  ReadNumber(*query, "availability", 1, objectives.availability);
  ReadNumber(*query, "latency", 1, objectives.latency);
  ReadNumber(*query, "latency_ms", 1e6, objectives.latency_threshold_ms);
  ReadNumber(*query, "batch_due", 1, objectives.batch_due);
  const auto found = (*query).find("format");
  if (found != (*query).end()) {
    request.format = kReportFormatNames.Parse(std::string((*found).value))
                         .value_or(ReportFormat::kJson);
  }
  return request;
}

struct Rendered {
  ResponseHead head;
  std::string body;
};

Rendered RenderReport(const telemetry::BurnReport& report,
                      ReportFormat format) {
  const auto with_type = [](std::string type, std::string body) {
    ResponseHead head;
    head.headers.push_back({"Content-Type", std::move(type)});
    return Rendered{std::move(head), std::move(body)};
  };
  switch (format) {
    case ReportFormat::kHtml:
      return with_type("text/html; charset=utf-8",
                       telemetry::FormatBurnHtml(report));
    case ReportFormat::kText:
      return with_type("text/plain; charset=utf-8",
                       telemetry::FormatBurnText(report));
    case ReportFormat::kJson:
      break;
  }
  return with_type("application/json",
                   boost::json::serialize(BurnJson(report)));
}

}  // namespace

Json::Value EncodeCounts(const ServiceCounts& counts) {
  Json::Value list(Json::arrayValue);
  for (const auto& [id, windows] : counts) {
    Json::Value entry;
    entry["organisation"] = id.organisation.text;
    entry["service"] = id.service.text;
    for (const auto& window : windows) {
      Json::Value numbers;
      numbers["events"] = EncodeNumbers(window.events);
      numbers["latency"] = EncodeNumbers(window.latency);
      entry["windows"].append(numbers);
    }
    list.append(entry);
  }
  return list;
}

base::Outcome<ServiceCounts> DecodeCounts(const Json::Value& json) {
  const base::Error malformed(base::Errc::kInvalid, "malformed counts");
  if (!json.isArray()) return malformed;
  ServiceCounts counts;
  for (const auto& entry : json) {
    if (!entry.isObject() || !entry["organisation"].isString() ||
        !entry["service"].isString()) {
      return malformed;
    }
    const telemetry::SeriesId id{
        base::Organisation(entry["organisation"].asString()),
        base::Service(entry["service"].asString())};
    if (!DecodeSeries(entry["windows"], counts[id])) return malformed;
  }
  return counts;
}

ReportService::ReportService(Runtime& shared, ViewHook fleet)
    : runtime(shared),
      view(std::move(fleet)),
      levels(std::make_shared<telemetry::ServiceLevels>()) {
  this->runtime.peers.on_call(kCountsMethod, [this](const base::VmId&,
                                                    const Json::Value&,
                                                    peer::ReplyHandler reply) {
    boost::asio::post(this->runtime.control, [this, reply = std::move(reply)] {
      reply(EncodeCounts(this->levels->Counts(this->runtime.clock.wall())));
    });
  });
}

void ReportService::Record(telemetry::SeriesId series,
                           telemetry::ServiceEvent event,
                           base::Duration latency) {
  boost::asio::post(this->runtime.control,
                    [levels = this->levels, series = std::move(series), event,
                     latency, now = this->runtime.clock.wall()] {
                      levels->Record(series, event, latency, now);
                    });
}

boost::asio::awaitable<ServiceCounts> ReportService::OwnCounts() {
  co_return co_await AwaitHandler<ServiceCounts>(
      [this](const std::function<void(ServiceCounts)>& done) {
        boost::asio::post(this->runtime.control, [this, done] {
          done(this->levels->Counts(this->runtime.clock.wall()));
        });
      });
}

boost::asio::awaitable<void> ReportService::ServeBurn(Exchange& exchange) {
  auto counts = co_await this->OwnCounts();
  const auto fleet = this->view();
  const auto answers =
      co_await GatherPeers(this->runtime, *fleet, kCountsMethod, Json::Value(),
                           this->runtime.clock.now() + kGatherWait);
  std::vector<std::string> silent;
  for (const auto& answer : answers) {
    if (!answer.reply.ok()) {
      silent.push_back(answer.peer.id.name);
      continue;
    }
    const auto decoded = DecodeCounts(*answer.reply);
    if (decoded.ok()) {
      telemetry::MergeCounts(counts, *decoded);
    } else {
      silent.push_back(answer.peer.id.name);
    }
  }
  const auto query = ParseReportQuery(exchange.request().query);
  const auto report =
      telemetry::MakeBurnReport(counts, query.objectives, std::move(silent));
  auto [head, body] = RenderReport(report, query.format);
  (void)co_await exchange.Send(std::move(head), std::move(body));
}

}  // namespace gypsumtrack::gateway
