#include "service_report.h"

#include "burn_func.h"

namespace hawthorncroft {

namespace {

    constexpr std::size_t countedMinutes
        = 20000; ///< Pairs of service and minute: two weeks of one service; a few hundred bytes each.
    constexpr double microsecondsPerMs = 1000;

    /** @return Whether the outcome is no success or failure of the service: the caller used another reservation or
     * cancelled. */
    bool isNeutral(const Outcome& outcome)
    {
        return outcome.reason == Reason::Expired || outcome.reason == Reason::Cancelled;
    }

    Counter counterOf(Verdict verdict)
    {
        if (verdict == Verdict::Done)
            return Counter::Done;
        return verdict == Verdict::DidNotRun ? Counter::DidNotRun : Counter::MayHaveRun;
    }

}

ServiceReport::ServiceReport(std::string process, std::uint64_t second)
    : m_process(std::move(process))
    , m_burn(second, countedMinutes)
{
}

void ServiceReport::countFlowEnd(const FlowEnded& flow, const ConfigView& view, std::uint64_t second)
{
    if (isNeutral(flow.outcome))
        return;
    m_metrics.add(counterOf(flow.outcome.verdict));
    if (flow.kind == FlowKind::Request)
        recordRequest(flow, view, second);
    bool isBroken = flow.kind != FlowKind::Request && flow.outcome.verdict != Verdict::Done;
    m_metrics.add(Counter::FlowsBroken, isBroken);
    m_burn.recordFlow(flow.service, second, isBroken);
}

void ServiceReport::recordRequest(const FlowEnded& flow, const ConfigView& view, std::uint64_t second)
{
    const ServiceConfig* service = view.service(flow.service);
    std::int64_t allowedMs = service ? service->objectives.inTimeMs : Objectives {}.inTimeMs;
    bool isAnswered = flow.outcome.verdict == Verdict::Done;
    bool isInTime = isAnswered && flow.serviceTime <= milliseconds(allowedMs);
    m_metrics.add(Counter::InTime, isInTime);
    m_metrics.record(Distribution::Latency, static_cast<double>(flow.serviceTime.us) / microsecondsPerMs);
    m_burn.recordRequest(flow.service, second, isAnswered, isInTime);
}

void ServiceReport::recordConfigurationChange(const ConfigView& view, std::uint64_t second)
{
    const OperationsDocument* operations = view.operations();
    if (!operations)
        return;
    if (!m_preset.empty() && m_preset != operations->inForce)
        m_burn.recordEvent({ .at = second, .text = "preset " + operations->inForce + " in force" });
    for (const auto& domain : operations->domainsOut) {
        if (std::find(m_domainsOut.begin(), m_domainsOut.end(), domain) == m_domainsOut.end())
            m_burn.recordEvent({ .at = second, .text = "failure domain " + domain + " taken out" });
    }
    for (const auto& domain : m_domainsOut) {
        const auto& out = operations->domainsOut;
        if (std::find(out.begin(), out.end(), domain) == out.end())
            m_burn.recordEvent({ .at = second, .text = "failure domain " + domain + " back in service" });
    }
    m_preset = operations->inForce;
    m_domainsOut = operations->domainsOut;
}

std::string ServiceReport::burnJson(const ConfigView& view, std::uint64_t second) const
{
    return toJson(m_burn.counts(m_process, second, view.services()));
}

} // namespace hawthorncroft
