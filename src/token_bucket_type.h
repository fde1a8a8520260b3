/**
 * @file token_bucket_type.h
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
        double reserve { 10 }; ///< Tokens at start and at most, in retries.
        double refillPerSecond { 1 }; ///< Retries a second that are allowed with no success at all.
    };

    RetryBudget()
        : RetryBudget(Options {})
    {
    }

    explicit RetryBudget(Options options)
        : m_options(options)
        , m_tokens(options.reserve)
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

} // namespace hawthorncroft
