/**
 * @file query_func.h
 * Parameters in the query strings of URLs.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hawthorncroft {

/**
 * Percent-encodes a value for a query string.
 * @param value Any text.
 * @return The text with all bytes except letters, digits, '-', '.', '_' and '~' as %XX.
 */
std::string encodeQueryValue(std::string_view value);

/**
 * Looks up a parameter in a query string.
 * @param query Query string without the question mark, such as "name=a%20b&flow=7".
 * @param name Name of the parameter.
 * @return The decoded value; none if the parameter is absent or its encoding is invalid.
 */
std::optional<std::string> queryValue(std::string_view query, std::string_view name);

} // namespace hawthorncroft
