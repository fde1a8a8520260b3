/**
 * @file balancer_base.h
 * Decisions of a balancer: name resolution, placement of opens, routing of bound packets, and forwarding of replies.
 * Does no I/O: takes packets, configuration and the current time, and returns effects. Keeps no state about flows, only
 * hints about targets, so that any balancer can replace another at any time.
 */
#pragma once

#include "balancer_type.h"
#include "config_base.h"
#include "keyring_type.h"
#include "retry_budget_type.h"
#include "target_hint_type.h"

namespace hawthorncroft {

/** Decision logic of one balancer process. Used by one thread. */
class BalancerCore {
public:
    /**
     * @param options Identity of the process.
     * @param keyring Keys for checking bindings; must outlive this object and is used by the same thread.
     */
    BalancerCore(BalancerOptions options, const Keyring& keyring);

    /**
     * Handles a datagram from the fabric.
     * @param now Current time.
     * @param from The caller's address.
     * @param packet The packet; moved from.
     * @param[out] effects Effects are appended.
     */
    void onCallerPacket(TimePoint now, Endpoint from, Packet& packet, BalancerEffects& effects);

    /**
     * Handles a datagram from an agent. Its trailer must have been verified.
     * @param now Current time.
     * @param from The agent's address.
     * @param packet The packet; moved from.
     * @param[out] effects Effects are appended.
     */
    void onProcessPacket(TimePoint now, Endpoint from, Packet& packet, BalancerEffects& effects);

    /**
     * Detects pauses of the process and removes hints about removed targets. Called every few milliseconds, so that a
     * gap between calls is seen as a pause.
     * @param now Current time.
     * @param[out] effects Effects are appended.
     */
    void onTick(TimePoint now, BalancerEffects& effects);

    /**
     * Applies an accepted configuration document.
     * @param now Current time.
     * @param document The document.
     */
    void applyDocument(TimePoint now, const VersionedDocument& document);

    /**
     * Raises the revision up to which the view is complete.
     * @param revision The revision.
     */
    void setCompleteThrough(Revision revision) { m_view.setCompleteThrough(revision); }

    /**
     * Sets whether the state of the configuration replica allows this balancer to serve.
     * @param state The conditions for serving.
     */
    void setServingState(ServingState state) { m_serving = state; }

    /**
     * Ends a pause: the view was confirmed by a reply to a request that was sent after the pause.
     * @param pause Number of the pause from the ConfirmView effect; ignored unless it is the latest.
     */
    void confirmView(std::uint64_t pause);

    /** Refuses all opens from now on, because the process is shutting down. */
    void beginShutdown() { m_isShuttingDown = true; }

    /** @return Whether opens and bound packets are forwarded. */
    bool isServing() const { return m_serving.isReady && !m_serving.isIsolated && m_confirmedPause == m_pause; }

    /** @return Whether neither the platform nor any peer or agent is reachable. */
    bool isIsolated() const { return m_serving.isIsolated; }

    /**
     * Determines the target to which the first open of a flow would be sent.
     * @param now Current time.
     * @param service The service.
     * @param key The flow.
     * @return The target, or zero when none is eligible.
     */
    TargetId preferredTarget(TimePoint now, ServiceId service, const FlowKey& key) const;

    /**
     * Estimates the load of a target.
     * @param now Current time.
     * @param id The target.
     * @param kind Kind of the flow.
     * @return Used part of the target's limit in 1/1000, or nothing without a recent load report.
     */
    std::optional<std::uint32_t> loadOf(TimePoint now, TargetId id, FlowKind kind) const;

    /**
     * Determines the age of a target's latest load report.
     * @param now Current time.
     * @param id The target.
     * @param kind Kind of the flow.
     * @return Its age; zero when there is no report.
     */
    Duration loadAge(TimePoint now, TargetId id, FlowKind kind) const;

    const ConfigView& view() const { return m_view; }
    const BalancerCounters& counters() const { return m_counters; }

    /** Why a target is or is not eligible for new work. */
    enum class Eligibility : std::uint8_t {
        Eligible,
        Unknown, ///< Not in the configuration.
        Out, ///< Its failure domain or VM is out of service.
        Leaving, ///< The platform lists its VM as leaving.
        Refusing, ///< Its agent reported recently that the target takes no new work.
        Suspected, ///< Recent opens were not answered.
        End,
    };

    /**
     * Determines whether a target is eligible for new work.
     * @param now Current time.
     * @param id The target.
     * @return Why it is or is not eligible.
     */
    Eligibility eligibilityOf(TimePoint now, TargetId id) const;

private:
    /** Result of choosing a target for an open. */
    struct Choice {
        const TargetConfig* target {}; ///< Null when no target can take the open.
        TimePoint busyUntil; ///< Earliest end of the running retry-after times, when that is why there is no target.
    };

    using Handler = void (BalancerCore::*)(TimePoint, Endpoint, Packet&, BalancerEffects&);
    static const std::array<Handler, static_cast<std::size_t>(PacketKind::End)> callerHandlers;
    static const std::array<Handler, static_cast<std::size_t>(PacketKind::End)> processHandlers;

    void handleOpen(TimePoint now, Endpoint from, Packet& packet, BalancerEffects& effects);
    void handleBound(TimePoint now, Endpoint from, Packet& packet, BalancerEffects& effects);
    void handleQuery(TimePoint now, Endpoint from, Packet& packet, BalancerEffects& effects);
    void handleReply(TimePoint now, Endpoint from, Packet& packet, BalancerEffects& effects);
    void handleHint(TimePoint now, Endpoint from, Packet& packet, BalancerEffects& effects);
    void handleBadKind(TimePoint now, Endpoint from, Packet& packet, BalancerEffects& effects);

    void recordHint(TimePoint now, const Packet& packet);
    void resolveBound(Packet& packet) const;
    void detectPause(TimePoint now, BalancerEffects& effects);
    bool admitOpen(TimePoint now, Endpoint from, const Packet& packet, BalancerEffects& effects);
    void place(TimePoint now, const Resolution& resolution, Packet& packet, BalancerEffects& effects);
    Choice choose(TimePoint now, ServiceId service, const Packet& open) const;
    const TargetConfig* lessLoaded(
        TimePoint now, const TargetConfig* first, const TargetConfig* second, FlowKind kind) const;
    void forward(Endpoint to, Packet& packet, BalancerEffects& effects);
    void refuse(Endpoint to, const Packet& packet, Outcome outcome, BalancerEffects& effects);

    /** A failure domain or VM that is out of service. */
    struct OutOfService {
        TimePoint since; ///< When this balancer learned that it is out of service.
        Revision revision; ///< Revision of the latest configuration that lists it as out of service.
    };

    void updateOutOfService(TimePoint now, Revision revision, const OperationsDocument& operations);
    bool isOutBeyondGrace(TimePoint now, const TargetConfig& target, const Binding& binding) const;
    void count(BalancerCounter counter) { ++m_counters[static_cast<std::size_t>(counter)]; }

    BalancerOptions m_options;
    const Keyring& m_keyring;
    ConfigView m_view;
    ServingState m_serving;
    TargetHints m_hints;
    RetryBudget m_retryBudget;
    OpenHealth m_openHealth;
    std::unordered_map<std::string, OutOfService> m_outOfService; ///< Key: name of the failure domain or VM.
    TimePoint m_hintsPrunedAt;
    TimePoint m_lastEvent;
    TimePoint m_lastContactEffect;
    std::uint64_t m_pause {}; ///< Number of the latest pause; zero before the first.
    std::uint64_t m_confirmedPause {}; ///< Number of the latest pause after which the view was confirmed.
    bool m_isShuttingDown {};
    BalancerCounters m_counters {};
};

std::string_view nameOf(BalancerCore::Eligibility eligibility);

} // namespace hawthorncroft
