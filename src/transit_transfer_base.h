/**
 * @file transit_transfer_base.h
 * Transfers: requests whose body does not fit one packet, until their last byte has arrived. A transfer uses a
 * connection of the target, but no slot; the packet that completes it is the request that waits for a slot.
 */
#pragma once

#include "transit_type.h"

#include <optional>
#include <vector>

namespace hawthorncroft {

/** Part that a data packet of a caller has in its request. */
enum class TransferRole : std::uint8_t {
    Part, ///< Bytes of the request are missing after it, or its length is not known and the packet is full.
    Completing, ///< With this packet the target has the whole request. A request of one packet is completed by it.
    Early, ///< Carries the last byte while earlier ones are missing.
    Repeat, ///< Was delivered before, or belongs to a transfer that the target has answered.
};

/**
 * Which bytes of a caller's request in progress were delivered to the target. One object for each flow; bounded memory.
 * Packets may arrive out of order and repeatedly. Positions are 64-bit extensions of the caller's sequence numbers.
 * Pure.
 */
class RequestTransfer {
public:
    /** Records the opening packet of the flow, after which the caller's data starts. */
    void recordOpening(std::uint32_t sequence);

    /** @return Part of a packet with data in its request, if it were delivered now. */
    TransferRole roleOf(const TransitPacket& packet) const;

    /** Records that a packet with data was delivered. */
    void recordDelivery(const TransitPacket& packet);

    /** Records that the target has received everything before this sequence number. */
    void recordAcknowledgement(std::uint32_t acknowledged);

    /** Ends the transfer in progress, as the target has answered it. Packets of it that arrive later are repeats. */
    void finish();

    /** @return Whether bytes of a request were delivered that is not complete. */
    bool isInProgress() const { return !m_ranges.empty(); }

    /** @return Bytes delivered of the request in progress, each counted once. */
    std::uint64_t deliveredBytes() const;

private:
    struct Range {
        std::int64_t begin {};
        std::int64_t end {};

        bool contains(const Range& other) const { return begin <= other.begin && other.end <= end; }
    };

    std::int64_t positionOf(std::uint32_t sequence) const;
    Range rangeOf(const TransitPacket& packet) const;
    bool isStartKnownWith(const TransitPacket& packet) const;
    std::int64_t startWith(const TransitPacket& packet) const;
    std::optional<std::int64_t> endWith(const TransitPacket& packet) const;
    static void insert(std::vector<Range>& ranges, Range added);
    static void closeOldGaps(std::vector<Range>& ranges, std::int64_t start);
    static std::int64_t coveredFrom(const std::vector<Range>& ranges, std::int64_t start);

    std::int64_t m_reference {}; ///< Highest position seen; sequence numbers are extended to the nearest position.
    std::optional<std::int64_t> m_next; ///< Position at which the next request starts; none when not known.
    std::vector<Range> m_ranges; ///< Delivered bytes of the request in progress: sorted, disjoint, a bounded number.
    std::int64_t m_start {}; ///< First byte of the request in progress.
    bool m_isStartKnown {}; ///< Otherwise m_start is the lowest byte seen.
    std::optional<std::int64_t> m_end; ///< End of the request in progress; none when not known.
    std::size_t m_packets {}; ///< Packets delivered of the request in progress, without repeated ones.
    std::optional<Range> m_last; ///< Last finished request of several packets.
};

} // namespace hawthorncroft
