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

/** Logarithmic axis of a distribution: values below and above it are counted in one bin each. */
struct DistributionAxis {
    std::string_view name; ///< With the unit.
    unsigned bins; ///< Between lower and upper.
    double lower; ///< Lowest value that has a bin of its own.
    double upper; ///< Values from here on share the last bin.
};

inline constexpr std::array<DistributionAxis, static_cast<std::size_t>(Distribution::End)> distributionAxes = { {
    { "latency_us", 96, 10, 100e6 }, // About 18 % per bin.
    { "decision_ns", 64, 10, 1e6 }, // About 20 % per bin.
    { "hops", 4, 1, 16 }, // One bin per power of two.
    { "queue_depth", 16, 1, 65536 }, // One bin per power of two.
} };

} // namespace hawthorncroft
