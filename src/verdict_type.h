/**
 * @file verdict_type.h
 * Outcome of a request and the reason for it. Every refusal states whether the request may have run.
 */
#pragma once

#include <cstdint>
#include <string_view>

namespace hawthorncroft {

/** Whether a request ran at a target. */
enum class Verdict : std::uint8_t {
    None, ///< No outcome yet.
    Done, ///< The request ran and was answered.
    DidNotRun, ///< The request did not run and will never run under this binding.
    MayHaveRun, ///< It is unknown whether the request ran.
    End,
};

/** Why a packet was refused or a request ended. */
enum class Reason : std::uint8_t {
    None,
    UnknownName, ///< No service matches the name or its corrected spelling.
    WrongService, ///< The target does not serve the requested service.
    NotReady, ///< The process has no confirmed configuration yet.
    Isolated, ///< The process cannot reach any peer, agent or the platform.
    NoTarget, ///< No eligible target serves the service.
    Overloaded, ///< All targets tried within the hop budget are at their concurrency limits.
    Cold, ///< The target is cold and at its reduced limit.
    Draining, ///< The target accepts no new flows.
    OutOfService, ///< The target's failure domain or VM is out of service.
    BadBinding, ///< The MAC of the binding is wrong or its key is not accepted.
    Expired, ///< The binding or the reservation expired.
    WrongIncarnation, ///< The target or its agent restarted since the binding was issued.
    WrongTarget, ///< The packet is addressed to another target.
    DeadlinePassed, ///< The deadline passed before the request reached the target.
    Cancelled, ///< The caller cancelled the request.
    RetryBudget, ///< The retry budget is exhausted.
    TargetFailed, ///< The target terminated or answered with an error.
    ShutDown, ///< The process is shutting down.
    NoAnswer, ///< No answer arrived before the deadline.
    TooLarge, ///< The payload exceeds the size limit.
    Unknown, ///< The agent has no record of the request.
    End,
};

/**
 * Name of a verdict as printed and logged.
 * @param verdict The verdict.
 * @return Its name, or "invalid".
 */
std::string_view nameOf(Verdict verdict);

/**
 * Name of a reason as printed and logged.
 * @param reason The reason.
 * @return Its name, or "invalid".
 */
std::string_view nameOf(Reason reason);

/** A verdict with its reason and, for a refusal, the retry-after. */
struct Outcome {
    Verdict verdict { Verdict::None }; ///< Whether the request may have run.
    Reason reason { Reason::None };
    std::uint32_t retryAfterMs {}; ///< Milliseconds to wait before a retry; zero when none is given.

    bool operator==(const Outcome&) const = default;
};

} // namespace hawthorncroft
