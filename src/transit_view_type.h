/**
 * @file transit_view_type.h
 * What processes know of the platform: routes, services, targets and evacuated failure domains, one item per key, each
 * with the revision of its last change.
 */
#pragma once

#include "transit_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hawthorncroft {

/** Service that gets a share of a route's new flows. */
struct RouteShare {
    std::string service;
    std::uint32_t weight { 1 };

    bool operator==(const RouteShare&) const = default;
};

/** Where flows to one address and port go. */
struct RouteRecord {
    Endpoint address; ///< What callers send to.
    std::vector<RouteShare> shares; ///< Services that new flows may go to.
    bool isIdempotent {}; ///< Callers repeat failed requests of this route.
    std::uint8_t priority {}; ///< Zero is the most urgent.
    Duration timeout {};
    Duration latencyObjective {};

    bool operator==(const RouteRecord&) const = default;
};

/** A service and what its targets bear. */
struct ServiceRecord {
    std::string name;
    std::uint32_t flowLimit {}; ///< Flows that one target holds.
    Duration warmup {}; ///< Time that a target stays cold after its start.
    double warmupPerSecond {}; ///< Requests a second that a cold target bears; zero when no limit is stated.

    bool operator==(const ServiceRecord&) const = default;
};

/** One lifetime of a target, as the target registered itself. */
struct TargetRecord {
    std::string id;
    std::string service;
    Endpoint address;
    std::string failureDomain;
    std::uint32_t slots { 1 };
    bool isDraining {};
    Duration coldLeft {}; ///< Time that the target stays cold, counted from when the record was written.
    std::uint64_t startedAt {}; ///< Identity of the lifetime: Unix milliseconds at the target's start. Never a time.

    bool operator==(const TargetRecord&) const = default;
};

/** A failure domain whose targets get nothing. */
struct EvacuationRecord {
    std::string failureDomain;

    bool operator==(const EvacuationRecord&) const = default;
};

using ViewValue = std::variant<RouteRecord, ServiceRecord, TargetRecord, EvacuationRecord>;

/** State of one key. */
struct ViewItem {
    std::string key;
    Revision revision;
    bool isRemoved {}; ///< A removed target keeps its value until `retainedUntil`.
    std::optional<ViewValue> value;
    TimePoint retainedUntil {}; ///< Removed targets only: used until then, as they may have lapsed with the store away.
    TimePoint receivedAt {};
};

/** Everything that changed above a revision. */
struct ViewDelta {
    Revision since; ///< The receiver must hold everything up to here.
    Revision through; ///< After applying it, the receiver holds everything up to here.
    bool hasKeys {}; ///< The sender does not know all removals; keys that are not in `keys` do not exist.
    std::vector<std::uint64_t> keys; ///< Hashes of all keys that exist, so that unchanged items need not be sent.
    std::vector<ViewItem> items;
    std::uint64_t digest {}; ///< Of the sender's configuration; see TransitView::digest.
};

/** Outcome of taking a delta. */
enum class DeltaOutcome : std::uint8_t {
    Ignored, ///< Nothing new, or not fitting to what is held.
    Applied,
    Mismatch, ///< Applied, but the configuration differs from the sender's: everything has to be asked for.
};

/** @return Hash of a key that is the same in every process. */
std::uint64_t hashOfKey(const std::string& key);

/** Full configuration as the operator wrote it. */
struct ConfigurationChange {
    Revision revision;
    std::vector<RouteRecord> routes;
    std::vector<ServiceRecord> services;
};

/** A target registered, or changed. */
struct TargetChange {
    Revision revision;
    TargetRecord target;
};

/** A failure domain is to be evacuated. */
struct EvacuationChange {
    Revision revision;
    std::string failureDomain;
};

/** A target's registration is gone, or names no usable target any more. */
struct TargetRemoval {
    Revision revision;
    std::string id;
};

/** A failure domain is back in service. */
struct EvacuationEnd {
    Revision revision;
    std::string failureDomain;
};

using StoreChange = std::variant<ConfigurationChange, TargetChange, EvacuationChange, TargetRemoval, EvacuationEnd>;

} // namespace hawthorncroft
