#include "transit_inventory_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    constexpr std::size_t flowsPerUpdate = 40; ///< Flows in one message to a locator; fits a datagram.

}

void InventoryStreams::assign(const TransitLocators& locators, std::uint32_t self)
{
    auto shardsByLocator = locators.shardsByLocator();
    shardsByLocator.erase(self); // A locator looks up flows in its own table first.
    bool isShardCountChanged = m_shardCount != locators.shardCount();
    m_shardCount = locators.shardCount();
    std::erase_if(m_streams, [&](const auto& entry) { return !shardsByLocator.contains(entry.first); });
    for (auto& [address, shards] : shardsByLocator) {
        auto found = m_streams.find(address);
        if (found != m_streams.end() && found->second.shards == shards && !isShardCountChanged)
            continue;
        m_streams[address] = { .number = ++m_lastStream, .shards = std::move(shards) };
    }
}

void InventoryStreams::onAck(std::uint32_t locator, const InventoryAckMessage& ack)
{
    auto found = m_streams.find(locator);
    if (found != m_streams.end() && found->second.number == ack.stream)
        found->second.ackedSequence = std::max(found->second.ackedSequence, ack.sequence);
}

Duration InventoryStreams::heartbeatInterval(const Stream& stream, InventoryState state, TimePoint now)
{
    // A locator that has not acknowledged an update within the lease is unreachable and cannot rule out this agent, so
    // that the longer interval is sufficient.
    bool isUnacked = stream.ackedSequence != stream.sequence && now < stream.updatedAt + inventoryLease;
    if (state.isFinal || isUnacked)
        return unackedHeartbeatInterval;
    return state.isRegistered ? inventoryHeartbeatInterval : unregisteredHeartbeatInterval;
}

void InventoryStreams::restart(std::uint32_t locator)
{
    auto found = m_streams.find(locator);
    if (found == m_streams.end())
        return;
    found->second.number = ++m_lastStream;
    found->second.needsSnapshot = true;
}

void InventoryStreams::renew(TimePoint now)
{
    for (auto& [locator, stream] : m_streams) {
        if (!stream.needsSnapshot && now >= stream.snapshotAt + holderEntryLifetime / 2)
            restart(locator);
    }
}

bool InventoryStreams::needsSnapshots() const
{
    return std::any_of(
        m_streams.begin(), m_streams.end(), [](const auto& entry) { return entry.second.needsSnapshot; });
}

InventoryMessages InventoryStreams::snapshots(const std::vector<FlowTuple>& held, InventoryState state, TimePoint now)
{
    InventoryMessages messages;
    for (auto& [locator, stream] : m_streams) {
        if (!stream.needsSnapshot)
            continue;
        std::vector<FlowTuple> flows;
        for (const auto& flow : held) {
            if (coversFlow(stream, flow))
                flows.push_back(flow);
        }
        stream.needsSnapshot = false;
        stream.sequence = 0;
        stream.ackedSequence = 0;
        stream.updatedAt = now;
        stream.snapshotAt = now;
        stream.heartbeatAt = now + unackedHeartbeatInterval;
        // The first message begins the stream, so that it is sent even without flows.
        for (std::size_t at = 0; at == 0 || at < flows.size(); at += flowsPerUpdate) {
            auto begin = flows.begin() + static_cast<std::ptrdiff_t>(at);
            auto end = flows.begin() + static_cast<std::ptrdiff_t>(std::min(at + flowsPerUpdate, flows.size()));
            bool isLast = at + flowsPerUpdate >= flows.size();
            ++stream.sequence;
            InventoryState part { state.isComplete && isLast, state.isFinal && isLast, state.isRegistered };
            messages.push_back({ locator, makeMessage(stream, { begin, end }, part) });
        }
    }
    return messages;
}

InventoryMessages InventoryStreams::announce(const FlowTuple& flow, InventoryState state, TimePoint now)
{
    InventoryMessages messages;
    for (auto& [locator, stream] : m_streams) {
        if (!coversFlow(stream, flow) || stream.needsSnapshot)
            continue; // The snapshot will contain the flow.
        ++stream.sequence;
        stream.updatedAt = now;
        stream.heartbeatAt = std::min(stream.heartbeatAt, now + unackedHeartbeatInterval);
        messages.push_back({ locator, makeMessage(stream, { flow }, state) });
    }
    return messages;
}

InventoryMessages InventoryStreams::heartbeats(InventoryState state, TimePoint now)
{
    InventoryMessages messages;
    for (auto& [locator, stream] : m_streams) {
        if (stream.needsSnapshot || now < stream.heartbeatAt)
            continue;
        stream.heartbeatAt = now + heartbeatInterval(stream, state, now);
        messages.push_back({ locator, makeMessage(stream, {}, state) });
        messages.back().body.isHeartbeat = true;
    }
    return messages;
}

InventoryMessages InventoryStreams::heartbeatAll(InventoryState state, TimePoint now)
{
    for (auto& [locator, stream] : m_streams)
        stream.heartbeatAt = now;
    return heartbeats(state, now);
}

bool InventoryStreams::coversFlow(const Stream& stream, const FlowTuple& flow) const
{
    return std::find(stream.shards.begin(), stream.shards.end(), shardOf(flow, m_shardCount)) != stream.shards.end();
}

InventoryUpdateMessage InventoryStreams::makeMessage(
    const Stream& stream, std::vector<FlowTuple> flows, InventoryState state) const
{
    return {
        .flows = std::move(flows),
        .incarnation = m_incarnation,
        .stream = stream.number,
        .sequence = stream.sequence,
        .shardCount = m_shardCount,
        .shards = stream.shards,
        .wantsAck = stream.ackedSequence != stream.sequence,
        .isComplete = state.isComplete,
        .isFinal = state.isFinal,
        .isRegistered = state.isRegistered,
    };
}

InventoryRecords::Answer InventoryRecords::apply(Endpoint from, const InventoryUpdateMessage& message, TimePoint now)
{
    bool isStored = true;
    for (const auto& flow : message.flows)
        isStored &= addHolder(flow, from, now);
    if (m_records.size() >= maxMembers && !m_records.contains(from))
        return {}; // The agent's status stays unknown, so that balancers query the agent itself.
    Record& record = m_records[from];
    bool isOld = record.incarnation == message.incarnation && message.stream < record.stream;
    if (isOld)
        return {}; // Belongs to a stream that has been replaced by a newer one.
    trackSequence(record, message);
    record.lastHeardAt = now;
    record.hasGap |= !isStored;
    if (!record.hasGap && message.wantsAck)
        return InventoryAckMessage { record.stream, record.sequence };
    if (!record.hasGap || now < record.resyncRequestedAt + resyncRequestInterval)
        return {};
    record.resyncRequestedAt = now;
    return InventoryResyncMessage {};
}

bool InventoryRecords::addHolder(const FlowTuple& flow, Endpoint agent, TimePoint now)
{
    auto found = m_holders.find(flow);
    if (found == m_holders.end()) {
        if (m_holders.size() >= maxHolderEntries)
            return false;
        m_holders[flow] = { .agent = agent, .others = {}, .updatedAt = now };
        return true;
    }
    HolderEntry& entry = found->second;
    entry.updatedAt = now;
    // Several agents may hold the flow after its opening packet was retransmitted. The caller chooses one of them,
    // which is not necessarily the last one.
    bool isKnown
        = entry.agent == agent || std::find(entry.others.begin(), entry.others.end(), agent) != entry.others.end();
    if (!isKnown && entry.others.size() >= maxHoldersOfFlow)
        return false;
    if (!isKnown)
        entry.others.push_back(agent);
    return true;
}

void InventoryRecords::trackSequence(Record& record, const InventoryUpdateMessage& message)
{
    bool isSame = record.incarnation == message.incarnation && record.stream == message.stream;
    if (!isSame) {
        TimePoint resyncRequestedAt = record.resyncRequestedAt;
        record = { .incarnation = message.incarnation,
            .stream = message.stream,
            .shardCount = message.shardCount,
            .shards = message.shards,
            .hasGap = false,
            .resyncRequestedAt = resyncRequestedAt };
    }
    bool isNext = !message.isHeartbeat && message.sequence == record.sequence + 1;
    if (isNext)
        record.sequence = message.sequence;
    // A higher sequence number shows that a message was lost; a lower one belongs to a late message.
    if (message.sequence > record.sequence)
        record.hasGap = true;
    if (message.sequence == record.sequence)
        record.state = { message.isComplete, message.isFinal, message.isRegistered };
}

void InventoryRecords::onAgentRestart(Endpoint agent, std::uint64_t incarnation)
{
    auto found = m_records.find(agent);
    if (found != m_records.end() && found->second.incarnation != incarnation)
        m_records.erase(found);
}

std::vector<Endpoint> InventoryRecords::holdersOf(const FlowTuple& flow) const
{
    auto found = m_holders.find(flow);
    if (found == m_holders.end())
        return {};
    std::vector<Endpoint> holders { found->second.agent };
    holders.insert(holders.end(), found->second.others.begin(), found->second.others.end());
    return holders;
}

HolderStatus InventoryRecords::statusOf(Endpoint agent, const FlowTuple& flow, TimePoint now) const
{
    auto found = m_records.find(agent);
    if (found == m_records.end())
        return HolderStatus::Unknown;
    const Record& record = found->second;
    std::uint32_t shard = shardOf(flow, record.shardCount);
    bool hasShard = std::find(record.shards.begin(), record.shards.end(), shard) != record.shards.end();
    if (record.hasGap || !record.state.isComplete || !hasShard)
        return HolderStatus::Unknown;
    bool isCurrent = record.state.isFinal || now < record.lastHeardAt + inventoryLease;
    return isCurrent ? HolderStatus::RuledOut : HolderStatus::Stale;
}

bool InventoryRecords::wasHeardWithin(Endpoint agent, Duration time, TimePoint now) const
{
    auto found = m_records.find(agent);
    return found != m_records.end() && now < found->second.lastHeardAt + time;
}

std::vector<Endpoint> InventoryRecords::liveAgents(TimePoint now) const
{
    std::vector<Endpoint> agents;
    for (const auto& [agent, record] : m_records) {
        if (now < record.lastHeardAt + (record.state.isRegistered ? inventoryLease : unregisteredLease))
            agents.push_back(agent);
    }
    return agents;
}

void InventoryRecords::expire(TimePoint now)
{
    std::erase_if(m_holders, [&](const auto& entry) { return now >= entry.second.updatedAt + holderEntryLifetime; });
    std::erase_if(m_records, [&](const auto& entry) { return now >= entry.second.lastHeardAt + holderEntryLifetime; });
}

} // namespace hawthorncroft
