#include "http2_base.h"
#include "http2_connection.h"

#include <unordered_map>
#include <unordered_set>

namespace hawthorncroft {

namespace asio = boost::asio;

namespace {

    class ServerConnection;

    /** Overhead per header that HTTP/2 adds to name and value in the size of a header list (RFC 9113, 6.5.2). */
    constexpr std::size_t headerOverheadBytes = 32;

    /** Delay before the next accept after a failed one, for example when no file descriptors are available. */
    constexpr std::chrono::milliseconds acceptRetryDelay { 100 };

}

/** State shared by the copies of a responder. */
struct Http2Exchange {
    std::weak_ptr<ServerConnection> connection;
    std::int32_t stream {};
    bool started {}; ///< The response headers were passed to the session.
    bool ended {}; ///< The response is complete, or the stream is closed.
    std::function<void()> abortHandler;

    ~Http2Exchange();
};

struct Http2Server::Impl : std::enable_shared_from_this<Http2Server::Impl> {
    Impl(asio::io_context& context, Http2Handler requestHandler, const Http2Bounds& limits)
        : acceptor(context)
        , retry(context)
        , handler(std::move(requestHandler))
        , bounds(limits)
        , counters(std::make_shared<Http2Counters>())
    {
    }

    void accept();
    void addConnection(asio::ip::tcp::socket socket);

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer retry;
    Http2Handler handler;
    Http2Bounds bounds;
    std::shared_ptr<Http2Counters> counters;
    std::unordered_set<std::shared_ptr<ServerConnection>> connections;
    std::size_t buffered {}; ///< Bytes buffered for all connections.
};

namespace {

    struct ServerStream {
        Http2Request request;
        std::size_t inputBytes {}; ///< Header and body bytes counted against the input limits.
        std::size_t headerBytes {};
        bool complete {}; ///< The request was passed to the handler, answered without it, or its stream was reset.
        bool refused {}; ///< Answered with 413 before the request was complete.
        Http2Connection::Clock::time_point begin;
        Http2Output output;
        std::weak_ptr<Http2Exchange> exchange;
    };

    class ServerConnection final : public Http2Connection {
    public:
        ServerConnection(Socket socket, std::shared_ptr<Http2Server::Impl> server)
            : Http2Connection(std::move(socket), Side::Server, server->bounds, server->counters)
            , m_server(std::move(server))
        {
            boost::system::error_code error;
            m_peer = toEndpoint(m_socket.remote_endpoint(error));
        }

        using Http2Connection::count;
        using Http2Connection::goAway;
        using Http2Connection::resetStream;
        using Http2Connection::start;

        bool respond(std::int32_t stream, int status, const Http2Headers& headers, Http2Output output);
        bool write(std::int32_t stream, std::string_view data);
        void end(std::int32_t stream);

    private:
        Http2Output* outputOf(std::int32_t stream) override;
        void onOutputConsumed(std::size_t bytes) override;
        bool hasStreams() const override { return !m_streams.empty(); }
        void onBeginHeaders(const nghttp2_frame& frame) override;
        bool onHeader(const nghttp2_frame& frame, std::string_view name, std::string_view value) override;
        void onFrame(const nghttp2_frame& frame) override;
        void onFrameSent(const nghttp2_frame& frame) override;
        void onData(std::int32_t stream, std::string_view data) override;
        void onStreamClosed(std::int32_t stream, std::uint32_t code) override;
        void onClosed() override;
        void onTick(Clock::time_point now) override;

        ServerStream* find(std::int32_t stream);
        bool reserveInput(ServerStream& stream, std::size_t bytes);
        void releaseInput(ServerStream& stream);
        void releaseOutput(std::size_t bytes);
        bool hasOutputRoom(std::size_t bytes) const;
        void dispatch(std::int32_t id, ServerStream& stream);
        void callHandler(const Http2Request& request, const Http2Responder& responder);
        void refuseBody(std::int32_t id, ServerStream& stream);
        void endStream(ServerStream stream);

        std::shared_ptr<Http2Server::Impl> m_server; ///< Null after the connection is closed.
        std::unordered_map<std::int32_t, ServerStream> m_streams;
        Endpoint m_peer;
        std::size_t m_inputBytes {};
        std::size_t m_outputBytes {};
    };

    ServerStream* ServerConnection::find(std::int32_t stream)
    {
        auto found = m_streams.find(stream);
        return found == m_streams.end() ? nullptr : &found->second;
    }

    bool ServerConnection::reserveInput(ServerStream& stream, std::size_t bytes)
    {
        bool full = m_inputBytes + bytes > m_bounds.inputBytes || m_server->buffered + bytes > m_bounds.totalBytes;
        if (full)
            return false;
        stream.inputBytes += bytes;
        m_inputBytes += bytes;
        m_server->buffered += bytes;
        return true;
    }

    void ServerConnection::releaseInput(ServerStream& stream)
    {
        m_inputBytes -= stream.inputBytes;
        if (m_server)
            m_server->buffered -= stream.inputBytes;
        stream.inputBytes = 0;
    }

    void ServerConnection::releaseOutput(std::size_t bytes)
    {
        m_outputBytes -= bytes;
        if (m_server)
            m_server->buffered -= bytes;
    }

    bool ServerConnection::hasOutputRoom(std::size_t bytes) const
    {
        return m_outputBytes + bytes <= m_bounds.outputBytes && m_server->buffered + bytes <= m_bounds.totalBytes;
    }

    void ServerConnection::onBeginHeaders(const nghttp2_frame& frame)
    {
        if (frame.headers.cat == NGHTTP2_HCAT_REQUEST)
            m_streams[frame.hd.stream_id].begin = Clock::now();
    }

    bool ServerConnection::onHeader(const nghttp2_frame& frame, std::string_view name, std::string_view value)
    {
        ServerStream* stream = find(frame.hd.stream_id);
        if (!stream || stream->complete)
            return true;
        std::size_t bytes = name.size() + value.size() + headerOverheadBytes;
        stream->headerBytes += bytes;
        if (stream->headerBytes > m_bounds.headerBytes) {
            count(Http2Counter::HeadersTooLarge);
            return false;
        }
        if (!reserveInput(*stream, bytes)) {
            count(Http2Counter::StreamsRefused);
            return false;
        }
        if (name == ":method")
            stream->request.method = value;
        else if (name == ":path")
            stream->request.path = value;
        else if (!name.starts_with(':'))
            stream->request.headers.emplace_back(name, value);
        return true;
    }

    void ServerConnection::onFrame(const nghttp2_frame& frame)
    {
        if (frame.hd.type == NGHTTP2_RST_STREAM)
            count(Http2Counter::StreamsReset);
        bool message = frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA;
        if (!message || !(frame.hd.flags & NGHTTP2_FLAG_END_STREAM))
            return;
        ServerStream* stream = find(frame.hd.stream_id);
        if (stream && !stream->complete)
            dispatch(frame.hd.stream_id, *stream);
    }

    void ServerConnection::onData(std::int32_t id, std::string_view data)
    {
        consumeConnection(data.size());
        ServerStream* stream = find(id);
        if (!stream || stream->complete)
            return;
        if (stream->request.body.size() + data.size() > m_bounds.bodyBytes)
            return refuseBody(id, *stream);
        if (!reserveInput(*stream, data.size())) {
            count(Http2Counter::StreamsRefused);
            stream->complete = true;
            return resetStream(id, NGHTTP2_REFUSED_STREAM);
        }
        stream->request.body.append(data);
        consume(id, data.size());
    }

    void ServerConnection::refuseBody(std::int32_t id, ServerStream& stream)
    {
        count(Http2Counter::BodiesTooLarge);
        stream.complete = stream.refused = true;
        stream.request.body.clear();
        releaseInput(stream);
        Http2Headers headers { { ":status", "413" } };
        auto values = toNameValues(headers);
        nghttp2_submit_response(m_session, id, values.data(), values.size(), nullptr);
    }

    void ServerConnection::onFrameSent(const nghttp2_frame& frame)
    {
        // After a complete response to an incomplete request, RST_STREAM with NO_ERROR asks the client to stop sending.
        // It is submitted only once the response is sent, because otherwise the session would discard the response.
        bool endsResponse = frame.hd.type == NGHTTP2_HEADERS && (frame.hd.flags & NGHTTP2_FLAG_END_STREAM);
        ServerStream* stream = endsResponse ? find(frame.hd.stream_id) : nullptr;
        if (stream && stream->refused)
            resetStream(frame.hd.stream_id, NGHTTP2_NO_ERROR);
    }

    void ServerConnection::dispatch(std::int32_t id, ServerStream& stream)
    {
        stream.complete = true;
        count(Http2Counter::Requests);
        Http2Request request = std::move(stream.request);
        request.peer = m_peer;
        auto exchange = std::make_shared<Http2Exchange>();
        exchange->connection = std::static_pointer_cast<ServerConnection>(shared_from_this());
        exchange->stream = id;
        stream.exchange = exchange;
        callHandler(request, Http2Responder(std::move(exchange)));
        if (ServerStream* still = find(id))
            releaseInput(*still);
    }

    void ServerConnection::callHandler(const Http2Request& request, const Http2Responder& responder)
    {
        auto server = m_server;
        // An exception must not unwind through the C library, and a request must not be able to terminate the process.
        try {
            if (server->handler)
                server->handler(request, responder);
        } catch (const std::exception&) {
            count(Http2Counter::HandlerFailures);
            responder.reset();
        }
    }

    bool ServerConnection::respond(std::int32_t id, int status, const Http2Headers& headers, Http2Output output)
    {
        ServerStream* stream = find(id);
        if (!stream || isClosed())
            return false;
        std::size_t bytes = output.data.size();
        if (!hasOutputRoom(bytes)) {
            count(Http2Counter::OutputFull);
            resetStream(id, NGHTTP2_ENHANCE_YOUR_CALM);
            return false;
        }
        Http2Headers all { { ":status", std::to_string(status) } };
        all.insert(all.end(), headers.begin(), headers.end());
        auto values = toNameValues(all);
        bool empty = output.ended && !bytes;
        m_outputBytes += bytes;
        m_server->buffered += bytes;
        stream->output = std::move(output);
        nghttp2_data_provider provider = http2DataProvider();
        nghttp2_submit_response(m_session, id, values.data(), values.size(), empty ? nullptr : &provider);
        flush();
        return true;
    }

    bool ServerConnection::write(std::int32_t id, std::string_view data)
    {
        ServerStream* stream = find(id);
        if (!stream || isClosed())
            return false;
        if (!hasOutputRoom(data.size())) {
            count(Http2Counter::OutputFull);
            return false;
        }
        Http2Output& output = stream->output;
        if (output.offset > output.data.size() / 2) {
            output.data.erase(0, output.offset);
            output.offset = 0;
        }
        output.data.append(data);
        m_outputBytes += data.size();
        m_server->buffered += data.size();
        nghttp2_session_resume_data(m_session, id);
        flush();
        return true;
    }

    void ServerConnection::end(std::int32_t id)
    {
        ServerStream* stream = find(id);
        if (!stream || isClosed())
            return;
        stream->output.ended = true;
        nghttp2_session_resume_data(m_session, id);
        flush();
    }

    Http2Output* ServerConnection::outputOf(std::int32_t id)
    {
        ServerStream* stream = find(id);
        return stream ? &stream->output : nullptr;
    }

    void ServerConnection::onOutputConsumed(std::size_t bytes) { releaseOutput(bytes); }

    void ServerConnection::onStreamClosed(std::int32_t id, std::uint32_t)
    {
        auto node = m_streams.extract(id);
        if (!node.empty())
            endStream(std::move(node.mapped()));
    }

    void ServerConnection::endStream(ServerStream stream)
    {
        releaseInput(stream);
        releaseOutput(stream.output.data.size() - stream.output.offset);
        auto exchange = stream.exchange.lock();
        if (!exchange)
            return;
        bool early = !exchange->ended;
        exchange->ended = true;
        auto abortHandler = std::exchange(exchange->abortHandler, nullptr);
        if (early && abortHandler)
            abortHandler();
    }

    void ServerConnection::onClosed()
    {
        auto self = shared_from_this();
        auto streams = std::exchange(m_streams, {});
        for (auto& [id, stream] : streams)
            endStream(std::move(stream));
        auto server = std::exchange(m_server, nullptr);
        server->connections.erase(std::static_pointer_cast<ServerConnection>(self));
    }

    void ServerConnection::onTick(Clock::time_point now)
    {
        for (auto& [id, stream] : m_streams) {
            if (stream.complete || now - stream.begin <= toChrono(m_bounds.request))
                continue;
            stream.complete = true;
            count(Http2Counter::RequestsTooSlow);
            // The stream is removed when the frame is sent; `tick` does this after the loop.
            nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_REFUSED_STREAM);
        }
    }

}

Http2Exchange::~Http2Exchange()
{
    auto open = connection.lock();
    if (ended || !open || open->isClosed())
        return;
    open->count(Http2Counter::Unanswered);
    open->resetStream(stream, NGHTTP2_INTERNAL_ERROR);
}

Http2Responder::Http2Responder(std::shared_ptr<Http2Exchange> exchange)
    : m_exchange(std::move(exchange))
{
}

bool Http2Responder::isOpen() const
{
    auto connection = m_exchange->connection.lock();
    return connection && !connection->isClosed() && !m_exchange->ended;
}

bool Http2Responder::respond(int status, std::string body, const Http2Headers& headers) const
{
    if (!isOpen() || m_exchange->started)
        return false;
    m_exchange->started = m_exchange->ended = true;
    m_exchange->abortHandler = nullptr;
    auto connection = m_exchange->connection.lock();
    return connection->respond(m_exchange->stream, status, headers, { .data = std::move(body), .ended = true });
}

bool Http2Responder::start(int status, const Http2Headers& headers) const
{
    if (!isOpen() || m_exchange->started)
        return false;
    m_exchange->started = true;
    return m_exchange->connection.lock()->respond(m_exchange->stream, status, headers, {});
}

bool Http2Responder::write(std::string_view data) const
{
    if (!isOpen() || !m_exchange->started)
        return false;
    return m_exchange->connection.lock()->write(m_exchange->stream, data);
}

void Http2Responder::end() const
{
    if (!isOpen() || !m_exchange->started)
        return;
    m_exchange->ended = true;
    m_exchange->abortHandler = nullptr;
    m_exchange->connection.lock()->end(m_exchange->stream);
}

void Http2Responder::reset() const
{
    if (!isOpen())
        return;
    m_exchange->ended = true;
    m_exchange->abortHandler = nullptr;
    m_exchange->connection.lock()->resetStream(m_exchange->stream, NGHTTP2_INTERNAL_ERROR);
}

void Http2Responder::onAborted(std::function<void()> abortHandler) const
{
    if (isOpen())
        m_exchange->abortHandler = std::move(abortHandler);
}

void Http2Server::Impl::accept()
{
    acceptor.async_accept([self = shared_from_this()](boost::system::error_code error, asio::ip::tcp::socket socket) {
        if (!self->acceptor.is_open())
            return;
        if (!error) {
            self->addConnection(std::move(socket));
            return self->accept();
        }
        self->retry.expires_after(acceptRetryDelay);
        self->retry.async_wait([self](boost::system::error_code cancelled) {
            if (!cancelled && self->acceptor.is_open())
                self->accept();
        });
    });
}

void Http2Server::Impl::addConnection(asio::ip::tcp::socket socket)
{
    if (connections.size() >= bounds.connections)
        return counters->add(Http2Counter::ConnectionsRefused); // The destructor closes the socket.
    counters->add(Http2Counter::Connections);
    auto connection = std::make_shared<ServerConnection>(std::move(socket), shared_from_this());
    connections.insert(connection);
    connection->start();
}

Http2Server::Http2Server(asio::io_context& context, Http2Handler handler, Http2Bounds bounds)
    : m_impl(std::make_shared<Impl>(context, std::move(handler), bounds))
{
}

Http2Server::~Http2Server() { close(); }

bool Http2Server::listen(Endpoint endpoint, std::string& error)
{
    boost::system::error_code code;
    auto& acceptor = m_impl->acceptor;
    acceptor.open(asio::ip::tcp::v4(), code);
    if (!code)
        acceptor.set_option(asio::socket_base::reuse_address(true), code);
    if (!code)
        acceptor.bind(toTcp(endpoint), code);
    if (!code)
        acceptor.listen(asio::socket_base::max_listen_connections, code);
    if (code) {
        error = code.message();
        acceptor.close(code);
        return false;
    }
    m_impl->accept();
    return true;
}

Endpoint Http2Server::endpoint() const
{
    boost::system::error_code error;
    auto endpoint = m_impl->acceptor.local_endpoint(error);
    return error ? Endpoint {} : toEndpoint(endpoint);
}

void Http2Server::drain()
{
    boost::system::error_code ignored;
    m_impl->acceptor.close(ignored);
    auto connections = m_impl->connections;
    for (const auto& connection : connections)
        connection->goAway();
}

void Http2Server::close()
{
    boost::system::error_code ignored;
    m_impl->acceptor.close(ignored);
    m_impl->retry.cancel();
    auto connections = m_impl->connections;
    for (const auto& connection : connections)
        connection->close(Http2Counter::LocalClosed);
}

const Http2Counters& Http2Server::counters() const { return *m_impl->counters; }

std::size_t Http2Server::connectionCount() const { return m_impl->connections.size(); }

std::size_t Http2Server::bufferedBytes() const { return m_impl->buffered; }

} // namespace hawthorncroft
