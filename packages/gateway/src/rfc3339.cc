#include "gypsumtrack/gateway/rfc3339.h"

#include <fmt/format.h>

#include <charconv>
#include <chrono>

namespace gypsumtrack::gateway {
namespace {

/// Parses a text from its front. `valid` becomes false at the first mismatch.
struct Scanner {
  std::string_view remaining;
  bool valid = true;

  /// Consumes a number of exactly `digits` digits.
  int Number(std::size_t digits) {
    int number = 0;
    if (this->remaining.size() < digits) {
      this->valid = false;
      return 0;
    }
    const auto* end = this->remaining.data() + digits;
    const auto conversion =
        std::from_chars(this->remaining.data(), end, number);
    if (conversion.ec != std::errc() || conversion.ptr != end || number < 0) {
      this->valid = false;
    }
    this->remaining.remove_prefix(digits);
    return number;
  }

  /// Consumes the next character if it is one of `characters`.
  bool ConsumeOneOf(std::string_view characters) {
    if (this->remaining.empty() ||
        characters.find(this->remaining.front()) == std::string_view::npos) {
      return false;
    }
    this->remaining.remove_prefix(1);
    return true;
  }

  /// Like ConsumeOneOf, but any other character makes the text invalid.
  void ExpectOneOf(std::string_view characters) {
    if (!this->ConsumeOneOf(characters)) this->valid = false;
  }

  /// Consumes at least one digit; those beyond milliseconds are ignored.
  std::chrono::milliseconds FractionOfSecond() {
    std::chrono::milliseconds fraction_ms{0};
    int digit_value = 100;
    std::size_t digits = 0;
    while (!this->remaining.empty() && this->remaining.front() >= '0' &&
           this->remaining.front() <= '9') {
      fraction_ms += std::chrono::milliseconds((this->remaining.front() - '0') *
                                               digit_value);
      digit_value /= 10;
      ++digits;
      this->remaining.remove_prefix(1);
    }
    if (digits == 0) this->valid = false;
    return fraction_ms;
  }
};

}  // namespace

std::optional<base::WallTime> ParseRfc3339(std::string_view text) {
  Scanner scanner{text};
  const std::chrono::year year(scanner.Number(4));
  scanner.ExpectOneOf("-");
  const std::chrono::month month(static_cast<unsigned>(scanner.Number(2)));
  scanner.ExpectOneOf("-");
  const std::chrono::day day(static_cast<unsigned>(scanner.Number(2)));
  scanner.ExpectOneOf("Tt ");
  const int hour = scanner.Number(2);
  scanner.ExpectOneOf(":");
  const int minute = scanner.Number(2);
  scanner.ExpectOneOf(":");
  const int second = scanner.Number(2);
  std::chrono::milliseconds fraction{0};
  if (scanner.ConsumeOneOf(".")) fraction = scanner.FractionOfSecond();
  std::chrono::minutes offset{0};
  if (!scanner.ConsumeOneOf("Zz")) {
    const bool is_negative =
        !scanner.remaining.empty() && scanner.remaining.front() == '-';
    scanner.ExpectOneOf("+-");
    const int hours = scanner.Number(2);
    scanner.ExpectOneOf(":");
    const int minutes = scanner.Number(2);
    if (hours > 23 || minutes > 59) return std::nullopt;
    offset =
        std::chrono::minutes((is_negative ? -1 : 1) * (hours * 60 + minutes));
  }
  const std::chrono::year_month_day date(year, month, day);
  if (!scanner.valid || !scanner.remaining.empty() || !date.ok())
    return std::nullopt;
  if (hour > 23 || minute > 59 || second > 60) return std::nullopt;
  const std::chrono::sys_days midnight = date;
  return midnight + std::chrono::hours(hour) + std::chrono::minutes(minute) +
         std::chrono::seconds(second) + fraction - offset;
}

std::string FormatRfc3339(base::WallTime time) {
  const auto days = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::year_month_day date(days);
  const std::chrono::hh_mm_ss clock(time - days);
  return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z",
                     static_cast<int>(date.year()),
                     static_cast<unsigned>(date.month()),
                     static_cast<unsigned>(date.day()), clock.hours().count(),
                     clock.minutes().count(), clock.seconds().count(),
                     clock.subseconds().count());
}

}  // namespace gypsumtrack::gateway
