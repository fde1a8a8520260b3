#include "agent_report.h"

#include <boost/json.hpp>

namespace hawthorncroft {

namespace json = boost::json;

ControlAnswer answerQuestion(const ControlQuestion& question, const AgentCore& core, std::uint64_t inForceSince)
{
    if (question.path != "/status")
        return { .id = question.id, .status = 404, .body = "{}" };
    const Admission& admission = core.admission();
    json::object body {
        { "role", "agent" },
        { "serving", core.isConfirmed() },
        { "revision", core.view().completeThrough().value },
        { "since", inForceSince },
        { "target-state", nameOf(core.targetState()) },
        { "reported-load", core.reportedLoad() },
        { "limit", admission.limit() },
        { "ceiling", admission.ceiling() },
        { "held", admission.held() },
        { "queued", admission.queued() },
        { "running", admission.running() },
        { "connection-limit", admission.connectionLimit() },
        { "connections", admission.connections() },
        { "uploads", admission.uploads() },
        { "records", core.records().size() },
        { "kept-answer-bytes", core.records().keptAnswerBytes() },
    };
    for (std::size_t i = 0; i < static_cast<std::size_t>(AgentCounter::End); ++i) {
        auto counter = static_cast<AgentCounter>(i);
        body[nameOf(counter)] = core.counter(counter);
    }
    return { .id = question.id, .body = json::serialize(body) };
}

} // namespace hawthorncroft
