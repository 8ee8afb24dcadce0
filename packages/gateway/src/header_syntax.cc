#include "gypsumtrack/gateway/header_syntax.h"

#include <algorithm>
#include <cstddef>

namespace gypsumtrack::gateway {
namespace {

/// Beast throws for names and values of 64 KB.
constexpr std::size_t kMaxBytes = 60'000;
constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
constexpr char kDelete = 0x7f;

bool IsTokenCharacter(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z') ||
         kTokenSymbols.find(c) != std::string_view::npos;
}

bool IsControlCharacter(char c) {
  return static_cast<unsigned char>(c) < ' ' || c == kDelete;
}

}  // namespace

bool IsSendable(const Header& header) {
  if (header.name.empty()) return false;
  if (std::max(header.name.size(), header.value.size()) > kMaxBytes)
    return false;
  return std::all_of(header.name.begin(), header.name.end(),
                     IsTokenCharacter) &&
         std::all_of(header.value.begin(), header.value.end(), [](char c) {
           return c == '\t' || !IsControlCharacter(c);
         });
}

bool IsSendableTarget(std::string_view target) {
  return std::none_of(target.begin(), target.end(),
                      [](char c) { return c == ' ' || IsControlCharacter(c); });
}

}  // namespace gypsumtrack::gateway
