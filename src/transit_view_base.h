/**
 * @file transit_view_base.h
 * Replica of the platform's keys in one process. The position of a key never decreases: of its changes within an era of
 * the store the one with the highest revision counts. What counts when the store has come back from a copy, in a later
 * era, is in transit_view_era.cpp. Pure: does no I/O.
 */
#pragma once

#include "transit_view_type.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace hawthorncroft {

/** Target in the view: the registration that is in force at its address, with the position of its record. */
struct TargetEntry {
    TargetRecord record;
    StorePosition position;
    TimePoint receivedAt; ///< When this process received the record.
};

/**
 * Keys with their positions, and indexes by route address, service and target address.
 * An entry of a target is a registration if the configuration has its service; any entry is until there is a
 * configuration. Entries of other services are kept for a later configuration, but no index contains them. Of several
 * registrations with one address the one with the latest start is in force, since two targets cannot have an address at
 * the same time; one that is only retained after its removal gives way to any other, but not one that is missing in a
 * copy of the store. The view contains all changes up to the position `through`, and may contain later changes of some
 * keys. Older data changes nothing, whenever it arrives.
 */
class TransitView {
public:
    /**
     * Applies a full read of the store. A read that is older than the view adds only the changes after `through`: a key
     * that it lacks, or has with another value, may have changed since. A read of a later era replaces the view, but
     * for what the store is expected to get again.
     * @param changes Current value of every key in the store.
     * @param asOf Position of the store when the read began.
     * @param now Current time.
     * @param retainRemovedUntil Time until which targets that are no longer in the store stay in use.
     * @return Whether anything changed.
     */
    bool applySnapshot(
        const std::vector<StoreChange>& changes, StorePosition asOf, TimePoint now, TimePoint retainRemovedUntil);

    /**
     * Applies the changes that a watch of the store returned. Changes that the view already contains are skipped, and
     * so are those of another era.
     * @param changes Changes in order of their revisions, complete from `through` or an earlier position.
     * @param asOf Position up to which the changes are complete.
     * @param now Current time.
     * @param retainRemovedUntil As for applySnapshot.
     * @return Whether anything changed.
     */
    bool applyChanges(
        const std::vector<StoreChange>& changes, StorePosition asOf, TimePoint now, TimePoint retainRemovedUntil);

    /**
     * Applies a delta from another process.
     * @param delta The delta; ignored when it starts above `through` or ends below it. A full delta, which starts at
     * no position, replaces the content of the view.
     * @param now Current time.
     */
    DeltaOutcome applyDelta(const ViewDelta& delta, TimePoint now);

    /** Drops retained targets and evacuations whose time is over and, when there are too many, the tombstones. */
    void expire(TimePoint now);

    /** @return Position up to which the view is complete; none before the first read or delta. */
    StorePosition through() const { return m_through; }

    /**
     * Digest of all routes, services and evacuations. It reveals views that differ at the same position, which deltas
     * alone would not repair: views that skipped different configurations may disagree on a route that was removed and
     * added again, as it is unchanged in one and removed in the other.
     */
    std::uint64_t digest() const { return m_digest; }

    /** @return Whether the view has received a configuration. */
    bool hasConfiguration() const { return m_hasConfiguration; }

    /** @return The configuration in force. */
    const ConfigurationStamp& configuration() const { return m_configuration; }

    /**
     * @return Version of the configuration in force while it is one of an earlier era, since the store has no newer
     * one; otherwise zero. Positions do not show which of two such views has the newer configuration.
     */
    std::uint64_t keptConfigurationVersion() const;

    /** @return Number of removed targets and evacuations that are still in force. */
    std::size_t retainedCount() const;

    /** @return Changes after a position, with the hashes of all keys when tombstones since then were dropped. */
    ViewDelta deltaSince(StorePosition since) const;

    /** @return The route for an address, or null. */
    const RouteRecord* routeAt(Endpoint address) const;

    /** @return Whether there was a route for this address that has been removed. */
    bool wasRouteDropped(Endpoint address) const;

    /** @return Position of the route for an address; none when there is no route. */
    StorePosition routePositionAt(Endpoint address) const;

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
    bool applyChange(const StoreChange& change, StoreEra era, TimePoint now, TimePoint retainRemovedUntil,
        std::set<std::string>* seen);
    bool applyConfiguration(const ConfigurationChange& change, StoreEra era, TimePoint now);
    bool replaceFromFullDelta(const ViewItem& item, const ViewDelta& delta, TimePoint now);
    bool removeMissingFromFullDelta(
        const std::set<std::string>& seen, const ViewDelta& delta, bool keepsConfiguration, TimePoint now);
    StorePosition completePositionOf(const std::string& key, const ViewItem& item) const;
    bool removeKey(const std::string& key, StorePosition position, TimePoint now, TimePoint retainUntil);
    bool removeMissing(const std::function<bool(const std::string&)>& isPresent, StorePosition asOf, TimePoint now,
        TimePoint retainUntil);
    void reindex(const std::string& key, const ViewItem* before, const ViewItem& after);
    void reindexTarget(Endpoint address);
    void reindexChangedServices();
    bool hasService(const std::string& name) const;
    void advance(StorePosition through);

    std::unordered_map<std::string, ViewItem> m_items;
    std::map<Endpoint, std::set<std::string>> m_keysByAddress; ///< Keys of all entries of targets with an address.
    std::unordered_map<Endpoint, std::string> m_routeKeys;
    std::map<Endpoint, TargetEntry> m_targets;
    std::set<Endpoint> m_unknownServices; ///< Addresses with entries whose service the configuration does not have.
    bool m_haveServicesChanged {}; ///< Services came or went since the indexes of targets were brought up to date.
    std::unordered_map<std::string, std::vector<const TargetEntry*>> m_byService;
    std::set<std::string> m_evacuated;
    std::uint64_t m_digest {};
    StorePosition m_through;
    ConfigurationStamp m_configuration; ///< Routes and services are those of this configuration, even where their own
                                        ///< positions are lower. Its position may be above `m_through`.
    StorePosition m_historyFloor; ///< All tombstones with a higher position are still stored.
    bool m_hasConfiguration {};
};

} // namespace hawthorncroft
