#include "transit_transfer_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    constexpr std::uint64_t maxRequestSize = std::uint64_t { 1 } << 62; ///< Bytes; keeps positions within 64 bits.

    /** @return Whether the packet starts a request, as far as its data shows. */
    bool startsRequest(const TransitPacket& packet) { return packet.requestSize || !packet.requestId.empty(); }

}

std::int64_t RequestTransfer::positionOf(std::uint32_t sequence) const
{
    // The difference is signed, as the numbers wrap around.
    return m_reference + static_cast<std::int32_t>(sequence - static_cast<std::uint32_t>(m_reference));
}

RequestTransfer::Range RequestTransfer::rangeOf(const TransitPacket& packet) const
{
    std::int64_t begin = positionOf(packet.sequence);
    return { begin, begin + packet.dataSize };
}

bool RequestTransfer::isStartKnownWith(const TransitPacket& packet) const
{
    std::int64_t begin = rangeOf(packet).begin;
    if (isInProgress())
        return m_isStartKnown || (startsRequest(packet) && begin <= m_start);
    // What lies further ahead than callers send is no gap: the expected start is outdated.
    return startsRequest(packet) || (m_next && begin - *m_next <= maxTransferGap);
}

std::int64_t RequestTransfer::startWith(const TransitPacket& packet) const
{
    std::int64_t begin = rangeOf(packet).begin;
    if (isInProgress())
        return std::min(m_start, begin);
    bool isGapBefore = isStartKnownWith(packet) && !startsRequest(packet);
    return isGapBefore ? std::min(*m_next, begin) : begin;
}

std::optional<std::int64_t> RequestTransfer::endWith(const TransitPacket& packet) const
{
    if (m_end)
        return m_end;
    Range range = rangeOf(packet);
    // Text in the middle of a body can look like a head.
    bool isAtStart = !isInProgress() || range.begin <= m_start;
    if (packet.requestSize && isAtStart)
        return range.begin + static_cast<std::int64_t>(std::min(*packet.requestSize, maxRequestSize));
    if (!packet.isFull || packet.flags.isFinal)
        return range.end;
    return std::nullopt;
}

void RequestTransfer::insert(std::vector<Range>& ranges, Range added)
{
    auto first
        = std::find_if(ranges.begin(), ranges.end(), [&](const Range& range) { return range.end >= added.begin; });
    auto last = first;
    for (; last != ranges.end() && last->begin <= added.end; ++last) {
        added.begin = std::min(added.begin, last->begin);
        added.end = std::max(added.end, last->end);
    }
    ranges.insert(ranges.erase(first, last), added);
}

void RequestTransfer::closeOldGaps(std::vector<Range>& ranges, std::int64_t start)
{
    std::int64_t received = ranges.back().end - maxTransferGap;
    if (received > start)
        insert(ranges, { start, received });
    if (ranges.size() > maxTransferRanges)
        insert(ranges, { ranges[0].begin, ranges[1].end });
}

std::int64_t RequestTransfer::coveredFrom(const std::vector<Range>& ranges, std::int64_t start)
{
    return !ranges.empty() && ranges.front().begin <= start ? ranges.front().end : start;
}

TransferRole RequestTransfer::roleOf(const TransitPacket& packet) const
{
    Range range = rangeOf(packet);
    auto contains = [&](const Range& delivered) { return delivered.contains(range); };
    if (m_last && contains(*m_last))
        return TransferRole::Repeat;
    if (std::any_of(m_ranges.begin(), m_ranges.end(), contains))
        return TransferRole::Repeat;
    auto end = endWith(packet);
    if (!end)
        return TransferRole::Part;
    auto ranges = m_ranges;
    insert(ranges, range);
    closeOldGaps(ranges, startWith(packet));
    if (coveredFrom(ranges, startWith(packet)) >= *end)
        return TransferRole::Completing;
    if (range.end < *end)
        return TransferRole::Part;
    return isStartKnownWith(packet) ? TransferRole::Early : TransferRole::Completing;
}

void RequestTransfer::recordOpening(std::uint32_t sequence)
{
    m_reference = std::int64_t { sequence } + 1;
    m_next = m_reference;
}

void RequestTransfer::recordDelivery(const TransitPacket& packet)
{
    TransferRole role = roleOf(packet);
    if (role == TransferRole::Repeat)
        return;
    if (!m_next && !isInProgress())
        m_reference = packet.sequence;
    Range range = rangeOf(packet);
    bool isStartKnown = isStartKnownWith(packet);
    auto end = endWith(packet);
    m_start = startWith(packet);
    m_isStartKnown = isStartKnown;
    m_end = end;
    ++m_packets;
    m_reference = std::max(m_reference, range.end);
    insert(m_ranges, range);
    closeOldGaps(m_ranges, m_start);
    if (role == TransferRole::Completing)
        finish();
}

void RequestTransfer::recordAcknowledgement(std::uint32_t acknowledged)
{
    if (!isInProgress())
        return;
    std::int64_t position = positionOf(acknowledged);
    if (position > m_start && position <= m_ranges.back().end)
        insert(m_ranges, { m_start, position });
}

void RequestTransfer::finish()
{
    if (!isInProgress())
        return;
    std::int64_t end = std::max(m_end.value_or(m_ranges.back().end), m_ranges.back().end);
    if (m_packets > 1 || end > m_ranges.back().end)
        m_last = Range { m_start, end };
    m_next = std::max(m_next.value_or(end), end);
    m_reference = *m_next;
    m_ranges.clear();
    m_isStartKnown = false;
    m_end.reset();
    m_packets = 0;
}

std::uint64_t RequestTransfer::deliveredBytes() const
{
    std::uint64_t bytes = 0;
    for (const Range& range : m_ranges)
        bytes += static_cast<std::uint64_t>(range.end - range.begin);
    return bytes;
}

} // namespace hawthorncroft
