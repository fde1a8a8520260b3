#include "replica_base.h"

#include <algorithm>

namespace hawthorncroft {

ConfigReplica::ConfigReplica(ReplicaOptions options)
    : m_options(std::move(options))
    , m_peers(m_options.data, m_options.seeds)
    , m_random(mix64(m_options.randomSeed, m_options.node.value))
    , m_readBackoff(m_options.tuning.readBackoffMin)
{
}

void ConfigReplica::onTick(TimePoint now, std::uint64_t minute, std::uint64_t random, ReplicaEffects& effects)
{
    m_random = mix64(m_random, random);
    detectPause(now);
    m_lastTickAt = now;
    expireNonces(now);
    updateServingState(now);
    sendPeriodicStamps(now, effects);
    if (m_isGossipRoundPending)
        startGossipRound(now, effects);
    requestDelta(now, effects);
    tickReader(now, minute, effects);
}

std::uint64_t ConfigReplica::nextRandom()
{
    m_random = mix64(m_random);
    return m_random;
}

Packet ConfigReplica::stampPacket(TimePoint now, PacketKind kind, std::uint64_t nonce) const
{
    Packet packet;
    packet.kind = kind;
    packet.revision = completeThrough();
    packet.nonce = nonce;
    packet.node = m_options.node;
    packet.control = m_options.control;
    packet.count = m_isServing && isConfirmed(now);
    packet.sequence = neverConfirmed;
    if (auto age = platformAge(now))
        packet.sequence = static_cast<std::uint32_t>(std::min<std::int64_t>(age->us / 1000, neverConfirmed - 1));
    packet.hops = m_readStartedAt && hasReadRecently(now) ? 0 : 1;
    return packet;
}

void ConfigReplica::sendStamp(TimePoint now, Endpoint to, bool wantsReply, ReplicaEffects& effects)
{
    if (!to)
        return;
    std::uint64_t nonce = 0;
    if (wantsReply && m_nonces.size() < m_options.tuning.maxNonces) {
        nonce = mix64(nextRandom(), ++m_lastNonce) | 1;
        m_nonces[nonce] = now;
    }
    ++m_counters.stamps;
    effects.emplace_back(SendToProcess { to, stampPacket(now, PacketKind::Stamp, nonce) });
}

void ConfigReplica::sendUrgentStamps(TimePoint now, ReplicaEffects& effects)
{
    for (std::size_t i = 0; i < m_options.tuning.urgentFanout; ++i)
        sendStamp(now, m_peers.pick(nextRandom()), true, effects);
    // In a partition most random peers may be unreachable, so one that was reachable recently is added.
    if (!m_recentPeers.empty())
        sendStamp(now, m_recentPeers[nextRandom() % m_recentPeers.size()], true, effects);
}

void ConfigReplica::sendPeriodicStamps(TimePoint now, ReplicaEffects& effects)
{
    bool urgent = isUrgent(now);
    TimePoint latest = now + m_options.tuning.urgentInterval;
    if (urgent && m_nextStampAt > latest)
        m_nextStampAt = latest;
    if (now < m_nextStampAt)
        return;
    if (urgent)
        sendUrgentStamps(now, effects);
    else
        sendStamp(now, m_peers.pick(nextRandom()), true, effects);
    // Jitter of 3/4 to 5/4 of the interval keeps processes that started together from sending at the same time.
    Duration interval = urgent ? m_options.tuning.urgentInterval : m_options.tuning.stampInterval;
    m_nextStampAt = now + interval * static_cast<std::int64_t>(75 + nextRandom() % 51) / 100;
}

void ConfigReplica::startGossipRound(TimePoint now, ReplicaEffects& effects)
{
    m_isGossipRoundPending = true;
    if (now < m_nextGossipRoundAt)
        return;
    m_isGossipRoundPending = false;
    m_nextGossipRoundAt = now + m_options.tuning.minGossipRoundInterval;
    for (std::size_t i = 0; i < m_options.tuning.gossipRoundFanout; ++i)
        sendStamp(now, m_peers.pick(nextRandom()), false, effects);
}

void ConfigReplica::onStamp(TimePoint now, Endpoint from, const Packet& packet, ReplicaEffects& effects)
{
    detectPause(now);
    processStamp(now, from, packet, effects);
    bool holdsNewer = completeThrough() > packet.revision;
    if (!packet.nonce && !holdsNewer)
        return;
    ++m_counters.replies;
    effects.emplace_back(SendToProcess { from, stampPacket(now, PacketKind::StampReply, packet.nonce) });
}

void ConfigReplica::onStampReply(TimePoint now, Endpoint from, const Packet& packet, ReplicaEffects& effects)
{
    detectPause(now);
    processStamp(now, from, packet, effects);
    auto sent = m_nonces.find(packet.nonce);
    if (sent == m_nonces.end())
        return;
    // A sender that is itself unconfirmed may hold the same outdated view. It is trusted only if the process is still
    // unconfirmed after the start limit, because no confirmed peer may be reachable.
    bool isSenderTrusted = packet.count || now - m_confirmationRequiredAt >= m_options.tuning.startLimit;
    // A late reply may have been sent before its sender received a change.
    bool isRecent = now - sent->second <= m_options.tuning.fetchTimeout;
    if (!m_isConfirmed && sent->second >= m_confirmationRequiredAt && isSenderTrusted && isRecent)
        setConfirmationRevision(packet.revision);
    m_nonces.erase(sent);
    if (!m_isServing && m_startReplies.size() < m_options.tuning.maxNonces)
        m_startReplies[packet.node] = { packet.revision, packet.count != 0 };
    updateServingState(now);
}

void ConfigReplica::processStamp(TimePoint now, Endpoint from, const Packet& packet, ReplicaEffects& effects)
{
    m_lastContactAt = now;
    recordPeer(from);
    updatePlatformAge(now, from, packet);
    onNewerRevision(now, packet.revision, packet.control, effects);
}

void ConfigReplica::onContact(TimePoint now, Revision revision, Endpoint control, ReplicaEffects& effects)
{
    detectPause(now);
    m_lastContactAt = now;
    if (revision <= completeThrough())
        return;
    // Without the control port no delta can be requested from the sender, so the next tick sends stamps to peers.
    if (!control)
        m_nextStampAt = std::min(m_nextStampAt, now);
    onNewerRevision(now, revision, control, effects);
}

void ConfigReplica::onDataContact(TimePoint now, Endpoint from, Revision revision, ReplicaEffects& effects)
{
    onContact(now, revision, {}, effects);
    if (revision <= completeThrough() || now < m_nextProbeAt)
        return;
    m_nextProbeAt = now + m_options.tuning.urgentInterval;
    sendStamp(now, from, true, effects);
}

void ConfigReplica::recordPeer(Endpoint from)
{
    std::erase(m_recentPeers, from);
    m_recentPeers.push_front(from);
    if (m_recentPeers.size() > m_options.tuning.maxRecentPeers)
        m_recentPeers.pop_back();
}

void ConfigReplica::onNewerRevision(TimePoint now, Revision revision, Endpoint control, ReplicaEffects& effects)
{
    if (revision <= completeThrough())
        return;
    m_newestSeen = std::max(m_newestSeen, revision);
    if (!control)
        return;
    removeSource(control);
    m_sources.push_back({ control, revision });
    if (m_sources.size() > m_options.tuning.maxSources)
        m_sources.erase(m_sources.begin());
    requestDelta(now, effects);
}

void ConfigReplica::removeSource(Endpoint control)
{
    std::erase_if(m_sources, [&](const Source& source) { return source.control == control; });
}

void ConfigReplica::requestDelta(TimePoint now, ReplicaEffects& effects)
{
    if (m_fetch && now - m_fetch->startedAt > m_options.tuning.fetchTimeout) {
        ++m_counters.fetchFailures;
        removeSource(m_fetch->control);
        m_fetch.reset();
    }
    std::erase_if(m_sources, [&](const Source& source) { return source.revision <= completeThrough(); });
    if (m_fetch || m_sources.empty())
        return;
    auto best = std::max_element(
        m_sources.begin(), m_sources.end(), [](const Source& a, const Source& b) { return a.revision < b.revision; });
    m_fetch = { best->control, now };
    ++m_counters.fetches;
    effects.emplace_back(FetchDelta { best->control, completeThrough() });
}

std::vector<VersionedDocument> ConfigReplica::applyDelta(
    TimePoint now, Endpoint control, const Delta& delta, ReplicaEffects& effects)
{
    detectPause(now);
    m_lastContactAt = now;
    Revision before = completeThrough();
    auto accepted = applyChanges(now, delta, effects);
    if (m_fetch && m_fetch->control == control)
        m_fetch.reset();
    // A peer whose delta does not advance the view is not queried again until its next stamp.
    if (completeThrough() == before)
        removeSource(control);
    requestDelta(now, effects);
    return accepted;
}

std::vector<VersionedDocument> ConfigReplica::applyChanges(TimePoint now, const Delta& delta, ReplicaEffects& effects)
{
    Revision before = completeThrough();
    auto accepted = m_store.apply(delta, m_counters);
    for (const auto& document : accepted)
        m_peers.update(document);
    if (completeThrough() > before)
        startGossipRound(now, effects);
    updateServingState(now);
    return accepted;
}

void ConfigReplica::onFetchFailed(TimePoint now, Endpoint control, ReplicaEffects& effects)
{
    ++m_counters.fetchFailures;
    removeSource(control);
    if (m_fetch && m_fetch->control == control)
        m_fetch.reset();
    requestDelta(now, effects);
}

void ConfigReplica::expireNonces(TimePoint now)
{
    std::erase_if(m_nonces, [&](const auto& entry) { return now - entry.second > m_options.tuning.nonceLifetime; });
}

} // namespace hawthorncroft
