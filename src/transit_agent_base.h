/**
 * @file transit_agent_base.h
 * Transparent flows at the agent beside a target. The agent sees every packet of its target in both directions, admits
 * or declines opening packets, and is authoritative for the flows that its target holds. Pure.
 */
#pragma once

#include "transit_admission_base.h"
#include "transit_capacity_base.h"
#include "transit_core_base.h"
#include "transit_health_base.h"
#include "transit_inventory_base.h"
#include "transit_queue_base.h"
#include "transit_service_time_base.h"
#include "transit_transfer_base.h"

#include <deque>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>

namespace hawthorncroft {

/** Settings of an agent. */
struct TransitAgentOptions {
    FleetOptions fleet;
    TransitAdmissionOptions admission;
    CapacityOptions capacity;
    std::uint16_t fleetPort {}; ///< Port at which all processes of the system receive messages.
    bool isFirstStart {}; ///< The whole system starts for the first time, so the target holds no flows yet.
    ReleaseOrder releaseOrder { ReleaseOrder::InTimeFirst };
};

/** Core of an agent for transparent flows. */
class TransitAgent : public TransitCore {
public:
    explicit TransitAgent(TransitAgentOptions options);

    /** Runs timers; called about every `tickInterval`. */
    void onTick(TimePoint now, TransitEffects& effects) override;

    /** Handles a packet that the target sent or returned. */
    void onPacket(TransitPacket packet, TimePoint now, TransitEffects& effects) override;

    /** Handles a message of another process. */
    void onMessage(Endpoint from, Message message, TimePoint now, TransitEffects& effects) override;

    /** Handles the outcome of a probe. A target whose process has ended holds no flows. */
    void onTargetProbe(bool isRunning, TimePoint now, TransitEffects& effects) override;

    /** Begins a graceful shutdown: new flows are declined, requests in progress may finish. */
    void onStop(TimePoint now, TransitEffects& effects) override;

    /** @return Whether the agent has the configuration and is not shutting down. */
    bool isReady() const override { return !m_stoppedAt && m_fleet.view().hasConfiguration(); }

    /** @return Whether the graceful shutdown is complete. */
    bool isFinished(TimePoint now) const override;

    /** @return Load of the target as observed by the agent. */
    LoadReport load() const;

    std::vector<TransitGauge> gauges(TimePoint now) const override;

    HttpReply page(std::string_view path, std::string_view query, TimePoint now) const override
    {
        if (path == placePath)
            return { 404, "an agent places no flows: query a balancer\n" };
        return TransitCore::page(path, query, now);
    }

    /** @return Whether the flow is known and has not ended. */
    bool holds(const FlowTuple& flow) const;

private:
    enum class FlowState : std::uint8_t {
        Opening, ///< The opening packet was delivered to the target.
        Answered, ///< The target answered it; the caller has not acknowledged the answer yet.
        Open,
        Ended,
    };

    struct HeldFlow {
        FlowState state {};
        std::uint32_t targetSequence {}; ///< First sequence number of the target; zero when unknown.
        /// Highest acknowledgement number in the caller's packets, delivered to the target or not. If none was seen,
        /// the sequence number of the target, which is ahead of it by the packets in flight only.
        std::optional<std::uint32_t> acknowledged;
        TimePoint usedAt;
        /// Delivery of the packet that completed the request in progress; none when there is none.
        std::optional<TimePoint> requestAt;
        std::uint32_t inProgressAtStart {}; ///< Requests at the target when that request started, including it.
        std::string requestId;
        TimePoint startedAt; ///< Estimated time at which the caller sent its first opening packet.
        bool isFirstRequest {}; ///< No request was seen since this agent opened the flow; the first one counts from
                                ///< startedAt.
        std::uint32_t
            queuedSequence {}; ///< Sequence number of the packet that completed the last request in the queue.
        std::optional<TimePoint> queuedStartedAt; ///< Estimated start of that request; none before the first one.
        std::vector<ForwardMessage> queuedPackets; ///< Packets of a request in the queue.
        bool hasExpired {}; ///< That request expired in the queue.
        bool hasLoggedAbandoned {}; ///< A request_abandoned line was written for the flow.
        RequestTransfer transfer;
        std::optional<TimePoint> transferStartedAt; ///< Estimated start of the transfer in progress.
        bool isTransferring {}; ///< Counted in m_transfers.
        std::vector<ForwardMessage> earlyPackets; ///< Last packet of a transfer with gaps, and what follows it.
        std::optional<std::uint32_t> targetDataEnd; ///< Highest end of the target's data; none before the first.
        bool isAwaitingFirstRequest {}; ///< Counted in m_awaitingFirstRequest.
        bool wasOpen {}; ///< The caller has chosen this target.
        bool isAnnounced {}; ///< An update with this flow was sent to the locators.
        bool hasCallerEnded {};
        bool hasTargetEnded {};
    };

    /** Opening packet that the target has not answered yet. */
    struct PendingOpen {
        ForwardMessage forward;
        TimePoint deadline;
    };

    /** Query for a flow that the agent does not know and that only the target can answer. */
    struct FlowQuery {
        Endpoint balancer;
        TimePoint expiresAt;
        bool mayBeRequest {}; ///< Counted in m_askedRequests.
        std::optional<std::uint32_t> acknowledged; ///< Highest acknowledgement number of the caller.
    };

    // Messages; in transit_agent_message.cpp.
    void onForward(ForwardMessage forward, TimePoint now, TransitEffects& effects);
    void onOpen(ForwardMessage forward, TimePoint now, TransitEffects& effects);
    void onData(ForwardMessage forward, TimePoint now, TransitEffects& effects);
    void onUnknownData(ForwardMessage forward, TimePoint now, TransitEffects& effects);
    void decline(ForwardMessage forward, DeclineReason reason, TransitEffects& effects);
    void onLocate(LocateMessage locate, TimePoint now, TransitEffects& effects);
    void sendNotHeldReplies(TransitEffects& effects);
    void queueNotHeldReply(Endpoint balancer, const FlowTuple& flow, TransitEffects& effects);
    void replyNotHeld(const ForwardMessage& forward, TransitEffects& effects);
    void deliverToTarget(const ForwardMessage& forward, TransitEffects& effects);

    // Inventory updates to locators, and this agent as a locator; in transit_agent_locator.cpp.
    void onInventoryUpdate(Endpoint from, const InventoryUpdateMessage& update, TimePoint now, TransitEffects& effects);
    void resyncLocator(Endpoint from, TimePoint now, TransitEffects& effects);
    void announceFlow(HeldFlow& held, const FlowTuple& flow, TimePoint now, TransitEffects& effects);
    void sendInventoryMessages(InventoryMessages messages, TransitEffects& effects);
    void sendSnapshots(TimePoint now, TransitEffects& effects);
    InventoryState inventoryState() const;
    std::set<std::string_view> liveDomains(TimePoint now) const;
    AbsenceReportMessage absenceReport(const FlowTuple& flow, TimePoint now) const;
    void scheduleAbsenceReport(const ForwardMessage& query, TimePoint now, TransitEffects& effects);
    void sendDueAbsenceReports(TimePoint now, TransitEffects& effects);
    void tickLocator(TimePoint now, TransitEffects& effects);

    // Packets of the target; in transit_agent_target.cpp.
    void onReturned(TransitPacket packet, TransitEffects& effects);
    void onUnknownReset(const TransitPacket& packet, TransitEffects& effects);
    void learnFlow(const TransitPacket& packet, TimePoint now, TransitEffects& effects);
    static void trackAcknowledgement(std::optional<std::uint32_t>& highest, const TransitPacket& packet);
    static void trackHighest(std::optional<std::uint32_t>& highest, std::uint32_t number);
    void trackTargetPacket(HeldFlow& flow, const TransitPacket& packet, TimePoint now, TransitEffects& effects);
    void trackCallerPacket(HeldFlow& flow, const TransitPacket& packet, TimePoint now, TransitEffects& effects);

    // Detection of an ended target process; in transit_agent_probe.cpp.
    void recordDelivery(TimePoint now);
    void recordTargetActivity();
    void probe(TimePoint now, TransitEffects& effects);
    void tickProbe(TimePoint now, TransitEffects& effects);
    void endAllFlows(TransitEffects& effects);

    // Packets of flows that only the target knows; in transit_agent_unknown.cpp.
    void askTarget(ForwardMessage forward, TimePoint now, TransitEffects& effects);
    void queueUnknown(ForwardMessage forward, TimePoint now, TransitEffects& effects);
    void deliverUnknown(const ForwardMessage& forward, TimePoint now, TransitEffects& effects);
    void releaseUnknown(TimePoint now, TransitEffects& effects);
    std::optional<FlowQuery> takeFlowQuery(const FlowTuple& flow);

    // Requests of several packets; in transit_agent_transfer.cpp.
    static TransferRole roleOf(const HeldFlow& flow, const TransitPacket& packet);
    void trackRequestData(HeldFlow& flow, const TransitPacket& packet, TimePoint now);
    void startTransfer(HeldFlow& flow, const TransitPacket& packet, TimePoint now);
    std::int64_t transferBytes() const;
    void stopTransfer(HeldFlow& flow);
    void stopAwaiting(HeldFlow& flow);
    void holdEarly(HeldFlow& flow, ForwardMessage forward, TimePoint now, TransitEffects& effects);
    void deliverCoveredEarly(HeldFlow& flow, TimePoint now, TransitEffects& effects);
    void deliverDueEarly(TimePoint now, TransitEffects& effects);
    void trackTargetProgress(HeldFlow& flow, const TransitPacket& packet, TimePoint now, TransitEffects& effects);
    static std::string requestIdFor(const HeldFlow& flow, const TransitPacket& packet);

    // Requests that wait for a slot; in transit_agent_queue.cpp.
    void deliverOrQueue(HeldFlow& flow, ForwardMessage forward, TimePoint now, TransitEffects& effects);
    std::uint32_t requestLimit() const;
    bool hasFreeSlot(TimePoint now) const;
    Duration meanStartInterval() const;
    std::size_t queueCapacity(Duration timeout) const;
    bool isOverloadedFor(Endpoint route, TimePoint now) const;
    WaitingRequest waitingRequest(const FlowTuple& flow, TimePoint startedAt) const;
    static TimePoint estimateRequestStart(const HeldFlow& flow, const TransitPacket& packet, TimePoint now);
    static void insertPacket(std::vector<ForwardMessage>& packets, ForwardMessage forward);
    void abandonRequest(HeldFlow& flow, const WaitingRequest& request, TimePoint now, TransitEffects& effects);
    bool queueRequest(HeldFlow& flow, ForwardMessage& forward, TimePoint now, TransitEffects& effects);
    void evictRequest(const WaitingRequest& request, TransitEffects& effects);
    void releaseRequests(TimePoint now, TransitEffects& effects);
    void dropExpiredRequest(const WaitingRequest& request, TimePoint now, TransitEffects& effects);
    void recordRescue(const WaitingRequest& request, const std::vector<ForwardMessage>& queuedPackets, TimePoint now,
        TransitEffects& effects);
    void releaseRequest(const WaitingRequest& request, TimePoint now, TransitEffects& effects);
    void endFlowIfClosed(HeldFlow& flow, const TransitPacket& last);
    void recordCapacitySample(
        const HeldFlow& flow, Endpoint route, bool isSuccess, TimePoint now, TransitEffects& effects);
    void recordRequestReset(const HeldFlow& flow, const TransitPacket& packet, TimePoint now, TransitEffects& effects);
    void endRequest(HeldFlow& flow);
    void endFlow(HeldFlow& flow);
    void forgetFlow(const FlowTuple& flow);

    // In transit_agent_cmd.cpp.
    void onViewChanged(TimePoint now, TransitEffects& effects) override;
    void onTargetIncarnationChanged(const TargetEntry& own, TimePoint now, TransitEffects& effects);
    std::int64_t coldLimit() const;
    void expireOpens(TimePoint now, TransitEffects& effects);
    void expireFirstRequests(TimePoint now);
    void sweepFlows(TimePoint now);
    void sendLoads(TimePoint now, TransitEffects& effects);
    std::uint32_t tagOf(Endpoint balancer, bool isLocating);
    Endpoint agentOf(std::uint32_t address) const { return { address, m_options.fleetPort }; }

    TransitAgentOptions m_options;
    TransitAdmission m_admission;
    TransitLocators m_locators;
    std::unordered_map<FlowTuple, HeldFlow> m_flows;
    std::unordered_map<FlowTuple, PendingOpen> m_opens;
    std::deque<std::pair<TimePoint, FlowTuple>> m_openTimers;
    std::deque<std::pair<TimePoint, FlowTuple>> m_firstRequestTimers;
    std::unordered_map<FlowTuple, FlowQuery> m_flowQueries;
    std::uint32_t m_askedRequests {}; ///< Flow queries with data, which the target runs if it holds the flow.
    InventoryStreams m_streams; ///< Inventory updates that this agent sends to its locators.
    InventoryRecords m_records; ///< Inventories that this agent received as a locator.
    struct PendingAbsenceReport {
        TimePoint dueAt;
        Endpoint balancer;
        FlowTuple flow;
    };
    std::deque<PendingAbsenceReport> m_pendingAbsenceReports; ///< Ordered by dueAt.
    std::deque<std::pair<TimePoint, ForwardMessage>>
        m_opensAwaitingView; ///< Opening packets received before the first view, with their time of receipt.
    std::vector<Endpoint> m_balancers; ///< The index is part of the tag; see tagOf.
    std::unordered_map<Endpoint, std::uint32_t> m_balancerTags;
    struct LoadSubscription {
        TimePoint expiresAt;
        TimePoint reportedAt;
        LoadReport reported;
    };
    std::unordered_map<Endpoint, LoadSubscription> m_loadSubscriptions; ///< Balancers that get load reports.
    std::unordered_map<Endpoint, std::vector<FlowTuple>> m_notHeld; ///< Replies to locating balancers, sent in batches.
    std::uint32_t m_immediateReplies {}; ///< Replies sent since the last tick without batching.
    TransitQueue m_queue;
    TransitQueue m_unknownQueue; ///< Flows of m_unknownPackets, in the order in which the target is asked.
    std::unordered_map<FlowTuple, std::vector<ForwardMessage>>
        m_unknownPackets; ///< Data of flows that only the target knows, while it has no free slot.
    bool m_isUnknownNext {}; ///< Whether the next free slot goes to m_unknownQueue.
    ServiceTimes m_serviceTimes;
    TargetCapacity m_capacity;
    std::uint32_t m_reportedServiceTimeUs {}; ///< Service time in load reports; updated with each tick.
    TargetHealth m_health;
    TimePoint m_lastAnswerAt; ///< Last answer of the target, or last request that reached it while it was idle.
    std::uint32_t m_busy {}; ///< Flows with a request in progress at the target.
    std::uint32_t m_transfers {}; ///< Flows with a transfer in progress.
    std::map<FlowTuple, TimePoint> m_earlyDeadlines; ///< Flows with early packets, and when these are delivered.
    std::uint32_t m_ended {}; ///< Ended flows in m_flows.
    std::uint32_t m_awaitingFirstRequest {}; ///< Flows that were opened and have had no request yet.
    std::optional<TimePoint> m_unansweredSince; ///< Delivery of the first data since the target last sent a packet.
    TimePoint m_probedAt;
    std::uint32_t m_refusedProbes {}; ///< Consecutive refused probes.
    bool m_isTargetGone {}; ///< The target's process has ended, and no start of a new one was observed.
    bool m_knowsAllFlows {}; ///< The agent saw all flows of the current incarnation of its target.
    std::string m_targetId;
    std::uint64_t m_targetStartedAt {};
    TimePoint m_nextSweepAt;
    std::optional<TimePoint> m_startedAt;
    std::optional<TimePoint> m_stoppedAt;
};

} // namespace hawthorncroft
