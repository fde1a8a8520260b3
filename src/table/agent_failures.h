/**
 * @file agent_failures.h
 * Outcome for the caller and effect on the concurrency limit of each failure at the target, in the order of
 * TargetFailure.
 */
#pragma once

#include "../agent_type.h"

#include <array>

namespace hawthorncroft {

/** Handling of one failure. */
struct FailureRule {
    Outcome outcome;
    bool isCapacitySignal {}; ///< Whether the failure lowers the concurrency limit.
};

inline constexpr std::array<FailureRule, static_cast<std::size_t>(TargetFailure::End)> failureRules { {
    { { Verdict::DidNotRun, Reason::TargetFailed }, true }, // NotSent
    { { Verdict::DidNotRun, Reason::DeadlinePassed }, false }, // TooLate
    { { Verdict::DidNotRun, Reason::Overloaded }, true }, // Shed
    { { Verdict::DidNotRun, Reason::TargetFailed }, false }, // Refused
    { { Verdict::MayHaveRun, Reason::Cancelled }, false }, // Cancelled
    { { Verdict::MayHaveRun, Reason::TargetFailed }, true }, // Failed
} };

} // namespace hawthorncroft
