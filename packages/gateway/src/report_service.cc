#include "gypsumtrack/gateway/report_service.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "gypsumtrack/gateway/await.h"
#include "gypsumtrack/gateway/peer_gather.h"

namespace gypsumtrack::gateway {
namespace {

using telemetry::ServiceCounts;

constexpr base::Duration kGatherTimeout = std::chrono::seconds(2);
constexpr const char* kCountsMethod = "report.counts";

template <std::size_t kSize>
Json::Value EncodeNumbers(const std::array<std::uint64_t, kSize>& numbers) {
  Json::Value list(Json::arrayValue);
  for (const auto number : numbers)
    list.append(static_cast<Json::UInt64>(number));
  return list;
}

template <std::size_t kSize>
bool DecodeNumbers(const Json::Value& list,
                   std::array<std::uint64_t, kSize>& numbers) {
  if (!list.isArray() || list.size() != kSize) return false;
  for (Json::ArrayIndex i = 0; i < kSize; ++i) {
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

ReportService::ReportService(const Runtime& shared_runtime,
                             FleetQuery fleet_view)
    : runtime(shared_runtime),
      view(std::move(fleet_view)),
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

boost::asio::awaitable<ServiceCounts> ReportService::LocalCounts() {
  co_return co_await AwaitHandler<ServiceCounts>(
      [this](const std::function<void(ServiceCounts)>& done) {
        boost::asio::post(this->runtime.control, [this, done] {
          done(this->levels->Counts(this->runtime.clock.wall()));
        });
      });
}

boost::asio::awaitable<AdminReply> ReportService::FleetCounts() {
  auto counts = co_await this->LocalCounts();
  const auto fleet_view = this->view();
  const auto replies = co_await GatherPeers(
      this->runtime, *fleet_view, kCountsMethod, Json::Value(),
      this->runtime.clock.now() + kGatherTimeout);
  Json::Value unresponsive(Json::arrayValue);
  for (const auto& result : replies) {
    const auto peer_counts =
        result.reply.ok() ? DecodeCounts(*result.reply)
                          : base::Outcome<ServiceCounts>(result.reply.error());
    if (peer_counts.ok()) {
      telemetry::MergeCounts(counts, *peer_counts);
    } else {
      unresponsive.append(result.peer.id.name);
    }
  }
  AdminReply reply;
  reply.body["counts"] = EncodeCounts(counts);
  reply.body["silent_vms"] = unresponsive;
  co_return reply;
}

void ReportService::Register(Router& router) {
  AddAdminRoute(router, this->runtime, "GET", "/admin/report/counts",
                [this](const AdminRequest&) { return this->FleetCounts(); });
}

}  // namespace gypsumtrack::gateway
