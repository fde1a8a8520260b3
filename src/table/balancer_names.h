/**
 * @file balancer_names.h
 * Names of BalancerCounter and BalancerCore::Eligibility values in metrics and reports, in the order of the
 * enumerations.
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
