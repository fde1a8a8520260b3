#include "agent_report.h"

namespace hawthorncroft {

namespace {

    TargetStatus targetStatusOf(const AgentCore& core, std::uint32_t id)
    {
        const Admission& admission = core.admission();
        return { .id = id,
            .service = core.service().value,
            .state = std::string(nameOf(core.targetState())),
            .limit = admission.limit(),
            .running = admission.running(),
            .streams = admission.connections() };
    }

    std::map<std::string, std::uint64_t> countersOf(const AgentCore& core)
    {
        const Admission& admission = core.admission();
        std::map<std::string, std::uint64_t> counters {
            { "reported-load", core.reportedLoad() },
            { "ceiling", admission.ceiling() },
            { "held", admission.held() },
            { "queued", admission.queued() },
            { "connection-limit", admission.connectionLimit() },
            { "uploads", admission.uploads() },
            { "records", core.records().size() },
            { "kept-answer-bytes", core.records().keptAnswerBytes() },
        };
        for (std::size_t i = 0; i < static_cast<std::size_t>(AgentCounter::End); ++i) {
            auto counter = static_cast<AgentCounter>(i);
            counters[std::string(nameOf(counter))] = core.counter(counter);
        }
        return counters;
    }

}

ForwardedReply answerControlRequest(const ForwardedRequest& request, const AgentCore& core,
    const ProcessReport& process, const ServiceReport& service, std::uint64_t second)
{
    if (request.path == "/burn")
        return { .id = request.id, .body = service.burnJson(core.view(), second) };
    if (request.path != "/status")
        return { .id = request.id, .status = 404, .body = {} };
    StatusReport report = process.status(core.view());
    report.serving = core.isConfirmed();
    report.reason = core.isConfirmed() ? "" : nameOf(Reason::NotReady);
    report.target = targetStatusOf(core, core.target().value);
    report.counters = countersOf(core);
    return { .id = request.id, .body = toJson(report) };
}

} // namespace hawthorncroft
