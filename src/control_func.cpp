#include "control_func.h"
#include "name_table_type.h"

#include "table/control_names.h"

#include <algorithm>
#include <charconv>

namespace hawthorncroft {

namespace {

    std::uint64_t compute(const Mac& mac, const std::string& text)
    {
        return mac.compute({ reinterpret_cast<const std::uint8_t*>(text.data()), text.size() });
    }

}

std::uint64_t controlRequestMac(const Mac& mac, std::string_view method, std::string_view path, std::uint64_t nonce)
{
    // Method and path contain no newline, so different requests give different MAC inputs.
    std::string text = "request\n" + toHex(nonce) + "\n";
    text.append(method).append("\n").append(path);
    return compute(mac, text);
}

std::uint64_t controlReplyMac(const Mac& mac, std::uint64_t nonce, int status, std::string_view body)
{
    std::string text = "reply\n" + toHex(nonce) + "\n" + std::to_string(status) + "\n";
    text.append(body);
    return compute(mac, text);
}

std::string toHex(std::uint64_t number)
{
    std::string text(16, '0');
    for (std::size_t i = 0; i < text.size(); ++i)
        text[i] = "0123456789abcdef"[(number >> (60 - 4 * i)) & 15];
    return text;
}

std::optional<std::uint64_t> fromHex(std::string_view text)
{
    std::uint64_t number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
    if (error != std::errc() || toHex(number) != text)
        return {};
    return number;
}

void splitControlPath(std::string_view text, ControlRequest& request)
{
    std::size_t mark = std::min(text.find('?'), text.size());
    request.path = text.substr(0, mark);
    text.remove_prefix(std::min(mark + 1, text.size()));
    request.queryText = text;
    while (!text.empty()) {
        std::string_view field = text.substr(0, text.find('&'));
        std::size_t equals = std::min(field.find('='), field.size());
        std::string_view value = field.substr(std::min(equals + 1, field.size()));
        request.query[std::string(field.substr(0, equals))] = value;
        text.remove_prefix(std::min(field.size() + 1, text.size()));
    }
}

NonceMemory::NonceMemory(std::size_t bound)
    : m_generation(std::max<std::size_t>(bound / 2, 1))
{
}

bool NonceMemory::add(std::uint64_t nonce)
{
    if (m_previous.contains(nonce) || !m_current.insert(nonce).second)
        return false;
    if (m_current.size() >= m_generation) {
        m_previous = std::move(m_current);
        m_current.clear();
    }
    return true;
}

PeerRateLimiter::PeerRateLimiter(std::size_t perSecond, std::size_t peers)
    : m_perSecond(perSecond)
    , m_peers(peers)
{
}

bool PeerRateLimiter::allow(std::uint32_t address, TimePoint now)
{
    if (now - m_second >= seconds(1)) {
        m_second = now;
        m_counts.clear();
    }
    if (m_counts.size() >= m_peers && !m_counts.contains(address))
        return false;
    return ++m_counts[address] <= m_perSecond;
}

std::string_view nameOf(ControlError error) { return lookUpName(controlErrorNames, error); }

std::string_view nameOf(ControlCounter counter) { return lookUpName(controlCounterNames, counter); }

} // namespace hawthorncroft
