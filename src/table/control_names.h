/**
 * @file control_names.h
 * Names of the control errors and counters, in the order of their enumerations.
 */
#pragma once

#include "../control_type.h"

namespace hawthorncroft {

inline constexpr std::array<std::string_view, static_cast<std::size_t>(ControlError::End)> controlErrorNames = {
    "none",
    "unreachable",
    "timeout",
    "unauthorized",
    "replayed",
    "rate limited",
    "bad reply",
    "not found",
    "failed",
    "too large",
    "no key",
};

inline constexpr std::array<std::string_view, static_cast<std::size_t>(ControlCounter::End)> controlCounterNames = {
    "served",
    "unauthorized",
    "replayed",
    "rate_limited",
    "not_found",
    "bad_request",
};

} // namespace hawthorncroft
