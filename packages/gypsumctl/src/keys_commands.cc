#include <fmt/format.h>

#include <iostream>
#include <string>

#include "command.h"
#include "gypsumtrack/base/hash.h"

namespace gypsumtrack::ctl {
namespace {

using Arguments = std::vector<std::string>;

constexpr std::size_t kOperationBytes = 12;

ExitCode Grant(const Invocation& invocation, const Client& client,
               const Arguments& /*arguments*/) {
  const auto author = AuthorOf(invocation);
  if (author.empty()) {
    return Misuse("--author: got nothing, expected who grants the key");
  }
  for (const auto& [flag, name] :
       {std::pair{Flag::kOrganisation, "org"}, {Flag::kLabel, "label"}}) {
    if (invocation.Text(flag).empty()) {
      return Misuse(fmt::format("--{}: got nothing, expected NAME", name));
    }
  }
  Json::Value body(Json::objectValue);
  body["organisation"] = invocation.Text(Flag::kOrganisation);
  body["label"] = invocation.Text(Flag::kLabel);
  body["author"] = author;
  body["operation_id"] = base::RandomHex(kOperationBytes);
  const auto answer = Post(client, "/admin/keys", body);
  if (!answer.ok()) return Fail(answer.error());
  if (invocation.Has(Flag::kJson)) {
    Print(invocation, *answer);
    return ExitCode::kDone;
  }
  // Alone on standard output, so that a script can take it.
  fmt::print("{}\n", (*answer)["key"].asString());
  fmt::print(stderr,
             "{} for {}, in force from revision {}; the key isn't shown "
             "again\n",
             invocation.Text(Flag::kLabel),
             invocation.Text(Flag::kOrganisation),
             (*answer)["revision"].asUInt64());
  return ExitCode::kDone;
}

std::string KeyOf(const Invocation& invocation) {
  auto key = invocation.Text(Flag::kKey);
  if (key == "-") std::getline(std::cin, key);
  return key;
}

void PrintWithdrawal(const Json::Value& answer) {
  fmt::print("{}", FormatDomains(answer["domains"]));
  fmt::print("{}\n", answer["durable"].asBool()
                         ? "the table holds the withdrawal"
                         : "the table can't be reached; the daemons keep the "
                           "withdrawal and write it when it answers");
  if (!answer["in_force_everywhere"].asBool()) {
    fmt::print(
        "NOT in force everywhere: a domain that can't be reached still "
        "accepts the key\n");
  }
}

ExitCode Withdraw(const Invocation& invocation, const Client& client,
                  const Arguments& /*arguments*/) {
  const auto author = AuthorOf(invocation);
  if (author.empty()) {
    return Misuse("--author: got nothing, expected who withdraws the key");
  }
  if (invocation.Has(Flag::kLabel) == invocation.Has(Flag::kKey)) {
    return Misuse("keys withdraw: expected either --label or --key");
  }
  Json::Value body(Json::objectValue);
  body["author"] = author;
  if (invocation.Has(Flag::kLabel)) {
    body["label"] = invocation.Text(Flag::kLabel);
  } else {
    body["key"] = KeyOf(invocation);
  }
  const auto answer = Post(client, "/admin/keys/withdraw", body);
  if (!answer.ok()) return Fail(answer.error());
  if (invocation.Has(Flag::kJson)) {
    Print(invocation, *answer);
  } else {
    PrintWithdrawal(*answer);
  }
  return (*answer)["in_force_everywhere"].asBool() ? ExitCode::kDone
                                                   : ExitCode::kPartial;
}

ExitCode List(const Invocation& invocation, const Client& client,
              const Arguments& /*arguments*/) {
  const auto answer = Get(client, "/admin/keys");
  if (!answer.ok()) return Fail(answer.error());
  Print(invocation, *answer);
  return ExitCode::kDone;
}

}  // namespace

std::vector<Command> KeysCommands() {
  return {
      {{"keys", "grant"},
       {},
       "make a key and print it, once",
       {Flag::kOrganisation, Flag::kLabel, Flag::kAuthor},
       Grant},
      {{"keys", "withdraw"},
       {},
       "refuse a key everywhere, also while the table is away",
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
