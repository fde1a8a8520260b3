/**
 * @file control_base.h
 * Server and client of the authenticated control protocol. Both run on an io_context that the creator runs with one
 * thread, and use a keyring that belongs to that thread and must outlive them.
 */
#pragma once

#include "control_func.h"
#include "http2_base.h"

#include <list>

namespace hawthorncroft {

/** @return Limits of the HTTP/2 connections that carry control requests. */
Http2Bounds controlHttp2Bounds();

/**
 * Dispatches authenticated requests to the handlers of their paths. Other requests are counted and get 401 (invalid key
 * or MAC), 409 (nonce already used), 429 (rate limit) or 400 (method or body); these replies have neither body nor MAC.
 * An authenticated request for an unknown path gets a 404 with a MAC. All paths are read-only, so replaying a request
 * whose nonce is no longer stored changes nothing.
 */
class ControlServer {
public:
    ControlServer(boost::asio::io_context& context, const Keyring& keyring, ControlBounds bounds = {},
        const Http2Bounds& http2 = controlHttp2Bounds());

    /**
     * Adds a path, or replaces the handler of an existing one.
     * @param path Path without the query, such as "/status".
     * @param handler Called for each authenticated request.
     */
    void add(std::string path, ControlHandler handler);

    /**
     * Adds a path with an asynchronous handler, or replaces the handler of an existing one.
     * @param path Path without the query, such as "/config".
     * @param handler Called for each authenticated request.
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
    Http2Server m_server; ///< Declared last: destroyed before the members that its handler uses.
};

/** Sends authenticated requests. Keeps connections to the most recently used endpoints. */
class ControlClient {
public:
    using Done = std::function<void(ControlResult)>;

    /**
     * @param context Event loop.
     * @param keyring Its signing key signs the requests.
     * @param nonces Random number generator; called once per request.
     * @param http2 Limits of the connections.
     */
    ControlClient(boost::asio::io_context& context, const Keyring& keyring, std::function<std::uint64_t()> nonces,
        const Http2Bounds& http2 = controlHttp2Bounds());
    ~ControlClient();

    /**
     * Sends a request.
     * @param endpoint Address and port of the server.
     * @param path Path with the query.
     * @param timeout Time limit for the complete reply.
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
    std::list<std::unique_ptr<Http2Client>> m_clients; ///< Most recently used first.
    std::shared_ptr<bool> m_alive; ///< Shared with pending callbacks; false once the client is destroyed.
};

} // namespace hawthorncroft
