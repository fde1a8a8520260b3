/**
 * @file transit_view_type.h
 * State of the platform as replicated to every process: routes, services, targets and evacuated failure domains, one
 * item per key, each with the revision of its last change.
 */
#pragma once

#include "transit_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hawthorncroft {

/** Service that receives a share of the new flows of a route, in proportion to its weight. */
struct RouteShare {
    std::string service;
    std::uint32_t weight { 1 };

    bool operator==(const RouteShare&) const = default;
};

/** Route: maps the address and port that callers use to services. */
struct RouteRecord {
    Endpoint address; ///< Destination address and port of the callers' packets.
    std::vector<RouteShare> shares; ///< Services that new flows are distributed to.
    bool isIdempotent {}; ///< Callers retry failed requests of this route.
    std::uint8_t priority {}; ///< Zero is the most urgent.
    Duration timeout {};
    Duration latencyObjective {};

    bool operator==(const RouteRecord&) const = default;
};

/** Service with the limits of its targets. */
struct ServiceRecord {
    std::string name;
    std::uint32_t flowLimit {}; ///< Maximum number of open flows per target.
    Duration warmup {}; ///< Time that a target stays cold after its start.
    double warmupPerSecond {}; ///< Maximum requests per second of a cold target; zero for no limit.

    bool operator==(const ServiceRecord&) const = default;
};

/** Registration of one incarnation of a target, as written by the target. */
struct TargetRecord {
    std::string id;
    std::string service;
    Endpoint address;
    std::string failureDomain;
    std::uint32_t slots { 1 };
    bool isDraining {};
    Duration coldLeft {}; ///< Remaining cold time when the record was written.
    std::uint64_t startedAt {}; ///< Identifies the incarnation: start of the target in Unix milliseconds. Never used as
                                ///< a time, only compared.

    bool operator==(const TargetRecord&) const = default;
};

/** Evacuated failure domain: its targets receive no new flows. */
struct EvacuationRecord {
    std::string failureDomain;

    bool operator==(const EvacuationRecord&) const = default;
};

using ViewValue = std::variant<RouteRecord, ServiceRecord, TargetRecord, EvacuationRecord>;

/** Current value of one key, or its tombstone. */
struct ViewItem {
    std::string key;
    StorePosition position;
    bool isRemoved {}; ///< Tombstone. Those of targets and evacuations may keep the value until `retainedUntil`.
    std::optional<ViewValue> value;
    TimePoint retainedUntil {}; ///< Removed targets and evacuations stay in force until then: a registration may have
                                ///< expired only because the store was unreachable, and a store that came back from a
                                ///< copy lacks what was written since.
    TimePoint receivedAt {};
    bool isMissing {}; ///< Retained since the store came back from a copy without it.
    Revision carriedFrom; ///< Highest revision of earlier eras whose value this one still contains; zero if none.
};

/** Identity of a configuration. */
struct ConfigurationStamp {
    StorePosition writtenAt;
    std::uint64_t version {}; ///< Given by the operator; rises with each configuration. Zero when unknown.

    bool operator==(const ConfigurationStamp&) const = default;
};

/**
 * @return Whether one configuration is newer than the other. In different eras the versions decide: a store that came
 * back from a copy may have an older configuration than the one in force.
 */
bool isNewer(const ConfigurationStamp& one, const ConfigurationStamp& other);

/** All changes after a position. */
struct ViewDelta {
    StorePosition since; ///< Position up to which the receiver must be complete; none in a full delta.
    StorePosition through; ///< Position up to which the receiver is complete once it has applied the delta.
    bool hasKeys {}; ///< The sender no longer has all tombstones; keys that are not in `keys` do not exist.
    std::vector<std::uint64_t> keys; ///< Hashes of all existing keys, so that unchanged items need not be sent.
    std::vector<ViewItem> items;
    std::uint64_t digest {}; ///< Digest of the sender's view; see TransitView::digest.
    ConfigurationStamp configuration; ///< Configuration in force at the sender; may be written after `through`.
};

/** Result of applying a delta. */
enum class DeltaOutcome : std::uint8_t {
    Ignored, ///< Contains nothing new, or does not start at or below the position of the view.
    Applied,
    Mismatch, ///< The digest still differs from the sender's, so that the view does not advance to the position of the
              ///< delta: a full delta has to be requested.
};

/** @return Hash of a key; the same in all processes. */
std::uint64_t hashOfKey(const std::string& key);

/** The operator wrote a configuration; it replaces all routes and services. */
struct ConfigurationChange {
    Revision revision;
    std::vector<RouteRecord> routes;
    std::vector<ServiceRecord> services;
    std::uint64_t version {}; ///< As in ConfigurationStamp.
};

/** A target was registered, or its record changed. */
struct TargetChange {
    Revision revision;
    TargetRecord target;
};

/** The operator started the evacuation of a failure domain. */
struct EvacuationChange {
    Revision revision;
    std::string failureDomain;
};

/** The registration of a target was removed, or is no longer valid. */
struct TargetRemoval {
    Revision revision;
    std::string id;
};

/** The evacuation of a failure domain ended. */
struct EvacuationEnd {
    Revision revision;
    std::string failureDomain;
};

using StoreChange = std::variant<ConfigurationChange, TargetChange, EvacuationChange, TargetRemoval, EvacuationEnd>;

} // namespace hawthorncroft
