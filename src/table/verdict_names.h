/**
 * @file verdict_names.h
 * Names of verdicts and reasons, in the order of the enumerators.
 */
#pragma once

#include "../name_table_type.h"
#include "../verdict_type.h"

#include <array>

namespace hawthorncroft {

inline constexpr NameTable<Verdict> verdictNames {
    "none",
    "done",
    "did not run",
    "may have run",
};

inline constexpr NameTable<Reason> reasonNames {
    "none",
    "unknown name",
    "wrong service",
    "not ready",
    "isolated",
    "no target",
    "overloaded",
    "cold",
    "draining",
    "out of service",
    "bad binding",
    "expired",
    "wrong incarnation",
    "wrong target",
    "deadline passed",
    "cancelled",
    "retry budget",
    "target failed",
    "shut down",
    "no answer",
    "too large",
    "unknown",
};

} // namespace hawthorncroft
