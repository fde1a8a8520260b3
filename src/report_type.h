/**
 * @file report_type.h
 * Reports that processes serve on their control ports, and their JSON format, which hawthorncroftctl reads.
 *
 * GET /status returns StatusReport, GET /names returns NamesReport, GET /explain?name=N&caller=C&flow=F returns
 * ExplainReport. Wall clock times are seconds since 1970. Readers ignore unknown fields and use the defaults below for
 * absent ones, so that the tool works with older and newer processes.
 */
#pragma once

#include "config_type.h"
#include "query_func.h"

#include <optional>
#include <string_view>

namespace hawthorncroft {

/** State of an agent's target. */
struct TargetStatus {
    std::uint32_t id {};
    std::uint32_t service {};
    std::string state; ///< Name of the TargetState.
    std::uint32_t limit {}; ///< Current limit of concurrent requests.
    std::uint32_t running {}; ///< Requests that are running.
    std::uint32_t streams {}; ///< Open feeds and uploads.
};

/** State of one process. */
struct StatusReport {
    std::string role; ///< "balancer" or "agent".
    std::string version;
    std::string vm;
    std::string failureDomain;
    std::uint64_t startedAt {}; ///< Wall clock; counters start from zero at this time.
    bool serving {};
    std::string reason; ///< Why it does not serve; empty if it serves.
    std::uint64_t revision {}; ///< Revision of the configuration in force.
    std::uint64_t since {}; ///< Wall clock time from which this revision is in force.
    std::uint64_t newestSeen {}; ///< Highest revision that any process reported.
    std::string preset; ///< Preset in force.
    std::vector<std::string> domainsOut;
    std::vector<std::string> vmsOut;
    bool readsPlatform {};
    std::optional<std::uint64_t> platformAgeMs; ///< Time since the platform confirmed the view; none if it never did.
    std::uint64_t peers {}; ///< Known processes.
    std::vector<std::string> refused; ///< Errors in rejected documents, one line each.
    std::optional<TargetStatus> target; ///< Agents only.
    std::map<std::string, std::uint64_t> counters;
};

/** A known name that resembles an unknown one. */
struct SimilarNameReport {
    std::string name;
    std::uint32_t service {};
    std::string serviceName; ///< Canonical name.
    std::uint64_t distance {}; ///< Edit distance between the two names.
};

/** A name that resolves to no service. */
struct UnknownNameReport {
    std::string name;
    std::uint64_t count {}; ///< Upper bound of the true count, which is at most `error` lower.
    std::uint64_t error {};
    std::uint64_t lastSeen {}; ///< Wall clock.
    std::vector<SimilarNameReport> similar; ///< Closest first.
};

/** Unknown names that one process received. */
struct NamesReport {
    std::uint64_t since {}; ///< Wall clock time from which names are counted.
    std::uint64_t total {}; ///< Opens with an unknown name.
    std::uint64_t errorBound {}; ///< Each name with more occurrences than this is listed.
    std::vector<UnknownNameReport> names; ///< Most frequent first.
};

/** One target in the ranking of a flow. */
struct RankReport {
    std::uint32_t target {};
    std::string vm;
    std::string failureDomain;
    std::string agent; ///< Endpoint of the agent.
    std::string eligibility; ///< "eligible", or the reason why it is not.
    std::optional<std::uint64_t> load; ///< Last reported load in 1/1000 of the limit; none if unknown.
    std::uint64_t loadAgeMs {}; ///< Age of the load report.
    bool chosen {}; ///< Whether the next Open of this flow would be sent to this target.
};

/** Service that a name resolves to, and targets that a flow would be sent to. */
struct ExplainReport {
    std::string name;
    std::uint64_t revision {}; ///< Configuration under which the name was resolved.
    std::uint32_t service {}; ///< Zero if the name resolves to no service.
    std::string serviceName; ///< Canonical name.
    std::string match; ///< "name", "further name", "corrected spelling" or "none".
    std::vector<SimilarNameReport> similar; ///< Set if the name resolves to no service.
    bool serving {}; ///< Whether the process forwards flows.
    std::vector<RankReport> ranks; ///< Of the given flow, or of an arbitrary one if none was given.
};

std::string toJson(const StatusReport& report);
std::string toJson(const NamesReport& report);
std::string toJson(const ExplainReport& report);

/**
 * Reads a report.
 * @param text JSON text.
 * @param[out] report Set on success.
 * @return Empty on success, otherwise a description of the error.
 */
std::string parseReport(std::string_view text, StatusReport& report);
std::string parseReport(std::string_view text, NamesReport& report);
std::string parseReport(std::string_view text, ExplainReport& report);

} // namespace hawthorncroft
