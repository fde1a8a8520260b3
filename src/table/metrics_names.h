/**
 * @file metrics_names.h
 * Names of the counters and distributions, in the order of their enumerations, and the axes of the distributions.
 */
#pragma once

#include "../metrics_type.h"
#include "../name_table_type.h"

#include <array>

namespace hawthorncroft {

inline constexpr NameTable<Counter> counterNames = {
    "datagrams_in",
    "datagrams_out",
    "bytes_in",
    "bytes_out",
    "malformed",
    "bad_trailers",
    "bad_bindings",
    "ring_drops",
    "opens",
    "relays",
    "did_not_run",
    "may_have_run",
    "done",
    "in_time",
    "retransmissions",
    "duplicates",
    "retries",
    "retries_denied",
    "unknown_names",
    "wrong_service",
    "flows_opened",
    "flows_broken",
    "pauses",
    "isolations",
    "documents_accepted",
    "documents_refused",
    "platform_calls",
    "platform_failures",
    "control_requests",
    "control_refused",
};

/** Logarithmic axis of a distribution, with one underflow and one overflow bin. */
struct DistributionAxis {
    std::string_view name; ///< Printed name, with the unit.
    unsigned bins; ///< Number of bins between lower and upper.
    double lower; ///< Lower values are counted in the underflow bin.
    double upper; ///< Values from here on are counted in the overflow bin.
};

inline constexpr std::array<DistributionAxis, static_cast<std::size_t>(Distribution::End)> distributionAxes = { {
    { "latency_us", 96, 10, 100e6 }, // Each bin is about 18 % wide.
    { "decision_ns", 64, 10, 1e6 }, // Each bin is about 20 % wide.
    { "hops", 4, 1, 16 }, // One bin per power of two.
    { "queue_depth", 16, 1, 65536 }, // One bin per power of two.
} };

} // namespace hawthorncroft
