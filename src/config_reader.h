/**
 * @file config_reader.h
 * Typed access to the fields of a JSON object that notes every fault with its place. Internal to the config_* sources.
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
    Optional, ///< An absent field keeps its default.
};

/** Bounds of an integer field, both allowed. */
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
     * Notes a fault.
     * @param path Place in the document.
     * @param value What was found there; shortened.
     * @param allowed What would be accepted.
     */
    void add(std::string path, std::string_view value, std::string allowed);

    /** Notes a fault with a JSON value, which is printed. */
    void add(std::string path, const boost::json::value& value, std::string allowed);

    bool empty() const { return m_faults.empty(); }
    std::vector<ConfigFault> take() { return std::move(m_faults); }

private:
    std::string m_document;
    std::vector<ConfigFault> m_faults;
};

/**
 * Reads the fields of one object. Each function leaves its output unchanged when the field is absent or faulty.
 * finish() must be called last; it notes the keys that no function asked for.
 */
class ObjectReader {
public:
    using ItemReader = std::function<void(ObjectReader&)>;

    /**
     * @param faults Receives the faults.
     * @param value The value; a fault is noted when it is not an object.
     * @param path Place of the value; empty for the document itself.
     */
    ObjectReader(FaultList& faults, const boost::json::value& value, std::string path);

    void number(std::string_view name, Need need, Range range, std::uint32_t& number);
    void ratio(std::string_view name, Need need, double& ratio); ///< From 0 to 1.
    void boolean(std::string_view name, Need need, bool& flag);
    void name(std::string_view name, Need need, std::string& text); ///< Printable, 1 to maxNameBytes.
    void endpoint(std::string_view name, Need need, Endpoint& endpoint);
    void names(std::string_view name, Need need, std::vector<std::string>& texts); ///< Each like name().
    void numbers(std::string_view name, Need need, Range range, std::vector<std::uint32_t>& numbers);
    void child(std::string_view name, Need need, const ItemReader& read); ///< Object field.
    void children(std::string_view name, Need need, const ItemReader& read); ///< Array of objects.

    /** Object whose keys are names: calls `read` for each with its key. */
    void entries(std::string_view name, Need need, const std::function<void(const std::string&, ObjectReader&)>& read);

    void finish();

    /** Notes a fault at a field, for checks across fields. */
    void fault(std::string_view name, std::string_view value, std::string allowed);

    /** @return Path of a field. */
    std::string pathOf(std::string_view name) const;

private:
    const boost::json::value* take(std::string_view name, Need need, std::string_view allowed);

    FaultList& m_faults;
    const boost::json::object* m_object {};
    std::string m_path;
    std::set<std::string_view> m_knownKeys;
};

/**
 * Finds object keys that occur twice. A JSON parser keeps only one of them, so they must be found in the text.
 * @param text JSON text that is known to be valid.
 * @param[out] faults Receives one fault for each repeated key.
 */
void findRepeatedKeys(std::string_view text, FaultList& faults);

} // namespace hawthorncroft
