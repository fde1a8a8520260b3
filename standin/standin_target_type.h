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

/** Behaviour of the target. All fields can be changed at run time by `POST /test/settings`. */
struct StandinTargetSettings {
    std::uint64_t service { 1 }; ///< Id of the service; work for other services is refused with 421.
    std::uint64_t slots { 5 }; ///< Maximum number of concurrent requests.
    std::uint64_t connections { 2000 }; ///< Maximum number of open feeds and uncommitted uploads.
    std::uint64_t serviceMs { 20 }; ///< Mean service time of a request; milliseconds.
    std::uint64_t spreadPercent { 50 }; ///< Service times are uniform within this percentage of the mean.
    std::uint64_t seed { 1 }; ///< Seed of the service times and of shedding.
    std::uint64_t coldMs { 0 }; ///< Duration of the cold period; milliseconds.
    std::uint64_t coldPercent { 20 }; ///< Percentage of the slots that can be used while cold.
    std::uint64_t coldSlowdownPercent { 100 }; ///< Service time while cold, in percent of the normal time.
    std::uint64_t feedMs { 1000 }; ///< Interval between the events of a feed; milliseconds.
    std::uint64_t answerBytes { 0 }; ///< Minimum size of an answer, which is padded with "x".
    std::uint64_t shedPercent { 0 }; ///< Percentage of the requests that are refused with 503.
    std::uint64_t retryAfterMs { 100 }; ///< Value of `retry-after-ms` in a refusal; milliseconds.
    std::uint64_t reportLagMs { 0 }; ///< Age of the state and load in a health report; milliseconds.
    std::uint64_t reportLoad {
        0
    }; ///< Load to report instead of the actual one, plus 1, in 1/1000; zero reports the actual load.
    std::string reportState; ///< State to report instead of the actual one; empty reports the actual state.
};

/**
 * Applies the fields of a JSON object to the settings; fields that are absent keep their values.
 * @param object The object.
 * @param[in,out] settings Changed only when all fields are valid.
 * @param[out] error Names the first field that is unknown or has a wrong value.
 * @return Whether all fields are valid.
 */
bool applySettings(const boost::json::object& object, StandinTargetSettings& settings, std::string& error);

/** Ground truth: what happened at the target, for tests to compare against. */
struct StandinTargetTruth {
    std::map<std::string, std::uint64_t> executed; ///< Number of started runs, by request id.
    std::map<std::string, std::uint64_t> flows; ///< Number of started runs, by "CALLER/FLOW" from the headers.
    std::uint64_t completed {}; ///< Requests that ran to completion.
    std::uint64_t cancelled {}; ///< Requests that were cancelled while they ran.
    std::uint64_t wrongService {}; ///< Requests, chunks and feeds for another service.
    std::uint64_t overload {}; ///< Requests above the capacity; they failed without running.
    std::uint64_t shed {}; ///< Requests refused with 503 by `shedPercent`.
    std::uint64_t drainRefused {}; ///< Requests and feeds refused while draining.
    std::uint64_t deadlinePassed {}; ///< Requests that arrived with no time remaining.
    std::uint64_t highestConcurrency {};
    std::uint64_t feedsOpened {};
    std::uint64_t feedEvents {};
    std::uint64_t feedEventsDeferred {}; ///< Events deferred because the reader is slow.
    std::uint64_t chunks {};
    std::uint64_t duplicateChunks {}; ///< Chunks received again with the same content.
    std::uint64_t conflictingChunks {}; ///< Chunks received again with different content.
    std::uint64_t packetsSinceOut {}; ///< Calls since `POST /test/out`, except health and test calls.
    std::uint64_t lastPacketAfterOutMs {}; ///< Time from `POST /test/out` to the last such call; milliseconds.
    std::uint64_t newSinceDrain {}; ///< New requests, feeds and uploads since `POST /test/drain`.
    std::uint64_t lastNewAfterDrainMs {}; ///< Time from `POST /test/drain` to the last of them; milliseconds.
};

/**
 * Formats the ground truth.
 * @param truth The counters.
 * @return JSON object with one member per counter and `doubled`, the ids that ran more than once.
 */
boost::json::object toJson(const StandinTargetTruth& truth);

} // namespace hawthorncroft
