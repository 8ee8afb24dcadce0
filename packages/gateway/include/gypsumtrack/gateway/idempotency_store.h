#ifndef GYPSUMTRACK_GATEWAY_IDEMPOTENCY_STORE_H_
#define GYPSUMTRACK_GATEWAY_IDEMPOTENCY_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/gateway/runtime.h"

/// Responses to non-idempotent requests, stored in the platform's table by
/// their `Idempotency-Key`, so that a request runs at most once on whichever VM
/// it is sent again.
namespace gypsumtrack::gateway {

/// What is known of a request with an idempotency key.
enum class IntentState {
  kNew,               ///< first request; its intent is durable: run it
  kCompleted,         ///< the request ran; its response is known
  kOutcomeUnknown,    ///< an intent without a response: it may have run
  kKeyReused,         ///< the key was used for a different request
  kStoreUnavailable,  ///< the intent isn't known to be stored: don't run
};

/// Response of an endpoint as it is stored.
struct StoredResponse {
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;
};

/// A stored intent to run a request.
struct Intent {
  IntentState state = IntentState::kStoreUnavailable;
  /// Key of the intent's row in the table.
  std::string row_key;
  /// Set if the state is kCompleted.
  StoredResponse response;
};

/// Identity of a request that carries an idempotency key.
struct IdempotentRequest {
  base::Organisation organisation;
  std::string key;
  /// Digest of method, path, query and body.
  std::string digest;
};

/// Intents and responses of requests by idempotency key.
class IdempotencyStore {
 public:
  /// Precondition: `runtime` outlives the store.
  explicit IdempotencyStore(const Runtime& runtime);

  /// Writes the intent to run the request, or finds an earlier one. Returns
  /// kStoreUnavailable if neither succeeds by the deadline. Thread-safe.
  boost::asio::awaitable<Intent> Begin(IdempotentRequest request,
                                       base::Instant deadline);
  /// Stores the response. If that fails, later Begins return kOutcomeUnknown.
  /// Precondition: `intent` is from a Begin that returned kNew. Thread-safe.
  boost::asio::awaitable<void> Finish(Intent intent, StoredResponse response);
  /// Removes the intent of a request that is known not to have run.
  /// Precondition: as Finish. Thread-safe.
  boost::asio::awaitable<void> Discard(Intent intent);

 private:
  const Runtime* runtime;
};

/// Returns a digest that identifies the request's contents. Thread-safe.
std::string RequestDigest(std::string_view method, std::string_view path,
                          std::string_view query, std::string_view body);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_IDEMPOTENCY_STORE_H_
