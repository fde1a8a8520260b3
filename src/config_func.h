/**
 * @file config_func.h
 * Parsing, validation and serialization of one configuration document. Validation depends on the document alone, so all
 * processes accept or refuse the same documents.
 */
#pragma once

#include "config_type.h"

#include <string_view>

namespace hawthorncroft {

/** Kind of a document, determined by its key. */
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
 * Determines the kind of a document.
 * @param key The document's key on the platform.
 * @return The kind, or Unknown when the key is not a valid document key.
 */
DocumentKind kindOf(std::string_view key);

/** Result of parsing and validating one document. */
struct CheckedDocument {
    DocumentPtr document; ///< Null when the document is refused.
    std::vector<ConfigFault> faults; ///< All faults of a refused document, in document order.

    /** @return Whether the document is valid. */
    bool isAccepted() const { return document != nullptr; }
};

/**
 * Parses and validates a document. A single fault makes the whole document invalid.
 * @param key The document's key on the platform.
 * @param text The JSON text; empty for a removed document.
 * @return The typed document, or its faults.
 */
CheckedDocument parseDocument(const std::string& key, std::string_view text);

/**
 * Serializes a document to JSON. Parsing the result with parseDocument gives an equal document.
 * @param document The document.
 * @return JSON text; empty for a removed document.
 */
std::string toJson(const Document& document);

/**
 * Calculates the restricted Damerau-Levenshtein distance (optimal string alignment) of two names over bytes: the number
 * of insertions, deletions, substitutions and transpositions of adjacent bytes.
 * @param a First name.
 * @param b Second name.
 * @param limit Distance at which the calculation stops.
 * @return The distance, or `limit` when the distance is at least that.
 */
std::size_t editDistance(std::string_view a, std::string_view b, std::size_t limit);

} // namespace hawthorncroft
