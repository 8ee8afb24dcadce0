#ifndef REVIEW_LIB_2_PLAY_H_
#define REVIEW_LIB_2_PLAY_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "entry.h"
#include "fleet.h"
#include "record.h"
#include "store.h"
#include "worker.h"

namespace review {

/// The parts of a play: a store, workers, daemons and the entry. The stand-ins
/// live until this process ends, since their connections may outlive the play;
/// the destructor ends the daemons.
class Play {
 public:
  struct Options {
    std::size_t workers = 3;
    Worker::Options worker;
    std::size_t machines = 3;
  };

  /// `directory` is a temporary folder. Waits until the machines are ready;
  /// throws std::runtime_error if they aren't in time.
  Play(const Options& options, const std::string& directory,
       const std::string& record_file);

  Store& store() { return *this->platform_store; }
  Fleet& fleet() { return *this->daemons; }
  Entry& entry() { return *this->platform_entry; }
  Record& record() { return *this->play_record; }
  Worker& worker(std::size_t number) { return *this->workers[number]; }
  std::size_t worker_count() const { return this->workers.size(); }

  /// Submits a batch job at a machine and returns the status of the answer.
  unsigned Submit(std::size_t machine, const std::string& job,
                  const std::string& key, const std::string& body);

 private:
  Record* play_record;
  Store* platform_store;
  std::vector<Worker*> workers;
  std::unique_ptr<Fleet> daemons;
  std::unique_ptr<Entry> platform_entry;
};

/// Whether processes have ended by themselves as often as the rule Fault allows
/// at most; writes the result to the record.
bool JudgeEnds(Play& play);

/// Runs a play as the program's main function does: `play` returns whether the
/// rule held. The arguments are a temporary folder and the record's file.
/// Returns 0 if the rule held, 1 if it was broken and 2 if the play couldn't
/// run.
int RunPlay(int argc, char** argv,
            const std::function<bool(const std::string& directory,
                                     const std::string& record_file,
                                     bool trouble)>& play);

}  // namespace review

#endif  // REVIEW_LIB_2_PLAY_H_
