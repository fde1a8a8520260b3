#include "transit_sim.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft::tests {

namespace {

    constexpr Duration delay = milliseconds(1); ///< Network delay of a message between processes.
    constexpr std::int64_t resetWindow = 76800; ///< Distance from a caller's acknowledgement within which it is reset.
    constexpr Duration localDelay = microseconds(100); ///< Delay between an agent and its target.

    bool isLocateTraffic(const MessageBody& body)
    {
        const auto* forward = std::get_if<ForwardMessage>(&body);
        return (forward && forward->isLocating) || std::holds_alternative<LocateMessage>(body)
            || std::holds_alternative<NotHeldMessage>(body) || std::holds_alternative<NotHeldFlowsMessage>(body)
            || std::holds_alternative<AbsenceReportMessage>(body);
    }

    std::string keyOf(const StoreChange& change)
    {
        if (const auto* target = std::get_if<TargetChange>(&change))
            return "target/" + target->target.id;
        if (const auto* evacuation = std::get_if<EvacuationChange>(&change))
            return "evacuation/" + evacuation->failureDomain;
        return "configuration";
    }

}

std::uint32_t initialSequenceOf(std::uint32_t address) { return 1000000 * (address & 0xff); }

RouteRecord routeTo(const std::string& service, Endpoint address)
{
    return { .address = address,
        .shares = { { service, 1 } },
        .isIdempotent = true,
        .priority = 1,
        .timeout = seconds(2),
        .latencyObjective = milliseconds(120) };
}

TargetRecord targetRecord(
    std::uint32_t address, const std::string& id, const std::string& service, const std::string& domain)
{
    return { .id = id,
        .service = service,
        .address = { address, targetPort },
        .failureDomain = domain,
        .slots = 4,
        .isDraining = false,
        .coldLeft = {},
        .startedAt = std::hash<std::string> {}(id) % 1000 + 1 };
}

TransitSim::TransitSim() { writeRoutes({ routeTo("web") }); }

Endpoint TransitSim::addBalancer(std::uint32_t address, const std::string& domain)
{
    Endpoint endpoint { address, fleetPort };
    if (m_seeds.size() < 3)
        m_seeds.push_back(endpoint);
    m_processes[endpoint] = { .domain = domain, .nextTick = m_now };
    restart(endpoint);
    return endpoint;
}

Endpoint TransitSim::addAgent(
    std::uint32_t address, const std::string& service, const std::string& domain, bool isFirstStart)
{
    Endpoint endpoint { address, fleetPort };
    m_processes[endpoint]
        = { .isAgent = true, .service = service, .domain = domain, .isFirstStart = isFirstStart, .nextTick = m_now };
    if (m_services.insert(service).second)
        writeRoutes(m_routes, m_warmupPerSecond);
    std::string id = "t" + std::to_string(address);
    m_targets[address] = { .id = id, .service = service };
    writeTarget(targetRecord(address, id, service, domain));
    restart(endpoint);
    m_processes[endpoint].isFirstStart = false;
    return endpoint;
}

void TransitSim::stop(Endpoint process)
{
    TransitEffects effects;
    m_cores.at(process)->onStop(m_now, effects);
    applyEffects(process, effects);
    for (int i = 0; i < 1000 && !m_cores.at(process)->isFinished(m_now); ++i)
        run(tickInterval);
    kill(process);
}

void TransitSim::restart(Endpoint process)
{
    Process& settings = m_processes[process];
    settings.incarnation = mix64(process.address, ++m_lastNumber);
    settings.nextTick = m_now;
    m_cores[process] = makeCore(process);
}

std::unique_ptr<TransitCore> TransitSim::makeCore(Endpoint process)
{
    const Process& settings = m_processes[process];
    FleetOptions fleet { .self = process,
        .role = settings.isAgent ? ProcessRole::Agent : ProcessRole::Balancer,
        .incarnation = settings.incarnation,
        .seeds = m_seeds,
        .failureDomain = settings.domain,
        .relayPaths = m_relayPaths };
    if (!settings.isAgent)
        return std::make_unique<TransitBalancer>(TransitBalancerOptions { .fleet = fleet,
            .failureDomain = settings.domain,
            .fleetPort = fleetPort,
            .linkBytesPerSecond = m_linkBytesPerSecond });
    return std::make_unique<TransitAgent>(TransitAgentOptions {
        .fleet = fleet,
        .admission
        = { .service = settings.service, .target = { process.address, targetPort }, .failureDomain = settings.domain },
        .fleetPort = fleetPort,
        .isFirstStart = settings.isFirstStart,
        .releaseOrder = m_releaseOrder,
    });
}

void TransitSim::writeRoutes(const std::vector<RouteRecord>& routes, double warmupPerSecond)
{
    ++m_revision.value;
    m_routes = routes;
    m_warmupPerSecond = warmupPerSecond;
    std::vector<ServiceRecord> services;
    for (const auto& name : m_services)
        services.push_back(
            { .name = name, .flowLimit = 2000, .warmup = seconds(2), .warmupPerSecond = warmupPerSecond });
    StoreChange change = ConfigurationChange { m_revision, routes, services, ++m_configurationVersion };
    m_store["configuration"] = change;
    m_history.emplace_back(m_revision, change);
}

void TransitSim::restoreStore(const StoreCopy& copy)
{
    m_store = copy.items;
    m_history = copy.history;
    m_revision = copy.revision;
    ++m_era.value;
}

void TransitSim::writeTarget(const TargetRecord& target)
{
    ++m_revision.value;
    StoreChange change = TargetChange { m_revision, target };
    m_store[keyOf(change)] = change;
    m_history.emplace_back(m_revision, change);
}

void TransitSim::removeTarget(const std::string& id)
{
    ++m_revision.value;
    m_store.erase("target/" + id);
    m_history.emplace_back(m_revision, TargetRemoval { m_revision, id });
}

void TransitSim::evacuate(const std::string& domain, bool isOut)
{
    ++m_revision.value;
    StoreChange change = EvacuationChange { m_revision, domain };
    if (isOut)
        m_store[keyOf(change)] = change;
    else
        m_store.erase(keyOf(change));
    m_history.emplace_back(m_revision, isOut ? change : StoreChange(EvacuationEnd { m_revision, domain }));
}

void TransitSim::crashTarget(std::uint32_t address)
{
    FakeTransitTarget& target = m_targets[address];
    target.isResponding = false;
    target.isRunning = false;
    target.flows.clear();
    target.queue.clear();
}

void TransitSim::restartTarget(std::uint32_t address, const std::string& id)
{
    FakeTransitTarget& target = m_targets[address];
    std::string old = target.id;
    target = { .id = id, .service = target.service, .slots = target.slots, .serviceTime = target.serviceTime };
    removeTarget(old);
    writeTarget(targetRecord(address, id, target.service, m_processes[{ address, fleetPort }].domain));
}

void TransitSim::sendOpen(Endpoint balancer, const FlowTuple& flow, std::uint32_t copy)
{
    TransitPacket packet { .flow = flow, .flags = { .isOpening = true }, .sequence = 5, .acknowledged = copy };
    deliver(balancer, 0, [this, packet, balancer](TransitCore& core) {
        TransitEffects effects;
        core.onPacket(packet, m_now, effects);
        applyEffects(balancer, effects);
    });
}

void TransitSim::sendRequest(Endpoint balancer, const FlowTuple& flow, std::uint32_t sequence)
{
    TransitPacket packet { .flow = flow,
        .flags = { .hasAcknowledgement = true },
        .sequence = sequence,
        .acknowledged = m_callers[flow].targetSequence + 1,
        .dataSize = 100,
        .requestId = "r" + std::to_string(sequence) };
    packet.bytes.resize(132);
    m_callers[flow].acknowledged = packet.acknowledged;
    deliver(balancer, 0, [this, packet, balancer](TransitCore& core) {
        TransitEffects effects;
        core.onPacket(packet, m_now, effects);
        applyEffects(balancer, effects);
    });
}

void TransitSim::sendTransferPacket(Endpoint balancer, const FlowTuple& flow, std::uint32_t index)
{
    const FakeTransfer& transfer = m_transfers.at(flow);
    std::uint32_t offset = index * FakeTransfer::packetBytes;
    auto size = static_cast<std::uint16_t>(std::min(FakeTransfer::packetBytes, transfer.bytes - offset));
    TransitPacket packet { .flow = flow,
        .flags = { .hasAcknowledgement = true },
        .sequence = transfer.sequence + offset,
        .acknowledged = m_callers[flow].targetSequence + 1,
        .dataSize = size,
        .isFull = size == FakeTransfer::packetBytes,
        .requestSize = index ? std::nullopt : transfer.requestSize,
        .requestId = index ? std::string() : "t" + std::to_string(transfer.sequence) };
    packet.bytes.resize(32U + size);
    m_callers[flow].acknowledged = packet.acknowledged;
    deliver(balancer, 0, [this, packet, balancer](TransitCore& core) {
        TransitEffects effects;
        core.onPacket(packet, m_now, effects);
        applyEffects(balancer, effects);
    });
}

void TransitSim::sendReset(Endpoint balancer, const FlowTuple& flow)
{
    TransitPacket packet { .flow = flow, .flags = { .isReset = true } };
    deliver(balancer, 0, [this, packet, balancer](TransitCore& core) {
        TransitEffects effects;
        core.onPacket(packet, m_now, effects);
        applyEffects(balancer, effects);
    });
}

std::uint32_t TransitSim::open(Endpoint balancer, const FlowTuple& flow)
{
    sendOpen(balancer, flow);
    run(milliseconds(10));
    for (const auto& [address, target] : m_targets) {
        if (target.flows.contains(flow))
            return address;
    }
    return 0;
}

void TransitSim::run(Duration time)
{
    TimePoint end = m_now + time;
    while (m_now < end) {
        TimePoint nextTick = m_now + milliseconds(5);
        while (!m_events.empty() && m_events.top().at <= std::min(nextTick, end)) {
            Event event = m_events.top();
            m_events.pop();
            m_now = std::max(m_now, event.at);
            event.action();
        }
        m_now = std::min(nextTick, end);
        tickAll();
        answerWatches();
    }
}

std::size_t TransitSim::logLineCount(const std::string& event) const
{
    auto found = m_logLineCounts.find(event);
    return found == m_logLineCounts.end() ? 0 : found->second;
}

void TransitSim::at(TimePoint time, std::function<void()> action)
{
    m_events.push({ time, ++m_lastNumber, std::move(action) });
}

void TransitSim::tickAll()
{
    for (auto& [endpoint, core] : m_cores) {
        Process& process = m_processes[endpoint];
        if (m_paused.contains(endpoint) || m_now < process.nextTick)
            continue;
        process.nextTick = m_now + tickInterval;
        for (auto& action : std::exchange(m_deferredDeliveries[endpoint], {}))
            action();
        TransitEffects effects;
        core->onTick(m_now, effects);
        applyEffects(endpoint, effects);
    }
}

void TransitSim::deliver(Endpoint process, std::uint64_t incarnation, std::function<void(TransitCore&)> action)
{
    auto found = m_cores.find(process);
    bool isCurrent = found != m_cores.end() && (!incarnation || m_processes[process].incarnation == incarnation);
    if (!isCurrent || m_disconnected.contains(process.address))
        return;
    if (m_paused.contains(process)) {
        m_deferredDeliveries[process].push_back(
            [this, process, incarnation, action] { deliver(process, incarnation, action); });
        return;
    }
    action(*found->second);
}

bool TransitSim::isPartitioned(Endpoint from, Endpoint to)
{
    bool isSenderInside = m_processes[from].domain == m_partitionedDomain;
    bool isReceiverInside = m_processes[to].domain == m_partitionedDomain;
    bool isCut = !m_partitionedDomain.empty() && isSenderInside != isReceiverInside;
    return isCut || m_brokenPaths.contains({ m_processes[from].domain, m_processes[to].domain });
}

void TransitSim::transmit(Endpoint from, Endpoint to, Message message)
{
    ++m_messages;
    m_locateMessages += isLocateTraffic(message.body);
    m_crossDomainStamps
        += std::holds_alternative<StampMessage>(message.body) && m_processes[from].domain != m_processes[to].domain;
    if (m_disconnected.contains(from.address) || isPartitioned(from, to))
        return;
    std::optional<Duration> time = m_messageFate ? m_messageFate(from, to, message.body) : delay;
    if (!time)
        return;
    at(m_now + *time, [this, from, to, message = std::move(message)] {
        // The message is copied, as the delivery to a paused process is deferred.
        deliver(to, 0, [this, from, to, message](TransitCore& core) {
            TransitEffects next;
            core.receive(from, message, m_now, next);
            applyEffects(to, next);
        });
    });
}

void TransitSim::applyEffects(Endpoint process, TransitEffects& effects)
{
    std::uint64_t incarnation = m_processes[process].incarnation;
    for (auto& effect : effects) {
        if (auto* send = std::get_if<SendMessage>(&effect)) {
            auto outgoing = m_cores.at(process)->outgoing(std::move(*send), m_now);
            if (outgoing.counter)
                ++m_counts[*outgoing.counter];
            transmit(process, outgoing.to, std::move(outgoing.message));
        } else if (auto* relayed = std::get_if<RelayMessage>(&effect)) {
            transmit(process, relayed->to, std::move(relayed->message));
        } else if (auto* packet = std::get_if<DeliverToTarget>(&effect)) {
            at(m_now + localDelay, [this, process, packet = packet->packet, tag = packet->tag] {
                receiveAtTarget(process.address, packet, tag);
            });
        } else if (std::get_if<ProbeTarget>(&effect)) {
            ++m_probes;
            at(m_now + localDelay, [this, process] {
                deliver(process, 0, [this, process](TransitCore& core) {
                    TransitEffects next;
                    core.onTargetProbe(m_targets[process.address].isRunning, m_now, next);
                    applyEffects(process, next);
                });
            });
        } else if (auto* answer = std::get_if<DeliverToCaller>(&effect)) {
            if (!m_disconnected.contains(process.address))
                receiveAtCaller(answer->packet);
        } else if (auto* reset = std::get_if<ResetCaller>(&effect)) {
            if (!m_disconnected.contains(process.address))
                receiveResetAtCaller(*reset);
        } else if (std::get_if<ReadStore>(&effect) || std::get_if<WatchStore>(&effect)) {
            ++m_storeCalls;
            auto* watch = std::get_if<WatchStore>(&effect);
            m_fullReads[process] += !watch;
            m_watches.push_back({ process, incarnation, watch ? watch->after : StorePosition(),
                m_now + (watch ? watch->wait : Duration {}) });
        } else if (auto* line = std::get_if<WriteLog>(&effect)) {
            ++m_logLineCounts[std::string(line->event)];
        } else if (auto* count = std::get_if<CountEvent>(&effect)) {
            m_counts[count->counter] += count->amount;
        } else if (auto* time = std::get_if<RecordTime>(&effect)) {
            m_times[time->distribution].push_back(time->time);
        }
    }
}

void TransitSim::answerWatches()
{
    auto watches = std::exchange(m_watches, {});
    for (const Watch& watch : watches) {
        bool isFullRead = !watch.after;
        bool isUnreachable = m_isStoreDown
            || (!m_domainCutFromStore.empty() && m_processes[watch.process].domain == m_domainCutFromStore);
        bool isDue = isFullRead || m_revision != watch.after.revision || m_now >= watch.until || isUnreachable;
        if (!isDue) {
            m_watches.push_back(watch);
            continue;
        }
        deliver(watch.process, watch.incarnation, [this, watch, isFullRead, isUnreachable](TransitCore& core) {
            TransitEffects effects;
            if (isUnreachable)
                core.onStoreFailure(StoreFailure::Unreachable, {}, m_now, effects);
            else if (isFullRead)
                core.onStorePage(storeContent(), lastPosition(), {}, m_now, effects);
            else if (watch.after.revision > m_revision)
                core.onStoreFailure(StoreFailure::HistoryGone, m_era, m_now, effects);
            else
                core.onStoreChanges(changesAfter(watch.after.revision), lastPosition(), m_now, effects);
            applyEffects(watch.process, effects);
        });
    }
}

std::vector<StoreChange> TransitSim::storeContent() const
{
    std::vector<StoreChange> all;
    for (const auto& [key, change] : m_store)
        all.push_back(change);
    return all;
}

std::vector<StoreChange> TransitSim::changesAfter(Revision after) const
{
    std::vector<StoreChange> changes;
    for (const auto& [revision, change] : m_history) {
        if (revision > after)
            changes.push_back(change);
    }
    return changes;
}

void TransitSim::receiveAtTarget(std::uint32_t address, TransitPacket packet, std::uint32_t tag)
{
    FakeTransitTarget& target = m_targets[address];
    if (!target.isResponding)
        return;
    if (packet.flags.isOpening && target.returnsOpens) {
        ++target.returned;
        packet.flags.isReturned = true;
        packet.tag = tag;
        sendFromTarget(address, packet);
        return;
    }
    if (packet.flags.isOpening) {
        if (target.flows.insert(packet.flow).second)
            target.opened.emplace_back(m_now, packet.flow);
        TransitPacket answer { .flow = packet.flow,
            .flags = { .isOpening = true, .hasAcknowledgement = true },
            .sequence = initialSequenceOf(address) };
        sendFromTarget(address, answer);
        return;
    }
    if (packet.dataSize)
        target.arrivals.emplace_back(m_now, packet.flow);
    bool acknowledgesOther = packet.dataSize && packet.acknowledged != initialSequenceOf(address) + 1;
    if (target.ignoresOtherAcknowledgements && acknowledgesOther && target.flows.contains(packet.flow))
        return;
    bool isRejected = target.checksAcknowledgements && acknowledgesOther;
    if (!target.flows.contains(packet.flow) || isRejected) {
        ++target.returned;
        if (target.resetsUnknown) {
            sendFromTarget(address, { .flow = packet.flow, .flags = { .isReset = true } });
            return;
        }
        packet.flags.isReturned = true;
        packet.tag = tag;
        sendFromTarget(address, packet);
        return;
    }
    if (!packet.dataSize)
        return;
    ++target.deliveredPackets;
    if (target.resetsRequests) {
        target.flows.erase(packet.flow);
        sendFromTarget(address, { .flow = packet.flow, .flags = { .isReset = true } });
        return;
    }
    if (m_transfers.contains(packet.flow)) {
        receiveTransferAtTarget(address, packet);
        return;
    }
    if (target.receivedRequests.emplace(packet.flow, packet.sequence).second)
        target.queue.push_back(packet.flow);
    startNext(address);
    target.longestQueue = std::max(target.longestQueue, target.queue.size());
}

void TransitSim::receiveTransferAtTarget(std::uint32_t address, const TransitPacket& packet)
{
    FakeTransfer& transfer = m_transfers.at(packet.flow);
    bool wasComplete = transfer.isComplete();
    transfer.received.insert((packet.sequence - transfer.sequence) / FakeTransfer::packetBytes);
    std::uint32_t contiguous = 0;
    while (transfer.received.contains(contiguous))
        ++contiguous;
    TransitPacket acknowledgement { .flow = packet.flow,
        .flags = { .hasAcknowledgement = true },
        .sequence = initialSequenceOf(address) + 1,
        .acknowledged = transfer.sequence + std::min(transfer.bytes, contiguous * FakeTransfer::packetBytes) };
    if (transfer.isAcknowledged)
        sendFromTarget(address, acknowledgement);
    if (wasComplete || !transfer.isComplete())
        return;
    FakeTransitTarget& target = m_targets[address];
    target.queue.push_back(packet.flow);
    startNext(address);
    target.longestQueue = std::max(target.longestQueue, target.queue.size());
}

void TransitSim::startNext(std::uint32_t address)
{
    FakeTransitTarget& target = m_targets[address];
    while (target.running < target.slots && !target.queue.empty()) {
        FlowTuple flow = target.queue.front();
        target.queue.erase(target.queue.begin());
        ++target.running;
        target.started.emplace_back(m_now, flow);
        auto transfer = m_transfers.find(flow);
        Duration serviceTime = transfer == m_transfers.end() ? target.serviceTime : transfer->second.serviceTime;
        at(m_now + serviceTime, [this, address, flow, id = target.id] {
            FakeTransitTarget& current = m_targets[address];
            if (current.id != id || !current.isResponding)
                return; // The target was restarted or hangs.
            --current.running;
            sendFromTarget(address,
                { .flow = flow,
                    .flags = { .hasAcknowledgement = true },
                    .sequence = initialSequenceOf(address) + 1,
                    .dataSize = 500 });
            startNext(address);
        });
    }
}

void TransitSim::sendFromTarget(std::uint32_t address, TransitPacket packet)
{
    Endpoint agent { address, fleetPort };
    at(m_now + localDelay, [this, agent, packet] {
        bool isDisconnected = m_disconnected.contains(agent.address);
        m_disconnected.erase(agent.address); // Packets within the target's VM are not lost.
        deliver(agent, 0, [this, agent, packet, isDisconnected](TransitCore& core) {
            TransitEffects effects;
            core.onPacket(packet, m_now, effects);
            if (isDisconnected)
                m_disconnected.insert(agent.address);
            applyEffects(agent, effects);
        });
        if (isDisconnected)
            m_disconnected.insert(agent.address);
    });
}

void TransitSim::receiveResetAtCaller(const ResetCaller& reset)
{
    CallerState& view = m_callers[reset.flow];
    auto distance = static_cast<std::int32_t>(reset.sequence - view.acknowledged);
    bool isForged = view.acknowledged && std::abs(static_cast<std::int64_t>(distance)) > resetWindow;
    view.forgedResets += isForged;
    if (!isForged && !view.resetAt)
        view.resetAt = m_now;
}

void TransitSim::receiveAtCaller(const TransitPacket& packet)
{
    CallerState& view = m_callers[packet.flow];
    if (packet.flags.isReset && !view.resetAt)
        view.resetAt = m_now;
    if (packet.flags.isOpening) {
        if (!view.openedAt) {
            view.openedAt = m_now;
            view.targetSequence = packet.sequence;
        }
        return;
    }
    if (packet.dataSize) {
        ++view.answers;
        view.answeredAt = m_now;
    }
}

} // namespace hawthorncroft::tests
