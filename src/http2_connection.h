/**
 * @file http2_connection.h
 * Bytes, timeouts and flood bounds of one HTTP/2 connection, common to server and client. Included by http2_*.cpp only.
 */
#pragma once

#include "http2_type.h"

#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <optional>

namespace hawthorncroft {

/** Body bytes on their way out of one stream. */
struct Http2Output {
    std::string data; ///< Not yet given to the session from `offset` on.
    std::size_t offset {};
    bool ended {}; ///< Nothing will be appended.
};

/** Owner of an nghttp2 session and its socket. Kept alive by its pending socket operations. */
class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
public:
    using Socket = boost::asio::ip::tcp::socket;
    using Clock = std::chrono::steady_clock;

    virtual ~Http2Connection();
    Http2Connection(const Http2Connection&) = delete;
    Http2Connection& operator=(const Http2Connection&) = delete;

    /** Sends what the session has queued, unless a write is under way; then it follows that write. */
    void flush();

    /**
     * Closes the socket and ends all streams. Within a callback of the session, when that callback is over.
     * @param reason Counted.
     */
    void close(Http2Counter reason);

    bool isClosed() const { return m_closed; }

protected:
    enum class Side : std::uint8_t {
        Client,
        Server,
    };

    Http2Connection(Socket socket, Side side, const Http2Bounds& bounds, std::shared_ptr<Http2Counters> counters);

    /** Begins to read and write on the connected socket. */
    void start();

    /** Says GOAWAY; the connection closes when the last stream ends. */
    void goAway();

    void resetStream(std::int32_t stream, std::uint32_t code);
    void consume(std::int32_t stream, std::size_t bytes);
    void consumeConnection(std::size_t bytes);
    void count(Http2Counter counter) { m_counters->add(counter); }

    virtual Http2Output* outputOf(std::int32_t stream) = 0;
    virtual void onOutputConsumed(std::size_t bytes) = 0;
    virtual bool hasStreams() const = 0;
    virtual void onBeginHeaders(const nghttp2_frame& frame) = 0;
    /** @return Whether the header was taken; otherwise the stream is reset. */
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
    std::string m_output; ///< The write under way.
    Clock::time_point m_lastFrame; ///< Last whole frame from the peer.
    Clock::time_point m_writeStart;
    Clock::time_point m_windowStart; ///< Begin of the second in which frames are counted.
    std::size_t m_resets {}; ///< In this second.
    std::size_t m_controlFrames {}; ///< In this second.
    std::optional<Http2Counter> m_closeReason; ///< Set when close was called within a callback.
    Side m_side;
    bool m_started {};
    bool m_closed {};
    bool m_reading {};
    bool m_writing {};
    bool m_lingering {}; ///< All is sent; waits for the peer to close.
    bool m_inSession {}; ///< The session is on the call stack; it must not be entered again.
};

/** Microseconds of a core duration as a chrono duration. */
inline std::chrono::microseconds toChrono(Duration duration) { return std::chrono::microseconds(duration.us); }

/**
 * Data provider over the connection's output of a stream.
 * @return For nghttp2_submit_request and nghttp2_submit_response.
 */
nghttp2_data_provider http2DataProvider();

/** Headers as nghttp2 wants them; refers to the strings of the list. */
std::vector<nghttp2_nv> toNameValues(const Http2Headers& headers);

Endpoint toEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);
boost::asio::ip::tcp::endpoint toTcp(Endpoint endpoint);

} // namespace hawthorncroft
