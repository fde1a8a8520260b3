#include "config_diff.h"

#include "table/config_fields.h"

#include <algorithm>
#include <set>

namespace hawthorncroft {

namespace {

    using Changes = std::vector<ConfigChange>;

    template <typename Doc> const Doc& contentOf(const Document& document)
    {
        static const Doc none;
        const auto* content = std::get_if<Doc>(&document);
        return content ? *content : none;
    }

    template <typename Item, typename Key>
    std::map<Key, const Item*> indexOf(const std::vector<Item>& items, Key Item::*key)
    {
        std::map<Key, const Item*> index;
        for (const Item& item : items)
            index[item.*key] = &item;
        return index;
    }

    std::string changed(std::string_view what, std::uint64_t before, std::uint64_t after)
    {
        return std::string(what) + " " + std::to_string(before) + " -> " + std::to_string(after);
    }

    std::string joined(const std::vector<std::string>& parts)
    {
        std::string text;
        for (const auto& part : parts)
            text += (text.empty() ? "" : ", ") + part;
        return text;
    }

    template <typename Struct, std::size_t size>
    void addIntegers(std::vector<std::string>& parts, const std::array<IntegerField<Struct>, size>& fields,
        const Struct& before, const Struct& after)
    {
        for (const auto& field : fields) {
            if (before.*field.member != after.*field.member)
                parts.push_back(changed(field.name, before.*field.member, after.*field.member));
        }
    }

    // Services.

    std::map<std::string, const ServiceConfig*> namesOf(const ServicesDocument& document)
    {
        std::map<std::string, const ServiceConfig*> names;
        for (const auto& service : document.services) {
            names[service.name] = &service;
            for (const auto& name : service.names)
                names[name] = &service;
            for (const auto& spelling : service.spellings)
                names[spelling] = &service;
        }
        return names;
    }

    std::string labelOf(const ServiceConfig& service)
    {
        return service.name + " (service " + std::to_string(service.id.value) + ")";
    }

    void compareName(Changes& changes, const std::string& name, const ServiceConfig* before, const ServiceConfig* after)
    {
        std::string subject = "name " + name;
        if (!before)
            changes.push_back({ subject, "reaches " + labelOf(*after) + "; this document refused it before" });
        else if (!after)
            changes.push_back({ subject, "is refused; it reached " + labelOf(*before) });
        else if (before->id != after->id)
            changes.push_back({ subject, "reaches " + labelOf(*after) + " instead of " + labelOf(*before) });
    }

    void compareObjectives(Changes& changes, const ServiceConfig& before, const ServiceConfig& after)
    {
        std::vector<std::string> parts;
        addIntegers(parts, objectiveFields, before.objectives, after.objectives);
        if (before.objectives.inTimeRatio != after.objectives.inTimeRatio)
            parts.emplace_back("inTimeRatio");
        if (before.objectives.brokenFlowRatio != after.objectives.brokenFlowRatio)
            parts.emplace_back("brokenFlowRatio");
        if (!parts.empty())
            changes.push_back({ "objectives of " + labelOf(after),
                joined(parts) + "; callers notice nothing, the burn report is counted anew" });
    }

    void compareServices(Changes& changes, const ServicesDocument& before, const ServicesDocument& after)
    {
        auto oldNames = namesOf(before);
        auto newNames = namesOf(after);
        std::set<std::string> all;
        for (const auto* names : { &oldNames, &newNames }) {
            for (const auto& [name, service] : *names)
                all.insert(name);
        }
        for (const auto& name : all) {
            auto from = oldNames.find(name);
            auto to = newNames.find(name);
            compareName(changes, name, from == oldNames.end() ? nullptr : from->second,
                to == newNames.end() ? nullptr : to->second);
        }
        auto oldServices = indexOf(before.services, &ServiceConfig::id);
        for (const auto& service : after.services) {
            auto old = oldServices.find(service.id);
            if (old == oldServices.end())
                continue;
            if (old->second->addresses != service.addresses)
                changes.push_back({ "addresses of " + labelOf(service),
                    joined(old->second->addresses) + " -> " + joined(service.addresses) });
            compareObjectives(changes, *old->second, service);
        }
    }

    // Targets.

    std::string placeOf(const TargetConfig& target)
    {
        return "service " + std::to_string(target.service.value) + " on VM " + target.vm + " in "
            + target.failureDomain;
    }

    void compareTarget(Changes& changes, const TargetConfig& before, const TargetConfig& after)
    {
        std::string subject = "target " + std::to_string(after.id.value);
        if (before.service != after.service)
            changes.push_back({ subject,
                "serves " + placeOf(after) + " instead of service " + std::to_string(before.service.value)
                    + "; its flows are refused and are opened again on other targets" });
        if (before.agent != after.agent)
            changes.push_back({ subject,
                "agent " + toString(before.agent) + " -> " + toString(after.agent)
                    + "; open flows keep the endpoint of their binding until it expires" });
        if (before.vm != after.vm || before.failureDomain != after.failureDomain)
            changes.push_back({ subject, "is now on VM " + after.vm + " in " + after.failureDomain });
        std::vector<std::string> parts;
        addIntegers(parts, targetFields, before, after);
        if (!parts.empty())
            changes.push_back({ subject, joined(parts) + "; open flows continue, the share of new flows changes" });
    }

    std::map<ServiceId, std::uint64_t> slotsOf(const TargetsDocument& document)
    {
        std::map<ServiceId, std::uint64_t> slots;
        for (const auto& target : document.targets)
            slots[target.service] += target.slots;
        return slots;
    }

    void compareTargets(Changes& changes, const TargetsDocument& before, const TargetsDocument& after)
    {
        auto oldTargets = indexOf(before.targets, &TargetConfig::id);
        auto newTargets = indexOf(after.targets, &TargetConfig::id);
        for (const auto& [id, target] : oldTargets) {
            if (!newTargets.contains(id))
                changes.push_back({ "target " + std::to_string(id.value),
                    "is removed from " + placeOf(*target) + "; no new flow goes to it" });
        }
        for (const auto& [id, target] : newTargets) {
            auto old = oldTargets.find(id);
            if (old == oldTargets.end())
                changes.push_back({ "target " + std::to_string(id.value),
                    "is added to " + placeOf(*target) + "; it starts cold and takes new flows" });
            else
                compareTarget(changes, *old->second, *target);
        }
        auto oldSlots = slotsOf(before);
        auto newSlots = slotsOf(after);
        auto all = oldSlots;
        all.insert(newSlots.begin(), newSlots.end());
        for (const auto& [service, ignored] : all) {
            std::uint64_t from = oldSlots[service];
            std::uint64_t to = newSlots[service];
            if (from != to)
                changes.push_back(
                    { "service " + std::to_string(service.value), changed("slots in this document", from, to) });
        }
    }

    // Operations.

    void compareOutOfService(Changes& changes, const std::string& what, const std::vector<std::string>& before,
        const std::vector<std::string>& after)
    {
        std::set<std::string> oldOut(before.begin(), before.end());
        std::set<std::string> newOut(after.begin(), after.end());
        auto subjectOf = [&](const std::string& name) { return std::string(what).append(" ").append(name); };
        for (const auto& name : newOut) {
            if (!oldOut.contains(name))
                changes.push_back({ subjectOf(name),
                    "is taken out of service; within seconds it gets no packet and its flows are given up" });
        }
        for (const auto& name : oldOut) {
            if (!newOut.contains(name))
                changes.push_back({ subjectOf(name), "returns to service; its targets start cold" });
        }
    }

    void comparePreset(Changes& changes, const std::string& name, const OperationsDocument& before,
        const OperationsDocument& after, const std::string& when)
    {
        std::vector<std::string> parts;
        auto from = before.presets.find(name);
        auto to = after.presets.find(name);
        if (from == before.presets.end() || to == after.presets.end())
            return;
        addIntegers(parts, presetFields, from->second, to->second);
        if (!parts.empty())
            changes.push_back({ "preset " + name, joined(parts) + "; " + when });
    }

    void compareInForce(Changes& changes, const OperationsDocument& before, const OperationsDocument& after)
    {
        auto from = before.presets.find(before.inForce);
        auto to = after.presets.find(after.inForce);
        PresetConfig oldPreset = from == before.presets.end() ? PresetConfig() : from->second;
        PresetConfig newPreset = to == after.presets.end() ? PresetConfig() : to->second;
        std::vector<std::string> parts;
        addIntegers(parts, presetFields, oldPreset, newPreset);
        if (before.inForce != after.inForce)
            changes.push_back({ "preset in force",
                before.inForce + " -> " + after.inForce
                    + (parts.empty() ? "; the limits are the same" : "; " + joined(parts)) });
        else if (!parts.empty())
            changes.push_back(
                { "preset " + after.inForce, joined(parts) + "; it is in force, so this takes effect now" });
    }

    void compareOperations(Changes& changes, const OperationsDocument& before, const OperationsDocument& after)
    {
        compareInForce(changes, before, after);
        for (const auto& [name, preset] : after.presets) {
            if (name != after.inForce)
                comparePreset(changes, name, before, after, "no effect until it is put in force");
            if (!before.presets.contains(name) && name != after.inForce)
                changes.push_back({ "preset " + name, "is added; no effect until it is put in force" });
        }
        for (const auto& [name, preset] : before.presets) {
            if (!after.presets.contains(name))
                changes.push_back({ "preset " + name, "is removed" });
        }
        compareOutOfService(changes, "failure domain", before.domainsOut, after.domainsOut);
        compareOutOfService(changes, "VM", before.vmsOut, after.vmsOut);
    }

    // Keys and members.

    void compareKeys(Changes& changes, const KeysDocument& before, const KeysDocument& after)
    {
        if (before.signing != after.signing)
            changes.push_back({ "signing key",
                changed("key", before.signing.value, after.signing.value) + "; bindings issued from now on use it" });
        std::set<KeyId> oldKeys(before.accepted.begin(), before.accepted.end());
        std::set<KeyId> newKeys(after.accepted.begin(), after.accepted.end());
        for (KeyId id : oldKeys) {
            if (!newKeys.contains(id))
                changes.push_back({ "key " + std::to_string(id.value),
                    "is no longer accepted; packets with bindings signed by it are refused" });
        }
        for (KeyId id : newKeys) {
            if (!oldKeys.contains(id))
                changes.push_back({ "key " + std::to_string(id.value), "is accepted; callers notice nothing" });
        }
    }

    void compareMembers(Changes& changes, const MembersDocument& before, const MembersDocument& after)
    {
        auto oldMembers = indexOf(before.members, &MemberConfig::data);
        auto newMembers = indexOf(after.members, &MemberConfig::data);
        for (const auto& [endpoint, member] : oldMembers) {
            if (!newMembers.contains(endpoint))
                changes.push_back({ "member " + toString(endpoint), "is no longer listed; callers notice nothing" });
        }
        for (const auto& [endpoint, member] : newMembers) {
            auto old = oldMembers.find(endpoint);
            bool wasLeaving = old != oldMembers.end() && old->second->leaving;
            if (old == oldMembers.end())
                changes.push_back({ "member " + toString(endpoint), "is listed; callers notice nothing" });
            if (member->leaving && !wasLeaving)
                changes.push_back({ "VM " + member->vm, "is about to leave; no new flow goes to its targets" });
            if (!member->leaving && wasLeaving)
                changes.push_back({ "VM " + member->vm, "stays; new flows go to its targets again" });
        }
    }

    template <typename Doc> bool holdsEither(const Document& before, const Document& after)
    {
        return std::holds_alternative<Doc>(before) || std::holds_alternative<Doc>(after);
    }

    template <typename Doc>
    void compareAs(Changes& changes, const Document& before, const Document& after,
        void (*compare)(Changes&, const Doc&, const Doc&))
    {
        if (holdsEither<Doc>(before, after))
            compare(changes, contentOf<Doc>(before), contentOf<Doc>(after));
    }

}

std::vector<ConfigChange> describeChanges(const Document& before, const Document& after)
{
    Changes changes;
    compareAs<ServicesDocument>(changes, before, after, compareServices);
    compareAs<TargetsDocument>(changes, before, after, compareTargets);
    compareAs<OperationsDocument>(changes, before, after, compareOperations);
    compareAs<KeysDocument>(changes, before, after, compareKeys);
    compareAs<MembersDocument>(changes, before, after, compareMembers);
    return changes;
}

} // namespace hawthorncroft
