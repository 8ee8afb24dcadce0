#include "gypsumtrack/policy/serving/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "gypsumtrack/base/utf8.h"

namespace gypsumtrack::policy {
namespace {

/// The position after the first blank line that follows a line feed at or after
/// `from`; npos if there is none. Lines end in LF or CRLF.
std::size_t FindEventEnd(std::string_view text, std::size_t from) {
  while (from < text.size()) {
    const auto line_feed = text.find('\n', from);
    if (line_feed == std::string_view::npos) return line_feed;
    auto next = line_feed + 1;
    if (next < text.size() && text[next] == '\r') ++next;
    if (next < text.size() && text[next] == '\n') return next + 1;
    from = line_feed + 1;
  }
  return std::string_view::npos;
}

/// The value of a line that starts with `name`, without the optional space
/// after the colon.
std::string_view FieldValue(std::string_view line, std::string_view name) {
  line.remove_prefix(name.size());
  if (line.starts_with(' ')) line.remove_prefix(1);
  return line;
}

/// Whether the line is a field of server-sent events.
bool IsField(std::string_view line) {
  const auto name = line.substr(0, line.find(':'));
  return name == "id" || name == "data" || name == "event" || name == "retry";
}

/// Whether the block is an event, or only comments.
bool IsEvent(std::string_view text) {
  bool has_field = false;
  bool has_other_line = false;
  while (!text.empty()) {
    const auto end = std::min(text.find('\n'), text.size() - 1);
    auto line = text.substr(0, end);
    text.remove_prefix(end + 1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    const bool is_ignored = line.empty() || line.starts_with(':');
    if (is_ignored) continue;
    const bool is_other = !IsField(line);
    if (is_other && (has_field || line.starts_with("HTTP/1."))) return false;
    has_field = has_field || !is_other;
    has_other_line = has_other_line || is_other;
  }
  return has_field || !has_other_line;
}

void ParseLine(std::string_view line, StreamEvent& event, bool& has_data) {
  constexpr std::string_view kId = "id:";
  constexpr std::string_view kData = "data:";
  if (line.starts_with(kId)) {
    const auto text = FieldValue(line, kId);
    std::uint64_t id = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), id);
    if (error == std::errc() && end == text.data() + text.size()) event.id = id;
  } else if (line.starts_with(kData)) {
    if (has_data) event.data += '\n';
    event.data += FieldValue(line, kData);
    has_data = true;
  }
}

StreamEvent ParseEvent(std::string bytes) {
  StreamEvent event;
  bool has_data = false;
  std::size_t begin = 0;
  const std::string_view text(bytes);
  while (begin < text.size()) {
    const auto end = std::min(text.find('\n', begin), text.size());
    auto line = text.substr(begin, end - begin);
    if (line.ends_with('\r')) line.remove_suffix(1);
    ParseLine(line, event, has_data);
    begin = end + 1;
  }
  event.bytes = std::move(bytes);
  return event;
}

}  // namespace

std::vector<StreamEvent> EventSplitter::Feed(std::string_view bytes) {
  if (this->too_long || this->malformed) return {};
  this->buffer += bytes;
  std::vector<StreamEvent> events;
  std::size_t begin = 0;
  std::size_t from = this->scan_offset;
  for (auto end = FindEventEnd(this->buffer, from); end != std::string::npos;
       end = FindEventEnd(this->buffer, begin)) {
    auto block = this->buffer.substr(begin, end - begin);
    this->malformed = !IsEvent(block) || !base::IsUtf8(block);
    if (this->malformed) return events;
    events.push_back(ParseEvent(std::move(block)));
    begin = end;
  }
  this->buffer.erase(0, begin);
  this->too_long = this->buffer.size() > kMaxEventBytes;
  if (this->too_long) {
    this->buffer.clear();
    return events;
  }
  // The end of an event may be split between two calls, so the next scan starts
  // at the last line feed.
  const auto line_feed = this->buffer.rfind('\n');
  this->scan_offset =
      line_feed == std::string::npos ? this->buffer.size() : line_feed;
  return events;
}

bool EventSplitter::has_partial_event() const {
  std::string_view text(this->buffer);
  while (!text.empty()) {
    const bool is_ignored =
        text.front() == '\n' || text.front() == '\r' || text.front() == ':';
    if (!is_ignored) return true;
    const auto line_feed = text.find('\n');
    if (line_feed == std::string_view::npos) return false;
    text.remove_prefix(line_feed + 1);
  }
  return false;
}

bool IsContent(const StreamEvent& event) {
  return event.id || !event.data.empty();
}

PartContent ClassifyPart(const EventSplitter& splitter,
                         const std::vector<StreamEvent>& events) {
  if (std::any_of(events.begin(), events.end(), IsContent))
    return PartContent::kEvent;
  return splitter.has_partial_event() ? PartContent::kPartialEvent
                                      : PartContent::kNone;
}

bool EventArrivalLimit::OnPart(PartContent content, base::Instant now,
                               base::Duration timeout) {
  if (content == PartContent::kNone) return true;
  const bool was_silent = now - this->last_part_at >= timeout;
  this->last_part_at = now;
  if (content == PartContent::kEvent) {
    this->deadline = base::kNever;
    return true;
  }
  if (this->deadline == base::kNever || was_silent)
    this->deadline = now + timeout;
  return now < this->deadline;
}

}  // namespace gypsumtrack::policy
