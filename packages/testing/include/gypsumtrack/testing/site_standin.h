#ifndef GYPSUMTRACK_TESTING_SITE_STANDIN_H_
#define GYPSUMTRACK_TESTING_SITE_STANDIN_H_

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/base/time.h"
#include "gypsumtrack/gateway/http_server.h"
#include "gypsumtrack/testing/memory_row_store.h"

/// Simulated store and endpoint of a deployment of the users' platform, which
/// implement its published HTTP protocol.
namespace gypsumtrack::testing {

/// What becomes of the calls to a StoreStandin, those in progress included.
enum class StorePath {
  kSound,   ///< they are answered
  kSilent,  ///< they are left without an answer until the path is sound again
  kReset,   ///< their connections are closed
  kSilentFeeds,  ///< feeds are left without an answer, others are answered
};

/// Returns the address at which an endpoint is reached, given its instance id.
using EndpointAddressLookup = std::function<std::string(const std::string& id)>;

/// The platform's store over HTTP, backed by a MemoryRowStore and its injected
/// faults.
class StoreStandin {
 public:
  /// Serves requests on `executor`.
  explicit StoreStandin(const boost::asio::any_io_executor& executor);
  /// Serves the same rows and faults as `shared`, as a path of its own to the
  /// same store, with the address that `find_address` returns in the entry of
  /// each endpoint if it is given. Precondition: both run on the same thread.
  StoreStandin(const StoreStandin& shared, EndpointAddressLookup find_address);

  /// Starts to listen on a free port of the loopback interface.
  base::Status Start();
  /// The bound `ip:port`. Precondition: Start succeeded.
  std::string address() const;  // NOLINT
  /// The backing store. Thread-safe.
  MemoryRowStore& rows() { return *this->store; }  // NOLINT
  /// Sets what becomes of the calls that arrive here. Thread-safe.
  void SetPath(StorePath next) { this->path = next; }
  /// Writes a row unconditionally, as an operator or an endpoint does.
  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  /// Removes a row unconditionally.
  void Remove(const std::string& table, const std::string& key);

 private:
  /// Handles one HTTP request.
  boost::asio::awaitable<void> Serve(gateway::Exchange& exchange);
  /// Handles a request; sets `status` to 0 if the connection must be aborted.
  std::string Dispatch(const gateway::RequestHead& request,
                       const std::string& body, unsigned& status);
  /// Replaces the addresses in the entries of endpoints among the rows.
  void ReplaceAddresses(std::vector<base::VersionedRow>& rows) const;

  /// Waits while the path leaves such a call without an answer.
  boost::asio::awaitable<void> WaitForPath(std::string call_path) const;

  boost::asio::any_io_executor executor;
  std::shared_ptr<MemoryRowStore> store;
  base::RowStore client;
  /// Empty if the entries are served as they are.
  EndpointAddressLookup find_endpoint_address;
  std::atomic<StorePath> path{StorePath::kSound};
  std::unique_ptr<gateway::HttpServer> server;
};

/// Injected faults: the number of next requests that each applies to.
struct EngineFaults {
  /// Respond 503 without running the request.
  std::uint32_t refuse = 0;
  /// Respond 500 after running the request.
  std::uint32_t fail = 0;
  /// Abort the connection after two events.
  std::uint32_t break_off = 0;
  /// Abort the connection in the middle of the third event.
  std::uint32_t break_inside = 0;
};

/// A request that an engine ran, as received.
struct EngineRun {
  /// The instance id of the engine.
  std::string engine;
  std::string request_id;
  std::string organisation;
  std::string target;
  std::string key;
  std::uint64_t after_event = 0;
  /// Value of X-Gypsumtrack-Deadline-Ms.
  std::uint64_t deadline_millis = 0;
  /// Value of X-Event-Pause-Ms, which a test sets: the pause before each event,
  /// or 0 for that of the engine.
  std::uint64_t event_pause_millis = 0;
  std::string body;
  base::Instant at{};
};

/// An endpoint that responds to each request with a stream of numbered
/// events. Thread-safe after Start.
class EngineStandin {
 public:
  /// Serves requests on `executor` as the instance `id`.
  EngineStandin(const boost::asio::any_io_executor& executor, std::string id);

  /// Starts to listen on a free port of the loopback interface.
  base::Status Start();
  /// The bound `ip:port`. Precondition: Start succeeded.
  std::string address() const;  // NOLINT
  /// The instance id.
  const std::string& id() const { return this->instance_id; }  // NOLINT
  /// Its entry in the store, as JSON.
  std::string Entry(const std::string& service, bool draining) const;
  /// The same with another address, such as that of a proxy.
  std::string Entry(const std::string& service, bool draining,
                    const std::string& address) const;
  /// Sets the version of its software in entries made from now on; "v1" until
  /// then.
  void SetVersion(const std::string& version);
  /// Sets its start time in entries made from now on, in Unix milliseconds.
  void SetStartTime(std::uint64_t millis);
  /// Replaces the injected faults.
  void SetFaults(const EngineFaults& faults);
  /// Sets the pause before each event; none by default.
  void SetEventPause(base::Duration pause);
  /// Makes each run fall silent for that time before the event with that id.
  void SetSilence(std::uint64_t before_event, base::Duration duration);
  /// Sets whether all its responses report that it leaves.
  void SetLeaving(bool is_leaving);
  /// Sets the value of the header in which all its responses name the requests
  /// a second that it accepts; empty for none.
  void SetRateLimit(const std::string& per_second);
  /// Ends the engine, as a crash does, when it begins to write an answer on a
  /// prompt with this part.
  void SetCrashingPart(const std::string& part);
  /// Ends the engine, as a crash does, after that many events of an answer to a
  /// request with this body.
  void SetCrashingBody(const std::string& body, std::uint64_t after_events);
  /// Whether it has crashed.
  bool crashed() const;  // NOLINT
  /// The requests that it ran, in order.
  std::vector<EngineRun> runs() const;  // NOLINT

  /// Number of events in a response.
  static constexpr std::uint64_t kEvents = 6;

 private:
  /// Handles one HTTP request.
  boost::asio::awaitable<void> Serve(gateway::Exchange& exchange);
  /// Whether the parts of the request's prompt crash the engine.
  bool CrashesOn(const gateway::RequestHead& request) const;
  /// Returns the headers of every response.
  std::vector<gateway::Header> CommonHeaders(
      const std::string& request_id) const;
  /// Closes the listener and all connections, as a crash does.
  boost::asio::awaitable<void> Crash(gateway::Exchange& exchange);
  /// Whether a request with this body crashes the engine once that many events
  /// of its answer were sent.
  bool CrashesAfter(const std::string& body, std::uint64_t events) const;
  /// Returns how long a run pauses before the event with that id.
  base::Duration PauseBefore(const EngineRun& run, std::uint64_t event) const;
  /// Streams the events after `run.after_event`, with the given faults.
  boost::asio::awaitable<void> Stream(gateway::Exchange& exchange,
                                      EngineRun run, bool breaks_between_events,
                                      bool breaks_inside_event);

  boost::asio::any_io_executor executor;
  std::string instance_id;
  std::string software_version = "v1";
  std::uint64_t start_millis = 1700000000000;
  mutable std::mutex mutex;
  EngineFaults faults;
  base::Duration event_pause{0};
  std::uint64_t silent_before_event = 0;
  base::Duration silence{0};
  bool leaving = false;
  std::string rate_limit;
  std::string crashing_part;
  std::string crashing_body;
  std::uint64_t crashes_after_events = 0;
  bool has_crashed = false;
  std::vector<EngineRun> recorded_runs;
  std::unique_ptr<gateway::HttpServer> server;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_SITE_STANDIN_H_
