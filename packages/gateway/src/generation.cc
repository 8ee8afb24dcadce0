#include "generation.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <utility>

namespace gypsumtrack::gateway {
namespace {

namespace json = boost::json;

constexpr std::string_view kDataPrefix = "data:";
constexpr std::string_view kDoneMarker = "[DONE]";
constexpr std::size_t kMaxEventBytes = std::size_t{1024} * 1024;

/// Returns a string's contents, or other JSON serialized.
std::string ToText(const json::value* value) {
  if (value == nullptr) return {};
  if (const auto* text = value->if_string()) return std::string(*text);
  return json::serialize(*value);
}

/// Returns the maximum number of tokens that a request's body names; 0 if it
/// names none.
std::uint64_t ReadMaxTokens(const json::object& body) {
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    const auto* value = body.if_contains(name);
    if (value == nullptr || !value->is_int64()) continue;
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(value->as_int64(), 0));
  }
  return 0;
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
  const bool has_valid_prompt =
      prompt != nullptr &&
      (kind == GenerationKind::kChat ? prompt->is_array()
                                     : prompt->is_string());
  if (!has_valid_prompt) {
    return Invalid(kind == GenerationKind::kChat
                       ? "`messages` must be an array."
                       : "`prompt` must be a string.");
  }
  out.prompt = ToText(prompt);
  out.max_tokens = ReadMaxTokens(out.body);
  if (const auto* stream = out.body.if_contains("stream")) {
    if (!stream->is_bool()) return Invalid("`stream` must be true or false.");
    out.stream = stream->as_bool();
  }
  if (const auto* choice_count = out.body.if_contains("n")) {
    if (!choice_count->is_int64() || choice_count->as_int64() != 1) {
      return Invalid("`n` must be 1.");
    }
  }
  return out;
}

Generation::Generation(GenerationRequest request, std::string request_id,
                       std::shared_ptr<base::MemoryBudget> memory)
    : source(std::move(request)),
      id(std::move(request_id)),
      text_memory(std::move(memory)) {}

void Generation::BeginAttempt() {
  this->unparsed.clear();
  this->done_received = false;
  if (this->exceeded_limit && !this->source.stream) this->DiscardText();
}

void Generation::DiscardText() {
  this->text_memory.Remove(this->generated_text.size());
  // Unlike an assignment, this frees the memory.
  std::string().swap(this->generated_text);
  this->token_count = 0;
  this->finish_reason.clear();
  this->exceeded_limit.reset();
}

std::string Generation::Checkpoint() const {
  return fmt::format("{}\n{}", this->token_count, this->generated_text);
}

base::Status Generation::Resume(std::string_view checkpoint) {
  const auto end = checkpoint.data() + checkpoint.size();
  const auto [parse_end, parse_error] =
      std::from_chars(checkpoint.data(), end, this->token_count);
  if (parse_error != std::errc() || parse_end == end || *parse_end != '\n') {
    this->token_count = 0;
    return Invalid("A checkpoint is malformed.");
  }
  this->generated_text = std::string(parse_end + 1, end);
  this->text_memory.Add(this->generated_text.size());
  return base::Done{};
}

base::Outcome<std::vector<std::string>> Generation::Feed(
    std::string_view bytes) {
  std::vector<std::string> events;
  this->unparsed += bytes;
  std::size_t line_begin = 0;
  for (auto end = this->unparsed.find('\n'); end != std::string::npos;
       end = this->unparsed.find('\n', line_begin)) {
    const std::string_view buffered = this->unparsed;
    const auto line = buffered.substr(line_begin, end - line_begin);
    line_begin = end + 1;
    if (!line.starts_with(kDataPrefix)) continue;
    auto event = this->ConsumeEvent(TrimSpace(line.substr(kDataPrefix.size())));
    if (!event.ok()) return event.error();
    if (*event) events.push_back(std::move(**event));
  }
  this->unparsed.erase(0, line_begin);
  if (this->unparsed.size() > kMaxEventBytes) {
    return Invalid("An event of the engine is too large.");
  }
  return events;
}

base::Outcome<std::optional<std::string>> Generation::ConsumeEvent(
    std::string_view data) {
  if (data == kDoneMarker) {
    this->done_received = true;
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
      if (!choice.is_object()) continue;
      auto status = this->ConsumeChoice(choice.as_object());
      if (!status.ok()) return status.error();
    }
  }
  return std::optional<std::string>(std::string(data));
}

base::Status Generation::ConsumeChoice(const json::object& choice) {
  const json::object* content = &choice;
  const bool chat = this->source.kind == GenerationKind::kChat;
  if (chat) {
    const auto* delta = choice.if_contains("delta");
    if (delta != nullptr && delta->is_object()) content = &delta->as_object();
  }
  const auto* fragment = content->if_contains(chat ? "content" : "text");
  if (fragment != nullptr && fragment->is_string() &&
      !fragment->as_string().empty()) {
    auto status = this->AppendText(fragment->as_string());
    if (!status.ok()) return status;
  }
  const auto* reason = choice.if_contains("finish_reason");
  if (reason != nullptr && reason->is_string()) {
    this->finish_reason = std::string(reason->as_string());
  }
  return base::Done{};
}

base::Status Generation::AppendText(std::string_view fragment) {
  const policy::OutputSize size{this->generated_text.size() + fragment.size(),
                                this->token_count + 1};
  if (!this->exceeded_limit) {
    this->exceeded_limit = policy::FindExceededLimit(
        kGenerationLimits, size, this->source.max_tokens,
        this->text_memory.budget());
  }
  if (this->exceeded_limit) {
    return Invalid(
        fmt::format("The text exceeds the limit on {}.",
                    policy::kOutputLimitNames.Name(*this->exceeded_limit)));
  }
  this->text_memory.Add(fragment.size());
  this->generated_text += fragment;
  this->token_count++;
  return base::Done{};
}

std::string Generation::AttemptBody() const {
  auto body = this->source.body;
  body["stream"] = true;
  if (this->token_count > 0) {
    body["resume"] = json::object{{"text", this->generated_text},
                                  {"tokens", this->token_count}};
  }
  return json::serialize(body);
}

bool Generation::is_complete() const {
  return this->done_received && !this->finish_reason.empty();
}

std::string Generation::AssembleResponse() const {
  const bool chat = this->source.kind == GenerationKind::kChat;
  json::object choice{{"index", 0}, {"finish_reason", this->finish_reason}};
  if (chat) {
    choice["message"] =
        json::object{{"role", "assistant"}, {"content", this->generated_text}};
  } else {
    choice["text"] = this->generated_text;
  }
  json::object response{
      {"id", this->id},
      {"object", chat ? "chat.completion" : "text_completion"},
      {"model", this->source.model},
      {"choices", json::array{choice}},
  };
  if (!this->usage.empty()) response["usage"] = this->usage;
  return json::serialize(response) + "\n";
}

}  // namespace gypsumtrack::gateway
