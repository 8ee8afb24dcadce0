#ifndef REVIEW_LIB_2_FLEET_H_
#define REVIEW_LIB_2_FLEET_H_

#include <sys/types.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "record.h"
#include "store.h"

namespace review {

/// The machines of a small deployment, each with one daemon as a process of its
/// own. Plays the platform's part: it starts a process that has ended again,
/// and ends one that exceeds the memory of its machine (DEPLOY.md: "A process
/// that exceeds `memoryMb` is killed").
class Fleet {
 public:
  struct Options {
    std::size_t machines = 3;
    /// The machines of the smaller site.
    std::size_t memory_mb = 140;
    /// Holds settings and logs.
    std::string directory;
  };

  /// Starts the daemons with the command of the deploy file.
  Fleet(Options fleet_options, Store& platform_store, Record& play_record);
  /// Ends all daemons.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  std::size_t size() const { return this->machines.size(); }
  /// The address for clients of a machine.
  std::string FrontAddress(std::size_t machine) const;
  /// The address of a machine for the platform's question.
  std::string ReadyAddress(std::size_t machine) const;
  /// Waits until all machines have answered 200 to the platform's question.
  bool WaitReady(milliseconds timeout) const;
  /// Sends a signal to the process of a machine.
  void Signal(std::size_t machine, int number);

  /// How often the process of a machine has ended by itself, the ends for
  /// memory included.
  int Ends(std::size_t machine) const;
  /// The most memory that the process of a machine had, in MB.
  std::size_t PeakMb(std::size_t machine) const;

 private:
  struct Machine {
    std::string name;
    std::string ip;
    std::string domain;
    std::string region;
    pid_t pid = 0;
    bool is_first_start = true;
    /// Whether the end that comes was caused by Signal.
    bool is_signalled = false;
    Clock::time_point start_at;
    int ends = 0;
    std::size_t peak_mb = 0;
  };

  void Supervise();
  void Start(Machine& machine);
  void Check(Machine& machine);

  const Options options;
  Store& store;
  Record& record;
  mutable std::mutex mutex;
  std::vector<Machine> machines;
  std::atomic<bool> stopped = false;
  std::thread supervisor;
};

}  // namespace review

#endif  // REVIEW_LIB_2_FLEET_H_
