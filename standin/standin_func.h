/**
 * @file standin_func.h
 * Helpers shared by the HTTP stand-ins: paths, queries, JSON responses and the event loop of a program.
 */
#pragma once

#include "http2_base.h"

#include <boost/json.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hawthorncroft {

/** Parsed path of a request. */
struct UrlPath {
    std::vector<std::string> parts; ///< Non-empty segments between slashes.
    std::map<std::string, std::string> query; ///< Not percent-decoded.
};

/**
 * Splits a path into its segments and query.
 * @param path Such as "/watch?since=4".
 * @return The segments and the query parameters.
 */
UrlPath splitPath(std::string_view path);

/**
 * Parses a decimal integer.
 * @param text The text.
 * @param fallback Returned when the text is not a decimal integer.
 * @return The number.
 */
std::uint64_t toNumber(std::string_view text, std::uint64_t fallback);

/** Responds with a JSON value. */
void respondJson(const Http2Responder& responder, const boost::json::value& value, int status = 200);

/**
 * Parses a JSON object.
 * @param text The text.
 * @param[out] object Set on success.
 * @return Whether the text is one JSON object.
 */
bool parseObject(const std::string& text, boost::json::object& object);

/**
 * Parses an address and port to listen on.
 * @param text Such as "127.0.0.1:7000"; port 0 lets the kernel choose.
 * @param[out] endpoint Set on success.
 * @return Whether the text is valid.
 */
bool parseListen(const std::string& text, Endpoint& endpoint);

/**
 * Prints "NAME listening on ADDRESS:PORT" and runs the event loop until SIGINT or SIGTERM.
 * @param context The event loop.
 * @param name Name of the program.
 * @param endpoint Address and port on which it listens.
 */
void runProgram(boost::asio::io_context& context, const std::string& name, Endpoint endpoint);

} // namespace hawthorncroft
