/**
 * @file balancer_type.h
 * Options, effects and counters of a balancer.
 */
#pragma once

#include "effect_type.h"

#include <array>
#include <variant>
#include <vector>

namespace hawthorncroft {

/** What a balancer is told at its start. */
struct BalancerOptions {
    NodeId node; ///< Random number of this process.
    Endpoint data; ///< Where agents reply to.
};

/** A caller used a name that leads to no service. */
struct UnknownNameSeen {
    std::string name;
};

/** The process was paused; its view must be confirmed before it forwards again. */
struct ConfirmView {
    std::uint64_t pause {}; ///< Number of the pause, repeated in BalancerCore::confirmView.
};

/** A process holds a newer configuration, or its contact confirms that this balancer is not cut off. */
struct ContactSeen {
    Endpoint from; ///< Datagram endpoint of the process.
    Revision revision; ///< Revision that it holds.
};

using BalancerEffect = std::variant<SendToProcess, SendToCaller, UnknownNameSeen, ConfirmView, ContactSeen>;
using BalancerEffects = std::vector<BalancerEffect>;

/** Events that a balancer counts. */
enum class BalancerCounter : std::uint8_t {
    OpensPlaced, ///< Opens sent to a target's agent.
    BoundForwarded, ///< Packets routed by their binding.
    RepliesForwarded, ///< Packets of agents sent to their callers.
    UnknownNames, ///< Opens refused because of their name.
    NoTargets, ///< Opens refused because no target was eligible.
    EarlyRefusals, ///< Opens refused because all targets asked to be left alone.
    RetriesRefused, ///< Opens refused because the retry budget was spent.
    NotServing, ///< Packets refused or dropped without a confirmed view.
    BadBindings, ///< Packets dropped because their binding is not authentic.
    OutOfService, ///< Bound packets refused because their target is taken out.
    BadKinds, ///< Packets dropped because their sender may not send that kind.
    Pauses, ///< Pauses of this process.
    End,
};

std::string_view nameOf(BalancerCounter counter);

using BalancerCounters = std::array<std::uint64_t, static_cast<std::size_t>(BalancerCounter::End)>;

/** Whether a balancer may serve, as the owner of the configuration replica sees it. */
struct ServingState {
    bool isReady {}; ///< The view was confirmed after the start.
    bool isIsolated {}; ///< There is no contact to any peer, agent or the platform.
};

} // namespace hawthorncroft
