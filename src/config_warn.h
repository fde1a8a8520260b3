/**
 * @file config_warn.h
 * Warnings about documents that are valid but dangerous. They look at several documents together, so they are advice to
 * operators and no part of the check that decides whether a document is accepted.
 */
#pragma once

#include "config_type.h"

namespace hawthorncroft {

/** What the warnings assume. */
struct WarningOptions {
    std::uint32_t loadPercent { 70 }; ///< Share of all slots of each service that today's load needs; percent.
};

/**
 * Finds dangers in a set of valid documents: names or ids given to two services, spellings one edit away from another
 * service's name, targets of unknown services, services without any target left, and more out of service than the rest
 * can bear.
 * @param documents The documents; without targets or operations the warnings about them are left out.
 * @param options What to assume.
 * @return The warnings, each with `warning` set.
 */
std::vector<ConfigFault> warningsOf(const std::vector<VersionedDocument>& documents, WarningOptions options);

} // namespace hawthorncroft
