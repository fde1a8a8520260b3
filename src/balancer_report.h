/**
 * @file balancer_report.h
 * Answers to questions about a balancer on its control port.
 */
#pragma once

#include "balancer_base.h"
#include "process_type.h"

#include <map>

namespace hawthorncroft {

/** What a balancer remembers for operators. Owned by the data thread. */
class BalancerReport {
public:
    /**
     * Counts a name that leads to no service.
     * @param name The name as the caller spelled it.
     * @param second Wall clock in seconds.
     */
    void noteUnknownName(const std::string& name, std::uint64_t second);

    /**
     * Notes the revision in force.
     * @param view The view.
     * @param second Wall clock in seconds.
     */
    void noteInForce(const ConfigView& view, std::uint64_t second);

    /**
     * Answers a question.
     * @param question The question; an unknown path gives status 404.
     * @param core The balancer.
     * @param now Monotonic time.
     * @param second Wall clock in seconds.
     * @return The answer, as JSON.
     */
    ControlAnswer answer(
        const ControlQuestion& question, const BalancerCore& core, TimePoint now, std::uint64_t second) const;

private:
    Revision m_inForce;
    std::uint64_t m_inForceSince {}; ///< Wall clock in seconds.
    std::map<std::string, std::uint64_t> m_names;
};

} // namespace hawthorncroft
