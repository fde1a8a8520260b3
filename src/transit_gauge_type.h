/**
 * @file transit_gauge_type.h
 * Gauges of a process that carries transparent flows.
 */
#pragma once

#include <cstdint>
#include <string_view>

namespace hawthorncroft {

/** A value sampled when the metrics are printed. */
struct TransitGauge {
    std::string_view name; ///< Without the common prefix; refers to a literal.
    std::int64_t value {};
};

} // namespace hawthorncroft
