/**
 * @file transit_view_base.h
 * Replica of the platform's keys in one process. Each key only moves to newer revisions. Pure.
 */
#pragma once

#include "transit_view_type.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace hawthorncroft {

/** A target that the view names, with the revision of its record. */
struct TargetEntry {
    TargetRecord record;
    Revision revision;
    TimePoint receivedAt; ///< When this process learned of the record.
};

/**
 * Keys with their revisions, and indexes by route address, service and target address.
 * `through` states that everything up to that revision is held.
 */
class TransitView {
public:
    /**
     * Takes all that the store holds.
     * @param changes Everything in the store.
     * @param asOf Revision at which the reading began.
     * @param now Current time.
     * @param retainRemovedUntil Targets that the store no longer holds are used until then.
     * @return Whether anything changed.
     */
    bool applySnapshot(
        const std::vector<StoreChange>& changes, Revision asOf, TimePoint now, TimePoint retainRemovedUntil);

    /**
     * Takes changes that the store reported.
     * @param changes Changes after `through`, in order.
     * @param asOf Revision up to which nothing is missing.
     * @param now Current time.
     * @param retainRemovedUntil As for applySnapshot.
     * @return Whether anything changed.
     */
    bool applyChanges(
        const std::vector<StoreChange>& changes, Revision asOf, TimePoint now, TimePoint retainRemovedUntil);

    /**
     * Takes a delta of another process.
     * @param delta The delta; ignored when it starts above `through` or ends below it. One that starts at zero holds
     * everything and replaces what is held.
     * @param now Current time.
     */
    DeltaOutcome applyDelta(const ViewDelta& delta, TimePoint now);

    /** Forgets held targets whose time is over and old removals. */
    void expire(TimePoint now);

    /** @return Everything up to this revision is held; zero before the first reading. */
    Revision through() const { return m_through; }

    /**
     * A number over all routes, services and evacuations. Two views of the same revision have the same digest. Views
     * that skipped different configurations may not tell each other what they lack: a route that was dropped and added
     * again is unchanged for one and removed for the other.
     */
    std::uint64_t digest() const { return m_digest; }

    /** @return Whether a configuration is held. */
    bool hasConfiguration() const { return m_hasConfiguration; }

    /** @return Changes above a revision, with all keys when the removals since then are not known. */
    ViewDelta deltaSince(Revision since) const;

    /** @return The route of an address, or null. */
    const RouteRecord* routeAt(Endpoint address) const;

    /** @return Whether a route of this address was known and is dropped. */
    bool wasRouteDropped(Endpoint address) const;

    /** @return Revision of the route of an address; zero when there is none. */
    Revision routeRevisionAt(Endpoint address) const;

    /** @return The service, or null. */
    const ServiceRecord* serviceNamed(const std::string& name) const;

    /** @return The targets of a service, by address. */
    const std::vector<const TargetEntry*>& targetsOf(const std::string& service) const;

    /** @return The target at an address, or null. */
    const TargetEntry* targetAt(Endpoint address) const;

    /** @return All targets by address. */
    const std::map<Endpoint, TargetEntry>& targets() const { return m_targets; }

    bool isEvacuated(const std::string& failureDomain) const { return m_evacuated.contains(failureDomain); }

private:
    bool apply(ViewItem item);
    bool replace(ViewItem item);
    bool applyItems(const ViewDelta& delta, TimePoint now);
    bool applyFullDelta(const ViewDelta& delta, TimePoint now);
    bool applyChange(
        const StoreChange& change, TimePoint now, TimePoint retainRemovedUntil, std::set<std::string>* seen);
    bool applyConfiguration(const ConfigurationChange& change, TimePoint now, std::set<std::string>* seen);
    bool removeKey(const std::string& key, Revision revision, TimePoint now, TimePoint retainUntil);
    bool removeMissing(
        const std::function<bool(const std::string&)>& isPresent, Revision asOf, TimePoint now, TimePoint retainUntil);
    void reindex(const std::string& key, const ViewItem* before, const ViewItem& after);
    void reindexTarget(Endpoint address);
    void advance(Revision through);

    std::unordered_map<std::string, ViewItem> m_items;
    std::map<Endpoint, std::set<std::string>> m_keysByAddress; ///< Keys of targets that share an address.
    std::unordered_map<Endpoint, std::string> m_routeKeys;
    std::map<Endpoint, TargetEntry> m_targets; ///< Newest lifetime at each address.
    std::unordered_map<std::string, std::vector<const TargetEntry*>> m_byService;
    std::set<std::string> m_evacuated;
    std::uint64_t m_digest {};
    Revision m_through;
    Revision m_historyFloor; ///< Removals above this revision are still known.
    bool m_hasConfiguration {};
};

} // namespace hawthorncroft
