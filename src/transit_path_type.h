/**
 * @file transit_path_type.h
 * Types for the state of the network paths between failure domains.
 */
#pragma once

#include "core_type.h"

#include <cstdint>
#include <string>

namespace hawthorncroft {

/** Hash of the name of a failure domain, the same on all machines; zero for an unknown one. */
using DomainId = std::uint32_t;

/** @return Identifier of a failure domain; zero for an empty name. */
DomainId domainIdOf(const std::string& name);

/** A process in `to` last received a message from `from` `heardAgeMs` ago; this was known `reportAgeMs` ago. */
struct PathReport {
    DomainId from {};
    DomainId to {};
    std::uint32_t heardAgeMs {};
    std::uint32_t reportAgeMs {};

    bool operator==(const PathReport&) const = default;
};

/** A path broke or healed. */
struct PathChange {
    DomainId from {};
    DomainId to {};
    bool isBroken {};
    Duration silence; ///< Time without messages, by the last report.
    Duration reportAge; ///< Age of that report.
};

} // namespace hawthorncroft
