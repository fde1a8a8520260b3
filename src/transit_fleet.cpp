#include "transit_fleet_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    constexpr Duration unknownAge { -1 }; ///< View age in messages when the store never confirmed the view.

}

TransitFleet::TransitFleet(FleetOptions options)
    : m_options(std::move(options))
    , m_ownDomain(domainIdOf(m_options.failureDomain))
    , m_paths(m_ownDomain)
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
    updatePaths(now, effects);
    if (m_firstReadAt == TimePoint {})
        m_firstReadAt = now + firstReadWait();
    if (!m_firstViewAt && m_view.through())
        m_firstViewAt = now;
    if (now >= m_nextStampAt) {
        // A process without a view sends stamps ten times as often, to get one soon.
        m_nextStampAt = m_view.through() ? nextRoundAt(now) : now + stampInterval / 10;
        sendStampRound(now, effects);
    }
    if (m_entry && now >= m_nextEntryStampAt)
        sendEntryStamps(now, effects);
    if (now >= m_nextExpiryAt) {
        m_nextExpiryAt = now + stampInterval;
        expireMembers(now, effects);
        m_view.expire(now);
    }
    bool isReader = shouldReadStore(now);
    if (isReader != m_wasReader) {
        m_wasReader = isReader;
        effects.push_back(WriteLog { "store_reader",
            { { "reads", static_cast<std::int64_t>(isReader) }, { "view_age_ms", viewAgeMs(now) },
                { "revision", static_cast<std::int64_t>(m_view.through().revision.value) } } });
    }
    if (isReader && !m_isCallPending && now >= m_nextCallAt)
        startStoreCall(now, effects);
}

void TransitFleet::recordContact(Endpoint from, StorePosition through, TimePoint now, TransitEffects& effects)
{
    Member* known = findOrAddMember(from);
    if (!known)
        return;
    known->lastHeardAt = now;
    // Only one request is outstanding at a time: a delta can be large, and many members may have it.
    if (through > m_view.through() && now >= m_deltaRequestedAt + fetchTimeout) {
        m_deltaRequestedAt = now;
        sendStamp(from, true, now, effects);
    }
}

bool TransitFleet::onStamp(
    Endpoint from, StorePosition through, const StampMessage& stamp, TimePoint now, TransitEffects& effects)
{
    Member* known = findOrAddMember(from);
    if (!known)
        return false;
    Member& member = *known;
    bool isNew = member.incarnation != stamp.incarnation;
    member.role = stamp.role;
    member.incarnation = stamp.incarnation;
    setDomain(member, stamp.failureDomain);
    member.isReady = stamp.isReady;
    member.takesRelayed = stamp.takesRelayed;
    m_paths.onReports(member.domain, stamp.paths, now);
    // The usual stamps carry no report. A new process may be of a version that has none.
    if (stamp.entry || isNew) {
        member.entry = stamp.entry;
        member.entryAt = now;
    }
    for (Endpoint balancer : stamp.balancers)
        addMember(balancer, ProcessRole::Balancer, now);
    if (stamp.age.us >= 0 && isConfirmedBy(through))
        confirm(now - stamp.age);
    bool hasNewerConfiguration = stamp.keptConfigurationVersion > m_view.configuration().version;
    if (hasNewerConfiguration && through == m_view.through() && now >= m_deltaRequestedAt + fetchTimeout)
        requestFullDelta(from, now, effects);
    if (stamp.wantsFullDelta && through <= m_view.through())
        sendDelta(from, StorePosition(), now, effects);
    else if (stamp.wantsReply && through < m_view.through())
        sendDelta(from, through, now, effects);
    else if (isNew && through < m_view.through())
        sendStamp(from, false, now, effects); // Shows a newly started process that a newer view exists.
    return isNew;
}

bool TransitFleet::onDelta(Endpoint from, const DeltaMessage& message, TimePoint now, TransitEffects& effects)
{
    m_deltaRequestedAt = now - fetchTimeout; // Allows the next request immediately.
    StorePosition before = m_view.through();
    DeltaOutcome outcome = m_view.applyDelta(message.delta, now);
    if (outcome == DeltaOutcome::Mismatch)
        requestFullDelta(from, now, effects);
    logEraChange(before, "peer", effects);
    if (m_view.through() > before) {
        effects.push_back(WriteLog { "view_from_peer",
            { { "peer", toString(from) }, { "from_revision", static_cast<std::int64_t>(before.revision.value) },
                { "revision", static_cast<std::int64_t>(m_view.through().revision.value) },
                { "items", static_cast<std::int64_t>(message.delta.items.size()) },
                { "age_ms", message.age.us / 1000 } } });
        startGossipRound(now, effects);
    }
    if (message.age.us >= 0 && isConfirmedBy(message.delta.through))
        confirm(now - message.age);
    return outcome != DeltaOutcome::Ignored;
}

void TransitFleet::requestFullDelta(Endpoint from, TimePoint now, TransitEffects& effects)
{
    effects.push_back(WriteLog { "view_differs",
        { { "peer", toString(from) }, { "revision", static_cast<std::int64_t>(m_view.through().revision.value) } } });
    m_deltaRequestedAt = now;
    StampMessage stamp = makeStamp(now, true);
    stamp.wantsFullDelta = true;
    effects.push_back(SendMessage { from, std::move(stamp) });
}

void TransitFleet::onLeaving(Endpoint from, TransitEffects& effects)
{
    auto found = m_members.find(from);
    if (found == m_members.end())
        return;
    // Not erased, since the process may restart at the same endpoint.
    found->second.incarnation = 0;
    effects.push_back(WriteLog {
        "member_left", { { "peer", toString(from) }, { "role", std::string(nameOf(found->second.role)) } } });
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
    member.lastHeardAt = now; // Starts the time to expiry; the member is not alive until its incarnation is known.
    m_nextStampAt = std::min(m_nextStampAt, now);
}

void TransitFleet::addAgents(std::uint16_t fleetPort, TimePoint now)
{
    for (const auto& [endpoint, target] : m_view.targets()) {
        Endpoint agent { endpoint.address, fleetPort };
        addMember(agent, ProcessRole::Agent, now);
        auto member = m_members.find(agent);
        // An agent that runs says itself where it is.
        if (member != m_members.end() && !member->second.incarnation)
            setDomain(member->second, target.record.failureDomain);
    }
}

void TransitFleet::setReady(bool isReady, TimePoint now, TransitEffects& effects)
{
    m_isReady = isReady;
    sendEntryStamps(now, effects);
}

void TransitFleet::sendEntryStamps(TimePoint now, TransitEffects& effects)
{
    m_nextEntryStampAt = now + m_entryStampInterval;
    StampMessage stamp = makeStamp(now, false);
    stamp.balancers.clear(); // The usual stamps name them.
    stamp.entry = m_entry;
    for (Endpoint receiver : entryReceivers())
        effects.push_back(SendMessage { receiver, stamp });
}

std::vector<Endpoint> TransitFleet::entryReceivers() const
{
    std::vector<Endpoint> receivers;
    for (const auto& [endpoint, member] : m_members) {
        if (member.role == ProcessRole::Balancer && isInSameDomain(member))
            receivers.push_back(endpoint);
    }
    if (receivers.size() <= maxEntryPeers)
        return receivers;
    // The next ones after this process in a fixed circle. Each balancer gets the reports of the same few others for as
    // long as they live, so that a missing report is that of a failed process and not of one that drew others.
    std::hash<Endpoint> hash;
    std::uint64_t own = hash(m_options.self);
    auto end = receivers.begin() + entrySampleSize;
    std::partial_sort(receivers.begin(), end, receivers.end(),
        [&](Endpoint one, Endpoint other) { return hash(one) - own < hash(other) - own; });
    receivers.erase(end, receivers.end());
    return receivers;
}

EntryBalancers TransitFleet::entryBalancers(TimePoint now) const
{
    EntryBalancers balancers { .peers = {}, .isComplete = true };
    for (const auto& [endpoint, member] : m_members) {
        if (member.role != ProcessRole::Balancer)
            continue;
        balancers.isComplete &= !member.failureDomain.empty();
        if (!isInSameDomain(member))
            continue;
        balancers.isComplete &= member.entry.has_value();
        balancers.peers.push_back(
            { endpoint, member.entry, now - member.entryAt, member.isReady && isAlive(member, now) });
    }
    if (balancers.peers.size() > maxEntryPeers) {
        std::erase_if(
            balancers.peers, [](const EntryPeer& peer) { return !peer.report || peer.age > memberRetention; });
    }
    return balancers;
}

SameDomainBalancers TransitFleet::sameDomainBalancers(TimePoint now) const
{
    SameDomainBalancers others;
    for (const auto& [endpoint, member] : m_members) {
        if (member.role != ProcessRole::Balancer || !isInSameDomain(member))
            continue;
        ++others.known;
        others.ready += member.isReady && isAlive(member, now);
    }
    return others;
}

bool TransitFleet::isInSameDomain(Endpoint endpoint) const
{
    auto found = m_members.find(endpoint);
    return found != m_members.end() && isInSameDomain(found->second);
}

void TransitFleet::startGossipRound(TimePoint now, TransitEffects& effects)
{
    if (now < m_lastChangeRoundAt + minGossipRoundInterval) {
        // Combines changes in quick succession into one round.
        m_nextStampAt = std::min(m_nextStampAt, m_lastChangeRoundAt + minGossipRoundInterval);
        return;
    }
    m_lastChangeRoundAt = now;
    m_nextStampAt = nextRoundAt(now);
    sendStampRound(now, effects);
}

TimePoint TransitFleet::nextRoundAt(TimePoint now) const
{
    // Each process keeps its own phase. A change of the view starts a round at all processes; if all of them continued
    // from there, what they tell each other of the paths would be one interval old.
    std::int64_t phase
        = static_cast<std::int64_t>(m_options.incarnation % static_cast<std::uint64_t>(stampInterval.us));
    TimePoint earliest = now + stampInterval / 2;
    std::int64_t past = (earliest.us - phase) % stampInterval.us;
    return earliest + microseconds(past ? stampInterval.us - past : 0);
}

bool TransitFleet::isAlive(const Member& member, TimePoint now) const
{
    return member.incarnation && (now < member.lastHeardAt + lifetimeOf(member) || isBehindBrokenPath(member));
}

bool TransitFleet::isAlive(Endpoint endpoint, TimePoint now) const
{
    auto found = m_members.find(endpoint);
    return found != m_members.end() && isAlive(found->second, now);
}

bool TransitFleet::knowsAllAgents(TimePoint now) const
{
    if (!m_firstViewAt || now < *m_firstViewAt + agentDiscoveryTime)
        return false;
    // An agent that is heard and not registered shows that registrations are missing, and that there may be more such
    // agents: in a large fleet it takes many rounds until each has sent a stamp here.
    return now >= *m_firstViewAt + reregistrationTime || !hasUnregisteredAgent(now);
}

bool TransitFleet::hasUnregisteredAgent(TimePoint now) const
{
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto& entry) {
        const auto& [endpoint, member] = entry;
        return member.role == ProcessRole::Agent && isAlive(member, now) && !m_view.hasTargetOn(endpoint.address);
    });
}

std::size_t TransitFleet::fanout() const { return m_members.size() <= maxFullFanout ? m_members.size() : stampFanout; }

Duration TransitFleet::lifetimeOf(const Member& member) const
{
    // In a large fleet each member is contacted only every few rounds, and least often across failure domains. The
    // lifetime grows with the number of rounds that it takes to contact all members.
    std::size_t members = isInSameDomain(member) ? m_sameDomainMembers : m_members.size() - m_sameDomainMembers;
    std::size_t contactedPerRound = isInSameDomain(member) ? fanout() - remoteDomainFanout : remoteDomainFanout;
    bool isFullFanout = fanout() >= m_members.size();
    auto rounds = static_cast<std::int64_t>(isFullFanout ? 1 : members / contactedPerRound);
    return memberLifetime * std::max<std::int64_t>(rounds, 1);
}

bool TransitFleet::isInSameDomain(const Member& member) const
{
    return !m_options.failureDomain.empty() && member.failureDomain == m_options.failureDomain;
}

StampMessage TransitFleet::makeStamp(TimePoint now, bool wantsReply) const
{
    StampMessage stamp {
        .role = m_options.role,
        .incarnation = m_options.incarnation,
        .age = viewAge(now).value_or(unknownAge),
        .wantsReply = wantsReply,
        .wantsFullDelta = false,
        .load = m_load,
        .balancers = {},
        .failureDomain = m_options.failureDomain,
        .isReady = m_isReady,
        .entry = {},
        .paths = {},
        .takesRelayed = m_options.relayPaths,
        .keptConfigurationVersion = m_view.keptConfigurationVersion(),
    };
    std::vector<Endpoint> balancers;
    for (const auto& [endpoint, member] : m_members) {
        if (member.role == ProcessRole::Balancer && isAlive(member, now))
            balancers.push_back(endpoint);
    }
    // Each stamp names a different subset, so that small stamps cover all balancers over time.
    std::size_t first = static_cast<std::size_t>(mix64(m_random, static_cast<std::uint64_t>(now.us)));
    for (std::size_t i = 0; i < std::min(balancers.size(), maxBalancersInStamp); ++i)
        stamp.balancers.push_back(balancers[(first + i) % balancers.size()]);
    return stamp;
}

void TransitFleet::sendStamp(Endpoint to, bool wantsReply, TimePoint now, TransitEffects& effects)
{
    StampMessage stamp = makeStamp(now, wantsReply);
    auto member = m_members.find(to);
    // A balancer that starts decides by the reports in the first answers.
    if (member != m_members.end() && member->second.role == ProcessRole::Balancer && isInSameDomain(member->second))
        stamp.entry = m_entry;
    effects.push_back(SendMessage { to, std::move(stamp) });
}

void TransitFleet::sendDelta(Endpoint to, StorePosition since, TimePoint now, TransitEffects& effects)
{
    effects.push_back(SendMessage { to, DeltaMessage { viewAge(now).value_or(unknownAge), m_view.deltaSince(since) } });
}

void TransitFleet::sendStampRound(TimePoint now, TransitEffects& effects)
{
    std::vector<Endpoint> sameDomain;
    std::vector<Endpoint> otherDomains;
    std::map<DomainId, std::size_t> processes { { m_ownDomain, 1 } };
    for (const auto& [endpoint, member] : m_members) {
        (isInSameDomain(member) ? sameDomain : otherDomains).push_back(endpoint);
        ++processes[member.domain];
    }
    m_paths.setProcesses(std::move(processes));
    m_sameDomainMembers = sameDomain.size();
    StampMessage stamp = makeStamp(now, false);
    // In a large fleet, the stamps and the reports have to fit the budget for messages between processes.
    bool isLarge = m_members.size() > maxFullReports;
    std::size_t reports = isLarge ? (++m_rounds % 2 ? 0 : largeFleetReports) : maxPathReports;
    stamp.paths = m_paths.reports(reports, mix64(m_random, m_rounds), now);
    std::size_t stampLimit = fanout();
    std::size_t otherDomainCount
        = stampLimit == m_members.size() ? otherDomains.size() : std::min(remoteDomainFanout, otherDomains.size());
    std::size_t sameDomainCount = std::min(stampLimit - otherDomainCount, sameDomain.size());
    sendStamps(stamp, sameDomain, sameDomainCount, effects);
    sendStamps(stamp, otherDomains, std::min(stampLimit - sameDomainCount, otherDomains.size()), effects);
}

void TransitFleet::sendStamps(
    const StampMessage& stamp, const std::vector<Endpoint>& members, std::size_t count, TransitEffects& effects)
{
    if (members.empty())
        return;
    // Takes consecutive members from a random start, so that over time all members are contacted equally often.
    std::size_t first = nextRandom() % members.size();
    for (std::size_t i = 0; i < count; ++i)
        effects.push_back(SendMessage { members[(first + i) % members.size()], stamp });
}

Member* TransitFleet::findOrAddMember(Endpoint endpoint)
{
    if (m_members.size() >= maxMembers && !m_members.contains(endpoint))
        return nullptr; // The member list is full; what this process knows arrives through other members.
    return &m_members[endpoint];
}

void TransitFleet::expireMembers(TimePoint now, TransitEffects& effects)
{
    for (auto entry = m_members.begin(); entry != m_members.end();) {
        Member& member = entry->second;
        bool isSeed = std::find(m_options.seeds.begin(), m_options.seeds.end(), entry->first) != m_options.seeds.end();
        bool isSilent = now >= member.lastHeardAt + lifetimeOf(member) && !isBehindBrokenPath(member);
        if (isSilent && member.incarnation) {
            effects.push_back(WriteLog { "member_lost",
                { { "peer", toString(entry->first) }, { "role", std::string(nameOf(member.role)) },
                    { "silent_ms", (now - member.lastHeardAt).us / 1000 } } });
            member.incarnation = 0;
        }
        if (isSilent && now >= member.lastHeardAt + memberRetention && !isSeed)
            entry = m_members.erase(entry);
        else
            ++entry;
    }
}

std::uint64_t TransitFleet::nextRandom()
{
    m_random = mix64(m_random);
    return m_random;
}

} // namespace hawthorncroft
