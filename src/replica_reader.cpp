#include "replica_base.h"

#include <algorithm>

namespace hawthorncroft {

void ConfigReplica::tickReader(TimePoint now, std::uint64_t minute, ReplicaEffects& effects)
{
    if (m_nextReadAt == TimePoint()) {
        // Peers usually answer a new process within this delay; it is random to spread the reads of a restarted fleet.
        Duration spread = milliseconds(static_cast<std::int64_t>(300 + nextRandom() % 2000));
        m_nextReadAt = now + (peerCount() ? spread : Duration());
    }
    m_minute = minute;
    if (m_readStartedAt && now - *m_readStartedAt > m_options.tuning.readTimeout)
        onPlatformFailed(now);
    bool isTurn = isReaderTurn(now, minute);
    if (m_readStartedAt) {
        queryPermanentReaders(now, effects);
        return;
    }
    if (isTurn && now >= m_nextReadAt)
        startRead(now, effects);
}

bool ConfigReplica::isReaderTurn(TimePoint now, std::uint64_t minute)
{
    if (!m_isServing)
        return !m_platformAnswered;
    std::size_t rank = m_peers.ownRank(minute);
    if (rank < m_options.tuning.permanentReaders || isFallbackTurn(now, rank)) {
        m_isReader = true;
        return true;
    }
    // A reader continues until one of the current permanent readers proves that it reads, because all of them may be
    // unable to reach the platform.
    bool isSuccessorReading = m_successorReadsInMinute == minute;
    m_isReader = m_isReader && !isSuccessorReading && hasReadRecently(now);
    return m_isReader;
}

bool ConfigReplica::isFallbackTurn(TimePoint now, std::size_t rank) const
{
    Duration age = m_platformConfirmedAt ? now - *m_platformConfirmedAt : now - *m_startedAt;
    Duration overdue = age - m_options.tuning.readerGrace;
    if (overdue.us <= 0)
        return false;
    // One more rank starts with each step and stops after `readerWindow` steps, so the number of fallback readers does
    // not grow with the fleet or with the length of an outage. After the last rank, the first fallback rank is next.
    std::size_t ranks = peerCount() + 1 - m_options.tuning.permanentReaders;
    std::size_t position = rank - m_options.tuning.permanentReaders;
    auto step = static_cast<std::size_t>(overdue.us / m_options.tuning.readerStep.us);
    return step >= position && (step - position) % ranks < m_options.tuning.readerWindow;
}

bool ConfigReplica::hasReadRecently(TimePoint now) const
{
    return m_ownConfirmationAt && now - *m_ownConfirmationAt <= m_options.tuning.recentReadAge;
}

void ConfigReplica::queryPermanentReaders(TimePoint now, ReplicaEffects& effects)
{
    bool isPermanentReader = m_peers.ownRank(m_minute) < m_options.tuning.permanentReaders;
    if (isPermanentReader || m_successorReadsInMinute == m_minute || now < m_nextReaderQueryAt)
        return;
    m_nextReaderQueryAt = now + m_options.tuning.readerQueryInterval;
    for (std::size_t i = 0; i < std::min(m_options.tuning.permanentReaders, m_peers.first().size()); ++i)
        sendStamp(now, m_peers.first()[i], true, effects);
}

void ConfigReplica::updatePlatformAge(TimePoint now, Endpoint from, const Packet& packet)
{
    if (packet.sequence == neverConfirmed)
        return;
    Duration age = milliseconds(packet.sequence);
    TimePoint confirmedAt = now - age - m_options.tuning.assumedNetworkDelay;
    if (!m_platformConfirmedAt || *m_platformConfirmedAt < confirmedAt)
        m_platformConfirmedAt = confirmedAt;
    if (packet.hops == 0 && m_peers.isAmongFirst(from, m_options.tuning.permanentReaders))
        m_successorReadsInMinute = m_minute;
}

void ConfigReplica::startRead(TimePoint now, ReplicaEffects& effects)
{
    m_readStartedAt = now;
    m_readSince = completeThrough();
    m_nextReadAt = now + m_options.tuning.readMinInterval;
    ++m_counters.platformReads;
    effects.emplace_back(ReadPlatform { completeThrough() });
}

void ConfigReplica::recordPlatformConfirmation(TimePoint now)
{
    m_lastContactAt = now;
    m_platformConfirmedAt = now;
    m_ownConfirmationAt = now;
    m_readBackoff = m_options.tuning.readBackoffMin;
}

std::vector<VersionedDocument> ConfigReplica::applyPlatform(TimePoint now, const Delta& delta, ReplicaEffects& effects)
{
    detectPause(now);
    // An answer to an abandoned read, and an answer below the requested revision, do not confirm the view, but their
    // documents are applied.
    if (m_readStartedAt && delta.completeThrough < m_readSince) {
        onPlatformFailed(now);
    } else if (m_readStartedAt) {
        m_readStartedAt.reset();
        m_platformAnswered = true;
        recordPlatformConfirmation(now);
        if (!m_isConfirmed)
            setConfirmationRevision(delta.completeThrough);
    }
    return applyChanges(now, delta, effects);
}

void ConfigReplica::onPlatformAlive(TimePoint now)
{
    detectPause(now);
    if (m_readStartedAt)
        recordPlatformConfirmation(now);
}

void ConfigReplica::onPlatformFailed(TimePoint now)
{
    ++m_counters.platformFailures;
    m_readStartedAt.reset();
    Duration jittered = m_readBackoff * static_cast<std::int64_t>(75 + nextRandom() % 51) / 100;
    m_nextReadAt = now + jittered;
    m_readBackoff = std::min(m_readBackoff * 2, m_options.tuning.readBackoffMax);
}

} // namespace hawthorncroft
