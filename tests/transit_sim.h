/**
 * @file transit_sim.h
 * A small fleet on simulated time for tests of transparent flows: balancers and agents are the real cores; targets,
 * callers and the store are fakes. Messages take a millisecond. Nothing is random.
 */
#pragma once

#include "transit_agent_base.h"
#include "transit_balancer_base.h"

#include <map>
#include <memory>
#include <queue>
#include <set>

namespace hawthorncroft::tests {

inline constexpr std::uint16_t fleetPort = 7000;
inline constexpr std::uint16_t targetPort = 8000;
inline constexpr Endpoint routeAddress { 0x0a630001, 443 };

/** Target behind an agent: takes openings, answers requests with its slots, returns what it does not hold. */
struct FakeTransitTarget {
    std::string id;
    std::string service;
    std::uint32_t slots { 4 };
    Duration serviceTime { milliseconds(20) };
    bool isResponding { true }; ///< Otherwise it neither takes nor sends anything.
    bool isRunning { true }; ///< Its process exists.
    bool resetsRequests {}; ///< Takes flows and resets them with their first request.
    bool returnsOpens {}; ///< Runs, but takes no flows.
    bool resetsUnknown {}; ///< Resets what it does not hold, instead of returning it.
    std::set<FlowTuple> flows;
    std::set<std::pair<FlowTuple, std::uint32_t>> receivedRequests; ///< Sequences of requests, as copies count once.
    std::size_t deliveredPackets {}; ///< Packets with data that arrived, copies included.
    std::vector<FlowTuple> queue; ///< Requests that wait in the target, first come, first served.
    std::uint32_t running {};
    std::vector<std::pair<TimePoint, FlowTuple>> opened; ///< Opening packets taken, with their time.
    std::vector<std::pair<TimePoint, FlowTuple>> started; ///< Requests started, with their time.
    std::size_t returned {}; ///< Packets returned.
};

/** What a caller got on a flow. */
struct CallerState {
    std::optional<TimePoint> openedAt; ///< First answer to the opening packet.
    std::uint32_t targetSequence {}; ///< Sequence of that answer.
    std::size_t answers {}; ///< Packets with data.
    std::optional<TimePoint> answeredAt;
    std::optional<TimePoint> resetAt;
};

/** The simulated fleet. */
class TransitSim {
public:
    TransitSim();

    /** Adds a balancer; it ticks from now on. @return Its endpoint. */
    Endpoint addBalancer(std::uint32_t address, const std::string& domain = "a");

    /** Adds an agent with a target, and registers the target in the store. @return The agent's endpoint. */
    Endpoint addAgent(std::uint32_t address, const std::string& service = "web", const std::string& domain = "a",
        bool isFirstStart = true);

    /** Ends a process as planned, and takes it away once it is finished. */
    void stop(Endpoint process);

    /** Carries out effects of an event that a test gave to a process. */
    void carryOutFor(Endpoint process, TransitEffects& effects) { carryOut(process, effects); }

    bool isRunning(Endpoint process) const { return m_cores.contains(process); }

    /** Ends a process without notice; its target lives on. */
    void kill(Endpoint process) { m_cores.erase(process); }

    /** Starts a killed process again with nothing of what it knew. */
    void restart(Endpoint process);

    /** Messages and packets to and from this address are lost. */
    void disconnect(std::uint32_t address) { m_disconnected.insert(address); }
    void reconnect(std::uint32_t address) { m_disconnected.erase(address); }

    /** Messages between this failure domain and the others are lost; empty to end it. */
    void partitionDomain(const std::string& domain) { m_partitionedDomain = domain; }

    /** A paused process handles nothing; what is sent to it waits. */
    void pause(Endpoint process) { m_paused.insert(process); }
    void resume(Endpoint process) { m_paused.erase(process); }

    /** The store answers nothing while it is down. */
    void setStoreDown(bool isDown) { m_isStoreDown = isDown; }
    void writeRoutes(const std::vector<RouteRecord>& routes, double warmupPerSecond = 0);
    void writeTarget(const TargetRecord& target);
    void removeTarget(const std::string& id);
    void evacuate(const std::string& domain, bool isOut);

    /** Sets the bandwidth that balancers started from now on believe to have. */
    void setLink(std::int64_t bytesPerSecond) { m_linkBytesPerSecond = bytesPerSecond; }

    /** Ends the process of a target without notice. */
    void crashTarget(std::uint32_t address);

    /** Replaces the lifetime of a target: its flows are gone. */
    void restartTarget(std::uint32_t address, const std::string& id);

    /** Sends a caller's packet to a balancer. */
    void sendOpen(Endpoint balancer, const FlowTuple& flow, std::uint32_t copy = 0);
    void sendRequest(Endpoint balancer, const FlowTuple& flow, std::uint32_t sequence = 1);

    /** Opens a flow and waits for the answer. @return Agent's address of the target that answered; zero without one. */
    std::uint32_t open(Endpoint balancer, const FlowTuple& flow);

    /** Lets time pass. */
    void run(Duration time);

    TimePoint now() const { return m_now; }
    CallerState& caller(const FlowTuple& flow) { return m_callers[flow]; }
    FakeTransitTarget& target(std::uint32_t address) { return m_targets[address]; }
    TransitBalancer& balancer(Endpoint endpoint) { return dynamic_cast<TransitBalancer&>(*m_cores.at(endpoint)); }
    TransitAgent& agent(Endpoint endpoint) { return dynamic_cast<TransitAgent&>(*m_cores.at(endpoint)); }
    std::size_t messages() const { return m_messages; }

    /** @return Messages that were sent to find out where flows are. */
    std::size_t locateMessages() const { return m_locateMessages; }
    std::size_t storeCalls() const { return m_storeCalls; }

    std::size_t probes() const { return m_probes; }

    /** @return Stamps that were sent to another failure domain. */
    std::size_t crossDomainStamps() const { return m_crossDomainStamps; }

    /** Lines logged for an event. */
    std::size_t logLineCount(const std::string& event) const;

private:
    struct Event {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> action;
        bool operator>(const Event& other) const { return std::tie(at, number) > std::tie(other.at, other.number); }
    };
    struct Watch {
        Endpoint process;
        std::uint64_t incarnation;
        Revision after;
        TimePoint until;
    };

    void at(TimePoint time, std::function<void()> action);
    void tickAll();
    void deliver(Endpoint process, std::uint64_t incarnation, std::function<void(TransitCore&)> action);
    bool isPartitioned(Endpoint from, Endpoint to);
    void carryOut(Endpoint process, TransitEffects& effects);
    void receiveAtTarget(std::uint32_t address, TransitPacket packet, std::uint32_t tag);
    void startNext(std::uint32_t address);
    void sendFromTarget(std::uint32_t address, TransitPacket packet);
    void receiveAtCaller(const TransitPacket& packet);
    void answerWatches();
    std::vector<StoreChange> changesAfter(Revision after) const;
    std::unique_ptr<TransitCore> makeCore(Endpoint process);

    struct Process {
        bool isAgent {};
        std::string service;
        std::string domain;
        bool isFirstStart {};
        std::uint64_t incarnation {};
        TimePoint nextTick;
    };

    TimePoint m_now { seconds(100).us };
    std::uint64_t m_lastNumber {};
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::map<Endpoint, std::unique_ptr<TransitCore>> m_cores;
    std::map<Endpoint, Process> m_processes;
    std::map<Endpoint, std::vector<std::function<void()>>> m_deferredDeliveries; ///< Of paused processes.
    std::map<std::uint32_t, FakeTransitTarget> m_targets;
    std::map<FlowTuple, CallerState> m_callers;
    std::set<std::uint32_t> m_disconnected;
    std::string m_partitionedDomain;
    std::set<Endpoint> m_paused;
    std::vector<Endpoint> m_seeds;
    std::map<std::string, StoreChange> m_store; ///< By key.
    std::vector<std::pair<Revision, StoreChange>> m_history;
    std::vector<Watch> m_watches;
    Revision m_revision { 10 };
    bool m_isStoreDown {};
    std::int64_t m_linkBytesPerSecond { 125000000 };
    std::size_t m_messages {};
    std::size_t m_locateMessages {};
    std::size_t m_crossDomainStamps {};
    std::size_t m_probes {};
    std::size_t m_storeCalls {};
    std::map<std::string, std::size_t> m_logLineCounts;
};

/** @return A flow of caller number n to the route of the tests. */
inline FlowTuple flowOf(std::uint32_t n) { return { { 0x64000000 + n, 40000 }, routeAddress }; }

/** @return A route to one service. */
RouteRecord routeTo(const std::string& service, Endpoint address = routeAddress);

/** @return A registered target. */
TargetRecord targetRecord(
    std::uint32_t address, const std::string& id, const std::string& service = "web", const std::string& domain = "a");

} // namespace hawthorncroft::tests
