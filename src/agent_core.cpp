#include "agent_base.h"
#include "name_table_type.h"
#include "table/agent_counters.h"
#include "table/agent_times.h"
#include "table/service_times.h"

#include <algorithm>

namespace hawthorncroft {

std::string_view nameOf(AgentCounter counter) { return lookUpName(agentCounterNames, counter); }

const std::array<AgentCore::Handler, static_cast<std::size_t>(PacketKind::End)> AgentCore::handlers {
    &AgentCore::onOther, // Invalid
    &AgentCore::onOpen,
    &AgentCore::onRelayedReply, // Opened
    &AgentCore::onRelayedReply, // Refused
    &AgentCore::onExecute,
    &AgentCore::onOther, // Answer
    &AgentCore::onAnswerAck, &AgentCore::onCancel, &AgentCore::onQuery, &AgentCore::onData,
    &AgentCore::onOther, // DataAck
    &AgentCore::onOther, // Event
    &AgentCore::onEventAck, &AgentCore::onKeepAlive,
    &AgentCore::onOther, // Renewed
    &AgentCore::onClose,
    &AgentCore::onOther, // Closed
    &AgentCore::onOther, // Stamp: handled by the replica
    &AgentCore::onOther, // StampReply: handled by the replica
};

namespace {

    bool isFromBalancer(const Packet& packet)
    {
        switch (packet.kind) {
        case PacketKind::Open:
            return packet.hops == 0;
        case PacketKind::Execute:
        case PacketKind::AnswerAck:
        case PacketKind::Cancel:
        case PacketKind::Query:
        case PacketKind::Data:
        case PacketKind::EventAck:
        case PacketKind::KeepAlive:
        case PacketKind::Close:
            return true;
        default:
            return false;
        }
    }

}

AgentCore::AgentCore(AgentSettings settings, AgentSeeds seeds, Keyring& keyring, AgentEffects& effects)
    : m_settings(std::move(settings))
    , m_seeds(seeds)
    , m_keyring(keyring)
    , m_effects(effects)
    , m_lastReservation(mix64(seeds.seed, seeds.incarnation.value) >> 1)
{
    // Reservation ids start at a random number, so that request ids of successive agent processes differ at the target.
    m_admission.setCapacity({ .slots = m_settings.slots, .connections = m_settings.connections });
}

void AgentCore::onPacket(TimePoint now, Endpoint from, Packet packet)
{
    detectPause(now);
    if (!m_isConfirmed) {
        count(AgentCounter::DroppedUnconfirmed);
        return;
    }
    if (isFromBalancer(packet))
        recordBalancer(now, from);
    Handler handler = handlers.at(static_cast<std::size_t>(packet.kind));
    (this->*handler)(now, from, packet);
    startQueued(now);
}

void AgentCore::onOther(TimePoint, Endpoint, Packet&) { count(AgentCounter::DroppedOther); }

void AgentCore::onRelayedReply(TimePoint now, Endpoint, Packet& packet)
{
    // The agent to which an Open was relayed knows no balancer and returned its reply to this agent.
    Endpoint balancer = anotherBalancer(now, {});
    if (!balancer || !packet.callerEndpoint || packet.hops >= maxHops) {
        count(AgentCounter::DroppedOther);
        return;
    }
    ++packet.hops;
    send(balancer, std::move(packet));
}

void AgentCore::confirm(TimePoint now)
{
    m_isConfirmed = true;
    m_confirmedAt = now;
    startQueued(now);
}

void AgentCore::detectPause(TimePoint now)
{
    if (!m_lastTick.us || now - m_lastTick <= agentPauseThreshold)
        return;
    m_lastTick = now;
    m_isConfirmed = false;
    count(AgentCounter::Pauses);
}

void AgentCore::beginShutdown(TimePoint now, bool waitForStreams)
{
    m_isShuttingDown = true;
    m_waitsForStreams = waitForStreams;
    startQueued(now);
}

void AgentCore::onConfiguration(TimePoint now, std::span<const VersionedDocument> documents, Revision completeThrough)
{
    bool hasChanged = false;
    for (const auto& document : documents)
        hasChanged |= m_view.apply(document);
    m_view.setCompleteThrough(completeThrough);
    if (hasChanged)
        applyConfiguration(now);
}

void AgentCore::applyConfiguration(TimePoint now)
{
    applyKeys();
    const TargetConfig* target = configured();
    m_wasConfigured |= target != nullptr;
    m_admission.setCapacity({ .slots = target ? target->slots : m_settings.slots,
        .connections = target ? target->connections : m_settings.connections,
        .preset = m_view.preset() });
    bool isOutOfService
        = target ? m_view.isOutOfService(*target) : m_view.isOutOfService(m_settings.failureDomain, m_settings.vm);
    bool wasOut = std::exchange(m_isOutOfService, isOutOfService);
    if (isOutOfService && !wasOut)
        leaveService(now);
    // The target's caches are stale after it was out of service, so it returns with a cold start.
    if (wasOut && !isOutOfService) {
        m_admission.startCold(now);
        count(AgentCounter::ColdStarts);
    }
    startQueued(now);
}

void AgentCore::applyKeys()
{
    const KeysDocument* keys = m_view.keys();
    if (!keys)
        return;
    m_keyring.setAccepted(keys->accepted);
    m_keyring.setSigning(keys->signing);
}

void AgentCore::leaveService(TimePoint now)
{
    m_records.forEach([&](FlowRecord& record) {
        switch (record.state) {
        case FlowState::Reserved:
        case FlowState::Queued:
            refuseFlow(now, record, Reason::OutOfService);
            break;
        case FlowState::Running:
            // The request needs no further packet to the target, and its caller should get the answer rather than "may
            // have run".
            m_giveUpAt = now + outOfServiceGrace;
            return;
        case FlowState::Active:
            endStream(now, record, Reason::OutOfService);
            break;
        default:
            return;
        }
        count(AgentCounter::GivenUp);
    });
}

void AgentCore::giveUpRunning(TimePoint now)
{
    m_giveUpAt = {};
    if (!m_isOutOfService)
        return;
    m_records.forEach([&](FlowRecord& record) {
        if (record.state != FlowState::Running)
            return;
        m_effects.emplace_back(CancelRequest { record.key, record.reservation });
        m_admission.finishNeutral();
        giveUp(now, record, Reason::OutOfService);
        count(AgentCounter::GivenUp);
    });
}

void AgentCore::onTargetHealth(TimePoint now, TargetState state, std::uint16_t load, Incarnation incarnation)
{
    detectPause(now);
    m_health = state;
    m_reportedLoad = load;
    if (state == TargetState::Down)
        return;
    Incarnation previous = std::exchange(m_targetIncarnation, incarnation);
    if (previous && previous != incarnation)
        onTargetRestarted(now);
    else if (!previous)
        m_admission.startCold(now);
    startQueued(now);
}

void AgentCore::onTargetRestarted(TimePoint now)
{
    m_records.forEach([&](FlowRecord& record) {
        switch (record.state) {
        case FlowState::Queued:
            refuseFlow(now, record, Reason::WrongIncarnation);
            break;
        case FlowState::Running:
            m_admission.finishNeutral();
            answer(now, record, { Verdict::MayHaveRun, Reason::WrongIncarnation }, {});
            break;
        case FlowState::Active:
            endStream(now, record, Reason::WrongIncarnation);
            break;
        default:
            // The binding of a reservation names the previous incarnation, so its Execute will be refused.
            break;
        }
    });
    m_admission.startCold(now);
    count(AgentCounter::ColdStarts);
}

void AgentCore::recordBalancer(TimePoint now, Endpoint from)
{
    auto known = std::find_if(
        m_knownBalancers.begin(), m_knownBalancers.end(), [&](const KnownBalancer& b) { return b.endpoint == from; });
    if (known == m_knownBalancers.end() && m_knownBalancers.size() < maxKnownBalancers)
        known = m_knownBalancers.insert(m_knownBalancers.end(), KnownBalancer {});
    else if (known == m_knownBalancers.end())
        known = std::min_element(m_knownBalancers.begin(), m_knownBalancers.end(),
            [](auto& a, auto& b) { return a.lastHeardAt < b.lastHeardAt; });
    *known = { from, now };
}

Endpoint AgentCore::anotherBalancer(TimePoint now, Endpoint avoided)
{
    for (std::size_t tries = 0; tries < m_knownBalancers.size(); ++tries) {
        const KnownBalancer& known = m_knownBalancers[m_nextBalancer++ % m_knownBalancers.size()];
        if (known.endpoint != avoided && now - known.lastHeardAt <= knownBalancerTimeout)
            return known.endpoint;
    }
    return avoided;
}

void AgentCore::send(Endpoint to, Packet packet)
{
    if (!m_isConfirmed || !to)
        return;
    m_effects.emplace_back(SendToProcess { to, std::move(packet) });
}

} // namespace hawthorncroft
