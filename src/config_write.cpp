#include "config_func.h"

#include "table/config_fields.h"

#include <boost/json.hpp>

namespace hawthorncroft {

namespace json = boost::json;

namespace {

    template <typename Struct, std::size_t size>
    void writeIntegers(json::object& object, const std::array<IntegerField<Struct>, size>& fields, const Struct& value)
    {
        for (const auto& field : fields)
            object[json::string_view(field.name.data(), field.name.size())] = value.*field.member;
    }

    json::array textsOf(const std::vector<std::string>& texts)
    {
        json::array array;
        for (const auto& text : texts)
            array.emplace_back(json::string(text));
        return array;
    }

    json::object toObject(const Objectives& objectives)
    {
        json::object object;
        writeIntegers(object, objectiveFields, objectives);
        object["inTimeRatio"] = objectives.inTimeRatio;
        object["brokenFlowRatio"] = objectives.brokenFlowRatio;
        return object;
    }

    json::object toObject(const ServiceConfig& service)
    {
        json::object object;
        object["id"] = service.id.value;
        object["name"] = service.name;
        object["addresses"] = textsOf(service.addresses);
        object["names"] = textsOf(service.names);
        object["spellings"] = textsOf(service.spellings);
        object["objectives"] = toObject(service.objectives);
        return object;
    }

    json::object toObject(const TargetConfig& target)
    {
        json::object object;
        object["id"] = target.id.value;
        object["service"] = target.service.value;
        object["vm"] = target.vm;
        object["failureDomain"] = target.failureDomain;
        object["agent"] = toString(target.agent);
        writeIntegers(object, targetFields, target);
        return object;
    }

    json::object toObject(const MemberConfig& member)
    {
        std::string_view role = nameOf(member.role);
        json::object object;
        object["vm"] = member.vm;
        object["failureDomain"] = member.failureDomain;
        object["role"] = json::string(role.data(), role.size());
        object["data"] = toString(member.data);
        object["control"] = toString(member.control);
        object["leaving"] = member.leaving;
        return object;
    }

    template <typename Item> std::string listText(json::string_view name, const std::vector<Item>& items)
    {
        json::array array;
        for (const auto& item : items)
            array.emplace_back(toObject(item));
        json::object root;
        root[name] = std::move(array);
        return json::serialize(root);
    }

    std::string operationsText(const OperationsDocument& operations)
    {
        json::object presets;
        for (const auto& [name, preset] : operations.presets) {
            json::object object;
            writeIntegers(object, presetFields, preset);
            presets[name] = std::move(object);
        }
        json::object root;
        root["presets"] = std::move(presets);
        root["inForce"] = operations.inForce;
        root["domainsOut"] = textsOf(operations.domainsOut);
        root["vmsOut"] = textsOf(operations.vmsOut);
        return json::serialize(root);
    }

    std::string keysText(const KeysDocument& keys)
    {
        json::array accepted;
        for (KeyId id : keys.accepted)
            accepted.emplace_back(id.value);
        json::object root;
        root["signing"] = keys.signing.value;
        root["accepted"] = std::move(accepted);
        return json::serialize(root);
    }

    /** One overload for each kind of document. */
    struct DocumentWriter {
        std::string operator()(const RemovedDocument&) const { return {}; }
        std::string operator()(const ServicesDocument& d) const { return listText("services", d.services); }
        std::string operator()(const TargetsDocument& d) const { return listText("targets", d.targets); }
        std::string operator()(const MembersDocument& d) const { return listText("members", d.members); }
        std::string operator()(const OperationsDocument& d) const { return operationsText(d); }
        std::string operator()(const KeysDocument& d) const { return keysText(d); }
    };

}

std::string toJson(const Document& document) { return std::visit(DocumentWriter(), document); }

} // namespace hawthorncroft
