#include "gypsumtrack/policy/rule.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string_view>

namespace gypsumtrack::policy {
namespace {

constexpr double kMaxRatePerSecond = 1e6;
constexpr std::string_view kMethods[] = {"GET",   "HEAD",   "POST",   "PUT",
                                         "PATCH", "DELETE", "OPTIONS"};
/// Fields that are rejected on an open rule, which has no limits.
constexpr std::string_view kAllowOnlyFields[] = {"org", "rate", "burst", "bulk",
                                                 "share"};

struct Word {
  std::string_view text;
  /// Counted from 1.
  std::size_t column = 0;
};

std::vector<Word> SplitWords(std::string_view line) {
  std::vector<Word> words;
  std::size_t position = 0;
  while (position < line.size()) {
    const auto start = line.find_first_not_of(" \t", position);
    if (start == std::string_view::npos) break;
    auto word_end = line.find_first_of(" \t", start);
    if (word_end == std::string_view::npos) word_end = line.size();
    words.push_back({line.substr(start, word_end - start), start + 1});
    position = word_end;
  }
  return words;
}

std::string_view Trim(std::string_view text) {
  const auto start = text.find_first_not_of(" \t\r");
  if (start == std::string_view::npos) return {};
  return text.substr(start, text.find_last_not_of(" \t\r") - start + 1);
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number{};
  const auto end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data(), end, number);
  if (failure != std::errc() || stop != end) return std::nullopt;
  return number;
}

std::optional<bool> ParseYesNo(std::string_view text) {
  if (text == "yes") return true;
  if (text == "no") return false;
  return std::nullopt;
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' ||
         c == ':' || c == '/';
}

bool IsName(std::string_view text) {
  return std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsMethod(std::string_view text) {
  return text == "*" || std::find(std::begin(kMethods), std::end(kMethods),
                                  text) != std::end(kMethods);
}

/// Sets one field. Returns a description of the expected value if `value` is
/// invalid, otherwise an empty string.
std::string SetField(Rule& rule, std::string_view name,
                     std::string_view value) {
  if (value.empty()) return fmt::format("a value after {}=", name);
  const bool is_name = name == "org" || name == "service" || name == "model";
  if (is_name && !IsName(value)) {
    return "a name of letters, digits and - _ . : /";
  }
  if (name == "org") {
    rule.id.organisation = base::Organisation(std::string(value));
  } else if (name == "service") {
    rule.id.service = base::Service(std::string(value));
  } else if (name == "model") {
    rule.id.model = base::Model(std::string(value));
  } else if (name == "rate") {
    constexpr std::string_view kUnit = "/s";
    if (value.size() <= kUnit.size() ||
        value.substr(value.size() - kUnit.size()) != kUnit) {
      return "a rate with its unit, such as 40/s";
    }
    const auto rate =
        ParseNumber<double>(value.substr(0, value.size() - kUnit.size()));
    if (!rate || !(*rate > 0) || *rate > kMaxRatePerSecond) {
      return "a rate above zero and up to 1000000/s, such as 40/s";
    }
    rule.rate_per_second = *rate;
  } else if (name == "burst") {
    const auto burst = ParseNumber<std::uint32_t>(value);
    if (!burst || *burst < 1) return "a burst of one or more";
    rule.burst = *burst;
  } else if (name == "bulk" || name == "idempotent") {
    const auto flag = ParseYesNo(value);
    if (!flag) return "yes or no";
    (name == "bulk" ? rule.bulk : rule.idempotent) = *flag;
  } else if (name == "share") {
    const auto share = ParseNumber<std::uint32_t>(value);
    if (!share || *share < 1) return "a share of one or more";
    rule.share = *share;
  } else if (name == "route") {
    const auto colon = value.find(':');
    if (colon == std::string_view::npos || value.substr(colon + 1, 1) != "/") {
      return "a route such as POST:/confirm";
    }
    const auto method = value.substr(0, colon);
    if (!IsMethod(method)) {
      return "a route whose method is * or one of GET, HEAD, POST, PUT, PATCH, "
             "DELETE, OPTIONS";
    }
    // An empty method matches all methods.
    rule.id.route = {method == "*" ? "" : std::string(method),
                     std::string(value.substr(colon + 1))};
  } else if (name == "isolated") {
    const auto mode = kIsolatedModeNames.Parse(value);
    if (!mode) return "serve or refuse";
    rule.isolated = *mode;
  } else {
    return "one of org, service, model, rate, burst, bulk, share, route, "
           "idempotent, isolated";
  }
  return {};
}

/// The first required field that the rule lacks; empty if there is none.
std::string MissingField(const Rule& rule) {
  if (rule.id.service.empty()) return "service=NAME";
  if (rule.id.kind == RuleKind::kOpen) {
    return rule.id.route.path_prefix.empty() ? "route=METHOD:/PATH" : "";
  }
  if (rule.id.organisation.empty()) return "org=NAME";
  if (rule.rate_per_second <= 0) return "rate=N/s";
  if (rule.burst == 0) return "burst=N";
  return {};
}

bool IsAllowOnlyField(std::string_view name) {
  return std::find(std::begin(kAllowOnlyFields), std::end(kAllowOnlyFields),
                   name) != std::end(kAllowOnlyFields);
}

base::Error ErrorAt(std::size_t line, std::size_t column,
                    std::string_view expected) {
  return {base::Errc::kInvalid,
          fmt::format("{}:{}: expected {}", line, column, expected)};
}

base::Outcome<Rule> ParseLine(std::string_view line, std::size_t line_number) {
  const auto comment_start = line.find('#');
  const auto comment = comment_start == std::string_view::npos
                           ? ""
                           : Trim(line.substr(comment_start + 1));
  if (comment.empty()) {
    return ErrorAt(line_number, line.size() + 1,
                   "a # comment naming who asked");
  }
  const auto words = SplitWords(line.substr(0, comment_start));
  Rule rule;
  rule.comment = std::string(comment);
  const auto kind = kRuleKindNames.Parse(words.front().text);
  if (!kind) return ErrorAt(line_number, words.front().column, "allow or open");
  rule.id.kind = *kind;
  std::set<std::string_view> seen;
  for (std::size_t i = 1; i < words.size(); ++i) {
    const auto& word = words[i];
    const auto equals = word.text.find('=');
    if (equals == std::string_view::npos) {
      return ErrorAt(line_number, word.column, "name=value");
    }
    const auto name = word.text.substr(0, equals);
    if (!seen.insert(name).second) {
      return ErrorAt(line_number, word.column,
                     fmt::format("{} only once", name));
    }
    if (rule.id.kind == RuleKind::kOpen && IsAllowOnlyField(name)) {
      return ErrorAt(line_number, word.column,
                     fmt::format("no {} on an open rule", name));
    }
    const auto expected = SetField(rule, name, word.text.substr(equals + 1));
    if (!expected.empty()) return ErrorAt(line_number, word.column, expected);
  }
  const auto missing = MissingField(rule);
  if (!missing.empty()) return ErrorAt(line_number, comment_start + 1, missing);
  return rule;
}

}  // namespace

base::Outcome<RuleSet> ParseRules(const std::string& text) {
  RuleSet rules;
  std::map<RuleIdentity, std::size_t> seen;
  std::string_view rest = text;
  for (std::size_t line_number = 1; !rest.empty(); ++line_number) {
    const auto line_end = rest.find('\n');
    const auto line = rest.substr(0, line_end);
    rest = line_end == std::string_view::npos ? "" : rest.substr(line_end + 1);
    const auto trimmed = Trim(line);
    if (trimmed.empty() || trimmed.front() == '#') continue;
    auto rule = ParseLine(line, line_number);
    if (!rule.ok()) return rule.error();
    const auto [previous, inserted] = seen.emplace(rule->id, line_number);
    if (!inserted) {
      return ErrorAt(line_number, 1,
                     fmt::format("no second rule for the same caller and route "
                                 "as line {}",
                                 previous->second));
    }
    rules.push_back(std::move(*rule));
  }
  return rules;
}

std::string FormatRule(const Rule& rule) {
  const auto& id = rule.id;
  std::string line(kRuleKindNames.Name(id.kind));
  const auto append = [&](std::string_view name, const auto& value) {
    line += fmt::format(" {}={}", name, value);
  };
  if (!id.organisation.empty()) append("org", id.organisation.text);
  append("service", id.service.text);
  if (!id.model.empty()) append("model", id.model.text);
  if (id.kind == RuleKind::kAllow) {
    append("rate", fmt::format("{}/s", rule.rate_per_second));
    append("burst", rule.burst);
    if (rule.bulk) append("bulk", "yes");
    if (rule.share != 1) append("share", rule.share);
  }
  if (!id.route.path_prefix.empty()) {
    const std::string method = id.route.method.empty() ? "*" : id.route.method;
    append("route", fmt::format("{}:{}", method, id.route.path_prefix));
  }
  if (!rule.idempotent) append("idempotent", "no");
  if (rule.isolated != IsolatedMode::kServe) {
    append("isolated", kIsolatedModeNames.Name(rule.isolated));
  }
  return fmt::format("{}  # {}", line, rule.comment);
}

std::string FormatRules(const RuleSet& rules) {
  std::string text;
  for (const auto& rule : rules) text += FormatRule(rule) + "\n";
  return text;
}

}  // namespace gypsumtrack::policy
