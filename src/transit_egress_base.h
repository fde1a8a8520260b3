/**
 * @file transit_egress_base.h
 * Order of datagrams at a link that is the bottleneck: strict priority between classes, equal shares of the flows
 * within a class, bounds by age and bytes. Pure.
 */
#pragma once

#include "transit_egress_type.h"
#include "transit_message_type.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace hawthorncroft {

/**
 * @param body A message that a balancer sends.
 * @param priority Priority of the route of the packet in the message; see RouteRecord.
 * @return Class of the message. Messages between processes and opening packets come first, then packets of open flows
 * by priority, small ones and queries for a holder before full ones.
 */
EgressClass egressClassOf(const MessageBody& body, std::uint8_t priority);

/** @return Flow of the packet that the message forwards; null for other messages. */
const FlowTuple* forwardedFlowOf(const MessageBody& body);

/**
 * Queue in front of a link. Datagrams leave at the rate of the link, including the overhead of each datagram on the
 * wire. Not thread-safe.
 */
class TransitEgress {
public:
    /** @param linkBytesPerSecond Rate of the link; zero when datagrams are not held back. */
    explicit TransitEgress(std::int64_t linkBytesPerSecond);

    /**
     * Checks whether a datagram may leave at once: the link has capacity and nothing waits. If so, the datagram counts
     * as sent.
     * @param bytes Size of the datagram without overhead.
     * @return Whether the datagram may leave. Otherwise it is passed to push().
     */
    bool trySend(std::size_t bytes, TimePoint now);

    /** Adds a datagram that may not leave yet. Drops datagrams when the queue is full. */
    void push(EgressDatagram datagram, TimePoint now);

    /** @return The next datagram that may leave now, if any. Drops datagrams that waited too long. */
    std::optional<EgressDatagram> pop(TimePoint now);

    /**
     * @return Time at which enough capacity for several datagrams is available, if any wait. One wake-up then sends
     * several datagrams.
     */
    std::optional<TimePoint> releaseAt() const;

    bool empty() const { return m_items.empty(); }

    EgressState state(TimePoint now) const;

    /** What was dropped for one reason since the last call of takeDrops(). */
    struct DropReport {
        EgressDrops drops;
        FlowTuple flow; ///< Flow of the last dropped datagram.
        EgressClass order; ///< Its class.
        Duration age; ///< Time that it had waited.
    };

    /** @return Drops by reason since the last call. */
    std::array<DropReport, static_cast<std::size_t>(EgressDrop::End)> takeDrops();

private:
    /** Sequence number of a datagram, in the order of arrival. */
    using Number = std::uint64_t;

    struct Item {
        EgressDatagram datagram;
        std::int64_t wireBytes {};
        TimePoint pushedAt;
    };

    struct Flow {
        std::deque<Number> numbers;
        std::int64_t waitingBytes {};
        std::int64_t deficit {}; ///< Bytes that the flow may send before the next flow's turn.
    };

    /** Flows of one class, served by deficit round robin. */
    struct Class {
        std::unordered_map<std::uint64_t, Flow> flows; ///< By hash; only flows with waiting datagrams.
        std::deque<std::uint64_t> turns; ///< Flows in the order of their turns.
        std::set<std::pair<std::int64_t, std::uint64_t>> bySize; ///< Flows by waiting bytes.
    };

    void refill(TimePoint now);
    bool hasTokensFor(std::int64_t wireBytes) const;
    void takeTokens(std::int64_t wireBytes) { m_tokens -= wireBytes * microsecondsPerSecond; }
    std::uint64_t nextFlow(Class& order);
    EgressDatagram remove(Number number);
    void drop(Number number, EgressDrop reason, TimePoint now);
    void dropExpired(TimePoint now);

    static constexpr std::int64_t microsecondsPerSecond = 1000000;

    std::int64_t m_rate; ///< Bytes per second.
    std::int64_t m_maxWaitingBytes;
    std::int64_t m_tokens; ///< Capacity that was not used, in millionths of a byte; negative after a large datagram.
    TimePoint m_refilledAt;
    std::map<EgressClass, Class> m_classes; ///< Only classes with waiting datagrams.
    std::map<Number, Item> m_items; ///< In the order of arrival.
    Number m_lastNumber {};
    std::int64_t m_waitingBytes {};
    std::array<EgressDrops, static_cast<std::size_t>(EgressDrop::End)> m_dropped {};
    std::array<DropReport, static_cast<std::size_t>(EgressDrop::End)> m_reports {};
};

} // namespace hawthorncroft
