/**
 * @file transit_page_type.h
 * Pages of the status address of a process that carries transparent flows.
 */
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthorncroft {

/** Response to one request. */
struct HttpReply {
    unsigned status { 404 };
    std::string body;
    std::string_view contentType { "text/plain" }; ///< Refers to a literal.
    std::vector<std::pair<std::string, std::string>> headers {}; ///< Names and values of further ones.
};

/** Body of the reply to a path that a process does not serve. `hawthorncroftctl` recognises older versions by it. */
inline constexpr std::string_view noSuchPage = "no such page\n";

/** Path of the page that explains where a flow would be placed. */
inline constexpr std::string_view placePath = "/place";

} // namespace hawthorncroft
