#include "agent_base.h"
#include "binding_func.h"
#include "table/agent_times.h"

#include <algorithm>

namespace hawthorncroft {

bool AgentCore::isIdle() const
{
    std::size_t busy = m_records.count(FlowState::Reserved) + m_records.count(FlowState::Queued)
        + m_records.count(FlowState::Running) + m_records.count(FlowState::Answering);
    if (m_waitsForStreams)
        busy += m_records.count(FlowState::Active);
    return busy == 0;
}

bool AgentCore::isDraining() const
{
    const TargetConfig* target = configured();
    bool isRemoved = !target && m_wasConfigured;
    return isRemoved || m_isShuttingDown || m_health == TargetState::Draining
        || m_view.isLeaving(target ? target->vm : m_settings.vm);
}

TargetState AgentCore::targetState() const
{
    if (m_isOutOfService)
        return TargetState::Out;
    if (m_health == TargetState::Down || !m_targetIncarnation)
        return TargetState::Down;
    if (isDraining())
        return TargetState::Draining;
    return m_admission.isCold() ? TargetState::Cold : TargetState::Warm;
}

ServiceId AgentCore::service() const
{
    const TargetConfig* target = configured();
    return target ? target->service : m_settings.service;
}

ServiceId AgentCore::intendedService(const Packet& packet) const
{
    if (packet.name.empty() || packet.resolvedAt > m_view.completeThrough())
        return packet.service;
    return m_view.resolve(packet.name).service;
}

bool AgentCore::serves(const Packet& packet) const
{
    bool isNewer = packet.resolvedAt > m_view.completeThrough();
    auto isServed = [&](ServiceId id) { return id && (id == service() || (isNewer && id == m_settings.service)); };
    ServiceId intended = intendedService(packet);
    if (!packet.hasBinding())
        return isServed(intended);
    // A name that was removed after the Open resolves to no service. The service in the binding is used instead.
    return isServed(packet.binding.service) && (!intended || intended == packet.binding.service);
}

Reason AgentCore::openFault(const Packet& packet) const
{
    if (!intendedService(packet))
        return Reason::UnknownName;
    if (!serves(packet))
        return Reason::WrongService;
    if (m_isShuttingDown)
        return Reason::ShutDown;
    if (isDraining())
        return Reason::Draining;
    if (!m_targetIncarnation)
        return Reason::NotReady;
    if (m_health == TargetState::Down)
        return Reason::TargetFailed;
    return Reason::None;
}

const TargetConfig* AgentCore::nextRank(const Packet& packet) const
{
    std::array<TargetId, maxRelayRanks> all;
    std::size_t size = m_view.ranksOf(intendedService(packet)).rank(packet.key, all);
    // An Open is relayed from rank to rank in a circle. When the number of agents that had it equals the number of
    // ranks, all of them were tried.
    if (packet.hops + 1U >= size)
        return nullptr;
    std::span<const TargetId> ranks = std::span(all).first(size);
    auto own = static_cast<std::size_t>(std::find(ranks.begin(), ranks.end(), m_settings.target) - ranks.begin());
    std::size_t first = own < size ? own + 1 : 0;
    for (std::size_t i = 0; i < size; ++i) {
        const TargetConfig* target = m_view.target(ranks[(first + i) % size]);
        bool isEligible = target && target->id != m_settings.target && !m_view.isOutOfService(*target);
        if (isEligible && !m_view.isLeaving(target->vm))
            return target;
    }
    return nullptr;
}

Reason AgentCore::bindingFault(const Packet& packet) const
{
    if (!packet.hasBinding() || !isAuthentic(m_keyring, packet.key, packet.binding))
        return Reason::BadBinding;
    if (packet.binding.target != m_settings.target)
        return Reason::WrongTarget;
    return Reason::None;
}

Reason AgentCore::startFault(TimePoint now, const FlowRecord& record, const Packet& packet) const
{
    if (packet.binding.targetIncarnation != m_targetIncarnation)
        return Reason::WrongIncarnation;
    if (!serves(packet))
        return Reason::WrongService;
    if (packet.deadline.us && now > packet.deadline)
        return Reason::DeadlinePassed;
    return finalStartFault(now, record);
}

Reason AgentCore::finalStartFault(TimePoint now, const FlowRecord& record) const
{
    if (m_isOutOfService)
        return Reason::OutOfService;
    if (now > record.expiresAt)
        return Reason::Expired;
    if (record.deadline.us && now > record.deadline)
        return Reason::DeadlinePassed;
    if (m_health == TargetState::Down)
        return Reason::TargetFailed;
    return Reason::None;
}

Reason AgentCore::adoptionFault(TimePoint now, const Packet& packet) const
{
    if (m_isOutOfService)
        return Reason::OutOfService;
    if (now > packet.binding.expiresAt)
        return Reason::Expired;
    if (packet.binding.targetIncarnation != m_targetIncarnation)
        return Reason::WrongIncarnation;
    if (!serves(packet))
        return Reason::WrongService;
    if (packet.flowKind == FlowKind::Request)
        return Reason::Unknown;
    return m_records.isFull() ? Reason::Overloaded : Reason::None;
}

bool AgentCore::isEarlierReservation(const FlowRecord& record, const Packet& packet) const
{
    ReservationId named = packet.binding.reservation;
    return named >= record.firstReservation && named < record.reservation;
}

bool AgentCore::hasLapsed(TimePoint now, const FlowRecord& record) const
{
    // After a pause of this process, renewals may be waiting in its socket. The grace period therefore starts at the
    // confirmation of the configuration, which gives the process time to read them.
    return m_isConfirmed && now >= std::max(record.expiresAt, m_confirmedAt) + streamGrace;
}

Duration AgentCore::resendInterval(const FlowRecord& record) const
{
    Duration interval = firstResendInterval * (std::int64_t { 1 } << std::min<int>(record.resends, 10));
    return std::min(interval, maxResendInterval);
}

Binding AgentCore::bindingOf(const FlowRecord& record) const
{
    Binding binding { .service = record.service,
        .target = m_settings.target,
        .targetIncarnation = m_targetIncarnation,
        .agentIncarnation = m_seeds.incarnation,
        .agent = m_settings.endpoint,
        .reservation = record.reservation,
        .expiresAt = record.expiresAt,
        .revision = m_view.completeThrough() };
    signBinding(m_keyring, record.key, binding);
    return binding;
}

Packet AgentCore::replyFrom(TimePoint now, PacketKind kind, FlowKind flowKind, const FlowKey& key) const
{
    Packet reply;
    reply.kind = kind;
    reply.flowKind = flowKind;
    reply.key = key;
    reply.revision = m_view.completeThrough();
    reply.target = m_settings.target;
    reply.targetState = targetState();
    reply.load = m_admission.load(flowKind);
    reply.agentTime = now;
    return reply;
}

Packet AgentCore::replyTo(TimePoint now, const FlowRecord& record, PacketKind kind) const
{
    Packet reply = replyFrom(now, kind, record.kind, record.key);
    reply.callerEndpoint = record.caller;
    reply.service = record.service;
    return reply;
}

Packet AgentCore::replyTo(TimePoint now, const Packet& packet, PacketKind kind) const
{
    Packet reply = replyFrom(now, kind, packet.flowKind, packet.key);
    reply.callerEndpoint = packet.callerEndpoint;
    reply.service = packet.service;
    reply.nonce = packet.nonce;
    reply.binding = packet.binding;
    return reply;
}

} // namespace hawthorncroft
