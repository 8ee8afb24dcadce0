#include "gypsumtrack/base/event_log.h"

#include <fmt/chrono.h>
#include <unistd.h>

#include <chrono>
#include <condition_variable>
#include <iterator>
#include <mutex>
#include <thread>

namespace gypsumtrack::base {
namespace {

constexpr std::size_t kMaxQueuedBytes = std::size_t{1} << 20;
constexpr std::uint64_t kMaxBytesPerSecond = std::uint64_t{256} * 1024;
/// Delay before each write, so that one write carries several lines.
constexpr auto kWriteDelay = std::chrono::milliseconds(50);

std::uint64_t WallMillis() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count());
}

void WriteAll(std::string_view text) {
  while (!text.empty()) {
    const auto written = ::write(STDOUT_FILENO, text.data(), text.size());
    // Standard output is closed or failing, so the error can't be logged.
    if (written <= 0) return;
    text.remove_prefix(static_cast<std::size_t>(written));
  }
}

/// The buffer of this process and the thread that writes it out. Never
/// destroyed, since other code may still log while the process exits.
class EventLog {
 public:
  EventLog() : buffer(kMaxQueuedBytes, kMaxBytesPerSecond) {
    std::thread([this] { this->RunWriter(); }).detach();
  }

  void Add(std::string_view line, std::uint64_t now_millis) {
    bool wake = false;
    {
      const std::lock_guard lock(this->mutex);
      wake = this->buffer.Add(line, now_millis) && !this->has_lines;
      this->has_lines = this->has_lines || wake;
    }
    if (wake) this->added.notify_one();
  }

  void Flush() {
    const std::lock_guard writing(this->write_mutex);
    std::string text;
    {
      const std::lock_guard lock(this->mutex);
      text = this->buffer.TakeAll();
      this->has_lines = false;
    }
    WriteAll(text);
  }

  EventLogTotals Totals() {
    const std::lock_guard lock(this->mutex);
    return this->buffer.totals();
  }

 private:
  void RunWriter() {
    for (;;) {
      {
        std::unique_lock lock(this->mutex);
        this->added.wait(lock, [this] { return this->has_lines; });
      }
      std::this_thread::sleep_for(kWriteDelay);
      this->Flush();
    }
  }

  std::mutex write_mutex;
  std::mutex mutex;
  std::condition_variable added;
  bool has_lines = false;
  detail::LogBuffer buffer;
};

EventLog& ProcessLog() {
  static auto* log = new EventLog;
  return *log;
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \"=\\\n\r\t") != std::string_view::npos;
}

void AppendQuoted(std::string& line, std::string_view value) {
  line += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') line += '\\';
    line += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  line += '"';
}

}  // namespace

std::string FormatEvent(std::string_view event,
                        std::initializer_list<LogField> fields) {
  std::string line("event=");
  line += event;
  for (const auto& field : fields) {
    line += ' ';
    line += field.name;
    line += '=';
    if (NeedsQuotes(field.value)) {
      AppendQuoted(line, field.value);
    } else {
      line += field.value;
    }
  }
  return line;
}

void LogEvent(std::string_view event, std::initializer_list<LogField> fields) {
  const auto now = WallMillis();
  std::string line;
  fmt::format_to(std::back_inserter(line), "time={:%Y-%m-%dT%H:%M:%S}.{:03}Z ",
                 fmt::gmtime(static_cast<std::time_t>(now / 1000)), now % 1000);
  line += FormatEvent(event, fields);
  line += '\n';
  ProcessLog().Add(line, now);
}

EventLogTotals ReadEventLogTotals() { return ProcessLog().Totals(); }

void FlushEventLog() { ProcessLog().Flush(); }

namespace detail {

LogBuffer::LogBuffer(std::size_t max_bytes, std::uint64_t byte_rate)
    : max_queued_bytes(max_bytes), bytes_per_second(byte_rate) {}

bool LogBuffer::Add(std::string_view line, std::uint64_t now_millis) {
  if (now_millis / 1000 != this->current_second) {
    this->current_second = now_millis / 1000;
    this->bytes_this_second = 0;
  }
  const bool too_fast =
      this->bytes_this_second + line.size() > this->bytes_per_second;
  if (too_fast || this->queued.size() + line.size() > this->max_queued_bytes) {
    ++this->dropped_unreported;
    ++this->counters.dropped;
    return false;
  }
  this->bytes_this_second += line.size();
  this->queued += line;
  ++this->counters.lines;
  this->counters.bytes += line.size();
  return true;
}

std::string LogBuffer::TakeAll() {
  std::string text;
  if (this->dropped_unreported > 0) {
    text =
        fmt::format("event=log_dropped lines={}\n", this->dropped_unreported);
    this->dropped_unreported = 0;
  }
  text += this->queued;
  this->queued.clear();
  return text;
}

}  // namespace detail

}  // namespace gypsumtrack::base
