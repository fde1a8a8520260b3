#include "transit_agent_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

void TransitAgent::passToTarget(HeldFlow& flow, ForwardMessage forward, TimePoint now, TransitEffects& effects)
{
    flow.usedAt = now;
    bool isEnding = forward.packet.flags.isReset || forward.packet.flags.isFinal;
    if (isEnding && !flow.waiting.empty()) {
        // The caller gives up; what waits goes first, so that the target sees the flow in order.
        auto waiting = std::move(flow.waiting);
        flow.waiting.clear();
        m_queue.remove(forward.packet.flow);
        for (auto& earlier : waiting)
            handToTarget(earlier, effects);
    }
    bool startsRequest = forward.packet.dataSize && !flow.requestAt && flow.state == FlowState::Open;
    if (startsRequest && queueRequest(flow, forward, now, effects))
        return;
    noteFromCaller(flow, forward.packet, now, effects);
    handToTarget(forward, effects);
}

bool TransitAgent::hasFreeSlot(TimePoint now) const
{
    std::uint32_t slots = load().slots;
    if (!slots || m_busy < slots + slotOversubscription)
        return true;
    // Requests whose end was not seen must not stop the others.
    return now >= m_answeredAt + slotAnswerTimeout;
}

Duration TransitAgent::startGap() const { return m_serviceTimes.mean() / std::max<std::uint32_t>(load().slots, 1); }

bool TransitAgent::queueRequest(HeldFlow& flow, ForwardMessage& forward, TimePoint now, TransitEffects& effects)
{
    if (!flow.waiting.empty()) {
        bool isCopy = std::any_of(flow.waiting.begin(), flow.waiting.end(),
            [&](const ForwardMessage& earlier) { return earlier.packet.sequence == forward.packet.sequence; });
        if (!isCopy && flow.waiting.size() < maxPacketsPerLocate)
            flow.waiting.push_back(std::move(forward));
        return true;
    }
    if (m_queue.empty() && hasFreeSlot(now))
        return false;
    const RouteRecord* route = m_fleet.view().routeAt(forward.packet.flow.service);
    WaitingRequest request { .flow = forward.packet.flow, .startedAt = flow.isFirstRequest ? flow.startedAt : now };
    request.serviceTime = m_serviceTimes.usual(request.flow.service);
    if (route) {
        request.priority = route->priority;
        request.latencyObjective = route->latencyObjective;
        request.timeout = route->timeout;
    }
    if (!m_queue.push(request))
        return false;
    effects.push_back(CountEvent { TransitCounter::RequestsQueued });
    effects.push_back(WriteLog { "request_queued",
        { { "request", forward.packet.requestId }, { "flow", toString(request.flow.caller) },
            { "to", toString(request.flow.service) }, { "target", m_targetId },
            { "priority", static_cast<std::int64_t>(request.priority) },
            { "age_ms", (now - request.startedAt).us / 1000 }, { "busy", static_cast<std::int64_t>(m_busy) },
            { "queued", static_cast<std::int64_t>(m_queue.size()) },
            { "route_revision",
                static_cast<std::int64_t>(m_fleet.view().routeRevisionAt(request.flow.service).value) } } });
    flow.waiting.push_back(std::move(forward));
    return true;
}

void TransitAgent::releaseRequests(TimePoint now, TransitEffects& effects)
{
    while (auto expired = m_queue.popExpired(now))
        giveUpRequest(*expired, now, effects);
    while (!m_queue.empty() && hasFreeSlot(now)) {
        auto request = m_queue.pop(now, startGap());
        releaseRequest(*request, now, effects);
    }
}

void TransitAgent::giveUpRequest(const WaitingRequest& request, TimePoint now, TransitEffects& effects)
{
    auto found = m_flows.find(request.flow);
    if (found == m_flows.end())
        return;
    auto waiting = std::move(found->second.waiting);
    found->second.waiting.clear(); // The caller's time budget is over and it asks no more.
    effects.push_back(WriteLog { "request_expired",
        { { "request", waiting.empty() ? std::string() : waiting.front().packet.requestId },
            { "flow", toString(request.flow.caller) }, { "to", toString(request.flow.service) },
            { "waited_ms", (now - request.startedAt).us / 1000 }, { "budget_ms", request.timeout.us / 1000 },
            { "busy", static_cast<std::int64_t>(m_busy) }, { "queued", static_cast<std::int64_t>(m_queue.size()) } } });
}

void TransitAgent::releaseRequest(const WaitingRequest& request, TimePoint now, TransitEffects& effects)
{
    auto found = m_flows.find(request.flow);
    if (found == m_flows.end())
        return;
    HeldFlow& flow = found->second;
    auto waiting = std::move(flow.waiting);
    flow.waiting.clear();
    effects.push_back(RecordTime { TransitDistribution::QueueTime, now - request.startedAt });
    for (auto& forward : waiting) {
        noteFromCaller(flow, forward.packet, now, effects);
        handToTarget(forward, effects);
    }
    if (!flow.requestAt)
        return;
    m_answeredAt = std::max(
        m_answeredAt, now - slotAnswerTimeout + tickInterval); // One more for each tick when answers are missing.
}

} // namespace hawthorncroft
