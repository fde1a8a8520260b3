/**
 * @file control_func.h
 * MACs of control requests and replies, and the server's rate limit and replay protection. Uses no sockets, clocks or
 * threads.
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
 * @param mac MAC function with the key of the request.
 * @param method Such as "GET".
 * @param path Path with the query, as sent.
 * @param nonce Number that the client uses only once.
 * @return 64-bit tag.
 */
std::uint64_t controlRequestMac(const Mac& mac, std::string_view method, std::string_view path, std::uint64_t nonce);

/**
 * MAC of a reply. Its input always differs from that of a request, so that the MAC of one is not valid for the other.
 * @param mac MAC function with the key of the request.
 * @param nonce Nonce of the request.
 * @param status HTTP status.
 * @param body The body.
 * @return 64-bit tag.
 */
std::uint64_t controlReplyMac(const Mac& mac, std::uint64_t nonce, int status, std::string_view body);

/** @return The number as 16 lower-case hexadecimal digits. */
std::string toHex(std::uint64_t number);

/** @return The number; nothing if the text is not exactly 16 lower-case hexadecimal digits. */
std::optional<std::uint64_t> fromHex(std::string_view text);

/**
 * Splits a path with a query.
 * @param text Such as "/config?since=4".
 * @param[out] request Receives the path, the query text and the fields of the query.
 */
void splitControlPath(std::string_view text, ControlRequest& request);

/**
 * Set of the latest nonces, for replay protection. Holds two generations: when the current one is full, the previous
 * one is discarded. Thus memory is bounded, and old nonces expire without a clock.
 */
class NonceMemory {
public:
    /** @param bound Maximum number of nonces held; at least the latest half of this number is always held. */
    explicit NonceMemory(std::size_t bound);

    /**
     * Records a nonce.
     * @param nonce Nonce of an authenticated request.
     * @return Whether the nonce is new; false for a replay.
     */
    bool add(std::uint64_t nonce);

    std::size_t size() const { return m_current.size() + m_previous.size(); }

private:
    std::size_t m_generation; ///< Size at which the current generation becomes the previous one.
    std::unordered_set<std::uint64_t> m_current;
    std::unordered_set<std::uint64_t> m_previous;
};

/** Limits the requests per second of each peer address. */
class PeerRateLimiter {
public:
    /**
     * @param perSecond Requests allowed per address and second.
     * @param peers Addresses tracked per second; requests of further ones are refused.
     */
    PeerRateLimiter(std::size_t perSecond, std::size_t peers);

    /**
     * Counts a request.
     * @param address IPv4 address of the peer.
     * @param now Time of the request.
     * @return Whether the request is within the rate limit.
     */
    bool allow(std::uint32_t address, TimePoint now);

private:
    std::size_t m_perSecond;
    std::size_t m_peers;
    TimePoint m_second; ///< Start of the current one-second window.
    std::unordered_map<std::uint32_t, std::size_t> m_counts;
};

} // namespace hawthorncroft
