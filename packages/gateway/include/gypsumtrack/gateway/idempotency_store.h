#ifndef GYPSUMTRACK_GATEWAY_IDEMPOTENCY_STORE_H_
#define GYPSUMTRACK_GATEWAY_IDEMPOTENCY_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "gypsumtrack/base/names.h"
#include "gypsumtrack/gateway/runtime.h"

/// Outcomes of non-idempotent requests by their `Idempotency-Key`, in the
/// platform's table: whichever VM a resend reaches, the request runs once.
namespace gypsumtrack::gateway {

enum class IntentState {
  kFresh,         ///< this caller's intent is durable: run it
  kDone,          ///< it ran; the outcome is given
  kUnknown,       ///< an intent without an outcome: it may have run
  kOtherRequest,  ///< the key was used for another request
  kStoreDown,     ///< nothing is known or written: don't run it
};

struct StoredAnswer {
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;
};

struct Intent {
  IntentState state = IntentState::kStoreDown;
  /// Row key of the intent.
  std::string row;
  StoredAnswer answer;
};

/// Identity of a request that carries an idempotency key.
struct IdempotentRequest {
  base::Organisation organisation;
  std::string key;
  /// Digest of method, path, query and body.
  std::string digest;
};

class IdempotencyStore {
 public:
  /// Precondition: `runtime` outlives it.
  explicit IdempotencyStore(const Runtime& runtime);

  /// Writes the intent before the run, or finds an earlier one. Thread-safe.
  boost::asio::awaitable<Intent> Begin(IdempotentRequest request,
                                       base::Instant deadline);
  /// Writes the outcome. If that fails, resends are told unknown. Precondition:
  /// Begin returned kFresh. Thread-safe.
  boost::asio::awaitable<void> Finish(Intent intent, StoredAnswer answer);
  /// Removes the intent of a request that surely didn't run. Precondition: as
  /// Finish. Thread-safe.
  boost::asio::awaitable<void> Forget(Intent intent);

 private:
  const Runtime* runtime;
};

/// Thread-safe.
std::string RequestDigest(std::string_view method, std::string_view path,
                          std::string_view query, std::string_view body);

}  // namespace gypsumtrack::gateway

#endif  // GYPSUMTRACK_GATEWAY_IDEMPOTENCY_STORE_H_
