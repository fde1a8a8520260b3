#include "transit_agent_base.h"

#include "table/transit_limits.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace hawthorncroft {

namespace {

    constexpr int reportedBits = 5; ///< Significant bits of a service time in load reports; an error of 3 %.

    /** @return The value rounded to some significant bits, so that small changes cause no load reports. */
    std::uint32_t rounded(std::uint32_t value)
    {
        int shift = std::max(static_cast<int>(std::bit_width(value)) - reportedBits, 0);
        std::uint64_t half = (std::uint64_t { 1 } << shift) / 2;
        std::uint64_t result = (value + half) >> shift << shift;
        return static_cast<std::uint32_t>(std::min<std::uint64_t>(result, std::numeric_limits<std::uint32_t>::max()));
    }

    constexpr std::size_t maxBalancerTags = 1U << 20; ///< Balancers that the tags of packets can distinguish.

}

TransitAgent::TransitAgent(TransitAgentOptions options)
    : TransitCore(options.fleet)
    , m_options(std::move(options))
    , m_admission(m_options.admission)
    , m_streams(m_options.fleet.incarnation)
    , m_queue(m_options.releaseOrder)
    , m_unknownQueue(m_options.releaseOrder)
    , m_capacity(m_options.capacity)
    , m_knowsAllFlows(m_options.isFirstStart)
{
}

void TransitAgent::onTick(TimePoint now, TransitEffects& effects)
{
    if (!m_startedAt) {
        m_startedAt = now;
        if (!m_knowsAllFlows)
            probe(now, effects); // The target may start after the agent.
    }
    tickProbe(now, effects);
    m_reportedServiceTimeUs = rounded(m_capacity.serviceTimeUs(now));
    m_fleet.onTick(now, load(), effects);
    expireOpens(now, effects);
    expireFirstRequests(now);
    deliverDueEarly(now, effects);
    releaseRequests(now, effects);
    while (!m_opensAwaitingView.empty() && now >= m_opensAwaitingView.front().first + maxWaitForView) {
        ForwardMessage forward = std::move(m_opensAwaitingView.front().second);
        m_opensAwaitingView.pop_front();
        decline(std::move(forward), DeclineReason::NoView, effects);
    }
    if (now >= m_nextSweepAt) {
        m_nextSweepAt = now + seconds(1);
        sweepFlows(now);
        // All flows that are older than the agent have ended by now.
        m_knowsAllFlows |= now >= *m_startedAt + flowLifetime;
    }
    sendLoads(now, effects);
    m_immediateReplies = 0;
    tickLocator(now, effects);
    sendNotHeldReplies(effects);
}

void TransitAgent::onMessage(Endpoint from, Message message, TimePoint now, TransitEffects& effects)
{
    effects.push_back(CountEvent { TransitCounter::MessagesIn });
    m_fleet.recordContact(from, message.through, now, effects);
    if (auto* forward = std::get_if<ForwardMessage>(&message.body)) {
        onForward(std::move(*forward), now, effects);
    } else if (auto* locate = std::get_if<LocateMessage>(&message.body)) {
        onLocate(std::move(*locate), now, effects);
    } else if (auto* update = std::get_if<InventoryUpdateMessage>(&message.body)) {
        onInventoryUpdate(from, *update, now, effects);
    } else if (auto* ack = std::get_if<InventoryAckMessage>(&message.body)) {
        m_streams.onAck(from.address, *ack);
    } else if (std::get_if<InventoryResyncMessage>(&message.body)) {
        resyncLocator(from, now, effects);
    } else if (auto* stamp = std::get_if<StampMessage>(&message.body)) {
        bool isNew = m_fleet.onStamp(from, message.through, *stamp, now, effects);
        if (isNew && stamp->role == ProcessRole::Agent) {
            m_records.onAgentRestart(from, stamp->incarnation);
            resyncLocator(from, now, effects);
        }
    } else if (auto* delta = std::get_if<DeltaMessage>(&message.body)) {
        if (m_fleet.onDelta(from, *delta, now, effects))
            onViewChanged(now, effects);
    } else if (std::get_if<LeavingMessage>(&message.body)) {
        m_fleet.onLeaving(from, effects);
    }
    // HeldMessage, DeclinedMessage and NotHeldMessage are for balancers. An agent receives them when it reuses the
    // address of a balancer.
}

void TransitAgent::onStop(TimePoint now, TransitEffects& effects)
{
    if (m_stoppedAt)
        return;
    m_stoppedAt = now;
    effects.push_back(WriteLog { "stopping",
        { { "busy", static_cast<std::int64_t>(m_busy) }, { "transfers", static_cast<std::int64_t>(m_transfers) },
            { "flows", static_cast<std::int64_t>(m_flows.size()) } } });
    m_fleet.announceLeaving(effects);
    sendInventoryMessages(m_streams.heartbeatAll(inventoryState(), now), effects);
    if (!m_knowsAllFlows)
        probe(now, effects); // The target often ends before its agent.
}

bool TransitAgent::isFinished(TimePoint now) const
{
    if (!m_stoppedAt || now < *m_stoppedAt + finalUpdateTime)
        return false; // Until then, heartbeats let locators detect lost inventory updates.
    return (!m_busy && !m_transfers && m_queue.empty()) || now >= *m_stoppedAt + requestDrainTimeout;
}

LoadReport TransitAgent::load() const
{
    const TargetEntry* own = m_admission.ownEntry(m_fleet.view());
    std::uint32_t slots = own ? own->record.slots : 0;
    return {
        .busy = m_busy + m_awaitingFirstRequest + static_cast<std::uint32_t>(m_queue.size()),
        .slots = slots,
        .flows = static_cast<std::uint32_t>(m_flows.size()) - m_ended,
        .limit = m_options.capacity.isEnabled ? m_capacity.limit(slots) : 0,
        .serviceTimeUs = m_reportedServiceTimeUs,
    };
}

std::vector<TransitGauge> TransitAgent::gauges(TimePoint now) const
{
    return {
        { "transfers", static_cast<std::int64_t>(m_transfers) },
        { "transfer_bytes", transferBytes() },
        { "target_limit", requestLimit() },
        { "target_service_time_us", m_capacity.serviceTimeUs(now) },
    };
}

bool TransitAgent::holds(const FlowTuple& flow) const
{
    auto found = m_flows.find(flow);
    return found != m_flows.end() && found->second.state != FlowState::Ended;
}

void TransitAgent::onViewChanged(TimePoint now, TransitEffects& effects)
{
    m_locators = TransitLocators(m_fleet.view());
    m_fleet.addAgents(m_options.fleetPort, now);
    const TargetEntry* own = m_admission.ownEntry(m_fleet.view());
    if (own && (own->record.id != m_targetId || own->record.startedAt != m_targetStartedAt))
        onTargetIncarnationChanged(*own, now, effects);
    m_streams.assign(m_locators, m_fleet.self().address);
    sendSnapshots(now, effects);
    if (!m_fleet.view().hasConfiguration())
        return;
    auto waiting = std::move(m_opensAwaitingView);
    m_opensAwaitingView.clear();
    for (auto& [since, forward] : waiting)
        onOpen(std::move(forward), now, effects);
}

void TransitAgent::onTargetIncarnationChanged(const TargetEntry& own, TimePoint now, TransitEffects& effects)
{
    effects.push_back(WriteLog { "target_lifetime",
        { { "target", own.record.id }, { "started_at", static_cast<std::int64_t>(own.record.startedAt) },
            { "revision", static_cast<std::int64_t>(own.position.revision.value) },
            { "cold_ms", own.record.coldLeft.us / 1000 }, { "cold_limit_per_s", coldLimit() },
            { "flows_before", static_cast<std::int64_t>(m_flows.size()) },
            { "knows_all_flows", static_cast<std::int64_t>(m_knowsAllFlows) } } });
    m_health = {};
    m_capacity.reset(now);
    // A registration tells neither when the incarnation started nor whether it still runs: it may be delayed by any
    // time while the store is unreachable. Only probes and packets of the target do.
    m_targetId = own.record.id;
    m_targetStartedAt = own.record.startedAt;
}

std::int64_t TransitAgent::coldLimit() const
{
    const ServiceRecord* service = m_fleet.view().serviceNamed(m_options.admission.service);
    return service ? static_cast<std::int64_t>(service->warmupPerSecond) : -1;
}

void TransitAgent::expireOpens(TimePoint now, TransitEffects& effects)
{
    while (!m_openTimers.empty() && m_openTimers.front().first <= now) {
        FlowTuple flow = m_openTimers.front().second;
        m_openTimers.pop_front();
        auto pending = m_opens.find(flow);
        if (pending == m_opens.end() || pending->second.deadline > now)
            continue;
        ForwardMessage forward = std::move(pending->second.forward);
        m_opens.erase(pending);
        decline(std::move(forward), DeclineReason::Silent, effects);
    }
}

void TransitAgent::expireFirstRequests(TimePoint now)
{
    while (!m_firstRequestTimers.empty() && m_firstRequestTimers.front().first <= now) {
        auto found = m_flows.find(m_firstRequestTimers.front().second);
        m_firstRequestTimers.pop_front();
        if (found != m_flows.end())
            stopAwaiting(found->second);
    }
}

void TransitAgent::sweepFlows(TimePoint now)
{
    std::vector<FlowTuple> expired;
    for (auto& [flow, held] : m_flows) {
        if (held.isTransferring && now >= held.usedAt + transferIdleLimit)
            stopTransfer(held); // The caller sends nothing more; a further packet counts again.
        Duration limit = held.state == FlowState::Ended ? endedFlowTime : flowIdleLimit;
        if (now >= held.usedAt + limit)
            expired.push_back(flow);
    }
    for (const auto& flow : expired)
        forgetFlow(flow);
    m_records.expire(now);
    std::erase_if(m_flowQueries, [&](const auto& entry) {
        bool isExpired = now >= entry.second.expiresAt;
        m_askedRequests -= isExpired && entry.second.mayBeRequest;
        return isExpired;
    });
    std::erase_if(m_loadSubscriptions, [&](const auto& entry) { return now >= entry.second.expiresAt; });
}

void TransitAgent::sendLoads(TimePoint now, TransitEffects& effects)
{
    LoadReport current = load();
    for (auto& [balancer, subscription] : m_loadSubscriptions) {
        if (now >= subscription.expiresAt || now < subscription.reportedAt + loadReportInterval
            || subscription.reported == current)
            continue;
        subscription.reportedAt = now;
        subscription.reported = current;
        effects.push_back(SendMessage { balancer, HeldMessage { .load = current } });
    }
}

std::uint32_t TransitAgent::tagOf(Endpoint balancer, bool isLocating)
{
    auto found = m_balancerTags.find(balancer);
    if (found == m_balancerTags.end()) {
        if (m_balancers.size() >= maxBalancerTags)
            return 0; // Packets that the target returns are dropped; the caller retransmits them.
        found = m_balancerTags.emplace(balancer, static_cast<std::uint32_t>(m_balancers.size())).first;
        m_balancers.push_back(balancer);
    }
    return ((found->second + 1) << 1) | static_cast<std::uint32_t>(isLocating);
}

} // namespace hawthorncroft
