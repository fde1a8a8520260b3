#include "http2_base.h"
#include "http2_connection.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <map>

namespace hawthorncroft {

namespace asio = boost::asio;

namespace {

    /** State of a call, from `send` to its callback. */
    struct ClientCall {
        Http2Call call;
        Http2Client::Done done;
        Http2Result result;
        std::unique_ptr<asio::steady_timer> timer;
        Http2Output output; ///< Body of the request.
        std::string pausedData; ///< Data received while paused; at most one flow control window.
        std::size_t headerBytes {};
        std::int32_t stream {}; ///< 0 while the call waits for a stream.
        bool sent {}; ///< The session has output the request headers, so the server may process the request.
        bool complete {}; ///< The complete response has arrived.
        bool paused {};
    };

    class ClientConnection final : public Http2Connection {
    public:
        ClientConnection(asio::io_context& context, Endpoint endpoint, const Http2Bounds& bounds,
            std::shared_ptr<Http2Counters> counters)
            : Http2Connection(Socket(context), Side::Client, bounds, std::move(counters))
            , m_endpoint(endpoint)
            , m_connectTimer(context)
        {
        }

        void connect();
        bool acceptsCalls() const { return !isClosed() && !m_goingAway; }
        void send(Http2CallId id, Http2Call call, Http2Client::Done done);
        bool finish(Http2CallId id, Http2Error error);
        void pause(Http2CallId id);
        void resume(Http2CallId id);
        void abandon();
        std::size_t size() const { return m_calls.size(); }

    private:
        using Calls = std::map<Http2CallId, ClientCall>;

        Http2Output* outputOf(std::int32_t stream) override;
        void onOutputConsumed(std::size_t) override { }
        bool hasStreams() const override { return !m_calls.empty(); }
        void onBeginHeaders(const nghttp2_frame&) override { }
        bool onHeader(const nghttp2_frame& frame, std::string_view name, std::string_view value) override;
        void onFrame(const nghttp2_frame& frame) override;
        void onFrameSent(const nghttp2_frame& frame) override;
        void onData(std::int32_t stream, std::string_view data) override;
        void onStreamClosed(std::int32_t stream, std::uint32_t code) override;
        void onClosed() override;

        ClientCall* find(std::int32_t stream);
        void onConnected(boost::system::error_code error);
        void armTimeout(Http2CallId id, ClientCall& call);
        void submitWaiting();
        void submit(Http2CallId id, ClientCall& call);
        void complete(Calls::iterator found, Http2Error error, bool mayHaveRun);
        void failWaiting(Http2Error error);

        Endpoint m_endpoint;
        asio::steady_timer m_connectTimer;
        Calls m_calls;
        std::map<std::int32_t, Http2CallId> m_streams;
        std::deque<Http2CallId> m_waiting; ///< Calls without a stream, oldest first.
        bool m_connected {};
        bool m_goingAway {}; ///< No new calls: GOAWAY received, stream ids exhausted, or connection closed.
    };

    void ClientConnection::connect()
    {
        auto self = std::static_pointer_cast<ClientConnection>(shared_from_this());
        m_connectTimer.expires_after(toChrono(m_bounds.stall));
        m_connectTimer.async_wait([self](boost::system::error_code error) {
            if (!error && !self->m_connected)
                self->close(Http2Counter::ConnectFailures);
        });
        m_socket.async_connect(
            toTcp(m_endpoint), [self](boost::system::error_code error) { self->onConnected(error); });
    }

    void ClientConnection::onConnected(boost::system::error_code error)
    {
        m_connectTimer.cancel();
        if (error || isClosed())
            return close(Http2Counter::ConnectFailures);
        m_connected = true;
        count(Http2Counter::Connections);
        submitWaiting();
        start();
    }

    ClientCall* ClientConnection::find(std::int32_t stream)
    {
        auto id = m_streams.find(stream);
        if (id == m_streams.end())
            return nullptr;
        auto call = m_calls.find(id->second);
        return call == m_calls.end() ? nullptr : &call->second;
    }

    void ClientConnection::send(Http2CallId id, Http2Call call, Http2Client::Done done)
    {
        ClientCall& entry = m_calls[id];
        entry.call = std::move(call);
        entry.done = std::move(done);
        entry.output = { .data = std::move(entry.call.request.body), .ended = true };
        armTimeout(id, entry);
        bool full = m_waiting.size() >= m_bounds.waiting || entry.output.data.size() > m_bounds.bodyBytes;
        if (full) {
            asio::post(
                m_socket.get_executor(), [self = std::static_pointer_cast<ClientConnection>(shared_from_this()), id] {
                    self->finish(id, Http2Error::TooManyRequests);
                });
            return;
        }
        m_waiting.push_back(id);
        // Deferred, so that requests sent together share one write and no callback is called within this function.
        asio::post(m_socket.get_executor(),
            [self = std::static_pointer_cast<ClientConnection>(shared_from_this())] { self->submitWaiting(); });
    }

    void ClientConnection::armTimeout(Http2CallId id, ClientCall& call)
    {
        if (call.call.timeout <= Duration {})
            return;
        call.timer = std::make_unique<asio::steady_timer>(m_socket.get_executor(), toChrono(call.call.timeout));
        auto self = std::static_pointer_cast<ClientConnection>(shared_from_this());
        call.timer->async_wait([weak = std::weak_ptr(self), id](boost::system::error_code error) {
            auto connection = weak.lock();
            if (!error && connection)
                connection->finish(id, Http2Error::Timeout);
        });
    }

    void ClientConnection::submitWaiting()
    {
        if (!m_connected || isClosed())
            return;
        std::size_t allowed = nghttp2_session_get_remote_settings(m_session, NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
        allowed = std::min(allowed, m_bounds.streams);
        while (!m_waiting.empty() && m_streams.size() < allowed && !m_goingAway) {
            Http2CallId id = m_waiting.front();
            m_waiting.pop_front();
            auto found = m_calls.find(id);
            if (found != m_calls.end())
                submit(id, found->second);
        }
        flush();
    }

    void ClientConnection::submit(Http2CallId id, ClientCall& call)
    {
        const Http2Request& request = call.call.request;
        Http2Headers headers { { ":method", request.method }, { ":scheme", "http" },
            { ":authority", toString(m_endpoint) }, { ":path", request.path } };
        headers.insert(headers.end(), request.headers.begin(), request.headers.end());
        auto values = toNameValues(headers);
        nghttp2_data_provider provider = http2DataProvider();
        call.stream = nghttp2_submit_request(
            m_session, nullptr, values.data(), values.size(), call.output.data.empty() ? nullptr : &provider, nullptr);
        if (call.stream < 0) { // Stream ids are exhausted; the next request opens a new connection.
            call.stream = 0;
            m_goingAway = true;
            m_waiting.push_front(id);
            return failWaiting(Http2Error::GoAway);
        }
        count(Http2Counter::Requests);
        m_streams[call.stream] = id;
    }

    Http2Output* ClientConnection::outputOf(std::int32_t stream)
    {
        ClientCall* call = find(stream);
        return call ? &call->output : nullptr;
    }

    void ClientConnection::onFrameSent(const nghttp2_frame& frame)
    {
        ClientCall* call = frame.hd.type == NGHTTP2_HEADERS ? find(frame.hd.stream_id) : nullptr;
        if (call)
            call->sent = true;
    }

    bool ClientConnection::onHeader(const nghttp2_frame& frame, std::string_view name, std::string_view value)
    {
        ClientCall* call = find(frame.hd.stream_id);
        if (!call)
            return true;
        call->headerBytes += name.size() + value.size();
        if (call->headerBytes > m_bounds.headerBytes) {
            count(Http2Counter::HeadersTooLarge);
            call->result.error = Http2Error::ResponseTooLarge;
            return false;
        }
        if (name == ":status")
            std::from_chars(value.data(), value.data() + value.size(), call->result.status);
        else
            call->result.headers.emplace_back(name, value);
        return true;
    }

    void ClientConnection::onFrame(const nghttp2_frame& frame)
    {
        if (frame.hd.type == NGHTTP2_GOAWAY) {
            m_goingAway = true;
            return failWaiting(Http2Error::GoAway);
        }
        if (frame.hd.type == NGHTTP2_SETTINGS)
            return submitWaiting();
        if (frame.hd.type == NGHTTP2_RST_STREAM)
            count(Http2Counter::StreamsReset);
        ClientCall* call = find(frame.hd.stream_id);
        if (!call)
            return;
        bool end = frame.hd.flags & NGHTTP2_FLAG_END_STREAM;
        bool message = frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA;
        call->complete = call->complete || (message && end);
        auto onHeaders = call->call.onHeaders;
        if (frame.hd.type == NGHTTP2_HEADERS && call->result.status >= 200 && onHeaders) {
            call->call.onHeaders = nullptr;
            onHeaders(call->result.status, call->result.headers);
        }
    }

    void ClientConnection::onData(std::int32_t stream, std::string_view data)
    {
        consumeConnection(data.size());
        ClientCall* call = find(stream);
        if (!call)
            return;
        if (call->paused) {
            call->pausedData.append(data);
            return;
        }
        consume(stream, data.size());
        if (call->call.onData) {
            auto onData = call->call.onData; // Copied, because the callback may end the call.
            return onData(data);
        }
        if (call->result.body.size() + data.size() > m_bounds.bodyBytes) {
            count(Http2Counter::BodiesTooLarge);
            finish(m_streams.at(stream), Http2Error::ResponseTooLarge);
            return;
        }
        call->result.body.append(data);
    }

    void ClientConnection::pause(Http2CallId id)
    {
        auto found = m_calls.find(id);
        if (found != m_calls.end())
            found->second.paused = static_cast<bool>(found->second.call.onData);
    }

    void ClientConnection::resume(Http2CallId id)
    {
        auto found = m_calls.find(id);
        if (found == m_calls.end() || !found->second.paused)
            return;
        ClientCall& call = found->second;
        call.paused = false;
        std::string pausedData = std::exchange(call.pausedData, {});
        consume(call.stream, pausedData.size());
        bool over = !m_streams.contains(call.stream);
        auto onData = call.call.onData;
        if (!pausedData.empty())
            onData(pausedData);
        found = m_calls.find(id);
        if (over && found != m_calls.end() && !found->second.paused)
            complete(found, Http2Error::None, false);
        flush();
    }

    void ClientConnection::onStreamClosed(std::int32_t stream, std::uint32_t code)
    {
        auto id = m_streams.extract(stream);
        auto found = id.empty() ? m_calls.end() : m_calls.find(id.mapped());
        if (found != m_calls.end()) {
            ClientCall& call = found->second;
            bool refused = code == NGHTTP2_REFUSED_STREAM && !call.result.status;
            if (call.result.error != Http2Error::None)
                complete(found, call.result.error, true);
            else if (call.complete && call.paused)
                call.timer.reset(); // `resume` delivers the remaining data and completes the call.
            else if (call.complete)
                complete(found, Http2Error::None, false);
            else if (refused)
                complete(found, m_goingAway ? Http2Error::GoAway : Http2Error::Refused, false);
            else
                complete(found, Http2Error::Reset, call.sent);
        }
        submitWaiting();
    }

    void ClientConnection::complete(Calls::iterator found, Http2Error error, bool mayHaveRun)
    {
        ClientCall call = std::move(m_calls.extract(found).mapped());
        call.result.error = error;
        call.result.mayHaveRun = mayHaveRun;
        if (call.done)
            call.done(std::move(call.result));
    }

    bool ClientConnection::finish(Http2CallId id, Http2Error error)
    {
        auto found = m_calls.find(id);
        if (found == m_calls.end())
            return false;
        std::int32_t stream = found->second.stream;
        bool sent = found->second.sent;
        m_streams.erase(stream);
        if (!stream)
            std::erase(m_waiting, id);
        else
            nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
        auto self = shared_from_this();
        complete(found, error, sent);
        submitWaiting();
        return true;
    }

    void ClientConnection::failWaiting(Http2Error error)
    {
        auto waiting = std::exchange(m_waiting, {});
        for (Http2CallId id : waiting) {
            auto found = m_calls.find(id);
            if (found != m_calls.end() && !found->second.stream)
                complete(found, error, false);
        }
    }

    void ClientConnection::onClosed()
    {
        m_goingAway = true;
        m_connectTimer.cancel();
        Http2Error error = m_connected ? Http2Error::ConnectionLost : Http2Error::ConnectFailed;
        m_waiting.clear();
        m_streams.clear();
        while (!m_calls.empty()) {
            auto first = m_calls.begin();
            complete(first, error, first->second.sent);
        }
    }

    void ClientConnection::abandon()
    {
        for (auto& [id, call] : m_calls) {
            call.done = nullptr;
            call.call.onData = nullptr;
            call.call.onHeaders = nullptr;
        }
        close(Http2Counter::LocalClosed);
    }

}

struct Http2Client::Impl {
    Impl(asio::io_context& ioContext, Endpoint peer, const Http2Bounds& limits)
        : context(ioContext)
        , endpoint(peer)
        , bounds(limits)
        , counters(std::make_shared<Http2Counters>())
    {
    }

    /** @return The connection for a new request: the newest one, or a new one if that accepts no more calls. */
    ClientConnection& current()
    {
        std::erase_if(connections, [](const auto& connection) { return connection->isClosed(); });
        if (connections.empty() || !connections.back()->acceptsCalls()) {
            connections.push_back(std::make_shared<ClientConnection>(context, endpoint, bounds, counters));
            connections.back()->connect();
        }
        return *connections.back();
    }

    asio::io_context& context;
    Endpoint endpoint;
    Http2Bounds bounds;
    std::shared_ptr<Http2Counters> counters;
    std::vector<std::shared_ptr<ClientConnection>> connections; ///< Newest last; older ones complete their streams.
    Http2CallId lastId {};
};

Http2Client::Http2Client(asio::io_context& context, Endpoint endpoint, Http2Bounds bounds)
    : m_impl(std::make_shared<Impl>(context, endpoint, bounds))
{
}

Http2Client::~Http2Client()
{
    for (const auto& connection : m_impl->connections)
        connection->abandon();
}

Http2CallId Http2Client::send(Http2Call call, Done done)
{
    Http2CallId id = ++m_impl->lastId;
    m_impl->current().send(id, std::move(call), std::move(done));
    return id;
}

void Http2Client::cancel(Http2CallId id)
{
    auto connections = m_impl->connections;
    for (const auto& connection : connections) {
        if (connection->finish(id, Http2Error::Cancelled))
            return;
    }
}

void Http2Client::pause(Http2CallId id)
{
    for (const auto& connection : m_impl->connections)
        connection->pause(id);
}

void Http2Client::resume(Http2CallId id)
{
    auto connections = m_impl->connections;
    for (const auto& connection : connections)
        connection->resume(id);
}

void Http2Client::close()
{
    auto connections = m_impl->connections;
    for (const auto& connection : connections)
        connection->close(Http2Counter::LocalClosed);
}

Endpoint Http2Client::endpoint() const { return m_impl->endpoint; }

const Http2Counters& Http2Client::counters() const { return *m_impl->counters; }

std::size_t Http2Client::openCalls() const
{
    std::size_t count = 0;
    for (const auto& connection : m_impl->connections)
        count += connection->size();
    return count;
}

} // namespace hawthorncroft
