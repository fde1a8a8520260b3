#include "agent_base.h"
#include "table/agent_failures.h"
#include "table/agent_times.h"

#include <algorithm>

namespace hawthorncroft {

FlowRecord* AgentCore::boundRecord(TimePoint now, Endpoint from, const Packet& packet)
{
    Reason fault = bindingFault(packet);
    if (fault == Reason::None && packet.binding.agentIncarnation != m_seeds.incarnation)
        fault = Reason::WrongIncarnation;
    if (fault != Reason::None) {
        refuseBound(now, from, packet, { Verdict::MayHaveRun, fault });
        return nullptr;
    }
    FlowRecord* record = m_records.find(packet.key);
    if (record && record->reservation == packet.binding.reservation) {
        updateReturnPath(now, *record, from, packet);
        return record;
    }
    if (record && isEarlierReservation(*record, packet)) {
        // Earlier reservations were refused. Once the latest reservation has started, the refusal of an earlier one
        // could be mistaken for its outcome, so the packet is dropped.
        bool isUnstarted = record->state == FlowState::Reserved || record->outcome.verdict == Verdict::DidNotRun;
        if (isUnstarted)
            refuseBound(now, from, packet, { Verdict::DidNotRun, Reason::Expired });
        else
            count(AgentCounter::DroppedOther);
        return nullptr;
    }
    Reason reason = now > packet.binding.expiresAt ? Reason::Expired : Reason::Unknown;
    refuseBound(now, from, packet, { Verdict::MayHaveRun, reason });
    return nullptr;
}

FlowRecord* AgentCore::acknowledgedRecord(TimePoint now, Endpoint from, const Packet& packet)
{
    FlowRecord* record = m_records.find(packet.key);
    if (!record || bindingFault(packet) != Reason::None) {
        count(AgentCounter::DroppedOther);
        return nullptr;
    }
    updateReturnPath(now, *record, from, packet);
    return record;
}

void AgentCore::refuseBound(TimePoint now, Endpoint from, const Packet& packet, Outcome outcome)
{
    count(AgentCounter::RefusedBound);
    Packet reply = replyTo(now, packet, PacketKind::Refused);
    reply.outcome = outcome;
    send(from, std::move(reply));
}

void AgentCore::onExecute(TimePoint now, Endpoint from, Packet& packet)
{
    if (packet.flowKind != FlowKind::Request) {
        onKeepAlive(now, from, packet);
        return;
    }
    FlowRecord* record = boundRecord(now, from, packet);
    if (!record)
        return;
    if (record->state != FlowState::Reserved) {
        count(AgentCounter::DuplicateExecutes);
        resendOutcome(now, *record, from, &packet);
        return;
    }
    Reason fault = startFault(now, *record, packet);
    if (fault != Reason::None)
        refuseFlow(now, *record, fault);
    else
        queueRequest(now, *record, packet);
}

void AgentCore::queueRequest(TimePoint now, FlowRecord& record, Packet& packet)
{
    if (record.holdsPlace) {
        m_admission.queueHeld();
        record.holdsPlace = false;
    } else if (!m_admission.queueUnheld(record.kind == FlowKind::Request)) {
        refuseFlow(now, record, m_admission.isCold() ? Reason::Cold : Reason::Overloaded);
        return;
    }
    m_records.releaseBuffers(record);
    m_records.setState(record, FlowState::Queued);
    record.deadline = packet.deadline;
    record.isIdempotent = packet.idempotent;
    record.chunkCount = packet.count;
    if (!packet.payload.empty())
        record.ensureBuffers().payload = std::move(packet.payload);
    m_queue.push_back(record.key);
    onQueuedTimer(now, record);
}

void AgentCore::startQueued(TimePoint now)
{
    if (!m_isConfirmed || m_isOutOfService)
        return;
    while (m_admission.canStart() && !m_queue.empty()) {
        FlowRecord* record = m_records.find(m_queue.front());
        m_queue.pop_front();
        if (!record || record->state != FlowState::Queued)
            continue;
        Reason fault = finalStartFault(now, *record);
        if (fault != Reason::None)
            refuseFlow(now, *record, fault);
        else
            start(now, *record);
    }
}

void AgentCore::start(TimePoint now, FlowRecord& record)
{
    m_admission.start();
    m_records.setState(record, FlowState::Running);
    record.startedAt = now;
    record.unlink();
    count(AgentCounter::Started);
    if (record.kind == FlowKind::Upload) {
        m_effects.emplace_back(CommitUpload { .key = record.key,
            .request = record.reservation,
            .service = record.service,
            .chunks = record.chunkCount,
            .deadline = record.deadline });
        return;
    }
    RunRequest run { .key = record.key, .request = record.reservation, .service = record.service };
    run.deadline = record.deadline;
    run.idempotent = record.isIdempotent;
    if (record.buffers)
        run.payload = std::move(record.buffers->payload);
    m_records.releaseBuffers(record);
    m_effects.emplace_back(std::move(run));
}

void AgentCore::compactQueue()
{
    // While the target hangs, entries of flows that are no longer queued accumulate. They are removed when their number
    // exceeds the slack.
    if (m_queue.size() <= std::size_t { 2 } * m_admission.queued() + maxStaleQueueEntries)
        return;
    std::erase_if(m_queue, [&](const FlowKey& key) {
        const FlowRecord* record = m_records.find(key);
        return !record || record->state != FlowState::Queued;
    });
}

void AgentCore::onCancel(TimePoint now, Endpoint from, Packet& packet)
{
    FlowRecord* record = boundRecord(now, from, packet);
    if (!record)
        return;
    switch (record->state) {
    case FlowState::Reserved:
    case FlowState::Queued:
        refuseFlow(now, *record, Reason::Cancelled);
        break;
    case FlowState::Active:
        endStream(now, *record, Reason::Cancelled);
        break;
    case FlowState::Running:
        if (!record->isCancelled)
            m_effects.emplace_back(CancelRequest { record->key, record->reservation });
        record->isCancelled = true;
        break;
    default:
        resendOutcome(now, *record, from, &packet);
        break;
    }
}

void AgentCore::onQuery(TimePoint now, Endpoint from, Packet& packet)
{
    FlowRecord* record = packet.hasBinding() ? boundRecord(now, from, packet) : queriedRecord(now, from, packet);
    if (!record)
        return;
    if (record->state == FlowState::Finished || record->state == FlowState::Answering) {
        resendOutcome(now, *record, from, &packet);
        return;
    }
    // There is no outcome yet. The reply has no verdict, since the Execute may still run.
    send(from, replyTo(now, *record, PacketKind::Answer));
}

FlowRecord* AgentCore::queriedRecord(TimePoint now, Endpoint from, const Packet& packet)
{
    // A caller that lost its binding queries the targets in order of their ranks. No binding is needed, because caller
    // ids are random and other callers cannot guess the flow.
    FlowRecord* record = m_records.find(packet.key);
    if (record)
        updateReturnPath(now, *record, from, packet);
    else
        refuseBound(now, from, packet, { Verdict::MayHaveRun, Reason::Unknown });
    return record;
}

void AgentCore::onAnswerAck(TimePoint now, Endpoint from, Packet& packet)
{
    FlowRecord* record = acknowledgedRecord(now, from, packet);
    if (record && record->state == FlowState::Answering)
        onAnswerAcknowledged(*record);
}

FlowRecord* AgentCore::reportedRecord(const FlowKey& key, ReservationId request)
{
    FlowRecord* record = m_records.find(key);
    if (record && record->reservation == request) {
        // A request that was given up with "may have run" can still be reported as done.
        bool isOpen = record->state == FlowState::Finished && record->outcome.verdict == Verdict::MayHaveRun;
        if (isOpen || record->state == FlowState::Running)
            return record;
    }
    count(AgentCounter::LateTargetReports);
    return nullptr;
}

void AgentCore::onTargetAnswer(
    TimePoint now, const FlowKey& key, ReservationId request, std::vector<std::uint8_t> payload)
{
    detectPause(now);
    FlowRecord* record = reportedRecord(key, request);
    if (!record)
        return;
    if (record->state == FlowState::Running && m_admission.finishWithSuccess(now, now - record->startedAt))
        count(AgentCounter::ColdStarts);
    count(AgentCounter::Answered);
    Outcome outcome { Verdict::Done, Reason::None };
    std::size_t bound = record->kind == FlowKind::Request ? maxAnswerBytes : maxPayloadBytes;
    if (payload.size() > bound) {
        payload.clear();
        outcome.reason = Reason::TooLarge;
    }
    answer(now, *record, outcome, std::move(payload));
    startQueued(now);
}

void AgentCore::onTargetFailed(TimePoint now, const FlowKey& key, ReservationId request, TargetFailure failure)
{
    detectPause(now);
    FlowRecord* record = reportedRecord(key, request);
    if (!record || record->state != FlowState::Running)
        return;
    endRunning(now, *record, failure);
    startQueued(now);
}

void AgentCore::endRunning(TimePoint now, FlowRecord& record, TargetFailure failure)
{
    const FailureRule& rule = failureRules.at(static_cast<std::size_t>(failure));
    if (!rule.isCapacitySignal)
        m_admission.finishNeutral();
    else if (m_admission.finishWithFailure(now))
        count(AgentCounter::ColdStarts);
    count(AgentCounter::Failed);
    if (rule.outcome.verdict == Verdict::DidNotRun)
        refuseFlow(now, record, rule.outcome.reason);
    else
        answer(now, record, rule.outcome, {});
}

} // namespace hawthorncroft
