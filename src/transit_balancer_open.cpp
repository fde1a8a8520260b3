#include "transit_balancer_base.h"

#include "table/transit_limits.h"

#include <algorithm>
#include <limits>

namespace hawthorncroft {

namespace {

    /** Counters of refusals by reason. */
    constexpr std::pair<std::string_view, TransitCounter> refusalCounters[] = {
        { "overloaded", TransitCounter::RefusedOverloaded },
        { "attempts_used", TransitCounter::RefusedAttemptsUsed },
        { "no_target", TransitCounter::RefusedNoTarget },
        { "no_service", TransitCounter::RefusedNoService },
        { "no_route", TransitCounter::RefusedNoRoute },
    };

    std::vector<std::uint32_t> addressesOf(const std::vector<Endpoint>& agents)
    {
        std::vector<std::uint32_t> addresses;
        addresses.reserve(agents.size());
        for (Endpoint agent : agents)
            addresses.push_back(agent.address);
        return addresses;
    }

}

void TransitBalancer::openFlow(
    TransitPacket packet, const RouteRecord& route, TimePoint arrivedAfter, TimePoint now, TransitEffects& effects)
{
    OpenProgress progress { .startedAt = now, .arrivedAfter = arrivedAfter };
    FlowTuple flow = packet.flow;
    const std::string* service = serviceFor(route, flow, now);
    OpenStanding standing = openStandingOf(flow);
    if (!service) {
        refuseUnlessOpen(packet, progress, "no_service", 0, now, effects);
        return;
    }
    ForwardMessage forward {
        .replyTo = m_fleet.self(),
        .service = *service,
        .routePosition = m_fleet.view().routePositionAt(flow.service),
    };
    forward.packet = std::move(packet);
    if (standing.holder) {
        // The target has already accepted the flow and answers the retransmission as it answered the first packet.
        CachedFlow& cached = m_flows.at(flow);
        cached.usedAt = now;
        // It may also open a new flow from the same port, so the holder has to be chosen again.
        cached.basis = HolderBasis::Answered;
        effects.push_back(SendMessage { *standing.holder, std::move(forward) });
        return;
    }
    m_opens.erase(flow);
    forward.tried = std::move(standing.tried);
    sendOpen(std::move(forward), progress, now, effects);
}

TransitBalancer::OpenStanding TransitBalancer::openStandingOf(const FlowTuple& flow) const
{
    OpenStanding standing { .holder = holderOf(flow), .tried = {} };
    // The retransmission of an unanswered packet goes to an agent that has not been tried.
    if (auto pending = m_opens.find(flow); !standing.holder && pending != m_opens.end())
        standing.tried = pending->second.forward.tried;
    return standing;
}

void TransitBalancer::sendOpen(ForwardMessage forward, OpenProgress progress, TimePoint now, TransitEffects& effects)
{
    const FlowTuple& tuple = forward.packet.flow;
    NextTarget next = chooseNext(forward.service, tuple, forward.tried, progress.isOverloaded, now);
    const TargetEntry* target = next.target;
    if (!target) {
        refuseIfDeclined(forward, progress, next.refusal, now, effects);
        return;
    }
    if (next.spareReportedAt)
        effects.push_back(WriteLog { "open_moved",
            { { "flow", toString(tuple.caller) }, { "to", toString(tuple.service) }, { "target", target->record.id },
                { "tried", static_cast<std::int64_t>(forward.tried.size()) },
                { "load_percent", static_cast<std::int64_t>(100 * m_placement.utilisationOf(*target)) },
                { "report_age_ms", (now - *next.spareReportedAt).us / 1000 } } });
    std::uint32_t address = target->record.address.address;
    Endpoint agent = agentOf(address);
    effects.push_back(
        CountEvent { forward.tried.empty() ? TransitCounter::OpensForwarded : TransitCounter::OpensRepeated });
    effects.push_back(WriteLog { "open_placed",
        { { "flow", toString(forward.packet.flow.caller) }, { "to", toString(forward.packet.flow.service) },
            { "target", target->record.id }, { "agent", toString(agent) },
            { "attempt", static_cast<std::int64_t>(forward.tried.size()) },
            { "copy", static_cast<std::int64_t>(forward.packet.acknowledged) },
            { "load_percent", static_cast<std::int64_t>(100 * m_placement.loadOf(m_fleet.view(), *target, now)) },
            { "revision", static_cast<std::int64_t>(target->position.revision.value) },
            { "view_age_ms", m_fleet.viewAgeMs(now) } } });
    m_placement.recordSent(address);
    effects.push_back(SendMessage { agent, forward });
    if (m_opens.size() >= maxPendingOpens)
        return; // Not retried; the caller retransmits.
    FlowTuple flow = forward.packet.flow;
    TimePoint retryAt = now + openRetryTimeout;
    forward.tried.push_back(agent);
    m_opens[flow] = { .forward = std::move(forward), .agent = agent, .retryAt = retryAt, .progress = progress };
    m_openTimers.emplace_back(retryAt, flow);
}

TransitBalancer::NextTarget TransitBalancer::chooseNext(const std::string& service, const FlowTuple& flow,
    const std::vector<Endpoint>& triedAgents, bool isOverloaded, TimePoint now, PlacementTrace* trace) const
{
    if (triedAgents.size() >= maxOpenAttempts)
        return { .refusal = "attempts_used" };
    auto tried = addressesOf(triedAgents);
    if (!isOverloaded) {
        const TargetEntry* target = m_placement.choose(m_fleet.view(), service, flow, tried, now, trace);
        return { .target = target, .refusal = target ? "" : "no_target" };
    }
    // The agent that declined had the lowest load of a few targets, so that others drawn at random are hardly better.
    auto spare = m_placement.chooseSpare(m_fleet.view(), service, flow, tried, now);
    if (!spare.target)
        return { .refusal = "overloaded" };
    return { .target = spare.target, .spareReportedAt = spare.reportedAt };
}

void TransitBalancer::refuseIfDeclined(const ForwardMessage& forward, const OpenProgress& progress,
    std::string_view reason, TimePoint now, TransitEffects& effects)
{
    // An agent that did not answer may have opened the flow.
    if (progress.declines == forward.tried.size())
        refuseUnlessOpen(forward.packet, progress, reason, forward.tried.size(), now, effects);
}

void TransitBalancer::refuseUnlessOpen(const TransitPacket& packet, const OpenProgress& progress,
    std::string_view reason, std::size_t tried, TimePoint now, TransitEffects& effects)
{
    // Another transmission of the packet may have opened the flow through another balancer: an earlier one, or, when
    // this one waited in a paused process, a later one. On an open flow the reset would not be one to the caller.
    bool isCopy = packet.acknowledged > 0;
    if (!isCopy && now < progress.arrivedAfter + openRefusalLimit) {
        refuseOpen(packet, reason, tried, now, effects);
        return;
    }
    effects.push_back(CountEvent { TransitCounter::RefusalsWithheld });
    effects.push_back(WriteLog { "refusal_withheld",
        { { "flow", toString(packet.flow.caller) }, { "to", toString(packet.flow.service) },
            { "reason", std::string(reason) }, { "copy", static_cast<std::int64_t>(packet.acknowledged) },
            { "age_ms", (now - progress.arrivedAfter).us / 1000 } } });
}

void TransitBalancer::refuseOpen(
    const TransitPacket& packet, std::string_view reason, std::size_t tried, TimePoint now, TransitEffects& effects)
{
    if (packet.flags.isReset)
        return;
    effects.push_back(CountEvent { TransitCounter::OpensRefused });
    for (const auto& [name, counter] : refusalCounters) {
        if (name == reason)
            effects.push_back(CountEvent { counter });
    }
    effects.push_back(WriteLog { "flow_refused",
        { { "flow", toString(packet.flow.caller) }, { "to", toString(packet.flow.service) },
            { "reason", std::string(reason) }, { "tried", static_cast<std::int64_t>(tried) },
            { "route_revision",
                static_cast<std::int64_t>(m_fleet.view().routePositionAt(packet.flow.service).revision.value) },
            { "revision", static_cast<std::int64_t>(m_fleet.view().through().revision.value) },
            { "view_age_ms", m_fleet.viewAgeMs(now) } } });
    effects.push_back(ResetCaller { packet.flow, packet.acknowledged });
}

void TransitBalancer::onHeld(Endpoint from, const HeldMessage& held, TimePoint now, TransitEffects& effects)
{
    m_placement.recordLoad(from.address, held.load, now);
    if (!held.flow.service)
        return; // Contains only a load report.
    auto pending = m_opens.find(held.flow);
    if (pending != m_opens.end()) {
        effects.push_back(CountEvent { TransitCounter::FlowsOpened });
        effects.push_back(RecordTime { TransitDistribution::OpenTime, now - pending->second.progress.startedAt });
        m_retryBudget.recordSuccess(openRetryPercent);
        m_placement.recordAccepted(from.address);
        m_opens.erase(pending);
    }
    cacheHolder(held.flow, { from, held.targetSequence }, held.isOpening, now);
    auto locate = m_locates.find(held.flow);
    if (locate == m_locates.end())
        return;
    // An answer to the opening packet ends a search only if the caller chose it. Otherwise the holder reports the flow
    // when it gets the query, and the query contains the first packet.
    if (!held.isOpening)
        finishLocate(held.flow, from, true, now, effects);
    else if (acknowledgesAnswer(locate->second.packets.front(), held.targetSequence))
        finishLocate(held.flow, from, false, now, effects);
}

void TransitBalancer::onDeclined(Endpoint from, DeclinedMessage declined, TimePoint now, TransitEffects& effects)
{
    m_placement.recordLoad(from.address, declined.load, now);
    ForwardMessage& forward = declined.forward;
    const FlowTuple& flow = forward.packet.flow;
    effects.push_back(CountEvent { TransitCounter::OpensDeclined });
    effects.push_back(WriteLog { "open_declined",
        { { "flow", toString(flow.caller) }, { "to", toString(flow.service) }, { "agent", toString(from) },
            { "reason", std::string(nameOf(declined.reason)) },
            { "busy", static_cast<std::int64_t>(declined.load.busy) } } });
    if (declined.reason == DeclineReason::Silent || declined.reason == DeclineReason::Leaving)
        m_placement.suspect(from.address, now);
    if (declined.reason == DeclineReason::Returned || declined.reason == DeclineReason::Faulty)
        m_placement.recordReturned(from.address, now);
    if (declined.reason == DeclineReason::Overloaded)
        m_placement.recordOverloaded(from.address, declined.load);
    auto pending = m_opens.find(flow);
    if (pending == m_opens.end() || pending->second.agent != from)
        return; // Another agent was tried meanwhile, or accepted the flow.
    ForwardMessage again = std::move(pending->second.forward);
    OpenProgress progress = pending->second.progress;
    m_opens.erase(pending);
    progress.declines += declined.reason != DeclineReason::Silent; // A target that hangs may accept the packet later.
    progress.isOverloaded = progress.isOverloaded || declined.reason == DeclineReason::Overloaded;
    sendOpen(std::move(again), progress, now, effects);
}

void TransitBalancer::retryOpens(TimePoint now, TransitEffects& effects)
{
    while (!m_openTimers.empty() && m_openTimers.front().first <= now) {
        FlowTuple flow = m_openTimers.front().second;
        m_openTimers.pop_front();
        auto pending = m_opens.find(flow);
        if (pending == m_opens.end() || pending->second.retryAt > now)
            continue;
        PendingOpen open = std::move(pending->second);
        m_opens.erase(pending);
        m_placement.suspect(open.agent.address, now);
        effects.push_back(WriteLog { "agent_silent",
            { { "flow", toString(flow.caller) }, { "to", toString(flow.service) }, { "agent", toString(open.agent) },
                { "waited_ms", (now - open.retryAt + openRetryTimeout).us / 1000 } } });
        bool canRetry = open.forward.tried.size() < maxOpenAttempts
            && m_placement.choose(m_fleet.view(), open.forward.service, flow, addressesOf(open.forward.tried), now);
        // An agent that did not answer may have accepted the flow, so that the caller is not reset here. The retry
        // budget keeps retries from adding to an overload when many agents do not answer.
        if (canRetry && m_retryBudget.take(now))
            sendOpen(std::move(open.forward), open.progress, now, effects);
    }
}

const std::string* TransitBalancer::serviceByWeight(const RouteRecord& route, const FlowTuple& flow)
{
    std::uint64_t total = 0;
    for (const auto& share : route.shares)
        total += share.weight;
    if (!total)
        return nullptr;
    std::uint64_t at = mix64(hashOf(flow)) % total;
    for (const auto& share : route.shares) {
        if (at < share.weight)
            return &share.service;
        at -= share.weight;
    }
    return nullptr;
}

const std::string* TransitBalancer::serviceFor(const RouteRecord& route, const FlowTuple& flow, TimePoint now) const
{
    const std::string* preferred = serviceByWeight(route, flow);
    if (!preferred || route.shares.size() < 2)
        return preferred;
    if (utilisationFor(*preferred, flow, now) < saturatedUtilisation)
        return preferred;
    const std::string* best = preferred;
    double lowest = spareUtilisation;
    for (const auto& share : route.shares) {
        double utilisation = share.weight ? utilisationFor(share.service, flow, now) : lowest;
        if (utilisation >= lowest)
            continue;
        best = &share.service;
        lowest = utilisation;
    }
    return best;
}

double TransitBalancer::utilisationFor(const std::string& service, const FlowTuple& flow, TimePoint now) const
{
    const TargetEntry* target = m_placement.choose(m_fleet.view(), service, flow, {}, now);
    return target ? m_placement.utilisationOf(*target) : std::numeric_limits<double>::infinity();
}

} // namespace hawthorncroft
