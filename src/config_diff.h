/**
 * @file config_diff.h
 * What a change of a document means for callers, in words.
 */
#pragma once

#include "config_type.h"

namespace hawthorncroft {

/** One difference between two documents. */
struct ConfigChange {
    std::string subject; ///< What changes, such as "name curier-route" or "target 7".
    std::string effect; ///< What callers notice.
};

/**
 * Compares two documents of the same kind; a removed document counts as one without content.
 * @param before The document in force.
 * @param after The document to be published.
 * @return The differences that matter; empty when callers notice nothing.
 */
std::vector<ConfigChange> describeChanges(const Document& before, const Document& after);

} // namespace hawthorncroft
