/**
 * @file standin_target_type.h
 * Settings and ground truth of the stand-in for a target.
 */
#pragma once

#include "core_type.h"

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hawthorncroft {

/** How the target behaves. All fields can be changed while it runs, by `POST /test/settings`. */
struct StandinTargetSettings {
    std::uint64_t service { 1 }; ///< Id of the service; others count as wrong.
    std::uint64_t slots { 5 }; ///< Requests that it runs at a time.
    std::uint64_t connections { 2000 }; ///< Feeds and unfinished uploads that it holds.
    std::uint64_t serviceMs { 20 }; ///< Mean time of a request; milliseconds.
    std::uint64_t spreadPercent { 50 }; ///< Times lie within this share of the mean, evenly distributed.
    std::uint64_t seed { 1 }; ///< Of the service times and of shedding.
    std::uint64_t coldMs { 0 }; ///< Length of the cold start; milliseconds.
    std::uint64_t coldPercent { 20 }; ///< Share of the slots that it bears while cold.
    std::uint64_t coldSlowdownPercent { 100 }; ///< Service time while cold, relative to warm.
    std::uint64_t feedMs { 1000 }; ///< Time between two events of a feed; milliseconds.
    std::uint64_t answerBytes { 0 }; ///< Least size of an answer; it is padded with "x".
    std::uint64_t shedPercent { 0 }; ///< Share of the requests that are refused with 503.
    std::uint64_t retryAfterMs { 100 }; ///< Advice in a refusal; milliseconds.
    std::uint64_t reportLagMs { 0 }; ///< Age of the state and load in a health report; milliseconds.
    std::uint64_t reportLoad { 0 }; ///< False load to report plus 1, in 1/1000; zero for the true one.
    std::string reportState; ///< False state to report; empty for the true one.
};

/**
 * Applies the fields of a JSON object to the settings; fields that it lacks stay.
 * @param object The object.
 * @param[in,out] settings Changed only when all fields are valid.
 * @param[out] error Names the first field that is unknown or has a wrong value.
 * @return Whether all fields are valid.
 */
bool applySettings(const boost::json::object& object, StandinTargetSettings& settings, std::string& error);

/** What happened at the target, for the checks of a test. */
struct StandinTargetTruth {
    std::map<std::string, std::uint64_t> executed; ///< Runs begun by request id.
    std::map<std::string, std::uint64_t> flows; ///< Runs begun by "CALLER/FLOW", from the headers.
    std::uint64_t completed {}; ///< Requests that ran to their end.
    std::uint64_t cancelled {}; ///< Requests that were cancelled while they ran.
    std::uint64_t wrongService {}; ///< Requests, chunks and feeds for another service.
    std::uint64_t overload {}; ///< Requests beyond what it bears; they failed without running.
    std::uint64_t shed {}; ///< Requests refused with 503 by `shedPercent`.
    std::uint64_t drainRefused {}; ///< Requests and feeds refused while draining.
    std::uint64_t deadlinePassed {}; ///< Requests that arrived without time left.
    std::uint64_t highestConcurrency {};
    std::uint64_t feedsOpened {};
    std::uint64_t feedEvents {};
    std::uint64_t feedEventsDeferred {}; ///< Events put off because the reader is slow.
    std::uint64_t chunks {};
    std::uint64_t duplicateChunks {}; ///< Chunks received again with the same content.
    std::uint64_t conflictingChunks {}; ///< Chunks received again with other content.
    std::uint64_t packetsSinceOut {}; ///< Calls except health and test since `POST /test/out`.
    std::uint64_t lastPacketAfterOutMs {}; ///< Time of the last of them after it; milliseconds.
    std::uint64_t newSinceDrain {}; ///< New requests, feeds and uploads since `POST /test/drain`.
    std::uint64_t lastNewAfterDrainMs {}; ///< Time of the last of them after it; milliseconds.
};

/**
 * Formats the counts.
 * @param truth The counts.
 * @return JSON object with one member per count and `doubled`, the ids that ran more than once.
 */
boost::json::object toJson(const StandinTargetTruth& truth);

} // namespace hawthorncroft
