#ifndef GYPSUMTRACK_BASE_ERROR_H_
#define GYPSUMTRACK_BASE_ERROR_H_

#include <string>
#include <system_error>
#include <utility>

/// Error codes shared by all packages.
namespace gypsumtrack::base {

/// Reason why an operation failed. Each code needs a name in error.cc. Peers
/// exchange the numeric values, so that existing ones must not change.
enum class Errc {
  kInvalid = 1,   ///< the input is malformed
  kNotFound,      ///< no such row, object, job or key
  kConflict,      ///< a condition of the change doesn't hold
  kUnauthorized,  ///< no valid key
  kForbidden,     ///< the key's organisation may not do this
  kOverRate,      ///< above the organisation's rate and burst
  kOverload,      ///< no endpoint has a free slot
  kUnavailable,   ///< the remote side is unreachable; nothing was sent
  kUnknown,       ///< sent without a response; may have taken effect
  kTimeout,       ///< the deadline passed before sending
  kCancelled,     ///< cancelled by the caller or its job
  kThrottled,     ///< rejected by the platform's rate limit
  kFenced,        ///< the lease has a newer holder
};

/// Returns the category of all `Errc` codes. Thread-safe.
const std::error_category& ErrorCategory();

/// Converts implicitly from `Errc` to `std::error_code`. Thread-safe.
std::error_code make_error_code(Errc code);

/// An error code and a human-readable message.
struct Error {
  std::error_code code;
  std::string message;

  Error(Errc errc, std::string text)
      : code(make_error_code(errc)), message(std::move(text)) {}
  Error(std::error_code error_code, std::string text)
      : code(error_code), message(std::move(text)) {}

  /// Whether the error has the code `errc`. Thread-safe.
  bool Is(Errc errc) const { return this->code == make_error_code(errc); }
};

}  // namespace gypsumtrack::base

template <>
struct std::is_error_code_enum<gypsumtrack::base::Errc> : std::true_type {};

#endif  // GYPSUMTRACK_BASE_ERROR_H_
