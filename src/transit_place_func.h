/**
 * @file transit_place_func.h
 * Text formats of placement explanations: the query string of a request, and JSON.
 */
#pragma once

#include "transit_place_type.h"

#include <string_view>

namespace hawthorncroft {

/**
 * Reads the query string of the page `/place`.
 * @param text Query string of any content and length.
 * @param[out] query Set on success.
 * @return Empty on success, otherwise a description of the error.
 */
std::string parsePlaceQuery(std::string_view text, PlaceQuery& query);

/** @return Path and query string that request an explanation. */
std::string placeTargetOf(const PlaceQuery& query);

/** @return JSON of the explanation. */
std::string toJson(const PlaceReport& report);

/**
 * Reads an explanation.
 * @param text JSON text.
 * @param[out] report Set on success.
 * @return Empty on success, otherwise a description of the error.
 */
std::string parsePlaceReport(std::string_view text, PlaceReport& report);

} // namespace hawthorncroft
