#include "caller_base.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    /** Permanent refusals, for which a retry cannot succeed. */
    constexpr std::array finalReasons { Reason::UnknownName, Reason::TooLarge, Reason::Cancelled,
        Reason::DeadlinePassed };

    /** Temporary refusals of a KeepAlive or Data. The flow stays bound to its agent. */
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
    setTimer(flow);
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
    m_openHealth.recordSuccess();
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
    // Computed from the time of receipt. The network delay only makes the agent's deadline earlier than the caller's,
    // never later.
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
    // A duplicate of the Opened in use, or an older binding at the same target, must not be cancelled.
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
    // A delayed refusal of an Open does not apply to the Execute sent under the binding of another Opened.
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
    // No Execute was sent under a binding that is still valid, so the request did not run, whatever verdict the packet
    // carries.
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
        // Feeds and uploads are few and must be restored. Without budget they retry at the lowest rate.
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
