#include "hindsight_bound.h"

#include <algorithm>
#include <map>

namespace hawthorncroft {

namespace {

    /** Lengths of the windows into which a load is divided; each gives a bound of its own. */
    constexpr Duration windowLengths[] = { milliseconds(500), seconds(2), seconds(10), seconds(3600) };

    /**
     * Bounds one window: everything that arrives in it and is in time is worked on between the start of the window and
     * its end plus the longest objective. The most worth for each unit of work is taken first.
     */
    double windowBound(std::vector<OfferedRequest> requests, std::uint32_t slots, Duration length)
    {
        Duration longestObjective {};
        for (const OfferedRequest& request : requests)
            longestObjective = std::max(longestObjective, request.objective);
        std::sort(requests.begin(), requests.end(), [](const OfferedRequest& a, const OfferedRequest& b) {
            return a.worth * static_cast<double>(b.work.us) > b.worth * static_cast<double>(a.work.us);
        });
        double available = static_cast<double>(slots) * static_cast<double>((length + longestObjective).us);
        double earned = 0;
        for (const OfferedRequest& request : requests) {
            if (request.work > request.objective)
                continue;
            double work = static_cast<double>(std::max<std::int64_t>(request.work.us, 1));
            earned += request.worth * std::min(1.0, available / work);
            available -= std::min(available, work);
        }
        return earned;
    }

}

double hindsightBound(const std::vector<OfferedRequest>& requests, std::uint32_t slots)
{
    if (requests.empty())
        return 0;
    TimePoint first = std::min_element(requests.begin(), requests.end(), [](const auto& a, const auto& b) {
        return a.arrivesAt < b.arrivesAt;
    })->arrivesAt;
    double lowest = -1;
    for (Duration length : windowLengths) {
        std::map<std::int64_t, std::vector<OfferedRequest>> windows;
        for (const OfferedRequest& request : requests)
            windows[(request.arrivesAt - first).us / length.us].push_back(request);
        double bound = 0;
        for (const auto& [index, offered] : windows) {
            Duration span {}; // Shorter than the window when the load ends within it.
            for (const OfferedRequest& request : offered)
                span = std::max(span, request.arrivesAt - (first + length * index));
            bound += windowBound(offered, slots, span);
        }
        lowest = lowest < 0 ? bound : std::min(lowest, bound);
    }
    return lowest;
}

} // namespace hawthorncroft
