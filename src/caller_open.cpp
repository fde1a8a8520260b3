#include "caller_base.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    /** Refusals that another try cannot change. */
    constexpr std::array finalReasons { Reason::UnknownName, Reason::TooLarge, Reason::Cancelled,
        Reason::DeadlinePassed };

    /** Refusals of a KeepAlive or Data that pass by themselves; the flow stays at its agent. */
    constexpr std::array temporaryReasons { Reason::NotReady, Reason::Isolated, Reason::Overloaded, Reason::Cold,
        Reason::Draining, Reason::RetryBudget };

    template <typename List> bool contains(const List& list, Reason reason)
    {
        return std::find(list.begin(), list.end(), reason) != list.end();
    }

}

void CallerCore::beginOpening(TimePoint now, Flow& flow, CallerEffects& effects)
{
    enter(flow, State::Opening);
    flow.openNonces.clear();
    flow.hedgeAt = now + withJitter(m_settings.hedgeAfter);
    resend(now, flow, effects);
    setWake(flow);
}

void CallerCore::hedge(TimePoint now, Flow& flow, CallerEffects& effects)
{
    flow.hedgeAt = never;
    if (flow.state != State::Opening || (m_openHealth.needsBudget() && !m_budget.take(now)))
        return;
    ++m_counters.hedged;
    ++flow.attempt;
    sendOpen(now, flow, effects);
}

void CallerCore::onOpened(TimePoint now, Flow& flow, const Packet& packet, CallerEffects& effects)
{
    if (!packet.hasBinding() || packet.flowKind != flow.kind)
        return onStray(now, flow, packet, effects);
    m_openHealth.noteSuccess();
    if (flow.isBound())
        return release(packetFor(flow, PacketKind::Cancel), packet, effects);
    if (now >= flow.deadline)
        return expire(now, flow, effects);
    bool isRefused = flow.refused.reservation && isSameReservation(flow.refused, packet.binding);
    if (isRefused)
        return onStray(now, flow, packet, effects);
    flow.binding = packet.binding;
    flow.bindNonce = ++m_nonce;
    flow.executed = false;
    // Counted from the receipt, so the agent's deadline is never later than the true one.
    flow.agentDeadline = packet.agentTime + (flow.deadline - now);
    flow.hedgeAt = never;
    begin(now, flow, effects);
}

void CallerCore::begin(TimePoint now, Flow& flow, CallerEffects& effects)
{
    flow.openNonces.clear();
    if (flow.kind == FlowKind::Request) {
        enter(flow, State::Executing);
        flow.answer = {};
        return resend(now, flow, effects);
    }
    flow.leaseEndsAt = now + m_settings.lease;
    if (flow.kind == FlowKind::Feed) {
        enter(flow, State::Feeding);
        return resend(now, flow, effects);
    }
    flow.keepAliveAt = now + withJitter(m_settings.keepAlive);
    flow.nextChunk = 1;
    flow.acknowledged = 0;
    flow.inFlight.clear();
    enter(flow, flow.chunks ? State::Uploading : State::Renewing);
    resend(now, flow, effects);
}

void CallerCore::release(Packet inUse, const Packet& opened, CallerEffects& effects)
{
    // A duplicate of the Opened in use and an older binding of the same target must not be cancelled.
    if (!opened.hasBinding() || opened.binding.target == inUse.binding.target)
        return;
    inUse.kind = PacketKind::Cancel;
    inUse.binding = opened.binding;
    inUse.nonce = 0;
    ++m_counters.released;
    send(std::move(inUse), effects);
}

void CallerCore::onRefused(TimePoint now, Flow& flow, const Packet& packet, CallerEffects& effects)
{
    if (!flow.isBound())
        return onRefusedOpen(now, flow, packet, effects);
    // A late refusal of an Open says nothing about the Execute that followed another Opened.
    if (!isFromBinding(flow, packet))
        return onStray(now, flow, packet, effects);
    if (packet.outcome.verdict == Verdict::None)
        return;
    bool isLongLived = flow.state == State::Feeding || flow.state == State::Uploading || flow.state == State::Renewing;
    if (isLongLived && contains(temporaryReasons, packet.outcome.reason))
        return;
    if (flow.state == State::Feeding)
        return breakFeed(now, flow, packet.outcome, effects);
    if (packet.outcome.verdict != Verdict::DidNotRun && flow.executed)
        return finish(flow, packet.outcome, effects);
    Outcome outcome = packet.outcome;
    outcome.verdict = Verdict::DidNotRun;
    retryOrEnd(now, flow, outcome, effects);
}

void CallerCore::onRefusedOpen(TimePoint now, Flow& flow, const Packet& packet, CallerEffects& effects)
{
    if (flow.state != State::Opening)
        return onStray(now, flow, packet, effects);
    if (packet.nonce && !std::erase(flow.openNonces, packet.nonce))
        return onStray(now, flow, packet, effects);
    if (!packet.nonce)
        flow.openNonces.clear();
    Outcome outcome = packet.outcome;
    // No Execute was sent under any binding that still holds, so the request did not run whatever the packet says.
    outcome.verdict = Verdict::DidNotRun;
    outcome.retryAfterMs = std::max(outcome.retryAfterMs, flow.refusal.retryAfterMs);
    flow.refusal = outcome;
    bool isOtherOpenPending = !flow.openNonces.empty();
    if (isOtherOpenPending && !contains(finalReasons, outcome.reason))
        return;
    retryOrEnd(now, flow, outcome, effects);
}

void CallerCore::retryOrEnd(TimePoint now, Flow& flow, Outcome outcome, CallerEffects& effects)
{
    flow.executed = false;
    flow.refusal = outcome;
    if (contains(finalReasons, outcome.reason) || flow.state == State::Cancelling || flow.state == State::Querying)
        return endRefused(now, flow, outcome, effects);
    Duration wait = std::max(milliseconds(outcome.retryAfterMs), backoff(flow.retries, m_settings.retryMax));
    bool isTooLate = now + wait >= flow.deadline;
    if (isTooLate)
        return endRefused(now, flow, outcome, effects);
    if (!m_budget.take(now)) {
        if (flow.kind == FlowKind::Request) {
            outcome.reason = Reason::RetryBudget;
            return endRefused(now, flow, outcome, effects);
        }
        // Feeds and uploads are few and must come back, so they try again at the lowest rate instead.
        wait = std::max(wait, withJitter(m_settings.retryMax));
    }
    scheduleRetry(flow, now + wait);
}

void CallerCore::scheduleRetry(Flow& flow, TimePoint openAt)
{
    enter(flow, State::Waiting);
    flow.resendAt = openAt;
    if (flow.isBound())
        flow.refused = flow.binding;
    flow.binding = {};
    flow.hedgeAt = flow.keepAliveAt = flow.leaseEndsAt = never;
    flow.refusal.retryAfterMs = 0;
    ++flow.retries;
    ++flow.attempt;
    ++m_counters.retried;
}

void CallerCore::endRefused(TimePoint now, Flow& flow, Outcome outcome, CallerEffects& effects)
{
    if (flow.kind == FlowKind::Feed && flow.state != State::Cancelling && flow.state != State::Closing)
        return breakFeed(now, flow, outcome, effects);
    finish(flow, outcome, effects);
}

} // namespace hawthorncroft
