/**
 * @file target_hint_type.h
 * State of a target as a balancer infers it from the replies that pass through it. These are only hints: a wrong one
 * costs a relay.
 */
#pragma once

#include "packet_type.h"

#include <array>
#include <optional>
#include <unordered_map>

namespace hawthorncroft {

/** Hint about one target. */
class TargetHint {
public:
    /**
     * Records that an open was sent to the target.
     * @param now Current time.
     * @param kind Kind of the flow.
     */
    void recordOpenSent(TimePoint now, FlowKind kind);

    /**
     * Records a reply of the target's agent.
     * @param now Current time.
     * @param reply The reply. Its target state, load, kind and outcome are used.
     */
    void recordReply(TimePoint now, const Packet& reply);

    /** @return Whether the target is unresponsive and no probe is due. */
    bool isSuspected(TimePoint now) const;

    /** @return Whether the target's agent has recently reported a state in which it accepts no new work. */
    bool refusesWork(TimePoint now) const;

    /** @return End of the target's latest retry-after; in the past or zero if the target is not at its limit. */
    TimePoint busyUntil() const { return m_busyUntil; }

    /**
     * Estimates the utilization of the target's limit for flows of a kind, in 1/1000.
     * @param now Current time.
     * @param kind Kind of the flow.
     * @param weight Capacity of the target in slots or connections; one open uses one of them.
     * @return The estimate, or nothing if there is no recent load report.
     */
    std::optional<std::uint32_t> estimatedLoad(TimePoint now, FlowKind kind, std::uint32_t weight) const;

    /** @return Time of receipt of the last load report for flows of the kind; zero if there was none. */
    TimePoint loadReportedAt(FlowKind kind) const { return m_loads[static_cast<std::size_t>(kind)].at; }

private:
    /** @return Whether several consecutive opens are unanswered, the first of them for longer than the timeout. */
    bool isUnresponsive(TimePoint now) const;

    struct LoadReport {
        std::uint16_t load {}; ///< Utilization of the limit in 1/1000.
        std::uint32_t opensSince {}; ///< Opens sent after the report.
        TimePoint at; ///< Time of receipt; zero if there was no report.
    };

    std::array<LoadReport, static_cast<std::size_t>(FlowKind::End)> m_loads {};
    TargetState m_state { TargetState::Unknown };
    TimePoint m_stateAt; ///< Time of receipt of m_state.
    TimePoint m_busyUntil; ///< End of the latest retry-after.
    TimePoint m_firstUnanswered; ///< When the first open after the last reply was sent.
    std::uint32_t m_unanswered {}; ///< Opens sent after the last reply.
    TimePoint m_probeAt; ///< When an unresponsive target may be probed again; zero before the first probe.
    Duration m_probeDelay; ///< Delay after the latest probe.
};

/** Hints about all targets that a balancer has used. */
using TargetHints = std::unordered_map<TargetId, TargetHint>;

} // namespace hawthorncroft
