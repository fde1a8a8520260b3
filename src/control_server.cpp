#include "control_base.h"

#include "clock_func.h"

#include <charconv>

namespace hawthorncroft {

namespace {

    KeyId keyIdOf(const Http2Request& request)
    {
        std::string_view text = findHeader(request.headers, controlKeyHeader);
        KeyId id;
        std::from_chars(text.data(), text.data() + text.size(), id.value);
        return id;
    }

}

Http2Bounds controlHttp2Bounds()
{
    Http2Bounds bounds;
    bounds.bodyBytes = maxControlReplyBytes;
    bounds.outputBytes = maxControlReplyBytes;
    bounds.totalBytes = maxControlTotalBytes;
    return bounds;
}

ControlServer::ControlServer(
    boost::asio::io_context& context, const Keyring& keyring, ControlBounds bounds, const Http2Bounds& http2)
    : m_keyring(keyring)
    , m_rate(bounds.requestsPerSecond, bounds.peers)
    , m_nonces(bounds.nonces)
    , m_server(
          context, [this](const Http2Request& request, const Http2Responder& r) { handle(request, r); }, http2)
{
}

void ControlServer::add(std::string path, ControlHandler handler)
{
    addDeferred(
        std::move(path), [handler = std::move(handler)](const ControlRequest& request, const ControlReplier& reply) {
            reply(handler(request));
        });
}

void ControlServer::addDeferred(std::string path, DeferredControlHandler handler)
{
    m_handlers[std::move(path)] = std::move(handler);
}

void ControlServer::handle(const Http2Request& request, const Http2Responder& responder)
{
    // The rate limit comes before the MAC check, so that requests of a flood are rejected cheaply.
    if (!m_rate.allow(request.peer.address, monotonicNow()))
        return refuse(responder, 429, ControlCounter::RateLimited);
    if (request.method != "GET" || !request.body.empty())
        return refuse(responder, 400, ControlCounter::BadRequest);
    const Mac* mac = m_keyring.find(keyIdOf(request));
    auto nonce = fromHex(findHeader(request.headers, controlNonceHeader));
    auto tag = fromHex(findHeader(request.headers, controlMacHeader));
    if (!mac || !nonce || !tag || controlRequestMac(*mac, request.method, request.path, *nonce) != *tag)
        return refuse(responder, 401, ControlCounter::Unauthorized);
    // Only nonces of authenticated requests are stored, so that forged requests cannot evict them.
    if (!m_nonces.add(*nonce))
        return refuse(responder, 409, ControlCounter::Replayed);
    answer(request, replierOf(keyIdOf(request), *nonce, responder));
}

ControlReplier ControlServer::replierOf(KeyId key, std::uint64_t nonce, const Http2Responder& responder) const
{
    return [this, key, nonce, responder](ControlReply reply) {
        const Mac* mac = m_keyring.find(key);
        // The key was removed before the handler replied, so the reply cannot be signed.
        if (!mac) {
            responder.respond(401);
            return;
        }
        std::string tag = toHex(controlReplyMac(*mac, nonce, reply.status, reply.body));
        responder.respond(reply.status, std::move(reply.body), { { std::string(controlMacHeader), tag } });
    };
}

void ControlServer::refuse(const Http2Responder& responder, int status, ControlCounter counter)
{
    m_counters.add(counter);
    responder.respond(status);
}

void ControlServer::answer(const Http2Request& request, const ControlReplier& reply)
{
    ControlRequest query;
    query.peer = request.peer;
    splitControlPath(request.path, query);
    auto handler = m_handlers.find(query.path);
    if (handler == m_handlers.end()) {
        m_counters.add(ControlCounter::NotFound);
        reply({ .status = 404, .body = {} });
        return;
    }
    m_counters.add(ControlCounter::Served);
    handler->second(query, reply);
}

} // namespace hawthorncroft
