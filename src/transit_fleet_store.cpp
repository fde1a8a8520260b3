/**
 * @file transit_fleet_store.cpp
 * Calls to the store: which process makes them and when, what it does with the answers, and the age of the view.
 */
#include "transit_fleet_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

bool TransitFleet::onStorePage(std::vector<StoreChange> changes, StorePosition asOf, const std::string& nextAfter,
    TimePoint now, TransitEffects& effects)
{
    if (!m_firstPageAsOf)
        m_firstPageAsOf = asOf;
    bool isOneEra = asOf.era == m_firstPageAsOf.era;
    if (!isOneEra || asOf.era < m_view.through().era) {
        discardStoreAnswer(asOf, now, effects);
        return false;
    }
    std::move(changes.begin(), changes.end(), std::back_inserter(m_pages));
    if (!nextAfter.empty()) {
        effects.push_back(ReadStore { nextAfter, readTimeout });
        return false;
    }
    return applyPages(now, effects);
}

bool TransitFleet::applyPages(TimePoint now, TransitEffects& effects)
{
    StorePosition before = m_view.through();
    StorePosition asOf = m_firstPageAsOf;
    // What the store lacks after its return from a copy has the time to be written again that it has after an outage.
    if (before && asOf.era > before.era)
        m_storeRecoveredAt = now;
    recordStoreAnswer(asOf, m_callStartedAt, now, effects);
    m_needsFullRead = false;
    bool hasChanged = m_view.applySnapshot(m_pages, asOf, now, retainRemovedUntil(now));
    logEraChange(before, "store", effects);
    logStoreAnswer("read", before, asOf, m_pages.size(), now, effects);
    discardPages();
    // A store that gives out no revision as high as that of the view would be read again at once, and without end.
    m_readsBehind = asOf < before ? m_readsBehind + 1 : 0;
    if (m_readsBehind)
        m_nextCallAt = now + nextBackoff(m_readsBehind - 1);
    if (m_view.through() > before)
        startGossipRound(now, effects);
    return hasChanged;
}

void TransitFleet::discardPages()
{
    m_pages = {};
    m_firstPageAsOf = {};
}

bool TransitFleet::onStoreChanges(
    const std::vector<StoreChange>& changes, StorePosition asOf, TimePoint now, TransitEffects& effects)
{
    // The changes are complete from the position that the watch was started from. In another era that means nothing:
    // changes after the copy may have lower revisions, and are not among them.
    if (asOf.era < m_watchedFrom.era) {
        discardStoreAnswer(asOf, now, effects);
        return false;
    }
    if (asOf.era > m_watchedFrom.era || asOf.era < m_view.through().era) {
        effects.push_back(CountEvent { TransitCounter::StoreAnswersDiscarded });
        m_isCallPending = false;
        m_nextCallAt = now;
        m_needsFullRead |= isFullReadNeededFor(asOf.era);
        return false;
    }
    recordStoreAnswer(asOf, now, now, effects);
    StorePosition before = m_view.through();
    bool hasChanged = m_view.applyChanges(changes, asOf, now, retainRemovedUntil(now));
    if (!changes.empty())
        logStoreAnswer("watch", before, asOf, changes.size(), now, effects);
    if (m_view.through() > before)
        startGossipRound(now, effects);
    return hasChanged;
}

void TransitFleet::logStoreAnswer(std::string_view call, StorePosition before, StorePosition asOf, std::size_t items,
    TimePoint now, TransitEffects& effects) const
{
    effects.push_back(WriteLog { "view_from_store",
        { { "call", std::string(call) }, { "from_revision", static_cast<std::int64_t>(before.revision.value) },
            { "as_of", static_cast<std::int64_t>(asOf.revision.value) },
            { "took_ms", (now - m_callStartedAt).us / 1000 },
            { "revision", static_cast<std::int64_t>(m_view.through().revision.value) },
            { "items", static_cast<std::int64_t>(items) } } });
}

void TransitFleet::discardStoreAnswer(StorePosition asOf, TimePoint now, TransitEffects& effects)
{
    effects.push_back(CountEvent { TransitCounter::StoreAnswersDiscarded });
    onStoreFailure(StoreFailure::OtherEra, asOf.era, now, effects);
}

bool TransitFleet::isFullReadNeededFor(StoreEra era) const { return m_view.through() && era > m_view.through().era; }

Duration TransitFleet::nextBackoff(std::uint32_t attempts)
{
    Duration backoff = storeBackoffMin * (std::int64_t { 1 } << std::min<std::uint32_t>(attempts, 6));
    backoff = std::min(backoff, storeBackoffMax);
    return backoff / 2 + microseconds(static_cast<std::int64_t>(nextRandom() % static_cast<std::uint64_t>(backoff.us)));
}

void TransitFleet::onStoreFailure(StoreFailure failure, StoreEra era, TimePoint now, TransitEffects& effects)
{
    m_isCallPending = false;
    discardPages();
    // A watch that returned something unreadable would return it again; a full read has current values only.
    m_needsFullRead
        |= failure == StoreFailure::Invalid || failure == StoreFailure::HistoryGone || isFullReadNeededFor(era);
    m_nextCallAt = now;
    if (failure != StoreFailure::HistoryGone)
        m_nextCallAt = now + nextBackoff(m_consecutiveFailures++);
    effects.push_back(CountEvent { TransitCounter::StoreFailures });
    effects.push_back(WriteLog { m_consecutiveFailures == 1 ? "store_lost" : "store_call_failed",
        { { "reason", std::string(nameOf(failure)) }, { "failures", static_cast<std::int64_t>(m_consecutiveFailures) },
            { "view_age_ms", viewAgeMs(now) },
            { "revision", static_cast<std::int64_t>(m_view.through().revision.value) } } });
}

void TransitFleet::logEraChange(StorePosition before, std::string_view source, TransitEffects& effects) const
{
    StorePosition after = m_view.through();
    if (!before || after.era == before.era)
        return;
    effects.push_back(WriteLog { "store_era_changed",
        { { "source", std::string(source) }, { "from_era", static_cast<std::int64_t>(before.era.value) },
            { "era", static_cast<std::int64_t>(after.era.value) },
            { "from_revision", static_cast<std::int64_t>(before.revision.value) },
            { "revision", static_cast<std::int64_t>(after.revision.value) },
            { "retained", static_cast<std::int64_t>(m_view.retainedCount()) },
            { "kept_configuration", static_cast<std::int64_t>(m_view.keptConfigurationVersion()) } } });
}

bool TransitFleet::isConfirmedBy(StorePosition through) const
{
    // The age in a message is that of its sender's era, which a view of a later era is not confirmed by.
    return through.era == m_view.through().era && through <= m_view.through();
}

void TransitFleet::confirm(TimePoint at)
{
    if (!m_confirmedAt || at > *m_confirmedAt)
        m_confirmedAt = at;
}

Duration TransitFleet::ageLimit() const
{
    // A confirmation spreads by gossip: each round multiplies the number of processes that have it by fanout + 1.
    Duration limit = viewAgeLimit;
    for (std::size_t reached = fanout() + 1; reached < m_members.size(); reached *= fanout() + 1)
        limit = limit + stampInterval;
    return limit;
}

std::optional<Duration> TransitFleet::viewAge(TimePoint now) const
{
    if (!m_confirmedAt)
        return std::nullopt;
    return now - *m_confirmedAt;
}

std::int64_t TransitFleet::viewAgeMs(TimePoint now) const
{
    auto age = viewAge(now);
    return age ? age->us / 1000 : -1;
}

bool TransitFleet::isPermanentReader(TimePoint now) const
{
    return m_options.role == ProcessRole::Balancer
        && rankAmong(ProcessRole::Balancer, false, now) < permanentStoreReaders;
}

bool TransitFleet::shouldReadStore(TimePoint now) const
{
    if (!m_view.through())
        return now >= m_firstReadAt;
    if (isPermanentReader(now))
        return true;
    auto age = viewAge(now);
    if (!age)
        return true;
    if (*age <= ageLimit())
        return false; // The usual case; avoids the scan over all members.
    std::size_t rank = rankAmong(m_options.role, true, now);
    return *age > ageLimit() + viewAgeStep * static_cast<std::int64_t>(rank);
}

Duration TransitFleet::firstReadWait()
{
    // Balancers read without a delay: they are fewer, and send the view to the agents of their failure domain.
    if (m_options.role == ProcessRole::Balancer)
        return {};
    return storeReadDelay
        + microseconds(static_cast<std::int64_t>(nextRandom() % static_cast<std::uint64_t>(storeReadJitter.us)));
}

std::size_t TransitFleet::rankAmong(ProcessRole role, bool isAnyRole, TimePoint now) const
{
    std::hash<Endpoint> hash;
    std::uint64_t own = hash(m_options.self);
    std::size_t rank = 0;
    for (const auto& [endpoint, member] : m_members) {
        if ((isAnyRole || member.role == role) && isAlive(member, now) && hash(endpoint) < own)
            ++rank;
    }
    return rank;
}

void TransitFleet::startStoreCall(TimePoint now, TransitEffects& effects)
{
    m_callStartedAt = now;
    effects.push_back(CountEvent { TransitCounter::StoreCalls });
    m_isCallPending = true;
    if (m_needsFullRead || !m_view.through()) {
        effects.push_back(ReadStore { {}, readTimeout });
        return;
    }
    m_watchedFrom = m_view.through();
    effects.push_back(WatchStore { m_watchedFrom, watchWait, watchWait + watchGrace });
}

void TransitFleet::recordStoreAnswer(StorePosition asOf, TimePoint confirmedAt, TimePoint now, TransitEffects& effects)
{
    m_isCallPending = false;
    m_nextCallAt = now;
    m_nextStampAt = now; // Sends the confirmation to other members.
    // A process that reads in place of the usual readers may start just as the store is back, without a failed call.
    auto age = viewAge(now);
    if (m_consecutiveFailures || (age && *age > ageLimit()))
        m_storeRecoveredAt = now;
    if (m_consecutiveFailures) {
        effects.push_back(
            WriteLog { "store_regained", { { "failures", static_cast<std::int64_t>(m_consecutiveFailures) } } });
    }
    m_consecutiveFailures = 0;
    // A response from before the view's position says nothing about changes after it.
    if (asOf >= m_view.through())
        confirm(confirmedAt);
}

TimePoint TransitFleet::retainRemovedUntil(TimePoint now) const
{
    if (!m_storeRecoveredAt || now >= *m_storeRecoveredAt + reregistrationTime)
        return now;
    return *m_storeRecoveredAt + reregistrationTime;
}

} // namespace hawthorncroft
