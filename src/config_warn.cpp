#include "config_warn.h"

#include "config_func.h"

#include <algorithm>
#include <set>

namespace hawthorncroft {

namespace {

    /** One name or spelling and the service that lists it. */
    struct Claim {
        std::string document;
        std::string path;
        std::string name;
        bool isSpelling {};
        const ServiceConfig* service {};
    };

    /** Slots of one service: the total and those that remain in service. */
    struct Capacity {
        std::uint64_t allSlots {};
        std::uint64_t slotsLeft {};
        std::set<std::string> domainsLeft;
    };

    /** Contents of the documents by kind, and the warnings found so far. */
    struct WarningContext {
        std::vector<Claim> claims;
        std::vector<std::pair<std::string, const ServiceConfig*>> services;
        std::vector<std::pair<std::string, const TargetConfig*>> targets;
        const OperationsDocument* operations {};
        std::vector<ConfigFault> warnings;
    };

    void warn(WarningContext& context, std::string document, std::string path, std::string value, std::string text)
    {
        context.warnings.push_back({ std::move(document), std::move(path), std::move(value), std::move(text), true });
    }

    std::string at(const std::string& list, std::size_t index) { return list + "[" + std::to_string(index) + "]"; }

    void addClaims(
        WarningContext& context, const std::string& document, const std::string& path, const ServiceConfig& service)
    {
        context.claims.push_back({ document, path + ".name", service.name, false, &service });
        for (std::size_t i = 0; i < service.names.size(); ++i)
            context.claims.push_back({ document, at(path + ".names", i), service.names[i], false, &service });
        for (std::size_t i = 0; i < service.spellings.size(); ++i)
            context.claims.push_back({ document, at(path + ".spellings", i), service.spellings[i], true, &service });
    }

    WarningContext collectDocuments(const std::vector<VersionedDocument>& documents)
    {
        WarningContext context;
        for (const auto& document : documents) {
            if (const auto* services = std::get_if<ServicesDocument>(document.document.get())) {
                for (std::size_t i = 0; i < services->services.size(); ++i) {
                    context.services.emplace_back(document.key, &services->services[i]);
                    addClaims(context, document.key, at("services", i), services->services[i]);
                }
            } else if (const auto* targets = std::get_if<TargetsDocument>(document.document.get())) {
                for (const auto& target : targets->targets)
                    context.targets.emplace_back(document.key, &target);
            } else if (const auto* operations = std::get_if<OperationsDocument>(document.document.get())) {
                context.operations = operations;
            }
        }
        return context;
    }

    void warnOfSharedNames(WarningContext& context)
    {
        std::map<std::string, const Claim*> first;
        for (const Claim& claim : context.claims) {
            auto [entry, isNew] = first.emplace(claim.name, &claim);
            const Claim& other = *entry->second;
            if (!isNew && other.service->id != claim.service->id)
                warn(context, claim.document, claim.path, claim.name,
                    "leads to two services, " + other.service->name + " (" + other.document + ") and "
                        + claim.service->name + ", so callers who use it are refused");
        }
    }

    void warnOfSharedIds(WarningContext& context)
    {
        std::map<ServiceId, const ServiceConfig*> services;
        for (const auto& [document, service] : context.services) {
            auto [entry, isNew] = services.emplace(service->id, service);
            if (!isNew && entry->second->name != service->name)
                warn(context, document, service->name, std::to_string(service->id.value),
                    "is also the id of " + entry->second->name + ", so callers of one may reach the other");
        }
        std::map<TargetId, std::string> targets;
        for (const auto& [document, target] : context.targets) {
            auto [entry, isNew] = targets.emplace(target->id, document);
            if (!isNew)
                warn(context, document, "target " + std::to_string(target->id.value), "id",
                    "is also used in " + entry->second + "; only one of the targets gets flows");
        }
    }

    /**
     * Whether spelling `a` is one edit away from name `b` of another service. Similar names are accepted; a spelling
     * that is similar to another service's name is not.
     */
    bool isTooClose(const Claim& a, const Claim& b)
    {
        bool mayWarn = a.isSpelling && !b.isSpelling && a.service->id != b.service->id;
        return mayWarn && editDistance(a.name, b.name, 2) == 1;
    }

    void warnOfCloseNames(WarningContext& context)
    {
        // Names one edit apart differ in length by at most one, so only names of similar length are compared.
        std::map<std::size_t, std::vector<const Claim*>> byLength;
        for (const Claim& claim : context.claims)
            byLength[claim.name.size()].push_back(&claim);
        for (const Claim& claim : context.claims) {
            auto end = byLength.upper_bound(claim.name.size() + 1);
            for (auto entry = byLength.lower_bound(claim.name.size() - 1); entry != end; ++entry) {
                for (const Claim* other : entry->second) {
                    if (isTooClose(claim, *other))
                        warn(context, claim.document, claim.path, claim.name,
                            "leads to " + claim.service->name + " but is one edit away from " + other->name
                                + " of service " + other->service->name);
                }
            }
        }
    }

    void warnOfUnknownServices(WarningContext& context)
    {
        if (context.services.empty())
            return;
        std::set<ServiceId> known;
        for (const auto& [document, service] : context.services)
            known.insert(service->id);
        for (const auto& [document, target] : context.targets) {
            if (!known.contains(target->service))
                warn(context, document, "target " + std::to_string(target->id.value),
                    "service " + std::to_string(target->service.value), "is in none of the checked documents");
        }
    }

    std::string nameOfService(const WarningContext& context, ServiceId id)
    {
        for (const auto& [document, service] : context.services) {
            if (service->id == id)
                return service->name;
        }
        return "service " + std::to_string(id.value);
    }

    bool isOutOfService(const OperationsDocument& operations, const TargetConfig& target)
    {
        const auto& domains = operations.domainsOut;
        const auto& vms = operations.vmsOut;
        return std::find(domains.begin(), domains.end(), target.failureDomain) != domains.end()
            || std::find(vms.begin(), vms.end(), target.vm) != vms.end();
    }

    std::map<ServiceId, Capacity> capacitiesOf(const WarningContext& context)
    {
        std::map<ServiceId, Capacity> capacities;
        for (const auto& [document, target] : context.targets) {
            Capacity& capacity = capacities[target->service];
            capacity.allSlots += target->slots;
            if (isOutOfService(*context.operations, *target))
                continue;
            capacity.slotsLeft += target->slots;
            capacity.domainsLeft.insert(target->failureDomain);
        }
        return capacities;
    }

    void warnOfCapacity(WarningContext& context, ServiceId id, const Capacity& capacity, WarningOptions options)
    {
        std::string name = nameOfService(context, id);
        if (capacity.domainsLeft.empty()) {
            warn(context, "operations", "domainsOut", name, "no failure domain that serves it is left in service");
            return;
        }
        const auto& presets = context.operations->presets;
        std::uint64_t offered = capacity.slotsLeft * presets.at(context.operations->inForce).slotPercent;
        std::uint64_t needed = capacity.allSlots * options.loadPercent;
        if (needed <= offered)
            return;
        warn(context, "operations", "domainsOut", name,
            "at a load of " + std::to_string(options.loadPercent) + " percent it needs "
                + std::to_string((needed + 99) / 100) + " slots, but preset " + context.operations->inForce + " offers "
                + std::to_string(offered / 100) + " of the " + std::to_string(capacity.slotsLeft) + " left in service");
    }

    void warnOfOperations(WarningContext& context, WarningOptions options)
    {
        if (!context.operations)
            return;
        std::set<std::string> domains;
        for (const auto& [document, target] : context.targets)
            domains.insert(target->failureDomain);
        for (const auto& domain : context.operations->domainsOut) {
            if (!context.targets.empty() && !domains.contains(domain))
                warn(context, "operations", "domainsOut", domain, "no target of the checked documents is in it");
        }
        for (const auto& [id, capacity] : capacitiesOf(context))
            warnOfCapacity(context, id, capacity, options);
    }

}

std::vector<ConfigFault> warningsOf(const std::vector<VersionedDocument>& documents, WarningOptions options)
{
    WarningContext context = collectDocuments(documents);
    warnOfSharedNames(context);
    warnOfSharedIds(context);
    warnOfCloseNames(context);
    warnOfUnknownServices(context);
    warnOfOperations(context, options);
    return context.warnings;
}

} // namespace hawthorncroft
