/**
 * @file burn_func.h
 * Computation and output of the service-level burn report.
 */
#pragma once

#include "burn_type.h"

#include <string_view>

namespace hawthorncroft {

inline constexpr std::uint64_t minutesPerMonth = 43200; ///< 30 days, the period of monthly objectives.

/**
 * Sums the counts of several processes. Objectives and names come from the first process that lists a service.
 * @param all Counts of each process.
 * @return The sum, from the first minute that any process covers.
 */
BurnCounts merged(const std::vector<BurnCounts>& all);

/**
 * Computes the report. With a budget of zero, each miss counts as one full budget.
 * @param counts Counts of one process or the sum over several processes.
 * @param maxMinutes Maximum length of the period; earlier minutes are left out.
 * @return The report.
 */
BurnReport computeBurn(const BurnCounts& counts, std::uint64_t maxMinutes);

/** @return JSON reply to GET /burn. A minute is an array of its seven numbers in the order of MinuteCounts. */
std::string toJson(const BurnCounts& counts);

/**
 * Parses the reply to GET /burn.
 * @param text JSON text.
 * @param[out] counts Set on success.
 * @return Empty on success, otherwise a description of the error.
 */
std::string parseBurnCounts(std::string_view text, BurnCounts& counts);

std::string toJson(const BurnReport& report); ///< Complete report as JSON.
std::string toText(const BurnReport& report); ///< Plain text for a terminal.
std::string toHtml(const BurnReport& report); ///< HTML page without external resources.

/** @return "2026-12-04 05:30" for minutes since 1970, UTC. */
std::string minuteText(std::uint64_t minute);

/** @return Number rounded for display, such as "12,345" or "0.4". */
std::string numberText(double number);

/** @return Share in percent, such as "62.1 %". */
std::string percentText(double share);

/** @return Duration, such as "5 min", "6 h" or "3 d". */
std::string lengthText(std::uint64_t minutes);

} // namespace hawthorncroft
