/**
 * @file retry_budget_type.h
 * Retry budget: retries are allowed as a share of successes, so that an outage does not multiply load.
 */
#pragma once

#include "core_type.h"

#include <algorithm>

namespace hawthorncroft {

/** Bucket that successes fill and retries empty. A slow constant refill lets a caller with no recent success try again.
 */
class RetryBudget {
public:
    /** How much the budget allows. */
    struct Options {
        double atStart { 10 }; ///< Tokens at start, in retries.
        double reserve { 10 }; ///< Tokens at most, in retries.
        double refillPerSecond { 1 }; ///< Retries a second that are allowed with no success at all.
    };

    RetryBudget()
        : RetryBudget(Options {})
    {
    }

    explicit RetryBudget(Options options)
        : m_options(options)
        , m_tokens(options.atStart)
    {
    }

    /**
     * Adds the share that one success earns.
     * @param percent Retries allowed for 100 successes.
     */
    void noteSuccess(std::uint32_t percent) { add(percent / 100.0); }

    /**
     * Takes one retry out of the budget.
     * @param now Current time.
     * @return Whether the retry is allowed.
     */
    bool take(TimePoint now)
    {
        refill(now);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    /** @return Retries that are left. */
    double tokens() const { return m_tokens; }

private:
    void refill(TimePoint now)
    {
        if (m_refilledAt.us && now > m_refilledAt)
            add(static_cast<double>((now - m_refilledAt).us) / 1e6 * m_options.refillPerSecond);
        m_refilledAt = now;
    }

    void add(double tokens) { m_tokens = std::min(m_options.reserve, m_tokens + tokens); }

    Options m_options;
    double m_tokens;
    TimePoint m_refilledAt;
};

/**
 * Share of recent opens that were accepted. While most are, a retry replaces a datagram that the network lost and adds
 * no load, so it needs no budget.
 */
class OpenHealth {
public:
    /**
     * Counts an open. Each second halves the weight of earlier ones.
     * @param now Current time.
     */
    void noteOpen(TimePoint now)
    {
        if (now - m_halvedAt >= seconds(1)) {
            m_halvedAt = now;
            m_opens /= 2;
            m_successes /= 2;
        }
        m_opens += 1;
    }

    /** Counts an accepted open. */
    void noteSuccess() { m_successes += 1; }

    /** @return Whether so many opens fail that retries must be limited. */
    bool needsBudget() const { return m_opens >= minOpensForHealth && m_successes < minAcceptedShare * m_opens; }

private:
    static constexpr double minOpensForHealth = 1; ///< Fewer opens say nothing about the targets.
    static constexpr double minAcceptedShare
        = 0.7; ///< Accepted opens, as a share of all, above which targets are healthy.

    double m_opens {};
    double m_successes {};
    TimePoint m_halvedAt;
};

} // namespace hawthorncroft
