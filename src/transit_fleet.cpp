#include "transit_fleet_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    constexpr Duration unknownAge { -1 }; ///< In messages: the store never confirmed the view.

}

TransitFleet::TransitFleet(FleetOptions options)
    : m_options(std::move(options))
    , m_random(m_options.incarnation)
{
    for (Endpoint seed : m_options.seeds) {
        if (seed != m_options.self)
            m_members[seed].role = ProcessRole::Balancer;
    }
}

void TransitFleet::onTick(TimePoint now, const LoadReport& load, TransitEffects& effects)
{
    m_load = load;
    if (m_readAt == TimePoint {})
        m_readAt = now + waitForPeers();
    if (now >= m_nextStampAt) {
        // A process without a view asks more often.
        m_nextStampAt = now + (m_view.through() ? stampInterval : stampInterval / 10);
        sendPeriodicStamps(now, effects);
    }
    if (now >= m_nextExpiryAt) {
        m_nextExpiryAt = now + stampInterval;
        expireMembers(now, effects);
        m_view.expire(now);
    }
    bool isReader = isReaderTurn(now);
    if (isReader != m_wasReader) {
        m_wasReader = isReader;
        effects.push_back(WriteLog { "store_reader",
            { { "reads", static_cast<std::int64_t>(isReader) }, { "view_age_ms", viewAgeMs(now) },
                { "revision", static_cast<std::int64_t>(m_view.through().value) } } });
    }
    if (isReader && !m_isCalling && now >= m_nextCallAt)
        startStoreCall(effects);
}

void TransitFleet::noteMessage(Endpoint from, Revision through, TimePoint now, TransitEffects& effects)
{
    Member* known = memberAt(from);
    if (!known)
        return;
    known->heardAt = now;
    // One process is asked at a time: a delta can be long, and many may offer it at once.
    if (through > m_view.through() && now >= m_fetchedAt + fetchTimeout) {
        m_fetchedAt = now;
        sendStamp(from, true, now, effects);
    }
}

bool TransitFleet::onStamp(
    Endpoint from, Revision through, const StampMessage& stamp, TimePoint now, TransitEffects& effects)
{
    Member* known = memberAt(from);
    if (!known)
        return false;
    Member& member = *known;
    bool isNew = member.incarnation != stamp.incarnation;
    member.role = stamp.role;
    member.incarnation = stamp.incarnation;
    member.failureDomain = stamp.failureDomain;
    member.isReady = stamp.isReady;
    for (Endpoint balancer : stamp.balancers)
        addMember(balancer, ProcessRole::Balancer, now);
    if (stamp.age.us >= 0 && through <= m_view.through())
        confirm(now - stamp.age);
    if (stamp.wantsAll && through <= m_view.through())
        sendDelta(from, Revision(), now, effects);
    else if (stamp.wantsReply && through < m_view.through())
        sendDelta(from, through, now, effects);
    else if (isNew && through < m_view.through())
        sendStamp(from, false, now, effects); // A process that just started learns what there is.
    return isNew;
}

bool TransitFleet::onDelta(Endpoint from, const DeltaMessage& message, TimePoint now, TransitEffects& effects)
{
    m_fetchedAt = now - fetchTimeout; // The next one may be asked at once.
    Revision before = m_view.through();
    DeltaOutcome outcome = m_view.applyDelta(message.delta, now);
    if (outcome == DeltaOutcome::Mismatch)
        askForEverything(from, now, effects);
    if (m_view.through() > before) {
        effects.push_back(WriteLog { "view_from_peer",
            { { "peer", toString(from) }, { "from_revision", static_cast<std::int64_t>(before.value) },
                { "revision", static_cast<std::int64_t>(m_view.through().value) },
                { "items", static_cast<std::int64_t>(message.delta.items.size()) },
                { "age_ms", message.age.us / 1000 } } });
        spreadNews(now, effects);
    }
    if (message.age.us >= 0 && message.delta.through <= m_view.through())
        confirm(now - message.age);
    return outcome != DeltaOutcome::Ignored;
}

void TransitFleet::askForEverything(Endpoint from, TimePoint now, TransitEffects& effects)
{
    effects.push_back(WriteLog { "view_differs",
        { { "peer", toString(from) }, { "revision", static_cast<std::int64_t>(m_view.through().value) } } });
    m_fetchedAt = now;
    StampMessage stamp = makeStamp(now, true);
    stamp.wantsAll = true;
    effects.push_back(SendMessage { from, std::move(stamp) });
}

void TransitFleet::onLeaving(Endpoint from, TransitEffects& effects)
{
    auto found = m_members.find(from);
    if (found == m_members.end())
        return;
    // The process may start again at the same endpoint, so that it stays known.
    found->second.incarnation = 0;
    effects.push_back(WriteLog {
        "member_left", { { "peer", toString(from) }, { "role", std::string(nameOf(found->second.role)) } } });
}

bool TransitFleet::onStorePage(std::vector<StoreChange> changes, Revision asOf, const std::string& nextAfter,
    TimePoint now, TransitEffects& effects)
{
    if (m_pages.empty() && !m_firstPageAt)
        m_firstPageAt = asOf;
    std::move(changes.begin(), changes.end(), std::back_inserter(m_pages));
    if (!nextAfter.empty()) {
        effects.push_back(ReadStore { nextAfter, readTimeout });
        return false;
    }
    noteStoreAnswer(now, effects);
    m_needsFullRead = false;
    Revision before = m_view.through();
    bool hasChanged = m_view.applySnapshot(m_pages, m_firstPageAt, now, holdRemovedUntil(now));
    effects.push_back(WriteLog { "view_from_store",
        { { "call", std::string("read") }, { "from_revision", static_cast<std::int64_t>(before.value) },
            { "revision", static_cast<std::int64_t>(m_view.through().value) },
            { "items", static_cast<std::int64_t>(m_pages.size()) } } });
    m_pages = {};
    m_firstPageAt = {};
    if (m_view.through() > before)
        spreadNews(now, effects);
    return hasChanged;
}

bool TransitFleet::onStoreChanges(
    const std::vector<StoreChange>& changes, Revision asOf, TimePoint now, TransitEffects& effects)
{
    noteStoreAnswer(now, effects);
    Revision before = m_view.through();
    bool hasChanged = m_view.applyChanges(changes, asOf, now, holdRemovedUntil(now));
    if (!changes.empty()) {
        effects.push_back(WriteLog { "view_from_store",
            { { "call", std::string("watch") }, { "from_revision", static_cast<std::int64_t>(before.value) },
                { "revision", static_cast<std::int64_t>(m_view.through().value) },
                { "items", static_cast<std::int64_t>(changes.size()) } } });
    }
    if (m_view.through() > before)
        spreadNews(now, effects);
    return hasChanged;
}

void TransitFleet::onStoreFailure(StoreFailure failure, TimePoint now, TransitEffects& effects)
{
    m_isCalling = false;
    m_pages = {};
    m_firstPageAt = {};
    if (failure == StoreFailure::HistoryGone) {
        m_needsFullRead = true;
        m_nextCallAt = now;
    } else {
        Duration backoff = storeBackoffMin * (std::int64_t { 1 } << std::min<std::uint32_t>(m_failures, 6));
        backoff = std::min(backoff, storeBackoffMax);
        m_nextCallAt = now + backoff / 2
            + microseconds(static_cast<std::int64_t>(nextRandom() % static_cast<std::uint64_t>(backoff.us)));
        ++m_failures;
    }
    effects.push_back(CountEvent { TransitCounter::StoreFailures });
    effects.push_back(WriteLog { m_failures == 1 ? "store_lost" : "store_call_failed",
        { { "reason", std::string(nameOf(failure)) }, { "failures", static_cast<std::int64_t>(m_failures) },
            { "view_age_ms", viewAgeMs(now) }, { "revision", static_cast<std::int64_t>(m_view.through().value) } } });
}

void TransitFleet::announceLeaving(TransitEffects& effects)
{
    for (const auto& [endpoint, member] : m_members)
        effects.push_back(SendMessage { endpoint, LeavingMessage { m_options.role } });
}

void TransitFleet::addMember(Endpoint endpoint, ProcessRole role, TimePoint now)
{
    if (endpoint == m_options.self || m_members.contains(endpoint) || m_members.size() >= maxMembers)
        return;
    Member& member = m_members[endpoint];
    member.role = role;
    member.heardAt = now; // Known, but not alive without an incarnation.
    m_nextStampAt = std::min(m_nextStampAt, now);
}

void TransitFleet::addAgents(std::uint16_t fleetPort, TimePoint now)
{
    for (const auto& [endpoint, target] : m_view.targets()) {
        Endpoint agent { endpoint.address, fleetPort };
        addMember(agent, ProcessRole::Agent, now);
        auto member = m_members.find(agent);
        if (member != m_members.end())
            member->second.failureDomain = target.record.failureDomain;
    }
}

void TransitFleet::setReady(bool isReady, TimePoint now, TransitEffects& effects)
{
    m_isReady = isReady;
    for (const auto& [endpoint, member] : m_members) {
        if (member.role == ProcessRole::Balancer && isNear(member))
            sendStamp(endpoint, false, now, effects);
    }
}

NearBalancers TransitFleet::nearBalancers(TimePoint now) const
{
    NearBalancers others;
    for (const auto& [endpoint, member] : m_members) {
        if (member.role != ProcessRole::Balancer || !isNear(member))
            continue;
        ++others.known;
        others.ready += member.isReady && isAlive(member, now);
    }
    return others;
}

bool TransitFleet::isNear(Endpoint endpoint) const
{
    auto found = m_members.find(endpoint);
    return found != m_members.end() && isNear(found->second);
}

void TransitFleet::spreadNews(TimePoint now, TransitEffects& effects)
{
    if (now < m_newsAt + minGossipRoundInterval) {
        // Several changes in quick succession go out together.
        m_nextStampAt = std::min(m_nextStampAt, m_newsAt + minGossipRoundInterval);
        return;
    }
    m_newsAt = now;
    m_nextStampAt = now + stampInterval;
    sendPeriodicStamps(now, effects);
}

bool TransitFleet::isAlive(const Member& member, TimePoint now) const
{
    return member.incarnation && now < member.heardAt + lifetimeOf(member);
}

bool TransitFleet::isAlive(Endpoint endpoint, TimePoint now) const
{
    auto found = m_members.find(endpoint);
    return found != m_members.end() && isAlive(found->second, now);
}

std::size_t TransitFleet::fanout() const { return m_members.size() <= maxFullFanout ? m_members.size() : stampFanout; }

Duration TransitFleet::lifetimeOf(const Member& member) const
{
    // In a larger fleet a process hears from another one less often, and least from one in another failure domain.
    std::size_t members = isNear(member) ? m_near : m_members.size() - m_near;
    std::size_t told = isNear(member) ? fanout() - remoteDomainFanout : remoteDomainFanout;
    bool areAllTold = fanout() >= m_members.size();
    auto rounds = static_cast<std::int64_t>(areAllTold ? 1 : members / told);
    return memberLifetime * std::max<std::int64_t>(rounds, 1);
}

bool TransitFleet::isNear(const Member& member) const
{
    return !m_options.failureDomain.empty() && member.failureDomain == m_options.failureDomain;
}

Duration TransitFleet::ageLimit() const
{
    // News of a confirmation needs a round of stamps for each power of the fanout.
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

bool TransitFleet::isBaseReader(TimePoint now) const
{
    return m_options.role == ProcessRole::Balancer
        && rankAmong(ProcessRole::Balancer, false, now) < permanentStoreReaders;
}

StampMessage TransitFleet::makeStamp(TimePoint now, bool wantsReply) const
{
    StampMessage stamp {
        .role = m_options.role,
        .incarnation = m_options.incarnation,
        .age = viewAge(now).value_or(unknownAge),
        .wantsReply = wantsReply,
        .wantsAll = false,
        .load = m_load,
        .balancers = {},
        .failureDomain = m_options.failureDomain,
        .isReady = m_isReady,
    };
    std::vector<Endpoint> balancers;
    for (const auto& [endpoint, member] : m_members) {
        if (member.role == ProcessRole::Balancer && isAlive(member, now))
            balancers.push_back(endpoint);
    }
    // Others in each stamp, so that few bytes tell of all.
    std::size_t first = static_cast<std::size_t>(mix64(m_random, static_cast<std::uint64_t>(now.us)));
    for (std::size_t i = 0; i < std::min(balancers.size(), maxBalancersInStamp); ++i)
        stamp.balancers.push_back(balancers[(first + i) % balancers.size()]);
    return stamp;
}

void TransitFleet::sendStamp(Endpoint to, bool wantsReply, TimePoint now, TransitEffects& effects)
{
    effects.push_back(SendMessage { to, makeStamp(now, wantsReply) });
}

void TransitFleet::sendDelta(Endpoint to, Revision since, TimePoint now, TransitEffects& effects)
{
    effects.push_back(SendMessage { to, DeltaMessage { viewAge(now).value_or(unknownAge), m_view.deltaSince(since) } });
}

void TransitFleet::sendPeriodicStamps(TimePoint now, TransitEffects& effects)
{
    std::vector<Endpoint> near;
    std::vector<Endpoint> far;
    for (const auto& [endpoint, member] : m_members)
        (isNear(member) ? near : far).push_back(endpoint);
    m_near = near.size();
    const StampMessage stamp = makeStamp(now, false);
    std::size_t most = fanout();
    std::size_t toFar = most == m_members.size() ? far.size() : std::min(remoteDomainFanout, far.size());
    std::size_t toNear = std::min(most - toFar, near.size());
    sendStamps(stamp, near, toNear, effects);
    sendStamps(stamp, far, std::min(most - toNear, far.size()), effects);
}

void TransitFleet::sendStamps(
    const StampMessage& stamp, const std::vector<Endpoint>& members, std::size_t count, TransitEffects& effects)
{
    if (members.empty())
        return;
    // Starts at a random member and goes round, so that every member gets its turn.
    std::size_t first = nextRandom() % members.size();
    for (std::size_t i = 0; i < count; ++i)
        effects.push_back(SendMessage { members[(first + i) % members.size()], stamp });
}

Member* TransitFleet::memberAt(Endpoint endpoint)
{
    if (m_members.size() >= maxMembers && !m_members.contains(endpoint))
        return nullptr; // Others tell of this process when it matters.
    return &m_members[endpoint];
}

void TransitFleet::expireMembers(TimePoint now, TransitEffects& effects)
{
    for (auto entry = m_members.begin(); entry != m_members.end();) {
        Member& member = entry->second;
        bool isSeed = std::find(m_options.seeds.begin(), m_options.seeds.end(), entry->first) != m_options.seeds.end();
        bool isSilent = now >= member.heardAt + lifetimeOf(member);
        if (isSilent && member.incarnation) {
            effects.push_back(WriteLog { "member_lost",
                { { "peer", toString(entry->first) }, { "role", std::string(nameOf(member.role)) },
                    { "silent_ms", (now - member.heardAt).us / 1000 } } });
            member.incarnation = 0;
        }
        if (isSilent && now >= member.heardAt + memberRetention && !isSeed)
            entry = m_members.erase(entry);
        else
            ++entry;
    }
}

void TransitFleet::confirm(TimePoint at)
{
    if (!m_confirmedAt || at > *m_confirmedAt)
        m_confirmedAt = at;
}

bool TransitFleet::isReaderTurn(TimePoint now) const
{
    if (!m_view.through())
        return now >= m_readAt;
    if (isBaseReader(now))
        return true;
    auto age = viewAge(now);
    if (!age)
        return true;
    if (*age <= ageLimit())
        return false; // The usual case, without looking at all members.
    std::size_t rank = rankAmong(m_options.role, true, now);
    return *age > ageLimit() + viewAgeStep * static_cast<std::int64_t>(rank);
}

Duration TransitFleet::waitForPeers()
{
    // Balancers go first: they are fewer, and those that read tell the agents of their failure domain.
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

void TransitFleet::startStoreCall(TransitEffects& effects)
{
    effects.push_back(CountEvent { TransitCounter::StoreCalls });
    m_isCalling = true;
    if (m_needsFullRead || !m_view.through()) {
        effects.push_back(ReadStore { {}, readTimeout });
        return;
    }
    effects.push_back(WatchStore { m_view.through(), watchWait, watchWait + watchGrace });
}

void TransitFleet::noteStoreAnswer(TimePoint now, TransitEffects& effects)
{
    m_isCalling = false;
    m_nextCallAt = now;
    m_nextStampAt = now; // Others learn that the view is confirmed.
    if (m_failures) {
        m_storeReturnedAt = now;
        effects.push_back(WriteLog { "store_regained", { { "failures", static_cast<std::int64_t>(m_failures) } } });
    }
    m_failures = 0;
    confirm(now);
}

TimePoint TransitFleet::holdRemovedUntil(TimePoint now) const
{
    if (!m_storeReturnedAt || now >= *m_storeReturnedAt + reregistrationTime)
        return now;
    return *m_storeReturnedAt + reregistrationTime;
}

std::uint64_t TransitFleet::nextRandom()
{
    m_random = mix64(m_random);
    return m_random;
}

} // namespace hawthorncroft
