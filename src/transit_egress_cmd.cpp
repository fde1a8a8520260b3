#include "transit_egress_base.h"

#include "table/transit_limits.h"

#include <algorithm>
#include <utility>

namespace hawthorncroft {

namespace {

    std::int64_t wireBytesOf(std::size_t bytes) { return static_cast<std::int64_t>(bytes) + datagramHeaderBytes; }

}

EgressClass egressClassOf(const MessageBody& body, std::uint8_t priority)
{
    const auto* forward = std::get_if<ForwardMessage>(&body);
    if (!forward || forward->packet.flags.asksForFlow())
        return {};
    // The other packets of a flow wait for the answer to a query, and an unanswered query is sent to many agents.
    bool isSmall = forward->packet.dataSize <= smallPacketBytes || forward->isLocating;
    return { static_cast<std::uint16_t>(1 + 2 * priority + (isSmall ? 0 : 1)) };
}

const FlowTuple* forwardedFlowOf(const MessageBody& body)
{
    const auto* forward = std::get_if<ForwardMessage>(&body);
    return forward ? &forward->packet.flow : nullptr;
}

TransitEgress::TransitEgress(std::int64_t linkBytesPerSecond)
    : m_rate(std::max<std::int64_t>(linkBytesPerSecond, 0))
    , m_maxWaitingBytes(std::max(m_rate / microsecondsPerSecond * egressQueueTime.us
              + m_rate % microsecondsPerSecond * egressQueueTime.us / microsecondsPerSecond,
          egressBurstBytes))
    , m_tokens(egressBurstBytes * microsecondsPerSecond)
{
}

void TransitEgress::refill(TimePoint now)
{
    // The first call, or a clock that went back: no time has passed that could be counted.
    Duration elapsed = now > m_refilledAt ? now - m_refilledAt : Duration {};
    m_refilledAt = now;
    constexpr std::int64_t full = egressBurstBytes * microsecondsPerSecond;
    bool isFilled
        = !m_rate || elapsed.us > (full - m_tokens) / m_rate; // Compared this way, as the product may overflow.
    m_tokens = isFilled ? full : m_tokens + elapsed.us * m_rate;
}

bool TransitEgress::hasTokensFor(std::int64_t wireBytes) const
{
    // A datagram larger than the burst leaves when the bucket is full, and the next ones wait longer.
    return m_tokens >= std::min(wireBytes, egressBurstBytes) * microsecondsPerSecond;
}

bool TransitEgress::trySend(std::size_t bytes, TimePoint now)
{
    if (!m_rate)
        return true;
    if (!m_items.empty())
        return false;
    refill(now);
    std::int64_t wireBytes = wireBytesOf(bytes);
    if (!hasTokensFor(wireBytes))
        return false;
    takeTokens(wireBytes);
    return true;
}

void TransitEgress::push(EgressDatagram datagram, TimePoint now)
{
    std::int64_t wireBytes = wireBytesOf(datagram.bytes.size());
    Class& order = m_classes[datagram.order];
    auto [found, isNew] = order.flows.try_emplace(datagram.flowHash);
    Flow& flow = found->second;
    if (isNew) {
        flow.deficit = egressQuantumBytes;
        order.turns.push_back(datagram.flowHash);
    }
    order.bySize.erase({ flow.waitingBytes, datagram.flowHash });
    flow.numbers.push_back(++m_lastNumber);
    flow.waitingBytes += wireBytes;
    order.bySize.insert({ flow.waitingBytes, datagram.flowHash });
    m_waitingBytes += wireBytes;
    m_items.emplace(m_lastNumber, Item { std::move(datagram), wireBytes, now });
    while (m_waitingBytes > m_maxWaitingBytes) {
        // The newest datagram of the flow with the most bytes, so that a flow that sends more than the others does not
        // push theirs out.
        const Class& last = m_classes.rbegin()->second;
        drop(last.flows.at(last.bySize.rbegin()->second).numbers.back(), EgressDrop::Bytes, now);
    }
}

std::optional<EgressDatagram> TransitEgress::pop(TimePoint now)
{
    if (m_items.empty())
        return std::nullopt;
    refill(now);
    dropExpired(now);
    if (m_items.empty())
        return std::nullopt;
    Class& first = m_classes.begin()->second;
    Flow& flow = first.flows.at(nextFlow(first));
    Number number = flow.numbers.front();
    std::int64_t wireBytes = m_items.at(number).wireBytes;
    if (!hasTokensFor(wireBytes))
        return std::nullopt;
    takeTokens(wireBytes);
    flow.deficit -= wireBytes;
    return remove(number);
}

std::uint64_t TransitEgress::nextFlow(Class& order)
{
    while (true) {
        std::uint64_t hash = order.turns.front();
        Flow& flow = order.flows.at(hash);
        if (flow.deficit >= m_items.at(flow.numbers.front()).wireBytes)
            return hash;
        flow.deficit += egressQuantumBytes;
        order.turns.pop_front();
        order.turns.push_back(hash);
    }
}

EgressDatagram TransitEgress::remove(Number number)
{
    auto node = m_items.extract(number);
    Item& item = node.mapped();
    std::uint64_t hash = item.datagram.flowHash;
    auto order = m_classes.find(item.datagram.order);
    Flow& flow = order->second.flows.at(hash);
    // Only the oldest or the newest datagram of a flow is removed.
    if (flow.numbers.front() == number)
        flow.numbers.pop_front();
    else
        flow.numbers.pop_back();
    order->second.bySize.erase({ flow.waitingBytes, hash });
    flow.waitingBytes -= item.wireBytes;
    m_waitingBytes -= item.wireBytes;
    if (!flow.numbers.empty()) {
        order->second.bySize.insert({ flow.waitingBytes, hash });
        return std::move(item.datagram);
    }
    order->second.flows.erase(hash);
    auto& turns = order->second.turns;
    if (turns.front() == hash)
        turns.pop_front(); // Usual case: the datagram leaves.
    else
        std::erase(turns, hash);
    if (order->second.flows.empty())
        m_classes.erase(order);
    return std::move(item.datagram);
}

void TransitEgress::drop(Number number, EgressDrop reason, TimePoint now)
{
    const Item& item = m_items.at(number);
    auto bytes = static_cast<std::uint64_t>(item.wireBytes);
    Duration age = now - item.pushedAt;
    EgressDatagram dropped = remove(number);
    auto index = static_cast<std::size_t>(reason);
    DropReport& report = m_reports[index];
    for (EgressDrops* drops : { &m_dropped[index], &report.drops }) {
        ++drops->datagrams;
        drops->bytes += bytes;
    }
    report.flow = dropped.flow;
    report.order = dropped.order;
    report.age = age;
}

void TransitEgress::dropExpired(TimePoint now)
{
    // The oldest datagram of all is also the oldest of its flow.
    while (!m_items.empty() && now >= m_items.begin()->second.pushedAt + egressMaxAge)
        drop(m_items.begin()->first, EgressDrop::Age, now);
}

std::optional<TimePoint> TransitEgress::releaseAt() const
{
    if (m_items.empty() || !m_rate)
        return std::nullopt;
    constexpr std::int64_t full = egressBurstBytes * microsecondsPerSecond;
    std::int64_t wanted = m_tokens < full / 2 ? full / 2 : full;
    return m_refilledAt + Duration { (wanted - m_tokens) / m_rate + 1 };
}

EgressState TransitEgress::state(TimePoint now) const
{
    return { .linkBytesPerSecond = m_rate,
        .waitingBytes = m_waitingBytes,
        .waitingDatagrams = m_items.size(),
        .oldestAge = m_items.empty() ? Duration {} : now - m_items.begin()->second.pushedAt,
        .dropped = m_dropped };
}

std::array<TransitEgress::DropReport, static_cast<std::size_t>(EgressDrop::End)> TransitEgress::takeDrops()
{
    return std::exchange(m_reports, {});
}

} // namespace hawthorncroft
