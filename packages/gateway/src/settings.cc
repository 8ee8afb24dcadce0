#include "gypsumtrack/gateway/settings.h"

#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <cctype>
#include <charconv>
#include <cstdlib>

namespace gypsumtrack::gateway {
namespace {

/// Parses a setting's text into its field. Returns an empty string, or what is
/// allowed if the text is invalid.
using Setter = std::function<std::string(Settings&, const std::string&)>;

/// Description of a setting.
struct Setting {
  std::string flag;
  std::string unit;
  std::string default_text;
  std::string help;
  Setter set;
};

constexpr std::size_t kMinSecretBytes = 16;

std::optional<std::uint64_t> ParseUnsigned(const std::string& text) {
  std::uint64_t number = 0;
  const auto end = text.data() + text.size();
  const auto [parse_end, parse_error] =
      std::from_chars(text.data(), end, number);
  if (parse_error != std::errc() || parse_end != end) return std::nullopt;
  return number;
}

template <typename Field>
Setter UnsignedSetter(Field Settings::*field, std::uint64_t min,
                      std::uint64_t max) {
  return [=](Settings& settings, const std::string& text) -> std::string {
    const auto number = ParseUnsigned(text);
    if (!number || *number < min || *number > max) {
      return fmt::format("a whole number from {} to {}", min, max);
    }
    settings.*field = static_cast<Field>(*number);
    return {};
  };
}

Setter DurationSetter(base::Duration Settings::*field, std::uint64_t min,
                      std::uint64_t max) {
  return [=](Settings& settings, const std::string& text) -> std::string {
    const auto number = ParseUnsigned(text);
    if (!number || *number < min || *number > max) {
      return fmt::format("milliseconds from {} to {}", min, max);
    }
    settings.*field = std::chrono::milliseconds(*number);
    return {};
  };
}

bool IsAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  const auto port = ParseUnsigned(text.substr(colon + 1));
  boost::system::error_code failure;
  boost::asio::ip::make_address(text.substr(0, colon), failure);
  return !failure && port && *port <= 65535;
}

Setter AddressSetter(std::string Settings::*field) {
  return [=](Settings& settings, const std::string& text) -> std::string {
    if (!IsAddress(text)) return "an IP number and port, such as 10.0.0.1:8080";
    settings.*field = text;
    return {};
  };
}

Setter SecretSetter(std::string Settings::*field) {
  return [=](Settings& settings, const std::string& text) -> std::string {
    if (text.size() < kMinSecretBytes) {
      return fmt::format("at least {} characters", kMinSecretBytes);
    }
    settings.*field = text;
    return {};
  };
}

bool IsName(const std::string& text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](unsigned char character) {
           return std::isalnum(character) != 0 || character == '-' ||
                  character == '.';
         });
}

Setter NameSetter(const std::function<void(Settings&, std::string)>& store) {
  return [store](Settings& settings, const std::string& text) -> std::string {
    if (!IsName(text)) return "letters, digits, '-' and '.'";
    store(settings, text);
    return {};
  };
}

std::string SetLogLevel(Settings& settings, const std::string& text) {
  const auto level = base::kLogLevelNames.Parse(text);
  if (!level) return "debug, info, warning, error or off";
  settings.log_level = *level;
  return {};
}

std::vector<Setting> IdentitySettings() {
  return {
      {"vm", "", "", "name of this VM, unique in the fleet",
       NameSetter(
           [](Settings& s, std::string v) { s.vm_name = std::move(v); })},
      {"failure-domain", "", "", "failure domain of this VM",
       NameSetter([](Settings& s, std::string v) {
         s.location.domain = base::FailureDomain(std::move(v));
       })},
      {"region", "", "", "region of this VM",
       NameSetter([](Settings& s, std::string v) {
         s.location.region = base::Region(std::move(v));
       })},
      {"listen", "ip:port", "127.0.0.1:8080", "where callers connect",
       AddressSetter(&Settings::listen)},
      {"admin-listen", "ip:port", "127.0.0.1:8081", "where operators connect",
       AddressSetter(&Settings::admin_listen)},
      {"peer-listen", "ip:port", "127.0.0.1:8082",
       "where other daemons connect", AddressSetter(&Settings::peer_listen)},
      {"platform", "ip:port", "127.0.0.1:9000", "the platform's service",
       AddressSetter(&Settings::platform_address)},
      {"fleet-secret", "", "", "shared by all daemons; set the variable",
       SecretSetter(&Settings::fleet_secret)},
      {"admin-token", "", "", "what operators present; set the variable",
       SecretSetter(&Settings::admin_token)},
  };
}

std::vector<Setting> LimitSettings() {
  constexpr std::uint64_t kHourMs = 3600ULL * 1000;
  constexpr std::uint64_t kGiB = 1024ULL * 1024 * 1024;
  return {
      {"threads", "", "4", "threads that carry connections",
       UnsignedSetter(&Settings::threads, 1, 256)},
      {"log-level", "", "info", "debug, info, warning, error or off",
       SetLogLevel},
      {"max-header-bytes", "bytes", "16384", "largest request head",
       UnsignedSetter(&Settings::max_header_bytes, 1024, 1024ULL * 1024)},
      {"max-body-bytes", "bytes", "8388608", "largest online request body",
       UnsignedSetter(&Settings::max_body_bytes, 1024, kGiB)},
      {"max-batch-bytes", "bytes", "1073741824", "largest batch body",
       UnsignedSetter(&Settings::max_batch_bytes, 1024, 16 * kGiB)},
      {"max-connections", "", "4096", "open connections of callers",
       UnsignedSetter(&Settings::max_connections, 1, 1000000)},
      {"idle-timeout", "ms", "60000", "idle or slow callers are closed after",
       DurationSetter(&Settings::idle_timeout, 100, kHourMs)},
      {"request-timeout", "ms", "120000", "longest time for a whole request",
       DurationSetter(&Settings::request_timeout, 100, kHourMs)},
      {"progress-timeout", "ms", "10000",
       "longest time an endpoint's answer may stand still",
       DurationSetter(&Settings::progress_timeout, 50, kHourMs)},
      {"drain-timeout", "ms", "120000",
       "longest time open requests get at shutdown",
       DurationSetter(&Settings::drain_timeout, 0, kHourMs)},
      {"borrow-wait", "ms", "60",
       "longest wait for tokens borrowed from other VMs",
       DurationSetter(&Settings::borrow_wait, 0, 10000)},
  };
}

const std::vector<Setting>& AllSettings() {
  static const std::vector<Setting> settings = [] {
    auto all = IdentitySettings();
    for (auto& setting : LimitSettings()) all.push_back(std::move(setting));
    return all;
  }();
  return settings;
}

std::string VariableName(const std::string& flag) {
  std::string name = "GYPSUMTRACK_";
  for (const char character : flag) {
    name += character == '-' ? '_'
                             : static_cast<char>(std::toupper(
                                   static_cast<unsigned char>(character)));
  }
  return name;
}

/// Sets a setting from `source`, which errors name. Errors don't print the text
/// of secrets.
base::Status ApplySetting(const Setting& setting, const std::string& source,
                          const std::string& text, Settings& settings) {
  const auto allowed = setting.set(settings, text);
  if (allowed.empty()) return base::Done{};
  const bool secret =
      setting.flag == "fleet-secret" || setting.flag == "admin-token";
  return base::Error(base::Errc::kInvalid,
                     fmt::format("{}: got '{}', allowed: {}", source,
                                 secret ? "(secret)" : text, allowed));
}

/// Returns an error if a setting without a default isn't set.
base::Status RequireAll(const Settings& settings) {
  const auto missing_setting = [](const std::string& flag) {
    return base::Error(base::Errc::kInvalid,
                       fmt::format("--{} or {}: got nothing, required", flag,
                                   VariableName(flag)));
  };
  if (settings.vm_name.empty()) return missing_setting("vm");
  if (settings.location.domain.empty())
    return missing_setting("failure-domain");
  if (settings.location.region.empty()) return missing_setting("region");
  if (settings.fleet_secret.empty()) return missing_setting("fleet-secret");
  if (settings.admin_token.empty()) return missing_setting("admin-token");
  return base::Done{};
}

/// getopt_long codes: settings are numbered from kFirstSettingOption, in the
/// order of AllSettings.
constexpr int kFirstSettingOption = 256;
constexpr int kHelpOption = 1;
constexpr int kVersionOption = 2;
constexpr int kCheckOption = 3;

std::vector<option> LongOptions() {
  std::vector<option> options = {
      {"help", no_argument, nullptr, kHelpOption},
      {"version", no_argument, nullptr, kVersionOption},
      {"check", no_argument, nullptr, kCheckOption},
  };
  int code = kFirstSettingOption;
  for (const auto& setting : AllSettings()) {
    options.push_back(
        {setting.flag.c_str(), required_argument, nullptr, code++});
  }
  options.push_back({nullptr, 0, nullptr, 0});
  return options;
}

}  // namespace

Environment ProcessEnvironment() {
  return [](const std::string& name) -> std::optional<std::string> {
    const char* value = std::getenv(name.c_str());
    if (value == nullptr) return std::nullopt;
    return std::string(value);
  };
}

base::Outcome<StartRequest> ParseSettings(int argc, char** argv,
                                          const Environment& environment) {
  StartRequest request;
  for (const auto& setting : AllSettings()) {
    const auto name = VariableName(setting.flag);
    const auto value = environment(name);
    if (!value) continue;
    const auto status = ApplySetting(setting, name, *value, request.settings);
    if (!status.ok()) return status.error();
  }
  const auto options = LongOptions();
  opterr = 0;
  optind = 0;
  int code = 0;
  while ((code = getopt_long(argc, argv, "", options.data(), nullptr)) != -1) {
    if (code == '?') {
      return base::Error(
          base::Errc::kInvalid,
          fmt::format("{}: unknown flag or missing value", argv[optind - 1]));
    }
    if (code == kHelpOption) {
      request.mode = StartMode::kHelp;
    } else if (code == kVersionOption) {
      request.mode = StartMode::kVersion;
    } else if (code == kCheckOption) {
      request.mode = StartMode::kCheck;
    } else {
      const auto& setting = AllSettings()[code - kFirstSettingOption];
      const auto status =
          ApplySetting(setting, "--" + setting.flag, optarg, request.settings);
      if (!status.ok()) return status.error();
    }
  }
  if (optind < argc) {
    return base::Error(
        base::Errc::kInvalid,
        fmt::format("{}: got a word, allowed: flags only", argv[optind]));
  }
  if (request.mode == StartMode::kHelp || request.mode == StartMode::kVersion) {
    return request;
  }
  const auto complete = RequireAll(request.settings);
  if (!complete.ok()) return complete.error();
  return request;
}

std::string SettingsHelp() {
  std::string text =
      "usage: gypsumtrackd [FLAGS]\n\n"
      "Each flag has an environment variable; the flag wins.\n\n"
      "  --help       print this and exit\n"
      "  --version    print the version and exit\n"
      "  --check      check all settings and exit\n";
  for (const auto& setting : AllSettings()) {
    text += fmt::format(
        "  --{} {}\n      {}; {}default {}\n", setting.flag,
        VariableName(setting.flag), setting.help,
        setting.unit.empty() ? "" : setting.unit + ", ",
        setting.default_text.empty() ? "none, required" : setting.default_text);
  }
  return text;
}

}  // namespace gypsumtrack::gateway
