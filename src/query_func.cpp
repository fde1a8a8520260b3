#include "query_func.h"

#include <algorithm>
#include <charconv>

namespace hawthorncroft {

namespace {

    bool isPlain(char c)
    {
        bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        return isLetter || (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~';
    }

    std::optional<std::string> decoded(std::string_view value)
    {
        std::string text;
        for (std::size_t i = 0; i < value.size(); ++i) {
            if (value[i] != '%') {
                text += value[i];
                continue;
            }
            unsigned byte = 0;
            const char* end = value.data() + i + 3;
            if (i + 2 >= value.size() || std::from_chars(value.data() + i + 1, end, byte, 16).ptr != end)
                return std::nullopt;
            text += static_cast<char>(byte);
            i += 2;
        }
        return text;
    }

}

std::string encodeQueryValue(std::string_view value)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string text;
    for (char c : value) {
        auto byte = static_cast<unsigned char>(c);
        if (isPlain(c))
            text += c;
        else
            text.append({ '%', digits[byte >> 4], digits[byte & 15] });
    }
    return text;
}

std::optional<std::string> queryValue(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        std::string_view part = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), part.size() + 1));
        std::size_t equals = part.find('=');
        if (equals != std::string_view::npos && part.substr(0, equals) == name)
            return decoded(part.substr(equals + 1));
    }
    return std::nullopt;
}

} // namespace hawthorncroft
