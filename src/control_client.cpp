#include "control_base.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace hawthorncroft {

namespace {

    ControlError errorOf(Http2Error error)
    {
        switch (error) {
        case Http2Error::None:
            return ControlError::None;
        case Http2Error::Timeout:
            return ControlError::Timeout;
        case Http2Error::ResponseTooLarge:
            return ControlError::TooLarge;
        default:
            return ControlError::Unreachable;
        }
    }

    ControlError errorOfStatus(int status)
    {
        switch (status) {
        case 200:
            return ControlError::None;
        case 401:
            return ControlError::Unauthorized;
        case 404:
            return ControlError::NotFound;
        case 409:
            return ControlError::Replayed;
        case 429:
            return ControlError::RateLimited;
        default:
            return ControlError::Failed;
        }
    }

    /** Statuses that a server sends before the request is authenticated; such replies carry no MAC. */
    bool isUnsigned(int status) { return status == 400 || status == 401 || status == 409 || status == 429; }

}

ControlClient::ControlClient(boost::asio::io_context& context, const Keyring& keyring,
    std::function<std::uint64_t()> nonces, const Http2Bounds& http2)
    : m_context(context)
    , m_keyring(keyring)
    , m_nonces(std::move(nonces))
    , m_http2(http2)
    , m_alive(std::make_shared<bool>(true))
{
}

ControlClient::~ControlClient() { *m_alive = false; }

Http2Client& ControlClient::clientOf(Endpoint endpoint)
{
    auto isFor = [endpoint](const auto& client) { return client->endpoint() == endpoint; };
    auto found = std::find_if(m_clients.begin(), m_clients.end(), isFor);
    if (found != m_clients.end()) {
        m_clients.splice(m_clients.begin(), m_clients, found);
        return *m_clients.front();
    }
    auto idle = [](const auto& client) { return client->openCalls() == 0; };
    auto victim = std::find_if(m_clients.rbegin(), m_clients.rend(), idle);
    if (m_clients.size() >= maxControlClients && victim != m_clients.rend())
        m_clients.erase(std::next(victim).base());
    m_clients.push_front(std::make_unique<Http2Client>(m_context, endpoint, m_http2));
    return *m_clients.front();
}

void ControlClient::get(Endpoint endpoint, const std::string& path, Duration timeout, Done done)
{
    KeyId key = m_keyring.signing();
    const Mac* mac = m_keyring.find(key);
    if (!mac) {
        boost::asio::post(
            m_context, [done = std::move(done)] { done({ .error = ControlError::NoKey, .status = 0, .body = {} }); });
        return;
    }
    std::uint64_t nonce = m_nonces();
    Http2Call call;
    call.timeout = timeout;
    call.request.path = path;
    call.request.headers = {
        { std::string(controlKeyHeader), std::to_string(key.value) },
        { std::string(controlNonceHeader), toHex(nonce) },
        { std::string(controlMacHeader), toHex(controlRequestMac(*mac, "GET", path, nonce)) },
    };
    auto finish = [this, alive = m_alive, key, nonce, done = std::move(done)](Http2Result result) {
        if (*alive)
            done(check(key, nonce, std::move(result)));
    };
    clientOf(endpoint).send(std::move(call), std::move(finish));
}

ControlResult ControlClient::check(KeyId key, std::uint64_t nonce, Http2Result result) const
{
    ControlResult checked;
    checked.status = result.status;
    checked.error = errorOf(result.error);
    if (checked.error != ControlError::None)
        return checked;
    checked.error = errorOfStatus(result.status);
    const Mac* mac = m_keyring.find(key);
    auto tag = fromHex(findHeader(result.headers, controlMacHeader));
    bool authentic = mac && tag && controlReplyMac(*mac, nonce, result.status, result.body) == *tag;
    if (!authentic && !isUnsigned(result.status))
        checked.error = ControlError::BadReply;
    if (checked.error == ControlError::None)
        checked.body = std::move(result.body);
    return checked;
}

} // namespace hawthorncroft
