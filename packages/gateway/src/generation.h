#ifndef GYPSUMTRACK_GATEWAY_SRC_GENERATION_H_
#define GYPSUMTRACK_GATEWAY_SRC_GENERATION_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gypsumtrack/base/memory_budget.h"
#include "gypsumtrack/base/outcome.h"
#include "gypsumtrack/policy/output_limit.h"

/// Completion requests to model endpoints and their streamed responses, in the
/// usual JSON of completion and chat APIs.
namespace gypsumtrack::gateway {

/// Which API a request uses.
enum class GenerationKind { kCompletion, kChat };

/// A parsed completion request.
struct GenerationRequest {
  GenerationKind kind = GenerationKind::kCompletion;
  /// The whole request, with fields that the gateway doesn't interpret.
  boost::json::object body;
  std::string model;
  /// The prompt, or the messages of the chat as JSON text.
  std::string prompt;
  /// Whether the caller wants the response as a stream of events.
  bool stream = false;
  /// Maximum number of generated tokens; 0 if the caller names none.
  std::uint64_t max_tokens = 0;
};

/// Parses a request's body. Errors: kInvalid. Thread-safe.
base::Outcome<GenerationRequest> ParseGenerationRequest(GenerationKind kind,
                                                        std::string_view body);

/// Limits on the text of a response. It is larger than that of a platform's
/// item, as no page of results has to hold it.
inline constexpr policy::OutputLimits kGenerationLimits{.max_bytes =
                                                            4ULL * 1024 * 1024};

/// Accumulates a streamed response, over one attempt or several. Not
/// thread-safe.
class Generation {
 public:
  /// `request_id` must match the id in the endpoint's events. The text is
  /// charged to `memory`. Precondition: `memory` isn't null.
  Generation(GenerationRequest request, std::string request_id,
             std::shared_ptr<base::MemoryBudget> memory);

  // Commands.

  /// Starts a new attempt: discards an incomplete event of the previous one,
  /// and the whole text if it exceeded a limit and the caller hasn't seen it.
  void BeginAttempt();
  /// Restores the text that another Generation of the same request had
  /// received. Precondition: Feed wasn't called. Errors: kInvalid.
  base::Status Resume(std::string_view checkpoint);
  /// Parses further bytes of the endpoint's event stream. Returns the data of
  /// the events that they complete, without the [DONE] marker. Errors: kInvalid
  /// (the stream is malformed, an event reports an error or has another request
  /// id, the text exceeds a limit).
  base::Outcome<std::vector<std::string>> Feed(std::string_view bytes);

  // Queries.

  /// Returns the body for the next attempt, which resumes after the text
  /// received so far.
  std::string AttemptBody() const;
  /// Returns the text received so far, in the form that Resume reads.
  std::string Checkpoint() const;
  /// Returns whether the finish reason and the [DONE] marker were received.
  bool is_complete() const;  // NOLINT
  /// Returns the response as one JSON text. Precondition: is_complete().
  std::string AssembleResponse() const;
  /// Returns the request as it was parsed.
  const GenerationRequest& request() const { return this->source; }  // NOLINT

 private:
  /// Applies an event. Returns its data, or nothing for the [DONE] marker.
  base::Outcome<std::optional<std::string>> ConsumeEvent(std::string_view data);
  /// Applies an element of an event's `choices`. Errors: kInvalid.
  base::Status ConsumeChoice(const boost::json::object& choice);
  /// Appends generated text. Errors: kInvalid (it exceeds a limit).
  base::Status AppendText(std::string_view fragment);
  void DiscardText();

  GenerationRequest source;
  std::string id;
  /// End of the stream so far that isn't a complete line yet.
  std::string unparsed;
  std::string generated_text;
  base::MemoryCharge text_memory;
  std::optional<policy::OutputLimit> exceeded_limit;
  std::uint64_t token_count = 0;
  std::string finish_reason;
  boost::json::object usage;
  bool done_received = false;
};

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_SRC_GENERATION_H_
