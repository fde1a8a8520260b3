#include "agent_base.h"
#include "table/agent_times.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    /** @return Whether another target may accept an Open that this target refuses for the given reason. */
    bool isRelayable(Reason reason)
    {
        switch (reason) {
        case Reason::ShutDown:
        case Reason::Draining:
        case Reason::NotReady:
        case Reason::TargetFailed:
        case Reason::Overloaded:
        case Reason::Cold:
            return true;
        default:
            return false;
        }
    }

}

void AgentCore::onOpen(TimePoint now, Endpoint from, Packet& packet)
{
    if (m_isOutOfService) {
        refuseOutOfService(now, from, packet);
        return;
    }
    if (answerDuplicateOpen(now, from, packet))
        return;
    Reason fault = openFault(packet);
    if (fault == Reason::None)
        fault = reserve(now, from, packet);
    if (fault == Reason::None)
        return;
    if (isRelayable(fault) && relay(now, from, packet, fault))
        return;
    refuseOpen(now, from, packet, fault);
}

void AgentCore::refuseOutOfService(TimePoint now, Endpoint from, const Packet& packet)
{
    // A known flow keeps its outcome: "did not run" would be wrong for a flow that may have run.
    FlowRecord* record = m_records.find(packet.key);
    if (record)
        resendOutcome(now, *record, packet.hops ? anotherBalancer(now, from) : from);
    else
        refuseOpen(now, from, packet, Reason::OutOfService);
}

bool AgentCore::answerDuplicateOpen(TimePoint now, Endpoint from, const Packet& packet)
{
    FlowRecord* record = m_records.find(packet.key);
    if (!record)
        return false;
    if (record->state == FlowState::Reserved && now > record->expiresAt)
        finish(now, *record, { Verdict::DidNotRun, Reason::Expired });
    // After "did not run" the caller may open the flow again.
    if (record->state == FlowState::Finished && record->outcome.verdict == Verdict::DidNotRun)
        return false;
    count(AgentCounter::DuplicateOpens);
    if (record->state == FlowState::Reserved)
        updateReturnPath(now, *record, from, packet);
    sendOpened(now, *record, packet.nonce);
    return true;
}

Reason AgentCore::reserve(TimePoint now, Endpoint from, const Packet& packet)
{
    FlowRecord* record = m_records.find(packet.key);
    bool isFull = (!record && m_records.isFull()) || m_records.keptAnswerBytes() >= maxUnackedAnswerBytes;
    if (isFull) {
        count(AgentCounter::FullTables);
        return Reason::Overloaded;
    }
    Reason fault = m_admission.reserve(packet.flowKind);
    if (fault != Reason::None)
        return fault;
    ReservationId reservation(++m_lastReservation);
    if (!record) {
        record = m_records.add(packet.key);
        record->firstReservation = reservation;
    }
    m_records.setState(*record, FlowState::Reserved);
    record->reservation = reservation;
    record->kind = packet.flowKind;
    record->service = intendedService(packet);
    record->expiresAt = now + reservationLease;
    record->deadline = {};
    record->outcome = {};
    record->holdsPlace = packet.flowKind == FlowKind::Request;
    record->holdsConnection = packet.flowKind != FlowKind::Request;
    record->isCancelled = false;
    updateReturnPath(now, *record, from, packet);
    m_records.scheduleTimer(*record, now + (record->holdsPlace ? placeHoldTime : reservationLease));
    count(AgentCounter::Accepted);
    sendOpened(now, *record, packet.nonce);
    return Reason::None;
}

void AgentCore::sendOpened(TimePoint now, FlowRecord& record, std::uint64_t nonce)
{
    Packet reply = replyTo(now, record, PacketKind::Opened);
    reply.binding = bindingOf(record);
    reply.nonce = nonce;
    send(record.balancer, std::move(reply));
}

bool AgentCore::relay(TimePoint now, Endpoint from, const Packet& packet, Reason reason)
{
    std::uint32_t budget = std::min<std::uint32_t>(m_view.preset().hopBudget, maxHops);
    if (packet.hops >= budget)
        return false;
    const TargetConfig* next = nextRank(packet);
    if (!next)
        return false;
    Packet relayed = packet;
    ++relayed.hops;
    relayed.target = next->id;
    relayed.revision = m_view.completeThrough();
    count(AgentCounter::RelayedOpens);
    send(next->agent, std::move(relayed));
    if (!packet.hops)
        sendHint(now, from, packet, reason);
    return true;
}

void AgentCore::sendHint(TimePoint now, Endpoint from, const Packet& packet, Reason reason)
{
    // The reply to a relayed Open comes from another agent, so the balancer would not learn why this agent relayed it.
    Packet hint = replyTo(now, packet, PacketKind::StampReply);
    hint.nonce = 0;
    hint.outcome = { Verdict::DidNotRun, reason, retryAfterMs(packet, reason) };
    send(from, std::move(hint));
}

std::uint32_t AgentCore::retryAfterMs(const Packet& packet, Reason reason) const
{
    if (reason != Reason::Overloaded && reason != Reason::Cold)
        return 0;
    std::uint32_t wait = m_admission.retryAfterMs(packet.flowKind);
    // Up to a quarter of the time is added as jitter, so that callers refused together do not retry together.
    std::uint64_t jitter = mix64(m_seeds.seed, packet.key.flow.value) % (wait / 4 + 1);
    return wait + static_cast<std::uint32_t>(jitter);
}

void AgentCore::refuseOpen(TimePoint now, Endpoint from, const Packet& packet, Reason reason)
{
    Packet reply = replyTo(now, packet, PacketKind::Refused);
    reply.outcome = { Verdict::DidNotRun, reason, retryAfterMs(packet, reason) };
    count(AgentCounter::RefusedOpens);
    send(packet.hops ? anotherBalancer(now, from) : from, std::move(reply));
}

void AgentCore::updateReturnPath(TimePoint now, FlowRecord& record, Endpoint from, const Packet& packet)
{
    // A relayed Open comes from an agent, but replies must be sent to a balancer.
    record.balancer = packet.hops ? anotherBalancer(now, from) : from;
    if (packet.callerEndpoint)
        record.caller = packet.callerEndpoint;
}

} // namespace hawthorncroft
