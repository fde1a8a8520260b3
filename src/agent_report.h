/**
 * @file agent_report.h
 * Answers to questions about an agent on its control port.
 */
#pragma once

#include "agent_base.h"
#include "process_report.h"
#include "service_report.h"

namespace hawthorncroft {

/**
 * Answers a question.
 * @param question The question; an unknown path gives status 404.
 * @param core The agent.
 * @param process Identity and standing of the process.
 * @param service Counts for the burn report, and metrics.
 * @param second Wall clock in seconds.
 * @return The answer, as JSON of report_type.h.
 */
ForwardedReply answerControlRequest(const ForwardedRequest& question, const AgentCore& core,
    const ProcessReport& process, const ServiceReport& service, std::uint64_t second);

} // namespace hawthorncroft
