#ifndef GYPSUMTRACK_BASE_ERROR_H_
#define GYPSUMTRACK_BASE_ERROR_H_

#include <string>
#include <system_error>
#include <utility>

/// The error codes that cross package borders.
namespace gypsumtrack::base {

/// Why an operation has no value. Names stand in the table in error.cc.
enum class Errc {
  kInvalid = 1,   ///< the input is malformed
  kNotFound,      ///< no such row, object, job or key
  kConflict,      ///< a condition of the change no longer holds
  kUnauthorized,  ///< no valid key
  kForbidden,     ///< the key's organisation may not do this
  kOverRate,      ///< above the organisation's rate and burst
  kOverload,      ///< no endpoint has room
  kUnavailable,   ///< the other side can't be reached; nothing was sent
  kUnknown,       ///< sent, and no answer: it may have taken effect
  kTimeout,       ///< the deadline passed before it was sent
  kCancelled,     ///< the caller or the job gave up
  kThrottled,     ///< the platform asked to slow down
  kFenced,        ///< a newer holder has the lease
};

const std::error_category& ErrorCategory();

std::error_code make_error_code(Errc code);

/// An error code with a sentence for a person.
struct Error {
  std::error_code code;
  std::string message;

  Error(Errc errc, std::string text)
      : code(make_error_code(errc)), message(std::move(text)) {}
  Error(std::error_code error_code, std::string text)
      : code(error_code), message(std::move(text)) {}

  bool Is(Errc errc) const { return this->code == make_error_code(errc); }
};

}  // namespace gypsumtrack::base

template <>
struct std::is_error_code_enum<gypsumtrack::base::Errc> : std::true_type {};

#endif  // GYPSUMTRACK_BASE_ERROR_H_
