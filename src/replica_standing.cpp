#include "replica_base.h"

#include <algorithm>

namespace hawthorncroft {

void ConfigReplica::detectPause(TimePoint now)
{
    if (!m_lastTickAt || now - *m_lastTickAt <= m_options.tuning.pauseThreshold)
        return;
    ++m_counters.pauses;
    m_lastTickAt = now;
    requireConfirmation(now);
}

void ConfigReplica::requireConfirmation(TimePoint now)
{
    m_isConfirmed = false;
    m_confirmationRequiredAt = now;
    m_confirmationRevision.reset();
    m_nextStampAt = now;
    // Answers to reads and delta requests from before the pause may lack changes made during it.
    m_readStartedAt.reset();
    m_fetch.reset();
}

void ConfigReplica::setConfirmationRevision(Revision revision)
{
    if (!m_confirmationRevision || revision < *m_confirmationRevision)
        m_confirmationRevision = revision;
}

void ConfigReplica::updateServingState(TimePoint now)
{
    if (!m_startedAt)
        m_startedAt = now;
    if (m_confirmationRevision && *m_confirmationRevision <= completeThrough()) {
        m_isConfirmed = true;
        m_confirmationRevision.reset();
    }
    if (!m_isServing && hasEnoughConfirmations(now)) {
        m_isServing = true;
        m_startReplies.clear();
    }
}

std::size_t ConfigReplica::countConfirmations(bool onlyServing) const
{
    return static_cast<std::size_t>(std::count_if(m_startReplies.begin(), m_startReplies.end(), [&](const auto& entry) {
        const StartReply& peer = entry.second;
        return peer.revision <= completeThrough() && (peer.isServing || !onlyServing);
    }));
}

bool ConfigReplica::hasEnoughConfirmations(TimePoint now) const
{
    // Without any configuration there is no service to serve.
    if (!completeThrough())
        return false;
    Duration sinceStart = now - *m_startedAt;
    if (sinceStart >= m_options.tuning.startLimit)
        return m_platformAnswered || countConfirmations(false) > 0;
    if (m_newestSeen > completeThrough())
        return false;
    if (countConfirmations(true)
        >= std::min(m_options.tuning.startConfirmations, std::max<std::size_t>(1, peerCount())))
        return true;
    // A stale platform may answer first, so peers have `startWaitForPeers` to report a newer revision.
    bool waitedForPeers = !peerCount() || !m_startReplies.empty() || sinceStart >= m_options.tuning.startWaitForPeers;
    return m_platformAnswered && waitedForPeers;
}

bool ConfigReplica::isUrgent(TimePoint now) const
{
    if (!m_isServing || !m_isConfirmed || !m_lastContactAt)
        return true;
    return now - *m_lastContactAt > m_options.tuning.urgentContactAge;
}

bool ConfigReplica::isConfirmed(TimePoint now) const
{
    bool pausedSinceTick = m_lastTickAt && now - *m_lastTickAt > m_options.tuning.pauseThreshold;
    return m_isConfirmed && !pausedSinceTick;
}

bool ConfigReplica::isIsolated(TimePoint now) const
{
    return !m_lastContactAt || now - *m_lastContactAt > m_options.tuning.isolation;
}

std::optional<Duration> ConfigReplica::platformAge(TimePoint now) const
{
    if (!m_platformConfirmedAt)
        return std::nullopt;
    return std::max(Duration(), now - *m_platformConfirmedAt);
}

} // namespace hawthorncroft
