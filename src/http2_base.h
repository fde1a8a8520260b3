/**
 * @file http2_base.h
 * HTTP/2 server and client over TCP with prior knowledge and without TLS. Both run on an io_context that the caller
 * owns and runs with one thread; every function must be called on that thread.
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
 * Answers one request, at once or later. Copies answer the same request. When the last copy is gone without an
 * answer, the stream is reset and counted. Outliving the server is allowed; the functions then return false.
 */
class Http2Responder {
public:
    explicit Http2Responder(std::shared_ptr<Http2Exchange> exchange);

    /**
     * Sends a complete response.
     * @param status HTTP status.
     * @param body Body; beyond the output bound the stream is reset instead.
     * @param headers Further headers, names in lower case.
     * @return Whether the response was taken.
     */
    bool respond(int status, std::string body = {}, const Http2Headers& headers = {}) const;

    /**
     * Begins a streamed response.
     * @param status HTTP status.
     * @param headers Further headers, names in lower case.
     * @return Whether the peer is still there and nothing was answered before.
     */
    bool start(int status, const Http2Headers& headers = {}) const;

    /**
     * Appends a piece to a streamed response.
     * @param data The bytes.
     * @return Whether they were taken; not when the output bound is reached or the stream is over.
     */
    bool write(std::string_view data) const;

    /** Ends a streamed response. */
    void end() const;

    /** Resets the stream, so that the client sees an error that says "may have run". */
    void reset() const;

    /** @return Whether the peer still waits for the response or its rest. */
    bool isOpen() const;

    /**
     * Sets what to call, at most once, when the stream ends early: reset by the peer or connection lost.
     * @param gone The function.
     */
    void onAborted(std::function<void()> abortHandler) const;

private:
    std::shared_ptr<Http2Exchange> m_exchange;
};

/** Called for each complete request. */
using Http2Handler = std::function<void(const Http2Request&, Http2Responder)>;

/** Accepts connections and calls a handler for each request. Closes everything when destroyed. */
class Http2Server {
public:
    Http2Server(boost::asio::io_context& context, Http2Handler handler, Http2Bounds bounds = {});
    ~Http2Server();
    Http2Server(const Http2Server&) = delete;
    Http2Server& operator=(const Http2Server&) = delete;

    /**
     * Listens for connections.
     * @param endpoint Address and port; with port zero the kernel chooses one.
     * @param[out] error Text of the system error on failure.
     * @return Whether it listens.
     */
    bool listen(Endpoint endpoint, std::string& error);

    /** @return Where it listens; zero port before. */
    Endpoint endpoint() const;

    /** Stops accepting and sends GOAWAY; open streams run to their end. */
    void drain();

    /** Closes all connections at once. */
    void close();

    const Http2Counters& counters() const;
    std::size_t connectionCount() const;

    /** @return Body and header bytes buffered over all connections. */
    std::size_t bufferedBytes() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

using Http2CallId = std::uint64_t; ///< Names one call of a client; zero is none.

/**
 * Sends requests to one endpoint over one connection, which is opened by the first request and again by the first
 * request after a loss. After GOAWAY the old connection finishes its streams while a new one takes new requests.
 */
class Http2Client {
public:
    using Done = std::function<void(Http2Result)>;

    Http2Client(boost::asio::io_context& context, Endpoint endpoint, Http2Bounds bounds = {});
    /** Closes the connections; the callbacks of open calls are dropped without a call. */
    ~Http2Client();
    Http2Client(const Http2Client&) = delete;
    Http2Client& operator=(const Http2Client&) = delete;

    /**
     * Sends a request.
     * @param call The request, timeout and stream callbacks.
     * @param done Called exactly once, never before this function returns.
     * @return Number of the call for the functions below.
     */
    Http2CallId send(Http2Call call, Done done);

    /**
     * Ends a call: its stream is reset and its callback gets the error Cancelled before this function returns.
     * Does nothing when the call is over.
     * @param id Number of the call.
     */
    void cancel(Http2CallId id);

    /**
     * Stops the delivery of a streamed response. The server may send up to one flow control window (64 KiB) more.
     * @param id Number of the call.
     */
    void pause(Http2CallId id);

    /**
     * Continues the delivery after `pause`.
     * @param id Number of the call.
     */
    void resume(Http2CallId id);

    /** Closes the connections; the callbacks of open calls get an error. The next request connects again. */
    void close();

    Endpoint endpoint() const;
    const Http2Counters& counters() const;

    /** @return Calls that are not over. */
    std::size_t openCalls() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace hawthorncroft
