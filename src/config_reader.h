/**
 * @file config_reader.h
 * Typed access to the fields of a JSON object that records each fault with its path. Internal to the config_* sources.
 */
#pragma once

#include "config_type.h"

#include <functional>
#include <set>
#include <string_view>

namespace boost::json {
class object;
class value;
}

namespace hawthorncroft {

/** Whether a field must be present. */
enum class Need : std::uint8_t {
    Required,
    Optional, ///< A missing field keeps its default.
};

/** Inclusive bounds of an integer field. */
struct Range {
    std::uint32_t lowest {};
    std::uint32_t highest {};
};

/** Faults of one document. */
class FaultList {
public:
    explicit FaultList(std::string document)
        : m_document(std::move(document))
    {
    }

    /**
     * Records a fault.
     * @param path Path of the field in the document.
     * @param value Value found; long values are shortened.
     * @param allowed Description of the accepted values.
     */
    void add(std::string path, std::string_view value, std::string allowed);

    /** Records a fault with the serialized JSON value. */
    void add(std::string path, const boost::json::value& value, std::string allowed);

    bool empty() const { return m_faults.empty(); }
    std::vector<ConfigFault> take() { return std::move(m_faults); }

private:
    std::string m_document;
    std::vector<ConfigFault> m_faults;
};

/**
 * Reads the fields of one object. Each function leaves its output unchanged when the field is missing or invalid.
 * finish() must be called last; it reports the keys that no function has read as unknown.
 */
class ObjectReader {
public:
    using ItemReader = std::function<void(ObjectReader&)>;

    /**
     * @param faults Receives the faults.
     * @param value The value; a fault is recorded when it is not an object.
     * @param path Path of the value; empty for the document itself.
     */
    ObjectReader(FaultList& faults, const boost::json::value& value, std::string path);

    void number(std::string_view name, Need need, Range range, std::uint32_t& number);
    void ratio(std::string_view name, Need need, double& ratio); ///< From 0 to 1.
    void boolean(std::string_view name, Need need, bool& flag);
    void name(std::string_view name, Need need, std::string& text); ///< 1 to maxNameBytes printable bytes.
    void endpoint(std::string_view name, Need need, Endpoint& endpoint);
    void names(std::string_view name, Need need, std::vector<std::string>& texts); ///< Each element as for name().
    void numbers(std::string_view name, Need need, Range range, std::vector<std::uint32_t>& numbers);
    void child(std::string_view name, Need need, const ItemReader& read); ///< Object field.
    void children(std::string_view name, Need need, const ItemReader& read); ///< Array of objects.

    /** Object whose keys are names. Calls `read` for each entry with its key. */
    void entries(std::string_view name, Need need, const std::function<void(const std::string&, ObjectReader&)>& read);

    void finish();

    /** Records a fault at a field. Used by checks that involve several fields. */
    void fault(std::string_view name, std::string_view value, std::string allowed);

    /** @return Path of a field. */
    std::string pathOf(std::string_view name) const;

private:
    /** Finds a field and marks its key as known. Records a fault when a required field is missing. */
    const boost::json::value* take(std::string_view name, Need need, std::string_view allowed);

    FaultList& m_faults;
    const boost::json::object* m_object {};
    std::string m_path;
    std::set<std::string_view> m_knownKeys;
};

/**
 * Finds keys that are repeated within one object. They must be found in the text, since the JSON parser keeps only one
 * value for each key.
 * @param text Valid JSON text.
 * @param[out] faults Receives one fault for each repeated key.
 */
void findRepeatedKeys(std::string_view text, FaultList& faults);

} // namespace hawthorncroft
