#include "command.h"

#include <fmt/format.h>
#include <json/writer.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>

namespace gypsumtrack::ctl {
namespace {

std::string FormatValue(const Json::Value& value) {
  if (value.isNull()) return "-";
  if (value.isBool()) return value.asBool() ? "yes" : "no";
  if (value.isArray() || value.isObject()) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
  }
  return value.asString();
}

bool IsTable(const Json::Value& value) {
  return value.isArray() && !value.empty() &&
         std::all_of(value.begin(), value.end(),
                     [](const Json::Value& row) { return row.isObject(); });
}

void PrintTable(const Json::Value& rows) {
  std::map<std::string, std::size_t> widths;
  for (const auto& row : rows) {
    for (const auto& name : row.getMemberNames()) {
      auto& width = widths[name];
      width = std::max({width, name.size(), FormatValue(row[name]).size()});
    }
  }
  for (const auto& [name, width] : widths) fmt::print("{:<{}}  ", name, width);
  fmt::print("\n");
  for (const auto& row : rows) {
    for (const auto& [name, width] : widths) {
      fmt::print("{:<{}}  ", FormatValue(row[name]), width);
    }
    fmt::print("\n");
  }
}

bool IsInForce(const Json::Value& domains, bool skip_unreachable) {
  return std::all_of(
      domains.begin(), domains.end(), [&](const Json::Value& domain) {
        if (!domain["reachable"].asBool()) return skip_unreachable;
        return domain["in_force"].asUInt() >= domain["vms"].asUInt();
      });
}

}  // namespace

ExitCode Fail(const std::string& message) {
  fmt::print(stderr, "gypsumctl: {}\n", message);
  return ExitCode::kFailed;
}

ExitCode Fail(const base::Error& error) { return Fail(error.message); }

ExitCode FailUsage(const std::string& message) {
  fmt::print(stderr, "gypsumctl: {}\n", message);
  return ExitCode::kUsageError;
}

std::string ResolveAuthor(const Invocation& invocation) {
  if (invocation.Has(Flag::kAuthor)) return invocation.GetText(Flag::kAuthor);
  for (const char* name : {"LOGNAME", "USER"}) {
    const char* value = std::getenv(name);
    if (value != nullptr && *value != '\0') return value;
  }
  return {};
}

void Print(const Invocation& invocation, const Json::Value& value) {
  if (invocation.Has(Flag::kJson)) {
    fmt::print("{}\n", Json::writeString(Json::StreamWriterBuilder(), value));
    return;
  }
  if (IsTable(value)) {
    PrintTable(value);
    return;
  }
  if (!value.isObject()) {
    fmt::print("{}\n", FormatValue(value));
    return;
  }
  for (const auto& name : value.getMemberNames()) {
    if (!IsTable(value[name]))
      fmt::print("{}: {}\n", name, FormatValue(value[name]));
  }
  for (const auto& name : value.getMemberNames()) {
    if (!IsTable(value[name])) continue;
    fmt::print("\n{}:\n", name);
    PrintTable(value[name]);
  }
}

std::string FormatDomains(const Json::Value& domains) {
  std::string text;
  for (const auto& domain : domains) {
    const auto name = domain["domain"].asString();
    if (domain["reachable"].asBool()) {
      text += fmt::format("  {}: in force in {} of {} VMs\n", name,
                          domain["in_force"].asUInt(), domain["vms"].asUInt());
    } else {
      text += fmt::format("  {}: unreachable ({} VMs)\n", name,
                          domain["vms"].asUInt());
    }
  }
  return text;
}

bool IsInForceOnReachableDomains(const Json::Value& domains) {
  return IsInForce(domains, true);
}

bool IsInForceOnAllDomains(const Json::Value& domains) {
  return IsInForce(domains, false);
}

}  // namespace gypsumtrack::ctl
