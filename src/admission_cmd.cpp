#include "admission_base.h"
#include "table/admission_gains.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace hawthorncroft {

void Admission::setCapacity(const AdmissionCapacity& capacity)
{
    m_capacity = capacity;
    m_limit = std::min<double>(m_limit, std::max(ceiling(), 1U));
    m_connectionLimit = std::min<double>(m_connectionLimit, std::max(offeredConnections(), 1U));
    // The initial limits are a share of the capacity. Limits that have changed since the cold start began are kept.
    if (m_hasInitialLimits)
        resetLimits();
}

void Admission::startCold(TimePoint now)
{
    m_coldSince = now;
    m_failures = 0;
    resetLimits();
}

void Admission::resetLimits()
{
    m_isCold = true;
    m_hasInitialLimits = true;
    m_limit = coldLimit();
    m_connectionLimit = std::max(1.0, offeredConnections() * m_capacity.preset.coldStartPercent / 100.0);
    // Open connections are not closed; the lower limit applies only to new ones.
    m_connectionSucceeded = false;
    m_fastUs = 0;
    m_slowUs = 0;
    m_samples = 0;
}

double Admission::coldLimit() const
{
    double cold = std::floor(m_capacity.slots * m_capacity.preset.coldStartPercent / 100.0);
    return std::max(1.0, std::min<double>(cold, ceiling()));
}

double Admission::rampLimit(TimePoint now) const
{
    Duration ramp = seconds(m_capacity.preset.coldStartSeconds);
    if (!m_isCold || now - m_coldSince >= ramp)
        return std::max(ceiling(), 1U);
    double progress = static_cast<double>((now - m_coldSince).us) / static_cast<double>(ramp.us);
    return coldLimit() + (std::max(ceiling(), 1U) - coldLimit()) * progress;
}

Reason Admission::reserve(FlowKind kind)
{
    if (kind == FlowKind::Request) {
        if (occupied() >= places())
            return fullReason();
        ++m_held;
        return Reason::None;
    }
    if (m_connections >= connectionLimit())
        return fullReason();
    if (kind == FlowKind::Upload && m_uploads >= uploadLimit())
        return Reason::Overloaded;
    adoptConnection(kind);
    return Reason::None;
}

void Admission::adoptConnection(FlowKind kind)
{
    ++m_connections;
    m_uploads += kind == FlowKind::Upload;
}

void Admission::releaseConnection(FlowKind kind)
{
    --m_connections;
    m_uploads -= kind == FlowKind::Upload;
}

void Admission::queueHeld()
{
    --m_held;
    ++m_queued;
}

bool Admission::queueUnheld(bool isBounded)
{
    if (isBounded && occupied() >= places())
        return false;
    ++m_queued;
    return true;
}

void Admission::start()
{
    --m_queued;
    ++m_running;
}

bool Admission::finishWithSuccess(TimePoint now, Duration serviceTime)
{
    std::uint32_t runningBefore = m_running--;
    m_connectionSucceeded = true;
    m_failures = static_cast<std::uint8_t>(m_failures << 1);
    learnServiceTime(serviceTime);
    if (hasJumped(now)) {
        m_lastDrop = now;
        startCold(now);
        return true;
    }
    growLimit(now, runningBefore);
    return false;
}

void Admission::learnServiceTime(Duration serviceTime)
{
    auto us = static_cast<double>(serviceTime.us);
    ++m_samples;
    if (m_samples == 1)
        m_fastUs = m_slowUs = us;
    m_fastUs += (us - m_fastUs) / fastSamples;
    m_slowUs += (us - m_slowUs) / std::min<double>(m_samples, slowSamples);
}

bool Admission::hasJumped(TimePoint now) const
{
    if (m_isCold || m_samples < minJumpSamples || now - m_lastDrop < jumpInterval)
        return false;
    return m_fastUs > m_slowUs * jumpFactor + static_cast<double>(jumpSlack.us);
}

void Admission::growLimit(TimePoint now, std::uint32_t runningBefore)
{
    // A request that started under a higher limit is no evidence for the current one.
    if (runningBefore > limit())
        return;
    // Success while the limit is not fully used is no evidence for a higher limit. In a cold start every success
    // counts, because it warms up the target; otherwise a lightly used target would stay cold.
    if (!m_isCold && runningBefore + 1 < limit())
        return;
    // Success at a low limit does not show that a cold target can serve a higher one, so the time ramp also bounds
    // growth.
    m_hasInitialLimits = false;
    m_limit = std::max(m_limit, std::min(m_limit + 1 / m_limit, rampLimit(now)));
    if (m_limit >= ceiling() * warmShare)
        m_isCold = false;
}

bool Admission::finishWithFailure(TimePoint now)
{
    --m_running;
    m_connectionSucceeded = false;
    // Concurrent requests tend to fail together, so failures within dropInterval count as one.
    if (now - m_lastDrop < dropInterval)
        return false;
    m_lastDrop = now;
    m_failures = static_cast<std::uint8_t>(m_failures << 1 | 1);
    if (std::popcount(m_failures) >= coldFailures) {
        startCold(now);
        return true;
    }
    m_hasInitialLimits = false;
    m_limit = std::max(1.0, m_limit * dropFactor);
    return false;
}

void Admission::tick(TimePoint now)
{
    if (now - m_lastStep < connectionStepInterval)
        return;
    m_lastStep = now;
    if (!m_connectionSucceeded)
        return;
    m_connectionSucceeded = false;
    m_hasInitialLimits = false;
    double offered = offeredConnections();
    m_connectionLimit = std::min(std::max(offered, 1.0), m_connectionLimit + std::max(1.0, offered * connectionStep));
}

} // namespace hawthorncroft
