#include <fmt/format.h>

#include <iostream>
#include <string>

#include "command.h"
#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::ctl {
namespace {

using Arguments = std::vector<std::string>;

constexpr std::size_t kOperationIdBytes = 12;

ExitCode Grant(const Invocation& invocation, const Client& client,
               const Arguments& /*arguments*/) {
  const auto author = ResolveAuthor(invocation);
  if (author.empty()) {
    return FailUsage(
        "--author: got nothing, expected the author of the change");
  }
  for (const auto& [flag, name] :
       {std::pair{Flag::kOrganisation, "org"}, {Flag::kLabel, "label"}}) {
    if (invocation.GetText(flag).empty()) {
      return FailUsage(fmt::format("--{}: got nothing, expected NAME", name));
    }
  }
  Json::Value body(Json::objectValue);
  body["organisation"] = invocation.GetText(Flag::kOrganisation);
  body["label"] = invocation.GetText(Flag::kLabel);
  body["author"] = author;
  body["operation_id"] = base::RandomHex(kOperationIdBytes);
  const auto response = Post(client, "/admin/keys", body);
  if (!response.ok()) return Fail(response.error());
  if (invocation.Has(Flag::kJson)) {
    Print(invocation, *response);
    return ExitCode::kSuccess;
  }
  // Only the key goes to standard output, so that a script can read it.
  fmt::print("{}\n", (*response)["key"].asString());
  fmt::print(stderr,
             "{} for {}, in force from revision {}; the key won't be "
             "shown again\n",
             invocation.GetText(Flag::kLabel),
             invocation.GetText(Flag::kOrganisation),
             (*response)["revision"].asUInt64());
  return ExitCode::kSuccess;
}

std::string ReadKey(const Invocation& invocation) {
  auto key = invocation.GetText(Flag::kKey);
  if (key == "-") std::getline(std::cin, key);
  return key;
}

void PrintWithdrawal(const Json::Value& response) {
  fmt::print("{}", FormatDomains(response["domains"]));
  fmt::print("{}\n", response["durable"].asBool()
                         ? "the withdrawal is stored in the table"
                         : "the table is unreachable; the daemons keep the "
                           "withdrawal and write it once it is reachable");
  if (!response["in_force_everywhere"].asBool()) {
    fmt::print(
        "NOT in force everywhere: an unreachable failure domain still "
        "accepts the key\n");
  }
}

ExitCode Withdraw(const Invocation& invocation, const Client& client,
                  const Arguments& /*arguments*/) {
  const auto author = ResolveAuthor(invocation);
  if (author.empty()) {
    return FailUsage(
        "--author: got nothing, expected the author of the change");
  }
  if (invocation.Has(Flag::kLabel) == invocation.Has(Flag::kKey)) {
    return FailUsage("keys withdraw: expected either --label or --key");
  }
  Json::Value body(Json::objectValue);
  body["author"] = author;
  if (invocation.Has(Flag::kLabel)) {
    body["label"] = invocation.GetText(Flag::kLabel);
  } else {
    body["key"] = ReadKey(invocation);
  }
  const auto response = Post(client, "/admin/keys/withdraw", body);
  if (!response.ok()) return Fail(response.error());
  if (invocation.Has(Flag::kJson)) {
    Print(invocation, *response);
  } else {
    PrintWithdrawal(*response);
  }
  return (*response)["in_force_everywhere"].asBool() ? ExitCode::kSuccess
                                                     : ExitCode::kPartial;
}

ExitCode List(const Invocation& invocation, const Client& client,
              const Arguments& /*arguments*/) {
  const auto response = Get(client, "/admin/keys");
  if (!response.ok()) return Fail(response.error());
  Print(invocation, *response);
  return ExitCode::kSuccess;
}

}  // namespace

std::vector<Command> KeysCommands() {
  return {
      {{"keys", "grant"},
       {},
       "create a key and print it; it can't be shown again",
       {Flag::kOrganisation, Flag::kLabel, Flag::kAuthor},
       Grant},
      {{"keys", "withdraw"},
       {},
       "withdraw a key everywhere, even while the table is unreachable",
       {Flag::kLabel, Flag::kKey, Flag::kAuthor},
       Withdraw},
      {{"keys", "list"},
       {},
       "print the keys' labels and organisations",
       {},
       List},
  };
}

}  // namespace gypsumtrack::ctl
