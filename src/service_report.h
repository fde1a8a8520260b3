/**
 * @file service_report.h
 * What an agent counts for the burn report and as metrics. Owned by the data thread.
 */
#pragma once

#include "agent_type.h"
#include "burn_type.h"
#include "config_base.h"
#include "metrics_base.h"

namespace hawthorncroft {

/** Counts of one agent by service and minute, with the events that may explain a burn. */
class ServiceReport {
public:
    /**
     * @param process Own control port, as text.
     * @param second Wall clock in seconds at the start.
     */
    ServiceReport(std::string process, std::uint64_t second);

    /**
     * Counts a flow that ended.
     * @param flow The flow.
     * @param view The configuration, for the service's objectives.
     * @param second Wall clock in seconds.
     */
    void noteEnd(const FlowEnded& flow, const ConfigView& view, std::uint64_t second);

    /**
     * Notes what operators changed.
     * @param view The configuration after a change.
     * @param second Wall clock in seconds.
     */
    void noteConfiguration(const ConfigView& view, std::uint64_t second);

    /**
     * Formats the counts as GET /burn answers them.
     * @param view The configuration, for names and objectives.
     * @param second Wall clock in seconds.
     * @return JSON of burn_func.h.
     */
    std::string burnJson(const ConfigView& view, std::uint64_t second) const;

    Metrics& metrics() { return m_metrics; }

private:
    void recordRequest(const FlowEnded& flow, const ConfigView& view, std::uint64_t second);

    std::string m_process;
    BurnLog m_burn;
    Metrics m_metrics;
    std::string m_preset; ///< Preset in force at the last change.
    std::vector<std::string> m_domainsOut; ///< Failure domains out at the last change.
};

} // namespace hawthorncroft
