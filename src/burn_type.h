/**
 * @file burn_type.h
 * Counts that the service-level burn report is computed from, and the report. Times are wall clock: minutes or seconds
 * since 1970, UTC.
 */
#pragma once

#include "config_type.h"

#include <array>

namespace hawthorncroft {

/** Counts of one service in one minute. */
struct MinuteCounts {
    std::uint64_t minute {}; ///< Minutes since 1970.
    std::uint64_t requests {}; ///< Requests that ended and required an answer.
    std::uint64_t inTime {}; ///< Requests answered within Objectives::inTimeMs.
    std::uint64_t flows {}; ///< Flows that ended.
    std::uint64_t broken {}; ///< Flows that ended although neither caller nor target had ended them.
    std::uint64_t secondsWithRequests {}; ///< Bit s is set if a request arrived in second s of the minute.
    std::uint64_t secondsWithAnswers {}; ///< Bit s is set if a request that arrived in second s was answered.

    /** @return Number of seconds in which requests arrived, none of which was answered. */
    std::uint64_t unavailableSeconds() const;

    /** Adds the counts of another process for the same minute. */
    void add(const MinuteCounts& other);
};

/** Counts of one service. */
struct ServiceCounts {
    std::uint32_t id {};
    std::string name;
    Objectives objectives;
    std::vector<MinuteCounts> minutes; ///< In ascending order; minutes without requests and flows may be absent.
};

/** Event that may have caused budget to be spent. */
struct BurnEvent {
    std::uint64_t at {}; ///< Seconds since 1970.
    std::uint32_t service {}; ///< Zero for all services.
    std::string text; ///< Such as "failure domain d1 taken out".
};

/** Process that provided counts. */
struct BurnSource {
    std::string process; ///< Address of the control port, or file name.
    std::uint64_t since {}; ///< Start of counting; seconds since 1970.
};

/** Reply of one process to GET /burn, or the sum over several processes. */
struct BurnCounts {
    std::vector<BurnSource> sources;
    std::uint64_t from {}; ///< First minute.
    std::uint64_t until {}; ///< Minute after the last one.
    std::vector<ServiceCounts> services;
    std::vector<BurnEvent> events;
};

/** Error budget spent in a window that ends with the report. */
struct WindowBurn {
    std::uint64_t minutes {}; ///< Length of the window.
    double bad {};
    double rate {}; ///< Burn rate: budget spent in the window relative to even spending over the objective's period.
};

/** Group of nearby minutes that spent much of the error budget. */
struct BurnEpisode {
    std::uint64_t from {}; ///< First minute.
    std::uint64_t until {}; ///< Minute after the last one.
    double bad {};
    double share {}; ///< Share of everything spent in the report's period.
    std::vector<std::string> events; ///< Texts of the events shortly before or during the episode.
};

/** Result for one objective of one service. */
struct ObjectiveBurn {
    std::string name; ///< Such as "answered in time".
    std::string unit; ///< Of `bad` and `allowed`, such as "late requests".
    double bad {}; ///< Misses of the objective, counted in `unit`.
    double allowed {}; ///< Error budget of the report's period.
    double spent {}; ///< Share of the budget that is spent; above 1 if the objective is missed.
    std::vector<WindowBurn> windows; ///< Shortest first.
    std::vector<BurnEpisode> episodes; ///< Only the largest, in descending order of `bad`.
    double backgroundShare {}; ///< Share of everything spent that is outside the listed episodes.
    std::vector<double> remaining; ///< Share of the budget left at the end of each of the equal parts of the period.
    std::vector<double> badByPart; ///< Misses of the objective in each of these parts.
};

/** Results for all objectives of one service. */
struct ServiceBurn {
    std::uint32_t id {};
    std::string name;
    std::vector<ObjectiveBurn> objectives;
};

/** Service-level burn report. */
struct BurnReport {
    std::vector<BurnSource> sources;
    std::uint64_t from {}; ///< First minute.
    std::uint64_t until {}; ///< Minute after the last one.
    std::vector<ServiceBurn> services;
};

/** Records the counts of one process in bounded memory. */
class BurnLog {
public:
    /**
     * @param second Start of counting; seconds since 1970.
     * @param capacity Number of pairs of service and minute to keep; the oldest minutes are discarded first.
     */
    BurnLog(std::uint64_t second, std::size_t capacity);

    /**
     * Counts a request whose outcome is known.
     * @param service Service of the request.
     * @param arrivedAt Time of arrival; seconds since 1970.
     * @param answered Whether it was answered.
     * @param inTime Whether it was answered within the objective.
     */
    void recordRequest(ServiceId service, std::uint64_t arrivedAt, bool answered, bool inTime);

    /**
     * Counts a flow that ended.
     * @param service Service of the flow.
     * @param endedAt Time when the flow ended; seconds since 1970.
     * @param broken Whether it ended although neither caller nor target had ended it.
     */
    void recordFlow(ServiceId service, std::uint64_t endedAt, bool broken);

    /** Records an event that may have caused budget to be spent. Keeps the newest 200 events. */
    void recordEvent(BurnEvent event);

    /**
     * @param process Address of this process's control port.
     * @param second Current time; seconds since 1970.
     * @param services Known services; counts of other services are left out.
     * @return All counts.
     */
    BurnCounts counts(
        const std::string& process, std::uint64_t second, const std::vector<const ServiceConfig*>& services) const;

private:
    MinuteCounts& at(ServiceId service, std::uint64_t second);

    std::uint64_t m_since;
    std::size_t m_capacity;
    std::map<std::uint64_t, std::map<ServiceId, MinuteCounts>> m_minutes;
    std::size_t m_entries {};
    std::vector<BurnEvent> m_events;
};

} // namespace hawthorncroft
