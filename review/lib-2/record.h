#ifndef REVIEW_LIB_2_RECORD_H_
#define REVIEW_LIB_2_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// The file that tells what a play sent, what was answered and what ran.
/// Thread-safe.
class Record {
 public:
  /// Replaces the file. Times in it count from now on.
  explicit Record(const std::string& path);

  /// Writes a line, after the time in milliseconds.
  void Line(const std::string& text);
  /// Milliseconds since the play began.
  long Millis() const;

 private:
  const Clock::time_point started_at = Clock::now();
  std::mutex mutex;
  std::ofstream out;
};

}  // namespace review

#endif  // REVIEW_LIB_2_RECORD_H_
