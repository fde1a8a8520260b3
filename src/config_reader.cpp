#include "config_reader.h"

#include "table/limits.h"

#include <boost/json.hpp>

#include <algorithm>

namespace hawthorncroft {

namespace json = boost::json;

namespace {

    constexpr std::size_t maxShownBytes = 60; ///< Longer values are shortened in messages.

    /** Shortens a value without splitting a UTF-8 sequence. */
    std::string shortened(std::string_view text)
    {
        if (text.size() <= maxShownBytes)
            return std::string(text);
        std::size_t length = maxShownBytes;
        while (length > 0 && (static_cast<unsigned char>(text[length]) & 0xc0) == 0x80)
            --length;
        return std::string(text.substr(0, length)) + "...";
    }

    std::string allowedIntegers(Range range)
    {
        return std::to_string(range.lowest) + " to " + std::to_string(range.highest);
    }

    bool readInteger(const json::value& value, Range range, std::uint32_t& number)
    {
        if (!value.is_int64())
            return false;
        std::int64_t found = value.get_int64();
        if (found < range.lowest || found > range.highest)
            return false;
        number = static_cast<std::uint32_t>(found);
        return true;
    }

    std::string allowedName() { return "text of 1 to " + std::to_string(maxNameBytes) + " printable bytes"; }

    bool isControl(char c)
    {
        auto byte = static_cast<unsigned char>(c);
        return byte < 0x20 || byte == 0x7f;
    }

    bool isName(const json::value& value)
    {
        if (!value.is_string())
            return false;
        const auto& text = value.get_string();
        return !text.empty() && text.size() <= maxNameBytes && std::none_of(text.begin(), text.end(), isControl);
    }

    std::string textOf(const json::value& value)
    {
        const auto& text = value.get_string();
        return { text.data(), text.size() };
    }

    std::string indexed(const std::string& path, std::size_t index) { return path + "[" + std::to_string(index) + "]"; }

}

std::string toString(const ConfigFault& fault)
{
    std::string text = fault.document;
    if (!fault.path.empty())
        text += ": " + fault.path;
    if (fault.warning)
        return text + ": warning: " + fault.value + ": " + fault.allowed + ".";
    return text + ": " + fault.value + " is not allowed: expected " + fault.allowed + ".";
}

void FaultList::add(std::string path, std::string_view value, std::string allowed)
{
    m_faults.push_back({ m_document, std::move(path), shortened(value), std::move(allowed) });
}

void FaultList::add(std::string path, const json::value& value, std::string allowed)
{
    add(std::move(path), std::string_view(json::serialize(value)), std::move(allowed));
}

ObjectReader::ObjectReader(FaultList& faults, const json::value& value, std::string path)
    : m_faults(faults)
    , m_object(value.if_object())
    , m_path(std::move(path))
{
    if (!m_object)
        m_faults.add(m_path, value, "an object");
}

std::string ObjectReader::pathOf(std::string_view name) const
{
    return m_path.empty() ? std::string(name) : m_path + "." + std::string(name);
}

const json::value* ObjectReader::take(std::string_view name, Need need, std::string_view allowed)
{
    m_knownKeys.insert(name);
    if (!m_object)
        return nullptr;
    const auto* value = m_object->if_contains({ name.data(), name.size() });
    if (!value && need == Need::Required)
        m_faults.add(pathOf(name), std::string_view("a missing field"), std::string(allowed));
    return value;
}

void ObjectReader::number(std::string_view name, Need need, Range range, std::uint32_t& number)
{
    const auto* value = take(name, need, allowedIntegers(range));
    if (value && !readInteger(*value, range, number))
        m_faults.add(pathOf(name), *value, allowedIntegers(range));
}

void ObjectReader::ratio(std::string_view name, Need need, double& ratio)
{
    const auto* value = take(name, need, "0 to 1");
    if (!value)
        return;
    double found = value->is_double() ? value->get_double() : -1;
    if (value->is_int64())
        found = static_cast<double>(value->get_int64());
    if (found >= 0 && found <= 1)
        ratio = found;
    else
        m_faults.add(pathOf(name), *value, "0 to 1");
}

void ObjectReader::boolean(std::string_view name, Need need, bool& flag)
{
    const auto* value = take(name, need, "true or false");
    if (!value)
        return;
    if (value->is_bool())
        flag = value->get_bool();
    else
        m_faults.add(pathOf(name), *value, "true or false");
}

void ObjectReader::name(std::string_view name, Need need, std::string& text)
{
    const auto* value = take(name, need, allowedName());
    if (!value)
        return;
    if (isName(*value))
        text = textOf(*value);
    else
        m_faults.add(pathOf(name), *value, allowedName());
}

void ObjectReader::endpoint(std::string_view name, Need need, Endpoint& endpoint)
{
    const std::string allowed = "an IPv4 address and port such as 10.0.0.1:7000";
    const auto* value = take(name, need, allowed);
    if (!value)
        return;
    if (!value->is_string() || !parseEndpoint(textOf(*value), endpoint))
        m_faults.add(pathOf(name), *value, allowed);
}

void ObjectReader::names(std::string_view name, Need need, std::vector<std::string>& texts)
{
    const auto* value = take(name, need, "an array of names");
    if (!value)
        return;
    const auto* array = value->if_array();
    if (!array) {
        m_faults.add(pathOf(name), *value, "an array of names");
        return;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        const json::value& item = (*array)[i];
        if (isName(item))
            texts.push_back(textOf(item));
        else
            m_faults.add(indexed(pathOf(name), i), item, allowedName());
    }
}

void ObjectReader::numbers(std::string_view name, Need need, Range range, std::vector<std::uint32_t>& numbers)
{
    const auto* value = take(name, need, "an array of integers");
    if (!value)
        return;
    const auto* array = value->if_array();
    if (!array) {
        m_faults.add(pathOf(name), *value, "an array of integers");
        return;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        std::uint32_t number = 0;
        if (readInteger((*array)[i], range, number))
            numbers.push_back(number);
        else
            m_faults.add(indexed(pathOf(name), i), (*array)[i], allowedIntegers(range));
    }
}

void ObjectReader::child(std::string_view name, Need need, const ItemReader& read)
{
    const auto* value = take(name, need, "an object");
    if (!value)
        return;
    ObjectReader reader(m_faults, *value, pathOf(name));
    read(reader);
    reader.finish();
}

void ObjectReader::children(std::string_view name, Need need, const ItemReader& read)
{
    const auto* value = take(name, need, "an array of objects");
    if (!value)
        return;
    const auto* array = value->if_array();
    if (!array) {
        m_faults.add(pathOf(name), *value, "an array of objects");
        return;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        ObjectReader reader(m_faults, (*array)[i], indexed(pathOf(name), i));
        read(reader);
        reader.finish();
    }
}

void ObjectReader::entries(
    std::string_view name, Need need, const std::function<void(const std::string&, ObjectReader&)>& read)
{
    const auto* value = take(name, need, "an object");
    if (!value)
        return;
    const auto* object = value->if_object();
    if (!object) {
        m_faults.add(pathOf(name), *value, "an object");
        return;
    }
    for (const auto& entry : *object) {
        std::string key(entry.key().data(), entry.key().size());
        if (!isName(json::value(entry.key())))
            m_faults.add(pathOf(name), std::string_view("key \"" + key + "\""), allowedName());
        ObjectReader reader(m_faults, entry.value(), pathOf(name) + "." + key);
        read(key, reader);
        reader.finish();
    }
}

void ObjectReader::finish()
{
    if (!m_object)
        return;
    std::string allowed;
    for (std::string_view known : m_knownKeys)
        allowed += (allowed.empty() ? "one of the keys " : ", ") + std::string(known);
    for (const auto& entry : *m_object) {
        std::string_view key(entry.key().data(), entry.key().size());
        if (!m_knownKeys.contains(key))
            m_faults.add(pathOf(key), std::string_view("an unknown key"), allowed);
    }
}

void ObjectReader::fault(std::string_view name, std::string_view value, std::string allowed)
{
    m_faults.add(pathOf(name), value, std::move(allowed));
}

} // namespace hawthorncroft
