/**
 * @file transit_view_era.cpp
 * What holds of a view when the store has come back from a copy, in a later era. All that was written after the copy is
 * gone until it is written again; revisions go back and are given out again.
 *
 * An entry of the new era with at least the revision of the known one is newer: either both are from before the copy,
 * or the known one was lost and the other one written since. With a lower revision it may be older than what is known.
 */
#include "transit_view_base.h"
#include "transit_view_func.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    Duration retentionOf(const std::string& key)
    {
        return key.starts_with(targetPrefix) ? reregistrationTime : evacuationRetention;
    }

    /** @return Remaining cold time of the target of an item. */
    Duration coldLeftAt(const ViewItem& item, TimePoint now)
    {
        return std::max(item.receivedAt + targetOf(&item)->coldLeft - now, Duration {});
    }

    /** @return What holds of a target, from what is known of it and what a later era's entry says. */
    TargetRecord mergedTarget(const ViewItem& known, const ViewItem& item, bool mayBeOlder)
    {
        const TargetRecord& before = *targetOf(&known);
        TargetRecord merged = *targetOf(&item);
        if (mayBeOlder && before.startedAt > merged.startedAt) {
            merged = before;
            merged.coldLeft = coldLeftAt(known, item.receivedAt);
            return merged;
        }
        if (before.startedAt != merged.startedAt)
            return merged;
        // The entry tells the cold time left when it was written, which is not known any more.
        merged.coldLeft = std::min(merged.coldLeft, coldLeftAt(known, item.receivedAt));
        merged.isDraining |= mayBeOlder && before.isDraining;
        return merged;
    }

}

bool isNewer(const ConfigurationStamp& one, const ConfigurationStamp& other)
{
    bool isSameEra = one.writtenAt.era == other.writtenAt.era;
    if (isSameEra || !one.version || !other.version || one.version == other.version)
        return one.writtenAt > other.writtenAt;
    return one.version > other.version;
}

void carryOver(const ViewItem& known, ViewItem& item)
{
    bool isLaterEra = item.position.era > known.position.era;
    if (!isLaterEra && item.isMissing && !known.isRemoved) {
        // This process has had the key in this era. So it was removed after the copy, and is not missing in it.
        item = { .key = item.key, .position = item.position, .isRemoved = true, .receivedAt = item.receivedAt };
        return;
    }
    bool areBothMissing = item.isMissing && known.isMissing;
    if ((!isLaterEra && !areBothMissing) || !known.value || isConfigurationKey(item.key))
        return;
    Revision knownFrom = std::max(known.isMissing ? Revision() : known.position.revision, known.carriedFrom);
    // What the sender carried over itself, or retained, is not as it was written in this era.
    bool mayBeOlder = item.isRemoved || item.carriedFrom || item.position.revision < knownFrom;
    if (item.isRemoved) {
        item.isMissing |= !known.isRemoved || known.isMissing;
        TimePoint end = known.isRemoved ? known.retainedUntil : item.receivedAt + retentionOf(item.key);
        item.retainedUntil = std::max(item.retainedUntil, end);
    }
    if (item.isRemoved && !item.value)
        item.value = known.value;
    else if (targetOf(&known) && targetOf(&item))
        item.value = mergedTarget(known, item, mayBeOlder);
    if (mayBeOlder)
        item.carriedFrom = std::max(item.carriedFrom, knownFrom);
}

std::uint64_t TransitView::keptConfigurationVersion() const
{
    return m_configuration.writtenAt.era < m_through.era ? m_configuration.version : 0;
}

std::size_t TransitView::retainedCount() const
{
    auto isRetained = [](const auto& entry) { return entry.second.isRemoved && entry.second.value; };
    return static_cast<std::size_t>(std::count_if(m_items.begin(), m_items.end(), isRetained));
}

} // namespace hawthorncroft
