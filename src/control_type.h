/**
 * @file control_type.h
 * Types of the authenticated control protocol (HTTP/2) between the processes of the project.
 *
 * A request is a GET without a body and carries the headers `hawthorncroft-key` (decimal key id), `hawthorncroft-nonce`
 * and `hawthorncroft-mac` (16 hexadecimal digits each). The MAC covers the method, the path with its query, and the
 * nonce. A reply carries `hawthorncroft-mac` over the request's nonce, the status and the body, computed with the key
 * of the request.
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

/** Authenticated request, as passed to its handler. */
struct ControlRequest {
    std::string path; ///< Without the query.
    std::string queryText; ///< Text after the question mark, as sent.
    std::map<std::string, std::string> query; ///< Fields of the query by name; not percent-decoded.
    Endpoint peer;
};

struct ControlReply {
    int status { 200 };
    std::string body;
};

using ControlHandler = std::function<ControlReply(const ControlRequest&)>;

/** Sends the reply to one request. Must be called at most once, on the server's thread. */
using ControlReplier = std::function<void(ControlReply)>;

/** Handler that may reply asynchronously, for example because another thread owns the requested state. */
using DeferredControlHandler = std::function<void(const ControlRequest&, ControlReplier)>;

/** Reason why a request did not get an authenticated reply with status 200. */
enum class ControlError : std::uint8_t {
    None,
    Unreachable, ///< The connection could not be established or was lost.
    Timeout, ///< No complete reply within the timeout.
    Unauthorized, ///< The server does not accept the key or the MAC.
    Replayed, ///< The server has already received the nonce.
    RateLimited, ///< The client's address exceeded the server's request rate.
    BadReply, ///< The MAC of the reply is missing or wrong.
    NotFound, ///< The server has no such path.
    Failed, ///< The server replied with any other status.
    TooLarge, ///< The reply exceeds the size limit.
    NoKey, ///< The client has no signing key.
    End,
};

/**
 * Name of an error in output and logs.
 * @param error The error.
 * @return The name; "invalid" for a value outside the enumeration.
 */
std::string_view nameOf(ControlError error);

/** Result of a request: the body of the reply, or an error. */
struct ControlResult {
    ControlError error { ControlError::None };
    int status {}; ///< HTTP status; 0 without a response.
    std::string body; ///< Authenticated; empty on error.
};

/** Counters of a control server. */
enum class ControlCounter : std::uint8_t {
    Served, ///< Authenticated requests passed to a handler.
    Unauthorized, ///< Requests without a valid key and MAC.
    Replayed, ///< Requests whose nonce was already used.
    RateLimited, ///< Requests above the rate limit of their peer address.
    NotFound, ///< Authenticated requests for a path without a handler.
    BadRequest, ///< Requests with a method other than GET, or with a body.
    End,
};

/**
 * Name of a counter in output.
 * @param counter The counter.
 * @return The name; "invalid" for a value outside the enumeration.
 */
std::string_view nameOf(ControlCounter counter);

/** Set of counters, all initially zero. */
class ControlCounters {
public:
    void add(ControlCounter counter) { ++m_values[static_cast<std::size_t>(counter)]; }
    std::uint64_t operator[](ControlCounter counter) const { return m_values[static_cast<std::size_t>(counter)]; }

private:
    std::array<std::uint64_t, static_cast<std::size_t>(ControlCounter::End)> m_values {};
};

/** Limits of a control server. */
struct ControlBounds {
    std::size_t requestsPerSecond { maxControlRequestsPerSecond }; ///< Per peer address.
    std::size_t peers { maxControlPeers }; ///< Addresses tracked per second; requests of further ones are refused.
    std::size_t nonces { maxControlNonces }; ///< Nonces stored; at least the latest half of them is kept.
};

} // namespace hawthorncroft
