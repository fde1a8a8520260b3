#include "transit_codec_func.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    constexpr std::size_t fragmentHeaderSize = 8; ///< Message number, index and count, little-endian.

    void putNumber(std::vector<std::uint8_t>& out, std::uint32_t value, std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i)
            out.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
    }

    std::uint32_t numberAt(std::span<const std::uint8_t> bytes, std::size_t at, std::size_t size)
    {
        std::uint32_t value = 0;
        for (std::size_t i = 0; i < size; ++i)
            value |= static_cast<std::uint32_t>(bytes[at + i]) << (8 * i);
        return value;
    }

}

std::vector<std::vector<std::uint8_t>> FragmentJoiner::split(const std::vector<std::uint8_t>& message)
{
    std::size_t count = std::max<std::size_t>(1, (message.size() + fragmentSize - 1) / fragmentSize);
    std::vector<std::vector<std::uint8_t>> datagrams;
    if (count > maxFragments)
        return datagrams;
    std::uint32_t number = ++m_lastNumber;
    for (std::size_t i = 0; i < count; ++i) {
        std::size_t begin = i * fragmentSize;
        std::size_t end = std::min(begin + fragmentSize, message.size());
        std::vector<std::uint8_t> datagram;
        datagram.reserve(fragmentHeaderSize + end - begin);
        putNumber(datagram, number, 4);
        putNumber(datagram, static_cast<std::uint32_t>(i), 2);
        putNumber(datagram, static_cast<std::uint32_t>(count), 2);
        datagram.insert(datagram.end(), message.begin() + static_cast<std::ptrdiff_t>(begin),
            message.begin() + static_cast<std::ptrdiff_t>(end));
        datagrams.push_back(std::move(datagram));
    }
    return datagrams;
}

std::optional<std::vector<std::uint8_t>> FragmentJoiner::join(
    Endpoint from, std::span<const std::uint8_t> datagram, TimePoint now)
{
    if (datagram.size() < fragmentHeaderSize)
        return std::nullopt;
    std::uint32_t number = numberAt(datagram, 0, 4);
    std::size_t index = numberAt(datagram, 4, 2);
    std::size_t count = numberAt(datagram, 6, 2);
    auto content = datagram.subspan(fragmentHeaderSize);
    if (!count || count > maxFragments || index >= count)
        return std::nullopt;
    if (count == 1)
        return std::vector<std::uint8_t>(content.begin(), content.end());
    while (!m_partials.empty()
        && (m_partials.size() > maxPartialMessages || now >= m_partials.front().startedAt + fragmentLifetime))
        m_partials.pop_front();
    auto partial = std::find_if(m_partials.begin(), m_partials.end(),
        [&](const Partial& p) { return p.from == from && p.number == number && p.parts.size() == count; });
    if (partial == m_partials.end()) {
        m_partials.push_back({ from, number, now, count, std::vector<std::vector<std::uint8_t>>(count) });
        partial = std::prev(m_partials.end());
    }
    auto& part = partial->parts[index];
    if (!part.empty() || content.empty())
        return std::nullopt;
    part.assign(content.begin(), content.end());
    if (--partial->missing)
        return std::nullopt;
    std::vector<std::uint8_t> message;
    for (const auto& piece : partial->parts)
        message.insert(message.end(), piece.begin(), piece.end());
    m_partials.erase(partial);
    return message;
}

} // namespace hawthorncroft
