#ifndef GYPSUMTRACK_TESTING_SOAK_SOAK_FIXTURE_H_
#define GYPSUMTRACK_TESTING_SOAK_SOAK_FIXTURE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon_process.h"
#include "loopback_proxy.h"
#include "soak_callers.h"

/// A local deployment: daemons as child processes, stand-ins of the store and
/// of endpoints in this process, and proxies between them that inject faults.
namespace gypsumtrack::testing {

/// Options of one run.
struct SoakOptions {
  /// The path of the daemon program.
  std::string program;
  /// The path of an earlier release, which each daemon runs until it restarts;
  /// empty if there is none.
  std::string old_program;
  /// Holds the settings and the output of the daemons.
  std::string directory;
  std::uint64_t seed = 1;
  std::size_t daemons = 4;
  std::size_t endpoints = 3;
  std::size_t callers = 24;
  /// Callers that end their jobs.
  std::size_t ending_callers = 4;
  /// How long faults are injected.
  base::Duration fault_duration = std::chrono::seconds(12);
  /// Whether daemons are also cut from all endpoints.
  bool cuts = false;
};

/// A daemon and the proxies through which it alone reaches the store and the
/// endpoints.
struct SoakDaemon {
  /// By the instance id of the endpoint.
  std::map<std::string, std::unique_ptr<LoopbackProxy>> endpoint_proxies;
  /// The store, with the addresses of `endpoint_proxies`.
  std::unique_ptr<StoreStandin> store;
  std::unique_ptr<LoopbackProxy> store_proxy;
  std::unique_ptr<DaemonProcess> process;
  /// When to start it again; kNever unless it is down.
  base::Instant start_at = base::kNever;
  /// When to send SIGCONT; kNever unless it is paused.
  base::Instant resume_at = base::kNever;
  /// When to kill it if it still runs; kNever unless it was asked to stop.
  base::Instant kill_at = base::kNever;
};

/// Runs the deployment, injects faults and checks the invariants. Not
/// thread-safe: everything runs on the thread that calls Run().
class SoakFixture {
 public:
  /// Starts nothing yet.
  explicit SoakFixture(SoakOptions options);

  /// Runs the scenario of one seed and returns the violations. Throws
  /// std::runtime_error if a part fails to start or on SIGTERM and SIGINT.
  /// Precondition: called once.
  std::vector<std::string> Run();

 private:
  /// Starts a coroutine; an exception that it throws leaves Run().
  void Spawn(boost::asio::awaitable<void> coroutine);
  /// Starts all callers of streams and jobs.
  void StartCallers();
  /// The number of jobs that were accepted, and of those that were ended.
  std::string CountJobs() const;
  /// Runs callers, injects faults, clears them, and checks the recovery.
  boost::asio::awaitable<void> RunScenario();
  /// Polls until all daemons report ready in the same round. Returns false if
  /// that does not happen before `until`.
  boost::asio::awaitable<bool> AwaitReady(base::Instant until);
  /// Checks that callers get what their limits allow when there are no faults.
  void CheckServed(base::Instant since);
  /// Injects a random fault every 200 to 1099 ms.
  boost::asio::awaitable<void> InjectFaults(base::Instant until);
  /// Cuts daemons from all endpoints, one group after the other.
  boost::asio::awaitable<void> CutDaemons(base::Instant until);
  /// Draws at least one daemon and not all. Precondition: there are several.
  std::vector<std::size_t> DrawDaemonsToCut();
  /// Sets the cut between some daemons and all endpoints.
  void SetCut(const std::vector<std::size_t>& numbers, ProxyCut cut);
  /// Makes endpoints name limits, one after the other.
  boost::asio::awaitable<void> NameLimits(base::Instant until);
  /// Starts, resumes and kills daemons when that is due, and adds a violation
  /// for each that exited without being asked to.
  boost::asio::awaitable<void> SuperviseDaemons();
  /// Ends all faults, and restores the endpoint entries and the second key.
  void ClearFaults();
  /// Throws std::runtime_error if one fails to start.
  void StartStoreAndEndpoints();
  /// Starts the proxies of a daemon and its front of the store. Throws
  /// std::runtime_error if one fails to start.
  SoakDaemon MakeDaemon();
  /// Starts the daemons behind their proxies and creates the callers.
  void StartDaemons();
  /// Writes the next version of the rules, with or without the second key.
  void WriteRules(bool with_second_key);

  // Each injects one random fault or change.
  /// Kills, stops, pauses or reloads a daemon.
  void InjectDaemonFault();
  /// Sets the fault between a daemon and the store.
  void InjectStoreProxyFault();
  /// Makes the store fail, lose responses or respond late.
  void InjectStoreFault();
  /// Sets the fault between the daemons and an endpoint.
  void InjectEndpointProxyFault();
  /// Makes an endpoint refuse, fail or break off requests.
  void InjectEndpointFault();
  /// Removes or rewrites the entry of an endpoint in the store.
  void ChangeEndpointEntry();
  /// Withdraws the second key, or restores it.
  void ChangeRules();
  /// Prints a line with the time in ms.
  void Log(const std::string& message) const;

  SoakOptions options;
  boost::asio::io_context context;
  /// Ends the soak on SIGTERM and SIGINT, so that its daemons are killed.
  boost::asio::signal_set signals;
  base::Clock clock;
  InvariantChecker checker;
  StoreStandin store;
  std::vector<std::unique_ptr<EngineStandin>> endpoints;
  std::vector<SoakDaemon> daemons;
  std::unique_ptr<CallerContext> caller_context;
  /// The first lets its jobs run, the others end theirs.
  std::vector<std::unique_ptr<JobCaller>> job_callers;
  std::mt19937 random;
  /// Random numbers of their own, so that the other faults of a seed stay.
  std::mt19937 limits_random;
  std::mt19937 cuts_random;
  std::uint64_t rules_version = 1;
  bool has_second_key = true;
  bool store_is_down = false;
  bool supervising = true;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_SOAK_SOAK_FIXTURE_H_
