#ifndef GYPSUMTRACK_BASE_ENUM_TABLE_H_
#define GYPSUMTRACK_BASE_ENUM_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

/// Conversion between the values of an `enum class` and their names.
namespace gypsumtrack::base {

/// Pairs an enum value with its name.
template <typename E>
struct EnumName {
  E value;
  std::string_view name;
};

/// Maps enum values to names and back by linear search.
///
///     constexpr auto kNames = MakeEnumTable<Color>({{Color::kRed, "red"}});
///     kNames.Name(Color::kRed);  // "red"
///     kNames.Parse("red");       // Color::kRed
template <typename E, std::size_t N>
struct EnumTable {
  std::array<EnumName<E>, N> entries;

  /// Returns the name of `value`, or "?" if the table has no entry for it.
  /// Thread-safe.
  constexpr std::string_view Name(E value) const {
    for (const auto& entry : this->entries) {
      if (entry.value == value) return entry.name;
    }
    return "?";
  }

  /// Returns the value named `name`, or `nullopt` if there is none.
  /// Thread-safe.
  constexpr std::optional<E> Parse(std::string_view name) const {
    for (const auto& entry : this->entries) {
      if (entry.name == name) return entry.value;
    }
    return std::nullopt;
  }
};

/// Builds a table from a list of entries, deducing its size. Thread-safe.
template <typename E, std::size_t N>
constexpr EnumTable<E, N> MakeEnumTable(const EnumName<E> (&entries)[N]) {
  EnumTable<E, N> table{};
  for (std::size_t i = 0; i < N; ++i) table.entries[i] = entries[i];
  return table;
}

}  // namespace gypsumtrack::base

#endif  // GYPSUMTRACK_BASE_ENUM_TABLE_H_
