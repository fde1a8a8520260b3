#include "agent_base.h"
#include "table/agent_times.h"

#include <algorithm>

namespace hawthorncroft {

void AgentCore::refuseFlow(TimePoint now, FlowRecord& record, Reason reason)
{
    Outcome outcome { Verdict::DidNotRun, reason };
    if (reason == Reason::Overloaded || reason == Reason::Cold)
        outcome.retryAfterMs = m_admission.retryAfterMs(record.kind);
    // The tombstone is written before the refusal is sent, so that no retransmission can run after the refusal.
    count(AgentCounter::Tombstones);
    finish(now, record, outcome);
    resendOutcome(now, record, record.balancer);
}

void AgentCore::giveUp(TimePoint now, FlowRecord& record, Reason reason)
{
    finish(now, record, { Verdict::MayHaveRun, reason });
    resendOutcome(now, record, record.balancer);
}

void AgentCore::reportEnd(TimePoint now, const FlowRecord& record, Outcome outcome)
{
    // The caller used another reservation, so this one says nothing about the service.
    bool isUnused = record.state == FlowState::Reserved && outcome.reason == Reason::Expired;
    if (isUnused)
        return;
    bool isRunning = record.state == FlowState::Running;
    Duration serviceTime = isRunning ? now - record.startedAt : Duration {};
    m_effects.emplace_back(FlowEnded { record.service, record.kind, outcome, serviceTime });
}

void AgentCore::finish(TimePoint now, FlowRecord& record, Outcome outcome)
{
    if (record.state != FlowState::Finished && record.state != FlowState::Answering)
        reportEnd(now, record, outcome);
    releaseCapacity(record);
    m_records.releaseBuffers(record);
    m_records.setState(record, FlowState::Finished);
    record.outcome = outcome;
    record.resendAt = {};
    record.retainUntil = std::max(record.expiresAt, now) + recordMargin;
    m_records.scheduleTimer(record, record.retainUntil);
}

void AgentCore::answer(TimePoint now, FlowRecord& record, Outcome outcome, std::vector<std::uint8_t> payload)
{
    reportEnd(now, record, outcome);
    releaseCapacity(record);
    m_records.keepAnswer(record, std::move(payload));
    record.outcome = outcome;
    record.retainUntil = std::max(record.expiresAt + recordMargin, now + answerRetention);
    record.resends = 0;
    sendAnswer(now, record, record.balancer);
    scheduleResend(now, record);
}

void AgentCore::onAnswerAcknowledged(FlowRecord& record)
{
    m_records.releaseBuffers(record);
    m_records.setState(record, FlowState::Finished);
    m_records.scheduleTimer(record, record.retainUntil);
}

void AgentCore::releaseCapacity(FlowRecord& record)
{
    if (record.holdsPlace)
        m_admission.releasePlace();
    if (record.state == FlowState::Queued)
        m_admission.leaveQueue();
    if (record.holdsConnection)
        m_admission.releaseConnection(record.kind);
    record.holdsPlace = false;
    record.holdsConnection = false;
}

void AgentCore::resendOutcome(TimePoint now, FlowRecord& record, Endpoint to, const Packet* cause)
{
    if (record.state == FlowState::Answering) {
        sendAnswer(now, record, to);
        return;
    }
    if (record.state != FlowState::Finished)
        return;
    bool isRefusal = record.outcome.verdict == Verdict::DidNotRun;
    PacketKind kind = record.kind == FlowKind::Request ? PacketKind::Answer : PacketKind::Closed;
    Packet reply = replyTo(now, record, isRefusal ? PacketKind::Refused : kind);
    reply.outcome = record.outcome;
    // The binding tells the caller which of its Executes was refused. Other replies are matched by flow and target.
    if (isRefusal)
        reply.binding = cause && cause->hasBinding() ? cause->binding : bindingOf(record);
    bool isAnswerGone = record.kind == FlowKind::Request && record.outcome.verdict == Verdict::Done;
    if (isAnswerGone)
        reply.outcome.reason = Reason::NoAnswer;
    reply.count = reply.kind == PacketKind::Answer ? 1 : 0;
    send(to, std::move(reply));
}

void AgentCore::sendAnswer(TimePoint now, FlowRecord& record, Endpoint to)
{
    static const std::vector<std::uint8_t> none;
    const auto& payload = record.buffers ? record.buffers->payload : none;
    std::size_t fragments = std::max<std::size_t>(1, (payload.size() + maxPayloadBytes - 1) / maxPayloadBytes);
    bool isRequest = record.kind == FlowKind::Request;
    for (std::size_t i = 0; i < fragments; ++i) {
        Packet reply = replyTo(now, record, isRequest ? PacketKind::Answer : PacketKind::Closed);
        reply.outcome = record.outcome;
        reply.sequence = static_cast<std::uint32_t>(i);
        reply.count = isRequest ? static_cast<std::uint32_t>(fragments) : record.chunkCount;
        std::size_t first = i * maxPayloadBytes;
        std::size_t last = std::min(payload.size(), first + maxPayloadBytes);
        reply.payload.assign(
            payload.begin() + static_cast<std::ptrdiff_t>(first), payload.begin() + static_cast<std::ptrdiff_t>(last));
        send(to, std::move(reply));
    }
}

} // namespace hawthorncroft
