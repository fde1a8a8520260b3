/**
 * @file balancer_report.h
 * Answers to requests on a balancer's control port. Owned by the data thread.
 */
#pragma once

#include "balancer_base.h"
#include "metrics_base.h"
#include "name_sketch_type.h"
#include "process_report.h"

namespace hawthorncroft {

/** Status, unknown names and placement explanations of a balancer, and its metrics. */
class BalancerReport {
public:
    /**
     * @param settings Settings of the process.
     * @param second Wall clock time at the start of the process, in seconds.
     */
    BalancerReport(const ProcessSettings& settings, std::uint64_t second);

    /**
     * Counts a name that resolves to no service.
     * @param name The name as the caller spelled it.
     * @param second Wall clock time in seconds.
     */
    void countUnknownName(const std::string& name, std::uint64_t second) { m_names.add(name, second); }

    /**
     * Answers a request of the control port.
     * @param request The request; an unknown path gives status 404.
     * @param core The balancer.
     * @param now Monotonic time.
     * @return The answer; its body is JSON of a report in report_type.h.
     */
    ForwardedReply answer(const ForwardedRequest& request, const BalancerCore& core, TimePoint now) const;

    ProcessReport& process() { return m_process; }
    Metrics& metrics() { return m_metrics; }

private:
    using Answer = std::string (BalancerReport::*)(const std::string&, const BalancerCore&, TimePoint) const;

    /** A path of the control port and the member that answers it. */
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
