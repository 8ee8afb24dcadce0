#ifndef GYPSUMTRACK_TESTING_SOAK_SOAK_CALLERS_H_
#define GYPSUMTRACK_TESTING_SOAK_SOAK_CALLERS_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <list>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "invariant_checker.h"
#include "soak_http.h"

/// Simulated callers of streams and batch jobs, which check the responses.
namespace gypsumtrack::testing {

/// An API key and the organisation that owns it.
struct CallerKey {
  std::string organisation;
  std::string key;
};

/// A daemon and where it accepts requests.
struct CallerTarget {
  std::string name;
  /// `ip:port`.
  std::string address;
};

/// State that all callers share. Not thread-safe: all callers run on one
/// thread.
struct CallerContext {
  boost::asio::any_io_executor executor;
  base::Clock clock;
  InvariantChecker& checker;
  std::vector<CallerTarget> daemons;
  std::vector<CallerKey> keys;
  std::mt19937 random;
  /// Tells the callers to send no more requests.
  bool stopped = false;
  std::uint64_t last_id = 0;

  /// Draws a number in [0, bound). Precondition: `bound` > 0.
  std::size_t RandomBelow(std::size_t bound) { return this->random() % bound; }
  /// Draws a daemon.
  const CallerTarget& RandomDaemon() {
    return this->daemons[this->RandomBelow(this->daemons.size())];
  }
  /// Returns an id that was not returned before.
  std::string NextId(const std::string& kind) {
    return kind + "-" + std::to_string(++this->last_id);
  }
};

/// Sends requests for streams until stopped, on a connection that is reused.
boost::asio::awaitable<void> RunStreamCaller(CallerContext& context);

/// A job that a daemon accepted.
struct AcceptedJob {
  std::string id;
  CallerKey key;
  /// The body of the submission.
  std::string submission;
  std::vector<std::string> items;
  /// The result at each position, as JSON text, when it was first read.
  std::vector<std::string> seen_results;
  /// A caller has asked for its end, so it need not become complete.
  bool end_requested = false;
  /// A daemon has acknowledged its end.
  bool ended = false;
  /// Whether all results were read.
  bool complete() const {  // NOLINT
    return this->seen_results.size() == this->items.size();
  }
};

/// The items of a job.
struct JobShape {
  std::size_t items = 0;
  /// The pause of an endpoint before each event; 0 for its own.
  std::uint64_t event_pause_millis = 0;
};

/// Submits jobs, reads their results and ends them, each time at a random
/// daemon. Not thread-safe.
class JobCaller {
 public:
  /// `context` must outlive the caller.
  explicit JobCaller(CallerContext& context);

  /// Submits jobs and reads results until stopped.
  boost::asio::awaitable<void> Run();
  /// Submits jobs that take long and ends each after up to 6 s, until stopped.
  boost::asio::awaitable<void> RunAndEndJobs();
  /// Reads each job until it is complete, or ends it if that was begun, until
  /// `until` has passed. Adds a violation for each job that remains.
  boost::asio::awaitable<void> ReadAllResults(base::Instant until);
  /// The number of jobs that were accepted.
  std::size_t jobs_accepted() const { return this->jobs.size(); }  // NOLINT

 private:
  /// Submits a job, with retries until one submission is accepted. Returns
  /// nullptr if none is; the job is valid as long as this object.
  boost::asio::awaitable<AcceptedJob*> Submit(JobShape shape);
  /// Sends the submission of a job once and returns the status.
  boost::asio::awaitable<unsigned> SendSubmission(const AcceptedJob& job);
  /// Asks once for the end of a job.
  boost::asio::awaitable<void> End(AcceptedJob& job);
  /// Adds a violation if the status says that an accepted job doesn't exist.
  void CheckExists(const AcceptedJob& job, unsigned status);
  /// Reads one page of results.
  boost::asio::awaitable<void> Read(AcceptedJob& job);
  /// Checks a page of results that starts at position `after`, and stores those
  /// that are new.
  void CheckResults(AcceptedJob& job, std::size_t after,
                    const std::string& body);

  CallerContext& context;
  std::list<AcceptedJob> jobs;
};

}  // namespace gypsumtrack::testing

#endif  // GYPSUMTRACK_TESTING_SOAK_SOAK_CALLERS_H_
