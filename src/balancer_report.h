/**
 * @file balancer_report.h
 * Answers to questions about a balancer on its control port. Owned by the data thread.
 */
#pragma once

#include "balancer_base.h"
#include "metrics_base.h"
#include "name_sketch_type.h"
#include "process_report.h"

namespace hawthorncroft {

/** What a balancer reports to operators. */
class BalancerReport {
public:
    /**
     * @param settings Settings of the process.
     * @param second Wall clock in seconds at the start.
     */
    BalancerReport(const ProcessSettings& settings, std::uint64_t second);

    /**
     * Counts a name that leads to no service.
     * @param name The name as the caller spelled it.
     * @param second Wall clock in seconds.
     */
    void noteUnknownName(const std::string& name, std::uint64_t second) { m_names.add(name, second); }

    /**
     * Answers a question.
     * @param question The question; an unknown path gives status 404.
     * @param core The balancer.
     * @param now Monotonic time.
     * @return The answer, as JSON of report_type.h.
     */
    ForwardedReply answer(const ForwardedRequest& question, const BalancerCore& core, TimePoint now) const;

    ProcessReport& process() { return m_process; }
    Metrics& metrics() { return m_metrics; }

private:
    using Answer = std::string (BalancerReport::*)(const std::string&, const BalancerCore&, TimePoint) const;

    struct Route {
        std::string_view path;
        Answer answer;
    };

    static const std::array<Route, 3> routes;

    std::string status(const std::string& query, const BalancerCore& core, TimePoint now) const;
    std::string names(const std::string& query, const BalancerCore& core, TimePoint now) const;
    std::string explain(const std::string& query, const BalancerCore& core, TimePoint now) const;
    std::vector<RankReport> ranksOf(
        const BalancerCore& core, ServiceId service, const FlowKey& key, TimePoint now) const;

    ProcessReport m_process;
    NameSketch m_names;
    Metrics m_metrics;
};

} // namespace hawthorncroft
