/**
 * @file control_base.h
 * Server and client of the authenticated control streams. Both run on the caller's io_context with one thread, and use
 * a keyring that belongs to that thread and outlives them.
 */
#pragma once

#include "control_func.h"
#include "http2_base.h"

#include <list>

namespace hawthorncroft {

/** Bounds of the HTTP/2 connections below control streams. */
Http2Bounds controlHttp2Bounds();

/**
 * Answers authentic requests from a table of paths. Others get 401 (key or MAC), 409 (nonce seen before), 429 (rate),
 * 400 (method or body), all counted; these replies have no body and no MAC. An authentic request for an unknown path
 * gets an authentic 404. All paths are queries, so a nonce that was forgotten and is replayed changes nothing.
 */
class ControlServer {
public:
    ControlServer(boost::asio::io_context& context, const Keyring& keyring, ControlBounds bounds = {},
        const Http2Bounds& http2 = controlHttp2Bounds());

    /**
     * Adds a path or replaces its handler.
     * @param path Such as "/status".
     * @param handler Called for each authentic request.
     */
    void add(std::string path, ControlHandler handler);

    /**
     * Adds a path whose handler replies later, or replaces its handler.
     * @param path Such as "/config".
     * @param handler Called for each authentic request.
     */
    void addDeferred(std::string path, DeferredControlHandler handler);

    /** See Http2Server::listen. */
    bool listen(Endpoint endpoint, std::string& error) { return m_server.listen(endpoint, error); }

    Endpoint endpoint() const { return m_server.endpoint(); }
    void drain() { m_server.drain(); }
    const ControlCounters& counters() const { return m_counters; }
    const Http2Counters& http2Counters() const { return m_server.counters(); }

private:
    void handle(const Http2Request& request, const Http2Responder& responder);
    void refuse(const Http2Responder& responder, int status, ControlCounter counter);
    ControlReplier replierOf(KeyId key, std::uint64_t nonce, const Http2Responder& responder) const;
    void answer(const Http2Request& request, const ControlReplier& reply);

    const Keyring& m_keyring;
    std::map<std::string, DeferredControlHandler> m_handlers;
    PeerRateLimiter m_rate;
    NonceMemory m_nonces;
    ControlCounters m_counters;
    Http2Server m_server; ///< Last, so that it is closed before what its handler uses.
};

/** Sends authenticated requests. Keeps connections to the endpoints used last. */
class ControlClient {
public:
    using Done = std::function<void(ControlResult)>;

    /**
     * @param context The loop.
     * @param keyring The signing key is used.
     * @param nonces Returns random numbers; one is drawn for each request.
     * @param http2 Bounds of the connections.
     */
    ControlClient(boost::asio::io_context& context, const Keyring& keyring, std::function<std::uint64_t()> nonces,
        const Http2Bounds& http2 = controlHttp2Bounds());
    ~ControlClient();

    /**
     * Sends a request.
     * @param endpoint The server.
     * @param path With the query.
     * @param timeout Until the complete reply.
     * @param done Called exactly once, never before this function returns.
     */
    void get(Endpoint endpoint, const std::string& path, Duration timeout, Done done);

    std::size_t endpointCount() const { return m_clients.size(); }

private:
    Http2Client& clientOf(Endpoint endpoint);
    ControlResult check(KeyId key, std::uint64_t nonce, Http2Result result) const;

    boost::asio::io_context& m_context;
    const Keyring& m_keyring;
    std::function<std::uint64_t()> m_nonces;
    Http2Bounds m_http2;
    std::list<std::unique_ptr<Http2Client>> m_clients; ///< The one used last is first.
    std::shared_ptr<bool> m_alive; ///< Tells replies that the client still exists.
};

} // namespace hawthorncroft
