/**
 * @file retry_budget_type.h
 * Retry budget: limits retries to a share of successes, so that an outage does not multiply load.
 */
#pragma once

#include "core_type.h"

#include <algorithm>

namespace hawthorncroft {

/**
 * Token bucket. Successes add tokens and each retry takes one. A slow constant refill permits retries when there was no
 * recent success.
 */
class RetryBudget {
public:
    /** Limits of the budget. One token allows one retry. */
    struct Options {
        double atStart { 10 }; ///< Initial number of tokens.
        double reserve { 10 }; ///< Maximum number of tokens.
        double refillPerSecond { 1 }; ///< Tokens added per second, independent of successes.
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
     * Adds the tokens for one success.
     * @param percent Number of retries allowed per 100 successes.
     */
    void recordSuccess(std::uint32_t percent) { add(percent / 100.0); }

    /**
     * Takes one token for a retry, if there is one.
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

    /** @return Number of tokens left. */
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
 * Tracks the share of recent opens that were accepted. While most are accepted, a retry usually replaces a datagram
 * that the network lost. It then adds no load and needs no budget.
 */
class OpenHealth {
public:
    /**
     * Counts an open. If at least a second has passed since the counts were last halved, halves them first, so that
     * older opens lose weight.
     * @param now Current time.
     */
    void recordOpen(TimePoint now)
    {
        if (now - m_halvedAt >= seconds(1)) {
            m_halvedAt = now;
            m_opens /= 2;
            m_successes /= 2;
        }
        m_opens += 1;
    }

    /** Counts an accepted open. */
    void recordSuccess() { m_successes += 1; }

    /** @return Whether so few opens are accepted that retries must be limited. */
    bool needsBudget() const { return m_opens >= minOpensForHealth && m_successes < minAcceptedShare * m_opens; }

private:
    static constexpr double minOpensForHealth = 1; ///< Weighted number of opens below which retries are not limited.
    static constexpr double minAcceptedShare = 0.7; ///< Share of accepted opens from which on targets count as healthy.

    double m_opens {};
    double m_successes {};
    TimePoint m_halvedAt;
};

} // namespace hawthorncroft
