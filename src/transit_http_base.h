/**
 * @file transit_http_base.h
 * Minimal HTTP/1.1 server for the pages of a status address, based on Boost.Beast.
 */
#pragma once

#include "core_type.h"
#include "transit_page_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace hawthorncroft {

/** Answers requests by path. Connections are persistent and limited in number. */
class TransitHttpServer {
public:
    /** Sends the reply to one request. The handler calls it once, during its own call or later. */
    using ReplyCallback = std::function<void(HttpReply)>;
    using Handler = std::function<void(const std::string& target, ReplyCallback reply)>;

    /**
     * Starts listening.
     * @param local Address and port.
     * @param handler Called with the path and query string of each request, and the callback that sends its reply.
     * @return Empty on success, otherwise the system's error message.
     */
    std::string open(boost::asio::io_context& context, Endpoint local, Handler handler);

private:
    void accept();

    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    Handler m_handler;
    std::shared_ptr<std::size_t> m_sessionCount { std::make_shared<std::size_t>(0) }; ///< Open connections.
};

} // namespace hawthorncroft
