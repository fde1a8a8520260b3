#include "replica_fleet.h"

namespace hawthorncroft::bench {

namespace {

    constexpr Duration tickInterval = milliseconds(100);
    constexpr Duration pingInterval = seconds(1);
    constexpr Duration watchLimit = seconds(20);
    constexpr double lossRate = 0.01;
    constexpr Duration retransmission = milliseconds(200);
    constexpr std::size_t datagramHeaderBytes = 28;
    constexpr std::size_t maxDeltaBytes = 1000000;
    constexpr std::uint16_t dataPort = 7000;
    constexpr std::uint16_t controlPort = 7001;

    Endpoint dataOf(std::size_t i) { return { 0x0a000000U + static_cast<std::uint32_t>(i), dataPort }; }
    Endpoint controlOf(std::size_t i) { return { 0x0a000000U + static_cast<std::uint32_t>(i), controlPort }; }
    std::size_t indexOf(Endpoint endpoint) { return endpoint.address - 0x0a000000U; }

    std::string membersText(std::size_t first, std::size_t end)
    {
        MembersDocument document;
        for (std::size_t i = first; i < end; ++i)
            document.members.push_back({ .vm = "vm" + std::to_string(i),
                .failureDomain = "d" + std::to_string(i % 3),
                .data = dataOf(i),
                .control = controlOf(i) });
        return toJson(Document(document));
    }

}

Fleet::Fleet(std::size_t size, std::uint64_t seed)
    : m_random(seed)
{
    constexpr std::size_t membersPerDocument = 100;
    for (std::size_t first = 0; first < size; first += membersPerDocument)
        publish("members/" + std::to_string(first), membersText(first, std::min(size, first + membersPerDocument)));
    for (std::size_t i = 0; i < size; ++i) {
        ReplicaOptions options { .node = NodeId(m_random()),
            .data = dataOf(i),
            .control = controlOf(i),
            .seeds = { dataOf(m_random() % size), dataOf(m_random() % size), dataOf(m_random() % size) },
            .randomSeed = m_random() };
        m_replicas.push_back(std::make_unique<ConfigReplica>(std::move(options)));
        schedule(milliseconds(static_cast<std::int64_t>(m_random() % 1000)), [this, i] { tick(i); });
    }
}

Revision Fleet::publish(const std::string& key, std::string text)
{
    Revision revision(m_platform.completeThrough().value + 1);
    m_platform.apply(
        { m_platform.completeThrough(), revision, false, { { key, revision, std::move(text) } } }, m_platformCounters);
    answerReads();
    return revision;
}

void Fleet::setReach(Reach reach)
{
    m_reach = reach;
    for (auto entry = m_pending.begin(); entry != m_pending.end();) {
        std::size_t i = entry->first;
        if (reachesPlatform(i)) {
            ++entry;
            continue;
        }
        entry = m_pending.erase(entry);
        schedule(milliseconds(50), [this, i] { m_replicas[i]->onPlatformFailed(m_now); });
    }
}

bool Fleet::reachesPlatform(std::size_t i) const
{
    return m_reach == Reach::All || (m_reach == Reach::Half && i % 2 == 0);
}

void Fleet::run(Duration duration)
{
    TimePoint end = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
        Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    m_now = end;
}

Duration Fleet::runUntilReplicated(Revision revision, Duration limit)
{
    TimePoint start = m_now;
    std::size_t next = 0;
    while (m_now - start < limit) {
        while (next < size() && m_replicas[next]->completeThrough() >= revision)
            ++next;
        if (next == size())
            break;
        run(milliseconds(5));
    }
    return m_now - start;
}

Duration Fleet::oldestPlatformAge() const
{
    Duration oldest;
    for (const auto& replica : m_replicas)
        oldest = std::max(oldest, replica->platformAge(m_now).value_or(seconds(3600)));
    return oldest;
}

void Fleet::schedule(Duration delay, std::function<void()> action)
{
    m_events.push({ m_now + delay, ++m_order, std::move(action) });
}

Duration Fleet::networkDelay() { return microseconds(20000 + static_cast<std::int64_t>(m_random() % 40001)); }

Duration Fleet::reliableNetworkDelay()
{
    Duration delay = networkDelay();
    while (static_cast<double>(m_random() % 1000000) < lossRate * 1000000)
        delay = delay + retransmission;
    return delay;
}

void Fleet::tick(std::size_t i)
{
    ReplicaEffects effects;
    auto minute = static_cast<std::uint64_t>(m_now.us / seconds(60).us);
    m_replicas[i]->onTick(m_now, minute, m_random(), effects);
    applyEffects(i, effects);
    schedule(tickInterval, [this, i] { tick(i); });
}

void Fleet::applyEffects(std::size_t i, ReplicaEffects& effects)
{
    for (const auto& effect : effects)
        std::visit([&](const auto& e) { perform(i, e); }, effect);
}

void Fleet::perform(std::size_t i, const SendToProcess& effect)
{
    Bytes bytes;
    encode(effect.packet, bytes);
    m_traffic.datagramBytes += bytes.size() + trailerBytes + datagramHeaderBytes;
    if (static_cast<double>(m_random() % 1000000) < lossRate * 1000000)
        return;
    std::size_t to = indexOf(effect.to);
    schedule(networkDelay(), [this, i, to, packet = effect.packet] { deliver(i, to, packet); });
}

void Fleet::deliver(std::size_t from, std::size_t to, const Packet& packet)
{
    ReplicaEffects effects;
    if (packet.kind == PacketKind::Stamp)
        m_replicas[to]->onStamp(m_now, dataOf(from), packet, effects);
    else
        m_replicas[to]->onStampReply(m_now, dataOf(from), packet, effects);
    applyEffects(to, effects);
}

void Fleet::perform(std::size_t i, const FetchDelta& effect)
{
    // The connection set-up takes one round trip, the request and its answer another.
    Duration toPeer = reliableNetworkDelay() + reliableNetworkDelay() + reliableNetworkDelay();
    std::size_t peer = indexOf(effect.control);
    schedule(toPeer, [this, i, peer, effect] {
        Delta delta = m_replicas[peer]->store().deltaSince(effect.since, maxDeltaBytes);
        m_traffic.streamBytes += toJson(delta).size() + streamOverheadBytes;
        schedule(reliableNetworkDelay(), [this, i, effect, delta = std::move(delta)] {
            ReplicaEffects effects;
            m_replicas[i]->applyDelta(m_now, effect.control, delta, effects);
            applyEffects(i, effects);
        });
    });
}

void Fleet::perform(std::size_t i, const ReadPlatform& effect)
{
    ++m_platformCalls;
    if (!reachesPlatform(i)) {
        schedule(milliseconds(100), [this, i] { m_replicas[i]->onPlatformFailed(m_now); });
        return;
    }
    m_traffic.streamBytes += streamOverheadBytes;
    std::uint64_t number = ++m_nextRead;
    m_pending[i] = { effect.since, number, m_now };
    schedule(networkDelay(), [this] { answerReads(); });
    schedule(networkDelay() + networkDelay(), [this, i, number] { ping(i, number); });
    schedule(watchLimit, [this, i, number] {
        if (isPending(i, number))
            answer(i, m_pending[i]);
    });
}

bool Fleet::isPending(std::size_t i, std::uint64_t number) const
{
    auto entry = m_pending.find(i);
    return entry != m_pending.end() && entry->second.number == number;
}

void Fleet::answerReads()
{
    std::vector<std::pair<std::size_t, PendingRead>> due;
    for (const auto& entry : m_pending) {
        if (entry.second.since < m_platform.completeThrough() && entry.second.startedAt < m_now)
            due.push_back(entry);
    }
    for (const auto& [i, read] : due)
        answer(i, read);
}

void Fleet::answer(std::size_t i, PendingRead read)
{
    m_pending.erase(i);
    Delta delta = m_platform.deltaSince(read.since, maxDeltaBytes);
    m_traffic.streamBytes += toJson(delta).size();
    schedule(reliableNetworkDelay(), [this, i, delta = std::move(delta)] {
        ReplicaEffects effects;
        m_replicas[i]->applyPlatform(m_now, delta, effects);
        applyEffects(i, effects);
    });
}

void Fleet::ping(std::size_t i, std::uint64_t number)
{
    if (!isPending(i, number))
        return;
    m_traffic.streamBytes += pingBytes;
    m_replicas[i]->onPlatformAlive(m_now);
    schedule(pingInterval, [this, i, number] { ping(i, number); });
}

} // namespace hawthorncroft::bench
