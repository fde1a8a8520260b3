/**
 * @file name_table_type.h
 * Tables of names for enumerations that end with an enumerator `End`.
 */
#pragma once

#include <array>
#include <string_view>

namespace hawthorncroft {

/** Names of the enumerators, in the order of their values. */
template <typename Enum> using NameTable = std::array<std::string_view, static_cast<std::size_t>(Enum::End)>;

/**
 * Gets the name of an enumeration value.
 * @param names The table.
 * @param value The value; may be out of range, such as one received from the network.
 * @return Its name, or "invalid" for a value outside the enumeration.
 */
template <typename Enum> constexpr std::string_view lookUpName(const NameTable<Enum>& names, Enum value)
{
    auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : "invalid";
}

} // namespace hawthorncroft
