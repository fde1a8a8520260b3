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

/** Start parameters of a balancer. */
struct BalancerOptions {
    NodeId node; ///< Random ID of this process.
    Endpoint data; ///< Datagram endpoint to which agents reply.
};

/** An open was refused because its name resolves to no service. */
struct UnknownNameSeen {
    std::string name; ///< As the caller spelled it.
};

/** The process was paused: the configuration view must be confirmed before packets are forwarded again. */
struct ConfirmView {
    std::uint64_t pause {}; ///< Number of the pause, to be passed to BalancerCore::confirmView.
};

/**
 * A datagram arrived from an agent. Emitted when the agent holds a newer configuration, and otherwise at most once per
 * `contactInterval` as evidence that this balancer is not isolated.
 */
struct ContactSeen {
    Endpoint from; ///< Datagram endpoint of the agent.
    Revision revision; ///< Configuration revision that the agent holds.
};

using BalancerEffect = std::variant<SendToProcess, SendToCaller, UnknownNameSeen, ConfirmView, ContactSeen>;
using BalancerEffects = std::vector<BalancerEffect>;

/** Event counters of a balancer. */
enum class BalancerCounter : std::uint8_t {
    OpensPlaced, ///< Opens forwarded to the agent of a chosen target.
    BoundForwarded, ///< Packets forwarded to the agent named by their binding.
    RepliesForwarded, ///< Packets of agents forwarded to callers.
    UnknownNames, ///< Opens refused because their name resolves to no service.
    NoTargets, ///< Opens refused because no target was eligible.
    EarlyRefusals, ///< Opens refused because the retry-after of every eligible target is still running.
    RetriesRefused, ///< Opens refused because the retry budget was exhausted.
    NotServing, ///< Packets refused or dropped because the view is not confirmed or the balancer is isolated.
    BadBindings, ///< Packets dropped because their binding is missing or not authentic.
    OutOfService, ///< Bound packets refused because their target is out of service.
    BadKinds, ///< Packets dropped because their sender is not allowed to send that kind.
    Pauses, ///< Detected pauses of this process.
    End,
};

std::string_view nameOf(BalancerCounter counter);

using BalancerCounters = std::array<std::uint64_t, static_cast<std::size_t>(BalancerCounter::End)>;

/** Conditions for serving, determined by the configuration thread, which owns the configuration replica. */
struct ServingState {
    bool isReady {}; ///< The view was confirmed since the process started.
    bool isIsolated {}; ///< Neither the platform nor any peer or agent is reachable.
};

} // namespace hawthorncroft
