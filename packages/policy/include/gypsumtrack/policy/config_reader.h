#ifndef GYPSUMTRACK_POLICY_CONFIG_READER_H_
#define GYPSUMTRACK_POLICY_CONFIG_READER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "gypsumtrack/base/time.h"

/// Decides when a daemon reads the table's log itself, and tracks how recently
/// the log's head was confirmed.
namespace gypsumtrack::policy {

/// Settings of a ConfigReader.
struct ReadTiming {
  /// Time between two reads of a domain's root.
  base::Duration poll_interval = std::chrono::milliseconds(1000);
  /// Age of the head's confirmation above which any VM reads the table itself.
  base::Duration max_confirmation_age = std::chrono::milliseconds(2500);
  /// Timeout of a call to the table.
  base::Duration call_timeout = std::chrono::milliseconds(1000);
  /// Delay after the first failed read. Doubles with each further failure, up
  /// to `max_backoff`.
  base::Duration initial_backoff = std::chrono::milliseconds(250);
  base::Duration max_backoff = std::chrono::milliseconds(1000);
};

/// The schedule of a VM's reads of the table. Not thread-safe.
class ConfigReader {
 public:
  /// `seed` selects the backoff's jitter, so that VMs whose reads fail at the
  /// same time don't retry at the same time.
  ConfigReader(ReadTiming timing, std::uint64_t seed)
      : timing(timing), seed(seed) {}

  // Commands.

  /// A read was sent.
  void OnReadSent(base::Instant now);
  /// The last read reached the table's head.
  void OnCaughtUp();
  /// The last read returned only a part of the log: the next one is due at
  /// once.
  void OnPartialRead();
  /// The last read failed: the next one is delayed by the backoff.
  void OnReadFailed(base::Instant now);
  /// The replica's head was the table's head at `time`. Returns whether this is
  /// later than the last confirmation.
  bool OnHeadConfirmed(base::Instant time);
  /// Makes a read due at once, subject to the backoff.
  void RequestRead();

  // Queries.

  /// Whether a read was sent and has no reply yet.
  bool in_flight() const { return this->sent_at.has_value(); }  // NOLINT
  /// When to read next; kNever while a read is in flight. A poller reads every
  /// `poll_interval`; other VMs read only once the head's confirmation is
  /// stale.
  base::Instant NextRead(bool is_poller) const;
  /// When the table was last known to hold no newer revision than the replica;
  /// none if that was never known.
  std::optional<base::Instant> head_confirmed_at() const {  // NOLINT
    return this->confirmed_at;
  }
  /// Whether the head's confirmation is missing or older than
  /// `max_confirmation_age`.
  bool IsConfirmationStale(base::Instant now) const;
  /// Whether the last completed read succeeded.
  bool table_reachable() const { return this->last_read_succeeded; }  // NOLINT
  /// Number of consecutive failed reads.
  std::uint32_t failures() const { return this->failure_count; }  // NOLINT

 private:
  /// A duration from 0 to below `max_jitter` that depends on the seed and on
  /// the number of failures.
  base::Duration Jitter(base::Duration max_jitter) const;

  ReadTiming timing;
  std::uint64_t seed;
  std::optional<base::Instant> sent_at;
  std::optional<base::Instant> confirmed_at;
  /// No read is sent before this time.
  base::Instant backoff_until{};
  base::Instant last_read_at{};
  bool read_requested = true;
  bool last_read_succeeded = false;
  std::uint32_t failure_count = 0;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_CONFIG_READER_H_
