#include "transit_capacity_base.h"

#include "table/transit_limits.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hawthorncroft {

std::uint32_t TargetCapacity::minLimit(std::uint32_t slots) const
{
    constexpr std::uint64_t percent = 100;
    std::uint64_t share = (std::uint64_t { slots } * m_options.minPercent + percent - 1) / percent;
    return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(share, 1, std::max<std::uint32_t>(slots, 1)));
}

bool TargetCapacity::isBaselineMeasured() const { return m_baselineSamples >= minBaselineSamples; }

/**
 * @return Highest mean service time of a route as a share of what its objective leaves to the target. Routes whose
 * baseline takes longer than that miss it at any limit and do not count.
 */
double TargetCapacity::objectiveUse(TimePoint now) const
{
    double highest = 0;
    for (const auto& [address, route] : m_routes) {
        auto left = static_cast<double>(route.objective.us);
        bool isKnown = left > 0 && route.samples >= minSpeedSamples && now < route.lastAt + speedLifetime;
        if (isKnown && route.baselineUs < left)
            highest = std::max(highest, route.recentUs / left);
    }
    return highest;
}

std::uint32_t TargetCapacity::limit(std::uint32_t slots) const
{
    if (!m_options.isEnabled || !m_limit || !slots || slots != m_slots)
        return slots;
    return std::clamp(m_limit, minLimit(slots), slots);
}

std::uint32_t TargetCapacity::serviceTimeUs(TimePoint now) const
{
    if (!m_options.isEnabled)
        return 0;
    double sum = 0;
    double shares = 0;
    std::uint32_t samples = 0;
    for (const auto& [address, route] : m_routes) {
        if (now >= route.lastAt + speedLifetime)
            continue;
        // A target that answers errors quickly would attract more of them.
        double timeUs = std::max(route.recentUs, route.longTermUs * lowestSpeedShare);
        sum += route.share * timeUs;
        shares += route.share;
        samples += std::min(route.samples, minSpeedSamples);
    }
    if (samples < minSpeedSamples || shares <= 0)
        return 0;
    constexpr double longest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(std::round(sum / shares), 1.0, longest));
}

} // namespace hawthorncroft
