/**
 * @file report_type.h
 * What processes report on their control ports, with the JSON that they send and hawthorncroftctl reads.
 *
 * GET /status answers StatusReport, GET /names answers NamesReport, GET /explain?name=N&caller=C&flow=F answers
 * ExplainReport. Wall clock times are seconds since 1970. Readers ignore unknown fields and use the defaults below for
 * absent ones, so that the tool works with older and newer processes.
 */
#pragma once

#include "config_type.h"

#include <optional>
#include <string_view>

namespace hawthorncroft {

/** An agent's target. */
struct TargetStatus {
    std::uint32_t id {};
    std::uint32_t service {};
    std::string state; ///< Name of the TargetState.
    std::uint32_t limit {}; ///< Requests that are admitted at a time now.
    std::uint32_t running {}; ///< Requests that run now.
    std::uint32_t streams {}; ///< Open feeds and uploads.
};

/** State of one process. */
struct StatusReport {
    std::string role; ///< "balancer" or "agent".
    std::string version;
    std::string vm;
    std::string failureDomain;
    std::uint64_t startedAt {}; ///< Wall clock; counters count from here.
    bool serving {};
    std::string reason; ///< Why it does not serve; empty when it does.
    std::uint64_t revision {}; ///< Configuration in force.
    std::uint64_t since {}; ///< Wall clock since when it is in force.
    std::uint64_t newestSeen {}; ///< Highest revision that any process reported.
    std::string preset; ///< Preset in force.
    std::vector<std::string> domainsOut;
    std::vector<std::string> vmsOut;
    bool readsPlatform {};
    std::optional<std::uint64_t> platformAgeMs; ///< Since the platform confirmed the view; none when it never did.
    std::uint64_t peers {}; ///< Known processes.
    std::vector<std::string> refused; ///< Faults of refused documents, one line each.
    std::optional<TargetStatus> target; ///< Agents only.
    std::map<std::string, std::uint64_t> counters;
};

/** A known name that resembles an unknown one. */
struct SimilarNameReport {
    std::string name;
    std::uint32_t service {};
    std::string serviceName; ///< Canonical name.
    std::uint64_t distance {}; ///< Edits between the two.
};

/** A name that leads to no service. */
struct UnknownNameReport {
    std::string name;
    std::uint64_t count {}; ///< At least the true count, at most `error` above it.
    std::uint64_t error {};
    std::uint64_t lastSeen {}; ///< Wall clock.
    std::vector<SimilarNameReport> similar; ///< Closest first.
};

/** Unknown names that one process saw. */
struct NamesReport {
    std::uint64_t since {}; ///< Wall clock from when names are counted.
    std::uint64_t total {}; ///< Opens with an unknown name.
    std::uint64_t errorBound {}; ///< A name with more occurrences than this is listed.
    std::vector<UnknownNameReport> names; ///< Most frequent first.
};

/** One rank of a flow. */
struct RankReport {
    std::uint32_t target {};
    std::string vm;
    std::string failureDomain;
    std::string agent; ///< Endpoint.
    std::string eligibility; ///< "eligible", or why not.
    std::optional<std::uint64_t> load; ///< Last reported use of the limit in 1/1000; none when unknown.
    std::uint64_t loadAgeMs {}; ///< Age of the load report.
    bool chosen {}; ///< The next Open of this flow would go there.
};

/** Where a name leads and where a flow would go. */
struct ExplainReport {
    std::string name;
    std::uint64_t revision {}; ///< Configuration under which the name was resolved.
    std::uint32_t service {}; ///< Zero when the name leads nowhere.
    std::string serviceName; ///< Canonical name.
    std::string match; ///< "name", "further name", "corrected spelling" or "none".
    std::vector<SimilarNameReport> similar; ///< When the name leads nowhere.
    bool serving {}; ///< Whether the process forwards at all.
    std::vector<RankReport> ranks; ///< When a flow was given, or for an arbitrary flow.
};

std::string toJson(const StatusReport& report);
std::string toJson(const NamesReport& report);
std::string toJson(const ExplainReport& report);

/**
 * Reads a report.
 * @param text JSON text.
 * @param[out] report Set on success.
 * @return Empty on success, otherwise what is wrong.
 */
std::string parseReport(std::string_view text, StatusReport& report);
std::string parseReport(std::string_view text, NamesReport& report);
std::string parseReport(std::string_view text, ExplainReport& report);

/**
 * Encodes a value for the query of a path.
 * @param value Any text.
 * @return The text with all but letters, digits, '-', '.', '_' and '~' as %XX.
 */
std::string encodeQueryValue(std::string_view value);

/**
 * Finds a value in the query of a path.
 * @param query Text behind the question mark, such as "name=a%20b&flow=7".
 * @param name Name of the value.
 * @return The decoded value; none when it is absent or wrongly encoded.
 */
std::optional<std::string> queryValue(std::string_view query, std::string_view name);

} // namespace hawthorncroft
