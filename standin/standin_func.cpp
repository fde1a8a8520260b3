#include "standin_func.h"

#include <boost/asio.hpp>
#include <charconv>
#include <csignal>
#include <iostream>

namespace hawthorncroft {

namespace {

    /** Calls a function for each non-empty part of a text between separators. */
    template <typename Function> void forEachPart(std::string_view text, char separator, Function function)
    {
        while (!text.empty()) {
            std::size_t end = std::min(text.find(separator), text.size());
            if (end)
                function(text.substr(0, end));
            text.remove_prefix(std::min(end + 1, text.size()));
        }
    }

}

UrlPath splitPath(std::string_view path)
{
    UrlPath result;
    std::size_t mark = std::min(path.find('?'), path.size());
    forEachPart(path.substr(0, mark), '/', [&](std::string_view part) { result.parts.emplace_back(part); });
    if (mark == path.size())
        return result;
    forEachPart(path.substr(mark + 1), '&', [&](std::string_view part) {
        std::size_t equals = std::min(part.find('='), part.size());
        std::string_view value = equals < part.size() ? part.substr(equals + 1) : std::string_view {};
        result.query[std::string(part.substr(0, equals))] = value;
    });
    return result;
}

std::uint64_t toNumber(std::string_view text, std::uint64_t fallback)
{
    std::uint64_t number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    bool whole = error == std::errc() && end == text.data() + text.size();
    return whole ? number : fallback;
}

void respondJson(const Http2Responder& responder, const boost::json::value& value, int status)
{
    responder.respond(status, boost::json::serialize(value), { { "content-type", "application/json" } });
}

bool parseObject(const std::string& text, boost::json::object& object)
{
    boost::system::error_code error;
    boost::json::value value = boost::json::parse(text, error);
    if (error || !value.is_object())
        return false;
    object = value.as_object();
    return true;
}

bool parseListen(const std::string& text, Endpoint& endpoint)
{
    if (!text.ends_with(":0"))
        return parseEndpoint(text, endpoint);
    bool valid = parseEndpoint(text.substr(0, text.size() - 1) + "1", endpoint);
    endpoint.port = 0;
    return valid;
}

void runProgram(boost::asio::io_context& context, const std::string& name, Endpoint endpoint)
{
    std::cout << name << " listening on " << toString(endpoint) << std::endl;
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
    context.run();
}

} // namespace hawthorncroft
