#include "http2_connection.h"
#include "name_table_type.h"

#include "table/http2_names.h"

#include <algorithm>

namespace hawthorncroft {

namespace asio = boost::asio;

namespace {

    /** Sets the flag that guards against reentry of the session, for the lifetime of the object. */
    class SessionScope {
    public:
        explicit SessionScope(bool& flag)
            : m_flag(flag)
        {
            m_flag = true;
        }
        ~SessionScope() { m_flag = false; }
        SessionScope(const SessionScope&) = delete;
        SessionScope& operator=(const SessionScope&) = delete;

    private:
        bool& m_flag;
    };

    std::string_view view(const std::uint8_t* data, std::size_t size)
    {
        return { reinterpret_cast<const char*>(data), size };
    }

}

/** Forwards the C callbacks of the session to the connection. */
struct Http2SessionCallbacks {
    static Http2Connection& self(void* user) { return *static_cast<Http2Connection*>(user); }

    static int beginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user)
    {
        self(user).onBeginHeaders(*frame);
        return 0;
    }

    static int header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t nameSize,
        const std::uint8_t* value, std::size_t valueSize, std::uint8_t, void* user)
    {
        bool taken = self(user).onHeader(*frame, view(name, nameSize), view(value, valueSize));
        return taken ? 0 : NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }

    static int frameReceived(nghttp2_session*, const nghttp2_frame* frame, void* user)
    {
        self(user).m_lastFrame = Http2Connection::Clock::now();
        self(user).countControlFrame(*frame);
        self(user).onFrame(*frame);
        return 0;
    }

    static int invalidFrame(nghttp2_session*, const nghttp2_frame*, int code, void* user)
    {
        if (code == NGHTTP2_ERR_REFUSED_STREAM)
            self(user).count(Http2Counter::StreamsRefused);
        return 0;
    }

    static int frameSent(nghttp2_session*, const nghttp2_frame* frame, void* user)
    {
        self(user).onFrameSent(*frame);
        return 0;
    }

    static int data(
        nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* bytes, std::size_t size, void* user)
    {
        self(user).onData(stream, view(bytes, size));
        return 0;
    }

    static int streamClosed(nghttp2_session*, std::int32_t stream, std::uint32_t code, void* user)
    {
        self(user).onStreamClosed(stream, code);
        return 0;
    }

    static ssize_t readOutput(nghttp2_session*, std::int32_t stream, std::uint8_t* buffer, std::size_t length,
        std::uint32_t* flags, nghttp2_data_source*, void* user)
    {
        Http2Output* output = self(user).outputOf(stream);
        if (!output)
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        std::size_t left = output->data.size() - output->offset;
        if (!left && !output->ended)
            return NGHTTP2_ERR_DEFERRED;
        std::size_t taken = std::min(left, length);
        std::copy_n(output->data.data() + output->offset, taken, buffer);
        output->offset += taken;
        if (taken == left) {
            output->data.clear();
            output->offset = 0;
            if (output->ended)
                *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        self(user).onOutputConsumed(taken);
        return static_cast<ssize_t>(taken);
    }

    static void install(nghttp2_session_callbacks* callbacks)
    {
        nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, beginHeaders);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, header);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, frameReceived);
        nghttp2_session_callbacks_set_on_invalid_frame_recv_callback(callbacks, invalidFrame);
        nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, frameSent);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, data);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, streamClosed);
    }
};

Http2Connection::Http2Connection(
    Socket socket, Side side, const Http2Bounds& bounds, std::shared_ptr<Http2Counters> counters)
    : m_socket(std::move(socket))
    , m_bounds(bounds)
    , m_counters(std::move(counters))
    , m_timer(m_socket.get_executor())
    , m_side(side)
{
    createSession(side);
}

Http2Connection::~Http2Connection() { nghttp2_session_del(m_session); }

void Http2Connection::createSession(Side side)
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_option* option = nullptr;
    if (nghttp2_session_callbacks_new(&callbacks) || nghttp2_option_new(&option))
        throw std::bad_alloc();
    Http2SessionCallbacks::install(callbacks);
    nghttp2_option_set_no_auto_window_update(option, 1);
    nghttp2_option_set_no_closed_streams(option, 1);
    int failed = side == Side::Server ? nghttp2_session_server_new2(&m_session, callbacks, this, option)
                                      : nghttp2_session_client_new2(&m_session, callbacks, this, option);
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(callbacks);
    if (failed)
        throw std::bad_alloc();
    submitSettings();
}

void Http2Connection::submitSettings()
{
    std::vector<nghttp2_settings_entry> settings {
        { NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(m_bounds.headerBytes) },
    };
    if (m_side == Side::Client)
        settings.push_back({ NGHTTP2_SETTINGS_ENABLE_PUSH, 0 });
    else
        settings.push_back({ NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, static_cast<std::uint32_t>(m_bounds.streams) });
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
}

void Http2Connection::start()
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_started = true;
    m_lastFrame = m_windowStart = Clock::now();
    armTick();
    flush();
    read();
}

void Http2Connection::goAway()
{
    if (m_closed || !m_started)
        return;
    nghttp2_submit_goaway(
        m_session, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(m_session), NGHTTP2_NO_ERROR, nullptr, 0);
    flush();
}

void Http2Connection::read()
{
    // Limits the frames that a peer can cause this process to queue, such as resets of refused streams.
    bool full = nghttp2_session_get_outbound_queue_size(m_session) > maxHttp2QueuedFrames;
    if (m_reading || m_closed || full)
        return;
    m_reading = true;
    m_socket.async_read_some(
        asio::buffer(m_input), [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
            self->m_reading = false;
            if (error)
                return self->close(self->m_lingering ? Http2Counter::LocalClosed : Http2Counter::PeerClosed);
            self->onRead(bytes);
        });
}

void Http2Connection::onRead(std::size_t bytes)
{
    if (m_closed)
        return;
    if (m_lingering)
        return read();
    ssize_t result = 0;
    {
        SessionScope scope(m_inSession);
        result = nghttp2_session_mem_recv(m_session, m_input.data(), bytes);
    }
    if (result == NGHTTP2_ERR_FLOODED)
        return close(Http2Counter::FloodedClosed);
    if (result < 0)
        return close(Http2Counter::ProtocolErrors);
    if (m_closeReason)
        return close(*m_closeReason);
    flush();
    read();
}

void Http2Connection::flush()
{
    if (m_inSession || m_writing || m_closed || m_lingering || !m_started)
        return;
    fillOutput();
    if (m_closeReason)
        return close(*m_closeReason);
    if (m_output.empty()) {
        if (!nghttp2_session_want_read(m_session) && !nghttp2_session_want_write(m_session))
            linger();
        return;
    }
    m_writing = true;
    m_writeStart = Clock::now();
    asio::async_write(
        m_socket, asio::buffer(m_output), [self = shared_from_this()](boost::system::error_code error, std::size_t) {
            self->m_writing = false;
            if (error)
                return self->close(Http2Counter::PeerClosed);
            self->onWritten();
        });
}

void Http2Connection::linger()
{
    // The socket is only shut down for sending: closing it with unread input would make the kernel discard output that
    // the peer has not read yet.
    m_lingering = true;
    m_writeStart = Clock::now();
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void Http2Connection::fillOutput()
{
    SessionScope scope(m_inSession);
    m_output.clear();
    while (m_output.size() < maxHttp2WriteBytes) {
        const std::uint8_t* data = nullptr;
        ssize_t size = nghttp2_session_mem_send(m_session, &data);
        if (size < 0)
            m_closeReason = Http2Counter::ProtocolErrors;
        if (size <= 0)
            return;
        m_output.append(view(data, static_cast<std::size_t>(size)));
    }
}

void Http2Connection::onWritten()
{
    if (m_closed)
        return;
    flush();
    if (!m_closed)
        read();
}

void Http2Connection::close(Http2Counter reason)
{
    if (m_closed)
        return;
    if (m_inSession) {
        m_closeReason = reason;
        return;
    }
    m_closed = true;
    count(reason);
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
    onClosed();
}

void Http2Connection::resetStream(std::int32_t stream, std::uint32_t code)
{
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, code);
    flush();
}

void Http2Connection::consume(std::int32_t stream, std::size_t bytes)
{
    nghttp2_session_consume_stream(m_session, stream, bytes);
}

void Http2Connection::consumeConnection(std::size_t bytes) { nghttp2_session_consume_connection(m_session, bytes); }

void Http2Connection::armTick()
{
    m_timer.expires_after(toChrono(std::min({ m_bounds.idle, m_bounds.stall, m_bounds.request }) / 4));
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        auto self = weak.lock();
        if (!error && self && !self->m_closed)
            self->tick();
    });
}

void Http2Connection::tick()
{
    Clock::time_point now = Clock::now();
    if (m_writing && now - m_writeStart > toChrono(m_bounds.stall))
        return close(Http2Counter::StalledClosed);
    if (m_lingering && now - m_writeStart > toChrono(m_bounds.stall))
        return close(Http2Counter::LocalClosed);
    auto silent = now - m_lastFrame;
    if (silent > toChrono(m_bounds.idle))
        return close(hasStreams() ? Http2Counter::SilentClosed : Http2Counter::IdleClosed);
    // A live peer answers the PING, which distinguishes a long-running stream from an unreachable peer.
    if (hasStreams() && silent > toChrono(m_bounds.idle / 2))
        nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
    onTick(now);
    flush();
    if (!m_closed)
        armTick();
}

void Http2Connection::countControlFrame(const nghttp2_frame& frame)
{
    if (m_lastFrame - m_windowStart > std::chrono::seconds(1)) {
        m_windowStart = m_lastFrame;
        m_resets = m_controlFrames = 0;
    }
    bool emptyData = frame.hd.type == NGHTTP2_DATA && !frame.hd.length && !(frame.hd.flags & NGHTTP2_FLAG_END_STREAM);
    bool message = frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_WINDOW_UPDATE;
    if (frame.hd.type == NGHTTP2_RST_STREAM)
        ++m_resets;
    else if (emptyData || (!message && frame.hd.type != NGHTTP2_DATA))
        ++m_controlFrames;
    if (m_resets > m_bounds.resetsPerSecond || m_controlFrames > m_bounds.controlFramesPerSecond)
        close(Http2Counter::FloodedClosed);
}

nghttp2_data_provider http2DataProvider()
{
    return { .source = { .ptr = nullptr }, .read_callback = Http2SessionCallbacks::readOutput };
}

std::vector<nghttp2_nv> toNameValues(const Http2Headers& headers)
{
    auto bytes = [](const std::string& text) {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data())); // NOLINT: the C API copies the strings.
    };
    std::vector<nghttp2_nv> result;
    result.reserve(headers.size());
    for (const auto& [name, value] : headers)
        result.push_back({ bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE });
    return result;
}

Endpoint toEndpoint(const asio::ip::tcp::endpoint& endpoint)
{
    if (!endpoint.address().is_v4())
        return {};
    return { static_cast<std::uint32_t>(endpoint.address().to_v4().to_uint()), endpoint.port() };
}

asio::ip::tcp::endpoint toTcp(Endpoint endpoint) { return { asio::ip::address_v4(endpoint.address), endpoint.port }; }

std::string_view findHeader(const Http2Headers& headers, std::string_view name)
{
    for (const auto& [key, value] : headers) {
        if (key == name)
            return value;
    }
    return {};
}

std::string_view nameOf(Http2Error error) { return lookUpName(http2ErrorNames, error); }

std::string_view nameOf(Http2Counter counter) { return lookUpName(http2CounterNames, counter); }

} // namespace hawthorncroft
