#include "transit_fleet_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    /** Estimates the bytes of a message on the link without encoding it. */
    struct MessageBytes {
        std::size_t operator()(const ForwardMessage& body) const { return body.packet.bytes.size(); }
        std::size_t operator()(const DeclinedMessage& body) const { return body.forward.packet.bytes.size(); }
        std::size_t operator()(const NotHeldMessage& body) const { return body.packet.bytes.size(); }
        std::size_t operator()(const NotHeldFlowsMessage& body) const { return body.flows.size() * flowBytes; }
        std::size_t operator()(const InventoryUpdateMessage& body) const { return body.flows.size() * flowBytes; }
        std::size_t operator()(const AbsenceReportMessage& body) const
        {
            return body.flows.size() * flowBytes
                + (body.unknownAgents.size() + body.staleAgents.size()) * endpointBytes;
        }
        std::size_t operator()(const LocateMessage& body) const
        {
            std::size_t bytes = body.relayTo.size() * endpointBytes;
            for (const auto& packet : body.packets)
                bytes += packet.bytes.size();
            return bytes;
        }
        std::size_t operator()(const DeltaMessage& body) const
        {
            return body.delta.items.size() * viewItemBytes + body.delta.keys.size() * sizeof(std::uint64_t);
        }
        template <typename Other> std::size_t operator()(const Other&) const { return 0; }
    };

    std::int64_t bytesOf(const MessageBody& body)
    {
        return static_cast<std::int64_t>(forwardOverheadBytes + std::visit(MessageBytes {}, body));
    }

}

void TransitFleet::setDomain(Member& member, const std::string& name)
{
    if (member.failureDomain == name)
        return;
    member.failureDomain = name;
    member.domain = domainIdOf(name);
    if (m_domainNames.size() < maxDomainNames)
        m_domainNames.emplace(member.domain, name);
}

std::string TransitFleet::nameOfDomain(DomainId domain) const
{
    if (domain == m_ownDomain)
        return m_options.failureDomain;
    auto found = m_domainNames.find(domain);
    return found == m_domainNames.end() ? std::to_string(domain) : found->second;
}

void TransitFleet::recordReceived(Endpoint from, TimePoint now)
{
    auto found = m_members.find(from);
    m_paths.recordReceived(found == m_members.end() ? DomainId {} : found->second.domain, now);
}

void TransitFleet::updatePaths(TimePoint now, TransitEffects& effects)
{
    bool hasBroken = false;
    for (const PathChange& change : m_paths.update(now)) {
        effects.push_back(WriteLog { change.isBroken ? "path_broken" : "path_healed",
            { { "from_domain", nameOfDomain(change.from) }, { "to_domain", nameOfDomain(change.to) },
                { "silence_ms", change.silence.us / 1000 }, { "report_age_ms", change.reportAge.us / 1000 } } });
        hasBroken |= change.isBroken;
        if (change.isBroken || change.to != m_ownDomain)
            continue;
        // Members of the domain could not be heard. They have their usual time to be heard again.
        for (auto& [endpoint, member] : m_members) {
            if (member.domain == change.from)
                member.lastHeardAt = std::max(member.lastHeardAt, now);
        }
    }
    // The others learn of it sooner than with the usual stamps.
    if (hasBroken && now >= m_lastPathRoundAt + pathRoundInterval) {
        m_lastPathRoundAt = now;
        startGossipRound(now, effects);
    }
    if (now < m_nextRelayUpdateAt)
        return;
    m_nextRelayUpdateAt = now + pathUpdateInterval;
    m_relays.clear();
    if (m_paths.brokenCount() && m_options.relayPaths)
        findRelays(now);
}

void TransitFleet::findRelays(TimePoint now)
{
    std::vector<const std::pair<const Endpoint, Member>*> agents;
    std::map<DomainId, bool> mayReceive; // Whether all members of the domain that are known take relayed messages.
    for (const auto& entry : m_members) {
        const Member& member = entry.second;
        mayReceive.try_emplace(member.domain, true).first->second &= !member.incarnation || member.takesRelayed;
        bool isReachable
            = member.domain && member.domain != m_ownDomain && !m_paths.isBroken(m_ownDomain, member.domain);
        if (isReachable && member.role == ProcessRole::Agent && member.takesRelayed && isAlive(member, now))
            agents.push_back(&entry);
    }
    // Those heard last, since in a large fleet it takes long until a member that failed is known to be.
    std::sort(agents.begin(), agents.end(),
        [](const auto* one, const auto* other) { return one->second.lastHeardAt > other->second.lastHeardAt; });
    for (const auto& [domain, doAllReceive] : mayReceive) {
        if (!m_paths.isBroken(m_ownDomain, domain))
            continue;
        Relays& relays = m_relays[domain];
        relays.doAllReceive = doAllReceive;
        for (const auto* agent : agents) {
            if (relays.agents.size() >= maxRelayCandidates)
                break;
            bool isRecent = now < agent->second.lastHeardAt + memberLifetime || relays.agents.empty();
            if (isRecent && agent->second.domain != domain && !m_paths.isBroken(agent->second.domain, domain))
                relays.agents.push_back(agent->first);
        }
    }
}

MessageRoute TransitFleet::routeFor(Endpoint to, const MessageBody& body, TimePoint now)
{
    bool isMeasurement = std::holds_alternative<StampMessage>(body);
    if (m_relays.empty() || isMeasurement)
        return { .to = to };
    auto member = m_members.find(to);
    if (member == m_members.end())
        return { .to = to };
    auto relays = m_relays.find(member->second.domain);
    if (relays == m_relays.end() || relays->second.agents.empty())
        return { .to = to };
    bool isKnown = member->second.incarnation != 0;
    if (isKnown ? !member->second.takesRelayed : !relays->second.doAllReceive)
        return { .to = to }; // A process of an earlier version takes a message of a relay as the relay's own.
    if (!takeRelayBytes(bytesOf(body), now))
        return { .to = to, .isOverBudget = true };
    return { .to = chooseRelay(relays->second.agents, to, now), .isRelayed = true };
}

Endpoint TransitFleet::chooseRelay(const std::vector<Endpoint>& agents, Endpoint to, TimePoint now)
{
    std::hash<Endpoint> hash;
    auto rankOf = [&](Endpoint agent) { return mix64(hash(to), hash(agent)); };
    Endpoint first = agents.front();
    for (Endpoint agent : agents)
        first = rankOf(agent) > rankOf(first) ? agent : first;
    bool isSecondTurn = now.us / relayTurn.us % 2 != 0;
    if (!isSecondTurn || agents.size() == 1)
        return first;
    Endpoint second = agents.front() == first ? agents[1] : agents.front();
    for (Endpoint agent : agents)
        second = agent != first && rankOf(agent) > rankOf(second) ? agent : second;
    return second;
}

void TransitFleet::relay(Endpoint from, Message message, TimePoint now, TransitEffects& effects)
{
    Endpoint to = message.relayTo;
    // Only the sender itself may ask for it, so that a message passes at most one relay.
    bool isAllowed = m_options.relayPaths && from == message.origin && to != from && m_members.contains(to);
    if (!isAllowed) {
        effects.push_back(WriteLog { "relay_refused",
            { { "peer", toString(from) }, { "to", toString(to) }, { "origin", toString(message.origin) } } });
        return;
    }
    if (!takeRelayBytes(bytesOf(message.body), now)) {
        effects.push_back(CountEvent { TransitCounter::RelayOverBudget });
        return;
    }
    effects.push_back(CountEvent { TransitCounter::RelayForwarded });
    effects.push_back(RelayMessage { to, std::move(message) });
}

bool TransitFleet::takeRelayBytes(std::int64_t bytes, TimePoint now)
{
    std::int64_t perSecond = m_options.linkBytesPerSecond / relayLinkShare;
    Duration elapsed = std::min(now - m_relayRefilledAt, seconds(1));
    m_relayBytes = std::min(perSecond, m_relayBytes + perSecond * elapsed.us / seconds(1).us);
    m_relayRefilledAt = now;
    if (bytes > m_relayBytes)
        return false;
    m_relayBytes -= bytes;
    return true;
}

std::vector<std::string> TransitFleet::domainsBehindBrokenPaths() const
{
    std::vector<std::string> domains;
    if (!m_paths.brokenCount())
        return domains; // The usual case.
    for (const auto& [domain, name] : m_domainNames) {
        if (m_paths.isBehindBrokenPath(domain))
            domains.push_back(name);
    }
    return domains;
}

bool TransitFleet::isBehindBrokenPath(const Member& member) const
{
    return m_paths.isBroken(member.domain, m_ownDomain);
}

} // namespace hawthorncroft
