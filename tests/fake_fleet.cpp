#include "fake_fleet.h"

#include <algorithm>
#include <cmath>

namespace hawthorncroft::fake {

const std::string Fleet::serviceName = "courier-route";

namespace {

    constexpr std::uint32_t balancerAddress = 0x7f000001;
    constexpr std::uint32_t agentAddress = 0x7f000002;
    constexpr std::uint32_t callerAddress = 0x7f000003;
    constexpr Duration tickInterval = milliseconds(10);

    Endpoint endpointOf(std::uint32_t address, std::uint32_t index)
    {
        return { address, static_cast<std::uint16_t>(1000 + index) };
    }

    std::uint32_t indexOf(Endpoint endpoint) { return endpoint.port - 1000U; }

}

struct Fleet::Balancer {
    std::unique_ptr<BalancerCore> core;
    BalancerEffects effects;
    bool isAlive { true };
    bool isDisconnectedFromConfig {};
    TimePoint pausedUntil;
    std::vector<std::function<void()>> pendingDatagrams; ///< Datagrams queued in the socket buffer of a paused process.
};

struct Fleet::Caller {
    std::unique_ptr<CallerCore> core;
    CallerEffects effects;
};

std::string toString(const ViolationReport& report)
{
    std::string text;
    auto add = [&](const char* name, std::uint64_t n) {
        if (n)
            text += std::string(name) + "=" + std::to_string(n) + " ";
    };
    add("duplicateExecutions", report.duplicateExecutions);
    add("falseRefusals", report.falseRefusals);
    add("falseDone", report.falseDone);
    add("wrongAnswers", report.wrongAnswers);
    add("misrouted", report.misrouted);
    add("packetsWhileOutOfService", report.packetsWhileOutOfService);
    add("newFlowsWhileDraining", report.newFlowsWhileDraining);
    add("unfinished", report.unfinished);
    return text;
}

Fleet::Fleet(FleetOptions options)
    : m_options(options)
    , m_random(options.seed)
{
    m_keyring.add(KeyId(1), MacKey { 1 });
    m_keyring.add(KeyId(2), MacKey { 2 });
    ServicesDocument services {
        { { .id = ServiceId(firstService), .name = serviceName, .spellings = { "curier-route" } },
            { .id = ServiceId(firstService + 1), .name = "receipt-intake" } }
    };
    TargetsDocument targets;
    for (std::uint32_t i = 1; i <= options.targets; ++i)
        targets.targets.push_back({ .id = TargetId(i),
            .service = ServiceId(firstService),
            .vm = "vm-" + std::to_string(i),
            .failureDomain = domainOf(i),
            .agent = endpointOf(agentAddress, i),
            .slots = options.slots,
            .connections = options.connections });
    m_operations
        = { .presets = { { "ordinary", options.preset }, { "peak", { .retryPercent = 5 } } }, .inForce = "ordinary" };
    for (auto& [key, document] : std::map<std::string, Document> {
             { "services/a", services }, { "targets/a", targets }, { "operations", m_operations } }) {
        m_documents[key] = {
            .key = key, .revision = Revision(++m_revision), .document = std::make_shared<const Document>(document)
        };
    }
    for (std::uint32_t i = 1; i <= options.targets; ++i) {
        m_targets[i].incarnation = Incarnation(++m_incarnations);
        m_targets[i].coldSince = options.isWarmAtStart ? TimePoint {} : m_now;
        startAgent(i);
    }
    for (std::uint32_t i = 0; i < options.balancers; ++i)
        addBalancer();
    updateReportedLoads();
    for (std::uint32_t i = 0; i < options.callers; ++i) {
        m_callers.push_back(std::make_unique<Caller>());
        CallerSettings settings { .id = CallerId(mix64(options.seed, i + 1)), .seed = mix64(options.seed, 1000 + i) };
        if (!options.hasRetryBudget)
            settings.retryReserve = 1000000;
        m_callers[i]->core = std::make_unique<CallerCore>(settings);
        tickCaller(i);
    }
}

Fleet::~Fleet() = default;

void Fleet::schedule(TimePoint at, std::function<void()> action)
{
    m_events.push({ at, ++m_order, std::move(action) });
}

void Fleet::after(Duration delay, std::function<void()> action) { schedule(m_now + delay, std::move(action)); }

void Fleet::run(Duration duration)
{
    TimePoint end = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
        Event event = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, event.at);
        event.action();
    }
    m_now = end;
}

void Fleet::deliver(Duration delay, std::function<void()> action)
{
    auto jittered = [&] {
        return delay + microseconds(static_cast<std::int64_t>(chance() * static_cast<double>(m_options.jitter.us)));
    };
    if (chance() < m_options.duplicates)
        schedule(m_now + jittered() + milliseconds(static_cast<std::int64_t>(chance() * 50)), action);
    if (chance() >= m_options.loss)
        schedule(m_now + jittered(), std::move(action));
}

// Load generation.

FlowKey Fleet::recordStart(std::uint32_t caller, FlowId flow, FlowLog log)
{
    FlowKey key { CallerId(mix64(m_options.seed, caller + 1)), flow };
    log.startedAt = m_now;
    if (flow)
        m_flows[key] = std::move(log);
    applyCallerEffects(caller);
    return key;
}

FlowKey Fleet::requestNamed(std::uint32_t caller, const std::string& name, Duration deadline)
{
    Caller& c = *m_callers[caller];
    std::vector<std::uint8_t> payload(8);
    for (auto& byte : payload)
        byte = static_cast<std::uint8_t>(m_random());
    auto started
        = c.core->startRequest(m_now, { .service = name, .payload = payload, .deadline = deadline }, c.effects);
    return recordStart(caller, started.flow, { .name = name, .payload = payload, .endedAt = {} });
}

FlowKey Fleet::request(std::uint32_t caller, bool isIdempotent, Duration deadline)
{
    (void)isIdempotent;
    return requestNamed(caller, serviceName, deadline);
}

FlowKey Fleet::feed(std::uint32_t caller)
{
    Caller& c = *m_callers[caller];
    auto started = c.core->openFeed(m_now, { .service = serviceName, .reopen = false }, c.effects);
    return recordStart(caller, started.flow, { .kind = FlowKind::Feed, .name = serviceName });
}

FlowKey Fleet::upload(std::uint32_t caller, std::size_t bytes, Duration deadline)
{
    Caller& c = *m_callers[caller];
    auto started = c.core->startUpload(m_now,
        { .service = serviceName, .content = std::vector<std::uint8_t>(bytes, 7), .deadline = deadline }, c.effects);
    return recordStart(caller, started.flow, { .kind = FlowKind::Upload, .name = serviceName });
}

void Fleet::startRequestLoad(double rate, Duration duration, Duration deadline)
{
    startRequests(rate, m_now + duration, deadline);
}

void Fleet::startRequests(double rate, TimePoint end, Duration deadline)
{
    if (m_now >= end)
        return;
    request(static_cast<std::uint32_t>(m_random() % m_callers.size()), false, deadline);
    double gap = std::exponential_distribution<double>(rate)(m_random);
    after(microseconds(static_cast<std::int64_t>(gap * 1e6) + 1),
        [this, rate, end, deadline] { startRequests(rate, end, deadline); });
}

// Operator actions and configuration.

void Fleet::publish(const std::string& key, Document document)
{
    VersionedDocument versioned { .key = key,
        .revision = Revision(++m_revision),
        .document = std::make_shared<const Document>(std::move(document)) };
    m_documents[key] = versioned;
    distribute(versioned);
}

void Fleet::setOutOfService(std::vector<std::string> domains, std::vector<std::string> vms)
{
    m_operations.domainsOut = std::move(domains);
    m_operations.vmsOut = std::move(vms);
    for (auto& [index, target] : m_targets) {
        const auto& out = m_operations.domainsOut;
        bool isOut = std::find(out.begin(), out.end(), domainOf(index)) != out.end();
        target.outOfServiceSince = !isOut ? TimePoint {}
            : target.outOfServiceSince.us ? target.outOfServiceSince
                                          : m_now;
    }
    publish("operations", m_operations);
}

void Fleet::setPreset(const std::string& name)
{
    m_operations.inForce = name;
    publish("operations", m_operations);
}

void Fleet::rotateKeys(KeyId signing, std::vector<KeyId> accepted)
{
    publish("keys", KeysDocument { signing, std::move(accepted) });
}

void Fleet::distribute(const VersionedDocument& document)
{
    auto drawConfigDelay = [&] {
        return microseconds(static_cast<std::int64_t>(chance() * static_cast<double>(m_options.maxConfigDelay.us)));
    };
    for (std::uint32_t i = 0; i < m_balancers.size(); ++i)
        after(drawConfigDelay() + m_configDelays[i], [this, i] { deliverDocuments(i); });
    for (auto& [index, agent] : m_agents) {
        after(drawConfigDelay(), [this, i = index, document] {
            m_agents[i]->core->onConfiguration(m_now, std::span(&document, 1), document.revision);
            applyAgentEffects(i);
        });
    }
}

void Fleet::deliverDocuments(std::uint32_t index)
{
    Balancer& balancer = *m_balancers[index];
    if (!balancer.isAlive || balancer.isDisconnectedFromConfig || balancer.pausedUntil > m_now)
        return;
    for (const auto& [key, document] : m_documents)
        balancer.core->applyDocument(m_now, document);
    balancer.core->setCompleteThrough(Revision(m_revision));
}

void Fleet::confirmLater(std::uint32_t index, std::uint64_t pause)
{
    after(milliseconds(5), [this, index, pause] {
        Balancer& balancer = *m_balancers[index];
        if (balancer.isDisconnectedFromConfig)
            return;
        deliverDocuments(index);
        balancer.core->confirmView(pause);
    });
}

// Balancers.

std::uint32_t Fleet::addBalancer()
{
    auto index = static_cast<std::uint32_t>(m_balancers.size());
    m_balancers.push_back(std::make_unique<Balancer>());
    startBalancer(index);
    return index;
}

void Fleet::startBalancer(std::uint32_t index)
{
    Balancer& balancer = *m_balancers[index];
    balancer.core = std::make_unique<BalancerCore>(
        BalancerOptions { .node = NodeId(index + 1), .data = endpointOf(balancerAddress, index) }, m_keyring);
    deliverDocuments(index);
    balancer.core->setServingState({ .isReady = true });
    tickBalancer(index);
}

BalancerCore& Fleet::balancer(std::uint32_t index) { return *m_balancers[index]->core; }

void Fleet::tickBalancer(std::uint32_t index)
{
    Balancer& balancer = *m_balancers[index];
    if (!balancer.isAlive)
        return;
    if (balancer.pausedUntil <= m_now) {
        balancer.core->onTick(m_now, balancer.effects);
        applyBalancerEffects(index);
    }
    after(tickInterval, [this, index] { tickBalancer(index); });
}

void Fleet::killBalancer(std::uint32_t index) { m_balancers[index]->isAlive = false; }

void Fleet::setConfigDisconnected(std::uint32_t index, bool isDisconnected)
{
    m_balancers[index]->isDisconnectedFromConfig = isDisconnected;
    m_balancers[index]->core->setServingState({ .isReady = true, .isIsolated = isDisconnected });
    deliverDocuments(index);
}

void Fleet::pauseBalancer(std::uint32_t index, Duration duration)
{
    m_balancers[index]->pausedUntil = m_now + duration;
    after(duration, [this, index] {
        auto pendingDatagrams = std::move(m_balancers[index]->pendingDatagrams);
        m_balancers[index]->pendingDatagrams.clear();
        for (auto& datagram : pendingDatagrams)
            datagram();
    });
}

void Fleet::deliverToBalancer(std::uint32_t index, Endpoint from, Packet packet, bool isFromCaller)
{
    Balancer& balancer = *m_balancers[index];
    if (!balancer.isAlive)
        return;
    if (balancer.pausedUntil > m_now) {
        balancer.pendingDatagrams.push_back([this, index, from, packet = std::move(packet), isFromCaller] {
            deliverToBalancer(index, from, packet, isFromCaller);
        });
        return;
    }
    if (isFromCaller)
        balancer.core->onCallerPacket(m_now, from, packet, balancer.effects);
    else
        balancer.core->onProcessPacket(m_now, from, packet, balancer.effects);
    applyBalancerEffects(index);
}

void Fleet::applyBalancerEffects(std::uint32_t index)
{
    BalancerEffects effects = std::move(m_balancers[index]->effects);
    m_balancers[index]->effects.clear();
    for (auto& effect : effects) {
        if (auto* process = std::get_if<SendToProcess>(&effect)) {
            applyPolicy(index, *process);
            sendToProcess(endpointOf(balancerAddress, index), process->to, process->packet);
        } else if (auto* caller = std::get_if<SendToCaller>(&effect)) {
            deliver(m_options.callerDelay, [this, to = indexOf(caller->to), packet = caller->packet] {
                m_callers[to]->core->onPacket(m_now, packet, m_callers[to]->effects);
                applyCallerEffects(to);
            });
        } else if (auto* confirm = std::get_if<ConfirmView>(&effect)) {
            confirmLater(index, confirm->pause);
        }
    }
}

void Fleet::sendToProcess(Endpoint from, Endpoint to, const Packet& packet)
{
    deliver(m_options.domainDelay, [this, from, to, packet] {
        std::uint32_t index = indexOf(to);
        if (to.address == balancerAddress) {
            deliverToBalancer(index, from, packet, false);
        } else if (m_agents.contains(index)) {
            m_agents[index]->core->onPacket(m_now, from, packet);
            applyAgentEffects(index);
        }
    });
}

// Callers.

void Fleet::tickCaller(std::uint32_t index)
{
    Caller& caller = *m_callers[index];
    caller.core->onTick(m_now, caller.effects);
    applyCallerEffects(index);
    after(milliseconds(5), [this, index] { tickCaller(index); });
}

void Fleet::applyCallerEffects(std::uint32_t index)
{
    CallerEffects effects = std::move(m_callers[index]->effects);
    m_callers[index]->effects.clear();
    FlowKey key { CallerId(mix64(m_options.seed, index + 1)), {} };
    for (auto& effect : effects) {
        if (auto* sent = std::get_if<SendToFabric>(&effect)) {
            auto balancer = static_cast<std::uint32_t>(m_random() % m_balancers.size());
            deliver(m_options.callerDelay, [this, balancer, index, packet = sent->packet] {
                deliverToBalancer(balancer, endpointOf(callerAddress, index), packet, true);
            });
        } else if (auto* finished = std::get_if<Finished>(&effect)) {
            key.flow = finished->flow;
            FlowLog& log = m_flows[key];
            log.endedAt = m_now;
            log.outcome = finished->outcome;
            bool isRequest = log.kind == FlowKind::Request && finished->outcome.verdict == Verdict::Done;
            log.isAnswerWrong = isRequest && finished->payload != log.payload;
        } else if (auto* opened = std::get_if<FeedOpened>(&effect)) {
            key.flow = opened->flow;
            m_flows[key].target = opened->target;
        } else if (auto* event = std::get_if<FeedEvent>(&effect)) {
            key.flow = event->flow;
            m_flows[key].eventOrderErrors += event->sequence != ++m_flows[key].events;
        } else if (auto* broken = std::get_if<FlowBroken>(&effect)) {
            key.flow = broken->flow;
            m_flows[key].endedAt = m_now;
            m_flows[key].outcome = broken->outcome;
            ++m_brokenFeeds;
        }
    }
}

// Results.

std::uint32_t Fleet::executions(const FlowKey& key) const
{
    auto entry = m_executions.find(key);
    return entry == m_executions.end() ? 0 : entry->second;
}

std::size_t Fleet::openFeeds() const
{
    std::size_t open = 0;
    for (const auto& [key, log] : m_flows)
        open += log.kind == FlowKind::Feed && log.target && !log.endedAt.us;
    return open;
}

namespace {

    double peakToMean(const std::vector<double>& counts)
    {
        double sum = 0;
        double peak = 0;
        for (double count : counts) {
            sum += count;
            peak = std::max(peak, count);
        }
        return sum > 0 ? peak * static_cast<double>(counts.size()) / sum : 1;
    }

}

double Fleet::requestImbalance() const
{
    std::vector<double> counts;
    for (const auto& [index, target] : m_targets) {
        if (!target.outOfServiceSince.us)
            counts.push_back(static_cast<double>(target.executed));
    }
    return peakToMean(counts);
}

double Fleet::feedImbalance() const
{
    std::vector<double> counts;
    for (const auto& [index, target] : m_targets)
        counts.push_back(static_cast<double>(target.feeds.size()));
    return peakToMean(counts);
}

ViolationReport Fleet::check() const
{
    ViolationReport report;
    report.misrouted = m_misrouted;
    for (const auto& [index, target] : m_targets) {
        report.packetsWhileOutOfService += target.packetsWhileOutOfService;
        report.newFlowsWhileDraining += target.newFlowsWhileDraining;
    }
    for (const auto& [key, count] : m_executions)
        report.duplicateExecutions += count > 1;
    for (const auto& [key, log] : m_flows) {
        bool hasRun = executions(key) > 0;
        report.falseRefusals += log.kind != FlowKind::Feed && log.outcome.verdict == Verdict::DidNotRun && hasRun;
        report.falseDone += log.kind != FlowKind::Feed && log.outcome.verdict == Verdict::Done && !hasRun;
        report.wrongAnswers += log.isAnswerWrong || log.eventOrderErrors;
        report.unfinished += log.kind == FlowKind::Request && !log.endedAt.us && m_now - log.startedAt > seconds(10);
    }
    return report;
}

} // namespace hawthorncroft::fake
