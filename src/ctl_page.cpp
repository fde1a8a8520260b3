#include "ctl_page.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace hawthorncroft {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

    constexpr std::uint64_t maxPageBytes = 1 << 20; ///< Pages have some ten KB; more comes from another program.

    /** State of one request; lives until the response was received or the request failed. */
    struct PageRequest {
        explicit PageRequest(boost::asio::io_context& context)
            : stream(context)
        {
        }

        void send()
        {
            http::async_write(stream, request, [this](boost::beast::error_code writeError, std::size_t) {
                if (writeError)
                    result.error = writeError.message();
                else
                    receive();
            });
        }

        void receive()
        {
            http::async_read(stream, buffer, parser, [this](boost::beast::error_code error, std::size_t) {
                if (error) {
                    result.error = error.message();
                    return;
                }
                result.status = parser.get().result_int();
                result.body = std::move(parser.get().body());
            });
        }

        boost::beast::tcp_stream stream;
        http::request<http::empty_body> request;
        http::response_parser<http::string_body> parser;
        boost::beast::flat_buffer buffer;
        PageResult result;
    };

}

PageResult fetchPage(Endpoint at, const std::string& target, Duration timeout)
{
    boost::asio::io_context context(1);
    PageRequest call(context);
    call.request = { http::verb::get, target, 11 };
    call.request.set(http::field::host, toString(at));
    call.request.keep_alive(false);
    call.parser.body_limit(maxPageBytes);
    call.stream.expires_after(std::chrono::microseconds(timeout.us)); // For all operations together.
    call.stream.async_connect(
        tcp::endpoint(boost::asio::ip::address_v4(at.address), at.port), [&](boost::beast::error_code error) {
            if (error)
                call.result.error = error.message();
            else
                call.send();
        });
    context.run();
    return std::move(call.result);
}

} // namespace hawthorncroft
