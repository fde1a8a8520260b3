/**
 * @file http2_connection.h
 * Input, output, timeouts and flood protection of one HTTP/2 connection, common to server and client. Included by
 * http2_*.cpp only.
 */
#pragma once

#include "http2_type.h"

#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <optional>

namespace hawthorncroft {

/** Output buffer of one stream, for its body. */
struct Http2Output {
    std::string data; ///< The bytes from `offset` on are not yet passed to the session.
    std::size_t offset {};
    bool ended {}; ///< No more data will be appended.
};

/** Owns an nghttp2 session and its socket. Pending socket operations keep the object alive. */
class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
public:
    using Socket = boost::asio::ip::tcp::socket;
    using Clock = std::chrono::steady_clock;

    virtual ~Http2Connection();
    Http2Connection(const Http2Connection&) = delete;
    Http2Connection& operator=(const Http2Connection&) = delete;

    /** Sends the queued output of the session. If a write is in progress, the output is sent when that write completes.
     */
    void flush();

    /**
     * Closes the socket and ends all streams. If called within a session callback, this is deferred until the session
     * has returned.
     * @param reason Counter to increment.
     */
    void close(Http2Counter reason);

    bool isClosed() const { return m_closed; }

protected:
    enum class Side : std::uint8_t {
        Client,
        Server,
    };

    Http2Connection(Socket socket, Side side, const Http2Bounds& bounds, std::shared_ptr<Http2Counters> counters);

    /** Starts to read from and write to the connected socket. */
    void start();

    /** Sends GOAWAY; the connection closes when its last stream has ended. */
    void goAway();

    void resetStream(std::int32_t stream, std::uint32_t code);
    void consume(std::int32_t stream, std::size_t bytes);
    void consumeConnection(std::size_t bytes);
    void count(Http2Counter counter) { m_counters->add(counter); }

    virtual Http2Output* outputOf(std::int32_t stream) = 0;
    virtual void onOutputConsumed(std::size_t bytes) = 0;
    virtual bool hasStreams() const = 0;
    virtual void onBeginHeaders(const nghttp2_frame& frame) = 0;
    /** @return Whether the header was accepted; if not, the stream is reset. */
    virtual bool onHeader(const nghttp2_frame& frame, std::string_view name, std::string_view value) = 0;
    virtual void onFrame(const nghttp2_frame& frame) = 0;
    virtual void onFrameSent(const nghttp2_frame& frame) = 0;
    virtual void onData(std::int32_t stream, std::string_view data) = 0;
    virtual void onStreamClosed(std::int32_t stream, std::uint32_t code) = 0;
    virtual void onClosed() = 0;
    virtual void onTick(Clock::time_point) { }

    Socket m_socket;
    nghttp2_session* m_session {};
    Http2Bounds m_bounds;

private:
    friend struct Http2SessionCallbacks;

    void createSession(Side side);
    void submitSettings();
    void read();
    void onRead(std::size_t bytes);
    void fillOutput();
    void linger();
    void onWritten();
    void armTick();
    void tick();
    void countControlFrame(const nghttp2_frame& frame);

    std::shared_ptr<Http2Counters> m_counters;
    boost::asio::steady_timer m_timer;
    std::array<std::uint8_t, 16384> m_input;
    std::string m_output; ///< Data of the write in progress.
    Clock::time_point m_lastFrame; ///< Time of the last complete frame from the peer.
    Clock::time_point m_writeStart;
    Clock::time_point m_windowStart; ///< Start of the one-second window in which frames are counted.
    std::size_t m_resets {}; ///< Stream resets in the current window.
    std::size_t m_controlFrames {}; ///< Control frames in the current window.
    std::optional<Http2Counter> m_closeReason; ///< Set if `close` was called within a session callback.
    Side m_side;
    bool m_started {};
    bool m_closed {};
    bool m_reading {};
    bool m_writing {};
    bool m_lingering {}; ///< All output is sent; waiting for the peer to close.
    bool m_inSession {}; ///< A session function is on the call stack; the session is not reentrant.
};

/** Converts a Duration to a std::chrono duration. */
inline std::chrono::microseconds toChrono(Duration duration) { return std::chrono::microseconds(duration.us); }

/**
 * Data provider that reads from the Http2Output of a stream.
 * @return Argument for nghttp2_submit_request and nghttp2_submit_response.
 */
nghttp2_data_provider http2DataProvider();

/** Converts headers to nghttp2 name/value pairs, which refer to the strings of `headers`. */
std::vector<nghttp2_nv> toNameValues(const Http2Headers& headers);

Endpoint toEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);
boost::asio::ip::tcp::endpoint toTcp(Endpoint endpoint);

} // namespace hawthorncroft
