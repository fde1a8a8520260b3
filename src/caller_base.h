/**
 * @file caller_base.h
 * The caller's state machine: requests, feeds, uploads and queries over a fabric that loses, duplicates, delays and
 * reorders packets. It has no socket and no clock: each call passes the current time, and effects are appended to a
 * list.
 */
#pragma once

#include "caller_type.h"
#include "retry_budget_type.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace hawthorncroft {

/** All flows of one caller. Not thread-safe. */
class CallerCore {
public:
    explicit CallerCore(const CallerSettings& settings);

    /**
     * Starts a request. It ends with exactly one Finished.
     * @param now Current time.
     * @param options The request.
     * @param[in,out] effects Effects are appended.
     * @return The flow, or the reason of the refusal.
     */
    Started startRequest(TimePoint now, RequestOptions options, CallerEffects& effects);

    /** Opens a feed. Reports FeedOpened, then FeedEvents, and ends with FlowBroken or Finished. @see startRequest */
    Started openFeed(TimePoint now, FeedOptions options, CallerEffects& effects);

    /** Starts an upload. Reports UploadProgress and ends with exactly one Finished. @see startRequest */
    Started startUpload(TimePoint now, UploadOptions options, CallerEffects& effects);

    /** Queries the outcome of an earlier request. Ends with exactly one Finished. @see startRequest */
    Started startQuery(TimePoint now, const QueryOptions& options, CallerEffects& effects);

    /**
     * Cancels a request or upload. Finished follows: at once if the flow has no binding, otherwise when the agent
     * replies or the flow expires.
     * @return Whether the flow is open.
     */
    bool cancel(TimePoint now, FlowId flow, CallerEffects& effects);

    /**
     * Closes a feed; Finished follows. A flow of another kind, or one without a binding, is cancelled.
     * @return Whether the flow is open.
     */
    bool closeFlow(TimePoint now, FlowId flow, CallerEffects& effects);

    /** Handles a packet from a balancer. */
    void onPacket(TimePoint now, const Packet& packet, CallerEffects& effects);

    /** Runs the timers that are due: retransmissions, hedges, keep-alives, deadlines and lease expiry. */
    void onTick(TimePoint now, CallerEffects& effects);

    /** @return Time of the next timer, when onTick must be called; empty when no flow is open. */
    std::optional<TimePoint> nextTimer() const;

    /** @return Number of open flows. */
    std::size_t openFlows() const { return m_flows.size(); }

    const CallerCounters& counters() const { return m_counters; }

    /** @return Binding of an open or recently finished flow; without a reservation when there is none. */
    Binding bindingOf(FlowId flow) const;

private:
    enum class State : std::uint8_t {
        Opening, ///< Open sent.
        Waiting, ///< Refused; the next Open is sent after the backoff.
        Executing, ///< Execute sent; waiting for the answer.
        Feeding, ///< The feed is open.
        Uploading, ///< Chunks are being sent.
        Renewing, ///< All chunks are acknowledged; KeepAlive sent before the Close.
        Committing, ///< Close of an upload sent.
        Closing, ///< Close of a feed sent.
        Cancelling, ///< Cancel sent.
        Querying, ///< Query sent.
        End,
    };

    static constexpr TimePoint never { INT64_MAX };

    /** Reassembly of an answer from fragments, which may arrive out of order and more than once. */
    struct Assembly {
        Outcome outcome;
        std::size_t missing {};
        std::vector<std::optional<std::vector<std::uint8_t>>> fragments;
    };

    /** A chunk that was sent and is not yet acknowledged. */
    struct Chunk {
        std::uint32_t sequence {};
        std::uint32_t sends {};
        TimePoint resendAt;
    };

    struct Flow {
        FlowId id;
        FlowKind kind { FlowKind::Request };
        State state { State::Opening };
        std::string service;
        std::vector<std::uint8_t> payload; ///< Request, subscription or upload.
        bool idempotent {};
        bool reopen {};
        bool executed {}; ///< An Execute, Close or Query was sent and the agent has not replied "did not run".
        bool opened {}; ///< FeedOpened was reported.
        Duration feedDeadline; ///< Relative deadline of the Open, used again when the feed is reopened.
        TimePoint deadline { never };
        TimePoint agentDeadline; ///< `deadline` in the time of the agent's clock.
        Binding binding; ///< Without a reservation while the flow is not bound.
        Binding refused; ///< Last refused binding; a delayed duplicate of its Opened is ignored.
        std::uint64_t bindNonce {}; ///< Nonce of all packets sent under the binding.
        std::vector<std::uint64_t> openNonces; ///< Nonces of the Opens that have no reply yet.
        Outcome refusal; ///< Outcome of the last refusal.
        std::uint32_t attempt {};
        std::uint32_t retries {};
        std::uint32_t sends {}; ///< Transmissions in the current state.
        TimePoint hedgeAt { never };
        TimePoint resendAt { never };
        TimePoint keepAliveAt { never };
        TimePoint leaseEndsAt { never };
        TimePoint timerAt { never }; ///< Key in m_timers.
        Assembly answer;
        std::uint32_t delivered {}; ///< Feed: sequence number of the last event delivered.
        std::map<std::uint32_t, std::vector<std::uint8_t>> pendingEvents;
        std::uint32_t chunks {}; ///< Upload: number of chunks.
        std::uint32_t nextChunk { 1 }; ///< Upload: first chunk not yet sent under this binding.
        std::uint32_t acknowledged {}; ///< Upload: number of acknowledged chunks.
        std::vector<Chunk> inFlight;

        bool isBound() const { return static_cast<bool>(binding.reservation); }
    };

    using Resend = void (CallerCore::*)(TimePoint, Flow&, CallerEffects&);
    using Receive = void (CallerCore::*)(TimePoint, Flow&, const Packet&, CallerEffects&);
    static const std::array<Resend, static_cast<std::size_t>(State::End)> resendByState;
    static const std::array<Receive, static_cast<std::size_t>(PacketKind::End)> receiveByKind;

    // Start and end of flows.
    Reason refusalOf(const std::string& service, std::size_t payload, std::size_t limit) const;
    Flow& addFlow(FlowId id, FlowKind kind, std::string service, std::vector<std::uint8_t> payload);
    void finish(Flow& flow, Outcome outcome, CallerEffects& effects, std::vector<std::uint8_t> payload = {});
    void breakFeed(TimePoint now, Flow& flow, Outcome outcome, CallerEffects& effects);
    void recordFinished(const Flow& flow);
    void erase(Flow& flow);
    static Outcome feedOutcome(const Flow& flow);
    void expire(TimePoint now, Flow& flow, CallerEffects& effects);

    // Opening, refusals and retries.
    void beginOpening(TimePoint now, Flow& flow, CallerEffects& effects);
    void hedge(TimePoint now, Flow& flow, CallerEffects& effects);
    void begin(TimePoint now, Flow& flow, CallerEffects& effects);
    void release(Packet inUse, const Packet& opened, CallerEffects& effects);
    void retryOrEnd(TimePoint now, Flow& flow, Outcome outcome, CallerEffects& effects);
    void scheduleRetry(Flow& flow, TimePoint openAt);
    void endRefused(TimePoint now, Flow& flow, Outcome outcome, CallerEffects& effects);

    // Received packets.
    void onOpened(TimePoint now, Flow& flow, const Packet& packet, CallerEffects& effects);
    void onRefused(TimePoint now, Flow& flow, const Packet& packet, CallerEffects& effects);
    void onRefusedOpen(TimePoint now, Flow& flow, const Packet& packet, CallerEffects& effects);
    void onAnswer(TimePoint now, Flow& flow, const Packet& packet, CallerEffects& effects);
    void onDataAck(TimePoint now, Flow& flow, const Packet& packet, CallerEffects& effects);
    void onEvent(TimePoint now, Flow& flow, const Packet& packet, CallerEffects& effects);
    void onRenewed(TimePoint now, Flow& flow, const Packet& packet, CallerEffects& effects);
    void onClosed(TimePoint now, Flow& flow, const Packet& packet, CallerEffects& effects);
    void onStray(TimePoint now, Flow& flow, const Packet& packet, CallerEffects& effects);
    void onLatePacket(const Packet& packet, CallerEffects& effects);
    bool addFragment(Flow& flow, const Packet& packet);
    void deliverEvents(Flow& flow, CallerEffects& effects);
    void reportOpened(Flow& flow, CallerEffects& effects);

    // Sending.
    Packet packetFor(const Flow& flow, PacketKind kind) const;
    void send(Packet packet, CallerEffects& effects);
    void sendOpen(TimePoint now, Flow& flow, CallerEffects& effects);
    void sendExecute(TimePoint now, Flow& flow, CallerEffects& effects);
    void sendKeepAlive(TimePoint now, Flow& flow, CallerEffects& effects);
    void sendChunks(TimePoint now, Flow& flow, CallerEffects& effects);
    void sendChunk(TimePoint now, Flow& flow, Chunk& chunk, CallerEffects& effects);
    void sendClose(TimePoint now, Flow& flow, CallerEffects& effects);
    void sendCancel(TimePoint now, Flow& flow, CallerEffects& effects);
    void sendQuery(TimePoint now, Flow& flow, CallerEffects& effects);
    void sendEventAck(const Flow& flow, std::uint32_t sequence, CallerEffects& effects);

    // Timing.
    void enter(Flow& flow, State state);
    void resend(TimePoint now, Flow& flow, CallerEffects& effects);
    void tick(TimePoint now, Flow& flow, CallerEffects& effects);
    void setNextResend(TimePoint now, Flow& flow);
    void setTimer(Flow& flow);
    Duration backoff(std::uint32_t tries, Duration longest);
    Duration withJitter(Duration duration);

    Flow* find(FlowId id);
    static bool isFromTarget(const Flow& flow, const Packet& packet);
    static bool isSameReservation(const Binding& a, const Binding& b);
    static bool isFromBinding(const Flow& flow, const Packet& packet);

    CallerSettings m_settings;
    RetryBudget m_budget;
    OpenHealth m_openHealth;
    CallerCounters m_counters;
    std::unordered_map<FlowId, Flow> m_flows;
    std::set<std::pair<TimePoint, FlowId>> m_timers; ///< Time of the next timer of each open flow.
    std::unordered_map<FlowId, Packet> m_finished; ///< Service name and binding, for late packets and queries.
    std::deque<FlowId> m_finishedOrder; ///< Keys of m_finished, oldest first.
    FlowId m_nextFlow;
    std::uint64_t m_nonce {};
    std::uint64_t m_random {};
};

} // namespace hawthorncroft
