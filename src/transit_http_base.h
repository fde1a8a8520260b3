/**
 * @file transit_http_base.h
 * Small HTTP/1.1 server for readiness and metrics, by Boost.Beast.
 */
#pragma once

#include "core_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace hawthorncroft {

/** Response to one request. */
struct HttpReply {
    unsigned status { 404 };
    std::string body;
};

/** Serves GET requests; connections are kept open and bounded in number. */
class TransitHttpServer {
public:
    /** Sends the reply to one request; called once, at once or later. */
    using ReplyCallback = std::function<void(HttpReply)>;
    using Handler = std::function<void(const std::string& path, ReplyCallback reply)>;

    /**
     * Starts to listen.
     * @param local Address and port.
     * @param handler Called with the path of each request and what sends its reply.
     * @return Empty on success, otherwise what the system reports.
     */
    std::string open(boost::asio::io_context& context, Endpoint local, Handler handler);

private:
    void accept();

    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    Handler m_handler;
    std::shared_ptr<std::size_t> m_sessionCount { std::make_shared<std::size_t>(0) }; ///< Open connections.
};

} // namespace hawthorncroft
