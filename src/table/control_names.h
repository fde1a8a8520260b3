/**
 * @file control_names.h
 * Names of ControlError and ControlCounter values, in the order of the enumerations.
 */
#pragma once

#include "../control_type.h"
#include "../name_table_type.h"

namespace hawthorncroft {

inline constexpr NameTable<ControlError> controlErrorNames = {
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

inline constexpr NameTable<ControlCounter> controlCounterNames = {
    "served",
    "unauthorized",
    "replayed",
    "rate_limited",
    "not_found",
    "bad_request",
};

} // namespace hawthorncroft
