/**
 * @file transit_capacity_sim.h
 * Fleet on simulated time for the learned capacity of targets. Placement, queue, service times and learned capacity are
 * the product's; targets divide their speed among the requests in progress. Runs with the same seed differ only by what
 * is decided.
 */
#pragma once

#include "hindsight_bound.h"
#include "transit_capacity_base.h"
#include "transit_placement_base.h"
#include "transit_queue_base.h"
#include "transit_service_time_base.h"

#include <functional>
#include <queue>
#include <random>

namespace hawthorncroft::bench {

/** Behaviour of one target. */
struct TargetModel {
    double slowness { 1 }; ///< Factor on all service times.
    double knee {}; ///< Requests in progress from which they slow each other down; zero for none up to the slots.
    double exponent { 1 }; ///< 1: constant throughput above the knee; more: it falls.
    Duration slowFrom {}; ///< Time since the start of the run; see slowUntil.
    Duration slowUntil {};
    double slowFactor { 1 }; ///< Additional factor on service times from slowFrom to slowUntil.
    bool isCold {}; ///< Registered as cold until slowUntil.
    Duration failsFrom {};
    Duration failsUntil {};
    bool failsByReset { true }; ///< Otherwise the target answers errors, which the agent cannot tell from answers.
    Duration replacedAt {}; ///< A new incarnation starts at the same address; zero for never.
    double slownessAfterReplacement { 1 };
};

/** One kind of requests. */
struct KindModel {
    Endpoint route;
    Duration service;
    double share { 1 }; ///< Of the requests.
    Duration objective { milliseconds(300) };
};

/** A load and the fleet that gets it. */
struct CapacityLoad {
    const char* name;
    std::vector<TargetModel> targets;
    std::vector<KindModel> kinds;
    std::uint32_t slots { 4 };
    double share { 0.8 }; ///< Offered load as a share of what the targets can serve without faults.
    double swing {}; ///< Share of the offered load by which it swings.
    Duration period { seconds(15) };
    double spread { 0.5 }; ///< Of the log-normal service times.
    Duration measuredTime { seconds(20) };
    bool startsInFull {}; ///< Otherwise the load rises in the first seconds.
    std::uint32_t seed { 7 };
};

/** Results of one run. */
struct CapacityOutcome {
    double inTime {}; ///< Share of requests answered within their objective.
    double answered {}; ///< Share of requests answered within the timeout.
    double boundShare {}; ///< Requests in time divided by the bound by hindsight.
    double meanLimit {}; ///< Of all targets and the measured time.
    double failed {}; ///< Share of requests that a target failed.
    std::uint32_t limitChanges {};
};

/** What decides. */
struct CapacityPolicy {
    bool isLearning {}; ///< Otherwise placement by busy / slots, as without learned capacity.
    std::uint32_t registeredSlots {}; ///< Replaces the load's slots; zero for the load's.
};

/** Runs a load. */
CapacityOutcome runCapacityLoad(const CapacityLoad& load, CapacityPolicy policy);

/** @return Loads on which docs/design/learned-capacity.md reports. */
std::vector<CapacityLoad> capacityLoads();

} // namespace hawthorncroft::bench
