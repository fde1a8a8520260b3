/**
 * @file transit_type.h
 * Transparent flows: flows of callers that do not use this project's library. A flow is identified by the addresses and
 * ports of both ends, and its packets are forwarded unchanged.
 */
#pragma once

#include "core_type.h"
#include "name_table_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hawthorncroft {

/** Identity of a transparent flow: the endpoint of the caller, and the service address that the caller sends to. */
struct FlowTuple {
    Endpoint caller;
    Endpoint service;

    constexpr auto operator<=>(const FlowTuple&) const = default;
};

/** @return Hash of a flow; the same in all processes. */
constexpr std::uint64_t hashOf(const FlowTuple& flow)
{
    return mix64((static_cast<std::uint64_t>(flow.caller.address) << 16) | flow.caller.port,
        (static_cast<std::uint64_t>(flow.service.address) << 16) | flow.service.port);
}

using StoreEra = StrongId<struct StoreEraTag,
    std::uint64_t>; ///< Rises each time the store comes back from a copy; zero when the store does not tell.

/**
 * Position in the history of the store. When the store comes back from a copy, revisions go back and are given out
 * again, so that a revision alone orders nothing: one of a later era is newer than any of an earlier era.
 */
struct StorePosition {
    StoreEra era;
    Revision revision;

    constexpr StorePosition() = default;
    constexpr explicit StorePosition(std::uint64_t revisionNumber, std::uint64_t eraNumber = 0)
        : era(eraNumber)
        , revision(revisionNumber)
    {
    }
    constexpr StorePosition(StoreEra e, Revision r)
        : era(e)
        , revision(r)
    {
    }
    constexpr auto operator<=>(const StorePosition&) const = default;

    /** @return Whether there is a position; none precedes all. */
    constexpr explicit operator bool() const { return era || revision; }
};

/** Control bits of a packet. */
struct PacketFlags {
    bool isOpening {}; ///< First packet that the caller or the target sends, or its retransmission.
    bool hasAcknowledgement {};
    bool isFinal {}; ///< The sender sends no data after this packet.
    bool isReset {};
    bool isReturned {}; ///< The target rejected the packet and returned it.

    /** @return Whether a caller opens a flow; the opening packet of a target also has an acknowledgement. */
    bool asksForFlow() const { return isOpening && !hasAcknowledgement; }
};

/** One packet of a transparent flow with its decoded fields; `bytes` is what is forwarded. */
struct TransitPacket {
    FlowTuple flow;
    PacketFlags flags;
    std::uint32_t sequence {};
    std::uint32_t acknowledged {};
    std::uint32_t tag {}; ///< Set by an agent in packets to its target; the target copies it into packets it returns.
    std::uint16_t dataSize {}; ///< Number of payload bytes in this packet.
    bool isFull {}; ///< Carries as much data as a packet can, so more data of the request may follow.
    /// Bytes of the request that starts in this packet, head and body. None when no request starts here, when its head
    /// is not complete in this packet, or when the head does not tell.
    std::optional<std::uint64_t> requestSize;
    std::string requestId; ///< Id of the request that starts in this packet; empty if none was recognised. Logs only.
    std::vector<std::uint8_t> bytes;
};

/**
 * Checks whether a caller accepted the answer of a target, for opening packets that several targets answered. Initial
 * sequence numbers of targets are random, so an acknowledgement close to one identifies its target.
 * @param packet The caller's first packet after its opening packet.
 * @param targetSequence Initial sequence number of the target.
 * @return Whether the packet acknowledges the answer of this target.
 */
bool acknowledgesAnswer(const TransitPacket& packet, std::uint32_t targetSequence);

/** Role of a process. */
enum class ProcessRole : std::uint8_t {
    Balancer,
    Agent,
    End,
};

/** Load of a target, as counted by its agent. */
struct LoadReport {
    std::uint32_t busy {}; ///< Requests in progress, and first requests expected on newly opened flows; no transfers.
    std::uint32_t slots {}; ///< Maximum number of requests that the target processes concurrently.
    std::uint32_t flows {}; ///< Open flows of the target.
    std::uint32_t limit {}; ///< Requests in progress up to which the target gains throughput; zero when unknown.
    std::uint32_t serviceTimeUs {}; ///< Mean service time of the target in microseconds; zero when unknown.

    bool operator==(const LoadReport&) const = default;
};

/** Reason for which an agent declines an opening packet. */
enum class DeclineReason : std::uint8_t {
    NoView, ///< The agent has no view yet.
    WrongService, ///< The target belongs to another service.
    NotRegistered, ///< The target is not in the view.
    Draining,
    Evacuated, ///< The failure domain is being evacuated.
    Cold, ///< The target is cold and has reached its warm-up limit.
    Full, ///< More requests are queued than can be answered in time.
    Leaving, ///< The agent is shutting down.
    Returned, ///< The target returned the packet.
    Silent, ///< The target did not answer.
    Faulty, ///< The target reset all of its most recent requests.
    Overloaded, ///< More requests wait than can be answered before their timeouts.
    End,
};

std::string_view nameOf(ProcessRole role);
std::string_view nameOf(DeclineReason reason);

} // namespace hawthorncroft

template <> struct std::hash<hawthorncroft::FlowTuple> {
    std::size_t operator()(const hawthorncroft::FlowTuple& flow) const noexcept { return hawthorncroft::hashOf(flow); }
};
