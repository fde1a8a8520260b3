/**
 * @file agent_report.h
 * Replies to requests on the control port of an agent.
 */
#pragma once

#include "agent_base.h"
#include "process_report.h"
#include "service_report.h"

namespace hawthorncroft {

/**
 * Answers a control request.
 * @param request The request. An unknown path gives status 404.
 * @param core The agent.
 * @param process Identity and status of the process.
 * @param service Counts for the burn rate report, and metrics.
 * @param second Wall clock time in seconds.
 * @return The reply; its body is JSON as defined in report_type.h.
 */
ForwardedReply answerControlRequest(const ForwardedRequest& request, const AgentCore& core,
    const ProcessReport& process, const ServiceReport& service, std::uint64_t second);

} // namespace hawthorncroft
