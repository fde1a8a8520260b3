/**
 * @file burn_type.h
 * Counts behind the service-level burn report, and the report. Times are wall clock: minutes or seconds since 1970,
 * UTC.
 */
#pragma once

#include "config_type.h"

#include <array>

namespace hawthorncroft {

/** What one service did in one minute. */
struct MinuteCounts {
    std::uint64_t minute {}; ///< Minutes since 1970.
    std::uint64_t requests {}; ///< Requests that ended and had to be answered.
    std::uint64_t inTime {}; ///< Those answered within Objectives::inTimeMs.
    std::uint64_t flows {}; ///< Flows that ended.
    std::uint64_t broken {}; ///< Those that ended other than by their caller's or target's wish.
    std::uint64_t secondsWithRequests {}; ///< Bit s is set when a request arrived in second s of the minute.
    std::uint64_t secondsWithAnswers {}; ///< Bit s is set when one of those was answered.

    /** @return Seconds in which requests arrived and none was answered. */
    std::uint64_t unavailableSeconds() const;

    /** Adds the counts of another process for the same minute. */
    void add(const MinuteCounts& other);
};

/** Counts of one service. */
struct ServiceCounts {
    std::uint32_t id {};
    std::string name;
    Objectives objectives;
    std::vector<MinuteCounts> minutes; ///< In order; minutes without any request or flow may be absent.
};

/** Something that may explain a burn. */
struct BurnEvent {
    std::uint64_t at {}; ///< Seconds since 1970.
    std::uint32_t service {}; ///< Zero for all services.
    std::string text; ///< Such as "failure domain d1 taken out".
};

/** A process that counted. */
struct BurnSource {
    std::string process; ///< Control port, or file name.
    std::uint64_t since {}; ///< Seconds since 1970; nothing before is counted.
};

/** What one process answers to GET /burn, and the sum over processes. */
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
    double rate {}; ///< Budget spent in the window relative to an even spending over the objective's period.
};

/** Neighbouring minutes that spent much of the budget. */
struct BurnEpisode {
    std::uint64_t from {}; ///< First minute.
    std::uint64_t until {}; ///< Minute after the last one.
    double bad {};
    double share {}; ///< Of everything that was spent.
    std::vector<std::string> events; ///< What happened shortly before or during it.
};

/** One objective of one service. */
struct ObjectiveBurn {
    std::string name; ///< Such as "answered in time".
    std::string unit; ///< Of `bad` and `allowed`, such as "late requests".
    double bad {}; ///< What missed the objective.
    double allowed {}; ///< Error budget of the report's period.
    double spent {}; ///< Share of the budget; above 1 when the objective is missed.
    std::vector<WindowBurn> windows; ///< Short ones first.
    std::vector<BurnEpisode> episodes; ///< Those that spent most, first.
    double backgroundShare {}; ///< Share of everything spent that is in no listed episode.
    std::vector<double> remaining; ///< Share of the budget left at the ends of equal parts of the period.
    std::vector<double> badByPart; ///< What missed the objective in each of these parts.
};

/** One service. */
struct ServiceBurn {
    std::uint32_t id {};
    std::string name;
    std::vector<ObjectiveBurn> objectives;
};

/** The report. */
struct BurnReport {
    std::vector<BurnSource> sources;
    std::uint64_t from {}; ///< First minute.
    std::uint64_t until {}; ///< Minute after the last one.
    std::vector<ServiceBurn> services;
};

/** Counts of one process, in bounded memory. */
class BurnLog {
public:
    /**
     * @param second Start of counting; seconds since 1970.
     * @param capacity Pairs of service and minute to keep; the oldest minutes are given up first.
     */
    BurnLog(std::uint64_t second, std::size_t capacity);

    /**
     * Counts a request when its outcome is known.
     * @param service The service.
     * @param arrivedAt When the request arrived; seconds since 1970.
     * @param answered Whether it was answered.
     * @param inTime Whether it was answered within the objective.
     */
    void recordRequest(ServiceId service, std::uint64_t arrivedAt, bool answered, bool inTime);

    /**
     * Counts a flow that ended.
     * @param service The service.
     * @param endedAt Seconds since 1970.
     * @param broken Whether it ended other than by its caller's or target's wish.
     */
    void recordFlow(ServiceId service, std::uint64_t endedAt, bool broken);

    /** Notes an event that may explain a burn; the oldest of more than 200 is given up. */
    void recordEvent(BurnEvent event);

    /**
     * @param process Own control port.
     * @param second Now; seconds since 1970.
     * @param services Known services; counts of others are left out.
     * @return Everything counted.
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
