/**
 * @file http2_base.h
 * HTTP/2 server and client over TCP, with prior knowledge and without TLS. Both run on an io_context that the creator
 * owns and runs with one thread; all functions must be called on that thread.
 */
#pragma once

#include "http2_type.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace hawthorncroft {

struct Http2Exchange;

/**
 * Sends the response to one request, synchronously or asynchronously. Copies refer to the same request. If the last
 * copy is destroyed before the response is complete, the stream is reset and counted. A responder may outlive the
 * server; its functions then return false.
 */
class Http2Responder {
public:
    explicit Http2Responder(std::shared_ptr<Http2Exchange> exchange);

    /**
     * Sends a complete response.
     * @param status HTTP status.
     * @param body Body; if it does not fit in the output buffer, the stream is reset instead.
     * @param headers Additional headers with lower-case names.
     * @return Whether the response was accepted for sending.
     */
    bool respond(int status, std::string body = {}, const Http2Headers& headers = {}) const;

    /**
     * Starts a streamed response.
     * @param status HTTP status.
     * @param headers Additional headers with lower-case names.
     * @return Whether the stream is open and had no response yet.
     */
    bool start(int status, const Http2Headers& headers = {}) const;

    /**
     * Appends data to a streamed response.
     * @param data The bytes.
     * @return Whether the data was accepted; false if the output buffer is full or the stream is closed.
     */
    bool write(std::string_view data) const;

    /** Ends a streamed response. */
    void end() const;

    /** Resets the stream, so that the client gets an error with Http2Result::mayHaveRun set. */
    void reset() const;

    /** @return Whether the stream is open and its response is not complete. */
    bool isOpen() const;

    /**
     * Sets a function to call, at most once, if the stream closes before the response is complete, for example because
     * the peer reset it or the connection was lost.
     * @param abortHandler The function.
     */
    void onAborted(std::function<void()> abortHandler) const;

private:
    std::shared_ptr<Http2Exchange> m_exchange;
};

/** Called for each complete request. */
using Http2Handler = std::function<void(const Http2Request&, Http2Responder)>;

/** Accepts connections and calls a handler for each request. Closes all connections when destroyed. */
class Http2Server {
public:
    Http2Server(boost::asio::io_context& context, Http2Handler handler, Http2Bounds bounds = {});
    ~Http2Server();
    Http2Server(const Http2Server&) = delete;
    Http2Server& operator=(const Http2Server&) = delete;

    /**
     * Listens for connections.
     * @param endpoint Local address and port; with port 0 the kernel chooses a free one.
     * @param[out] error Text of the system error on failure.
     * @return Whether the server listens.
     */
    bool listen(Endpoint endpoint, std::string& error);

    /** @return Local endpoint; port 0 while the server does not listen. */
    Endpoint endpoint() const;

    /** Stops accepting connections and sends GOAWAY; open streams are completed. */
    void drain();

    /** Stops accepting and closes all connections immediately. */
    void close();

    const Http2Counters& counters() const;
    std::size_t connectionCount() const;

    /** @return Header and body bytes buffered for all connections. */
    std::size_t bufferedBytes() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

using Http2CallId = std::uint64_t; ///< Identifies a call within its client; 0 means none.

/**
 * Sends requests to one endpoint over one connection. The connection is opened for the first request and reopened for
 * the first request after it was lost. After GOAWAY the old connection completes its streams, while new requests use a
 * new connection.
 */
class Http2Client {
public:
    using Done = std::function<void(Http2Result)>;

    Http2Client(boost::asio::io_context& context, Endpoint endpoint, Http2Bounds bounds = {});
    /** Closes the connections; the callbacks of open calls are discarded without being called. */
    ~Http2Client();
    Http2Client(const Http2Client&) = delete;
    Http2Client& operator=(const Http2Client&) = delete;

    /**
     * Sends a request.
     * @param call The request with its timeout and stream callbacks.
     * @param done Called exactly once, never before this function returns.
     * @return Id of the call, for the functions below.
     */
    Http2CallId send(Http2Call call, Done done);

    /**
     * Cancels a call: resets its stream and calls its callback with the error Cancelled before this function returns.
     * Does nothing if the call has ended.
     * @param id Id of the call.
     */
    void cancel(Http2CallId id);

    /**
     * Pauses the delivery of a streamed response. The server may still send up to one flow control window (64 KiB),
     * which is buffered.
     * @param id Id of the call.
     */
    void pause(Http2CallId id);

    /**
     * Resumes the delivery after `pause`.
     * @param id Id of the call.
     */
    void resume(Http2CallId id);

    /** Closes the connections; the callbacks of open calls get an error. The next request opens a new connection. */
    void close();

    Endpoint endpoint() const;
    const Http2Counters& counters() const;

    /** @return Number of calls that have not ended. */
    std::size_t openCalls() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace hawthorncroft
