#ifndef GYPSUMTRACK_POLICY_SERVING_EVENT_SPLITTER_H_
#define GYPSUMTRACK_POLICY_SERVING_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Incremental parser for server-sent events.
namespace gypsumtrack::policy {

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
  /// Appends bytes of the stream; returns the events that they complete.
  std::vector<StreamEvent> Feed(std::string_view bytes);

  /// Whether all bytes received so far belong to complete events.
  bool at_event_end() const { return this->buffer.empty(); }  // NOLINT

 private:
  /// Bytes received after the last complete event.
  std::string buffer;
  /// The end of an event can't begin before this offset in `buffer`.
  std::size_t scan_offset = 0;
};

}  // namespace gypsumtrack::policy

#endif  // GYPSUMTRACK_POLICY_SERVING_EVENT_SPLITTER_H_
