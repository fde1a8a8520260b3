#include "transit_agent_base.h"

#include "table/transit_limits.h"

namespace hawthorncroft {

void TransitAgent::recordDelivery(TimePoint now)
{
    if (!m_unansweredSince)
        m_unansweredSince = now;
}

void TransitAgent::recordTargetActivity()
{
    m_unansweredSince.reset();
    m_refusedProbes = 0;
    m_isTargetGone = false;
}

void TransitAgent::probe(TimePoint now, TransitEffects& effects)
{
    m_probedAt = now;
    effects.push_back(ProbeTarget {});
}

void TransitAgent::tickProbe(TimePoint now, TransitEffects& effects)
{
    bool isSilent = m_unansweredSince && now >= *m_unansweredSince + targetProbeDelay;
    Duration gap = m_refusedProbes ? refusedProbeInterval : probeInterval;
    if ((isSilent || m_refusedProbes) && now >= m_probedAt + gap)
        probe(now, effects);
}

void TransitAgent::onTargetProbe(bool isRunning, TimePoint now, TransitEffects& effects)
{
    if (isRunning) {
        m_refusedProbes = 0;
        m_isTargetGone = false;
        return;
    }
    ++m_refusedProbes;
    if (m_refusedProbes < goneTargetRefusals || m_isTargetGone)
        return;
    m_isTargetGone = true;
    effects.push_back(WriteLog { "target_gone",
        { { "target", m_targetId }, { "flows", static_cast<std::int64_t>(m_flows.size()) },
            { "busy", static_cast<std::int64_t>(m_busy) },
            { "unanswered_ms", m_unansweredSince ? (now - *m_unansweredSince).us / 1000 : -1 } } });
    endAllFlows(effects);
    m_capacity.reset(now);
    // The target holds no flows now and gets new ones only through this agent.
    m_knowsAllFlows = true;
    m_unansweredSince.reset();
}

void TransitAgent::endAllFlows(TransitEffects& effects)
{
    auto opens = std::exchange(m_opens, {});
    for (auto& [flow, open] : opens)
        decline(std::move(open.forward), DeclineReason::Silent, effects);
    std::vector<FlowTuple> flows;
    for (const auto& [flow, held] : m_flows) {
        flows.push_back(flow);
        // A caller that waits for an answer may send nothing that would reveal the loss, so it gets a reset.
        bool isWaiting
            = held.state == FlowState::Open && (held.requestAt || held.isTransferring || !held.queuedPackets.empty());
        if (!isWaiting)
            continue;
        effects.push_back(CountEvent { TransitCounter::FlowsLost });
        effects.push_back(WriteLog { "flow_ended_with_target",
            { { "request", held.requestId }, { "flow", toString(flow.caller) }, { "to", toString(flow.service) },
                { "target", m_targetId } } });
        if (held.acknowledged)
            effects.push_back(ResetCaller { flow, *held.acknowledged });
    }
    for (const auto& flow : flows)
        forgetFlow(flow);
}

} // namespace hawthorncroft
