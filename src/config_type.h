/**
 * @file config_type.h
 * Typed configuration documents as operators publish them at the platform. A document is a JSON object under a key;
 * config_func.h parses and checks it. Documents are immutable once parsed.
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
    std::uint32_t inTimeMs { 1000 }; ///< A request answered within this time counts as in time; milliseconds.
    double inTimeRatio { 0.999 }; ///< Share of requests that must be in time.
    double brokenFlowRatio { 0.0001 }; ///< Share of flows that may break.
    std::uint32_t unavailableSecondsPerMonth { 60 }; ///< Seconds a month in which no request may be answered.
};

/** A service that callers may reach. */
struct ServiceConfig {
    ServiceId id;
    std::string name; ///< Canonical name.
    std::vector<std::string> addresses; ///< Addresses behind which callers find the service, as text.
    std::vector<std::string> names; ///< Further exact names.
    std::vector<std::string> spellings; ///< Misspellings that operators corrected to this service.
    Objectives objectives;
};

/** A target that serves one service. */
struct TargetConfig {
    TargetId id;
    ServiceId service;
    std::string vm; ///< VM on which the target runs.
    std::string failureDomain;
    Endpoint agent; ///< Datagram endpoint of the agent beside the target.
    std::uint32_t slots { 1 }; ///< Requests that the target runs at a time.
    std::uint32_t connections { 1 }; ///< Feeds and uploads that the target holds.
};

/** Limits that operators switch between as a whole. */
struct PresetConfig {
    std::uint32_t slotPercent { 100 }; ///< Share of a target's slots that is offered; percent.
    std::uint32_t connectionPercent { 100 }; ///< Share of a target's connections that is offered; percent.
    std::uint32_t uploadPercent { 100 }; ///< Share of the offered connections that uploads may take; percent.
    std::uint32_t retryPercent { 10 }; ///< Retries allowed per 100 successes.
    std::uint32_t hopBudget { 3 }; ///< Relays of one Open.
    std::uint32_t coldStartPercent { 20 }; ///< Share of the slots at the beginning of a cold start; percent.
    std::uint32_t coldStartSeconds { 10 }; ///< Shortest time until a cold target gets all its slots; seconds.
};

/** Presets, the one in force, and what is out of service. One document, so that its check needs no other. */
struct OperationsDocument {
    std::map<std::string, PresetConfig> presets;
    std::string inForce; ///< Name of the preset in force.
    std::vector<std::string> domainsOut; ///< Failure domains taken out of service.
    std::vector<std::string> vmsOut; ///< VMs taken out of service.
};

/** Key ids in use; the secrets are in each process's settings. */
struct KeysDocument {
    KeyId signing; ///< Signs new bindings and trailers.
    std::vector<KeyId> accepted; ///< Accepted when checking; contains the signing key.
};

/** Role of a process in the list of members. */
enum class Role : std::uint8_t {
    Balancer,
    Agent,
    End,
};

std::string_view nameOf(Role role);

/** One process in the platform's lagging list of live and leaving VMs. */
struct MemberConfig {
    std::string vm;
    std::string failureDomain;
    Role role { Role::Balancer };
    Endpoint data; ///< Datagram endpoint between processes.
    Endpoint control; ///< Control stream endpoint.
    bool leaving {}; ///< The VM is about to leave.
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

/** A removed document; keeps the revision of the removal. */
struct RemovedDocument { };

using Document = std::variant<RemovedDocument, ServicesDocument, TargetsDocument, OperationsDocument, KeysDocument,
    MembersDocument>;
using DocumentPtr = std::shared_ptr<const Document>;

/** A document with its place in the configuration. */
struct VersionedDocument {
    std::string key; ///< Key at the platform, such as "targets/sofia-1".
    Revision revision; ///< Revision of its last change.
    std::string text; ///< JSON as published; empty for a removed document.
    DocumentPtr document; ///< Parsed and checked.
};

/** What is wrong at one place of a document or a settings file. */
struct ConfigFault {
    std::string document; ///< Document key or file name.
    std::string path; ///< Place in it, such as "targets[3].slots".
    std::string value; ///< Value found there, shortened.
    std::string allowed; ///< What would be accepted.
    bool warning {}; ///< Valid but dangerous.
};

/**
 * Formats a fault on one line.
 * @param fault The fault.
 * @return For example: targets/sofia: targets[3].slots: 0 is not allowed: expected 1 to 100000.
 */
std::string toString(const ConfigFault& fault);

} // namespace hawthorncroft
