#include "process_report.h"

#include "version_func.h"

namespace hawthorncroft {

ProcessReport::ProcessReport(std::string role, const ProcessSettings& settings, std::uint64_t second)
    : m_role(std::move(role))
    , m_vm(settings.vm)
    , m_failureDomain(settings.failureDomain)
    , m_startedAt(second)
{
}

void ProcessReport::recordRevision(Revision revision, std::uint64_t second)
{
    if (revision == m_inForce)
        return;
    m_inForce = revision;
    m_inForceSince = second;
}

StatusReport ProcessReport::status(const ConfigView& view) const
{
    StatusReport report;
    report.role = m_role;
    report.version = versionText();
    report.vm = m_vm;
    report.failureDomain = m_failureDomain;
    report.startedAt = m_startedAt;
    report.revision = m_inForce.value;
    report.since = m_inForceSince;
    report.newestSeen = m_configStatus.newestSeen.value;
    report.readsPlatform = m_configStatus.readsPlatform;
    report.platformAgeMs = m_configStatus.platformAgeMs;
    report.peers = m_configStatus.peers;
    report.refused = m_configStatus.refused;
    if (const OperationsDocument* operations = view.operations()) {
        report.preset = operations->inForce;
        report.domainsOut = operations->domainsOut;
        report.vmsOut = operations->vmsOut;
    }
    return report;
}

} // namespace hawthorncroft
