#include "transit_agent_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

void TransitAgent::deliverOrQueue(HeldFlow& flow, ForwardMessage forward, TimePoint now, TransitEffects& effects)
{
    flow.usedAt = now;
    trackAcknowledgement(flow.acknowledged, forward.packet);
    if (!flow.queuedPackets.empty() && forward.packet.flags.isReset) {
        // The caller gave up, so the request is not run.
        flow.queuedPackets.clear();
        m_queue.remove(forward.packet.flow);
    }
    bool hasData = forward.packet.dataSize;
    bool isOrdered = hasData || forward.packet.flags.isFinal; // Bare acknowledgements need not wait.
    TransferRole role = hasData ? roleOf(flow, forward.packet) : TransferRole::Part;
    if (!flow.queuedPackets.empty() && isOrdered && role != TransferRole::Repeat) {
        insertPacket(flow.queuedPackets, std::move(forward));
        return;
    }
    bool isBetweenRequests = hasData && !flow.requestAt && flow.state == FlowState::Open;
    bool isEarly = isBetweenRequests && role == TransferRole::Early;
    bool endsEarly = !hasData && forward.packet.flags.isFinal && !forward.packet.flags.isReset;
    if (isEarly || (endsEarly && !flow.earlyPackets.empty())) {
        holdEarly(flow, std::move(forward), now, effects);
        return;
    }
    bool completesRequest = isBetweenRequests && role == TransferRole::Completing;
    if (completesRequest && queueRequest(flow, forward, now, effects))
        return;
    trackCallerPacket(flow, forward.packet, now, effects);
    deliverToTarget(forward, effects);
    deliverCoveredEarly(flow, now, effects);
}

std::uint32_t TransitAgent::requestLimit() const { return m_capacity.limit(load().slots); }

bool TransitAgent::hasFreeSlot(TimePoint now) const
{
    std::uint32_t limit = requestLimit();
    // A packet whose flow only the target knows may be a request.
    if (!limit || m_busy + m_askedRequests < limit + slotOversubscription)
        return true;
    // Requests whose answer was not observed must not block the queue forever.
    return now >= m_lastAnswerAt + slotAnswerTimeout;
}

Duration TransitAgent::meanStartInterval() const
{
    return m_serviceTimes.mean() / std::max<std::uint32_t>(requestLimit(), 1);
}

std::size_t TransitAgent::queueCapacity(Duration timeout) const
{
    Duration interval = meanStartInterval();
    if (!interval.us)
        interval = initialServiceTime / std::max<std::uint32_t>(requestLimit(), 1);
    auto startedWithinTimeout = static_cast<std::size_t>(timeout.us / std::max<std::int64_t>(interval.us, 1));
    return std::clamp(startedWithinTimeout, minQueueCapacity, maxQueueCapacity);
}

WaitingRequest TransitAgent::waitingRequest(const FlowTuple& flow, TimePoint startedAt) const
{
    WaitingRequest request { .flow = flow, .startedAt = startedAt };
    request.serviceTime = m_serviceTimes.expected(flow.service);
    if (const RouteRecord* route = m_fleet.view().routeAt(flow.service)) {
        request.priority = route->priority;
        request.latencyObjective = route->latencyObjective;
        request.timeout = route->timeout;
    }
    return request;
}

bool TransitAgent::isOverloadedFor(Endpoint route, TimePoint now) const
{
    WaitingRequest request = waitingRequest({ {}, route }, now);
    // With a full queue, each further request takes the place of one that then is not answered at all. Requests in time
    // are still let in as far as they keep the slots busy.
    if (m_queue.size() < queueCapacity(request.timeout))
        return false;
    std::size_t ahead = m_queue.inTimeCount(request.priority, now) + m_awaitingFirstRequest;
    Duration wait = meanStartInterval() * static_cast<std::int64_t>(ahead);
    return wait > (request.latencyObjective - request.serviceTime - callerNetworkDelay) / 2;
}

TimePoint TransitAgent::estimateRequestStart(const HeldFlow& flow, const TransitPacket& packet, TimePoint now)
{
    if (flow.transferStartedAt)
        return *flow.transferStartedAt;
    bool isRetransmission = flow.queuedStartedAt && flow.queuedSequence == packet.sequence;
    if (isRetransmission)
        return *flow.queuedStartedAt;
    // A caller sends its request as soon as the flow is open. If the data comes later than a retransmission would, the
    // flow was opened in advance.
    bool wasOpenedForRequest
        = flow.isFirstRequest && now < flow.startedAt + secondRetransmissionAge + firstRetransmissionAge;
    return wasOpenedForRequest ? flow.startedAt : now;
}

void TransitAgent::insertPacket(std::vector<ForwardMessage>& packets, ForwardMessage forward)
{
    bool isRetransmission = std::any_of(packets.begin(), packets.end(), [&](const ForwardMessage& earlier) {
        return earlier.packet.sequence == forward.packet.sequence && earlier.packet.dataSize == forward.packet.dataSize
            && earlier.packet.flags.isFinal == forward.packet.flags.isFinal;
    });
    if (isRetransmission || packets.size() >= maxPacketsPerLocate)
        return;
    auto position = std::upper_bound(
        packets.begin(), packets.end(), forward, [](const ForwardMessage& added, const ForwardMessage& other) {
            return static_cast<std::int32_t>(added.packet.sequence - other.packet.sequence) < 0; // Numbers wrap around.
        });
    packets.insert(position, std::move(forward));
}

void TransitAgent::abandonRequest(HeldFlow& flow, const WaitingRequest& request, TimePoint now, TransitEffects& effects)
{
    effects.push_back(CountEvent { TransitCounter::RequestsAbandoned });
    if (std::exchange(flow.hasLoggedAbandoned, true))
        return;
    effects.push_back(WriteLog { "request_abandoned",
        { { "request", flow.requestId }, { "flow", toString(request.flow.caller) },
            { "to", toString(request.flow.service) }, { "target", m_targetId },
            { "age_ms", (now - request.startedAt).us / 1000 }, { "budget_ms", request.timeout.us / 1000 },
            { "busy", static_cast<std::int64_t>(m_busy) }, { "queued", static_cast<std::int64_t>(m_queue.size()) } } });
}

bool TransitAgent::queueRequest(HeldFlow& flow, ForwardMessage& forward, TimePoint now, TransitEffects& effects)
{
    if (m_queue.empty() && hasFreeSlot(now))
        return false;
    WaitingRequest request = waitingRequest(forward.packet.flow, estimateRequestStart(flow, forward.packet, now));
    bool isRetransmission = flow.queuedStartedAt && flow.queuedSequence == forward.packet.sequence;
    if (isRetransmission && flow.hasExpired && now >= TransitQueue::latestStartOf(request)) {
        abandonRequest(flow, request, now, effects);
        return true;
    }
    stopTransfer(flow);
    flow.isFirstRequest = false;
    flow.hasExpired = false;
    flow.queuedSequence = forward.packet.sequence;
    flow.queuedStartedAt = request.startedAt;
    effects.push_back(CountEvent { TransitCounter::RequestsQueued });
    effects.push_back(WriteLog { "request_queued",
        { { "request", requestIdFor(flow, forward.packet) }, { "flow", toString(request.flow.caller) },
            { "to", toString(request.flow.service) }, { "target", m_targetId },
            { "priority", static_cast<std::int64_t>(request.priority) },
            { "age_ms", (now - request.startedAt).us / 1000 }, { "busy", static_cast<std::int64_t>(m_busy) },
            { "queued", static_cast<std::int64_t>(m_queue.size()) },
            { "route_revision",
                static_cast<std::int64_t>(m_fleet.view().routePositionAt(request.flow.service).revision.value) } } });
    flow.queuedPackets.push_back(std::move(forward));
    // The short last packet of a request often arrives before the full first one.
    for (auto& early : std::exchange(flow.earlyPackets, {}))
        insertPacket(flow.queuedPackets, std::move(early));
    if (auto evicted = m_queue.push(request, queueCapacity(request.timeout), now, meanStartInterval()))
        evictRequest(*evicted, effects);
    return true;
}

void TransitAgent::evictRequest(const WaitingRequest& request, TransitEffects& effects)
{
    auto found = m_flows.find(request.flow);
    if (found == m_flows.end())
        return;
    effects.push_back(CountEvent { TransitCounter::RequestsEvicted });
    effects.push_back(WriteLog { "request_evicted",
        { { "flow", toString(request.flow.caller) }, { "to", toString(request.flow.service) }, { "target", m_targetId },
            { "priority", static_cast<std::int64_t>(request.priority) }, { "busy", static_cast<std::int64_t>(m_busy) },
            { "queued", static_cast<std::int64_t>(m_queue.size()) } } });
    found->second.queuedPackets.clear(); // Queued again when the caller retransmits it.
}

void TransitAgent::releaseRequests(TimePoint now, TransitEffects& effects)
{
    while (auto expired = m_queue.popExpired(now))
        dropExpiredRequest(*expired, now, effects);
    while (auto expired = m_unknownQueue.popExpired(now))
        m_unknownPackets.erase(expired->flow);
    while ((!m_queue.empty() || !m_unknownQueue.empty()) && hasFreeSlot(now)) {
        bool isUnknown = m_queue.empty() || (m_isUnknownNext && !m_unknownQueue.empty());
        m_isUnknownNext = !isUnknown;
        if (isUnknown) {
            releaseUnknown(now, effects);
            continue;
        }
        Duration interval = meanStartInterval() * (m_unknownQueue.empty() ? 1 : 2); // Both queues take turns.
        auto request = m_queue.pop(now, interval);
        releaseRequest(*request, now, effects);
    }
}

void TransitAgent::dropExpiredRequest(const WaitingRequest& request, TimePoint now, TransitEffects& effects)
{
    auto found = m_flows.find(request.flow);
    if (found == m_flows.end())
        return;
    HeldFlow& flow = found->second;
    auto queuedPackets = std::exchange(flow.queuedPackets, {});
    flow.hasExpired = true;
    effects.push_back(CountEvent { TransitCounter::RequestsExpired });
    effects.push_back(WriteLog { "request_expired",
        { { "request", queuedPackets.empty() ? std::string() : requestIdFor(flow, queuedPackets.front().packet) },
            { "flow", toString(request.flow.caller) }, { "to", toString(request.flow.service) },
            { "waited_ms", (now - request.startedAt).us / 1000 }, { "budget_ms", request.timeout.us / 1000 },
            { "busy", static_cast<std::int64_t>(m_busy) }, { "queued", static_cast<std::int64_t>(m_queue.size()) } } });
}

void TransitAgent::recordRescue(const WaitingRequest& request, const std::vector<ForwardMessage>& queuedPackets,
    TimePoint now, TransitEffects& effects)
{
    effects.push_back(CountEvent { TransitCounter::RequestsRescued });
    effects.push_back(WriteLog { "request_rescued",
        { { "request", queuedPackets.empty() ? std::string() : queuedPackets.front().packet.requestId },
            { "flow", toString(request.flow.caller) }, { "to", toString(request.flow.service) },
            { "target", m_targetId }, { "priority", static_cast<std::int64_t>(request.priority) },
            { "waited_ms", (now - request.startedAt).us / 1000 }, { "budget_ms", request.timeout.us / 1000 },
            { "service_ms", request.serviceTime.us / 1000 }, { "start_interval_us", meanStartInterval().us },
            { "busy", static_cast<std::int64_t>(m_busy) }, { "queued", static_cast<std::int64_t>(m_queue.size()) } } });
}

void TransitAgent::releaseRequest(const WaitingRequest& request, TimePoint now, TransitEffects& effects)
{
    auto found = m_flows.find(request.flow);
    if (found == m_flows.end())
        return;
    HeldFlow& flow = found->second;
    auto queuedPackets = std::move(flow.queuedPackets);
    flow.queuedPackets.clear();
    effects.push_back(RecordTime { TransitDistribution::QueueTime, now - request.startedAt });
    if (request.isRescued)
        recordRescue(request, queuedPackets, now, effects);
    for (auto& forward : queuedPackets) {
        trackCallerPacket(flow, forward.packet, now, effects);
        deliverToTarget(forward, effects);
    }
    if (!flow.requestAt)
        return;
    m_lastAnswerAt = std::max(m_lastAnswerAt,
        now - slotAnswerTimeout + tickInterval); // While answers are missing, one request per tick is released.
}

} // namespace hawthorncroft
