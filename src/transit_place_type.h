/**
 * @file transit_place_type.h
 * Explanation of where a balancer would place a flow, as served by the page `/place` and read by `hawthorncroftctl`.
 */
#pragma once

#include "core_type.h"

#include <optional>
#include <string>
#include <vector>

namespace hawthorncroft {

/** Parameters of the page `/place`. */
struct PlaceQuery {
    Endpoint from; ///< Endpoint of the caller.
    std::optional<Endpoint> to; ///< Route address.
    std::string service; ///< Instead of a route address.
};

/** Service that a route distributes flows to. */
struct PlaceShare {
    std::string service;
    std::uint32_t weight {};
};

struct PlaceRoute {
    std::string address;
    std::uint64_t revision {};
    std::vector<PlaceShare> shares; ///< At most `maxExplainedItems`.
};

struct PlaceService {
    std::string name;
    std::string reason; ///< "weight", "spare_capacity" (that service is full, this one is not) or "requested".
};

/** View that the explanation is based on. */
struct PlaceView {
    std::uint64_t revision {};
    std::optional<std::uint64_t> ageMs; ///< None if the store never confirmed the view.
};

struct PlaceTarget {
    std::string id;
    std::string address;
    std::string failureDomain;
    std::string reason; ///< "holder" or a PlacementBasis.
};

/** Components of a load; see LoadTerms. */
struct PlaceLoad {
    double utilisation {};
    double otherDomain {};
    double brokenPath {};
    double cold {};
};

struct PlaceCandidate {
    std::string id;
    std::string address;
    std::string failureDomain;
    std::string state; ///< Name of a TargetState.
    bool isCompared {}; ///< Its load was compared. The others were not drawn, or cannot take the flow.
    bool isTried {}; ///< An earlier transmission of the opening packet was sent there and is not answered.
    double load {};
    PlaceLoad components;
    std::uint32_t inProgress {}; ///< Requests in progress by its last report.
    std::uint32_t openingsSent {}; ///< Opening packets sent to it since that report.
    std::uint32_t slots {};
    std::optional<std::uint32_t> learnedLimit; ///< None if unknown.
    std::optional<std::uint32_t> serviceTimeUs; ///< None if unknown.
    std::optional<std::uint64_t> reportAgeMs; ///< None if there was no report.
};

/** Explanation of one placement. */
struct PlaceReport {
    std::string balancer; ///< Endpoint at which the balancer receives messages.
    std::string failureDomain; ///< Of the balancer.
    std::string from;
    std::optional<PlaceRoute> route; ///< None if a service was requested.
    std::optional<PlaceService> service; ///< None if the route distributes no flows.
    PlaceView view;
    std::string outcome; ///< "placed", "held", "refused" or "unanswered" (an earlier transmission may open the flow).
    std::optional<PlaceTarget> target;
    std::optional<std::string> holder; ///< Agent whose target holds the flow.
    std::optional<std::string> refusal; ///< Reason for which no target gets the flow.
    std::vector<PlaceCandidate> candidates; ///< At most `maxExplainedItems`; the compared ones are first.
    std::uint64_t candidatesNotListed {};
};

} // namespace hawthorncroft
