/**
 * @file transit_fleet_base.h
 * Membership and view replication, common to balancers and agents: detects which processes are alive, keeps the view of
 * the platform up to date by gossip, and reads the store while this process is selected as a reader. Pure: takes events
 * with a time and returns effects; does no I/O.
 */
#pragma once

#include "transit_effect_type.h"
#include "transit_path_base.h"
#include "transit_view_base.h"

#include <map>
#include <optional>
#include <unordered_map>

namespace hawthorncroft {

/** Options of a fleet member. */
struct FleetOptions {
    Endpoint self; ///< Endpoint at which this process receives messages.
    ProcessRole role {};
    std::uint64_t incarnation {}; ///< Random number drawn when the process starts.
    std::vector<Endpoint> seeds; ///< Initial members; the list may be out of date.
    std::string failureDomain; ///< Failure domain of the VM of this process.
    std::int64_t linkBytesPerSecond { 125000000 }; ///< Bandwidth of the VM's link; those beside targets are wide.
    bool relayPaths { true }; ///< Messages to domains behind broken paths go through relays; this process is one.
};

/** State of another process, as known to this one. */
struct Member {
    ProcessRole role {};
    std::uint64_t incarnation {}; ///< Zero while the process is not alive.
    TimePoint lastHeardAt {}; ///< When the last message was received, or when the member was added.
    std::string failureDomain; ///< Empty while unknown. Set by TransitFleet::setDomain.
    DomainId domain {}; ///< Its hash.
    bool takesRelayed {}; ///< Forwards and receives relayed messages, by its last stamp.
    bool isReady {}; ///< Balancers only: whether routers may send packets there, by its last stamp.
    std::optional<EntryReport> entry; ///< Balancers only: its last report.
    TimePoint entryAt; ///< When that report was received.
};

/** Counts of the other balancers in the failure domain of this process. */
struct SameDomainBalancers {
    std::size_t known {}; ///< Includes stopped ones until they are removed from the members.
    std::size_t ready {};
};

/** Process that a message is sent to. */
struct MessageRoute {
    Endpoint to; ///< The receiver, or the relay.
    bool isRelayed {};
    bool isOverBudget {}; ///< Sent directly over a broken path, since the bytes for relays are used up.
};

/** Membership, the replicated view, and the choice of the processes that read the store. */
class TransitFleet {
public:
    explicit TransitFleet(FleetOptions options);

    /**
     * Runs the timers: sends stamps, expires members and starts store calls.
     * @param now Current time.
     * @param load Load of the target of this process; zero for balancers.
     * @param[out] effects List that effects are appended to.
     */
    void onTick(TimePoint now, const LoadReport& load, TransitEffects& effects);

    /**
     * Records that a message of any kind was received, and requests a delta when the sender's view is newer.
     * @param from Sender of the message.
     * @param through Position of the sender's view.
     */
    void recordContact(Endpoint from, StorePosition through, TimePoint now, TransitEffects& effects);

    /** Records that a message of any kind was received directly from its sender, for the state of the paths. */
    void recordReceived(Endpoint from, TimePoint now);

    /** @return Where to send a message: through a relay while the path to the receiver's domain is broken. */
    MessageRoute routeFor(Endpoint to, const MessageBody& body, TimePoint now);

    /**
     * Forwards a message to the receiver that it names.
     * @param from Process that this one got it from. Refused if that is not its origin, so that there are no loops.
     */
    void relay(Endpoint from, Message message, TimePoint now, TransitEffects& effects);

    /** @return State of the paths between failure domains. */
    const TransitPaths& paths() const { return m_paths; }

    /** @return Failure domains that messages do not reach directly, or whose messages do not arrive here. */
    std::vector<std::string> domainsBehindBrokenPaths() const;

    /** Handles a stamp; parameters as for recordContact. @return Whether the incarnation of the sender is new. */
    bool onStamp(
        Endpoint from, StorePosition through, const StampMessage& stamp, TimePoint now, TransitEffects& effects);

    /**
     * Handles a delta of the view.
     * @return Whether the view changed.
     */
    bool onDelta(Endpoint from, const DeltaMessage& message, TimePoint now, TransitEffects& effects);

    /** Marks a process that announced its shutdown as not alive. */
    void onLeaving(Endpoint from, TransitEffects& effects);

    /**
     * Handles one page of a full read of the store.
     * @param changes Content of the page.
     * @param asOf Position of the store when it returned the page.
     * @param nextAfter Key after which the next page starts; empty on the last page.
     * @return Whether the view changed.
     */
    bool onStorePage(std::vector<StoreChange> changes, StorePosition asOf, const std::string& nextAfter, TimePoint now,
        TransitEffects& effects);

    /** Handles the response to a watch. @return Whether the view changed. */
    bool onStoreChanges(
        const std::vector<StoreChange>& changes, StorePosition asOf, TimePoint now, TransitEffects& effects);

    /**
     * Handles a failed store call: schedules the next call with exponential backoff, or a full read at once when the
     * store no longer has the history since the position of the view.
     * @param era Era of the store in the response; zero when there was none.
     */
    void onStoreFailure(StoreFailure failure, StoreEra era, TimePoint now, TransitEffects& effects);

    /** Sends all members the message that this process shuts down. */
    void announceLeaving(TransitEffects& effects);

    /** Adds a process to those that receive stamps, such as the agent of a target in the view. */
    void addMember(Endpoint endpoint, ProcessRole role, TimePoint now);

    /** Adds the agents of all targets in the view as members. */
    void addAgents(std::uint16_t fleetPort, TimePoint now);

    /** Starts a gossip round because the view changed. Changes in quick succession share a round. */
    void startGossipRound(TimePoint now, TransitEffects& effects);

    const TransitView& view() const { return m_view; }
    const std::unordered_map<Endpoint, Member>& members() const { return m_members; }

    /**
     * @return Whether the agents of registered targets and those heard so far are all that may run. Not so for some
     * time after the first view: registrations that lapsed in an outage of the store are missing from it, and their
     * agents are unknown until they are heard.
     */
    bool knowsAllAgents(TimePoint now) const;

    /** @return Whether a message of the process was received within its member lifetime; see lifetimeOf. */
    bool isAlive(Endpoint endpoint, TimePoint now) const;

    /** Sets the readiness of this process and sends it to the balancers of the same failure domain. */
    void setReady(bool isReady, TimePoint now, TransitEffects& effects);

    /** Sets the capacity and load of this balancer that its stamps carry. */
    void setEntry(const EntryReport& report, Duration interval)
    {
        m_entry = report;
        if (interval < m_entryStampInterval)
            m_nextEntryStampAt = {};
        m_entryStampInterval = interval;
    }

    /** Sends a stamp to the balancers of the same failure domain, or to a fixed part of them in a large one. */
    void sendEntryStamps(TimePoint now, TransitEffects& effects);

    /**
     * @return The other balancers in the same failure domain; in a large one those that send their reports to this
     * process.
     */
    EntryBalancers entryBalancers(TimePoint now) const;

    /** @return Counts of the other balancers in the same failure domain. */
    SameDomainBalancers sameDomainBalancers(TimePoint now) const;

    /** @return Whether the process is known to be in the same failure domain as this one. */
    bool isInSameDomain(Endpoint endpoint) const;

    /** @return Time since the store last confirmed that the view is current; none when it never did. */
    std::optional<Duration> viewAge(TimePoint now) const;

    /** @return The view age in milliseconds, for logs; -1 when the store never confirmed the view. */
    std::int64_t viewAgeMs(TimePoint now) const;

    /** @return Whether this process is one of the balancers that always read the store. */
    bool isPermanentReader(TimePoint now) const;

    Endpoint self() const { return m_options.self; }

private:
    /** Agents through which messages to one failure domain go. */
    struct Relays {
        std::vector<Endpoint> agents; ///< Those heard last.
        bool doAllReceive {}; ///< No member of the domain is known that does not take relayed messages.
    };

    // Paths between failure domains, in transit_fleet_path.cpp.
    static constexpr std::size_t maxDomainNames = 64; ///< Failure domains with a name in logs.
    void setDomain(Member& member, const std::string& name);
    std::string nameOfDomain(DomainId domain) const;
    void updatePaths(TimePoint now, TransitEffects& effects);
    void findRelays(TimePoint now);
    static Endpoint chooseRelay(const std::vector<Endpoint>& agents, Endpoint to, TimePoint now);
    bool takeRelayBytes(std::int64_t bytes, TimePoint now);
    bool isBehindBrokenPath(const Member& member) const;

    bool hasUnregisteredAgent(TimePoint now) const;

    StampMessage makeStamp(TimePoint now, bool wantsReply) const;
    void sendStamp(Endpoint to, bool wantsReply, TimePoint now, TransitEffects& effects);
    void sendDelta(Endpoint to, StorePosition since, TimePoint now, TransitEffects& effects);
    void requestFullDelta(Endpoint from, TimePoint now, TransitEffects& effects);
    void sendStamps(
        const StampMessage& stamp, const std::vector<Endpoint>& members, std::size_t count, TransitEffects& effects);
    void sendStampRound(TimePoint now, TransitEffects& effects);
    TimePoint nextRoundAt(TimePoint now) const;
    std::vector<Endpoint> entryReceivers() const;
    Member* findOrAddMember(Endpoint endpoint);
    void expireMembers(TimePoint now, TransitEffects& effects);
    bool isConfirmedBy(StorePosition through) const;
    void confirm(TimePoint at);
    std::size_t fanout() const;
    Duration lifetimeOf(const Member& member) const;
    bool isInSameDomain(const Member& member) const;
    bool isAlive(const Member& member, TimePoint now) const;
    Duration ageLimit() const;
    bool shouldReadStore(TimePoint now) const;
    Duration firstReadWait();
    std::size_t rankAmong(ProcessRole role, bool isAnyRole, TimePoint now) const;
    void startStoreCall(TimePoint now, TransitEffects& effects);
    /**
     * Records that a store call was answered.
     * @param asOf Position of the store in the response.
     * @param confirmedAt Time at which that was its position, at the latest.
     */
    void recordStoreAnswer(StorePosition asOf, TimePoint confirmedAt, TimePoint now, TransitEffects& effects);
    bool applyPages(TimePoint now, TransitEffects& effects);
    void discardPages();
    Duration nextBackoff(std::uint32_t attempts);
    bool isFullReadNeededFor(StoreEra era) const;
    void discardStoreAnswer(StorePosition asOf, TimePoint now, TransitEffects& effects);
    void logStoreAnswer(std::string_view call, StorePosition before, StorePosition asOf, std::size_t items,
        TimePoint now, TransitEffects& effects) const;
    void logEraChange(StorePosition before, std::string_view source, TransitEffects& effects) const;
    TimePoint retainRemovedUntil(TimePoint now) const;
    std::uint64_t nextRandom();

    FleetOptions m_options;
    TransitView m_view;
    std::unordered_map<Endpoint, Member> m_members;
    std::size_t m_sameDomainMembers {}; ///< Members in the same failure domain, as of the last gossip round.
    DomainId m_ownDomain {};
    TransitPaths m_paths;
    std::map<DomainId, std::string> m_domainNames; ///< Of the members.
    std::map<DomainId, Relays> m_relays; ///< By failure domain behind a broken path.
    TimePoint m_nextRelayUpdateAt;
    TimePoint m_lastPathRoundAt;
    std::int64_t m_relayBytes {}; ///< Remaining byte budget for relayed messages.
    TimePoint m_relayRefilledAt;
    std::uint64_t m_rounds {}; ///< Rounds of stamps since the start.
    LoadReport m_load;
    bool m_isReady {};
    Duration m_entryStampInterval; ///< Interval between stamps with `m_entry`.
    std::optional<EntryReport> m_entry;
    TimePoint m_nextEntryStampAt;
    std::uint64_t m_random;
    TimePoint m_deltaRequestedAt { -seconds(1).us }; ///< When a delta was last requested; set back when one arrives.
    TimePoint m_lastChangeRoundAt { -seconds(1).us }; ///< When a view change last started a gossip round.
    TimePoint m_nextStampAt;
    TimePoint m_nextExpiryAt;
    std::optional<TimePoint> m_confirmedAt;

    bool m_isCallPending {}; ///< A store call is in progress.
    TimePoint m_callStartedAt; ///< When the last store call was started.
    TimePoint m_nextCallAt;
    std::optional<TimePoint> m_firstViewAt; ///< First tick with a view.
    TimePoint m_firstReadAt; ///< Earliest time at which a process without a view reads the store.
    std::uint32_t m_consecutiveFailures {}; ///< Failed store calls since the last response.
    std::uint32_t m_readsBehind {}; ///< Full reads in a row that were older than the view.
    std::optional<TimePoint> m_storeRecoveredAt; ///< Time of the first response after failed calls.
    StorePosition m_watchedFrom; ///< Position that the last watch was started from.
    bool m_needsFullRead {}; ///< The store no longer has the history since the position of the view.
    bool m_wasReader {};
    std::vector<StoreChange> m_pages; ///< Content of the pages received so far in a full read.
    StorePosition m_firstPageAsOf; ///< Position of the first page; changes after it may be missing from the pages.
};

} // namespace hawthorncroft
