#include "gypsumtrack/base/utf8.h"

#include <algorithm>
#include <cstddef>

namespace gypsumtrack::base {
namespace {

unsigned char ByteAt(std::string_view bytes, std::size_t index) {
  return static_cast<unsigned char>(bytes[index]);
}

bool IsBetween(unsigned char byte, unsigned char first, unsigned char last) {
  return byte >= first && byte <= last;
}

/// Number of bytes of the character that begins with `lead`; 0 if none does.
std::size_t SizeOfCharacter(unsigned char lead) {
  if (lead < 0x80) return 1;
  if (IsBetween(lead, 0xC2, 0xDF)) return 2;
  if (IsBetween(lead, 0xE0, 0xEF)) return 3;
  if (IsBetween(lead, 0xF0, 0xF4)) return 4;
  return 0;
}

/// Whether the second byte of a character may follow its first one. Excludes
/// overlong forms, surrogates and what lies above U+10FFFF.
bool MayFollow(unsigned char lead, unsigned char second) {
  switch (lead) {
    case 0xE0:
      return IsBetween(second, 0xA0, 0xBF);
    case 0xED:
      return IsBetween(second, 0x80, 0x9F);
    case 0xF0:
      return IsBetween(second, 0x90, 0xBF);
    case 0xF4:
      return IsBetween(second, 0x80, 0x8F);
    default:
      return IsBetween(second, 0x80, 0xBF);
  }
}

/// Whether the text is one character of two bytes or more.
bool IsCharacter(std::string_view character) {
  if (!MayFollow(ByteAt(character, 0), ByteAt(character, 1))) return false;
  const auto rest = character.substr(2);
  return std::all_of(rest.begin(), rest.end(), [](char byte) {
    return IsBetween(static_cast<unsigned char>(byte), 0x80, 0xBF);
  });
}

}  // namespace

bool IsUtf8(std::string_view bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    const auto size = SizeOfCharacter(ByteAt(bytes, at));
    if (size == 0 || size > bytes.size() - at) return false;
    if (size > 1 && !IsCharacter(bytes.substr(at, size))) return false;
    at += size;
  }
  return true;
}

}  // namespace gypsumtrack::base
