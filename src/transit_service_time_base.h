/**
 * @file transit_service_time_base.h
 * Service times of a target as measured by its agent. The request queue uses them: a request misses its latency
 * objective when less than the service time is left at its start. Targets that have just started are slower.
 */
#pragma once

#include "transit_type.h"

#include <unordered_map>

namespace hawthorncroft {

/** Smoothed service times per route, and over all routes. Pure. */
class ServiceTimes {
public:
    /**
     * Adds the service time of one answered request.
     * @param route Address that the caller sent to.
     * @param time From delivery to the target until the first data of its answer.
     */
    void addSample(Endpoint route, Duration time);

    /** @return Mean plus deviation of a route's service times; most requests are answered within this time. */
    Duration expected(Endpoint route) const;

    /** @return Mean over all routes; zero before the first answer. */
    Duration mean() const { return Duration { m_mean }; }

private:
    struct Estimate {
        std::int64_t mean {}; ///< Microseconds.
        std::int64_t deviation {}; ///< Mean absolute deviation, in microseconds.
    };

    std::unordered_map<Endpoint, Estimate> m_byRoute;
    std::int64_t m_mean {}; ///< Microseconds; zero before the first answer.
};

} // namespace hawthorncroft
