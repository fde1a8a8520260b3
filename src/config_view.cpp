#include "config_base.h"

#include <algorithm>

namespace hawthorncroft {

bool ConfigView::apply(const VersionedDocument& document)
{
    auto [entry, isNew] = m_applied.try_emplace(document.key);
    Applied& applied = entry->second;
    if (!isNew && applied.revision >= document.revision)
        return false;
    if (applied.document)
        remove(*applied.document);
    applied = { document.revision, document.document };
    if (applied.document)
        add(entry->first, *applied.document);
    return true;
}

void ConfigView::setCompleteThrough(Revision revision) { m_completeThrough = std::max(m_completeThrough, revision); }

void ConfigView::add(const std::string& key, const Document& document)
{
    if (const auto* services = std::get_if<ServicesDocument>(&document)) {
        for (const auto& service : services->services)
            addService(key, service);
    } else if (const auto* targets = std::get_if<TargetsDocument>(&document)) {
        for (const auto& target : targets->targets)
            addTarget(key, target);
    } else if (const auto* members = std::get_if<MembersDocument>(&document)) {
        for (const auto& member : members->members)
            addMember(member);
    } else if (const auto* operations = std::get_if<OperationsDocument>(&document)) {
        applyOperations(operations);
    }
}

void ConfigView::remove(const Document& document)
{
    if (const auto* services = std::get_if<ServicesDocument>(&document)) {
        for (const auto& service : services->services)
            removeService(service);
    } else if (const auto* targets = std::get_if<TargetsDocument>(&document)) {
        for (const auto& target : targets->targets)
            removeTarget(target);
    } else if (const auto* members = std::get_if<MembersDocument>(&document)) {
        for (const auto& member : members->members)
            removeMember(member);
    } else if (std::get_if<OperationsDocument>(&document)) {
        applyOperations(nullptr);
    }
}

void ConfigView::addService(const std::string& key, const ServiceConfig& service)
{
    m_services.add(key, service);
    addName(service.name, service.id);
    for (const auto& name : service.names)
        addName(name, service.id);
    for (const auto& spelling : service.spellings)
        addName(spelling, service.id);
}

void ConfigView::removeService(const ServiceConfig& service)
{
    m_services.remove(service);
    removeName(service.name, service.id);
    for (const auto& name : service.names)
        removeName(name, service.id);
    for (const auto& spelling : service.spellings)
        removeName(spelling, service.id);
}

void ConfigView::addName(const std::string& name, ServiceId service)
{
    m_claims[name].push_back(service);
    if (isAmbiguous(name))
        m_names.erase(name);
    else
        m_names[name] = service;
}

void ConfigView::removeName(const std::string& name, ServiceId service)
{
    auto entry = m_claims.find(name);
    if (entry == m_claims.end())
        return;
    auto& claims = entry->second;
    auto claim = std::find(claims.begin(), claims.end(), service);
    if (claim != claims.end())
        claims.erase(claim);
    if (claims.empty()) {
        m_claims.erase(entry);
        m_names.erase(name);
    } else if (!isAmbiguous(name)) {
        m_names[name] = claims.front();
    }
}

bool ConfigView::isAmbiguous(const std::string& name) const
{
    // A name that belongs to different services must not resolve, since choosing either of them would be a guess.
    const auto& claims = m_claims.at(name);
    return std::any_of(claims.begin(), claims.end(), [&](ServiceId id) { return id != claims.front(); });
}

void ConfigView::addTarget(const std::string& key, const TargetConfig& target)
{
    const TargetConfig* before = m_targets.find(target.id);
    m_targets.add(key, target);
    reindexTarget(target.id, before);
}

void ConfigView::removeTarget(const TargetConfig& target)
{
    const TargetConfig* before = m_targets.find(target.id);
    m_targets.remove(target);
    reindexTarget(target.id, before);
}

void ConfigView::reindexTarget(TargetId id, const TargetConfig* before)
{
    const TargetConfig* after = m_targets.find(id);
    if (before == after)
        return;
    if (before) {
        m_targetsByService[before->service].ids.erase(id);
        m_targetsByService[before->service].ranks.reset();
    }
    if (after) {
        m_targetsByService[after->service].ids.insert(id);
        m_targetsByService[after->service].ranks.reset();
    }
}

void ConfigView::addMember(const MemberConfig& member)
{
    if (member.leaving)
        ++m_leavingVms[member.vm];
}

void ConfigView::removeMember(const MemberConfig& member)
{
    if (member.leaving && !--m_leavingVms[member.vm])
        m_leavingVms.erase(member.vm);
}

void ConfigView::applyOperations(const OperationsDocument* operations)
{
    m_domainsOut.clear();
    m_vmsOut.clear();
    m_preset = {};
    if (!operations)
        return;
    m_domainsOut.insert(operations->domainsOut.begin(), operations->domainsOut.end());
    m_vmsOut.insert(operations->vmsOut.begin(), operations->vmsOut.end());
    auto preset = operations->presets.find(operations->inForce);
    if (preset != operations->presets.end())
        m_preset = preset->second;
}

Resolution ConfigView::resolve(std::string_view name) const
{
    auto entry = m_names.find(std::string(name));
    if (entry == m_names.end() || isSharedId(entry->second))
        return { ServiceId(), m_completeThrough };
    return { entry->second, m_completeThrough };
}

bool ConfigView::isSharedId(ServiceId id) const
{
    // Targets refer to their service by id, so the targets of two services with the same id cannot be distinguished.
    auto haveSameName = [](const ServiceConfig& a, const ServiceConfig& b) { return a.name == b.name; };
    return !m_services.allAgree(id, haveSameName);
}

const ServiceConfig* ConfigView::service(ServiceId id) const { return m_services.find(id); }

const TargetConfig* ConfigView::target(TargetId id) const { return m_targets.find(id); }

const RankTable& ConfigView::ranksOf(ServiceId id) const
{
    static const RankTable none;
    auto entry = m_targetsByService.find(id);
    if (entry == m_targetsByService.end())
        return none;
    const ServiceTargets& ofService = entry->second;
    if (!ofService.ranks) {
        std::vector<RankedTarget> ranked;
        ranked.reserve(ofService.ids.size());
        for (TargetId target : ofService.ids)
            ranked.push_back({ target, m_targets.find(target)->slots });
        ofService.ranks.emplace(std::move(ranked));
    }
    return *ofService.ranks;
}

bool ConfigView::isOutOfService(const TargetConfig& target) const
{
    return isOutOfService(target.failureDomain, target.vm);
}

bool ConfigView::isOutOfService(const std::string& failureDomain, const std::string& vm) const
{
    return m_domainsOut.contains(failureDomain) || m_vmsOut.contains(vm);
}

bool ConfigView::isLeaving(const std::string& vm) const { return m_leavingVms.contains(vm); }

const OperationsDocument* ConfigView::operations() const
{
    auto entry = m_applied.find("operations");
    return entry == m_applied.end() || !entry->second.document
        ? nullptr
        : std::get_if<OperationsDocument>(entry->second.document.get());
}

const KeysDocument* ConfigView::keys() const
{
    auto entry = m_applied.find("keys");
    return entry == m_applied.end() || !entry->second.document
        ? nullptr
        : std::get_if<KeysDocument>(entry->second.document.get());
}

std::vector<MemberConfig> ConfigView::members() const
{
    std::vector<MemberConfig> all;
    for (const auto& [key, applied] : m_applied) {
        const auto* document = applied.document ? std::get_if<MembersDocument>(applied.document.get()) : nullptr;
        if (document)
            all.insert(all.end(), document->members.begin(), document->members.end());
    }
    return all;
}

std::vector<const ServiceConfig*> ConfigView::services() const { return m_services.holders(); }

std::vector<const TargetConfig*> ConfigView::targets() const { return m_targets.holders(); }

} // namespace hawthorncroft
