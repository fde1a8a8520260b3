#include "admission_base.h"
#include "table/admission_gains.h"

#include <algorithm>
#include <limits>

namespace hawthorncroft {

std::uint32_t Admission::ceiling() const
{
    std::uint64_t percent = m_capacity.preset.slotPercent;
    if (!percent)
        return 0;
    return static_cast<std::uint32_t>(std::max<std::uint64_t>(1, m_capacity.slots * percent / 100));
}

std::uint32_t Admission::limit() const { return std::min(static_cast<std::uint32_t>(m_limit), ceiling()); }

std::uint32_t Admission::places() const
{
    // The queue is as long as the limit. It covers the round trip from a reservation to its Execute, so that slots do
    // not stay idle during that time.
    return 2 * limit();
}

std::uint32_t Admission::offeredConnections() const
{
    std::uint64_t offered = m_capacity.connections;
    return static_cast<std::uint32_t>(offered * m_capacity.preset.connectionPercent / 100);
}

std::uint32_t Admission::connectionLimit() const
{
    return std::min(static_cast<std::uint32_t>(m_connectionLimit), offeredConnections());
}

std::uint32_t Admission::uploadLimit() const
{
    std::uint64_t offered = offeredConnections();
    return static_cast<std::uint32_t>(offered * m_capacity.preset.uploadPercent / 100);
}

bool Admission::canStart() const { return m_queued && m_running < limit(); }

bool Admission::isCold() const
{
    // A target that serves no requests is warm if it has open connections and the connection limit is near its ceiling.
    bool isWarmByStreams = !m_samples && m_connectionLimit >= offeredConnections() * warmShare;
    return m_isCold && !(m_connections && isWarmByStreams);
}

std::uint16_t Admission::load(FlowKind kind) const
{
    // Without any capacity the target counts as full.
    auto useOf = [](std::uint64_t used, std::uint64_t offered) { return offered ? used * 1000 / offered : 1000; };
    std::uint64_t use
        = kind == FlowKind::Request ? useOf(occupied(), limit()) : useOf(m_connections, connectionLimit());
    if (kind == FlowKind::Upload)
        use = std::max(use, useOf(m_uploads, uploadLimit()));
    return static_cast<std::uint16_t>(std::min<std::uint64_t>(use, std::numeric_limits<std::uint16_t>::max()));
}

std::uint32_t Admission::retryAfterMs(FlowKind kind) const
{
    if (kind != FlowKind::Request)
        return static_cast<std::uint32_t>(connectionStepInterval.us / 1000);
    double serviceUs = m_samples ? m_fastUs : static_cast<double>(assumedServiceTime.us);
    // The wait is the time in which the target, running limit() requests at once, ends those ahead and the refused one.
    double waitMs = serviceUs / 1000 * (occupied() + 1) / std::max(limit(), 1U);
    return static_cast<std::uint32_t>(std::clamp<double>(waitMs, minRetryAfterMs, maxRetryAfterMs));
}

} // namespace hawthorncroft
