#ifndef GYPSUMTRACK_GATEWAY_SRC_GENERATION_H_
#define GYPSUMTRACK_GATEWAY_SRC_GENERATION_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/base/outcome.h"

/// Requests to model engines and their answers, in the field's usual JSON.
namespace gypsumtrack::gateway {

enum class GenerationKind { kCompletion, kChat };

/// A parsed request for a completion.
struct GenerationRequest {
  GenerationKind kind = GenerationKind::kCompletion;
  boost::json::object body;
  std::string model;
  /// The prompt, or the chat's messages, as one text.
  std::string prompt;
  bool stream = false;
};

/// Errors: kInvalid. Thread-safe.
base::Outcome<GenerationRequest> ParseGenerationRequest(GenerationKind kind,
                                                        std::string_view body);

/// What an engine has sent of an answer, over one attempt or several.
class Generation {
 public:
  Generation(GenerationRequest request, std::string request_id);

  // Commands.

  /// Forgets a half-read event: a new attempt begins.
  void BeginAttempt();
  /// Goes on from what another Generation of the same request had received.
  /// Precondition: nothing was fed. Errors: kInvalid.
  base::Status Resume(std::string_view checkpoint);
  /// Takes bytes of the engine's event stream; returns the whole events in it,
  /// without the end mark. Errors: kInvalid (malformed, or another's answer).
  base::Outcome<std::vector<std::string>> Feed(std::string_view bytes);

  // Queries.

  /// The body for the next attempt: it goes on from what has arrived.
  std::string AttemptBody() const;
  /// What has arrived, for Resume.
  std::string Checkpoint() const;
  /// Whether the answer's end and the stream's end mark have arrived.
  bool whole() const;  // NOLINT
  /// The answer as one JSON text. Precondition: whole().
  std::string Assemble() const;
  const GenerationRequest& request() const { return this->asked; }  // NOLINT

 private:
  base::Outcome<std::optional<std::string>> TakeEvent(std::string_view data);
  void TakeChoice(const boost::json::object& choice);

  GenerationRequest asked;
  std::string id;
  std::string pending;
  std::string text;
  std::uint64_t tokens = 0;
  std::string finish_reason;
  boost::json::object usage;
  bool end_marked = false;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_GENERATION_H_
