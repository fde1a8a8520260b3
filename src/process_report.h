/**
 * @file process_report.h
 * The part of the status report that balancers and agents share. Owned by the data thread.
 */
#pragma once

#include "config_base.h"
#include "process_type.h"
#include "report_type.h"
#include "settings_type.h"

namespace hawthorncroft {

/** Identity of a process and state of its configuration, for its status report. */
class ProcessReport {
public:
    /**
     * @param role "balancer" or "agent".
     * @param settings Settings of the process.
     * @param second Start of the process; wall clock, seconds since 1970.
     */
    ProcessReport(std::string role, const ProcessSettings& settings, std::uint64_t second);

    /**
     * Records the revision in force.
     * @param revision Revision up to which the view is complete.
     * @param second Wall clock, seconds since 1970.
     */
    void recordRevision(Revision revision, std::uint64_t second);

    /** Records the state of the configuration replica. */
    void recordConfigStatus(ConfigStatusReport report) { m_configStatus = std::move(report); }

    /**
     * Fills the fields that both roles have.
     * @param view Configuration in force.
     * @return The report without `serving`, `reason`, `target` and `counters`.
     */
    StatusReport status(const ConfigView& view) const;

    std::uint64_t startedAt() const { return m_startedAt; }

private:
    std::string m_role;
    std::string m_vm;
    std::string m_failureDomain;
    std::uint64_t m_startedAt;
    Revision m_inForce;
    std::uint64_t m_inForceSince {};
    ConfigStatusReport m_configStatus;
};

} // namespace hawthorncroft
