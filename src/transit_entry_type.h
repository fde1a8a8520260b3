/**
 * @file transit_entry_type.h
 * What the balancers of a failure domain tell each other about their capacity and load, from which each of them decides
 * whether it reports ready to the routers.
 */
#pragma once

#include "core_type.h"

#include <optional>
#include <string_view>
#include <vector>

namespace hawthorncroft {

/** Capacity and load of a balancer, sent in its stamps to the balancers of its failure domain. */
struct EntryReport {
    std::int64_t linkBytesPerSecond {}; ///< Rate of the VM's link.
    std::uint32_t processorMillis {}; ///< Processor share of the VM, in thousandths of a core.
    std::int64_t carriedBytesPerSecond {}; ///< Over the last second, in the direction that carries more.
    std::int64_t carriedPacketsPerSecond {}; ///< Over the last second, in the direction that carries more.
    bool isStopping {}; ///< The balancer shuts down and will leave rotation.

    bool operator==(const EntryReport&) const = default;
};

/** Another balancer of the own failure domain. */
struct EntryPeer {
    Endpoint endpoint;
    std::optional<EntryReport> report; ///< None from a process of a version without reports, or before its first stamp.
    Duration age; ///< Time since the last stamp with a report.
    bool isReady {}; ///< The process is alive and was ready by its last stamp.
};

/** The other balancers of the own failure domain. */
struct EntryBalancers {
    std::vector<EntryPeer> peers;
    bool isComplete {}; ///< Every known balancer has told its failure domain, and those of the own one their report.
};

/** Load in the direction that carries more. */
struct EntryLoad {
    double bytesPerSecond {};
    double packetsPerSecond {};
};

/** Why a balancer left rotation or returned. */
enum class EntryReason : std::uint8_t {
    Load, ///< Left: its share of the load exceeds the limit.
    Start, ///< Stays out after its start: its capacity is low, and whether the load fits is not known yet.
    Half, ///< Returned: fewer than half of the failure domain's balancers are ready.
    Fits, ///< Returned: its share of the load is below the limit.
    NoReports, ///< Returned: no report of another balancer is fresh.
    End,
};

std::string_view nameOf(EntryReason reason);

/** Change of the rotation, with the inputs of the decision. */
struct EntryChange {
    bool isReady {};
    EntryReason reason {};
    std::size_t wanted {}; ///< Number of balancers that should be ready.
    std::size_t known {}; ///< Balancers of the failure domain, with this one.
    std::size_t ready {}; ///< Other balancers that are ready by a fresh report.
    double
        utilisation {}; ///< Load of this balancer as a share of its capacity, while it is ready beside `ready` others.
    Duration oldestReport; ///< Age of the oldest fresh report.
};

} // namespace hawthorncroft
