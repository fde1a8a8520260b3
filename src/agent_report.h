/**
 * @file agent_report.h
 * Answers to questions about an agent on its control port.
 */
#pragma once

#include "agent_base.h"
#include "process_type.h"

namespace hawthorncroft {

/**
 * Answers a question.
 * @param question The question; an unknown path gives status 404.
 * @param core The agent.
 * @param inForceSince Wall clock in seconds at which the revision in force was taken.
 * @return The answer, as JSON.
 */
ControlAnswer answerQuestion(const ControlQuestion& question, const AgentCore& core, std::uint64_t inForceSince);

} // namespace hawthorncroft
