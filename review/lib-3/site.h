#ifndef GYPSUMTRACK_REVIEW_LIB_3_SITE_H_
#define GYPSUMTRACK_REVIEW_LIB_3_SITE_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../../packages/testing/soak/daemon_process.h"
#include "../../packages/testing/soak/soak_http.h"
#include "gypsumtrack/testing/site_standin.h"

/// What the scripts of the review share: a small deployment with daemons as
/// processes, the stand-ins of the store and the endpoints, and callers.
namespace gypsumtrack::review {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Options of every case, from the environment of its script.
struct PlayOptions {
  std::string program;
  /// Files of the case and of lib-3.
  std::string case_directory;
  std::string lib_directory;
  /// Settings and logs of the daemons.
  std::string directory;
  bool trouble = true;
};

/// Reads PROGRAM, CASE_DIR, LIB_DIR, PLAY_DIR and TROUBLE. Throws
/// std::runtime_error if one is missing.
PlayOptions ReadPlayOptions();

/// Reads a whole file. Throws std::runtime_error if it can't be read.
std::string ReadFile(const std::string& path);

/// Names of the wire, from wire.names.
class WireNames {
 public:
  explicit WireNames(const std::string& path);
  const std::string& operator[](const std::string& name) const;

 private:
  std::map<std::string, std::string> names;
};

/// Writes record.txt: one line an event, with the milliseconds since the start.
/// Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);
  void Add(const std::string& line);
  double Seconds() const;

 private:
  std::mutex mutex;
  std::ofstream out;
  steady_clock::time_point started = steady_clock::now();
};

/// An event loop on a thread of its own.
class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  boost::asio::io_context& context() { return this->loop; }
  /// Runs `action` on the thread and waits for its end.
  void Run(const std::function<void()>& action);

 private:
  boost::asio::io_context loop;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::thread thread;
};

/// What a caller got.
struct Answer {
  double sent_at = 0;
  double ended_at = 0;
  testing::CallResponse response;
};

/// Sends requests, each on a new connection.
class Callers {
 public:
  explicit Callers(const Record& record) : record(record) {}
  /// Sends a request and passes on the answer, on a thread of its own.
  void Send(const std::string& address, testing::CallRequest request,
            milliseconds timeout, std::function<void(const Answer&)> handler);
  /// Sends a request and waits for the answer.
  Answer Call(const std::string& address, testing::CallRequest request,
              milliseconds timeout);

 private:
  const Record& record;
  Loop loop;
};

/// A daemon process under the platform's limit of memory: one that exceeds it
/// is killed and started again after a short delay.
class LimitedDaemon {
 public:
  LimitedDaemon(testing::DaemonConfig config, std::size_t memory_mb,
                Record& record);
  void Start();
  /// To be called many times a second.
  void Supervise();
  testing::DaemonProcess& process() { return this->daemon; }
  /// Ends by itself or for lack of memory.
  int ends() const { return this->end_count; }
  std::size_t peak_mb() const { return this->peak; }

 private:
  /// Its script ends what is left of these if the play itself is killed.
  std::string pid_file;
  testing::DaemonProcess daemon;
  std::size_t limit_mb;
  Record& record;
  int end_count = 0;
  std::size_t peak = 0;
  steady_clock::time_point start_at = steady_clock::time_point::max();
};

/// Resident memory of a process in MB.
std::size_t ResidentMb(pid_t process);

/// Settings of daemon `number`, on a loopback address of its own.
testing::DaemonConfig MakeDaemonConfig(const PlayOptions& options, int number,
                                       const std::string& store_address);

/// Waits until `condition` holds; false if it doesn't within `bound`.
bool WaitFor(milliseconds bound, const std::function<bool()>& condition);

}  // namespace gypsumtrack::review

#endif  // GYPSUMTRACK_REVIEW_LIB_3_SITE_H_
