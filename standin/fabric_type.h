/**
 * @file fabric_type.h
 * Settings and effects of the fabric stand-in: the network in front of the balancers, which may send each packet of a
 * caller to a different balancer. It translates addresses: each caller has its own socket towards the balancers.
 */
#pragma once

#include "core_type.h"

#include <cstddef>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace hawthorncroft {

/** Number of a caller's translated address; a strong type, so that it cannot be confused with a port. */
using SessionId = StrongId<struct SessionIdTag, std::uint64_t>;

/** Path to one balancer. */
struct FabricPath {
    Endpoint balancer; ///< Front endpoint.
    Duration delay; ///< One-way network delay.
    bool isCut {}; ///< Drops all datagrams in both directions.
};

/** Faults and paths. Can be changed at run time. */
struct FabricSettings {
    std::vector<FabricPath> paths;
    std::uint32_t dropPerMille {}; ///< Packets dropped, in each direction.
    std::uint32_t duplicatePerMille {}; ///< Packets delivered twice, in each direction.
    std::uint32_t reorderPerMille {}; ///< Packets delayed by a further `reorderDelay`, in each direction.
    Duration reorderDelay { milliseconds(10) };
    std::uint64_t seed { 1 }; ///< Seed of all random choices.
};

/** Effect: open the socket of a new caller towards the balancers. */
struct OpenSession {
    SessionId session;
};

/** Effect: close the socket of an idle caller. */
struct CloseSession {
    SessionId session;
};

/** Effect: send a datagram from the session's socket. */
struct SendToBalancer {
    SessionId session;
    Endpoint to;
    std::vector<std::uint8_t> bytes;
};

/** Effect: send a datagram from the fabric's address to a caller. */
struct SendToCaller {
    Endpoint to;
    std::vector<std::uint8_t> bytes;
};

using FabricEffect = std::variant<OpenSession, CloseSession, SendToBalancer, SendToCaller>;
using FabricEffects = std::vector<FabricEffect>;

/** Numbers of datagrams since the start. */
struct FabricCounters {
    std::uint64_t toBalancers {}; ///< Delivered to balancers.
    std::uint64_t toCallers {}; ///< Delivered to callers.
    std::uint64_t dropped {}; ///< Dropped at random, by `dropPerMille`.
    std::uint64_t duplicated {};
    std::uint64_t reordered {};
    std::uint64_t cut {}; ///< Dropped because the path is cut.
    std::uint64_t noPath {}; ///< Dropped because there is no balancer or the session is closed.
    std::uint64_t overflow {}; ///< Dropped because a table is full.
};

inline constexpr std::size_t maxFabricSessions = 4096; ///< Maximum number of sessions, one per caller.
inline constexpr std::size_t maxFabricDatagramsInFlight = 65536; ///< Maximum number of datagrams in flight.
inline constexpr Duration fabricSessionTimeout
    = seconds(60); ///< Idle time after which the socket of a caller is closed.

} // namespace hawthorncroft
