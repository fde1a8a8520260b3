/**
 * @file target_hint_type.h
 * What a balancer believes about a target from the replies that pass through it. Hints only: a wrong one costs a relay.
 */
#pragma once

#include "packet_type.h"

#include <array>
#include <optional>
#include <unordered_map>

namespace hawthorncroft {

/** Belief about one target. */
class TargetHint {
public:
    /**
     * Notes that an open was sent to the target.
     * @param now Current time.
     * @param kind Kind of the flow.
     */
    void recordOpenSent(TimePoint now, FlowKind kind);

    /**
     * Notes a reply of the target's agent.
     * @param now Current time.
     * @param reply The reply; its state, load and retry-after are used.
     */
    void recordReply(TimePoint now, const Packet& reply);

    /** @return Whether the target leaves opens unanswered and no probe is due. */
    bool isSuspected(TimePoint now) const;

    /** @return Whether the target's agent said recently that it takes no new work. */
    bool refusesWork(TimePoint now) const;

    /** @return When the target asked to be left alone until; in the past when it did not. */
    TimePoint busyUntil() const { return m_busyUntil; }

    /**
     * Estimates the use of the target's limit for flows of a kind, in 1/1000.
     * @param now Current time.
     * @param kind Kind of the flow.
     * @param weight Slots or connections that one open is a part of.
     * @return The estimate, or nothing when there is no fresh report.
     */
    std::optional<std::uint32_t> estimatedLoad(TimePoint now, FlowKind kind, std::uint32_t weight) const;

    /** @return When the last load report for flows of the kind arrived; zero when there was none. */
    TimePoint loadReportedAt(FlowKind kind) const { return m_loads[static_cast<std::size_t>(kind)].at; }

private:
    /** @return Whether several opens in a row were left unanswered for long. */
    bool isUnresponsive(TimePoint now) const;

    struct LoadReport {
        std::uint16_t load {}; ///< Use of the limit in 1/1000.
        std::uint32_t opensSince {}; ///< Opens sent after the report.
        TimePoint at; ///< Receipt of the report.
    };

    std::array<LoadReport, static_cast<std::size_t>(FlowKind::End)> m_loads {};
    TargetState m_state { TargetState::Unknown };
    TimePoint m_stateAt;
    TimePoint m_busyUntil;
    TimePoint m_firstUnanswered; ///< When the first open since the last reply was sent.
    std::uint32_t m_unanswered {}; ///< Opens since the last reply.
    TimePoint m_probeAt; ///< When a silent target may be probed again; zero before the first probe.
    Duration m_probeDelay; ///< Wait after the latest probe.
};

/** Beliefs about all targets that a balancer used. */
using TargetHints = std::unordered_map<TargetId, TargetHint>;

} // namespace hawthorncroft
