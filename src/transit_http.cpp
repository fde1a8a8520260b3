#include "transit_http_base.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace hawthorncroft {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

    constexpr std::size_t maxSessions = 32; ///< Routers and metrics collectors need one or two each.
    constexpr std::chrono::seconds idleTimeout { 20 }; ///< Also limits the time to send a reply.

    /** One connection. It keeps itself alive through its pending operation. */
    class Session : public std::enable_shared_from_this<Session> {
    public:
        Session(tcp::socket socket, TransitHttpServer::Handler handler, std::shared_ptr<std::size_t> sessionCount)
            : m_stream(std::move(socket))
            , m_handler(std::move(handler))
            , m_sessionCount(std::move(sessionCount))
        {
            ++*m_sessionCount;
        }
        Session(const Session&) = delete;
        Session& operator=(const Session&) = delete;
        ~Session() { --*m_sessionCount; }

        void read()
        {
            m_request = {};
            m_stream.expires_after(idleTimeout);
            http::async_read(m_stream, m_buffer, m_request,
                [self = shared_from_this()](boost::beast::error_code error, std::size_t) {
                    if (error)
                        return;
                    self->m_handler(std::string(self->m_request.target()),
                        [self](HttpReply reply) { self->answer(std::move(reply)); });
                });
        }

    private:
        void answer(HttpReply reply)
        {
            m_stream.expires_after(idleTimeout);
            m_response = { static_cast<http::status>(reply.status), m_request.version() };
            m_response.keep_alive(m_request.keep_alive());
            m_response.set(http::field::content_type, { reply.contentType.data(), reply.contentType.size() });
            for (const auto& [name, value] : reply.headers)
                m_response.set(name, value);
            m_response.body() = std::move(reply.body);
            m_response.prepare_payload();
            http::async_write(
                m_stream, m_response, [self = shared_from_this()](boost::beast::error_code error, std::size_t) {
                    if (!error && self->m_response.keep_alive())
                        self->read();
                });
        }

        boost::beast::tcp_stream m_stream;
        boost::beast::flat_buffer m_buffer;
        http::request<http::empty_body> m_request;
        http::response<http::string_body> m_response;
        TransitHttpServer::Handler m_handler;
        std::shared_ptr<std::size_t> m_sessionCount;
    };

}

std::string TransitHttpServer::open(boost::asio::io_context& context, Endpoint local, Handler handler)
{
    m_handler = std::move(handler);
    m_acceptor = std::make_unique<tcp::acceptor>(context);
    boost::system::error_code error;
    tcp::endpoint endpoint(boost::asio::ip::address_v4(local.address), local.port);
    m_acceptor->open(endpoint.protocol(), error);
    if (!error)
        m_acceptor->set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor->bind(endpoint, error);
    if (!error)
        m_acceptor->listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return error.message();
    accept();
    return {};
}

void TransitHttpServer::accept()
{
    m_acceptor->async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error && *m_sessionCount < maxSessions)
            std::make_shared<Session>(std::move(socket), m_handler, m_sessionCount)->read();
        accept();
    });
}

} // namespace hawthorncroft
