#include "caller_base.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    constexpr double minBudgetCapacity = 10; ///< Capacity of the retry budget if the initial budget is smaller.

}

CallerCore::CallerCore(const CallerSettings& settings)
    : m_settings(settings)
    , m_budget({ .atStart = static_cast<double>(settings.retryReserve),
          .reserve = std::max<double>(settings.retryReserve, minBudgetCapacity),
          .refillPerSecond = 0 })
    , m_nextFlow(settings.firstFlow)
    , m_nonce(mix64(settings.seed, settings.id.value))
    , m_random(mix64(settings.id.value, settings.seed))
{
}

Reason CallerCore::refusalOf(const std::string& service, std::size_t payload, std::size_t limit) const
{
    if (service.size() > maxNameBytes || payload > limit)
        return Reason::TooLarge;
    return m_flows.size() >= maxCallerFlows ? Reason::Overloaded : Reason::None;
}

CallerCore::Flow& CallerCore::addFlow(FlowId id, FlowKind kind, std::string service, std::vector<std::uint8_t> payload)
{
    Flow& flow = m_flows[id];
    flow.id = id;
    flow.kind = kind;
    flow.service = std::move(service);
    flow.payload = std::move(payload);
    m_timers.emplace(flow.timerAt, id);
    return flow;
}

Started CallerCore::startRequest(TimePoint now, RequestOptions options, CallerEffects& effects)
{
    Reason refused = refusalOf(options.service, options.payload.size(), maxPayloadBytes);
    if (refused != Reason::None)
        return { .refused = refused };
    FlowId id(m_nextFlow.value++);
    Flow& flow = addFlow(id, FlowKind::Request, std::move(options.service), std::move(options.payload));
    flow.deadline = now + options.deadline;
    flow.idempotent = options.idempotent;
    beginOpening(now, flow, effects);
    return { .flow = id };
}

Started CallerCore::openFeed(TimePoint now, FeedOptions options, CallerEffects& effects)
{
    Reason refused = refusalOf(options.service, options.payload.size(), maxPayloadBytes);
    if (refused != Reason::None)
        return { .refused = refused };
    FlowId id(m_nextFlow.value++);
    Flow& flow = addFlow(id, FlowKind::Feed, std::move(options.service), std::move(options.payload));
    flow.deadline = now + options.deadline;
    flow.feedDeadline = options.deadline;
    flow.reopen = options.reopen;
    beginOpening(now, flow, effects);
    return { .flow = id };
}

Started CallerCore::startUpload(TimePoint now, UploadOptions options, CallerEffects& effects)
{
    Reason refused = refusalOf(options.service, options.content.size(), maxUploadChunks * maxPayloadBytes);
    if (refused != Reason::None)
        return { .refused = refused };
    FlowId id(m_nextFlow.value++);
    Flow& flow = addFlow(id, FlowKind::Upload, std::move(options.service), std::move(options.content));
    flow.deadline = now + options.deadline;
    flow.chunks = static_cast<std::uint32_t>((flow.payload.size() + maxPayloadBytes - 1) / maxPayloadBytes);
    beginOpening(now, flow, effects);
    return { .flow = id };
}

Started CallerCore::startQuery(TimePoint now, const QueryOptions& options, CallerEffects& effects)
{
    auto finished = m_finished.find(options.flow);
    bool isKnown = options.binding.reservation || finished != m_finished.end();
    if (!isKnown || find(options.flow))
        return { .refused = Reason::Unknown };
    std::string service = options.binding.reservation ? options.service : finished->second.name;
    Reason refused = refusalOf(service, 0, 0);
    if (refused != Reason::None)
        return { .refused = refused };
    Flow& flow = addFlow(options.flow, FlowKind::Request, std::move(service), {});
    flow.deadline = now + options.deadline;
    flow.binding = options.binding.reservation ? options.binding : finished->second.binding;
    flow.bindNonce = ++m_nonce;
    flow.executed = true;
    enter(flow, State::Querying);
    resend(now, flow, effects);
    setTimer(flow);
    return { .flow = options.flow };
}

bool CallerCore::cancel(TimePoint now, FlowId id, CallerEffects& effects)
{
    Flow* flow = find(id);
    if (!flow)
        return false;
    if (!flow->isBound()) {
        finish(*flow, { .verdict = Verdict::DidNotRun, .reason = Reason::Cancelled }, effects);
        return true;
    }
    if (flow->kind == FlowKind::Feed)
        return closeFlow(now, id, effects);
    enter(*flow, State::Cancelling);
    resend(now, *flow, effects);
    setTimer(*flow);
    return true;
}

bool CallerCore::closeFlow(TimePoint now, FlowId id, CallerEffects& effects)
{
    Flow* flow = find(id);
    if (!flow || flow->kind != FlowKind::Feed || !flow->isBound())
        return cancel(now, id, effects);
    enter(*flow, State::Closing);
    flow->executed = true;
    flow->deadline = now + m_settings.lease;
    resend(now, *flow, effects);
    setTimer(*flow);
    return true;
}

void CallerCore::finish(Flow& flow, Outcome outcome, CallerEffects& effects, std::vector<std::uint8_t> payload)
{
    if (outcome.verdict == Verdict::Done)
        m_budget.recordSuccess(m_settings.retryPercent);
    effects.emplace_back(Finished { .flow = flow.id, .outcome = outcome, .payload = std::move(payload) });
    recordFinished(flow);
    erase(flow);
}

void CallerCore::breakFeed(TimePoint now, Flow& flow, Outcome outcome, CallerEffects& effects)
{
    recordFinished(flow);
    FeedOptions reopenOptions {
        .service = std::move(flow.service), .payload = std::move(flow.payload), .deadline = flow.feedDeadline
    };
    bool reopen = flow.reopen && flow.state == State::Feeding;
    FlowBroken broken { .flow = flow.id, .outcome = outcome };
    erase(flow);
    std::size_t brokenIndex = effects.size();
    effects.emplace_back(broken);
    if (!reopen)
        return;
    FlowId reopened = openFeed(now, std::move(reopenOptions), effects).flow;
    std::get<FlowBroken>(effects[brokenIndex]).reopenedAs = reopened;
}

void CallerCore::recordFinished(const Flow& flow)
{
    if (!flow.isBound())
        return;
    if (m_finished.insert_or_assign(flow.id, packetFor(flow, PacketKind::Invalid)).second)
        m_finishedOrder.push_back(flow.id);
    if (m_finishedOrder.size() <= maxFinishedFlows)
        return;
    m_finished.erase(m_finishedOrder.front());
    m_finishedOrder.pop_front();
}

void CallerCore::erase(Flow& flow)
{
    m_timers.erase({ flow.timerAt, flow.id });
    FlowId id = flow.id;
    m_flows.erase(id);
}

CallerCore::Flow* CallerCore::find(FlowId id)
{
    auto entry = m_flows.find(id);
    return entry == m_flows.end() ? nullptr : &entry->second;
}

Binding CallerCore::bindingOf(FlowId id) const
{
    if (auto open = m_flows.find(id); open != m_flows.end())
        return open->second.binding;
    auto finished = m_finished.find(id);
    return finished == m_finished.end() ? Binding() : finished->second.binding;
}

} // namespace hawthorncroft
