#include "transit_inventory_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    constexpr std::size_t flowsPerNote = 40; ///< Flows in one message to a locator; fits a datagram.

}

void InventoryStreams::assign(const TransitLocators& locators, std::uint32_t self)
{
    auto duties = locators.duties();
    duties.erase(self); // A locator looks at its own flows first.
    bool isOtherCount = m_shardCount != locators.shardCount();
    m_shardCount = locators.shardCount();
    std::erase_if(m_streams, [&](const auto& entry) { return !duties.contains(entry.first); });
    for (auto& [address, shards] : duties) {
        auto found = m_streams.find(address);
        if (found != m_streams.end() && found->second.shards == shards && !isOtherCount)
            continue;
        m_streams[address] = { .number = ++m_lastStream, .shards = std::move(shards) };
    }
}

void InventoryStreams::noteTaken(std::uint32_t locator, const InventoryAckMessage& taken)
{
    auto found = m_streams.find(locator);
    if (found != m_streams.end() && found->second.number == taken.stream)
        found->second.taken = std::max(found->second.taken, taken.sequence);
}

Duration InventoryStreams::intervalOf(const Stream& stream, InventoryClaim claim, TimePoint now)
{
    // A locator that was silent for the lease vouches for nobody, so that there is no hurry.
    bool isHurried = stream.taken != stream.sequence && now < stream.notedAt + vouchLease;
    if (claim.isFinal || isHurried)
        return confirmAfterNote;
    return claim.isRegistered ? confirmInterval : unregisteredConfirmInterval;
}

void InventoryStreams::restart(std::uint32_t locator)
{
    auto found = m_streams.find(locator);
    if (found == m_streams.end())
        return;
    found->second.number = ++m_lastStream;
    found->second.needsList = true;
}

void InventoryStreams::renew(TimePoint now)
{
    for (auto& [locator, stream] : m_streams) {
        if (!stream.needsList && now >= stream.listedAt + noteLifetime / 2)
            restart(locator);
    }
}

bool InventoryStreams::needsLists() const
{
    return std::any_of(m_streams.begin(), m_streams.end(), [](const auto& entry) { return entry.second.needsList; });
}

InventoryMessages InventoryStreams::lists(const std::vector<FlowTuple>& held, InventoryClaim claim, TimePoint now)
{
    InventoryMessages messages;
    for (auto& [locator, stream] : m_streams) {
        if (!stream.needsList)
            continue;
        std::vector<FlowTuple> flows;
        for (const auto& flow : held) {
            if (tellsOf(stream, flow))
                flows.push_back(flow);
        }
        stream.needsList = false;
        stream.sequence = 0;
        stream.taken = 0;
        stream.notedAt = now;
        stream.listedAt = now;
        stream.confirmAt = now + confirmAfterNote;
        // The first message says that a stream begins, also when there are no flows.
        for (std::size_t at = 0; at == 0 || at < flows.size(); at += flowsPerNote) {
            auto begin = flows.begin() + static_cast<std::ptrdiff_t>(at);
            auto end = flows.begin() + static_cast<std::ptrdiff_t>(std::min(at + flowsPerNote, flows.size()));
            bool isLast = at + flowsPerNote >= flows.size();
            ++stream.sequence;
            InventoryClaim part { claim.isComplete && isLast, claim.isFinal && isLast, claim.isRegistered };
            messages.push_back({ locator, makeMessage(stream, { begin, end }, part) });
        }
    }
    return messages;
}

InventoryMessages InventoryStreams::note(const FlowTuple& flow, InventoryClaim claim, TimePoint now)
{
    InventoryMessages messages;
    for (auto& [locator, stream] : m_streams) {
        if (!tellsOf(stream, flow) || stream.needsList)
            continue; // The list will contain it.
        ++stream.sequence;
        stream.notedAt = now;
        stream.confirmAt = std::min(stream.confirmAt, now + confirmAfterNote);
        messages.push_back({ locator, makeMessage(stream, { flow }, claim) });
    }
    return messages;
}

InventoryMessages InventoryStreams::confirm(InventoryClaim claim, TimePoint now)
{
    InventoryMessages messages;
    for (auto& [locator, stream] : m_streams) {
        if (stream.needsList || now < stream.confirmAt)
            continue;
        stream.confirmAt = now + intervalOf(stream, claim, now);
        messages.push_back({ locator, makeMessage(stream, {}, claim) });
        messages.back().body.isHeartbeat = true;
    }
    return messages;
}

InventoryMessages InventoryStreams::confirmAll(InventoryClaim claim, TimePoint now)
{
    for (auto& [locator, stream] : m_streams)
        stream.confirmAt = now;
    return confirm(claim, now);
}

bool InventoryStreams::tellsOf(const Stream& stream, const FlowTuple& flow) const
{
    return std::find(stream.shards.begin(), stream.shards.end(), shardOf(flow, m_shardCount)) != stream.shards.end();
}

InventoryUpdateMessage InventoryStreams::makeMessage(
    const Stream& stream, std::vector<FlowTuple> flows, InventoryClaim claim) const
{
    return {
        .flows = std::move(flows),
        .incarnation = m_incarnation,
        .stream = stream.number,
        .sequence = stream.sequence,
        .shardCount = m_shardCount,
        .shards = stream.shards,
        .wantsAck = stream.taken != stream.sequence,
        .isComplete = claim.isComplete,
        .isFinal = claim.isFinal,
        .isRegistered = claim.isRegistered,
    };
}

InventoryRecords::Answer InventoryRecords::note(Endpoint from, const InventoryUpdateMessage& message, TimePoint now)
{
    bool isTaken = true;
    for (const auto& flow : message.flows)
        isTaken &= noteHolder(flow, from, now);
    if (m_records.size() >= maxMembers && !m_records.contains(from))
        return {}; // Not vouched for; it is asked itself.
    Record& record = m_records[from];
    bool isOld = record.incarnation == message.incarnation && message.stream < record.stream;
    if (isOld)
        return {}; // Overtaken by a stream that began later.
    takeNumber(record, message);
    record.heardAt = now;
    record.hasGap |= !isTaken;
    if (!record.hasGap && message.wantsAck)
        return InventoryAckMessage { record.stream, record.sequence };
    if (!record.hasGap || now < record.askedAt + repeatNotesGap)
        return {};
    record.askedAt = now;
    return InventoryResyncMessage {};
}

bool InventoryRecords::noteHolder(const FlowTuple& flow, Endpoint agent, TimePoint now)
{
    auto found = m_holders.find(flow);
    if (found == m_holders.end()) {
        if (m_holders.size() >= maxNotedFlows)
            return false;
        m_holders[flow] = { .agent = agent, .others = {}, .notedAt = now };
        return true;
    }
    Note& note = found->second;
    note.notedAt = now;
    // Copies of an opening packet reach several agents; the caller chooses one, which need not be the last.
    bool isKnown = note.agent == agent || std::find(note.others.begin(), note.others.end(), agent) != note.others.end();
    if (!isKnown && note.others.size() >= maxHoldersOfFlow)
        return false;
    if (!isKnown)
        note.others.push_back(agent);
    return true;
}

void InventoryRecords::takeNumber(Record& record, const InventoryUpdateMessage& message)
{
    bool isSame = record.incarnation == message.incarnation && record.stream == message.stream;
    if (!isSame) {
        TimePoint askedAt = record.askedAt;
        record = { .incarnation = message.incarnation,
            .stream = message.stream,
            .shardCount = message.shardCount,
            .shards = message.shards,
            .hasGap = false,
            .askedAt = askedAt };
    }
    bool isNext = !message.isHeartbeat && message.sequence == record.sequence + 1;
    if (isNext)
        record.sequence = message.sequence;
    // A number that was not reached means that a message is missing; a lower one came late.
    if (message.sequence > record.sequence)
        record.hasGap = true;
    if (message.sequence == record.sequence)
        record.claim = { message.isComplete, message.isFinal, message.isRegistered };
}

void InventoryRecords::noteRestart(Endpoint agent, std::uint64_t incarnation)
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

InventoryWord InventoryRecords::wordOn(Endpoint agent, const FlowTuple& flow, TimePoint now) const
{
    auto found = m_records.find(agent);
    if (found == m_records.end())
        return InventoryWord::Doubtful;
    const Record& record = found->second;
    std::uint32_t shard = shardOf(flow, record.shardCount);
    bool hasShard = std::find(record.shards.begin(), record.shards.end(), shard) != record.shards.end();
    if (record.hasGap || !record.claim.isComplete || !hasShard)
        return InventoryWord::Doubtful;
    bool isCurrent = record.claim.isFinal || now < record.heardAt + vouchLease;
    return isCurrent ? InventoryWord::Certain : InventoryWord::Silent;
}

bool InventoryRecords::wasHeardWithin(Endpoint agent, Duration time, TimePoint now) const
{
    auto found = m_records.find(agent);
    return found != m_records.end() && now < found->second.heardAt + time;
}

std::vector<Endpoint> InventoryRecords::heardAgents(TimePoint now) const
{
    std::vector<Endpoint> agents;
    for (const auto& [agent, record] : m_records) {
        if (now < record.heardAt + (record.claim.isRegistered ? vouchLease : unregisteredLease))
            agents.push_back(agent);
    }
    return agents;
}

void InventoryRecords::expire(TimePoint now)
{
    std::erase_if(m_holders, [&](const auto& entry) { return now >= entry.second.notedAt + noteLifetime; });
    std::erase_if(m_records, [&](const auto& entry) { return now >= entry.second.heardAt + noteLifetime; });
}

} // namespace hawthorncroft
