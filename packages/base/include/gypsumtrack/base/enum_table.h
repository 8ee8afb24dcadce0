#ifndef GYPSUMTRACK_BASE_ENUM_TABLE_H_
#define GYPSUMTRACK_BASE_ENUM_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

/// Tables of names for `enum class` types.
namespace gypsumtrack::base {

template <typename E>
struct EnumName {
  E value;
  std::string_view name;
};

/// The names of an enum's values, both ways.
///
///     constexpr auto kNames = MakeEnumTable<Color>({{Color::kRed, "red"}});
///     kNames.Name(Color::kRed);  // "red"
///     kNames.Parse("red");       // Color::kRed
template <typename E, std::size_t N>
struct EnumTable {
  std::array<EnumName<E>, N> entries;

  /// "?" for a value without a name. Thread-safe.
  constexpr std::string_view Name(E value) const {
    for (const auto& entry : this->entries) {
      if (entry.value == value) return entry.name;
    }
    return "?";
  }

  /// Thread-safe.
  constexpr std::optional<E> Parse(std::string_view name) const {
    for (const auto& entry : this->entries) {
      if (entry.name == name) return entry.value;
    }
    return std::nullopt;
  }
};

template <typename E, std::size_t N>
constexpr EnumTable<E, N> MakeEnumTable(const EnumName<E> (&entries)[N]) {
  EnumTable<E, N> table{};
  for (std::size_t i = 0; i < N; ++i) table.entries[i] = entries[i];
  return table;
}

}  // namespace gypsumtrack::base

#endif  // GYPSUMTRACK_BASE_ENUM_TABLE_H_
