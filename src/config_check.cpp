#include "config_func.h"
#include "name_table_type.h"

#include "table/config_fields.h"
#include "table/limits.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>

namespace hawthorncroft {

namespace json = boost::json;

namespace {

    /** Reports values that occur more than once in a document, with the path of the first occurrence. */
    class UniqueValues {
    public:
        explicit UniqueValues(std::string what)
            : m_what(std::move(what))
        {
        }

        void check(FaultList& faults, const std::string& value, const std::string& path)
        {
            auto [entry, isNew] = m_places.emplace(value, path);
            if (!isNew)
                faults.add(path, std::string_view(value), m_what + "; " + entry->second + " has the same");
        }

    private:
        std::string m_what;
        std::map<std::string, std::string> m_places;
    };

    template <typename Struct, std::size_t size>
    void readIntegers(ObjectReader& reader, const std::array<IntegerField<Struct>, size>& fields, Struct& out)
    {
        for (const auto& field : fields)
            reader.number(field.name, field.need, field.range, out.*field.member);
    }

    void readObjectives(ObjectReader& reader, Objectives& objectives)
    {
        readIntegers(reader, objectiveFields, objectives);
        reader.ratio("inTimeRatio", Need::Optional, objectives.inTimeRatio);
        reader.ratio("brokenFlowRatio", Need::Optional, objectives.brokenFlowRatio);
    }

    ServiceConfig readService(ObjectReader& reader)
    {
        ServiceConfig service;
        reader.number("id", Need::Required, idRange, service.id.value);
        reader.name("name", Need::Required, service.name);
        reader.names("addresses", Need::Optional, service.addresses);
        reader.names("names", Need::Optional, service.names);
        reader.names("spellings", Need::Optional, service.spellings);
        reader.child(
            "objectives", Need::Optional, [&](ObjectReader& child) { readObjectives(child, service.objectives); });
        return service;
    }

    void checkNames(FaultList& faults, UniqueValues& unique, const ServiceConfig& service, const ObjectReader& reader)
    {
        if (!service.name.empty())
            unique.check(faults, service.name, reader.pathOf("name"));
        for (std::size_t i = 0; i < service.names.size(); ++i)
            unique.check(faults, service.names[i], reader.pathOf("names[" + std::to_string(i) + "]"));
        for (std::size_t i = 0; i < service.spellings.size(); ++i)
            unique.check(faults, service.spellings[i], reader.pathOf("spellings[" + std::to_string(i) + "]"));
    }

    Document readServices(FaultList& faults, ObjectReader& root)
    {
        ServicesDocument document;
        UniqueValues ids("an id used once in the document");
        UniqueValues names("a name or spelling used once in the document");
        root.children("services", Need::Required, [&](ObjectReader& reader) {
            auto& service = document.services.emplace_back(readService(reader));
            if (service.id)
                ids.check(faults, std::to_string(service.id.value), reader.pathOf("id"));
            checkNames(faults, names, service, reader);
        });
        return document;
    }

    TargetConfig readTarget(ObjectReader& reader)
    {
        TargetConfig target;
        reader.number("id", Need::Required, idRange, target.id.value);
        reader.number("service", Need::Required, idRange, target.service.value);
        reader.name("vm", Need::Required, target.vm);
        reader.name("failureDomain", Need::Required, target.failureDomain);
        reader.endpoint("agent", Need::Required, target.agent);
        readIntegers(reader, targetFields, target);
        return target;
    }

    Document readTargets(FaultList& faults, ObjectReader& root)
    {
        TargetsDocument document;
        UniqueValues ids("an id used once in the document");
        UniqueValues agents("an agent endpoint used once in the document");
        root.children("targets", Need::Required, [&](ObjectReader& reader) {
            auto& target = document.targets.emplace_back(readTarget(reader));
            if (target.id)
                ids.check(faults, std::to_string(target.id.value), reader.pathOf("id"));
            if (target.agent)
                agents.check(faults, toString(target.agent), reader.pathOf("agent"));
        });
        return document;
    }

    void readRole(ObjectReader& reader, Role& role)
    {
        std::string text;
        reader.name("role", Need::Required, text);
        auto found = std::find(roleNames.begin(), roleNames.end(), text);
        if (found != roleNames.end())
            role = static_cast<Role>(found - roleNames.begin());
        else if (!text.empty())
            reader.fault("role", text, "balancer or agent");
    }

    MemberConfig readMember(ObjectReader& reader)
    {
        MemberConfig member;
        reader.name("vm", Need::Required, member.vm);
        reader.name("failureDomain", Need::Required, member.failureDomain);
        readRole(reader, member.role);
        reader.endpoint("data", Need::Required, member.data);
        reader.endpoint("control", Need::Required, member.control);
        reader.boolean("leaving", Need::Optional, member.leaving);
        return member;
    }

    Document readMembers(FaultList& faults, ObjectReader& root)
    {
        MembersDocument document;
        UniqueValues endpoints("a data endpoint used once in the document");
        root.children("members", Need::Required, [&](ObjectReader& reader) {
            auto& member = document.members.emplace_back(readMember(reader));
            if (member.data)
                endpoints.check(faults, toString(member.data), reader.pathOf("data"));
        });
        return document;
    }

    void checkUnique(FaultList& faults, const std::string& name, const std::vector<std::string>& values)
    {
        UniqueValues unique("an entry used once in the list");
        for (std::size_t i = 0; i < values.size(); ++i)
            unique.check(faults, values[i], name + "[" + std::to_string(i) + "]");
    }

    Document readOperations(FaultList& faults, ObjectReader& root)
    {
        OperationsDocument document;
        std::string names;
        root.entries("presets", Need::Required, [&](const std::string& name, ObjectReader& reader) {
            readIntegers(reader, presetFields, document.presets[name]);
        });
        root.name("inForce", Need::Required, document.inForce);
        root.names("domainsOut", Need::Optional, document.domainsOut);
        root.names("vmsOut", Need::Optional, document.vmsOut);
        for (const auto& [name, preset] : document.presets)
            names += (names.empty() ? "" : ", ") + name;
        if (!document.inForce.empty() && !document.presets.contains(document.inForce))
            root.fault("inForce", document.inForce, names.empty() ? "a preset of the document" : "one of " + names);
        checkUnique(faults, "domainsOut", document.domainsOut);
        checkUnique(faults, "vmsOut", document.vmsOut);
        return document;
    }

    Document readKeys(FaultList& faults, ObjectReader& root)
    {
        KeysDocument document;
        std::vector<std::uint32_t> accepted;
        root.number("signing", Need::Required, idRange, document.signing.value);
        root.numbers("accepted", Need::Required, idRange, accepted);
        std::vector<std::string> texts;
        for (std::uint32_t id : accepted) {
            document.accepted.emplace_back(id);
            texts.push_back(std::to_string(id));
        }
        checkUnique(faults, "accepted", texts);
        auto signing = std::find(document.accepted.begin(), document.accepted.end(), document.signing);
        if (document.signing && signing == document.accepted.end())
            root.fault("signing", std::to_string(document.signing.value), "one of the accepted key ids");
        return document;
    }

    /** Name, key and parser of one document kind. */
    struct KindRow {
        std::string_view name;
        std::string_view key; ///< Complete key, or a key prefix when it ends with a slash.
        Document (*read)(FaultList& faults, ObjectReader& root);
    };

    constexpr std::array<KindRow, static_cast<std::size_t>(DocumentKind::End)> kinds { {
        { "unknown", "", nullptr },
        { "services", "services/", readServices },
        { "targets", "targets/", readTargets },
        { "members", "members/", readMembers },
        { "operations", "operations", readOperations },
        { "keys", "keys", readKeys },
    } };

    bool matches(const KindRow& row, std::string_view key)
    {
        if (row.key.empty() || !row.key.ends_with('/'))
            return !row.key.empty() && key == row.key;
        return key.starts_with(row.key) && key.size() > row.key.size();
    }

    Document readDocument(DocumentKind kind, std::string_view text, FaultList& faults)
    {
        json::error_code error;
        json::value root = json::parse({ text.data(), text.size() }, error);
        if (error) {
            faults.add("", std::string_view(error.message()), "a valid JSON text");
            return {};
        }
        findRepeatedKeys(text, faults);
        ObjectReader reader(faults, root, "");
        Document document = kinds[static_cast<std::size_t>(kind)].read(faults, reader);
        reader.finish();
        return document;
    }

}

std::string_view nameOf(Role role) { return lookUpName(roleNames, role); }

std::string_view nameOf(DocumentKind kind)
{
    auto index = static_cast<std::size_t>(kind);
    return index < kinds.size() ? kinds[index].name : "invalid";
}

DocumentKind kindOf(std::string_view key)
{
    if (key.size() > maxNameBytes)
        return DocumentKind::Unknown;
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        if (matches(kinds[i], key))
            return static_cast<DocumentKind>(i);
    }
    return DocumentKind::Unknown;
}

CheckedDocument parseDocument(const std::string& key, std::string_view text)
{
    FaultList faults(key);
    DocumentKind kind = kindOf(key);
    Document document;
    if (kind == DocumentKind::Unknown)
        faults.add("", std::string_view("key \"" + key + "\""),
            "services/NAME, targets/NAME, members/NAME, operations or keys, of at most " + std::to_string(maxNameBytes)
                + " bytes");
    else if (text.size() > maxDocumentBytes)
        faults.add("", std::string_view(std::to_string(text.size()) + " bytes"),
            "at most " + std::to_string(maxDocumentBytes) + " bytes");
    else if (!text.empty())
        document = readDocument(kind, text, faults);
    if (!faults.empty())
        return { nullptr, faults.take() };
    return { std::make_shared<const Document>(std::move(document)), {} };
}

} // namespace hawthorncroft
