/**
 * @file agent_base.h
 * The agent beside a target: admission, at-most-once execution, answers, feeds, uploads, relay, drain and shutdown.
 * A pure state machine: events with a time go in, effects are appended to a list that the caller owns.
 *
 * Verdicts of a refused Execute or Close (of an upload), by what the agent can prove:
 *
 * | situation | verdict |
 * | --- | --- |
 * | record in state Reserved (or an upload not committed) that fails a check | did not run; a tombstone is written
 * first | | record is a tombstone | did not run, for this and every earlier reservation of the record | | reservation
 * lapsed, copy arrives within the margin | did not run: the record shows that it never started | | waiting for a slot
 * when the deadline, a cancellation or an outage comes | did not run; tombstone first | | at the target when it fails,
 * restarts or is given up | may have run | | refused by the target as shed, or never sent | did not run; tombstone
 * first | | binding of this agent process, no record of its reservation | may have run: records outlive unexpired
 * bindings, so the record was removed after its margin, or lost in a hand-over | | binding of another agent process,
 * another target, or a wrong MAC | may have run: the issuer may know more |
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
     * Starts unconfirmed and with an unknown target; serves after confirm() and a first onTargetHealth().
     * @param settings Who the agent is.
     * @param seeds Random numbers.
     * @param keyring Keys from the settings; must outlive the core, which follows the `keys` document with it.
     * @param effects Receives the effects; must outlive the core.
     */
    AgentCore(AgentSettings settings, AgentSeeds seeds, Keyring& keyring, AgentEffects& effects);

    /**
     * A packet arrived from another process.
     * @param now The time.
     * @param from The balancer or agent that sent it.
     * @param packet The packet, decoded and with its trailer checked.
     */
    void onPacket(TimePoint now, Endpoint from, Packet packet);

    /** Time passed. Expected several times a second; a gap above one second counts as a pause. */
    void onTick(TimePoint now);

    /**
     * The target answered a request or commit.
     * @param now The time.
     * @param key The flow.
     * @param request Request id from the effect.
     * @param payload The answer, at most `maxAnswerBytes` (for a commit `maxPayloadBytes`); a longer one is reported
     * as done but too large.
     */
    void onTargetAnswer(TimePoint now, const FlowKey& key, ReservationId request, std::vector<std::uint8_t> payload);

    /** The target did not answer a request or commit, or it could not be sent. */
    void onTargetFailed(TimePoint now, const FlowKey& key, ReservationId request, TargetFailure failure);

    /** The target accepted a feed. */
    void onTargetFeedOpened(TimePoint now, const FlowKey& key);

    /** The target sent the next event of a feed, at most `maxPayloadBytes`. */
    void onTargetEvent(TimePoint now, const FlowKey& key, std::vector<std::uint8_t> payload);

    /** The target ended a feed, by itself or because its connection failed. */
    void onTargetFeedEnded(TimePoint now, const FlowKey& key, bool hasFailed);

    /** The target stored a chunk, or did not; the caller repeats a chunk that is not acknowledged. */
    void onChunkStored(TimePoint now, const FlowKey& key, std::uint32_t sequence, bool isStored);

    /**
     * The target's health was read.
     * @param now The time.
     * @param state Cold, Warm, Draining, or Down when the target does not answer.
     * @param load As the target reports it, in 1/1000. Shown to operators only: such reports lag and mislead.
     * @param incarnation The target process; ignored when Down.
     */
    void onTargetHealth(TimePoint now, TargetState state, std::uint16_t load, Incarnation incarnation);

    /**
     * The configuration changed.
     * @param now The time.
     * @param documents Accepted documents, in any order.
     * @param completeThrough Revision up to which the configuration is complete with them.
     */
    void onConfiguration(TimePoint now, std::span<const VersionedDocument> documents, Revision completeThrough);

    /** The replica has confirmed the configuration since the start or since the last pause. */
    void confirm(TimePoint now);

    /** The configuration is not confirmed any more: nothing is sent, taken or started until confirm(). */
    void suspend() { m_isConfirmed = false; }

    /**
     * Begins a graceful shutdown: no new open, running requests finish and their answers are delivered.
     * @param now The time.
     * @param waitForStreams Whether to wait for open feeds and uploads too. False when another agent process takes
     * over the target, because it adopts them.
     */
    void beginShutdown(TimePoint now, bool waitForStreams);

    /** @return Whether nothing is left that a shutdown would interrupt. */
    bool isIdle() const;

    /** @return The target's state as reported in replies. */
    TargetState targetState() const;

    /** @return The target beside which the agent stands. */
    TargetId target() const { return m_settings.target; }

    /** @return The service that the target serves. */
    ServiceId service() const;

    /** @return Whether the configuration is confirmed. */
    bool isConfirmed() const { return m_isConfirmed; }

    /** @return Load that the target reported last, in 1/1000. */
    std::uint16_t reportedLoad() const { return m_reportedLoad; }

    const ConfigView& view() const { return m_view; }
    const Admission& admission() const { return m_admission; }
    const RecordTable& records() const { return m_records; }

    /** @return Value of a counter since start. */
    std::uint64_t counter(AgentCounter counter) const { return m_counters[static_cast<std::size_t>(counter)]; }

private:
    using Handler = void (AgentCore::*)(TimePoint, Endpoint, Packet&);
    using Wake = void (AgentCore::*)(TimePoint, FlowRecord&);

    struct HeardBalancer {
        Endpoint endpoint;
        TimePoint heardAt;
    };

    // Packets, by kind. In agent_open_cmd.cpp, agent_request_cmd.cpp and agent_stream_cmd.cpp.
    void onOpen(TimePoint now, Endpoint from, Packet& packet);
    void onExecute(TimePoint now, Endpoint from, Packet& packet);
    void onAnswerAck(TimePoint now, Endpoint from, Packet& packet);
    void onCancel(TimePoint now, Endpoint from, Packet& packet);
    void onQuery(TimePoint now, Endpoint from, Packet& packet);
    void onData(TimePoint now, Endpoint from, Packet& packet);
    void onEventAck(TimePoint now, Endpoint from, Packet& packet);
    void onKeepAlive(TimePoint now, Endpoint from, Packet& packet);
    void onClose(TimePoint now, Endpoint from, Packet& packet);
    void onReplyOfAgent(TimePoint now, Endpoint from, Packet& packet);
    void onOther(TimePoint now, Endpoint from, Packet& packet);

    // Opens.
    Reason openFault(const Packet& packet) const;
    Reason reserve(TimePoint now, Endpoint from, const Packet& packet);
    bool repeatOpen(TimePoint now, Endpoint from, const Packet& packet);
    bool relay(TimePoint now, Endpoint from, const Packet& packet, Reason reason);
    void sendHint(TimePoint now, Endpoint from, const Packet& packet, Reason reason);
    std::uint32_t retryAfterMs(const Packet& packet, Reason reason) const;
    void refuseOutOfService(TimePoint now, Endpoint from, const Packet& packet);
    const TargetConfig* nextRank(const Packet& packet) const;
    void refuseOpen(TimePoint now, Endpoint from, const Packet& packet, Reason reason);
    void sendOpened(TimePoint now, FlowRecord& record, std::uint64_t nonce);

    // Bound packets.
    Reason bindingFault(const Packet& packet) const;
    Reason startFault(TimePoint now, const FlowRecord& record, const Packet& packet) const;
    FlowRecord* boundRecord(TimePoint now, Endpoint from, const Packet& packet);
    FlowRecord* queriedRecord(TimePoint now, Endpoint from, const Packet& packet);
    FlowRecord* acknowledgedRecord(TimePoint now, Endpoint from, const Packet& packet);
    bool isEarlierReservation(const FlowRecord& record, const Packet& packet) const;
    void refuseBound(TimePoint now, Endpoint from, const Packet& packet, Outcome outcome);
    void touch(TimePoint now, FlowRecord& record, Endpoint from, const Packet& packet);

    // Requests and commits.
    void queueRequest(TimePoint now, FlowRecord& record, Packet& packet);
    void startQueued(TimePoint now);
    Reason lastFault(TimePoint now, const FlowRecord& record) const;
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
    void release(FlowRecord& record);
    void settle(FlowRecord& record);
    void repeatOutcome(TimePoint now, FlowRecord& record, Endpoint to, const Packet* cause = nullptr);
    void sendAnswer(TimePoint now, FlowRecord& record, Endpoint to);

    // Feeds and uploads.
    FlowRecord* streamOf(TimePoint now, Endpoint from, const Packet& packet);
    FlowRecord* adopt(TimePoint now, Endpoint from, const Packet& packet);
    Reason adoptionFault(TimePoint now, const Packet& packet) const;
    void activate(TimePoint now, FlowRecord& record, std::uint32_t after, const Packet& packet);
    void renew(TimePoint now, FlowRecord& record);
    void endStream(TimePoint now, FlowRecord& record, Reason reason);
    void closeAtTarget(const FlowRecord& record);
    void holdEvent(TimePoint now, FlowRecord& record, std::vector<std::uint8_t> payload);
    bool makeRoomForEvent(TimePoint now, FlowRecord& record);
    void sendEvent(TimePoint now, FlowRecord& record, const HeldEvent& event, Endpoint to);
    void resumeIfDrained(FlowRecord& record);
    void releaseIdleWork(FlowRecord& record);
    void deliverEnd(TimePoint now, FlowRecord& record);
    bool hasLapsed(TimePoint now, const FlowRecord& record) const;

    // Timers, by state of the flow. In agent_timer_cmd.cpp.
    void wakeReserved(TimePoint now, FlowRecord& record);
    void wakeActive(TimePoint now, FlowRecord& record);
    void wakeQueued(TimePoint now, FlowRecord& record);
    void wakeRunning(TimePoint now, FlowRecord& record);
    void wakeAnswering(TimePoint now, FlowRecord& record);
    void wakeFinished(TimePoint now, FlowRecord& record);
    void scheduleStream(TimePoint now, FlowRecord& record);
    void scheduleResend(TimePoint now, FlowRecord& record);
    Duration resendInterval(const FlowRecord& record) const;

    // Configuration and target.
    void followConfiguration(TimePoint now);
    void followKeys();
    void goOut(TimePoint now);
    void giveUpRunning(TimePoint now);
    void loseTarget(TimePoint now);
    const TargetConfig* configured() const { return m_view.target(m_settings.target); }
    bool isDraining() const;
    bool serves(const Packet& packet) const;
    ServiceId intendedService(const Packet& packet) const;

    // Replies.
    void noteBalancer(TimePoint now, Endpoint from);
    Endpoint anotherBalancer(TimePoint now, Endpoint avoided);
    Packet replyFrom(TimePoint now, PacketKind kind, FlowKind flowKind, const FlowKey& key) const;
    Packet replyTo(TimePoint now, const FlowRecord& record, PacketKind kind) const;
    Packet replyTo(TimePoint now, const Packet& packet, PacketKind kind) const;
    Binding bindingOf(const FlowRecord& record) const;
    void send(Endpoint to, Packet packet);
    void notePause(TimePoint now);
    void count(AgentCounter counter, std::uint64_t n = 1) { m_counters[static_cast<std::size_t>(counter)] += n; }

    static const std::array<Handler, static_cast<std::size_t>(PacketKind::End)> handlers;
    static const std::array<Wake, static_cast<std::size_t>(FlowState::End)> wakes;

    AgentSettings m_settings;
    AgentSeeds m_seeds;
    Keyring& m_keyring;
    AgentEffects& m_effects;
    ConfigView m_view;
    Admission m_admission;
    RecordTable m_records;
    std::deque<FlowKey> m_queue; ///< Flows that wait for a slot; those that left the queue are skipped.
    std::vector<HeardBalancer> m_balancers; ///< At most `maxKnownBalancers`.
    std::size_t m_nextBalancer {};
    std::uint64_t m_lastReservation {};
    Incarnation m_targetIncarnation; ///< Zero until the target's health was read.
    TargetState m_health { TargetState::Unknown }; ///< As the target reports it.
    std::uint16_t m_reportedLoad {};
    bool m_isConfirmed {};
    bool m_isOut {};
    TimePoint m_giveUpAt; ///< When requests still running at a target that is out are given up; zero when none are.
    bool m_wasConfigured {}; ///< The configuration has named the target at some time.
    bool m_isShuttingDown {};
    bool m_waitsForStreams {};
    TimePoint m_lastTick;
    TimePoint m_confirmedAt;
    std::array<std::uint64_t, static_cast<std::size_t>(AgentCounter::End)> m_counters {};
};

} // namespace hawthorncroft
