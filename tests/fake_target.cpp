#include "fake_fleet.h"

#include <algorithm>

namespace hawthorncroft::fake {

namespace {

    constexpr Duration tickInterval = milliseconds(10);
    constexpr Duration healthInterval
        = milliseconds(200); ///< Between health reports of a target; a report lags by up to this time.
    constexpr Duration enforcementDelay = seconds(3); ///< Properties P4 and P8 must hold after this time.
    constexpr std::uint32_t agentAddress = 0x7f000002;

    Endpoint agentEndpoint(std::uint32_t target) { return { agentAddress, static_cast<std::uint16_t>(1000 + target) }; }

}

void Fleet::startAgent(std::uint32_t target)
{
    auto& agent = m_agents[target];
    bool isFirst = !agent;
    agent = std::make_unique<Agent>();
    agent->core
        = std::make_unique<AgentCore>(AgentSettings { .target = TargetId(target), .endpoint = agentEndpoint(target) },
            AgentSeeds { .incarnation = Incarnation(++m_incarnations), .seed = m_random() }, m_keyring, agent->effects);
    std::vector<VersionedDocument> documents;
    for (const auto& [key, document] : m_documents)
        documents.push_back(document);
    agent->core->onConfiguration(m_now, documents, Revision(m_revision));
    agent->core->confirm(m_now);
    reportHealth(target);
    if (isFirst) {
        tickAgent(target);
        after(healthInterval, [this, target] { pollHealth(target); });
    }
}

void Fleet::pollHealth(std::uint32_t target)
{
    reportHealth(target);
    after(healthInterval, [this, target] { pollHealth(target); });
}

AgentCore& Fleet::agent(std::uint32_t target) { return *m_agents[target]->core; }

void Fleet::reportHealth(std::uint32_t target)
{
    FakeTarget& t = m_targets[target];
    m_agents[target]->core->onTargetHealth(m_now, t.reportedState, 0, t.incarnation);
    applyAgentEffects(target);
}

void Fleet::tickAgent(std::uint32_t target)
{
    m_agents[target]->core->onTick(m_now);
    applyAgentEffects(target);
    after(tickInterval, [this, target] { tickAgent(target); });
}

void Fleet::restartAgent(std::uint32_t target) { startAgent(target); }

void Fleet::restartTarget(std::uint32_t target)
{
    FakeTarget& t = m_targets[target];
    t.incarnation = Incarnation(++m_incarnations);
    t.running = 0;
    t.feeds.clear();
    t.chunks.clear();
    t.coldSince = m_now;
}

void Fleet::turnCold(std::uint32_t target, std::uint32_t slowdown)
{
    m_targets[target].coldSince = m_now;
    m_targets[target].slowdown = slowdown;
    after(m_options.warmUpTime, [this, target] { m_targets[target].slowdown = 1; });
}

void Fleet::drainTarget(std::uint32_t target)
{
    m_targets[target].reportedState = TargetState::Draining;
    m_targets[target].drainingSince = m_now;
}

std::uint32_t Fleet::currentCapacity(const FakeTarget& target) const
{
    if (!target.coldSince.us || m_now - target.coldSince >= m_options.warmUpTime)
        return m_options.slots;
    double progress = static_cast<double>((m_now - target.coldSince).us) / static_cast<double>(m_options.warmUpTime.us);
    double share = m_options.coldShare + (1 - m_options.coldShare) * progress;
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(share * m_options.slots));
}

void Fleet::recordWork(std::uint32_t target, const FlowKey& key, bool isNew)
{
    FakeTarget& t = m_targets[target];
    t.packetsWhileOutOfService += t.outOfServiceSince.us && m_now - t.outOfServiceSince > enforcementDelay;
    t.newFlowsWhileDraining += isNew && t.drainingSince.us && m_now - t.drainingSince > enforcementDelay;
    auto log = m_flows.find(key);
    m_misrouted += log == m_flows.end() || (log->second.name != serviceName && log->second.name != "curier-route");
}

void Fleet::runAtTarget(
    std::uint32_t target, const FlowKey& key, ReservationId request, std::vector<std::uint8_t> answer)
{
    FakeTarget& t = m_targets[target];
    ++m_executions[key];
    m_flows[key].target = TargetId(target);
    ++t.executed;
    ++t.running;
    t.peak = std::max(t.peak, t.running);
    bool isOverloaded = t.running > currentCapacity(t);
    t.overloads += isOverloaded;
    double factor = 0.5 + chance();
    Duration time { static_cast<std::int64_t>(static_cast<double>(m_options.serviceTime.us) * factor) * t.slowdown };
    after(time, [this, target, key, request, answer = std::move(answer), incarnation = t.incarnation, isOverloaded] {
        FakeTarget& now = m_targets[target];
        bool hasRestarted = now.incarnation != incarnation;
        now.running -= !hasRestarted;
        if (hasRestarted || isOverloaded)
            m_agents[target]->core->onTargetFailed(m_now, key, request, TargetFailure::Failed);
        else
            m_agents[target]->core->onTargetAnswer(m_now, key, request, answer);
        applyAgentEffects(target);
    });
}

void Fleet::openFeedAtTarget(std::uint32_t target, const FlowKey& key)
{
    FakeTarget& t = m_targets[target];
    t.feeds.insert(key);
    m_agents[target]->core->onTargetFeedOpened(m_now, key);
    if (m_options.feedInterval.us)
        after(m_options.feedInterval,
            [this, target, key, incarnation = t.incarnation] { sendFeedEvent(target, key, incarnation); });
}

void Fleet::sendFeedEvent(std::uint32_t target, const FlowKey& key, Incarnation incarnation)
{
    FakeTarget& t = m_targets[target];
    if (t.incarnation != incarnation || !t.feeds.contains(key))
        return;
    m_agents[target]->core->onTargetEvent(m_now, key, { 1, 2, 3 });
    applyAgentEffects(target);
    after(m_options.feedInterval, [this, target, key, incarnation] { sendFeedEvent(target, key, incarnation); });
}

void Fleet::applyAgentEffects(std::uint32_t target)
{
    AgentEffects effects = std::move(m_agents[target]->effects);
    m_agents[target]->effects.clear();
    FakeTarget& t = m_targets[target];
    for (auto& effect : effects) {
        if (auto* process = std::get_if<SendToProcess>(&effect)) {
            sendToProcess(agentEndpoint(target), process->to, process->packet);
        } else if (auto* run = std::get_if<RunRequest>(&effect)) {
            recordWork(target, run->key, true);
            runAtTarget(target, run->key, run->request, run->payload);
        } else if (auto* feed = std::get_if<OpenFeed>(&effect)) {
            recordWork(target, feed->key, !t.feeds.contains(feed->key));
            openFeedAtTarget(target, feed->key);
        } else if (auto* close = std::get_if<CloseFeed>(&effect)) {
            t.feeds.erase(close->key);
        } else if (auto* chunk = std::get_if<StoreChunk>(&effect)) {
            recordWork(target, chunk->key, false);
            t.chunks[chunk->key].insert(chunk->sequence);
            after(milliseconds(1), [this, target, key = chunk->key, sequence = chunk->sequence] {
                m_agents[target]->core->onChunkStored(m_now, key, sequence, true);
                applyAgentEffects(target);
            });
        } else if (auto* commit = std::get_if<CommitUpload>(&effect)) {
            recordWork(target, commit->key, false);
            runAtTarget(target, commit->key, commit->request, {});
        }
    }
}

} // namespace hawthorncroft::fake
