/**
 * @file transit_view_base.h
 * Replica of the platform's keys in one process. The revision of a key never decreases. Pure: does no I/O.
 */
#pragma once

#include "transit_view_type.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace hawthorncroft {

/** Target in the view: the registration that is in force at its address, with the revision of its record. */
struct TargetEntry {
    TargetRecord record;
    Revision revision;
    TimePoint receivedAt; ///< When this process received the record.
};

/**
 * Keys with their revisions, and indexes by route address, service and target address.
 * An entry of a target is a registration if the configuration has its service; any entry is until there is a
 * configuration. Entries of other services are kept for a later configuration, but no index contains them. Of several
 * registrations with one address the one with the latest start is in force, since two targets cannot have an address at
 * the same time; one that is only retained after its removal gives way to any other.
 * The view contains all changes up to the revision `through`, and may contain later changes of some keys. Older data
 * changes nothing, whenever it arrives.
 */
class TransitView {
public:
    /**
     * Applies a full read of the store. A read that is older than the view adds only the changes after `through`: a key
     * that it lacks, or has with another value, may have changed since.
     * @param changes Current value of every key in the store.
     * @param asOf Revision of the store when the read began.
     * @param now Current time.
     * @param retainRemovedUntil Time until which targets that are no longer in the store stay in use.
     * @return Whether anything changed.
     */
    bool applySnapshot(
        const std::vector<StoreChange>& changes, Revision asOf, TimePoint now, TimePoint retainRemovedUntil);

    /**
     * Applies the changes that a watch of the store returned. Changes that the view already contains are skipped.
     * @param changes Changes in order of their revisions, complete from `through` or an earlier revision.
     * @param asOf Revision up to which the changes are complete.
     * @param now Current time.
     * @param retainRemovedUntil As for applySnapshot.
     * @return Whether anything changed.
     */
    bool applyChanges(
        const std::vector<StoreChange>& changes, Revision asOf, TimePoint now, TimePoint retainRemovedUntil);

    /**
     * Applies a delta from another process.
     * @param delta The delta; ignored when it starts above `through` or ends below it. A full delta, which starts at
     * revision zero, replaces the content of the view.
     * @param now Current time.
     */
    DeltaOutcome applyDelta(const ViewDelta& delta, TimePoint now);

    /** Drops retained targets whose time is over and, when there are too many, the tombstones. */
    void expire(TimePoint now);

    /** @return Revision up to which the view is complete; zero before the first read or delta. */
    Revision through() const { return m_through; }

    /**
     * Digest of all routes, services and evacuations. It reveals views that differ at the same revision, which deltas
     * alone would not repair: views that skipped different configurations may disagree on a route that was removed and
     * added again, as it is unchanged in one and removed in the other.
     */
    std::uint64_t digest() const { return m_digest; }

    /** @return Whether the view has received a configuration. */
    bool hasConfiguration() const { return m_hasConfiguration; }

    /** @return Changes after a revision, with the hashes of all keys when tombstones since then were dropped. */
    ViewDelta deltaSince(Revision since) const;

    /** @return The route for an address, or null. */
    const RouteRecord* routeAt(Endpoint address) const;

    /** @return Whether there was a route for this address that has been removed. */
    bool wasRouteDropped(Endpoint address) const;

    /** @return Revision of the route for an address; zero when there is none. */
    Revision routeRevisionAt(Endpoint address) const;

    /** @return The service, or null. */
    const ServiceRecord* serviceNamed(const std::string& name) const;

    /** @return The targets of a service. */
    const std::vector<const TargetEntry*>& targetsOf(const std::string& service) const;

    /** @return The target at an address, or null. */
    const TargetEntry* targetAt(Endpoint address) const;

    /** @return Whether a VM has a target. @param address Address of the VM. */
    bool hasTargetOn(std::uint32_t address) const;

    /** @return All targets by address. */
    const std::map<Endpoint, TargetEntry>& targets() const { return m_targets; }

    /** @return Number of addresses with entries whose service the configuration does not have. */
    std::size_t unknownServiceCount() const { return m_unknownServices.size(); }

    bool isEvacuated(const std::string& failureDomain) const { return m_evacuated.contains(failureDomain); }

private:
    bool apply(ViewItem item);
    bool replace(ViewItem item);
    bool applyItems(const ViewDelta& delta, bool keepsConfiguration, TimePoint now);
    bool applyFullDelta(const ViewDelta& delta, bool keepsConfiguration, TimePoint now);
    bool applyChange(
        const StoreChange& change, TimePoint now, TimePoint retainRemovedUntil, std::set<std::string>* seen);
    bool applyConfiguration(const ConfigurationChange& change, TimePoint now);
    bool replaceFromFullDelta(const ViewItem& item, const ViewDelta& delta, TimePoint now);
    bool removeMissingFromFullDelta(
        const std::set<std::string>& seen, const ViewDelta& delta, bool keepsConfiguration, TimePoint now);
    Revision configurationThrough() const;
    bool isConfigurationKnown(const StoreChange& change) const;
    bool hasNewerConfigurationThan(const ViewDelta& delta) const;
    Revision completeRevisionOf(const std::string& key, const ViewItem& item) const;
    bool removeKey(const std::string& key, Revision revision, TimePoint now, TimePoint retainUntil);
    bool removeMissing(
        const std::function<bool(const std::string&)>& isPresent, Revision asOf, TimePoint now, TimePoint retainUntil);
    void reindex(const std::string& key, const ViewItem* before, const ViewItem& after);
    void reindexTarget(Endpoint address);
    void reindexChangedServices();
    bool hasService(const std::string& name) const;
    void advance(Revision through);

    std::unordered_map<std::string, ViewItem> m_items;
    std::map<Endpoint, std::set<std::string>> m_keysByAddress; ///< Keys of all entries of targets with an address.
    std::unordered_map<Endpoint, std::string> m_routeKeys;
    std::map<Endpoint, TargetEntry> m_targets;
    std::set<Endpoint> m_unknownServices; ///< Addresses with entries whose service the configuration does not have.
    bool m_haveServicesChanged {}; ///< Services came or went since the indexes of targets were brought up to date.
    std::unordered_map<std::string, std::vector<const TargetEntry*>> m_byService;
    std::set<std::string> m_evacuated;
    std::uint64_t m_digest {};
    Revision m_through;
    Revision m_configurationThrough; ///< Routes and services are those of the newest configuration up to this revision,
                                     ///< even where their own revisions are lower. Used where it is above `m_through`.
    Revision m_historyFloor; ///< All tombstones with a higher revision are still stored.
    bool m_hasConfiguration {};
};

} // namespace hawthorncroft
