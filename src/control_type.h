/**
 * @file control_type.h
 * Values of the authenticated control streams between our processes.
 *
 * A request is a GET without a body and carries the headers `hawthorncroft-key` (decimal key id), `hawthorncroft-nonce`
 * and `hawthorncroft-mac` (16 hexadecimal digits each); the MAC covers method, path with query, and nonce. A reply
 * carries `hawthorncroft-mac` over the request's nonce, the status and the body, under the key of the request.
 */
#pragma once

#include "core_type.h"
#include "table/limits.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace hawthorncroft {

inline constexpr std::string_view controlKeyHeader = "hawthorncroft-key";
inline constexpr std::string_view controlNonceHeader = "hawthorncroft-nonce";
inline constexpr std::string_view controlMacHeader = "hawthorncroft-mac";

/** An authentic request as its handler gets it. */
struct ControlRequest {
    std::string path; ///< Without the query.
    std::string queryText; ///< Text behind the question mark, as sent.
    std::map<std::string, std::string> query; ///< Not percent-decoded.
    Endpoint peer;
};

struct ControlReply {
    int status { 200 };
    std::string body;
};

using ControlHandler = std::function<ControlReply(const ControlRequest&)>;

/** Sends the reply to one request; called at most once, on the server's thread. */
using ControlReplier = std::function<void(ControlReply)>;

/** Handler that replies later, such as when another thread owns what is asked for. */
using DeferredControlHandler = std::function<void(const ControlRequest&, ControlReplier)>;

/** Why a request has no authentic reply with status 200. */
enum class ControlError : std::uint8_t {
    None,
    Unreachable, ///< No connection, or it was lost.
    Timeout, ///< No reply in time.
    Unauthorized, ///< The server does not accept the key or the MAC.
    Replayed, ///< The server has seen the nonce before.
    RateLimited, ///< The server refuses more requests from this address.
    BadReply, ///< The reply's MAC is missing or wrong.
    NotFound, ///< The server has no such path.
    Failed, ///< The server answered with another status.
    TooLarge, ///< The reply exceeds the bound.
    NoKey, ///< The client holds no signing key.
    End,
};

/**
 * Name of an error as printed and logged.
 * @param error The error.
 * @return Its name, or "invalid".
 */
std::string_view nameOf(ControlError error);

/** Body of a reply, or an error. */
struct ControlResult {
    ControlError error { ControlError::None };
    int status {}; ///< HTTP status; zero when there was no response.
    std::string body; ///< Authentic; empty with an error.
};

/** What a control server counts. */
enum class ControlCounter : std::uint8_t {
    Served, ///< Authentic requests answered by a handler.
    Unauthorized, ///< Requests without a valid key and MAC.
    Replayed, ///< Requests with a nonce seen before.
    RateLimited, ///< Requests beyond the rate of their peer.
    NotFound, ///< Authentic requests for a path without a handler.
    BadRequest, ///< Requests with another method or a body.
    End,
};

/**
 * Name of a counter as printed.
 * @param counter The counter.
 * @return Its name, or "invalid".
 */
std::string_view nameOf(ControlCounter counter);

/** Counts by kind. */
class ControlCounters {
public:
    void add(ControlCounter counter) { ++m_values[static_cast<std::size_t>(counter)]; }
    std::uint64_t operator[](ControlCounter counter) const { return m_values[static_cast<std::size_t>(counter)]; }

private:
    std::array<std::uint64_t, static_cast<std::size_t>(ControlCounter::End)> m_values {};
};

/** Bounds of a control server. */
struct ControlBounds {
    std::size_t requestsPerSecond { maxControlRequestsPerSecond }; ///< From one peer address.
    std::size_t peers { maxControlPeers }; ///< Addresses whose rate is tracked; beyond it others are refused.
    std::size_t nonces { maxControlNonces }; ///< At least half as many of the latest nonces are remembered.
};

} // namespace hawthorncroft
