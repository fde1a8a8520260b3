/**
 * @file config_base.h
 * Index over the accepted configuration documents, updated one document at a time. Each thread that needs the
 * configuration owns a view of its own; the cost of an update grows with the changed document, not with the whole.
 */
#pragma once

#include "config_index.h"
#include "config_type.h"
#include "placement_type.h"

#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace hawthorncroft {

/** What the name of a service leads to. */
struct Resolution {
    ServiceId service; ///< Zero when no service has the name.
    Revision revision; ///< Revision of the view under which the name was resolved.
};

/** The configuration as one process sees it. */
class ConfigView {
public:
    /**
     * Applies a document unless a revision as high is already applied under its key.
     * @param document The document, already checked.
     * @return Whether the view changed.
     */
    bool apply(const VersionedDocument& document);

    /**
     * Raises the revision up to which the view is complete.
     * @param revision The revision; a lower one than the current is ignored.
     */
    void setCompleteThrough(Revision revision);

    /** @return Revision up to which the view is complete. */
    Revision completeThrough() const { return m_completeThrough; }

    /**
     * Resolves a service name: exact name or corrected spelling, nothing else. A name that two services claim, or
     * whose service shares its id with a service of another name, leads to none.
     * @param name The name as the caller spelled it.
     * @return The service, or zero.
     */
    Resolution resolve(std::string_view name) const;

    /** @return The service, or null. When two documents use the id, the one with the lower key holds it. */
    const ServiceConfig* service(ServiceId id) const;

    /** @return The target, or null. When two documents use the id, the one with the lower key holds it. */
    const TargetConfig* target(TargetId id) const;

    /** @return Rank table of a service; an empty one for an unknown service. */
    const RankTable& ranksOf(ServiceId id) const;

    /** @return Whether the target's failure domain or VM is taken out of service. */
    bool isOutOfService(const TargetConfig& target) const;

    /** @return Whether the failure domain or the VM is taken out of service. */
    bool isOutOfService(const std::string& failureDomain, const std::string& vm) const;

    /** @return Whether the platform's list says that the VM is about to leave. */
    bool isLeaving(const std::string& vm) const;

    /** @return Limits of the preset in force; the defaults when there is no operations document. */
    const PresetConfig& preset() const { return m_preset; }

    /** @return The operations document, or null. */
    const OperationsDocument* operations() const;

    /** @return Key ids in use, or null. */
    const KeysDocument* keys() const;

    /** @return All members of the platform's list, in no particular order. */
    std::vector<MemberConfig> members() const;

    /** @return All services, in no particular order. */
    std::vector<const ServiceConfig*> services() const;

    /** @return All targets, in no particular order. */
    std::vector<const TargetConfig*> targets() const;

    /** @return All known names and spellings with their service. */
    const std::unordered_map<std::string, ServiceId>& names() const { return m_names; }

private:
    struct Applied {
        Revision revision;
        DocumentPtr document;
    };

    struct ServiceTargets {
        std::unordered_set<TargetId> ids;
        mutable std::optional<RankTable> ranks; ///< Built when first needed after a change.
    };

    void add(const std::string& key, const Document& document);
    void remove(const Document& document);
    void addService(const std::string& key, const ServiceConfig& service);
    void removeService(const ServiceConfig& service);
    void addTarget(const std::string& key, const TargetConfig& target);
    void removeTarget(const TargetConfig& target);
    void reindexTarget(TargetId id, const TargetConfig* before);
    void addMember(const MemberConfig& member);
    void removeMember(const MemberConfig& member);
    void addName(const std::string& name, ServiceId service);
    void removeName(const std::string& name, ServiceId service);
    void applyOperations(const OperationsDocument* operations);
    bool isAmbiguous(const std::string& name) const;
    bool isSharedId(ServiceId id) const;

    std::unordered_map<std::string, Applied> m_applied;
    std::unordered_map<std::string, ServiceId> m_names; ///< Names claimed by exactly one service.
    std::unordered_map<std::string, std::vector<ServiceId>> m_claims; ///< Every claim on a name.
    IdIndex<ServiceId, ServiceConfig> m_services;
    IdIndex<TargetId, TargetConfig> m_targets;
    std::unordered_map<ServiceId, ServiceTargets> m_targetsByService;
    std::unordered_map<std::string, std::size_t> m_leavingVms; ///< Number of members of a VM that are about to leave.
    std::unordered_set<std::string> m_domainsOut;
    std::unordered_set<std::string> m_vmsOut;
    PresetConfig m_preset;
    Revision m_completeThrough;
};

} // namespace hawthorncroft
