#include "gypsumtrack/gateway/item_sender.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "generation.h"

namespace gypsumtrack::gateway {
namespace {

namespace asio = boost::asio;
using policy::ItemOutcome;
using policy::RunResult;

constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kRequestTimeout = 408;

const policy::Endpoint* FindEndpoint(const policy::FleetView& view,
                                     const base::EndpointId& id) {
  const auto found = std::find_if(
      view.endpoints.begin(), view.endpoints.end(),
      [&](const policy::Endpoint& endpoint) { return endpoint.id == id; });
  return found == view.endpoints.end() ? nullptr : &*found;
}

/// Creates the response accumulator of an item, with its earlier attempts'
/// checkpoint. Empty for services without a model and for malformed bodies.
std::optional<Generation> MakeGeneration(
    const policy::StartItem& item, const std::string& request_id,
    const std::shared_ptr<base::MemoryBudget>& memory) {
  if (item.model.empty()) return std::nullopt;
  const auto kind = item.path.ends_with("chat/completions")
                        ? GenerationKind::kChat
                        : GenerationKind::kCompletion;
  auto request = ParseGenerationRequest(kind, item.body);
  if (!request.ok()) return std::nullopt;
  std::optional<Generation> generation;
  generation.emplace(std::move(*request), request_id, memory);
  // A malformed checkpoint is ignored: only the tokens in it are lost.
  if (!item.streamed.empty()) (void)generation->Resume(item.streamed);
  return generation;
}

/// Converts a complete response. Statuses 4xx other than 408 and 429 reject the
/// item; other failures are attributed to the endpoint.
RunResult ResultOfResponse(const EndpointResult& result, std::string body) {
  const auto status = result.head.status;
  if (status >= 200 && status < 300) {
    return {ItemOutcome::kCompleted, std::move(body), {}};
  }
  auto reason = fmt::format("status {}", status);
  const bool is_rejection = status >= 400 && status < 500 &&
                            status != kTooManyRequests &&
                            status != kRequestTimeout;
  if (is_rejection) return {ItemOutcome::kRejected, {}, std::move(reason)};
  return {ItemOutcome::kEndpointFailed, {}, std::move(reason)};
}

/// Converts the end of an attempt.
RunResult ResultOfCall(const EndpointResult& result,
                       const std::optional<Generation>& generation) {
  if (result.outcome == CallOutcome::kComplete) {
    const bool assembled = generation && generation->is_complete();
    return ResultOfResponse(
        result, assembled ? generation->AssembleResponse() : result.body);
  }
  const std::string reason(kCallOutcomeNames.Name(result.outcome));
  if (result.outcome == CallOutcome::kCancelled) {
    return {ItemOutcome::kStopped,
            generation ? generation->Checkpoint() : std::string(), reason};
  }
  if (result.run == policy::RunState::kNotRun) {
    return {ItemOutcome::kNotRun, {}, reason};
  }
  return {ItemOutcome::kEndpointFailed, {}, reason};
}

EndpointCall MakeCall(const policy::StartItem& item,
                      const std::string& request_id) {
  EndpointCall call;
  call.method = "POST";
  call.target = item.path;
  call.headers.push_back({"Content-Type", "application/json"});
  call.headers.push_back(
      {"Idempotency-Key",
       fmt::format("{}/{}/{}", item.job_uid, item.chunk, item.item)});
  call.body = item.body;
  call.request_id = request_id;
  call.idempotent = item.idempotent;
  return call;
}

/// Streams the response into `generation`, which must outlive the call.
void StreamInto(EndpointCall& call, Generation& generation) {
  generation.BeginAttempt();
  call.headers.push_back({"Accept", "text/event-stream"});
  call.body = generation.AttemptBody();
  call.on_part = [&generation](
                     const ResponseHead&,
                     std::string_view part) -> asio::awaitable<base::Status> {
    auto events = generation.Feed(part);
    if (!events.ok()) co_return events.error();
    co_return base::Done{};
  };
  call.is_complete = [&generation](const ResponseHead&) {
    return generation.is_complete();
  };
}

}  // namespace

ItemSender::ItemSender(const Runtime& daemon_runtime, FleetViewHook view)
    : runtime(daemon_runtime),
      fleet(std::move(view)),
      client(daemon_runtime.pool, daemon_runtime.clock,
             EndpointClientOptions{}) {}

asio::awaitable<RunResult> ItemSender::Send(ItemCall call) {
  const auto strand = asio::make_strand(this->runtime.pool);
  co_return co_await asio::co_spawn(strand, this->SendOnStrand(std::move(call)),
                                    asio::use_awaitable);
}

asio::awaitable<RunResult> ItemSender::SendOnStrand(ItemCall item_call) {
  const auto& item = item_call.item;
  const auto view = this->fleet();
  const auto* endpoint = FindEndpoint(*view, item.endpoint);
  if (endpoint == nullptr || endpoint->draining) {
    co_return RunResult{ItemOutcome::kNotRun, {}, "endpoint is leaving"};
  }
  const auto request_id =
      fmt::format("{}-{}-{}-{}", item.job_uid, item.chunk, item.item, item.run);
  auto generation =
      MakeGeneration(item, request_id, this->runtime.generated_text);
  auto call = MakeCall(item, request_id);
  call.address = endpoint->address;
  call.progress_timeout = this->runtime.settings.progress_timeout;
  call.deadline =
      this->runtime.clock.now() + this->runtime.settings.request_timeout;
  call.cancel = std::make_shared<CallCancellation>();
  if (generation) StreamInto(call, *generation);
  const auto executor = co_await asio::this_coro::executor;
  item_call.stop->SetHandler([executor, cancel = call.cancel] {
    asio::post(executor, [cancel] { cancel->Cancel(); });
  });
  const auto result = co_await this->client.Call(std::move(call));
  item_call.stop->SetHandler(nullptr);
  co_return ResultOfCall(result, generation);
}

}  // namespace gypsumtrack::gateway
