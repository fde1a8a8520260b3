#include "balancer_base.h"
#include "binding_func.h"
#include "table/balancer_times.h"
#include "table/limits.h"
#include "table/service_times.h"

#include <algorithm>

namespace hawthorncroft {

using Kind = PacketKind;

namespace {

    constexpr std::size_t indexOf(PacketKind kind) { return static_cast<std::size_t>(kind); }

    /**
     * Outcome of a packet other than an Open that a balancer cannot forward. The request may have run, since the fabric
     * may have delivered an earlier transmission of the packet.
     */
    constexpr Outcome mayHaveRun(Reason reason) { return { .verdict = Verdict::MayHaveRun, .reason = reason }; }

    constexpr Outcome didNotRun(Reason reason, std::uint32_t retryAfterMs = 0)
    {
        return { .verdict = Verdict::DidNotRun, .reason = reason, .retryAfterMs = retryAfterMs };
    }

    std::uint32_t millisecondsUntil(TimePoint now, TimePoint later)
    {
        return static_cast<std::uint32_t>(std::max<std::int64_t>((later - now).us / 1000, 1));
    }

}

const std::array<BalancerCore::Handler, indexOf(Kind::End)> BalancerCore::callerHandlers = [] {
    std::array<Handler, indexOf(Kind::End)> handlers {};
    handlers.fill(&BalancerCore::handleBadKind);
    handlers[indexOf(Kind::Open)] = &BalancerCore::handleOpen;
    handlers[indexOf(Kind::Query)] = &BalancerCore::handleQuery;
    for (Kind kind :
        { Kind::Execute, Kind::AnswerAck, Kind::Cancel, Kind::Data, Kind::EventAck, Kind::KeepAlive, Kind::Close })
        handlers[indexOf(kind)] = &BalancerCore::handleBound;
    return handlers;
}();

const std::array<BalancerCore::Handler, indexOf(Kind::End)> BalancerCore::processHandlers = [] {
    std::array<Handler, indexOf(Kind::End)> handlers {};
    handlers.fill(&BalancerCore::handleBadKind);
    for (Kind kind :
        { Kind::Opened, Kind::Refused, Kind::Answer, Kind::DataAck, Kind::Event, Kind::Renewed, Kind::Closed })
        handlers[indexOf(kind)] = &BalancerCore::handleReply;
    handlers[indexOf(Kind::StampReply)] = &BalancerCore::handleHint;
    return handlers;
}();

BalancerCore::BalancerCore(BalancerOptions options, const Keyring& keyring)
    : m_options(options)
    , m_keyring(keyring)
{
}

void BalancerCore::onCallerPacket(TimePoint now, Endpoint from, Packet& packet, BalancerEffects& effects)
{
    detectPause(now, effects);
    (this->*callerHandlers[indexOf(packet.kind)])(now, from, packet, effects);
}

void BalancerCore::onProcessPacket(TimePoint now, Endpoint from, Packet& packet, BalancerEffects& effects)
{
    detectPause(now, effects);
    bool isNewer = packet.revision > m_view.completeThrough();
    if (isNewer || now - m_lastContactEffect >= contactReportInterval) {
        m_lastContactEffect = now;
        effects.push_back(ContactSeen { from, packet.revision });
    }
    (this->*processHandlers[indexOf(packet.kind)])(now, from, packet, effects);
}

void BalancerCore::onTick(TimePoint now, BalancerEffects& effects)
{
    detectPause(now, effects);
    if (now - m_hintsPrunedAt < hintPruneInterval)
        return;
    m_hintsPrunedAt = now;
    std::erase_if(m_hints, [this](const auto& hint) { return !m_view.target(hint.first); });
}

void BalancerCore::detectPause(TimePoint now, BalancerEffects& effects)
{
    bool isPause = m_lastEvent.us && now - m_lastEvent >= pauseThreshold;
    m_lastEvent = now;
    if (!isPause)
        return;
    ++m_pause;
    count(BalancerCounter::Pauses);
    effects.push_back(ConfirmView { m_pause });
}

void BalancerCore::confirmView(std::uint64_t pause)
{
    // A confirmation requested before the latest pause may have been queued during that pause and be outdated.
    if (pause == m_pause)
        m_confirmedPause = pause;
}

void BalancerCore::applyDocument(TimePoint now, const VersionedDocument& document)
{
    bool isChanged = m_view.apply(document);
    if (isChanged && document.document) {
        if (const auto* operations = std::get_if<OperationsDocument>(document.document.get()))
            updateOutOfService(now, document.revision, *operations);
    }
}

void BalancerCore::updateOutOfService(TimePoint now, Revision revision, const OperationsDocument& operations)
{
    std::unordered_map<std::string, OutOfService> out;
    // Before the view was first confirmed, no packets were forwarded, so there are no flows that need the grace time.
    TimePoint since = m_serving.isReady ? now : now - outOfServiceGrace;
    auto keepOrAdd = [&](const std::string& name) {
        auto known = m_outOfService.find(name);
        out[name] = { known == m_outOfService.end() ? since : known->second.since, revision };
    };
    std::for_each(operations.domainsOut.begin(), operations.domainsOut.end(), keepOrAdd);
    std::for_each(operations.vmsOut.begin(), operations.vmsOut.end(), keepOrAdd);
    m_outOfService = std::move(out);
}

void BalancerCore::handleOpen(TimePoint now, Endpoint from, Packet& packet, BalancerEffects& effects)
{
    if (!admitOpen(now, from, packet, effects))
        return;
    Resolution resolution = m_view.resolve(packet.name);
    if (!resolution.service) {
        count(BalancerCounter::UnknownNames);
        effects.push_back(UnknownNameSeen { packet.name });
        refuse(from, packet, didNotRun(Reason::UnknownName), effects);
        return;
    }
    packet.callerEndpoint = from;
    packet.hops = 0;
    place(now, resolution, packet, effects);
}

bool BalancerCore::admitOpen(TimePoint now, Endpoint from, const Packet& packet, BalancerEffects& effects)
{
    if (m_isShuttingDown) {
        refuse(from, packet, didNotRun(Reason::ShutDown, notReadyRetryMs), effects);
        return false;
    }
    if (!isServing()) {
        count(BalancerCounter::NotServing);
        refuse(from, packet, didNotRun(m_serving.isIsolated ? Reason::Isolated : Reason::NotReady, notReadyRetryMs),
            effects);
        return false;
    }
    if (packet.attempt && m_openHealth.needsBudget() && !m_retryBudget.take(now)) {
        count(BalancerCounter::RetriesRefused);
        refuse(from, packet, didNotRun(Reason::RetryBudget, noTargetRetryMs), effects);
        return false;
    }
    return true;
}

void BalancerCore::place(TimePoint now, const Resolution& resolution, Packet& packet, BalancerEffects& effects)
{
    Choice choice = choose(now, resolution.service, packet);
    if (!choice.target) {
        bool areAllBusy = choice.busyUntil > now;
        count(areAllBusy ? BalancerCounter::EarlyRefusals : BalancerCounter::NoTargets);
        Outcome outcome = areAllBusy ? didNotRun(Reason::Overloaded, millisecondsUntil(now, choice.busyUntil))
                                     : didNotRun(Reason::NoTarget, noTargetRetryMs);
        refuse(packet.callerEndpoint, packet, outcome, effects);
        return;
    }
    m_hints[choice.target->id].recordOpenSent(now, packet.flowKind);
    m_openHealth.recordOpen(now);
    packet.service = resolution.service;
    packet.resolvedAt = resolution.revision;
    packet.target = choice.target->id;
    count(BalancerCounter::OpensPlaced);
    forward(choice.target->agent, packet, effects);
}

void BalancerCore::handleBound(TimePoint now, Endpoint from, Packet& packet, BalancerEffects& effects)
{
    if (!isServing()) {
        count(BalancerCounter::NotServing);
        return;
    }
    if (!packet.hasBinding() || !isAuthentic(m_keyring, packet.key, packet.binding)) {
        count(BalancerCounter::BadBindings);
        return;
    }
    packet.callerEndpoint = from;
    const TargetConfig* target = m_view.target(packet.binding.target);
    if (target && m_view.isOutOfService(*target) && isOutBeyondGrace(now, *target, packet.binding)) {
        count(BalancerCounter::OutOfService);
        refuse(from, packet, mayHaveRun(Reason::OutOfService), effects);
        return;
    }
    // The binding contains the agent's endpoint, so flows to a target that was removed from the configuration continue
    // until they end.
    resolveBound(packet);
    packet.target = packet.binding.target;
    count(BalancerCounter::BoundForwarded);
    forward(packet.binding.agent, packet, effects);
}

void BalancerCore::resolveBound(Packet& packet) const
{
    packet.service = packet.binding.service;
    packet.resolvedAt = packet.binding.revision;
    Resolution resolution = m_view.resolve(packet.name);
    // Removing a name does not end the flows opened under it. When the name now belongs to another service, packets
    // must not be served by the old one.
    bool hasMoved = resolution.service && resolution.service != packet.service;
    if (!hasMoved || resolution.revision <= packet.binding.revision)
        return;
    packet.service = resolution.service;
    packet.resolvedAt = resolution.revision;
}

void BalancerCore::handleQuery(TimePoint now, Endpoint from, Packet& packet, BalancerEffects& effects)
{
    if (packet.hasBinding()) {
        handleBound(now, from, packet, effects);
        return;
    }
    if (!isServing()) {
        count(BalancerCounter::NotServing);
        return;
    }
    Resolution resolution = m_view.resolve(packet.name);
    std::array<TargetId, ranksConsidered> ranks {};
    std::size_t found = m_view.ranksOf(resolution.service).rank(packet.key, ranks);
    packet.callerEndpoint = from;
    packet.service = resolution.service;
    packet.resolvedAt = resolution.revision;
    // Without a binding, the target that holds the flow is unknown: each attempt queries the next rank.
    const TargetConfig* target = found ? m_view.target(ranks[packet.attempt % found]) : nullptr;
    if (!target || m_view.isOutOfService(*target)) {
        refuse(from, packet, mayHaveRun(Reason::Unknown), effects);
        return;
    }
    packet.target = target->id;
    forward(target->agent, packet, effects);
}

void BalancerCore::handleReply(TimePoint now, Endpoint, Packet& packet, BalancerEffects& effects)
{
    recordHint(now, packet);
    if (packet.kind == Kind::Opened) {
        m_retryBudget.recordSuccess(m_view.preset().retryPercent);
        m_openHealth.recordSuccess();
    }
    count(BalancerCounter::RepliesForwarded);
    Endpoint caller = packet.callerEndpoint;
    effects.push_back(SendToCaller { caller, std::move(packet) });
}

void BalancerCore::handleHint(TimePoint now, Endpoint, Packet& packet, BalancerEffects&)
{
    // An agent that relays an Open sends its own state in this packet, because the reply to the Open comes from another
    // agent.
    recordHint(now, packet);
}

void BalancerCore::recordHint(TimePoint now, const Packet& packet)
{
    // Hints are kept only for configured targets, which bounds their number.
    if (m_view.target(packet.target))
        m_hints[packet.target].recordReply(now, packet);
}

void BalancerCore::handleBadKind(TimePoint, Endpoint, Packet&, BalancerEffects&) { count(BalancerCounter::BadKinds); }

void BalancerCore::forward(Endpoint to, Packet& packet, BalancerEffects& effects)
{
    packet.revision = m_view.completeThrough();
    effects.push_back(SendToProcess { to, std::move(packet) });
}

void BalancerCore::refuse(Endpoint to, const Packet& packet, Outcome outcome, BalancerEffects& effects)
{
    Packet reply;
    reply.kind = Kind::Refused;
    reply.flowKind = packet.flowKind;
    reply.key = packet.key;
    reply.attempt = packet.attempt;
    reply.nonce = packet.nonce;
    reply.binding = packet.binding;
    reply.revision = m_view.completeThrough();
    reply.outcome = outcome;
    effects.push_back(SendToCaller { to, std::move(reply) });
}

} // namespace hawthorncroft
