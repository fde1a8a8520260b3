/**
 * @file transit_service_time_base.h
 * How long the target works on requests, as its agent sees it. The order of waiting requests needs it: a request that
 * starts later than its latency objective less this time is answered late. Targets that just started are slower.
 */
#pragma once

#include "transit_type.h"

#include <unordered_map>

namespace hawthorncroft {

/** Smoothed service times, by route and over all. Pure. */
class ServiceTimes {
public:
    /**
     * Notes one answered request.
     * @param route What the caller sent to.
     * @param time From the hand-over to the target until the first data of its answer.
     */
    void addSample(Endpoint route, Duration time);

    /** @return Time within which most requests of a route are answered once the target has them. */
    Duration expected(Endpoint route) const;

    /** @return Mean over all routes. */
    Duration mean() const { return Duration { m_mean }; }

private:
    struct Estimate {
        std::int64_t mean {}; ///< Microseconds.
        std::int64_t deviation {}; ///< Mean distance from the mean, in microseconds.
    };

    std::unordered_map<Endpoint, Estimate> m_byRoute;
    std::int64_t m_mean {}; ///< Microseconds; zero before the first answer.
};

} // namespace hawthorncroft
