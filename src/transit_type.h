/**
 * @file transit_type.h
 * Transparent flows: flows of callers that use no library of ours. A flow is known by the addresses and ports of its
 * two ends, and its packets are forwarded unchanged.
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

/** Identity of a transparent flow: the caller's end, and the address that the caller knows the service by. */
struct FlowTuple {
    Endpoint caller;
    Endpoint service;

    constexpr auto operator<=>(const FlowTuple&) const = default;
};

/** @return Hash of a flow that is the same in every process. */
constexpr std::uint64_t hashOf(const FlowTuple& flow)
{
    return mix64((static_cast<std::uint64_t>(flow.caller.address) << 16) | flow.caller.port,
        (static_cast<std::uint64_t>(flow.service.address) << 16) | flow.service.port);
}

/** Control bits of a packet. */
struct PacketFlags {
    bool isOpening {}; ///< First packet of an end, or a copy of it.
    bool hasAcknowledgement {};
    bool isFinal {}; ///< The sender sends nothing after this packet.
    bool isReset {};
    bool isReturned {}; ///< The target did not take the packet and returned it.

    /** @return Whether a caller asks for a flow; a target's answer acknowledges as well. */
    bool asksForFlow() const { return isOpening && !hasAcknowledgement; }
};

/** One packet of a transparent flow, decoded once; `bytes` is what is forwarded. */
struct TransitPacket {
    FlowTuple flow;
    PacketFlags flags;
    std::uint32_t sequence {};
    std::uint32_t acknowledged {};
    std::uint32_t tag {}; ///< Set by an agent on the way to its target, which returns it in a packet it does not take.
    std::uint16_t dataSize {}; ///< Bytes of the flow in this packet.
    std::string requestId; ///< Request that starts in this packet; empty when none is recognised. For logs only.
    std::vector<std::uint8_t> bytes;
};

/**
 * Finds out which of several targets that answered an opening packet a caller chose. Sequence numbers of targets are
 * random, so that only a small distance means this target.
 * @param packet The caller's first packet after its opening packet.
 * @param targetSequence First sequence number of a target.
 * @return Whether the packet acknowledges that target's answer.
 */
bool acknowledgesAnswer(const TransitPacket& packet, std::uint32_t targetSequence);

/** Role of a process. */
enum class ProcessRole : std::uint8_t {
    Balancer,
    Agent,
    End,
};

/** What an agent knows about the load of its target. */
struct LoadReport {
    std::uint32_t busy {}; ///< Requests under way or expected on flows that just opened.
    std::uint32_t slots {}; ///< Requests that the target processes at the same time.
    std::uint32_t flows {}; ///< Flows that the target holds.

    bool operator==(const LoadReport&) const = default;
};

/** Why an agent does not take an opening packet. */
enum class DeclineReason : std::uint8_t {
    NoView, ///< The agent does not know yet what it may take.
    WrongService, ///< The target runs another service.
    NotRegistered, ///< The target is not in the list of targets.
    Draining,
    Evacuated, ///< The failure domain is to get nothing.
    Cold, ///< The target just started and has got what it can bear.
    Full, ///< More requests wait than can be answered in time.
    Leaving, ///< The agent is about to end.
    Returned, ///< The target returned the packet.
    Silent, ///< The target did not answer.
    Faulty, ///< The target reset all of its last requests.
    End,
};

std::string_view nameOf(ProcessRole role);
std::string_view nameOf(DeclineReason reason);

} // namespace hawthorncroft

template <> struct std::hash<hawthorncroft::FlowTuple> {
    std::size_t operator()(const hawthorncroft::FlowTuple& flow) const noexcept { return hawthorncroft::hashOf(flow); }
};
