#include "transit_view_base.h"
#include "transit_view_func.h"

#include "table/transit_limits.h"

#include <algorithm>
#include <tuple>
#include <unordered_set>
#include <utility>

namespace hawthorncroft {

namespace {

    std::string keyOf(std::string_view prefix, const std::string& name) { return std::string(prefix) + name; }

    std::string digestText(const RouteRecord& route)
    {
        std::string text = std::to_string(route.isIdempotent) + ' ' + std::to_string(route.priority) + ' '
            + std::to_string(route.timeout.us) + ' ' + std::to_string(route.latencyObjective.us);
        for (const auto& share : route.shares)
            text += ' ' + share.service + ' ' + std::to_string(share.weight);
        return text;
    }

    std::string digestText(const ServiceRecord& service)
    {
        return std::to_string(service.flowLimit) + ' ' + std::to_string(service.warmup.us) + ' '
            + std::to_string(static_cast<std::int64_t>(service.warmupPerSecond * 1000));
    }

    std::string digestText(const EvacuationRecord&) { return {}; }

    std::string digestText(const TargetRecord&) { return {}; }

    /**
     * @return Contribution of an item to the digest; zero for tombstones and for targets, whose times differ between
     * processes.
     */
    std::uint64_t digestOf(const ViewItem& item)
    {
        if (item.isRemoved || !item.value || item.key.starts_with(targetPrefix))
            return 0;
        std::string text = std::visit([](const auto& value) { return digestText(value); }, *item.value);
        return mix64(hashOfKey(item.key), hashOfKey(text));
    }

    StorePosition positionOf(const StoreChange& change, StoreEra era)
    {
        return { era, std::visit([](const auto& value) { return value.revision; }, change) };
    }

}

bool TransitView::applySnapshot(
    const std::vector<StoreChange>& changes, StorePosition asOf, TimePoint now, TimePoint retainRemovedUntil)
{
    if (asOf < m_through)
        return applyChanges(changes, asOf, now, retainRemovedUntil);
    std::set<std::string> seen;
    bool hasChanged = false;
    for (const auto& change : changes)
        hasChanged |= applyChange(change, asOf.era, now, retainRemovedUntil, &seen);
    // Routes and services are removed by a configuration without them. Without any configuration they stay in force.
    auto isPresent = [&](const std::string& key) { return isConfigurationKey(key) || seen.contains(key); };
    hasChanged |= removeMissing(isPresent, asOf, now, retainRemovedUntil);
    // Keys that were written and removed since the position of the view leave no tombstone here.
    if (asOf > m_through)
        m_historyFloor = asOf;
    reindexChangedServices();
    advance(asOf);
    return hasChanged;
}

bool TransitView::applyChanges(
    const std::vector<StoreChange>& changes, StorePosition asOf, TimePoint now, TimePoint retainRemovedUntil)
{
    // Changes of another era are not complete from any position of the view.
    if (asOf.era != m_through.era)
        return false;
    StorePosition known = m_through;
    bool hasChanged = false;
    for (const auto& change : changes) {
        if (positionOf(change, asOf.era) > known)
            hasChanged |= applyChange(change, asOf.era, now, retainRemovedUntil, nullptr);
    }
    reindexChangedServices();
    advance(asOf);
    return hasChanged;
}

DeltaOutcome TransitView::applyDelta(const ViewDelta& delta, TimePoint now)
{
    bool isFullDelta = !delta.since;
    if (delta.through < m_through || delta.since > m_through || (delta.through == m_through && !isFullDelta))
        return DeltaOutcome::Ignored;
    // The digest covers the configuration, so that it can differ while the view keeps a newer one.
    bool keepsConfiguration = isNewer(m_configuration, delta.configuration);
    bool hasChanged
        = isFullDelta ? applyFullDelta(delta, keepsConfiguration, now) : applyItems(delta, keepsConfiguration, now);
    reindexChangedServices();
    bool isSame = keepsConfiguration || m_digest == delta.digest;
    // Until the view is the same as the sender's, it must not pass itself on as complete up to that position.
    if (!isSame && !isFullDelta)
        return DeltaOutcome::Mismatch;
    bool isNewer = hasChanged || delta.through > m_through;
    // Such a delta has no tombstones of keys that this view never had.
    if (isFullDelta || delta.hasKeys)
        m_historyFloor = delta.through;
    if (!keepsConfiguration)
        m_configuration = delta.configuration;
    advance(delta.through);
    if (!isSame)
        return DeltaOutcome::Mismatch;
    return isNewer ? DeltaOutcome::Applied : DeltaOutcome::Ignored;
}

bool TransitView::applyItems(const ViewDelta& delta, bool keepsConfiguration, TimePoint now)
{
    bool hasChanged = false;
    for (ViewItem item : delta.items) {
        if (keepsConfiguration && isConfigurationKey(item.key))
            continue;
        item.receivedAt = now;
        hasChanged |= apply(std::move(item));
    }
    if (!delta.hasKeys)
        return hasChanged;
    std::unordered_set<std::uint64_t> present(delta.keys.begin(), delta.keys.end());
    auto isPresent = [&](const std::string& key) {
        return (keepsConfiguration && isConfigurationKey(key)) || present.contains(hashOfKey(key));
    };
    bool hasRemovedKeys = removeMissing(isPresent, delta.through, now, now);
    return hasChanged || hasRemovedKeys;
}

bool TransitView::applyFullDelta(const ViewDelta& delta, bool keepsConfiguration, TimePoint now)
{
    std::set<std::string> seen;
    bool hasChanged = false;
    for (const ViewItem& item : delta.items) {
        seen.insert(item.key);
        if (!keepsConfiguration || !isConfigurationKey(item.key))
            hasChanged |= replaceFromFullDelta(item, delta, now);
    }
    return removeMissingFromFullDelta(seen, delta, keepsConfiguration, now) || hasChanged;
}

bool TransitView::replaceFromFullDelta(const ViewItem& item, const ViewDelta& delta, TimePoint now)
{
    auto found = m_items.find(item.key);
    // Routes and services are replaced as a whole; of any other key the newer value stays.
    if (!isConfigurationKey(item.key) && found != m_items.end() && found->second.position > delta.through)
        return false;
    bool isSame = found != m_items.end() && found->second.isRemoved == item.isRemoved
        && found->second.value == item.value
        && (isConfigurationKey(item.key) || found->second.position.era == item.position.era);
    if (isSame)
        return false;
    ViewItem received = item;
    received.receivedAt = now;
    if (found != m_items.end()) {
        carryOver(found->second, received);
        // This view had another value, and so may processes that learned it from here. The new position makes the
        // correction part of the deltas to them.
        received.position = std::max({ item.position, found->second.position, delta.through });
    }
    return replace(std::move(received));
}

bool TransitView::removeMissingFromFullDelta(
    const std::set<std::string>& seen, const ViewDelta& delta, bool keepsConfiguration, TimePoint now)
{
    std::vector<ViewItem> removed;
    for (const auto& [key, item] : m_items) {
        if (item.isRemoved || seen.contains(key))
            continue;
        bool isItemNewer = isConfigurationKey(key) ? keepsConfiguration : item.position > delta.through;
        if (isItemNewer)
            continue;
        ViewItem tombstone { .key = key,
            .position = std::max(item.position, delta.through),
            .isRemoved = true,
            .retainedUntil = now,
            .receivedAt = now };
        carryOver(item, tombstone);
        removed.push_back(std::move(tombstone));
    }
    bool hasRemoved = !removed.empty();
    for (ViewItem& tombstone : removed)
        replace(std::move(tombstone));
    return hasRemoved;
}

StorePosition TransitView::completePositionOf(const std::string& key, const ViewItem& item) const
{
    return isConfigurationKey(key) ? std::max(item.position, m_configuration.writtenAt) : item.position;
}

void TransitView::expire(TimePoint now)
{
    std::vector<Endpoint> touched;
    std::size_t removed = 0;
    for (auto& [key, item] : m_items) {
        if (!item.isRemoved)
            continue;
        ++removed;
        if (!item.value || now < item.retainedUntil)
            continue;
        if (const TargetRecord* target = targetOf(&item)) {
            m_keysByAddress[target->address].erase(key);
            touched.push_back(target->address);
        } else if (const auto* evacuation = std::get_if<EvacuationRecord>(&*item.value)) {
            m_evacuated.erase(evacuation->failureDomain);
        }
        item.value.reset();
    }
    for (Endpoint address : touched)
        reindexTarget(address);
    if (removed <= maxRemovedItems)
        return;
    std::erase_if(m_items, [&](const auto& entry) {
        return entry.second.isRemoved && !entry.second.value && entry.second.position <= m_through;
    });
    m_historyFloor = m_through;
}

bool TransitView::applyChange(
    const StoreChange& change, StoreEra era, TimePoint now, TimePoint retainRemovedUntil, std::set<std::string>* seen)
{
    if (const auto* configuration = std::get_if<ConfigurationChange>(&change))
        return applyConfiguration(*configuration, era, now);
    StorePosition position = positionOf(change, era);
    if (const auto* removal = std::get_if<TargetRemoval>(&change))
        return removeKey(keyOf(targetPrefix, removal->id), position, now, retainRemovedUntil);
    if (const auto* end = std::get_if<EvacuationEnd>(&change))
        return removeKey(keyOf(evacuationPrefix, end->failureDomain), position, now, now);
    ViewItem item { .position = position, .receivedAt = now };
    if (const auto* target = std::get_if<TargetChange>(&change)) {
        item.key = keyOf(targetPrefix, target->target.id);
        item.value = target->target;
    } else if (const auto* evacuation = std::get_if<EvacuationChange>(&change)) {
        item.key = keyOf(evacuationPrefix, evacuation->failureDomain);
        item.value = EvacuationRecord { evacuation->failureDomain };
    }
    if (seen)
        seen->insert(item.key);
    return apply(std::move(item));
}

bool TransitView::applyConfiguration(const ConfigurationChange& change, StoreEra era, TimePoint now)
{
    ConfigurationStamp stamp { .writtenAt = { era, change.revision }, .version = change.version };
    if (isNewer(m_configuration, stamp))
        return false;
    m_configuration = stamp;
    std::set<std::string> written;
    bool hasChanged = false;
    auto put = [&](std::string key, ViewValue value) {
        written.insert(key);
        auto found = m_items.find(key);
        bool isSame = found != m_items.end() && !found->second.isRemoved && found->second.value == value;
        // An unchanged record keeps its position, so that deltas contain only what changed. If a process has another
        // value from changes of a former era that this one never received, the digests differ.
        if (!isSame)
            hasChanged |= apply(
                { .key = std::move(key), .position = stamp.writtenAt, .value = std::move(value), .receivedAt = now });
    };
    for (const auto& route : change.routes)
        put(keyOf(routePrefix, toString(route.address)), route);
    for (const auto& service : change.services)
        put(keyOf(servicePrefix, service.name), service);
    std::vector<std::string> dropped;
    for (const auto& [key, item] : m_items) {
        if (isConfigurationKey(key) && !item.isRemoved && !written.contains(key))
            dropped.push_back(key);
    }
    for (const auto& key : dropped)
        hasChanged |= removeKey(key, stamp.writtenAt, now, now);
    return hasChanged;
}

bool TransitView::removeKey(const std::string& key, StorePosition position, TimePoint now, TimePoint retainUntil)
{
    ViewItem item {
        .key = key, .position = position, .isRemoved = true, .retainedUntil = retainUntil, .receivedAt = now
    };
    auto found = m_items.find(key);
    if (found != m_items.end() && targetOf(&found->second) && retainUntil > now)
        item.value = found->second.value;
    return apply(std::move(item));
}

bool TransitView::removeMissing(
    const std::function<bool(const std::string&)>& isPresent, StorePosition asOf, TimePoint now, TimePoint retainUntil)
{
    std::vector<std::string> missing;
    for (const auto& [key, item] : m_items) {
        if (!item.isRemoved && completePositionOf(key, item) <= asOf && !isPresent(key))
            missing.push_back(key);
    }
    for (const auto& key : missing)
        removeKey(key, asOf, now, key.starts_with(targetPrefix) ? retainUntil : now);
    return !missing.empty();
}

bool TransitView::apply(ViewItem item)
{
    auto found = m_items.find(item.key);
    if (found != m_items.end()) {
        if (found->second.position >= item.position)
            return false;
        carryOver(found->second, item);
    }
    return replace(std::move(item));
}

bool TransitView::replace(ViewItem item)
{
    auto found = m_items.find(item.key);
    std::string key = item.key;
    std::optional<ViewItem> before;
    if (found != m_items.end())
        before = std::move(found->second);
    m_digest ^= (before ? digestOf(*before) : 0) ^ digestOf(item);
    ViewItem& stored = m_items[key] = std::move(item);
    reindex(key, before ? &*before : nullptr, stored);
    return true;
}

void TransitView::reindex(const std::string& key, const ViewItem* before, const ViewItem& after)
{
    if (key.starts_with(targetPrefix)) {
        std::optional<Endpoint> oldAddress;
        if (const TargetRecord* target = targetOf(before)) {
            oldAddress = target->address;
            m_keysByAddress[*oldAddress].erase(key);
        }
        const TargetRecord* target = targetOf(&after);
        if (target)
            m_keysByAddress[target->address].insert(key);
        if (oldAddress)
            reindexTarget(*oldAddress);
        if (target)
            reindexTarget(target->address);
        return;
    }
    if (key.starts_with(evacuationPrefix)) {
        std::string domain = key.substr(evacuationPrefix.size());
        if (after.isRemoved && !after.value)
            m_evacuated.erase(domain);
        else
            m_evacuated.insert(domain);
        return;
    }
    bool wasPresent = before && !before->isRemoved;
    m_haveServicesChanged |= !m_hasConfiguration || (key.starts_with(servicePrefix) && wasPresent == after.isRemoved);
    m_hasConfiguration = true;
    if (!key.starts_with(routePrefix))
        return;
    Endpoint address;
    if (!parseEndpoint(key.substr(routePrefix.size()), address))
        return; // Unreachable: the keys of routes are made with toString.
    if (after.isRemoved)
        m_routeKeys.erase(address);
    else
        m_routeKeys[address] = key;
}

void TransitView::reindexTarget(Endpoint address)
{
    const ViewItem* inForce = nullptr;
    bool hasUnknownService = false;
    for (const auto& key : m_keysByAddress[address]) {
        const ViewItem& item = m_items.at(key);
        const TargetRecord& candidate = *targetOf(&item);
        if (!hasService(candidate.service)) {
            hasUnknownService = true;
            continue;
        }
        // The key makes all processes choose the same of two registrations that are otherwise equal.
        auto order = [](const ViewItem& i) {
            return std::tuple(!i.isRemoved || i.isMissing, targetOf(&i)->startedAt, std::string_view(i.key));
        };
        if (!inForce || order(item) > order(*inForce))
            inForce = &item;
    }
    if (hasUnknownService)
        m_unknownServices.insert(address);
    else
        m_unknownServices.erase(address);
    auto found = m_targets.find(address);
    if (found != m_targets.end()) {
        std::erase(m_byService[found->second.record.service], &found->second);
        if (!inForce)
            m_targets.erase(found);
    }
    if (m_keysByAddress[address].empty())
        m_keysByAddress.erase(address);
    if (!inForce)
        return;
    const TargetRecord& record = *targetOf(inForce);
    TargetEntry& targetEntry = m_targets[address];
    targetEntry.record = record;
    targetEntry.position = inForce->position;
    targetEntry.receivedAt = inForce->receivedAt;
    m_byService[record.service].push_back(&targetEntry);
}

void TransitView::reindexChangedServices()
{
    if (!std::exchange(m_haveServicesChanged, false))
        return;
    // The entries that the change concerns: those of services that were unknown, and those whose service is unknown
    // now.
    std::set<Endpoint> addresses = m_unknownServices;
    for (const auto& [address, entry] : m_targets) {
        if (!hasService(entry.record.service))
            addresses.insert(address);
    }
    std::erase_if(m_byService, [&](const auto& entry) { return !hasService(entry.first); });
    for (Endpoint address : addresses)
        reindexTarget(address);
}

bool TransitView::hasService(const std::string& name) const { return !m_hasConfiguration || serviceNamed(name); }

void TransitView::advance(StorePosition through) { m_through = std::max(m_through, through); }

} // namespace hawthorncroft
