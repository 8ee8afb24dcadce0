#ifndef GYPSUMTRACK_BASE_OUTCOME_H_
#define GYPSUMTRACK_BASE_OUTCOME_H_

#include <utility>
#include <variant>

#include "gypsumtrack/base/error.h"

/// Result type for operations that can fail.
namespace gypsumtrack::base {

/// Holds a value of type T or an Error. Concurrent reads are safe.
///
///     Outcome<int> Parse(std::string_view text);
///     if (auto n = Parse("7"); n.ok()) Use(*n);
template <typename T>
class [[nodiscard]] Outcome {
 public:
  // Both are implicit, so that a function can return either a value or an
  // error.
  Outcome(T value) : state(std::move(value)) {}      // NOLINT
  Outcome(Error error) : state(std::move(error)) {}  // NOLINT

  /// Whether it holds a value.
  bool ok() const { return this->state.index() == 0; }  // NOLINT
  /// Same as ok().
  explicit operator bool() const { return this->ok(); }

  /// Accesses the value. Precondition: ok().
  T& operator*() { return std::get<0>(this->state); }
  const T& operator*() const { return std::get<0>(this->state); }
  T* operator->() { return &std::get<0>(this->state); }
  const T* operator->() const { return &std::get<0>(this->state); }

  /// Accesses the error. Precondition: !ok().
  const Error& error() const { return std::get<1>(this->state); }  // NOLINT

 private:
  std::variant<T, Error> state;
};

/// Empty value of an operation that returns nothing on success.
struct Done {};
/// Outcome of such an operation.
using Status = Outcome<Done>;

}  // namespace gypsumtrack::base

#endif  // GYPSUMTRACK_BASE_OUTCOME_H_
