/**
 * @file report_fields.h
 * Conversion of report structs to and from JSON by tables of member pointers. Internal to report_* and burn_*.
 */
#pragma once

#include <boost/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace hawthorncroft {

/** One field of a struct with its JSON name. */
template <typename Struct, typename Value> struct Field {
    const char* name;
    Value Struct::*member;
};

template <typename Struct, typename Value> Field(const char*, Value Struct::*) -> Field<Struct, Value>;

/** Specialised for each struct, with a static tuple `fields` that lists its JSON fields. */
template <typename Struct> struct FieldsOf;

template <typename T>
concept HasFields = requires
{
    FieldsOf<T>::fields;
};

template <HasFields Struct> boost::json::value writeValue(const Struct& value);

inline boost::json::value writeValue(const std::string& value) { return boost::json::string(value); }
inline boost::json::value writeValue(bool value) { return value; }
inline boost::json::value writeValue(double value) { return value; }
inline boost::json::value writeValue(std::uint64_t value) { return value; }
inline boost::json::value writeValue(std::uint32_t value) { return value; }

template <typename Value> boost::json::value writeValue(const std::optional<Value>& value)
{
    return value ? writeValue(*value) : boost::json::value();
}

template <typename Value> boost::json::value writeValue(const std::vector<Value>& values)
{
    boost::json::array array;
    for (const auto& value : values)
        array.push_back(writeValue(value));
    return array;
}

template <typename Value> boost::json::value writeValue(const std::map<std::string, Value>& values)
{
    boost::json::object object;
    for (const auto& [name, value] : values)
        object[name] = writeValue(value);
    return object;
}

template <HasFields Struct> boost::json::value writeValue(const Struct& value)
{
    boost::json::object object;
    std::apply([&](const auto&... field) { ((object[field.name] = writeValue(value.*field.member)), ...); },
        FieldsOf<Struct>::fields);
    return object;
}

template <HasFields Struct> bool readValue(const boost::json::value& json, Struct& value);

inline bool readValue(const boost::json::value& json, std::string& value)
{
    if (!json.is_string())
        return false;
    value.assign(json.get_string().data(), json.get_string().size());
    return true;
}

inline bool readValue(const boost::json::value& json, bool& value)
{
    if (!json.is_bool())
        return false;
    value = json.get_bool();
    return true;
}

template <typename Number>
requires std::is_arithmetic_v<Number>
bool readValue(const boost::json::value& json, Number& value)
{
    if (!json.is_number())
        return false;
    boost::json::error_code error;
    value = json.to_number<Number>(error);
    return !error;
}

template <typename Value> bool readValue(const boost::json::value& json, std::optional<Value>& value)
{
    if (json.is_null())
        return true;
    return readValue(json, value.emplace());
}

template <typename Value> bool readValue(const boost::json::value& json, std::vector<Value>& values)
{
    if (!json.is_array())
        return false;
    for (const auto& item : json.get_array()) {
        if (!readValue(item, values.emplace_back()))
            return false;
    }
    return true;
}

template <typename Value> bool readValue(const boost::json::value& json, std::map<std::string, Value>& values)
{
    if (!json.is_object())
        return false;
    for (const auto& item : json.get_object()) {
        if (!readValue(item.value(), values[std::string(item.key().data(), item.key().size())]))
            return false;
    }
    return true;
}

template <HasFields Struct> bool readValue(const boost::json::value& json, Struct& value)
{
    const auto* object = json.if_object();
    if (!object)
        return false;
    auto readField = [&](const auto& field) {
        const auto* found = object->if_contains(field.name);
        return !found || readValue(*found, value.*field.member);
    };
    return std::apply([&](const auto&... field) { return (readField(field) && ...); }, FieldsOf<Struct>::fields);
}

/**
 * Reads a struct from JSON text.
 * @return Empty on success, otherwise a description of the error.
 */
template <HasFields Struct> std::string readText(std::string_view text, Struct& value)
{
    boost::json::error_code error;
    boost::json::value json = boost::json::parse({ text.data(), text.size() }, error);
    if (error)
        return error.message();
    Struct read;
    if (!readValue(json, read))
        return "a field has the wrong type";
    value = std::move(read);
    return {};
}

} // namespace hawthorncroft
