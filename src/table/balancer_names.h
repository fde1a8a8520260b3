/**
 * @file balancer_names.h
 * Names of a balancer's counters and of reasons why a target is not eligible, in the order of their enumerations.
 */
#pragma once

#include "../balancer_base.h"
#include "../name_table_type.h"

#include <array>

namespace hawthorncroft {

inline constexpr NameTable<BalancerCounter> balancerCounterNames {
    "opens_placed",
    "bound_forwarded",
    "replies_forwarded",
    "unknown_names",
    "no_targets",
    "early_refusals",
    "retries_refused",
    "not_serving",
    "bad_bindings",
    "out_of_service",
    "bad_kinds",
    "pauses",
};

inline constexpr NameTable<BalancerCore::Eligibility> eligibilityNames {
    "eligible",
    "not configured",
    "out of service",
    "leaving",
    "refusing work",
    "suspected",
};

} // namespace hawthorncroft
