/**
 * @file config_warn.h
 * Warnings about risks in valid documents. They depend on several documents, so they are only reported to operators and
 * do not affect whether a document is accepted.
 */
#pragma once

#include "config_type.h"

namespace hawthorncroft {

/** Assumptions for the warnings. */
struct WarningOptions {
    std::uint32_t loadPercent { 70 }; ///< Share of a service's slots that the assumed load needs; percent.
};

/**
 * Finds risks in a set of valid documents: names or ids used by several services or targets, spellings one edit away
 * from another service's name, targets of unknown services, failure domains out of service that contain no target,
 * services with no target left in service, and services whose remaining slots cannot carry the assumed load.
 * @param documents The documents. Checks that need targets or operations are skipped when the set has none.
 * @param options Assumptions.
 * @return The warnings, each with `warning` set.
 */
std::vector<ConfigFault> warningsOf(const std::vector<VersionedDocument>& documents, WarningOptions options);

} // namespace hawthorncroft
