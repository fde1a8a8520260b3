/**
 * @file replica_func.h
 * JSON of deltas, as `GET /config?since=R` and the platform's `GET /watch?since=R` return them:
 * {"revision":R,"since":S,"full":false,"changes":[{"key":K,"revision":R,"document":{...} or null}]}.
 * `since` and `full` may be absent.
 */
#pragma once

#include "replica_type.h"

#include <string_view>

namespace hawthorncroft {

/**
 * Writes a delta.
 * @param delta The delta.
 * @return JSON text.
 */
std::string toJson(const Delta& delta);

/**
 * Reads a delta. The documents in it are not checked.
 * @param text JSON text.
 * @param since Revision that was asked for; used when the text does not say.
 * @param[out] delta Set on success.
 * @return Empty on success, otherwise what is wrong.
 */
std::string parseDelta(std::string_view text, Revision since, Delta& delta);

} // namespace hawthorncroft
