#include "target_hint_type.h"

#include "table/balancer_times.h"

#include <algorithm>

namespace hawthorncroft {

void TargetHint::recordOpenSent(TimePoint now, FlowKind kind)
{
    ++m_loads[static_cast<std::size_t>(kind)].opensSince;
    // An open to an unresponsive target is a probe. The next probe is delayed until its outcome can be known; the delay
    // doubles each time up to its maximum.
    if (isUnresponsive(now)) {
        m_probeDelay = std::min(std::max(m_probeDelay * 2, firstProbeDelay), maxProbeDelay);
        m_probeAt = now + m_probeDelay;
    }
    if (!m_unanswered++)
        m_firstUnanswered = now;
}

void TargetHint::recordReply(TimePoint now, const Packet& reply)
{
    m_unanswered = 0;
    m_probeAt = {};
    m_probeDelay = {};
    if (reply.targetState == TargetState::Unknown)
        return;
    m_state = reply.targetState;
    m_stateAt = now;
    m_loads[static_cast<std::size_t>(reply.flowKind)] = { .load = reply.load, .opensSince = 0, .at = now };
    bool isFull = reply.outcome.reason == Reason::Overloaded || reply.outcome.reason == Reason::Cold;
    if (isFull)
        m_busyUntil = now + milliseconds(reply.outcome.retryAfterMs);
    else if (reply.kind == PacketKind::Opened)
        m_busyUntil = {};
}

bool TargetHint::isUnresponsive(TimePoint now) const
{
    return m_unanswered >= suspectCount && now - m_firstUnanswered >= suspectAfter;
}

bool TargetHint::isSuspected(TimePoint now) const
{
    TimePoint probeAt = m_probeAt.us ? m_probeAt : m_firstUnanswered + suspectAfter + firstProbeDelay;
    return isUnresponsive(now) && now < probeAt;
}

bool TargetHint::refusesWork(TimePoint now) const
{
    bool isClosed = m_state == TargetState::Draining || m_state == TargetState::Out || m_state == TargetState::Down;
    return isClosed && now - m_stateAt < maxStateReportAge;
}

std::optional<std::uint32_t> TargetHint::estimatedLoad(TimePoint now, FlowKind kind, std::uint32_t weight) const
{
    const LoadReport& report = m_loads[static_cast<std::size_t>(kind)];
    if (!report.at.us || now - report.at >= maxLoadReportAge)
        return std::nullopt;
    return report.load + report.opensSince * 1000 / std::max<std::uint32_t>(weight, 1);
}

} // namespace hawthorncroft
