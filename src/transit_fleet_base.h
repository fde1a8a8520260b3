/**
 * @file transit_fleet_base.h
 * What every process does with the others: knows who is alive, keeps its view of the platform up to date by gossip, and
 * reads the store when it is its turn. Pure: events with a time in, effects out.
 */
#pragma once

#include "transit_effect_type.h"
#include "transit_view_base.h"

#include <optional>
#include <unordered_map>

namespace hawthorncroft {

/** Settings of a process's part in the fleet. */
struct FleetOptions {
    Endpoint self; ///< Endpoint that other processes send to.
    ProcessRole role {};
    std::uint64_t incarnation {}; ///< Random number of the process.
    std::vector<Endpoint> seeds; ///< Processes to start from; may be stale.
    std::string failureDomain; ///< Of this process's VM.
};

/** Another process. */
struct Member {
    ProcessRole role {};
    std::uint64_t incarnation {};
    TimePoint heardAt {};
    std::string failureDomain; ///< Empty until it is known.
    bool isReady {}; ///< Balancers only: routers may send packets there, when it was heard last.
};

/** Balancers of the own failure domain beside this process. */
struct SameDomainBalancers {
    std::size_t known {}; ///< Those that ended a while ago included.
    std::size_t ready {};
};

/** Members, view and the reading of the store. */
class TransitFleet {
public:
    explicit TransitFleet(FleetOptions options);

    /**
     * Lets time pass: sends stamps, expires members, starts calls to the store.
     * @param now Current time.
     * @param load Load of this process's target; empty for balancers.
     * @param[out] effects Receives effects.
     */
    void onTick(TimePoint now, const LoadReport& load, TransitEffects& effects);

    /** Notes that a process is alive, whatever it sent. Asks for what it holds and this process does not. */
    void recordContact(Endpoint from, Revision through, TimePoint now, TransitEffects& effects);

    /** Takes a stamp. Parameters as for recordContact. @return Whether the sender is a process not known before. */
    bool onStamp(Endpoint from, Revision through, const StampMessage& stamp, TimePoint now, TransitEffects& effects);

    /**
     * Takes a delta.
     * @return Whether the view changed.
     */
    bool onDelta(Endpoint from, const DeltaMessage& message, TimePoint now, TransitEffects& effects);

    /** Forgets a process that said that it ends. */
    void onLeaving(Endpoint from, TransitEffects& effects);

    /**
     * Takes a page of all keys.
     * @param changes Content of the page.
     * @param asOf Revision of the store at the page.
     * @param nextAfter Key after which the next page starts; empty after the last.
     * @return Whether the view changed.
     */
    bool onStorePage(std::vector<StoreChange> changes, Revision asOf, const std::string& nextAfter, TimePoint now,
        TransitEffects& effects);

    /** Takes the answer to a watch. @return Whether the view changed. */
    bool onStoreChanges(const std::vector<StoreChange>& changes, Revision asOf, TimePoint now, TransitEffects& effects);

    /** Notes that a call to the store brought nothing. */
    void onStoreFailure(StoreFailure failure, TimePoint now, TransitEffects& effects);

    /** Tells everybody that this process ends. */
    void announceLeaving(TransitEffects& effects);

    /** Makes sure that a process gets stamps, such as the agent of a target in the view. */
    void addMember(Endpoint endpoint, ProcessRole role, TimePoint now);

    /** Makes sure that the agents of all targets in the view get stamps. */
    void addAgents(std::uint16_t fleetPort, TimePoint now);

    /** Sends a stamp to all members at once, because the view has news. */
    void startGossipRound(TimePoint now, TransitEffects& effects);

    const TransitView& view() const { return m_view; }
    const std::unordered_map<Endpoint, Member>& members() const { return m_members; }

    /** @return Whether the process was heard within the lifetime of a member. */
    bool isAlive(Endpoint endpoint, TimePoint now) const;

    /** Tells the balancers of the own failure domain whether this one is ready. */
    void setReady(bool isReady, TimePoint now, TransitEffects& effects);

    /** @return What is known of the other balancers of the own failure domain. */
    SameDomainBalancers sameDomainBalancers(TimePoint now) const;

    /** @return Whether the process is known to be in this process's failure domain. */
    bool isInSameDomain(Endpoint endpoint) const;

    /** @return Time since the store confirmed the view; none when it never did. */
    std::optional<Duration> viewAge(TimePoint now) const;

    /** @return The same in milliseconds for logs; -1 when the store never confirmed the view. */
    std::int64_t viewAgeMs(TimePoint now) const;

    /** @return Whether this process is one of those that read the store at all times. */
    bool isPermanentReader(TimePoint now) const;

    Endpoint self() const { return m_options.self; }

private:
    StampMessage makeStamp(TimePoint now, bool wantsReply) const;
    void sendStamp(Endpoint to, bool wantsReply, TimePoint now, TransitEffects& effects);
    void sendDelta(Endpoint to, Revision since, TimePoint now, TransitEffects& effects);
    void requestFullDelta(Endpoint from, TimePoint now, TransitEffects& effects);
    void sendStamps(
        const StampMessage& stamp, const std::vector<Endpoint>& members, std::size_t count, TransitEffects& effects);
    void sendStampRound(TimePoint now, TransitEffects& effects);
    Member* findOrAddMember(Endpoint endpoint);
    void expireMembers(TimePoint now, TransitEffects& effects);
    void confirm(TimePoint at);
    std::size_t fanout() const;
    Duration lifetimeOf(const Member& member) const;
    bool isInSameDomain(const Member& member) const;
    bool isAlive(const Member& member, TimePoint now) const;
    Duration ageLimit() const;
    bool shouldReadStore(TimePoint now) const;
    Duration firstReadWait();
    std::size_t rankAmong(ProcessRole role, bool isAnyRole, TimePoint now) const;
    void startStoreCall(TransitEffects& effects);
    void recordStoreAnswer(TimePoint now, TransitEffects& effects);
    TimePoint retainRemovedUntil(TimePoint now) const;
    std::uint64_t nextRandom();

    FleetOptions m_options;
    TransitView m_view;
    std::unordered_map<Endpoint, Member> m_members;
    std::size_t m_sameDomainMembers {}; ///< Members in the own failure domain, at the last stamps.
    LoadReport m_load;
    bool m_isReady {};
    std::uint64_t m_random;
    TimePoint m_deltaRequestedAt { -seconds(1).us }; ///< When a delta was last asked for; long ago after it came.
    TimePoint m_lastChangeRoundAt { -seconds(1).us }; ///< When news was last spread at once.
    TimePoint m_nextStampAt;
    TimePoint m_nextExpiryAt;
    std::optional<TimePoint> m_confirmedAt;

    bool m_isCallPending {}; ///< A call to the store is under way.
    TimePoint m_nextCallAt;
    TimePoint m_firstReadAt; ///< A process without a view reads the store from then on.
    std::uint32_t m_consecutiveFailures {}; ///< Failed calls in a row.
    std::optional<TimePoint> m_storeRecoveredAt; ///< First answer after failures.
    bool m_needsFullRead {}; ///< The store no longer knows what changed since the view.
    bool m_wasReader {};
    std::vector<StoreChange> m_pages; ///< Pages read so far.
    Revision m_firstPageRevision; ///< Revision of the first page.
};

} // namespace hawthorncroft
