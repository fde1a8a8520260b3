/**
 * @file control_func.h
 * MACs of control requests and replies, and the server's bounds on rate and replay. No sockets, clocks or threads.
 */
#pragma once

#include "control_type.h"
#include "keyring_type.h"

#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace hawthorncroft {

/**
 * MAC of a request.
 * @param mac The key.
 * @param method Such as "GET".
 * @param path With the query, as sent.
 * @param nonce Number that the client uses once.
 * @return 64-bit tag.
 */
std::uint64_t controlRequestMac(const Mac& mac, std::string_view method, std::string_view path, std::uint64_t nonce);

/**
 * MAC of a reply. Never equal to the input of a request's MAC, so neither can stand for the other.
 * @param mac The key of the request.
 * @param nonce The request's nonce.
 * @param status HTTP status.
 * @param body The body.
 * @return 64-bit tag.
 */
std::uint64_t controlReplyMac(const Mac& mac, std::uint64_t nonce, int status, std::string_view body);

/** @return 16 hexadecimal digits. */
std::string toHex(std::uint64_t number);

/** @return The number, or nothing unless the text is 16 lower-case hexadecimal digits. */
std::optional<std::uint64_t> fromHex(std::string_view text);

/**
 * Takes a path with a query apart.
 * @param text Such as "/config?since=4".
 * @param[out] request Its path and query are set.
 */
void splitControlPath(std::string_view text, ControlRequest& request);

/** Remembers the latest nonces in two generations, so that memory is bounded and old ones need no clock to expire. */
class NonceMemory {
public:
    /** @param bound Most nonces held; at least the latest half of them is always held. */
    explicit NonceMemory(std::size_t bound);

    /**
     * Records a nonce.
     * @param nonce The nonce of an authentic request.
     * @return Whether it was not held before.
     */
    bool add(std::uint64_t nonce);

    std::size_t size() const { return m_current.size() + m_previous.size(); }

private:
    std::size_t m_generation; ///< Size at which the current generation becomes the previous one.
    std::unordered_set<std::uint64_t> m_current;
    std::unordered_set<std::uint64_t> m_previous;
};

/** Requests per second by peer address. */
class PeerRateLimiter {
public:
    /**
     * @param perSecond Requests of one address in one second.
     * @param peers Addresses tracked in one second; requests of further ones are refused.
     */
    PeerRateLimiter(std::size_t perSecond, std::size_t peers);

    /**
     * Counts a request.
     * @param address IPv4 address of the peer.
     * @param now Time of the request.
     * @return Whether it is within the rate.
     */
    bool allow(std::uint32_t address, TimePoint now);

private:
    std::size_t m_perSecond;
    std::size_t m_peers;
    TimePoint m_second; ///< Begin of the second that is counted.
    std::unordered_map<std::uint32_t, std::size_t> m_counts;
};

} // namespace hawthorncroft
