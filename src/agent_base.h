/**
 * @file agent_base.h
 * The agent beside a target: admission, at-most-once execution, answers, feeds, uploads, relay, drain and shutdown.
 * A state machine without I/O: its inputs are events with the current time, its output is a list of effects.
 *
 * Verdicts of a refused Execute or Close (of an upload) depend on what the agent can prove:
 *
 * - The record is in state Reserved, or is an upload that was not committed, and a check fails: "did not run". The
 *   tombstone is written before the reply.
 * - The record is a tombstone: "did not run", for its latest and all earlier reservations.
 * - The reservation expired and the packet arrives within the record margin: "did not run", because the record shows
 *   that the request never started.
 * - The request waits for a slot when its deadline passes, it is cancelled, or the target is taken out of service or
 *   restarts: "did not run", tombstone first.
 * - The request is at the target when the target fails or restarts, or when the agent gives it up: "may have run".
 * - The target shed or refused the request, or the request was never sent: "did not run", tombstone first.
 * - The binding was issued by this agent process, but there is no record of its reservation: "may have run". Records
 *   outlive unexpired bindings, so the record was removed after its margin, or lost in a hand-over.
 * - The binding was issued by another agent process or for another target, or its MAC is wrong: "may have run", because
 *   the issuer may have more information.
 */
#pragma once

#include "admission_base.h"
#include "agent_type.h"
#include "config_base.h"
#include "dedup_base.h"
#include "keyring_type.h"

#include <span>
#include <utility>

namespace hawthorncroft {

/** State machine of one agent. Single-threaded. */
class AgentCore {
public:
    /**
     * Creates an agent that serves after confirm() and the first onTargetHealth().
     * @param settings Settings of the agent.
     * @param seeds Random numbers.
     * @param keyring Keys from the settings; updated from the `keys` document. Must outlive the core.
     * @param effects Receives the effects; must outlive the core.
     */
    AgentCore(AgentSettings settings, AgentSeeds seeds, Keyring& keyring, AgentEffects& effects);

    /**
     * Handles a packet from another process.
     * @param now Current time.
     * @param from Balancer or agent that sent the packet.
     * @param packet Decoded packet whose trailer was verified.
     */
    void onPacket(TimePoint now, Endpoint from, Packet packet);

    /** Runs the timers. Must be called several times a second; an interval above one second counts as a pause. */
    void onTick(TimePoint now);

    /**
     * Handles the target's answer to a request or commit.
     * @param now Current time.
     * @param key The flow.
     * @param request Request id from the effect.
     * @param payload The answer, at most `maxAnswerBytes` (for a commit `maxPayloadBytes`). A longer one is dropped,
     * and the caller gets the verdict "done" with the reason "too large".
     */
    void onTargetAnswer(TimePoint now, const FlowKey& key, ReservationId request, std::vector<std::uint8_t> payload);

    /** Handles a request or commit that failed at the target or could not be sent. */
    void onTargetFailed(TimePoint now, const FlowKey& key, ReservationId request, TargetFailure failure);

    /** Handles the target's acceptance of a feed. */
    void onTargetFeedOpened(TimePoint now, const FlowKey& key);

    /** Handles the next event of a feed. An event above `maxPayloadBytes` ends the feed. */
    void onTargetEvent(TimePoint now, const FlowKey& key, std::vector<std::uint8_t> payload);

    /** Handles the end of a feed by the target or by a failure of its connection (`hasFailed`). */
    void onTargetFeedEnded(TimePoint now, const FlowKey& key, bool hasFailed);

    /** Handles the result of storing a chunk. The caller retransmits a chunk that is not acknowledged. */
    void onChunkStored(TimePoint now, const FlowKey& key, std::uint32_t sequence, bool isStored);

    /**
     * Handles a health report of the target.
     * @param now Current time.
     * @param state Cold, Warm, Draining, or Down if the target does not answer.
     * @param load Load reported by the target, in 1/1000. Only shown to operators, because such reports are late and
     * misleading.
     * @param incarnation Incarnation of the target process; ignored if the state is Down.
     */
    void onTargetHealth(TimePoint now, TargetState state, std::uint16_t load, Incarnation incarnation);

    /**
     * Applies changes of the configuration.
     * @param now Current time.
     * @param documents Accepted documents, in any order.
     * @param completeThrough Revision up to which the configuration is complete after these documents.
     */
    void onConfiguration(TimePoint now, std::span<const VersionedDocument> documents, Revision completeThrough);

    /** Reports that the replica has confirmed the configuration since the start or the last pause. */
    void confirm(TimePoint now);

    /** Marks the configuration as unconfirmed. Nothing is sent, accepted or started until confirm(). */
    void suspend() { m_isConfirmed = false; }

    /**
     * Begins a graceful shutdown: new Opens are not accepted, running requests finish and their answers are delivered.
     * @param now Current time.
     * @param waitForStreams Whether to wait for open feeds and uploads as well. False if another agent process takes
     * over the target, because that process adopts them.
     */
    void beginShutdown(TimePoint now, bool waitForStreams);

    /** @return Whether no flow is left for which a shutdown has to wait. */
    bool isIdle() const;

    /** @return The state of the target as reported in replies. */
    TargetState targetState() const;

    /** @return The target that this agent serves. */
    TargetId target() const { return m_settings.target; }

    /** @return The service of the target. */
    ServiceId service() const;

    /** @return Whether the configuration is confirmed. */
    bool isConfirmed() const { return m_isConfirmed; }

    /** @return Load reported last by the target, in 1/1000. */
    std::uint16_t reportedLoad() const { return m_reportedLoad; }

    const ConfigView& view() const { return m_view; }
    const Admission& admission() const { return m_admission; }
    const RecordTable& records() const { return m_records; }

    /** @return Value of a counter since start. */
    std::uint64_t counter(AgentCounter counter) const { return m_counters[static_cast<std::size_t>(counter)]; }

private:
    using Handler = void (AgentCore::*)(TimePoint, Endpoint, Packet&);
    using TimerHandler = void (AgentCore::*)(TimePoint, FlowRecord&);

    struct KnownBalancer {
        Endpoint endpoint;
        TimePoint lastHeardAt;
    };

    // Handlers of packets, by kind. In agent_core.cpp, agent_open_cmd.cpp, agent_request_cmd.cpp, agent_event_cmd.cpp
    // and agent_stream_cmd.cpp.
    void onOpen(TimePoint now, Endpoint from, Packet& packet);
    void onExecute(TimePoint now, Endpoint from, Packet& packet);
    void onAnswerAck(TimePoint now, Endpoint from, Packet& packet);
    void onCancel(TimePoint now, Endpoint from, Packet& packet);
    void onQuery(TimePoint now, Endpoint from, Packet& packet);
    void onData(TimePoint now, Endpoint from, Packet& packet);
    void onEventAck(TimePoint now, Endpoint from, Packet& packet);
    void onKeepAlive(TimePoint now, Endpoint from, Packet& packet);
    void onClose(TimePoint now, Endpoint from, Packet& packet);
    void onRelayedReply(TimePoint now, Endpoint from, Packet& packet);
    void onOther(TimePoint now, Endpoint from, Packet& packet);

    // Opens.
    Reason openFault(const Packet& packet) const;
    Reason reserve(TimePoint now, Endpoint from, const Packet& packet);
    bool answerDuplicateOpen(TimePoint now, Endpoint from, const Packet& packet);
    bool relay(TimePoint now, Endpoint from, const Packet& packet, Reason reason);
    void sendHint(TimePoint now, Endpoint from, const Packet& packet, Reason reason);
    std::uint32_t retryAfterMs(const Packet& packet, Reason reason) const;
    void refuseOutOfService(TimePoint now, Endpoint from, const Packet& packet);
    const TargetConfig* nextRank(const Packet& packet) const;
    void refuseOpen(TimePoint now, Endpoint from, const Packet& packet, Reason reason);
    void sendOpened(TimePoint now, FlowRecord& record, std::uint64_t nonce);

    // Packets with a binding.
    Reason bindingFault(const Packet& packet) const;
    Reason startFault(TimePoint now, const FlowRecord& record, const Packet& packet) const;
    FlowRecord* boundRecord(TimePoint now, Endpoint from, const Packet& packet);
    FlowRecord* queriedRecord(TimePoint now, Endpoint from, const Packet& packet);
    FlowRecord* acknowledgedRecord(TimePoint now, Endpoint from, const Packet& packet);
    bool isEarlierReservation(const FlowRecord& record, const Packet& packet) const;
    void refuseBound(TimePoint now, Endpoint from, const Packet& packet, Outcome outcome);
    void updateReturnPath(TimePoint now, FlowRecord& record, Endpoint from, const Packet& packet);

    // Requests and commits.
    void queueRequest(TimePoint now, FlowRecord& record, Packet& packet);
    void startQueued(TimePoint now);
    Reason finalStartFault(TimePoint now, const FlowRecord& record) const;
    void start(TimePoint now, FlowRecord& record);
    void compactQueue();
    FlowRecord* reportedRecord(const FlowKey& key, ReservationId request);
    void endRunning(TimePoint now, FlowRecord& record, TargetFailure failure);

    // Outcomes.
    void refuseFlow(TimePoint now, FlowRecord& record, Reason reason);
    void giveUp(TimePoint now, FlowRecord& record, Reason reason);
    void finish(TimePoint now, FlowRecord& record, Outcome outcome);
    void reportEnd(TimePoint now, const FlowRecord& record, Outcome outcome);
    void answer(TimePoint now, FlowRecord& record, Outcome outcome, std::vector<std::uint8_t> payload);
    void releaseCapacity(FlowRecord& record);
    void onAnswerAcknowledged(FlowRecord& record);
    void resendOutcome(TimePoint now, FlowRecord& record, Endpoint to, const Packet* cause = nullptr);
    void sendAnswer(TimePoint now, FlowRecord& record, Endpoint to);

    // Feeds and uploads.
    FlowRecord* findOrAdoptStream(TimePoint now, Endpoint from, const Packet& packet);
    FlowRecord* adopt(TimePoint now, Endpoint from, const Packet& packet);
    Reason adoptionFault(TimePoint now, const Packet& packet) const;
    void activate(TimePoint now, FlowRecord& record, std::uint32_t after, const Packet& packet);
    void renew(TimePoint now, FlowRecord& record);
    void endStream(TimePoint now, FlowRecord& record, Reason reason);
    void closeAtTarget(const FlowRecord& record);
    void queueEvent(TimePoint now, FlowRecord& record, std::vector<std::uint8_t> payload);
    bool makeRoomForEvent(TimePoint now, FlowRecord& record);
    void sendEvent(TimePoint now, FlowRecord& record, const UnackedEvent& event, Endpoint to);
    void resumeIfDrained(FlowRecord& record);
    void releaseIdleBuffers(FlowRecord& record);
    void deliverEnd(TimePoint now, FlowRecord& record);
    bool hasLapsed(TimePoint now, const FlowRecord& record) const;

    // Handlers of timers, by state of the flow. In agent_timer_cmd.cpp.
    void onReservedTimer(TimePoint now, FlowRecord& record);
    void onActiveTimer(TimePoint now, FlowRecord& record);
    void onQueuedTimer(TimePoint now, FlowRecord& record);
    void onRunningTimer(TimePoint now, FlowRecord& record);
    void onAnsweringTimer(TimePoint now, FlowRecord& record);
    void onFinishedTimer(TimePoint now, FlowRecord& record);
    void scheduleStream(TimePoint now, FlowRecord& record);
    void scheduleResend(TimePoint now, FlowRecord& record);
    Duration resendInterval(const FlowRecord& record) const;

    // Configuration and target.
    void applyConfiguration(TimePoint now);
    void applyKeys();
    void leaveService(TimePoint now);
    void giveUpRunning(TimePoint now);
    void onTargetRestarted(TimePoint now);
    const TargetConfig* configured() const { return m_view.target(m_settings.target); }
    bool isDraining() const;
    bool serves(const Packet& packet) const;
    ServiceId intendedService(const Packet& packet) const;

    // Replies.
    void recordBalancer(TimePoint now, Endpoint from);
    Endpoint anotherBalancer(TimePoint now, Endpoint avoided);
    Packet replyFrom(TimePoint now, PacketKind kind, FlowKind flowKind, const FlowKey& key) const;
    Packet replyTo(TimePoint now, const FlowRecord& record, PacketKind kind) const;
    Packet replyTo(TimePoint now, const Packet& packet, PacketKind kind) const;
    Binding bindingOf(const FlowRecord& record) const;
    void send(Endpoint to, Packet packet);
    void detectPause(TimePoint now);
    void count(AgentCounter counter, std::uint64_t n = 1) { m_counters[static_cast<std::size_t>(counter)] += n; }

    static const std::array<Handler, static_cast<std::size_t>(PacketKind::End)> handlers;
    static const std::array<TimerHandler, static_cast<std::size_t>(FlowState::End)> timerHandlers;

    AgentSettings m_settings;
    AgentSeeds m_seeds;
    Keyring& m_keyring;
    AgentEffects& m_effects;
    ConfigView m_view;
    Admission m_admission;
    RecordTable m_records;
    std::deque<FlowKey> m_queue; ///< Flows that wait for a slot. Entries that are no longer queued are skipped.
    std::vector<KnownBalancer> m_knownBalancers; ///< At most `maxKnownBalancers`.
    std::size_t m_nextBalancer {};
    std::uint64_t m_lastReservation {};
    Incarnation m_targetIncarnation; ///< Zero until the first health report of a target that is up.
    TargetState m_health { TargetState::Unknown }; ///< State in the target's last health report.
    std::uint16_t m_reportedLoad {};
    bool m_isConfirmed {};
    bool m_isOutOfService {}; ///< The target's failure domain or VM is out of service.
    TimePoint m_giveUpAt; ///< Time at which running requests of a target out of service are given up; zero if unset.
    bool m_wasConfigured {}; ///< The configuration contained the target at least once.
    bool m_isShuttingDown {};
    bool m_waitsForStreams {};
    TimePoint m_lastTick;
    TimePoint m_confirmedAt;
    std::array<std::uint64_t, static_cast<std::size_t>(AgentCounter::End)> m_counters {};
};

} // namespace hawthorncroft
