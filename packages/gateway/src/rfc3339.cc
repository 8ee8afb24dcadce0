#include "gypsumtrack/gateway/rfc3339.h"

#include <fmt/format.h>

#include <charconv>
#include <chrono>

namespace gypsumtrack::gateway {
namespace {

/// Reads fixed-width numbers and marks from the front of a text.
struct Scanner {
  std::string_view rest;
  bool good = true;

  int Number(std::size_t digits) {
    int number = 0;
    if (this->rest.size() < digits) {
      this->good = false;
      return 0;
    }
    const auto* end = this->rest.data() + digits;
    const auto parsed = std::from_chars(this->rest.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || number < 0) {
      this->good = false;
    }
    this->rest.remove_prefix(digits);
    return number;
  }

  bool Mark(std::string_view any_of) {
    if (this->rest.empty() ||
        any_of.find(this->rest.front()) == std::string_view::npos) {
      return false;
    }
    this->rest.remove_prefix(1);
    return true;
  }

  void Require(std::string_view any_of) {
    if (!this->Mark(any_of)) this->good = false;
  }

  std::chrono::milliseconds Fraction() {
    std::chrono::milliseconds sum{0};
    int unit = 100;
    std::size_t digits = 0;
    while (!this->rest.empty() && this->rest.front() >= '0' &&
           this->rest.front() <= '9') {
      sum += std::chrono::milliseconds((this->rest.front() - '0') * unit);
      unit /= 10;
      ++digits;
      this->rest.remove_prefix(1);
    }
    if (digits == 0) this->good = false;
    return sum;
  }
};

}  // namespace

std::optional<base::WallTime> ParseRfc3339(std::string_view text) {
  Scanner scan{text};
  const std::chrono::year year(scan.Number(4));
  scan.Require("-");
  const std::chrono::month month(static_cast<unsigned>(scan.Number(2)));
  scan.Require("-");
  const std::chrono::day day(static_cast<unsigned>(scan.Number(2)));
  scan.Require("Tt ");
  const int hour = scan.Number(2);
  scan.Require(":");
  const int minute = scan.Number(2);
  scan.Require(":");
  const int second = scan.Number(2);
  std::chrono::milliseconds fraction{0};
  if (scan.Mark(".")) fraction = scan.Fraction();
  std::chrono::minutes offset{0};
  if (!scan.Mark("Zz")) {
    const bool behind = !scan.rest.empty() && scan.rest.front() == '-';
    scan.Require("+-");
    const int hours = scan.Number(2);
    scan.Require(":");
    const int minutes = scan.Number(2);
    if (hours > 23 || minutes > 59) return std::nullopt;
    offset = std::chrono::minutes((behind ? -1 : 1) * (hours * 60 + minutes));
  }
  const std::chrono::year_month_day date(year, month, day);
  if (!scan.good || !scan.rest.empty() || !date.ok()) return std::nullopt;
  if (hour > 23 || minute > 59 || second > 60) return std::nullopt;
  const std::chrono::sys_days start = date;
  return start + std::chrono::hours(hour) + std::chrono::minutes(minute) +
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
