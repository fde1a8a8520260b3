/**
 * @file agent_failures.h
 * What each failure at the target means for the caller and for the limit, in the order of TargetFailure.
 */
#pragma once

#include "../agent_type.h"

#include <array>

namespace hawthorncroft {

/** Consequences of one failure. */
struct FailureRule {
    Outcome outcome;
    bool isCapacitySignal {}; ///< The concurrency limit drops.
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
