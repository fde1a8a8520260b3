/**
 * @file transit_balancer_base.h
 * Transparent flows at a balancer: places opening packets, caches which agent holds a flow, and locates the holders of
 * unknown flows. The flow table is only a cache; the agents are authoritative. Pure.
 */
#pragma once

#include "retry_budget_type.h"
#include "transit_core_base.h"
#include "transit_entry_base.h"
#include "transit_locator_base.h"
#include "transit_place_type.h"
#include "transit_placement_base.h"

#include <deque>
#include <span>
#include <unordered_map>

namespace hawthorncroft {

/** Settings of a balancer. */
struct TransitBalancerOptions {
    FleetOptions fleet;
    std::string failureDomain;
    std::uint16_t fleetPort {}; ///< Port at which every process of the system receives messages.
    std::int64_t linkBytesPerSecond { 125000000 }; ///< Bandwidth of the VM's network link.
    Duration grace { seconds(6) }; ///< Time from the termination signal until the process is killed.
    std::uint32_t processorMillis { 1000 }; ///< Processor share of the VM, in thousandths of a core.
    bool entryRotation { true }; ///< Balancers of low capacity leave rotation under load.
    bool isFlowHashStable { true }; ///< A change of rotation remaps only the flows of the balancer that changes.
};

/** Balancer core for transparent flows. */
class TransitBalancer : public TransitCore {
public:
    explicit TransitBalancer(TransitBalancerOptions options);

    /** Runs timers; called about every `tickInterval`. */
    void onTick(TimePoint now, TransitEffects& effects) override;

    /** Handles a packet that the routers forwarded. */
    void onPacket(TransitPacket packet, TimePoint now, TransitEffects& effects) override;

    /** Handles a message of another process. */
    void onMessage(Endpoint from, Message message, TimePoint now, TransitEffects& effects) override;

    void onTargetProbe(bool, TimePoint, TransitEffects&) override { } // A balancer has no target.

    /** Begins a graceful shutdown: the balancer leaves rotation, but still forwards packets. */
    void onStop(TimePoint now, TransitEffects& effects) override;

    /** @return Whether the routers may send packets here. */
    bool isReady() const override;

    /** @return Whether the graceful shutdown is complete. */
    bool isFinished(TimePoint now) const override;

    std::vector<TransitGauge> gauges(TimePoint now) const override;

    /** Answers `placePath` with the explanation of one placement. */
    HttpReply page(std::string_view path, std::string_view query, TimePoint now) const override;

    const TransitPlacement& placement() const { return m_placement; }

    /** @return Cached holder of the flow. */
    std::optional<Endpoint> holderOf(const FlowTuple& flow) const;

private:
    /** Agent that may hold a flow. */
    struct Holder {
        Endpoint agent;
        std::uint32_t targetSequence {}; ///< First sequence number of the agent's target; zero if unknown.
    };

    /** Why a balancer takes an agent for the holder of a flow. */
    enum class HolderBasis : std::uint8_t {
        Answered, ///< Its target answered the opening packet; the caller may have chosen another target.
        Reported, ///< It said that its target holds the flow.
        Acknowledged, ///< The caller acknowledged its target's answer.
    };

    struct CachedFlow {
        Holder holder;
        HolderBasis basis {};
        std::vector<Holder> alternatives; ///< Other agents whose targets answered, until the caller has chosen one.
        TimePoint usedAt;
    };

    /** What the agents that were tried for one opening packet did. */
    struct OpenProgress {
        TimePoint startedAt;
        TimePoint arrivedAfter; ///< The packet did not arrive before this time.
        std::size_t declines {}; ///< Agents whose targets certainly did not accept the packet.
        bool isOverloaded {}; ///< One of them declined because it is overloaded.
    };

    /** Opening packet that no agent has answered yet. */
    struct PendingOpen {
        ForwardMessage forward;
        Endpoint agent; ///< Agent that the packet was sent to last.
        TimePoint retryAt;
        OpenProgress progress;
    };

    /** What is known of a flow when its opening packet arrives. */
    struct OpenStanding {
        std::optional<Endpoint> holder; ///< Agent whose target holds the flow; gets the packet.
        std::vector<Endpoint> tried; ///< Agents that an unanswered earlier transmission was sent to.
    };

    /** Target for an opening packet. */
    struct NextTarget {
        const TargetEntry* target {}; ///< Null if there is none.
        std::string_view refusal; ///< Reason for which there is none.
        std::optional<TimePoint>
            spareReportedAt; ///< Set if it was chosen for the spare capacity that it reported then.
    };

    /** Search for the holder of a flow: queries its locators first, then the agents that these do not rule out. */
    struct Locate {
        std::vector<TransitPacket> packets;
        std::vector<Endpoint> waitingFor; ///< Queried agents that have not answered.
        std::vector<Endpoint> queried;
        std::vector<Endpoint> answered; ///< Agents whose targets do not hold the flow.
        std::vector<Endpoint> reportingLocators; ///< Locators that sent an absence report.
        std::vector<Endpoint> unknownAgents; ///< Agents of unknown status in at least one report; these have to answer.
        std::vector<Endpoint> staleAgents; ///< Agents that are stale in at least one report and unknown in none.
        TimePoint broadcastAt; ///< When the agents that were not ruled out were queried.
        TimePoint retryAt; ///< When the agents that have not answered are queried again.
        TimePoint startedAt;
        bool isBroadcast {}; ///< The agents that were not ruled out have been queried.
        bool isComplete {}; ///< `queried` contains all agents that were not ruled out.
    };

    // Opening packets, in transit_balancer_open.cpp.
    void openFlow(
        TransitPacket packet, const RouteRecord& route, TimePoint arrivedAfter, TimePoint now, TransitEffects& effects);
    void sendOpen(ForwardMessage forward, OpenProgress progress, TimePoint now, TransitEffects& effects);
    /** @return What this balancer knows of a flow whose opening packet arrives. */
    OpenStanding openStandingOf(const FlowTuple& flow) const;
    /** Chooses the target for an opening packet. @param trace See TransitPlacement::choose. */
    NextTarget chooseNext(const std::string& service, const FlowTuple& flow, const std::vector<Endpoint>& triedAgents,
        bool isOverloaded, TimePoint now, PlacementTrace* trace = nullptr) const;
    void refuseIfDeclined(const ForwardMessage& forward, const OpenProgress& progress, std::string_view reason,
        TimePoint now, TransitEffects& effects);
    void refuseUnlessOpen(const TransitPacket& packet, const OpenProgress& progress, std::string_view reason,
        std::size_t tried, TimePoint now, TransitEffects& effects);
    void refuseOpen(const TransitPacket& packet, std::string_view reason, std::size_t tried, TimePoint now,
        TransitEffects& effects);
    void onHeld(Endpoint from, const HeldMessage& held, TimePoint now, TransitEffects& effects);
    void onDeclined(Endpoint from, DeclinedMessage declined, TimePoint now, TransitEffects& effects);
    void retryOpens(TimePoint now, TransitEffects& effects);
    static const std::string* serviceByWeight(const RouteRecord& route, const FlowTuple& flow);
    /**
     * The service by weight, unless its targets have no free slot and those of another service of the route do. It
     * covers a crowd that arrives at one service while the other is idle.
     */
    const std::string* serviceFor(const RouteRecord& route, const FlowTuple& flow, TimePoint now) const;
    double utilisationFor(const std::string& service, const FlowTuple& flow, TimePoint now) const;

    // Explanation of a placement, in transit_balancer_place.cpp.
    PlaceReport explainPlace(const PlaceQuery& query, TimePoint now) const;
    void explainTarget(PlaceReport& report, const std::string& service, const FlowTuple& flow, TimePoint now) const;
    void explainCandidates(PlaceReport& report, const std::string& service, const PlacementTrace& trace,
        const OpenStanding& standing, TimePoint now) const;
    std::vector<const TargetEntry*> targetsAt(const std::vector<Endpoint>& agents, const std::string& service) const;

    // Packets of flows, in transit_balancer_locate.cpp.
    void forwardData(TransitPacket packet, TimePoint now, TransitEffects& effects);
    static bool chooseHolder(CachedFlow& cached, const TransitPacket& packet);
    void startLocate(TransitPacket packet, TimePoint now, TransitEffects& effects);
    void queryLocators(const FlowTuple& flow, Locate& locate, TimePoint now, TransitEffects& effects);
    void broadcastLocate(const FlowTuple& flow, Locate& locate, std::vector<Endpoint> agents, TimePoint now);
    bool queryAgents(const FlowTuple& flow, const Locate& locate, const std::vector<Endpoint>& agents);
    void onAbsenceReport(Endpoint from, const AbsenceReportMessage& report, TimePoint now, TransitEffects& effects);
    static void mergeReport(Locate& locate, const AbsenceReportMessage& report);
    void evaluateReports(const FlowTuple& flow, TimePoint now, TransitEffects& effects);
    void finishIfLost(const FlowTuple& flow, TimePoint now, TransitEffects& effects);
    void abandonLocate(const FlowTuple& flow, const Locate& locate, TransitEffects& effects);
    void sendImmediateQueries(TimePoint now, TransitEffects& effects);
    bool usesDirectQueries(TimePoint now) const;
    void refillLocateBytes(Duration elapsed);
    void sendQueries(TimePoint now, TransitEffects& effects);
    void sendQuery(Endpoint agent, const std::vector<FlowTuple>& flows, const std::vector<Endpoint>& relayTo,
        TransitEffects& effects);
    std::optional<Endpoint> chooseRelay(TimePoint now);
    void recordNotHeld(Endpoint from, const FlowTuple& flow, TimePoint now, TransitEffects& effects);
    void queryLocator(Endpoint agent, Locate& locate, TransitEffects& effects);
    void onNotHeld(Endpoint from, NotHeldMessage message, TimePoint now, TransitEffects& effects);
    void finishLocate(
        const FlowTuple& flow, Endpoint holder, bool hasFirstPacket, TimePoint now, TransitEffects& effects);
    void dropCandidate(Endpoint agent, const FlowTuple& flow, TransitEffects& effects);
    void declareLost(const FlowTuple& flow, const Locate& locate, TimePoint now, TransitEffects& effects);
    void tickLocates(TimePoint now, TransitEffects& effects);
    std::vector<Endpoint> possibleHolders(TimePoint now) const;

    // Rotation, in transit_balancer_entry.cpp.
    void updateEntry(TimePoint now, TransitEffects& effects);
    void recordSentPackets(std::span<const TransitEffect> sent, TimePoint now);
    bool mayLeaveRotation(TimePoint now) const;
    void leaveRotation(TimePoint now, TransitEffects& effects);

    // In transit_balancer_cmd.cpp.
    void handleMessage(Endpoint from, Message message, TimePoint now, TransitEffects& effects);
    void handlePacket(TransitPacket packet, TimePoint arrivedAfter, TimePoint now, TransitEffects& effects);
    void onViewChanged(TimePoint now, TransitEffects& effects) override;
    void releaseWaitingPackets(TimePoint now, TransitEffects& effects);
    void sweepFlows(TimePoint now);
    void cacheHolder(const FlowTuple& flow, Holder holder, bool isOpening, TimePoint now);
    static void addCandidate(CachedFlow& cached, Holder holder);
    Endpoint agentOf(std::uint32_t address) const { return { address, m_options.fleetPort }; }

    TransitBalancerOptions m_options;
    TransitPlacement m_placement;
    EntryRotation m_entry;
    TimePoint m_nextEntryUpdateAt;
    TransitLocators m_locators;
    std::unordered_map<FlowTuple, CachedFlow> m_flows;
    std::unordered_map<FlowTuple, PendingOpen> m_opens;
    std::deque<std::pair<TimePoint, FlowTuple>> m_openTimers; ///< In order of time.
    RetryBudget m_retryBudget;
    std::unordered_map<FlowTuple, Locate> m_locates;
    std::int64_t m_locateBytes {}; ///< Remaining byte budget for queries to many agents.
    std::map<Endpoint, std::vector<FlowTuple>> m_queries; ///< Flows that each agent is queried for at the next tick.
    std::map<std::vector<Endpoint>, std::vector<FlowTuple>>
        m_relayedQueries; ///< Flows for which a relay queries these agents at the next tick.
    std::uint32_t m_immediateQueries {}; ///< Number of queries sent immediately since the last tick.
    std::size_t m_relayRotation {}; ///< Round-robin position for the choice of relays.
    std::deque<std::pair<TimePoint, TransitPacket>>
        m_waitingPackets; ///< Packets buffered until the first view arrives, with the time after which they arrived.
    TimePoint m_nextSweepAt;
    std::optional<TimePoint> m_lastTickAt;
    TimePoint m_caughtUpAt; ///< Packets that arrived before this time have been read.
    std::optional<TimePoint> m_stoppedAt;
    std::optional<TimePoint> m_leftRotationAt; ///< Not ready since then, but packets are still forwarded.
    bool m_wasReady {};
};

} // namespace hawthorncroft
