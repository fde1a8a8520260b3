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
    &AgentCore::onReplyOfAgent, // Opened
    &AgentCore::onReplyOfAgent, // Refused
    &AgentCore::onExecute,
    &AgentCore::onOther, // Answer
    &AgentCore::onAnswerAck, &AgentCore::onCancel, &AgentCore::onQuery, &AgentCore::onData,
    &AgentCore::onOther, // DataAck
    &AgentCore::onOther, // Event
    &AgentCore::onEventAck, &AgentCore::onKeepAlive,
    &AgentCore::onOther, // Renewed
    &AgentCore::onClose,
    &AgentCore::onOther, // Closed
    &AgentCore::onOther, // Stamp: the replica's
    &AgentCore::onOther, // StampReply: the replica's
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
    // The random start keeps request ids of successive agent processes apart at the target.
    m_admission.setCapacity({ .slots = m_settings.slots, .connections = m_settings.connections });
}

void AgentCore::onPacket(TimePoint now, Endpoint from, Packet packet)
{
    notePause(now);
    if (!m_isConfirmed) {
        count(AgentCounter::DroppedUnconfirmed);
        return;
    }
    if (isFromBalancer(packet))
        noteBalancer(now, from);
    Handler handler = handlers.at(static_cast<std::size_t>(packet.kind));
    (this->*handler)(now, from, packet);
    startQueued(now);
}

void AgentCore::onOther(TimePoint, Endpoint, Packet&) { count(AgentCounter::DroppedOther); }

void AgentCore::onReplyOfAgent(TimePoint now, Endpoint, Packet& packet)
{
    // The next agent knew no balancer and sent its reply to a relayed Open back here.
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

void AgentCore::notePause(TimePoint now)
{
    if (!m_lastTick.us || now - m_lastTick <= agentPauseGap)
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
        followConfiguration(now);
}

void AgentCore::followConfiguration(TimePoint now)
{
    followKeys();
    const TargetConfig* target = configured();
    m_wasConfigured |= target != nullptr;
    m_admission.setCapacity({ .slots = target ? target->slots : m_settings.slots,
        .connections = target ? target->connections : m_settings.connections,
        .preset = m_view.preset() });
    bool isOut = target ? m_view.isOut(*target) : m_view.isOut(m_settings.failureDomain, m_settings.vm);
    bool wasOut = std::exchange(m_isOut, isOut);
    if (isOut && !wasOut)
        goOut(now);
    // The target's caches are stale after an outage, so it returns with a cold start.
    if (wasOut && !isOut) {
        m_admission.startCold(now);
        count(AgentCounter::ColdStarts);
    }
    startQueued(now);
}

void AgentCore::followKeys()
{
    const KeysDocument* keys = m_view.keys();
    if (!keys)
        return;
    m_keyring.setAccepted(keys->accepted);
    m_keyring.setSigning(keys->signing);
}

void AgentCore::goOut(TimePoint now)
{
    m_records.forEach([&](FlowRecord& record) {
        switch (record.state) {
        case FlowState::Reserved:
        case FlowState::Queued:
            refuseFlow(now, record, Reason::OutOfService);
            break;
        case FlowState::Running:
            // It needs no further packet to the target, and its answer is worth more than "may have run".
            m_giveUpAt = now + outGrace;
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
    if (!m_isOut)
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
    notePause(now);
    m_health = state;
    m_reportedLoad = load;
    if (state == TargetState::Down)
        return;
    Incarnation former = std::exchange(m_targetIncarnation, incarnation);
    if (former && former != incarnation)
        loseTarget(now);
    else if (!former)
        m_admission.startCold(now);
    startQueued(now);
}

void AgentCore::loseTarget(TimePoint now)
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
            // A reservation binds the former incarnation; its Execute is refused when it arrives.
            break;
        }
    });
    m_admission.startCold(now);
    count(AgentCounter::ColdStarts);
}

void AgentCore::noteBalancer(TimePoint now, Endpoint from)
{
    auto heard = std::find_if(
        m_balancers.begin(), m_balancers.end(), [&](const HeardBalancer& b) { return b.endpoint == from; });
    if (heard == m_balancers.end() && m_balancers.size() < maxKnownBalancers)
        heard = m_balancers.insert(m_balancers.end(), HeardBalancer {});
    else if (heard == m_balancers.end())
        heard = std::min_element(
            m_balancers.begin(), m_balancers.end(), [](auto& a, auto& b) { return a.heardAt < b.heardAt; });
    *heard = { from, now };
}

Endpoint AgentCore::anotherBalancer(TimePoint now, Endpoint avoided)
{
    for (std::size_t tries = 0; tries < m_balancers.size(); ++tries) {
        const HeardBalancer& heard = m_balancers[m_nextBalancer++ % m_balancers.size()];
        if (heard.endpoint != avoided && now - heard.heardAt <= balancerMemory)
            return heard.endpoint;
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
