/**
 * @file config_diff.h
 * Textual description of the effects of a document change on callers.
 */
#pragma once

#include "config_type.h"

namespace hawthorncroft {

/** One difference between two documents. */
struct ConfigChange {
    std::string subject; ///< Changed item, such as "name curier-route" or "target 7".
    std::string effect; ///< Effect on callers.
};

/**
 * Compares two documents of the same kind. A removed document is treated as an empty one.
 * @param before The current document.
 * @param after The document to be published.
 * @return The differences with their effects; empty when there are none to report.
 */
std::vector<ConfigChange> describeChanges(const Document& before, const Document& after);

} // namespace hawthorncroft
