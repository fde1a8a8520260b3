/**
 * @file declined_openings.h
 * Opening packets that arrive at overloaded agents, on simulated time: which agent is asked after one declined. An
 * agent declines while its queue holds what its target can answer within the timeout.
 */
#pragma once

#include <cstdint>

namespace hawthorncroft {

/** Load of a run. */
struct DeclinedLoad {
    const char* name;
    double share; ///< Offered load as a share of the capacity of all targets.
    double slowTargets {}; ///< Share of the targets that take twice the service time.
    double emptyTargets {}; ///< Share of the targets whose queues are empty at the start; the others are full.
};

/** Which agent is asked after an overloaded one. */
enum class AfterDecline : std::uint8_t {
    RandomDraw, ///< The least loaded of some drawn at random; the caller is refused after two declines.
    MostSpare, ///< The one with the most spare capacity known; refused when there is none, or after five agents.
};

struct DeclinedOutcome {
    double accepted {}; ///< Share of the opening packets that an agent accepted.
    double refusedBesideRoom {}; ///< Share that was refused while a queue had room.
    double asked {}; ///< Agents asked for each opening packet.
};

DeclinedOutcome runDeclined(const DeclinedLoad& load, AfterDecline way);

} // namespace hawthorncroft
