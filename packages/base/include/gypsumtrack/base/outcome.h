#ifndef GYPSUMTRACK_BASE_OUTCOME_H_
#define GYPSUMTRACK_BASE_OUTCOME_H_

#include <utility>
#include <variant>

#include "gypsumtrack/base/error.h"

/// A value or the error that stands in its place.
namespace gypsumtrack::base {

/// Holds a T or an Error; cheap to move.
///
///     Outcome<int> Parse(std::string_view text);
///     if (auto n = Parse("7"); n.ok()) Use(*n);
template <typename T>
class [[nodiscard]] Outcome {
 public:
  // Both implicit, so that a function returns either with a plain `return`.
  Outcome(T value) : state(std::move(value)) {}      // NOLINT
  Outcome(Error error) : state(std::move(error)) {}  // NOLINT

  bool ok() const { return this->state.index() == 0; }  // NOLINT
  explicit operator bool() const { return this->ok(); }

  /// Precondition: ok().
  T& operator*() { return std::get<0>(this->state); }
  const T& operator*() const { return std::get<0>(this->state); }
  T* operator->() { return &std::get<0>(this->state); }
  const T* operator->() const { return &std::get<0>(this->state); }

  /// Precondition: !ok().
  const Error& error() const { return std::get<1>(this->state); }  // NOLINT

 private:
  std::variant<T, Error> state;
};

/// The value of an operation that only succeeds or fails.
struct Done {};
using Status = Outcome<Done>;

}  // namespace gypsumtrack::base

#endif  // GYPSUMTRACK_BASE_OUTCOME_H_
