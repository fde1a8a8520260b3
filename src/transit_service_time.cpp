#include "transit_service_time_base.h"

#include "table/transit_limits.h"

#include <algorithm>
#include <cstdlib>

namespace hawthorncroft {

namespace {

    // Smoothing as for round-trip times in RFC 6298.
    constexpr std::int64_t meanShare = 8; ///< Inverse weight of a sample in the mean.
    constexpr std::int64_t deviationShare = 4; ///< Inverse weight of a sample in the deviation.
    constexpr std::int64_t outlierFactor = 4; ///< Longer samples are clamped to this multiple of the mean.

}

void ServiceTimes::addSample(Endpoint route, Duration time)
{
    auto found = m_byRoute.find(route);
    // A single answer that was lost and retransmitted must not make all other requests appear late.
    std::int64_t upperBound = found == m_byRoute.end() ? initialServiceTime.us : outlierFactor * found->second.mean;
    std::int64_t sample = std::clamp<std::int64_t>(time.us, 1, std::max<std::int64_t>(upperBound, 1));
    m_mean = m_mean ? m_mean + (sample - m_mean) / meanShare : sample;
    if (found == m_byRoute.end()) {
        if (m_byRoute.size() < maxServiceTimes)
            m_byRoute[route] = { .mean = sample, .deviation = sample / 2 };
        return;
    }
    Estimate& estimate = found->second;
    estimate.deviation += (std::abs(sample - estimate.mean) - estimate.deviation) / deviationShare;
    estimate.mean += (sample - estimate.mean) / meanShare;
}

Duration ServiceTimes::expected(Endpoint route) const
{
    auto found = m_byRoute.find(route);
    if (found == m_byRoute.end())
        return initialServiceTime;
    return { found->second.mean + found->second.deviation };
}

} // namespace hawthorncroft
