#include "generation.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>
#include <utility>

namespace gypsumtrack::gateway {
namespace {

namespace json = boost::json;

constexpr std::string_view kData = "data:";
constexpr std::string_view kEndMark = "[DONE]";
constexpr std::size_t kMaxEventBytes = std::size_t{1024} * 1024;

std::string TextOf(const json::value* value) {
  if (value == nullptr) return {};
  if (const auto* text = value->if_string()) return std::string(*text);
  return json::serialize(*value);
}

base::Error Invalid(std::string message) {
  return {base::Errc::kInvalid, std::move(message)};
}

std::string_view TrimSpace(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && (text.back() == '\r' || text.back() == ' ')) {
    text.remove_suffix(1);
  }
  return text;
}

}  // namespace

base::Outcome<GenerationRequest> ParseGenerationRequest(GenerationKind kind,
                                                        std::string_view body) {
  boost::system::error_code error;
  auto parsed = json::parse(body, error);
  if (error || !parsed.is_object()) {
    return Invalid("The body must be a JSON object.");
  }
  GenerationRequest out;
  out.kind = kind;
  out.body = std::move(parsed.as_object());
  const auto* model = out.body.if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return Invalid("`model` must be a string.");
  }
  out.model = std::string(model->as_string());
  const char* field = kind == GenerationKind::kChat ? "messages" : "prompt";
  const auto* prompt = out.body.if_contains(field);
  const bool right_type = prompt != nullptr &&
                          (kind == GenerationKind::kChat ? prompt->is_array()
                                                         : prompt->is_string());
  if (!right_type) {
    return Invalid(kind == GenerationKind::kChat
                       ? "`messages` must be an array."
                       : "`prompt` must be a string.");
  }
  out.prompt = TextOf(prompt);
  if (const auto* stream = out.body.if_contains("stream")) {
    if (!stream->is_bool()) return Invalid("`stream` must be true or false.");
    out.stream = stream->as_bool();
  }
  if (const auto* count = out.body.if_contains("n")) {
    if (!count->is_int64() || count->as_int64() != 1) {
      return Invalid("`n` must be 1.");
    }
  }
  return out;
}

Generation::Generation(GenerationRequest request, std::string request_id)
    : asked(std::move(request)), id(std::move(request_id)) {}

void Generation::BeginAttempt() {
  this->pending.clear();
  this->end_marked = false;
}

std::string Generation::Checkpoint() const {
  return fmt::format("{}\n{}", this->tokens, this->text);
}

base::Status Generation::Resume(std::string_view checkpoint) {
  const auto end = checkpoint.data() + checkpoint.size();
  const auto [stop, failure] =
      std::from_chars(checkpoint.data(), end, this->tokens);
  if (failure != std::errc() || stop == end || *stop != '\n') {
    this->tokens = 0;
    return Invalid("A checkpoint is malformed.");
  }
  this->text = std::string(stop + 1, end);
  return base::Done{};
}

base::Outcome<std::vector<std::string>> Generation::Feed(
    std::string_view bytes) {
  std::vector<std::string> events;
  this->pending += bytes;
  std::size_t begin = 0;
  for (auto end = this->pending.find('\n'); end != std::string::npos;
       end = this->pending.find('\n', begin)) {
    const std::string_view all = this->pending;
    const auto line = all.substr(begin, end - begin);
    begin = end + 1;
    if (!line.starts_with(kData)) continue;
    auto event = this->TakeEvent(TrimSpace(line.substr(kData.size())));
    if (!event.ok()) return event.error();
    if (*event) events.push_back(std::move(**event));
  }
  this->pending.erase(0, begin);
  if (this->pending.size() > kMaxEventBytes) {
    return Invalid("An event of the engine is too large.");
  }
  return events;
}

base::Outcome<std::optional<std::string>> Generation::TakeEvent(
    std::string_view data) {
  if (data == kEndMark) {
    this->end_marked = true;
    return std::optional<std::string>();
  }
  boost::system::error_code error;
  const auto parsed = json::parse(data, error);
  const auto* event = parsed.if_object();
  if (error || event == nullptr) return Invalid("An event isn't JSON.");
  const auto* event_id = event->if_contains("id");
  if (event_id != nullptr && event_id->is_string() &&
      event_id->as_string() != this->id) {
    return Invalid("An event belongs to another request.");
  }
  if (event->contains("error")) return Invalid("The engine reports an error.");
  if (const auto* found = event->if_contains("usage")) {
    if (found->is_object()) this->usage = found->as_object();
  }
  const auto* choices = event->if_contains("choices");
  if (choices != nullptr && choices->is_array()) {
    for (const auto& choice : choices->as_array()) {
      if (choice.is_object()) this->TakeChoice(choice.as_object());
    }
  }
  return std::optional<std::string>(std::string(data));
}

void Generation::TakeChoice(const json::object& choice) {
  const json::object* holder = &choice;
  const bool chat = this->asked.kind == GenerationKind::kChat;
  if (chat) {
    const auto* delta = choice.if_contains("delta");
    if (delta != nullptr && delta->is_object()) holder = &delta->as_object();
  }
  const auto* piece = holder->if_contains(chat ? "content" : "text");
  if (piece != nullptr && piece->is_string() && !piece->as_string().empty()) {
    const auto& added = piece->as_string();
    this->text.append(added.data(), added.size());
    this->tokens++;
  }
  const auto* reason = choice.if_contains("finish_reason");
  if (reason != nullptr && reason->is_string()) {
    this->finish_reason = std::string(reason->as_string());
  }
}

std::string Generation::AttemptBody() const {
  auto body = this->asked.body;
  body["stream"] = true;
  if (this->tokens > 0) {
    body["resume"] =
        json::object{{"text", this->text}, {"tokens", this->tokens}};
  }
  return json::serialize(body);
}

bool Generation::whole() const {
  return this->end_marked && !this->finish_reason.empty();
}

std::string Generation::Assemble() const {
  const bool chat = this->asked.kind == GenerationKind::kChat;
  json::object choice{{"index", 0}, {"finish_reason", this->finish_reason}};
  if (chat) {
    choice["message"] =
        json::object{{"role", "assistant"}, {"content", this->text}};
  } else {
    choice["text"] = this->text;
  }
  json::object answer{
      {"id", this->id},
      {"object", chat ? "chat.completion" : "text_completion"},
      {"model", this->asked.model},
      {"choices", json::array{choice}},
  };
  if (!this->usage.empty()) answer["usage"] = this->usage;
  return json::serialize(answer) + "\n";
}

}  // namespace gypsumtrack::gateway
