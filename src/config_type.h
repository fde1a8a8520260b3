/**
 * @file config_type.h
 * Typed configuration documents as operators publish them on the platform. A document is a JSON object stored under a
 * key; config_func.h parses and validates it. Parsed documents are immutable.
 */
#pragma once

#include "core_type.h"

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace hawthorncroft {

/** Service-level objectives of a service, used by the burn report. */
struct Objectives {
    std::uint32_t inTimeMs { 1000 }; ///< Time limit for a request to count as in time; milliseconds.
    double inTimeRatio { 0.999 }; ///< Minimum share of requests answered in time; 0 to 1.
    double brokenFlowRatio { 0.0001 }; ///< Maximum share of flows that may break; 0 to 1.
    std::uint32_t unavailableSecondsPerMonth { 60 }; ///< Allowed downtime; seconds per month.
};

/** A service that callers can open flows to. */
struct ServiceConfig {
    ServiceId id;
    std::string name; ///< Canonical name.
    std::vector<std::string> addresses; ///< Addresses at which callers reach the service, as text.
    std::vector<std::string> names; ///< Additional names, matched exactly.
    std::vector<std::string> spellings; ///< Known misspellings that resolve to this service.
    Objectives objectives;
};

/** A target that serves one service. */
struct TargetConfig {
    TargetId id;
    ServiceId service;
    std::string vm; ///< VM on which the target runs.
    std::string failureDomain;
    Endpoint agent; ///< Datagram endpoint of the target's agent.
    std::uint32_t slots { 1 }; ///< Maximum number of concurrent requests.
    std::uint32_t connections { 1 }; ///< Maximum number of concurrent feeds and uploads.
};

/** A set of limits. Operators select one preset as a whole. */
struct PresetConfig {
    std::uint32_t slotPercent { 100 }; ///< Share of a target's slots that may be used; percent.
    std::uint32_t connectionPercent { 100 }; ///< Share of a target's connections that may be used; percent.
    std::uint32_t uploadPercent { 100 }; ///< Share of the usable connections that uploads may occupy; percent.
    std::uint32_t retryPercent { 10 }; ///< Retries allowed per 100 successful requests.
    std::uint32_t hopBudget { 3 }; ///< Maximum number of relays of one Open.
    std::uint32_t coldStartPercent { 20 }; ///< Share of the slots available at the start of the warm-up; percent.
    std::uint32_t coldStartSeconds { 10 }; ///< Minimum time until a cold target gets all its slots; seconds.
};

/**
 * Presets, the preset in force, and what is out of service. They share one document so that it can be validated without
 * any other.
 */
struct OperationsDocument {
    std::map<std::string, PresetConfig> presets;
    std::string inForce; ///< Name of the preset in force.
    std::vector<std::string> domainsOut; ///< Failure domains that are out of service.
    std::vector<std::string> vmsOut; ///< VMs that are out of service.
};

/** Ids of the keys in use. The secrets are stored in the settings of each process. */
struct KeysDocument {
    KeyId signing; ///< Key that signs new bindings and trailers.
    std::vector<KeyId> accepted; ///< Keys accepted for verification, including the signing key.
};

/** Role of a process in the member list. */
enum class Role : std::uint8_t {
    Balancer,
    Agent,
    End,
};

std::string_view nameOf(Role role);

/** One process in the platform's member list. The list covers live and leaving VMs and may be out of date. */
struct MemberConfig {
    std::string vm;
    std::string failureDomain;
    Role role { Role::Balancer };
    Endpoint data; ///< Endpoint for datagrams between processes.
    Endpoint control; ///< Endpoint for control connections.
    bool leaving {}; ///< The VM is about to be removed.
};

struct ServicesDocument {
    std::vector<ServiceConfig> services;
};

struct TargetsDocument {
    std::vector<TargetConfig> targets;
};

struct MembersDocument {
    std::vector<MemberConfig> members;
};

/** Tombstone of a removed document; its VersionedDocument has the revision of the removal. */
struct RemovedDocument { };

using Document = std::variant<RemovedDocument, ServicesDocument, TargetsDocument, OperationsDocument, KeysDocument,
    MembersDocument>;
using DocumentPtr = std::shared_ptr<const Document>;

/** A document with its key and revision. */
struct VersionedDocument {
    std::string key; ///< Key on the platform, such as "targets/sofia-1".
    Revision revision; ///< Revision of the last change.
    std::string text; ///< JSON text as published; empty for a removed document.
    DocumentPtr document; ///< Parsed and validated.
};

/** A validation error or warning at one place of a document or a settings file. */
struct ConfigFault {
    std::string document; ///< Document key or file name.
    std::string path; ///< Path of the field, such as "targets[3].slots".
    std::string value; ///< Value found, shortened.
    std::string allowed; ///< Description of the accepted values; the explanation of a warning.
    bool warning {}; ///< The document is valid but probably not what the operator intended.
};

/**
 * Formats a fault on one line.
 * @param fault The fault.
 * @return For example: targets/sofia: targets[3].slots: 0 is not allowed: expected 1 to 100000.
 */
std::string toString(const ConfigFault& fault);

} // namespace hawthorncroft
