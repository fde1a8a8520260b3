/**
 * @file fabric_type.h
 * Settings and effects of the fabric stand-in: the network in front of the balancers, which sends every packet of a
 * caller to any balancer. It translates addresses, so that each caller has a socket of its own towards the balancers.
 */
#pragma once

#include "core_type.h"

#include <cstddef>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace hawthorncroft {

/** Number of a caller's translated address; strong, so that it is not mixed up with a port. */
using SessionId = StrongId<struct SessionIdTag, std::uint64_t>;

/** Path to one balancer. */
struct FabricPath {
    Endpoint balancer; ///< Front endpoint.
    Duration delay; ///< One way.
    bool isCut {}; ///< Drops everything in both directions.
};

/** Faults and paths. May change while the fabric runs. */
struct FabricSettings {
    std::vector<FabricPath> paths;
    std::uint32_t dropPerMille {}; ///< Packets lost, each way.
    std::uint32_t duplicatePerMille {}; ///< Packets that arrive twice, each way.
    std::uint32_t reorderPerMille {}; ///< Packets that wait for `reorderDelay` longer, each way.
    Duration reorderDelay { milliseconds(10) };
    std::uint64_t seed { 1 }; ///< Of all random choices.
};

/** Effect: give a caller a socket of its own towards the balancers. */
struct OpenSession {
    SessionId session;
};

/** Effect: close the socket of a caller that has been silent. */
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

/** Datagrams since the start. */
struct FabricCounters {
    std::uint64_t toBalancers {}; ///< Delivered to balancers.
    std::uint64_t toCallers {}; ///< Delivered to callers.
    std::uint64_t dropped {}; ///< Lost on purpose.
    std::uint64_t duplicated {};
    std::uint64_t reordered {};
    std::uint64_t cut {}; ///< Lost because the path is cut.
    std::uint64_t noPath {}; ///< Lost because there is no balancer.
    std::uint64_t overflow {}; ///< Lost because a table is full.
};

inline constexpr std::size_t maxFabricSessions = 4096; ///< Callers at a time.
inline constexpr std::size_t maxFabricDatagramsInFlight = 65536; ///< Datagrams on their way.
inline constexpr Duration fabricSessionTimeout = seconds(60); ///< A caller silent for this long loses its socket.

} // namespace hawthorncroft
