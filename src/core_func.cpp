#include "core_type.h"

#include <charconv>
#include <string_view>

namespace hawthorncroft {

std::string toString(Endpoint endpoint)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        text += std::to_string((endpoint.address >> shift) & 0xff);
        text += shift ? '.' : ':';
    }
    return text + std::to_string(endpoint.port);
}

namespace {

    /** Parses a decimal number of at most `limit` and the separator after it; removes both from the text. */
    bool takeNumber(std::string_view& text, char separator, std::uint32_t limit, std::uint32_t& number)
    {
        const char* end = text.data() + text.size();
        auto [next, error] = std::from_chars(text.data(), end, number);
        if (error != std::errc() || number > limit)
            return false;
        if (separator == '\0') {
            text = {};
            return next == end;
        }
        if (next == end || *next != separator)
            return false;
        text = std::string_view(next + 1, static_cast<std::size_t>(end - next - 1));
        return true;
    }

}

bool parseEndpoint(const std::string& text, Endpoint& endpoint)
{
    std::string_view rest = text;
    std::uint32_t address = 0;
    for (int i = 0; i < 4; ++i) {
        std::uint32_t octet = 0;
        if (!takeNumber(rest, i == 3 ? ':' : '.', 255, octet))
            return false;
        address = (address << 8) | octet;
    }
    std::uint32_t port = 0;
    if (!takeNumber(rest, '\0', 65535, port) || !port)
        return false;
    endpoint = { address, static_cast<std::uint16_t>(port) };
    return true;
}

} // namespace hawthorncroft
