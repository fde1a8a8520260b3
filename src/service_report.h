/**
 * @file service_report.h
 * Counts of an agent for the burn report and its metrics. Used only by the data thread.
 */
#pragma once

#include "agent_type.h"
#include "burn_type.h"
#include "config_base.h"
#include "metrics_base.h"

namespace hawthorncroft {

/** Counts of one agent by service and minute, and operator actions that may explain a high burn rate. */
class ServiceReport {
public:
    /**
     * @param process Own control port, as text.
     * @param second Start of counting; wall clock, in seconds since 1970.
     */
    ServiceReport(std::string process, std::uint64_t second);

    /**
     * Counts a flow that ended, unless its binding or reservation expired or its caller cancelled it.
     * @param flow The ended flow.
     * @param view The configuration, for the service's objectives.
     * @param second Wall clock in seconds.
     */
    void countFlowEnd(const FlowEnded& flow, const ConfigView& view, std::uint64_t second);

    /**
     * Records as events which preset came into force and which failure domains operators took out or put back.
     * @param view The configuration after a change.
     * @param second Wall clock in seconds.
     */
    void recordConfigurationChange(const ConfigView& view, std::uint64_t second);

    /**
     * Formats the counts as the body of the response to GET /burn.
     * @param view The configuration, for names and objectives.
     * @param second Wall clock in seconds.
     * @return JSON as described in burn_func.h.
     */
    std::string burnJson(const ConfigView& view, std::uint64_t second) const;

    Metrics& metrics() { return m_metrics; }

private:
    void recordRequest(const FlowEnded& flow, const ConfigView& view, std::uint64_t second);

    std::string m_process;
    BurnLog m_burn;
    Metrics m_metrics;
    std::string m_preset; ///< Preset in force after the last recorded change.
    std::vector<std::string> m_domainsOut; ///< Failure domains out of service after the last recorded change.
};

} // namespace hawthorncroft
