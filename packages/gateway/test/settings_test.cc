#include "gypsumtrack/gateway/settings.h"

#include <catch2/catch.hpp>
#include <map>

namespace gypsumtrack::gateway {
namespace {

using Variables = std::map<std::string, std::string>;

base::Outcome<StartRequest> Parse(std::vector<std::string> arguments,
                                  const Variables& variables = {}) {
  arguments.insert(arguments.begin(), "gypsumtrackd");
  std::vector<char*> argv;
  for (auto& argument : arguments) argv.push_back(argument.data());
  argv.push_back(nullptr);
  return ParseSettings(
      static_cast<int>(arguments.size()), argv.data(),
      [&](const std::string& name) -> std::optional<std::string> {
        const auto found = variables.find(name);
        if (found == variables.end()) return std::nullopt;
        return found->second;
      });
}

const Variables kRequired = {
    {"GYPSUMTRACK_VM", "vm-1"},
    {"GYPSUMTRACK_FAILURE_DOMAIN", "delta-cairo"},
    {"GYPSUMTRACK_REGION", "delta"},
    {"GYPSUMTRACK_FLEET_SECRET", "0123456789abcdef"},
    {"GYPSUMTRACK_ADMIN_TOKEN", "fedcba9876543210"},
};

TEST_CASE("settings are parsed from flags and variables") {
  SECTION("variables suffice") {
    const auto request = Parse({}, kRequired);
    REQUIRE(request.ok());
    CHECK(request->settings.vm_name == "vm-1");
    CHECK(request->settings.location.domain.text == "delta-cairo");
    CHECK(request->settings.threads == 4);
  }
  SECTION("a flag takes precedence over its variable") {
    auto variables = kRequired;
    variables["GYPSUMTRACK_THREADS"] = "2";
    const auto request = Parse({"--threads", "8"}, variables);
    REQUIRE(request.ok());
    CHECK(request->settings.threads == 8);
  }
  SECTION("an error names the setting, its value and what is allowed") {
    CHECK(Parse({"--threads", "none"}, kRequired).error().message ==
          "--threads: got 'none', allowed: a whole number from 1 to 256");
    CHECK(Parse({"--listen", "here:80"}, kRequired).error().message ==
          "--listen: got 'here:80', allowed: an IP number and port, such as "
          "10.0.0.1:8080");
    SECTION("but doesn't print a secret") {
      CHECK(Parse({"--admin-token", "short"}, kRequired).error().message ==
            "--admin-token: got '(secret)', allowed: at least 16 characters");
    }
  }
  SECTION("an error names a missing setting") {
    auto variables = kRequired;
    variables.erase("GYPSUMTRACK_REGION");
    CHECK(Parse({}, variables).error().message ==
          "--region or GYPSUMTRACK_REGION: got nothing, required");
  }
  SECTION("unknown flags and positional arguments are refused") {
    CHECK_FALSE(Parse({"--colour", "red"}, kRequired).ok());
    CHECK_FALSE(Parse({"start"}, kRequired).ok());
  }
}

}  // namespace
}  // namespace gypsumtrack::gateway
