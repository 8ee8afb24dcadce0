#include "gypsumtrack/testing/site_standin.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <boost/url/parse_query.hpp>
#include <boost/url/pct_string_view.hpp>
#include <charconv>
#include <optional>
#include <tuple>
#include <utility>

#include "gypsumtrack/base/base64.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/gateway/http_status.h"
#include "gypsumtrack/gateway/serving/row_store_await.h"

namespace gypsumtrack::testing {
namespace {

namespace code = gateway::status;

namespace asio = boost::asio;
namespace json = boost::json;
using gateway::Exchange;
using gateway::RequestHead;
using gateway::ResponseHead;

constexpr const char* kEndpointTable = "servers";
constexpr std::uint64_t kMaxBodyBytes = 8ULL * 1024 * 1024;

/// Internal status of a feed without changes; never sent.
constexpr unsigned kFeedPending = 1;
constexpr std::string_view kFeedPath = "/gypsumtrack/rows-feed";
constexpr base::Duration kFeedPollInterval = std::chrono::milliseconds(10);
/// Longer than it takes to close a listener.
constexpr base::Duration kCrashDuration = std::chrono::milliseconds(20);

std::unique_ptr<gateway::HttpServer> MakeServer(
    const asio::any_io_executor& executor, gateway::HttpHandler handler) {
  gateway::Router router;
  router.Add("*", "/", std::move(handler));
  gateway::HttpServerOptions options;
  options.address = "127.0.0.1:0";
  options.request_id_header.clear();
  return std::make_unique<gateway::HttpServer>(
      executor, base::SystemClock(), std::move(options), std::move(router));
}

std::string QueryParameter(const RequestHead& request, std::string_view name) {
  const auto parsed = boost::urls::parse_query(request.query);
  if (!parsed) return {};
  for (const auto& element : *parsed) {
    if (element.key == name) return element.value.decode();
  }
  return {};
}

std::uint64_t ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::uint64_t NumberHeader(const RequestHead& request, const char* name) {
  const auto* value = request.Find(name);
  return value == nullptr ? 0 : ParseNumber(*value);
}

std::string TextHeader(const RequestHead& request, const char* name) {
  const auto* value = request.Find(name);
  return value == nullptr ? std::string() : *value;
}

base::Duration FeedTimeout(const RequestHead& request) {
  return std::chrono::milliseconds(
      ParseNumber(QueryParameter(request, "waitMs")));
}

json::object FormatRow(const base::VersionedRow& row) {
  json::object out{{"table", row.at.table},
                   {"part", row.at.partition},
                   {"key", row.at.key},
                   {"ver", row.version}};
  if (row.removed) {
    out["removed"] = true;
  } else {
    out["value"] = base::EncodeBase64(row.value);
  }
  return out;
}

json::array FormatRows(const std::vector<base::VersionedRow>& rows) {
  json::array out;
  for (const auto& row : rows) out.push_back(FormatRow(row));
  return out;
}

base::RowKey ParseKey(const json::object& object) {
  return {json::value_to<std::string>(object.at("table")),
          json::value_to<std::string>(object.at("part")),
          json::value_to<std::string>(object.at("key"))};
}

base::RowTransaction ParseTransaction(const json::object& object) {
  base::RowTransaction out;
  for (const auto& element : object.at("expect").as_array()) {
    out.expectations.push_back(
        {ParseKey(element.as_object()),
         element.as_object().at("ver").to_number<std::uint64_t>()});
  }
  for (const auto& element : object.at("puts").as_array()) {
    const auto text =
        json::value_to<std::string>(element.as_object().at("value"));
    out.puts.push_back(
        {ParseKey(element.as_object()), *base::DecodeBase64(text)});
  }
  for (const auto& element : object.at("remove").as_array()) {
    out.removals.push_back(ParseKey(element.as_object()));
  }
  return out;
}

/// Result of a call of the memory store that completes synchronously; kTimeout
/// if it stays pending.
template <typename Reply, typename Start>
base::Outcome<Reply> CallSynchronously(Start start) {
  std::optional<base::Outcome<Reply>> result;
  start([&](base::Outcome<Reply> reply) { result.emplace(std::move(reply)); });
  if (result) return std::move(*result);
  return base::Error(base::Errc::kTimeout, "call is still pending");
}

std::string SetErrorStatus(const base::Error& error, unsigned& status) {
  status =
      error.Is(base::Errc::kNotFound) ? code::kNotFound : code::kUnavailable;
  // A lost response is simulated by aborting the connection.
  if (error.Is(base::Errc::kUnknown)) status = 0;
  return {};
}

}  // namespace

StoreStandin::StoreStandin(const asio::any_io_executor& server_executor)
    : executor(server_executor),
      store(std::make_shared<MemoryRowStore>()),
      client(this->store->Client()) {}

StoreStandin::StoreStandin(const StoreStandin& shared,
                           EndpointAddressLookup find_address)
    : executor(shared.executor),
      store(shared.store),
      client(this->store->Client()),
      find_endpoint_address(std::move(find_address)) {}

base::Status StoreStandin::Start() {
  this->server = MakeServer(this->executor, [this](Exchange& exchange) {
    return this->Serve(exchange);
  });
  return this->server->Start();
}

std::string StoreStandin::address() const { return this->server->address(); }

void StoreStandin::Put(const std::string& table, const std::string& key,
                       const std::string& value) {
  base::RowTransaction put;
  put.puts.push_back({{table, "", key}, value});
  this->client.transact(std::move(put), base::kNever,
                        [](const base::Outcome<base::TransactionReply>&) {});
}

void StoreStandin::Remove(const std::string& table, const std::string& key) {
  base::RowTransaction removal;
  removal.removals.push_back({table, "", key});
  this->client.transact(std::move(removal), base::kNever,
                        [](const base::Outcome<base::TransactionReply>&) {});
}

void StoreStandin::ReplaceAddresses(
    std::vector<base::VersionedRow>& rows) const {
  if (!this->find_endpoint_address) return;
  for (auto& row : rows) {
    if (row.at.table != kEndpointTable || row.removed) continue;
    auto entry = json::parse(row.value).as_object();
    entry["addr"] = this->find_endpoint_address(row.at.key);
    row.value = json::serialize(entry);
  }
}

asio::awaitable<void> StoreStandin::Serve(Exchange& exchange) {
  auto body = co_await exchange.ReadBody(kMaxBodyBytes);
  if (!body.ok()) co_return;
  co_await this->WaitForPath(exchange.request().path);
  ResponseHead head;
  std::string out = this->Dispatch(exchange.request(), *body, head.status);
  const auto clock = base::SystemClock();
  const auto until = clock.now() + FeedTimeout(exchange.request());
  while (head.status == kFeedPending && clock.now() < until) {
    co_await gateway::Pause(kFeedPollInterval);
    out = this->Dispatch(exchange.request(), *body, head.status);
  }
  if (head.status == kFeedPending) head.status = code::kOk;
  co_await this->WaitForPath(exchange.request().path);
  if (head.status == 0 || this->path == StorePath::kReset) {
    exchange.Abort();
    co_return;
  }
  std::ignore = co_await exchange.Send(std::move(head), std::move(out));
}

asio::awaitable<void> StoreStandin::WaitForPath(std::string call_path) const {
  const bool is_feed = call_path == kFeedPath;
  while (this->path == StorePath::kSilent ||
         (is_feed && this->path == StorePath::kSilentFeeds)) {
    co_await gateway::Pause(kFeedPollInterval);
  }
}

std::string StoreStandin::Dispatch(const RequestHead& request,
                                   const std::string& body, unsigned& status) {
  const std::string_view path(request.path);
  const auto object_name = [&] {
    return std::string(path.substr(path.rfind('/') + 1));
  };
  status = code::kOk;
  if (path == "/gypsumtrack/rows-tx") {
    const auto reply =
        CallSynchronously<base::TransactionReply>([&](auto handler) {
          this->client.transact(ParseTransaction(json::parse(body).as_object()),
                                base::kNever, handler);
        });
    if (!reply.ok()) return SetErrorStatus(reply.error(), status);
    if (!reply->applied) status = code::kPreconditionFailed;
    return json::serialize(json::object{{"ver", reply->version},
                                        {"nowMs", 1000},
                                        {"rows", FormatRows(reply->current)}});
  }
  if (path == "/gypsumtrack/rows-get") {
    base::RowRange range;
    range.table = QueryParameter(request, "table");
    range.partition = QueryParameter(request, "part");
    range.from = QueryParameter(request, "from");
    range.until = QueryParameter(request, "target");
    auto page = CallSynchronously<base::RowPage>(
        [&](auto handler) { this->client.read(range, base::kNever, handler); });
    if (!page.ok()) return SetErrorStatus(page.error(), status);
    this->ReplaceAddresses(page->rows);
    return json::serialize(json::object{{"rows", FormatRows(page->rows)},
                                        {"hasMore", page->more},
                                        {"ver", page->store_version},
                                        {"nowMs", 1000}});
  }
  if (path == kFeedPath) {
    base::FeedRequest feed;
    feed.table = QueryParameter(request, "table");
    feed.after_version = ParseNumber(QueryParameter(request, "after"));
    auto page = CallSynchronously<base::FeedPage>([&](auto handler) {
      this->client.feed(feed, base::kNever, std::move(handler));
    });
    if (!page.ok() && page.error().Is(base::Errc::kTimeout)) {
      this->store->DropFeeds();
      page = base::FeedPage{{}, feed.after_version, false};
      status = kFeedPending;
    }
    if (!page.ok()) return SetErrorStatus(page.error(), status);
    if (page->history_lost) status = code::kGone;
    this->ReplaceAddresses(page->rows);
    return json::serialize(json::object{{"rows", FormatRows(page->rows)},
                                        {"ver", page->next_version},
                                        {"nowMs", 1000}});
  }
  if (path == "/gypsumtrack/rows-parts") {
    const auto parts =
        CallSynchronously<std::vector<std::string>>([&](auto handler) {
          this->client.list_partitions(QueryParameter(request, "table"),
                                       base::kNever, handler);
        });
    if (!parts.ok()) return SetErrorStatus(parts.error(), status);
    return json::serialize(
        json::object{{"parts", json::array(parts->begin(), parts->end())},
                     {"hasMore", false}});
  }
  if (path.starts_with("/gypsumtrack/blob-put/")) {
    const auto done = CallSynchronously<base::Done>([&](auto handler) {
      this->client.put_object(object_name(), body, base::kNever, handler);
    });
    if (!done.ok()) return SetErrorStatus(done.error(), status);
    return {};
  }
  if (path.starts_with("/gypsumtrack/blob-drop/")) {
    const auto done = CallSynchronously<base::Done>([&](auto handler) {
      this->client.remove_object(object_name(), base::kNever, handler);
    });
    if (!done.ok()) return SetErrorStatus(done.error(), status);
    return {};
  }
  if (path.starts_with("/gypsumtrack/blob-get/")) {
    const auto bytes = CallSynchronously<std::string>([&](auto handler) {
      this->client.get_object(object_name(), base::kNever, handler);
    });
    if (!bytes.ok()) return SetErrorStatus(bytes.error(), status);
    return *bytes;
  }
  status = code::kBadRequest;
  return {};
}

EngineStandin::EngineStandin(const asio::any_io_executor& server_executor,
                             std::string engine_id)
    : executor(server_executor), instance_id(std::move(engine_id)) {}

base::Status EngineStandin::Start() {
  this->server = MakeServer(this->executor, [this](Exchange& exchange) {
    return this->Serve(exchange);
  });
  return this->server->Start();
}

std::string EngineStandin::address() const { return this->server->address(); }

std::string EngineStandin::Entry(const std::string& service,
                                 bool draining) const {
  return this->Entry(service, draining, this->address());
}

std::string EngineStandin::Entry(const std::string& service, bool draining,
                                 const std::string& address) const {
  const std::lock_guard lock(this->mutex);
  return json::serialize(
      json::object{{"service", service},
                   {"addr", address},
                   {"zone", "cairo"},
                   {"version", this->software_version},
                   {"slots", 8},
                   {"state", draining ? "draining" : "ready"},
                   {"coldLeftMs", 0},
                   {"born", this->start_millis},
                   {"seq", 1}});
}

void EngineStandin::SetVersion(const std::string& version) {
  const std::lock_guard lock(this->mutex);
  this->software_version = version;
}

void EngineStandin::SetStartTime(std::uint64_t millis) {
  const std::lock_guard lock(this->mutex);
  this->start_millis = millis;
}

void EngineStandin::SetFaults(const EngineFaults& next) {
  const std::lock_guard lock(this->mutex);
  this->faults = next;
}

void EngineStandin::SetEventPause(base::Duration pause) {
  const std::lock_guard lock(this->mutex);
  this->event_pause = pause;
}

void EngineStandin::SetSilence(std::uint64_t before_event,
                               base::Duration duration) {
  const std::lock_guard lock(this->mutex);
  this->silent_before_event = before_event;
  this->silence = duration;
}

base::Duration EngineStandin::PauseBefore(const EngineRun& run,
                                          std::uint64_t event) const {
  const std::lock_guard lock(this->mutex);
  base::Duration pause = this->event_pause;
  if (run.event_pause_millis > 0) {
    pause = std::chrono::milliseconds(run.event_pause_millis);
  }
  return event == this->silent_before_event ? pause + this->silence : pause;
}

void EngineStandin::SetLeaving(bool is_leaving) {
  const std::lock_guard lock(this->mutex);
  this->leaving = is_leaving;
}

void EngineStandin::SetRateLimit(const std::string& per_second) {
  const std::lock_guard lock(this->mutex);
  this->rate_limit = per_second;
}

void EngineStandin::SetCrashingPart(const std::string& part) {
  const std::lock_guard lock(this->mutex);
  this->crashing_part = part;
}

void EngineStandin::SetCrashingBody(const std::string& body,
                                    std::uint64_t after_events) {
  const std::lock_guard lock(this->mutex);
  this->crashing_body = body;
  this->crashes_after_events = after_events;
}

bool EngineStandin::CrashesAfter(const std::string& body,
                                 std::uint64_t events) const {
  const std::lock_guard lock(this->mutex);
  return !this->crashing_body.empty() && body == this->crashing_body &&
         events == this->crashes_after_events;
}

asio::awaitable<void> EngineStandin::Crash(Exchange& exchange) {
  {
    const std::lock_guard lock(this->mutex);
    this->has_crashed = true;
  }
  this->server->Stop();
  // A caller that sees its connection end must find the port closed, as it is
  // when a process ends.
  co_await gateway::Pause(kCrashDuration);
  exchange.Abort();
}

bool EngineStandin::crashed() const {
  const std::lock_guard lock(this->mutex);
  return this->has_crashed;
}

bool EngineStandin::CrashesOn(const RequestHead& request) const {
  const auto parts = TextHeader(request, "X-Gypsumtrack-Prompt-Prefix");
  const std::lock_guard lock(this->mutex);
  return !this->crashing_part.empty() &&
         parts.find(this->crashing_part) != std::string::npos;
}

std::vector<gateway::Header> EngineStandin::CommonHeaders(
    const std::string& request_id) const {
  const std::lock_guard lock(this->mutex);
  std::vector<gateway::Header> headers{
      {"X-Gypsumtrack-Request-Id", request_id}};
  if (this->leaving) headers.push_back({"Server-Leaving", "1"});
  if (!this->rate_limit.empty())
    headers.push_back({"Server-Limit", this->rate_limit});
  return headers;
}

std::vector<EngineRun> EngineStandin::runs() const {
  const std::lock_guard lock(this->mutex);
  return this->recorded_runs;
}

asio::awaitable<void> EngineStandin::Serve(Exchange& exchange) {
  auto body = co_await exchange.ReadBody(kMaxBodyBytes);
  if (!body.ok()) co_return;
  const auto& request = exchange.request();
  EngineRun run;
  run.engine = this->instance_id;
  run.request_id = TextHeader(request, "X-Gypsumtrack-Request-Id");
  run.organisation = TextHeader(request, "X-Gypsumtrack-Tenant");
  run.key = TextHeader(request, "X-Api-Key");
  run.target = request.target;
  run.after_event = NumberHeader(request, "Last-Event-Id");
  run.deadline_millis = NumberHeader(request, "X-Gypsumtrack-Deadline-Ms");
  run.event_pause_millis = NumberHeader(request, "X-Event-Pause-Ms");
  run.body = *body;
  run.at = base::SystemClock().now();
  ResponseHead head;
  head.headers = this->CommonHeaders(run.request_id);
  const auto expected = TextHeader(request, "X-Gypsumtrack-Expect-Instance");
  const auto consume_fault = [this](std::uint32_t EngineFaults::*fault) {
    const std::lock_guard lock(this->mutex);
    if (this->faults.*fault == 0) return false;
    --(this->faults.*fault);
    return true;
  };
  if (!expected.empty() && expected != this->instance_id) {
    head.status = code::kMisdirected;
    head.headers.push_back({"X-Gypsumtrack-Instance-Id", this->instance_id});
    std::ignore = co_await exchange.Send(std::move(head), std::string());
    co_return;
  }
  if (consume_fault(&EngineFaults::refuse)) {
    head.status = code::kUnavailable;
    head.headers.push_back({"X-Gypsumtrack-Not-Run", "1"});
    std::ignore = co_await exchange.Send(std::move(head), std::string());
    co_return;
  }
  {
    const std::lock_guard lock(this->mutex);
    this->recorded_runs.push_back(run);
  }
  if (consume_fault(&EngineFaults::fail)) {
    head.status = code::kServerError;
    head.headers.push_back({"X-Gypsumtrack-Response-Seal", "s-500"});
    std::ignore = co_await exchange.Send(std::move(head), std::string("no"));
    co_return;
  }
  if (this->CrashesOn(request)) {
    co_await this->Crash(exchange);
    co_return;
  }
  const bool breaks_between_events = consume_fault(&EngineFaults::break_off);
  const bool breaks_inside_event = consume_fault(&EngineFaults::break_inside);
  co_await this->Stream(exchange, std::move(run), breaks_between_events,
                        breaks_inside_event);
}

asio::awaitable<void> EngineStandin::Stream(Exchange& exchange, EngineRun run,
                                            bool breaks_between_events,
                                            bool breaks_inside_event) {
  ResponseHead head;
  head.headers = this->CommonHeaders(run.request_id);
  head.headers.push_back({"Content-Type", "text/event-stream"});
  head.headers.push_back(
      {"X-Gypsumtrack-Response-Seal", "seal-" + this->instance_id});
  head.headers.push_back({"X-Gypsumtrack-Server-Load", "1,0,8"});
  std::ignore = co_await exchange.BeginStream(std::move(head));
  for (auto id = run.after_event + 1; id <= kEvents; ++id) {
    const auto pause = this->PauseBefore(run, id);
    if (pause > base::Duration::zero()) co_await gateway::Pause(pause);
    if (this->CrashesAfter(run.body, id - 1)) {
      co_await this->Crash(exchange);
      co_return;
    }
    if (breaks_between_events && id == 3) {
      exchange.Abort();
      co_return;
    }
    std::string event = fmt::format("id: {}\ndata: word{}\n\n", id, id);
    if (breaks_inside_event && id == 3) {
      std::ignore = co_await exchange.WritePart(event.substr(0, 6));
      exchange.Abort();
      co_return;
    }
    const auto written = co_await exchange.WritePart(std::move(event));
    if (!written.ok()) co_return;
  }
  std::ignore = co_await exchange.EndStream();
}

}  // namespace gypsumtrack::testing
