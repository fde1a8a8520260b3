/**
 * @file transit_sim.h
 * Deterministic simulation of a small fleet for tests of transparent flows. Balancers and agents are the real cores;
 * targets, callers and the store are fakes. Every message has a network delay of 1 ms. Time is simulated.
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

/** Target behind an agent: accepts opening packets, serves requests in its slots, returns packets of unknown flows. */
struct FakeTransitTarget {
    std::string id;
    std::string service;
    std::uint32_t slots { 4 };
    Duration serviceTime { milliseconds(20) };
    bool isResponding { true }; ///< Otherwise the target hangs: it neither receives nor sends packets.
    bool isRunning { true }; ///< Its process exists and accepts the agent's health probes.
    bool resetsRequests {}; ///< Accepts flows and resets them on their first request.
    bool returnsOpens {}; ///< Runs, but returns all opening packets.
    bool resetsUnknown {}; ///< Resets unknown flows instead of returning their packets.
    bool checksAcknowledgements {}; ///< Returns data that acknowledges the opening answer of another target.
    bool ignoresOtherAcknowledgements {}; ///< As above, but drops such data silently.
    std::set<FlowTuple> flows;
    std::set<std::pair<FlowTuple, std::uint32_t>> receivedRequests; ///< By sequence number; retransmissions count once.
    std::size_t deliveredPackets {}; ///< Packets with data that arrived, including retransmissions.
    std::vector<std::pair<TimePoint, FlowTuple>> arrivals; ///< Packets with data that arrived, whether accepted or not.
    std::vector<FlowTuple> queue; ///< FIFO queue of requests that wait for a slot.
    std::size_t longestQueue {}; ///< Maximum length of that queue.
    std::uint32_t running {};
    std::vector<std::pair<TimePoint, FlowTuple>> opened; ///< Accepted flows, with the time of the opening packet.
    std::vector<std::pair<TimePoint, FlowTuple>> started; ///< Requests that got a slot, with their time.
    std::size_t returned {}; ///< Opening packets returned, and packets of unknown flows returned or reset.
};

/** Request of several packets, as its caller sends it and its target receives it. */
struct FakeTransfer {
    std::uint32_t sequence {}; ///< Sequence number of the first byte.
    std::uint32_t bytes {}; ///< Head and body.
    std::optional<std::uint64_t> requestSize; ///< What the head tells; none when it tells nothing.
    Duration serviceTime { microseconds(4200) }; ///< From the last byte to the answer.
    bool isAcknowledged { true }; ///< The target acknowledges each packet; otherwise it sends only its answer.
    std::set<std::uint32_t> received; ///< Indexes of the packets that the target has received.

    static constexpr std::uint32_t packetBytes = 1200;
    std::uint32_t packets() const { return (bytes + packetBytes - 1) / packetBytes; }
    bool isComplete() const { return received.size() == packets(); }
};

/** What a caller received on one flow. */
struct CallerState {
    std::optional<TimePoint> openedAt; ///< Time of the first answer to the opening packet.
    std::uint32_t targetSequence {}; ///< Sequence number of that answer.
    std::size_t answers {}; ///< Received packets with data.
    std::optional<TimePoint> answeredAt; ///< Time of the last packet with data.
    std::optional<TimePoint> resetAt;
    std::uint32_t acknowledged {}; ///< Acknowledgement number that the caller sent last on the open flow; zero before.
    std::size_t forgedResets {}; ///< Resets of the system on the open flow that are too far from that number.
};

/** Simulated fleet of balancers, agents, targets, callers and a store. */
class TransitSim {
public:
    TransitSim();

    /** Starts a balancer. The first three balancers are the seeds of later processes. @return Its endpoint. */
    Endpoint addBalancer(std::uint32_t address, const std::string& domain = "a");

    /**
     * Starts an agent and its target, and registers the target in the store, whose configuration has its service from
     * now on. @return The agent's endpoint.
     */
    Endpoint addAgent(std::uint32_t address, const std::string& service = "web", const std::string& domain = "a",
        bool isFirstStart = true);

    /** Shuts a process down gracefully: returns once it is finished, or after 1000 ticks. Its target keeps running. */
    void stop(Endpoint process);

    /** Carries out the effects of an event that a test passed to a process directly. */
    void applyEffectsFor(Endpoint process, TransitEffects& effects) { applyEffects(process, effects); }

    bool isRunning(Endpoint process) const { return m_cores.contains(process); }

    /** Kills a process without a shutdown; its target keeps running. */
    void kill(Endpoint process) { m_cores.erase(process); }

    /** Starts a process again, killed or not, with a new incarnation and empty state. */
    void restart(Endpoint process);

    /** Drops messages and packets to and from this address, except packets between an agent and its target. */
    void disconnect(std::uint32_t address) { m_disconnected.insert(address); }
    void reconnect(std::uint32_t address) { m_disconnected.erase(address); }

    /** Drops messages between this failure domain and the others. @param domain Empty to end the partition. */
    void partitionDomain(const std::string& domain) { m_partitionedDomain = domain; }

    /** Drops messages of one failure domain to another; those in the other direction pass. */
    void breakPath(const std::string& from, const std::string& to) { m_brokenPaths.emplace(from, to); }
    void healPath(const std::string& from, const std::string& to) { m_brokenPaths.erase({ from, to }); }

    /**
     * Decides how long a message takes, or that it is lost (no value). Empty for the usual delay.
     */
    using MessageFate = std::function<std::optional<Duration>(Endpoint from, Endpoint to, const MessageBody& body)>;
    void setMessageFate(MessageFate fate) { m_messageFate = std::move(fate); }

    /** A paused process handles no events; deliveries to it are deferred until after resume(). */
    void pause(Endpoint process) { m_paused.insert(process); }
    void resume(Endpoint process) { m_paused.erase(process); }

    /** @return Position of the last change in the store. */
    StorePosition lastPosition() const { return { m_era, m_revision }; }

    /** @return Current value of every key in the store. */
    std::vector<StoreChange> storeContent() const;

    /** Content of the store at some time. */
    struct StoreCopy {
        std::map<std::string, StoreChange> items;
        std::vector<std::pair<Revision, StoreChange>> history;
        Revision revision;
    };
    StoreCopy copyStore() const { return { m_store, m_history, m_revision }; }

    /** The store comes back from a copy: what was written since is gone, and a new era begins. */
    void restoreStore(const StoreCopy& copy);

    /** While the store is down, its calls fail as unreachable. */
    void setStoreDown(bool isDown) { m_isStoreDown = isDown; }

    /** While a failure domain is cut off from the store, the calls of its processes fail. @param domain Empty for none.
     */
    void cutFromStore(const std::string& domain) { m_domainCutFromStore = domain; }
    void writeRoutes(const std::vector<RouteRecord>& routes, double warmupPerSecond = 0);
    void writeTarget(const TargetRecord& target);
    void removeTarget(const std::string& id);
    void evacuate(const std::string& domain, bool isOut);

    /** Sets the release order of agents that are started from now on. */
    void setReleaseOrder(ReleaseOrder order) { m_releaseOrder = order; }

    /** Sets the configured link bandwidth of balancers that are started from now on. */
    void setLink(std::int64_t bytesPerSecond) { m_linkBytesPerSecond = bytesPerSecond; }

    /** Sets whether processes that are started from now on use relays and are relays. */
    void setRelayPaths(bool areUsed) { m_relayPaths = areUsed; }

    /** Kills the process of a target without informing its agent. */
    void crashTarget(std::uint32_t address);

    /** Starts a new incarnation of a target, registered under a new id. It holds no flows. */
    void restartTarget(std::uint32_t address, const std::string& id);

    /** Delivers a caller's opening packet to a balancer. @param copy Zero, or the number of the retransmission. */
    void sendOpen(Endpoint balancer, const FlowTuple& flow, std::uint32_t copy = 0);

    /** Delivers a request of one packet to a balancer. A repeated sequence number is a retransmission. */
    void sendRequest(Endpoint balancer, const FlowTuple& flow, std::uint32_t sequence = 1);

    /** Declares a request of several packets, the next one of the flow, for sendTransferPacket(). */
    void declareTransfer(const FlowTuple& flow, FakeTransfer transfer) { m_transfers[flow] = std::move(transfer); }

    /** Delivers one packet of the declared request to a balancer. */
    void sendTransferPacket(Endpoint balancer, const FlowTuple& flow, std::uint32_t index);

    const FakeTransfer& transfer(const FlowTuple& flow) const { return m_transfers.at(flow); }

    /** Delivers a caller's reset to a balancer: the caller has given up. It acknowledges nothing. */
    void sendReset(Endpoint balancer, const FlowTuple& flow);

    /** Opens a flow and runs for 10 ms. @return Address of the VM whose target holds the flow; zero when none does. */
    std::uint32_t open(Endpoint balancer, const FlowTuple& flow);

    /** Advances the simulated time in steps of 5 ms. */
    void run(Duration time);

    TimePoint now() const { return m_now; }
    CallerState& caller(const FlowTuple& flow) { return m_callers[flow]; }
    FakeTransitTarget& target(std::uint32_t address) { return m_targets[address]; }
    TransitBalancer& balancer(Endpoint endpoint) { return dynamic_cast<TransitBalancer&>(*m_cores.at(endpoint)); }
    TransitAgent& agent(Endpoint endpoint) { return dynamic_cast<TransitAgent&>(*m_cores.at(endpoint)); }

    /** @return Messages sent between processes. */
    std::size_t messages() const { return m_messages; }

    /** @return Messages sent to locate flows, including the replies. */
    std::size_t locateMessages() const { return m_locateMessages; }

    /** @return Reads and watches of the store. */
    std::size_t storeCalls() const { return m_storeCalls; }

    /** @return Full reads of the store by a process. */
    std::size_t fullReads(Endpoint process) const
    {
        auto found = m_fullReads.find(process);
        return found == m_fullReads.end() ? 0 : found->second;
    }

    /** @return Health probes of targets. */
    std::size_t probes() const { return m_probes; }

    /** @return Stamps sent from one failure domain to another. */
    std::size_t crossDomainStamps() const { return m_crossDomainStamps; }

    /** @return Sum of a counter over all processes. */
    std::uint64_t count(TransitCounter counter) const
    {
        auto found = m_counts.find(counter);
        return found == m_counts.end() ? 0 : found->second;
    }

    /** @return Times that all processes recorded, in order. */
    const std::vector<Duration>& times(TransitDistribution distribution) { return m_times[distribution]; }

    /** @return Number of log lines of an event. */
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
        StorePosition after;
        TimePoint until;
    };

    void at(TimePoint time, std::function<void()> action);
    void tickAll();
    /**
     * Passes an event to a process, or defers it while the process is paused. Drops it when the process is not running,
     * disconnected or of another incarnation.
     * @param incarnation Zero for any.
     */
    void deliver(Endpoint process, std::uint64_t incarnation, std::function<void(TransitCore&)> action);
    bool isPartitioned(Endpoint from, Endpoint to);
    void transmit(Endpoint from, Endpoint to, Message message);
    void applyEffects(Endpoint process, TransitEffects& effects);
    void receiveAtTarget(std::uint32_t address, TransitPacket packet, std::uint32_t tag);
    void receiveTransferAtTarget(std::uint32_t address, const TransitPacket& packet);
    void startNext(std::uint32_t address);
    void sendFromTarget(std::uint32_t address, TransitPacket packet);
    void receiveAtCaller(const TransitPacket& packet);
    void receiveResetAtCaller(const ResetCaller& reset);
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
    std::map<Endpoint, std::vector<std::function<void()>>> m_deferredDeliveries; ///< To paused processes.
    std::map<std::uint32_t, FakeTransitTarget> m_targets;
    std::map<FlowTuple, CallerState> m_callers;
    std::map<FlowTuple, FakeTransfer> m_transfers;
    std::set<std::uint32_t> m_disconnected;
    std::string m_partitionedDomain;
    std::set<std::pair<std::string, std::string>> m_brokenPaths;
    MessageFate m_messageFate;
    std::set<Endpoint> m_paused;
    std::vector<Endpoint> m_seeds;
    std::map<std::string, StoreChange> m_store; ///< Current items by key.
    std::vector<std::pair<Revision, StoreChange>> m_history;
    std::vector<Watch> m_watches;
    std::map<Endpoint, std::size_t> m_fullReads;
    Revision m_revision { 10 };
    StoreEra m_era { 1 };
    std::uint64_t m_configurationVersion {};
    std::set<std::string> m_services { "web", "mail" }; ///< Services of the configuration.
    std::vector<RouteRecord> m_routes;
    double m_warmupPerSecond {};
    bool m_isStoreDown {};
    std::string m_domainCutFromStore;
    ReleaseOrder m_releaseOrder { ReleaseOrder::InTimeFirst };
    std::int64_t m_linkBytesPerSecond { 125000000 };
    bool m_relayPaths { true };
    std::size_t m_messages {};
    std::size_t m_locateMessages {};
    std::size_t m_crossDomainStamps {};
    std::size_t m_probes {};
    std::size_t m_storeCalls {};
    std::map<std::string, std::size_t> m_logLineCounts;
    std::map<TransitCounter, std::uint64_t> m_counts;
    std::map<TransitDistribution, std::vector<Duration>> m_times;
};

/** @return First sequence number of the target on a VM. */
std::uint32_t initialSequenceOf(std::uint32_t address);

/** @return The flow from caller n to routeAddress. */
inline FlowTuple flowOf(std::uint32_t n) { return { { 0x64000000 + n, 40000 }, routeAddress }; }

/** @return A route that sends all flows to one service. */
RouteRecord routeTo(const std::string& service, Endpoint address = routeAddress);

/** @return Record of a target that is ready. */
TargetRecord targetRecord(
    std::uint32_t address, const std::string& id, const std::string& service = "web", const std::string& domain = "a");

} // namespace hawthorncroft::tests
