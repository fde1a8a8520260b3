/**
 * @file replica_func.h
 * JSON format of deltas, as returned by `GET /config?since=R` and by the platform's `GET /watch?since=R`:
 * {"revision":R,"since":S,"full":false,"changes":[{"key":K,"revision":R,"document":{...} or null}]}.
 * `document` is null for a removed document. `since` and `full` may be absent.
 */
#pragma once

#include "replica_type.h"

#include <string_view>

namespace hawthorncroft {

/** @return The delta as JSON text. */
std::string toJson(const Delta& delta);

/**
 * Parses a delta. The documents in it are not validated.
 * @param text JSON text.
 * @param since Requested revision; used when the text contains no `since`.
 * @param[out] delta Set on success.
 * @return Empty on success, otherwise an error message.
 */
std::string parseDelta(std::string_view text, Revision since, Delta& delta);

} // namespace hawthorncroft
