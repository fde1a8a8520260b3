/**
 * @file config_func.h
 * Parsing and checking of one configuration document, and the reverse. The check depends on the document alone, so
 * every process accepts or refuses the same documents.
 */
#pragma once

#include "config_type.h"

#include <string_view>

namespace hawthorncroft {

/** Kind of a document; follows from its key. */
enum class DocumentKind : std::uint8_t {
    Unknown,
    Services, ///< "services/NAME"
    Targets, ///< "targets/NAME"
    Members, ///< "members/NAME"
    Operations, ///< "operations"
    Keys, ///< "keys"
    End,
};

std::string_view nameOf(DocumentKind kind);

/**
 * Tells the kind of a document.
 * @param key The key at the platform.
 * @return The kind, or Unknown when no document may have this key.
 */
DocumentKind kindOf(std::string_view key);

/** Outcome of the check of one document. */
struct CheckedDocument {
    DocumentPtr document; ///< Null when the document is refused.
    std::vector<ConfigFault> faults; ///< Every fault of a refused document, in document order.

    /** @return Whether the document may be applied. */
    bool isAccepted() const { return document != nullptr; }
};

/**
 * Parses and checks a document. A document with any fault is refused as a whole.
 * @param key The key at the platform.
 * @param text The JSON text; empty for a removed document.
 * @return The typed document, or its faults.
 */
CheckedDocument parseDocument(const std::string& key, std::string_view text);

/**
 * Writes a document as JSON. parseDocument reads the result back into an equal document.
 * @param document The document.
 * @return JSON text; empty for a removed document.
 */
std::string toJson(const Document& document);

/**
 * Counts inserted, removed, replaced and swapped adjacent characters between two names (restricted
 * Damerau-Levenshtein distance over bytes).
 * @param a One name.
 * @param b Other name.
 * @param limit Distance at which counting stops.
 * @return The distance, or `limit` when it is at least that.
 */
std::size_t editDistance(std::string_view a, std::string_view b, std::size_t limit);

} // namespace hawthorncroft
