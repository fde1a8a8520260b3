/**
 * @file balancer_base.h
 * Decisions of a balancer: name resolution, placement of opens, routing of bound packets, and return of answers.
 * Pure: packets and configuration come in with the current time, effects go out. It keeps hints only, so any
 * balancer can be replaced at any moment.
 */
#pragma once

#include "balancer_type.h"
#include "config_base.h"
#include "keyring_type.h"
#include "retry_budget_type.h"
#include "target_hint_type.h"

namespace hawthorncroft {

/** One balancer. */
class BalancerCore {
public:
    /**
     * @param options Identity of the process.
     * @param keyring Keys for checking bindings; owned by the caller and used by the same thread.
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
     * Handles a datagram from an agent, whose trailer was checked.
     * @param now Current time.
     * @param from The agent's address.
     * @param packet The packet; moved from.
     * @param[out] effects Effects are appended.
     */
    void onProcessPacket(TimePoint now, Endpoint from, Packet& packet, BalancerEffects& effects);

    /**
     * Notices pauses and forgets hints about removed targets. Called every few milliseconds.
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
     * Tells whether the configuration replica allows this balancer to serve.
     * @param state State of the replica.
     */
    void setServingState(ServingState state) { m_serving = state; }

    /**
     * Ends a pause: a reply to a question asked after it confirmed the view.
     * @param pause Number of the pause; an older number than the latest is ignored.
     */
    void confirmView(std::uint64_t pause);

    /** Refuses new opens from now on, because the process is about to end. */
    void beginShutdown() { m_isShuttingDown = true; }

    /** @return Whether packets are forwarded. */
    bool isServing() const { return m_serving.isReady && !m_serving.isIsolated && m_confirmedPause == m_pause; }

    /** @return Whether there is no contact to any peer, agent or the platform. */
    bool isIsolated() const { return m_serving.isIsolated; }

    /**
     * Tells where the next open of a flow would go.
     * @param now Current time.
     * @param service The service.
     * @param key The flow.
     * @return The target, or zero when none is eligible.
     */
    TargetId preferredTarget(TimePoint now, ServiceId service, const FlowKey& key) const;

    /**
     * Estimates the use of a target's limit.
     * @param now Current time.
     * @param id The target.
     * @param kind Kind of the flow.
     * @return Use in 1/1000, or nothing without a fresh report.
     */
    std::optional<std::uint32_t> loadOf(TimePoint now, TargetId id, FlowKind kind) const;

    /**
     * Tells how old a target's load report is.
     * @param now Current time.
     * @param id The target.
     * @param kind Kind of the flow.
     * @return Its age; zero when there was none.
     */
    Duration loadAge(TimePoint now, TargetId id, FlowKind kind) const;

    const ConfigView& view() const { return m_view; }
    const BalancerCounters& counters() const { return m_counters; }

    /** Why a target is or is not eligible for new work. */
    enum class Eligibility : std::uint8_t {
        Eligible,
        Unknown, ///< Not in the configuration.
        Out, ///< Failure domain or VM taken out.
        Leaving, ///< The platform's list says that its VM is leaving.
        Refusing, ///< Its agent said recently that it takes no new work.
        Suspected, ///< It leaves opens unanswered.
        End,
    };

    /**
     * Judges a target for new work.
     * @param now Current time.
     * @param id The target.
     * @return Why it is or is not eligible.
     */
    Eligibility eligibilityOf(TimePoint now, TargetId id) const;

private:
    struct Choice {
        const TargetConfig* target {}; ///< Null when there is none.
        TimePoint busyUntil; ///< Earliest end of a target's request to be left alone, when all asked for it.
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
    /** A failure domain or VM that is taken out. */
    struct OutOfService {
        TimePoint since; ///< When this balancer learned of it.
        Revision revision; ///< Latest configuration that says so.
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
    std::unordered_map<std::string, OutOfService> m_outOfService; ///< By name of the failure domain or VM.
    TimePoint m_hintsPrunedAt;
    TimePoint m_lastEvent;
    TimePoint m_lastContactEffect;
    std::uint64_t m_pause {}; ///< Number of pauses so far.
    std::uint64_t m_confirmedPause {}; ///< Latest pause after which the view was confirmed.
    bool m_isShuttingDown {};
    BalancerCounters m_counters {};
};

std::string_view nameOf(BalancerCore::Eligibility eligibility);

} // namespace hawthorncroft
