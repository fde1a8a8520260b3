/**
 * @file standin_func.h
 * Helpers that the HTTP stand-ins share: paths, queries, JSON answers and the loop of a program.
 */
#pragma once

#include "http2_base.h"

#include <boost/json.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hawthorncroft {

/** A request path taken apart. */
struct UrlPath {
    std::vector<std::string> parts; ///< Between slashes, without empty ones.
    std::map<std::string, std::string> query; ///< Not percent-decoded.
};

/**
 * Takes a path apart.
 * @param path Such as "/watch?since=4".
 * @return Its parts and query.
 */
UrlPath splitPath(std::string_view path);

/**
 * Reads a whole decimal number.
 * @param text The text.
 * @param fallback Returned when the text is not a number.
 * @return The number.
 */
std::uint64_t toNumber(std::string_view text, std::uint64_t fallback);

/** Answers with a JSON value. */
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
 * Prints "NAME listening on ADDRESS:PORT" and runs the loop until SIGINT or SIGTERM.
 * @param context The loop.
 * @param name Name of the program.
 * @param endpoint Where it listens.
 */
void runProgram(boost::asio::io_context& context, const std::string& name, Endpoint endpoint);

} // namespace hawthorncroft
