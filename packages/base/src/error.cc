#include "gypsumtrack/base/error.h"

#include "gypsumtrack/base/enum_table.h"

namespace gypsumtrack::base {
namespace {

constexpr auto kErrcNames = MakeEnumTable<Errc>({
    {Errc::kInvalid, "invalid"},
    {Errc::kNotFound, "not_found"},
    {Errc::kConflict, "conflict"},
    {Errc::kUnauthorized, "unauthorized"},
    {Errc::kForbidden, "forbidden"},
    {Errc::kOverRate, "over_rate"},
    {Errc::kOverload, "overload"},
    {Errc::kUnavailable, "unavailable"},
    {Errc::kUnknown, "unknown"},
    {Errc::kTimeout, "timeout"},
    {Errc::kCancelled, "cancelled"},
    {Errc::kThrottled, "throttled"},
    {Errc::kFenced, "fenced"},
});

class ErrcCategory final : public std::error_category {
 public:
  const char* name() const noexcept override { return "gypsumtrack"; }
  std::string message(int value) const override {
    return std::string(kErrcNames.Name(static_cast<Errc>(value)));
  }
};

}  // namespace

const std::error_category& ErrorCategory() {
  static const ErrcCategory category;
  return category;
}

std::error_code make_error_code(Errc code) {
  return {static_cast<int>(code), ErrorCategory()};
}

}  // namespace gypsumtrack::base
