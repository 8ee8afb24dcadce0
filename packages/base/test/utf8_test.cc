#include "gypsumtrack/base/utf8.h"

#include <catch2/catch.hpp>
#include <string>

namespace gypsumtrack::base {
namespace {

using namespace std::string_literals;

TEST_CASE("text is checked for well-formed UTF-8") {
  SECTION("characters of one to four bytes are accepted") {
    CHECK(IsUtf8(""));
    CHECK(IsUtf8("plain text\r\n\0\x7F"s));
    CHECK(IsUtf8("\xC2\x80 \xDF\xBF"));
    CHECK(IsUtf8("\xE0\xA0\x80 \xED\x9F\xBF \xEE\x80\x80 \xEF\xBF\xBF"));
    CHECK(IsUtf8("\xF0\x90\x80\x80 \xF4\x8F\xBF\xBF"));
  }
  SECTION("a byte that begins no character is rejected") {
    for (const auto* lead : {"\x80", "\xBF", "\xC0", "\xC1", "\xF5", "\xFF"}) {
      CHECK_FALSE(IsUtf8("a"s + lead + "\x80\x80\x80"));
    }
  }
  SECTION("a character that is cut short is rejected") {
    for (const auto* cut :
         {"\xC3", "\xE2", "\xE2\x82", "\xF0", "\xF0\x9F", "\xF0\x9F\x8C"}) {
      CHECK_FALSE(IsUtf8(cut));
      CHECK_FALSE(IsUtf8(cut + " and more"s));
    }
  }
  SECTION("overlong forms are rejected") {
    CHECK_FALSE(IsUtf8("\xE0\x9F\xBF"));
    CHECK_FALSE(IsUtf8("\xF0\x8F\xBF\xBF"));
  }
  SECTION("surrogates are rejected") {
    CHECK_FALSE(IsUtf8("\xED\xA0\x80"));
    CHECK_FALSE(IsUtf8("\xED\xBF\xBF"));
  }
  SECTION("what lies above the last code point is rejected") {
    CHECK_FALSE(IsUtf8("\xF4\x90\x80\x80"));
  }
}

}  // namespace
}  // namespace gypsumtrack::base
