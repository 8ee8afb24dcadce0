#ifndef GYPSUMTRACK_POLICY_SERVING_EVENT_SPLITTER_H_
#define GYPSUMTRACK_POLICY_SERVING_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/base/time.h"

/// Incremental parser for server-sent events.
namespace gypsumtrack::policy {

/// Maximum size of an event in bytes. An event holds a few tokens, so a larger
/// one is no event.
inline constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;

/// One server-sent event.
struct StreamEvent {
  /// The event as received, including the blank line that ends it.
  std::string bytes;
  /// Value of the `id` field; none if it is missing or not a number.
  std::optional<std::uint64_t> id;
  /// Values of the `data` fields, joined by line feeds.
  std::string data;
};

/// Splits a byte stream into complete events. An incomplete event at the end of
/// the stream is never returned. Not thread-safe.
class EventSplitter {
 public:
  /// Appends bytes of the stream; returns the events that they complete. After
  /// an event that is too long, or bytes that are no event, there are no more
  /// events.
  std::vector<StreamEvent> Feed(std::string_view bytes);

  /// Whether all bytes received so far belong to complete events.
  bool at_event_end() const {  // NOLINT
    return this->buffer.empty() && !this->too_long && !this->malformed;
  }
  /// Whether a part of an event has arrived whose rest is missing. Blank lines
  /// and comments are no part of one.
  bool has_partial_event() const;  // NOLINT
  /// Whether an event exceeded kMaxEventBytes.
  bool event_too_long() const { return this->too_long; }  // NOLINT
  /// Whether there were bytes that are no event, such as the head or the text
  /// of an error that an endpoint wrote into the stream. An event is UTF-8, has
  /// a field of server-sent events, and other lines only before the first one,
  /// as those of the platform's endpoints have.
  bool event_malformed() const { return this->malformed; }  // NOLINT

 private:
  /// Bytes received after the last complete event.
  std::string buffer;
  /// The end of an event can't begin before this offset in `buffer`.
  std::size_t scan_offset = 0;
  bool too_long = false;
  bool malformed = false;
};

/// Whether the block has an id or data. Comments and blank lines don't.
bool IsContent(const StreamEvent& event);

/// What a part of a stream has brought.
enum class PartContent {
  kNone,          ///< nothing but blank lines and comments
  kPartialEvent,  ///< a part of an event, and no complete one
  kEvent,         ///< at least one complete event
};

/// Classifies a part of a stream by the events that `splitter` returned for it.
/// What brings nothing is as good as silence.
PartContent ClassifyPart(const EventSplitter& splitter,
                         const std::vector<StreamEvent>& events);

/// Limits the time that an event takes to arrive, so that an endpoint can't
/// hold an attempt by sending bytes that complete no event. The time of a
/// silence doesn't count. Not thread-safe.
class EventArrivalLimit {
 public:
  /// Records a part of the stream that arrived at `now`. Returns false if no
  /// event was completed within `timeout` of the first part that completed
  /// none, or of the first one after a silence of `timeout` or longer. Parts
  /// that bring nothing don't count.
  bool OnPart(PartContent content, base::Instant now, base::Duration timeout);

 private:
  /// kNever unless a part arrived since the last event.
  base::Instant deadline = base::kNever;
  base::Instant last_part_at{};
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_EVENT_SPLITTER_H_
