/**
 * @file transit_balancer_base.h
 * Transparent flows at a balancer: places opening packets, remembers which agent holds a flow, and finds the holder of
 * a flow that it does not know. Its flow table is a cache; the agents hold the truth. Pure.
 */
#pragma once

#include "retry_budget_type.h"
#include "transit_core_base.h"
#include "transit_locator_base.h"
#include "transit_placement_base.h"

#include <deque>
#include <unordered_map>

namespace hawthorncroft {

/** Settings of a balancer. */
struct TransitBalancerOptions {
    FleetOptions fleet;
    std::string failureDomain;
    std::uint16_t fleetPort {}; ///< Port at which every process of the system gets messages.
    std::int64_t linkBytesPerSecond { 125000000 }; ///< Bandwidth of the VM's link.
    Duration grace { seconds(6) }; ///< From the signal to end until the process is killed.
};

/** Core of a balancer for transparent flows. */
class TransitBalancer : public TransitCore {
public:
    explicit TransitBalancer(TransitBalancerOptions options);

    /** Lets time pass; called about every `tickInterval`. */
    void onTick(TimePoint now, TransitEffects& effects) override;

    /** Takes a packet that the routers forwarded. */
    void onPacket(TransitPacket packet, TimePoint now, TransitEffects& effects) override;

    /** Takes a message of another process. */
    void onMessage(Endpoint from, Message message, TimePoint now, TransitEffects& effects) override;

    void onTargetProbe(bool, TimePoint, TransitEffects&) override { } // Has no target.

    /** Begins a planned end: not ready any more, but packets are still forwarded. */
    void onStop(TimePoint now, TransitEffects& effects) override;

    /** @return Whether the routers may send packets here. */
    bool isReady() const override;

    /** @return Whether the planned end is over. */
    bool isFinished(TimePoint now) const override;

    const TransitPlacement& placement() const { return m_placement; }

    /** @return Agent that holds the flow as far as this balancer knows. */
    std::optional<Endpoint> holderOf(const FlowTuple& flow) const;

private:
    /** Agent that may hold a flow. */
    struct Holder {
        Endpoint agent;
        std::uint32_t targetSequence {}; ///< First sequence number of its target; zero when unknown.
    };

    struct CachedFlow {
        Holder holder;
        Holder alternative; ///< While the caller has not chosen between two targets that answered.
        TimePoint usedAt;
    };

    struct PendingOpen {
        ForwardMessage forward;
        Endpoint agent; ///< Asked last.
        TimePoint startedAt;
        TimePoint retryAt;
    };

    struct Locate {
        std::vector<TransitPacket> packets;
        std::vector<Endpoint> waitingFor; ///< Agents that have not answered.
        std::vector<Endpoint> asked;
        std::vector<Endpoint> answered; ///< Agents whose targets do not hold the flow.
        std::vector<Endpoint> reportingLocators; ///< Locators that gave their word.
        std::vector<Endpoint> unknownAgents; ///< Agents that one of them does not vouch for, and that must answer.
        std::vector<Endpoint> staleAgents; ///< Agents that one of them vouched for until they fell silent.
        TimePoint broadcastAt; ///< When the agents that nobody vouches for were asked.
        TimePoint retryAt; ///< When those that have not answered are asked again.
        TimePoint startedAt;
        bool isBroadcast {}; ///< Every agent that no locator vouches for was asked.
        bool isComplete {}; ///< `asked` contains every one of them.
    };

    // Opening packets, in transit_balancer_open.cpp.
    void openFlow(TransitPacket packet, const RouteRecord& route, TimePoint now, TransitEffects& effects);
    void sendOpen(ForwardMessage forward, TimePoint startedAt, TimePoint now, TransitEffects& effects);
    void refuseOpen(const TransitPacket& packet, std::string_view reason, std::size_t tried, TimePoint now,
        TransitEffects& effects);
    void onHeld(Endpoint from, const HeldMessage& held, TimePoint now, TransitEffects& effects);
    void onDeclined(Endpoint from, DeclinedMessage declined, TimePoint now, TransitEffects& effects);
    void retryOpens(TimePoint now, TransitEffects& effects);
    const std::string* serviceFor(const RouteRecord& route, const FlowTuple& flow) const;

    // Packets of flows, in transit_balancer_locate.cpp.
    void forwardData(TransitPacket packet, TimePoint now, TransitEffects& effects);
    void startLocate(TransitPacket packet, TimePoint now, TransitEffects& effects);
    void queryLocators(const FlowTuple& flow, Locate& locate, TimePoint now, TransitEffects& effects);
    void broadcastLocate(const FlowTuple& flow, Locate& locate, std::vector<Endpoint> agents, TimePoint now);
    bool queryAgents(const FlowTuple& flow, const Locate& locate, const std::vector<Endpoint>& agents);
    void onAbsenceReport(Endpoint from, const VouchMessage& report, TimePoint now, TransitEffects& effects);
    static void mergeReport(Locate& locate, const VouchMessage& report);
    void evaluateReports(const FlowTuple& flow, TimePoint now, TransitEffects& effects);
    void endIfLost(const FlowTuple& flow, TimePoint now, TransitEffects& effects);
    void giveUpLocate(const FlowTuple& flow, const Locate& locate, TransitEffects& effects);
    void sendImmediateQueries(TimePoint now, TransitEffects& effects);
    bool usesDirectQueries(TimePoint now) const;
    void refillLocateBytes(Duration elapsed);
    void sendQueries(TimePoint now, TransitEffects& effects);
    void sendQuery(Endpoint agent, const std::vector<FlowTuple>& flows, const std::vector<Endpoint>& passTo,
        TransitEffects& effects);
    std::optional<Endpoint> chooseRelay(TimePoint now);
    void recordNotHeld(Endpoint from, const FlowTuple& flow, TimePoint now, TransitEffects& effects);
    void queryLocator(Endpoint agent, Locate& locate, TransitEffects& effects);
    void onNotHeld(Endpoint from, NotHeldMessage message, TimePoint now, TransitEffects& effects);
    void finishLocate(const FlowTuple& flow, Endpoint holder, TimePoint now, TransitEffects& effects);
    void declareLost(const FlowTuple& flow, const Locate& locate, TimePoint now, TransitEffects& effects);
    void tickLocates(TimePoint now, TransitEffects& effects);
    std::vector<Endpoint> possibleHolders(TimePoint now) const;

    // In transit_balancer_cmd.cpp.
    bool mayLeaveRotation(TimePoint now) const;
    void leaveRotation(TimePoint now, TransitEffects& effects);
    void handlePacket(TransitPacket packet, TimePoint now, TransitEffects& effects);
    void onViewChanged(TimePoint now, TransitEffects& effects) override;
    void releaseWaitingPackets(TimePoint now, TransitEffects& effects);
    void sweepFlows(TimePoint now);
    void cacheHolder(const FlowTuple& flow, Holder holder, bool isOpening, TimePoint now);
    Endpoint agentOf(std::uint32_t address) const { return { address, m_options.fleetPort }; }

    TransitBalancerOptions m_options;
    TransitPlacement m_placement;
    TransitLocators m_locators;
    std::unordered_map<FlowTuple, CachedFlow> m_flows;
    std::unordered_map<FlowTuple, PendingOpen> m_opens;
    std::deque<std::pair<TimePoint, FlowTuple>> m_openTimers; ///< In order of time.
    RetryBudget m_retryBudget;
    std::unordered_map<FlowTuple, Locate> m_locates;
    std::int64_t m_locateBytes {}; ///< Bytes that questions to all agents may use now.
    std::map<Endpoint, std::vector<FlowTuple>> m_queries; ///< Flows that each agent is asked for with the next tick.
    std::map<std::vector<Endpoint>, std::vector<FlowTuple>>
        m_relayedQueries; ///< Flows that an agent asks these agents for with the next tick.
    std::uint32_t m_immediateQueries {}; ///< Sent at once since the last tick.
    std::size_t m_nextRelay {}; ///< Turn of the agent that passes questions on.
    std::deque<std::pair<TimePoint, TransitPacket>> m_waitingPackets; ///< Packets that wait for the first view.
    TimePoint m_nextSweepAt;
    std::optional<TimePoint> m_tickedAt;
    std::optional<TimePoint> m_stoppedAt;
    std::optional<TimePoint> m_leftRotationAt; ///< Not ready since then, but still forwarding.
    bool m_wasReady {};
};

} // namespace hawthorncroft
