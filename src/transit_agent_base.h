/**
 * @file transit_agent_base.h
 * Transparent flows at the agent beside a target. The agent sees every packet of its target in both directions, decides
 * about opening packets, and is the truth about the flows that its target holds. Pure.
 */
#pragma once

#include "transit_admission_base.h"
#include "transit_core_base.h"
#include "transit_health_base.h"
#include "transit_inventory_base.h"
#include "transit_queue_base.h"
#include "transit_service_time_base.h"

#include <deque>
#include <set>
#include <string_view>
#include <unordered_map>

namespace hawthorncroft {

/** Settings of an agent. */
struct TransitAgentOptions {
    FleetOptions fleet;
    TransitAdmissionOptions admission;
    std::uint16_t fleetPort {}; ///< Port at which every process of the system gets messages.
    bool isFirstStart {}; ///< The whole system starts; the target holds no flows yet.
};

/** Core of an agent for transparent flows. */
class TransitAgent : public TransitCore {
public:
    explicit TransitAgent(TransitAgentOptions options);

    /** Lets time pass; called about every `tickInterval`. */
    void onTick(TimePoint now, TransitEffects& effects) override;

    /** Takes a packet that the target sent or returned. */
    void onPacket(TransitPacket packet, TimePoint now, TransitEffects& effects) override;

    /** Takes a message of another process. */
    void onMessage(Endpoint from, Message message, TimePoint now, TransitEffects& effects) override;

    /** Takes the outcome of a probe; a target whose process is gone holds no flows. */
    void onTargetProbe(bool isRunning, TimePoint now, TransitEffects& effects) override;

    /** Begins a planned end: takes no new flows, lets running requests finish. */
    void onStop(TimePoint now, TransitEffects& effects) override;

    /** @return Whether the agent can do its work. */
    bool isReady() const override { return !m_stoppedAt && m_fleet.view().hasConfiguration(); }

    /** @return Whether the planned end is over. */
    bool isFinished(TimePoint now) const override;

    /** @return Load of the target as the agent sees it. */
    LoadReport load() const;

    /** @return Whether the agent knows that its target holds the flow. */
    bool holds(const FlowTuple& flow) const;

private:
    enum class FlowState : std::uint8_t {
        Opening, ///< The target got the opening packet.
        Answered, ///< The target answered it; the caller has not chosen this target yet.
        Open,
        Ended,
    };

    struct HeldFlow {
        FlowState state {};
        std::uint32_t targetSequence {}; ///< First sequence number of the target; zero when unknown.
        std::uint32_t acknowledged {}; ///< By the caller's last packet.
        TimePoint usedAt;
        std::optional<TimePoint> requestAt; ///< A request is under way since then.
        std::string requestId;
        TimePoint startedAt; ///< When the caller first asked for the flow, as far as the agent knows.
        bool isFirstRequest {}; ///< The first request of the flow began when the flow was asked for.
        std::vector<ForwardMessage> waiting; ///< Packets of a request that waits for a slot.
        bool isExpected {}; ///< Counted in m_expected.
        bool isNoted {}; ///< The locators were told.
        bool hasCallerEnded {};
        bool hasTargetEnded {};
    };

    /** Opening packet that the target has not answered. */
    struct PendingOpen {
        ForwardMessage forward;
        TimePoint deadline;
    };

    /** Who asked for a flow that the agent does not know. */
    struct Asker {
        Endpoint balancer;
        TimePoint until;
    };

    // Messages, in transit_agent_message.cpp.
    void onForward(ForwardMessage forward, TimePoint now, TransitEffects& effects);
    void onOpen(ForwardMessage forward, TimePoint now, TransitEffects& effects);
    void onData(ForwardMessage forward, TimePoint now, TransitEffects& effects);
    void onUnknownData(ForwardMessage forward, TimePoint now, TransitEffects& effects);
    void decline(ForwardMessage forward, DeclineReason reason, TransitEffects& effects);
    void onLocate(LocateMessage locate, TimePoint now, TransitEffects& effects);
    void sendNotHeldFlows(TransitEffects& effects);
    void noteNotHeld(Endpoint balancer, const FlowTuple& flow, TransitEffects& effects);
    void answerNotHeld(const ForwardMessage& forward, TransitEffects& effects);
    void handToTarget(const ForwardMessage& forward, TransitEffects& effects);

    // Notes to locators, and this agent as a locator, in transit_agent_locator.cpp.
    void onHolder(Endpoint from, const HolderMessage& holder, TimePoint now, TransitEffects& effects);
    void onRepeatNotes(Endpoint from, TimePoint now, TransitEffects& effects);
    void noteLocators(HeldFlow& held, const FlowTuple& flow, TimePoint now, TransitEffects& effects);
    void sendNotes(InventoryMessages messages, TransitEffects& effects);
    void sendLists(TimePoint now, TransitEffects& effects);
    InventoryState inventoryClaim() const;
    std::set<std::string_view> heardDomains(TimePoint now) const;
    VouchMessage absenceReport(const FlowTuple& flow, TimePoint now) const;
    void vouchLater(const ForwardMessage& question, TimePoint now, TransitEffects& effects);
    void vouch(TimePoint now, TransitEffects& effects);
    void tickLocator(TimePoint now, TransitEffects& effects);

    // Packets of the target, in transit_agent_target.cpp.
    void onReturned(TransitPacket packet, TransitEffects& effects);
    void onUnknownReset(const TransitPacket& packet, TransitEffects& effects);
    void learnFlow(const TransitPacket& packet, TimePoint now, TransitEffects& effects);
    void noteFromTarget(HeldFlow& flow, const TransitPacket& packet, TimePoint now, TransitEffects& effects);
    void noteFromCaller(HeldFlow& flow, const TransitPacket& packet, TimePoint now, TransitEffects& effects);

    // Whether the target's process is gone, in transit_agent_probe.cpp.
    void noteHanded(TimePoint now);
    void noteTargetSpoke();
    void probe(TimePoint now, TransitEffects& effects);
    void tickProbe(TimePoint now, TransitEffects& effects);
    void endAllFlows(TransitEffects& effects);

    // Requests that wait for a slot, in transit_agent_queue.cpp.
    void passToTarget(HeldFlow& flow, ForwardMessage forward, TimePoint now, TransitEffects& effects);
    bool hasFreeSlot(TimePoint now) const;
    Duration startGap() const;
    bool queueRequest(HeldFlow& flow, ForwardMessage& forward, TimePoint now, TransitEffects& effects);
    void releaseRequests(TimePoint now, TransitEffects& effects);
    void giveUpRequest(const WaitingRequest& request, TimePoint now, TransitEffects& effects);
    void releaseRequest(const WaitingRequest& request, TimePoint now, TransitEffects& effects);
    void endIfOver(HeldFlow& flow, const TransitPacket& last);
    void noteRequestReset(const HeldFlow& flow, const TransitPacket& packet, TransitEffects& effects);
    void endRequest(HeldFlow& flow);
    void endFlow(HeldFlow& flow);
    void forgetFlow(const FlowTuple& flow);

    // In transit_agent_cmd.cpp.
    void onViewChanged(TimePoint now, TransitEffects& effects) override;
    void onLifetimeChanged(const ViewedTarget& own, TransitEffects& effects);
    std::int64_t coldLimit() const;
    void expireOpens(TimePoint now, TransitEffects& effects);
    void expireExpected(TimePoint now);
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
    std::deque<std::pair<TimePoint, FlowTuple>> m_expectedTimers;
    std::unordered_map<FlowTuple, Asker> m_askers;
    InventoryStreams m_streams; ///< What this agent tells its locators.
    InventoryRecords m_records; ///< What this agent was told as a locator.
    struct PendingVouch {
        TimePoint at;
        Endpoint balancer;
        FlowTuple flow;
    };
    std::deque<PendingVouch> m_vouches; ///< In order of time.
    std::deque<std::pair<TimePoint, ForwardMessage>> m_waiting; ///< Opening packets that wait for the first view.
    std::vector<Endpoint> m_balancers; ///< Index is the tag of packets handed to the target.
    std::unordered_map<Endpoint, std::uint32_t> m_balancerTags;
    struct Interest {
        TimePoint until;
        TimePoint reportedAt;
        LoadReport reported;
    };
    std::unordered_map<Endpoint, Interest> m_interested; ///< Balancers that get load reports.
    std::unordered_map<Endpoint, std::vector<FlowTuple>> m_notHeld; ///< Answers to locating balancers, sent together.
    std::uint32_t m_promptAnswers {}; ///< Sent at once since the last tick.
    TransitQueue m_queue;
    ServiceTimes m_serviceTimes;
    TargetHealth m_health;
    TimePoint m_answeredAt; ///< When the target last answered a request, or got one while none was under way.
    std::uint32_t m_busy {}; ///< Flows with a request under way at the target.
    std::uint32_t m_ended {}; ///< Flows in m_flows that ended.
    std::uint32_t m_expected {}; ///< Flows that opened and have not brought their first request.
    std::optional<TimePoint> m_unansweredSince; ///< The target got a packet then, and has sent nothing since.
    TimePoint m_probedAt;
    std::uint32_t m_refusedProbes {}; ///< In a row.
    bool m_isTargetGone {}; ///< Its process ended, and none has started since as far as the agent knows.
    bool m_knowsAllFlows {}; ///< The agent saw every flow of this lifetime of its target.
    std::string m_targetId;
    std::uint64_t m_targetStartedAt {};
    TimePoint m_nextSweepAt;
    std::optional<TimePoint> m_startedAt;
    std::optional<TimePoint> m_stoppedAt;
};

} // namespace hawthorncroft
