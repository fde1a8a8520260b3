/**
 * @file config_base.h
 * Index over the accepted configuration documents, updated one document at a time. Each thread that needs the
 * configuration owns a separate view. The cost of an update depends on the size of the changed document, not on the
 * size of the configuration.
 */
#pragma once

#include "config_index.h"
#include "config_type.h"
#include "placement_type.h"

#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace hawthorncroft {

/** Result of resolving a service name. */
struct Resolution {
    ServiceId service; ///< Zero when the name resolves to no service.
    Revision revision; ///< Revision of the view used to resolve the name.
};

/** The configuration known to one process. */
class ConfigView {
public:
    /**
     * Applies a document unless the same or a higher revision is already applied under its key.
     * @param document The validated document.
     * @return Whether the view changed.
     */
    bool apply(const VersionedDocument& document);

    /**
     * Raises the revision up to which the view is complete.
     * @param revision The revision; ignored when it is lower than the current one.
     */
    void setCompleteThrough(Revision revision);

    /** @return Revision up to which the view is complete. */
    Revision completeThrough() const { return m_completeThrough; }

    /**
     * Resolves a service name. Only exact names and configured spellings match. A name that belongs to two services, or
     * whose service shares its id with a service of a different name, resolves to none.
     * @param name The name as sent by the caller.
     * @return The service id, zero when there is none, and the revision of the view.
     */
    Resolution resolve(std::string_view name) const;

    /** @return The service, or null. When several documents use the id, the lowest document key takes precedence. */
    const ServiceConfig* service(ServiceId id) const;

    /** @return The target, or null. When several documents use the id, the lowest document key takes precedence. */
    const TargetConfig* target(TargetId id) const;

    /** @return Rank table of the service; empty for an unknown service. */
    const RankTable& ranksOf(ServiceId id) const;

    /** @return Whether the target's failure domain or VM is out of service. */
    bool isOutOfService(const TargetConfig& target) const;

    /** @return Whether the failure domain or the VM is out of service. */
    bool isOutOfService(const std::string& failureDomain, const std::string& vm) const;

    /** @return Whether the platform's member list marks the VM as leaving. */
    bool isLeaving(const std::string& vm) const;

    /** @return Limits of the preset in force; defaults when there is no operations document. */
    const PresetConfig& preset() const { return m_preset; }

    /** @return The operations document, or null. */
    const OperationsDocument* operations() const;

    /** @return Key ids in use, or null. */
    const KeysDocument* keys() const;

    /** @return All entries of the platform's member list, in no particular order. */
    std::vector<MemberConfig> members() const;

    /** @return All services, in no particular order. */
    std::vector<const ServiceConfig*> services() const;

    /** @return All targets, in no particular order. */
    std::vector<const TargetConfig*> targets() const;

    /** @return All unambiguous names and spellings with their service. */
    const std::unordered_map<std::string, ServiceId>& names() const { return m_names; }

private:
    struct Applied {
        Revision revision;
        DocumentPtr document;
    };

    struct ServiceTargets {
        std::unordered_set<TargetId> ids;
        mutable std::optional<RankTable> ranks; ///< Built on first use after a change.
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
    std::unordered_map<std::string, ServiceId> m_names; ///< Names and spellings that belong to exactly one service.
    std::unordered_map<std::string, std::vector<ServiceId>> m_claims; ///< All services that list each name.
    IdIndex<ServiceId, ServiceConfig> m_services;
    IdIndex<TargetId, TargetConfig> m_targets;
    std::unordered_map<ServiceId, ServiceTargets> m_targetsByService;
    std::unordered_map<std::string, std::size_t> m_leavingVms; ///< Number of leaving members on each VM.
    std::unordered_set<std::string> m_domainsOut;
    std::unordered_set<std::string> m_vmsOut;
    PresetConfig m_preset;
    Revision m_completeThrough;
};

} // namespace hawthorncroft
