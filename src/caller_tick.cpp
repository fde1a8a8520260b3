#include "caller_base.h"

#include <algorithm>
#include <array>

namespace hawthorncroft {

const std::array<CallerCore::Resend, static_cast<std::size_t>(CallerCore::State::End)> CallerCore::resendByState {
    &CallerCore::sendOpen, // Opening
    &CallerCore::beginOpening, // Waiting
    &CallerCore::sendExecute, // Executing
    &CallerCore::sendKeepAlive, // Feeding
    &CallerCore::sendChunks, // Uploading
    &CallerCore::sendKeepAlive, // Renewing
    &CallerCore::sendClose, // Committing
    &CallerCore::sendClose, // Closing
    &CallerCore::sendCancel, // Cancelling
    &CallerCore::sendQuery, // Querying
};

std::optional<TimePoint> CallerCore::nextTimer() const
{
    if (m_timers.empty())
        return std::nullopt;
    return m_timers.begin()->first;
}

void CallerCore::onTick(TimePoint now, CallerEffects& effects)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        FlowId id = m_timers.begin()->second;
        tick(now, *find(id), effects);
        if (Flow* remaining = find(id))
            setTimer(*remaining);
    }
}

void CallerCore::tick(TimePoint now, Flow& flow, CallerEffects& effects)
{
    if (now >= flow.deadline && flow.state != State::Feeding)
        return expire(now, flow, effects);
    if (now >= flow.leaseEndsAt)
        return expire(now, flow, effects);
    if (now >= flow.hedgeAt)
        hedge(now, flow, effects);
    if (now >= flow.keepAliveAt) {
        sendKeepAlive(now, flow, effects);
        flow.keepAliveAt = now + withJitter(m_settings.resendMax);
    }
    if (now >= flow.resendAt)
        resend(now, flow, effects);
}

void CallerCore::expire(TimePoint now, Flow& flow, CallerEffects& effects)
{
    if (flow.kind == FlowKind::Feed && flow.state != State::Cancelling && flow.state != State::Closing)
        return breakFeed(now, flow, feedOutcome(flow), effects);
    if (flow.executed)
        return finish(flow, { .verdict = Verdict::MayHaveRun, .reason = Reason::NoAnswer }, effects);
    Reason reason = flow.refusal.reason == Reason::None ? Reason::DeadlinePassed : flow.refusal.reason;
    if (flow.state == State::Cancelling)
        reason = Reason::Cancelled;
    finish(flow, { .verdict = Verdict::DidNotRun, .reason = reason }, effects);
}

Outcome CallerCore::feedOutcome(const Flow& flow)
{
    Verdict verdict = flow.opened ? Verdict::MayHaveRun : Verdict::DidNotRun;
    bool wasRefused = !flow.isBound() && flow.refusal.reason != Reason::None;
    return { .verdict = verdict, .reason = wasRefused ? flow.refusal.reason : Reason::NoAnswer };
}

void CallerCore::enter(Flow& flow, State state)
{
    flow.state = state;
    flow.sends = 0;
    flow.resendAt = never;
}

void CallerCore::resend(TimePoint now, Flow& flow, CallerEffects& effects)
{
    Resend action = resendByState[static_cast<std::size_t>(flow.state)];
    bool setsOwnTimer = flow.state == State::Waiting || flow.state == State::Uploading;
    if (setsOwnTimer)
        return (this->*action)(now, flow, effects);
    if (flow.sends)
        ++m_counters.resent;
    (this->*action)(now, flow, effects);
    setNextResend(now, flow);
}

void CallerCore::setNextResend(TimePoint now, Flow& flow)
{
    flow.resendAt = now + backoff(flow.sends, m_settings.resendMax);
    ++flow.sends;
}

void CallerCore::setTimer(Flow& flow)
{
    TimePoint timerAt = std::min({ flow.hedgeAt, flow.resendAt, flow.keepAliveAt, flow.leaseEndsAt });
    if (flow.state != State::Feeding)
        timerAt = std::min(timerAt, flow.deadline);
    if (timerAt == flow.timerAt)
        return;
    m_timers.erase({ flow.timerAt, flow.id });
    flow.timerAt = timerAt;
    m_timers.emplace(timerAt, flow.id);
}

Duration CallerCore::backoff(std::uint32_t tries, Duration longest)
{
    constexpr std::uint32_t maxDoublings = 20;
    Duration delay = m_settings.resendAfter * (std::int64_t(1) << std::min(tries, maxDoublings));
    return withJitter(std::min(delay, longest));
}

Duration CallerCore::withJitter(Duration duration)
{
    m_random = mix64(m_random);
    // Adds up to a quarter of the duration, so that callers that lost packets at the same time do not retransmit at the
    // same time.
    constexpr std::int64_t jitterDivisor = 4;
    std::int64_t range = duration.us / jitterDivisor + 1;
    return duration + microseconds(static_cast<std::int64_t>(m_random % static_cast<std::uint64_t>(range)));
}

} // namespace hawthorncroft
