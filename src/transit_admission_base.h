/**
 * @file transit_admission_base.h
 * Admission control at the agent: decides whether its target gets an opening packet. It limits bursts of returning
 * callers at a target that has just started, and declines packets that were routed by an outdated view and packets that
 * exceed the service's flow limit.
 */
#pragma once

#include "transit_view_base.h"

#include <deque>
#include <optional>

namespace hawthorncroft {

/** Settings of the admission control. */
struct TransitAdmissionOptions {
    std::string service; ///< Service that the target serves.
    Endpoint target;
    std::string failureDomain; ///< Failure domain of the target's VM.
    double warmupExcess { 1.5 }; ///< Factor on the service's warm-up rate for a cold target.
    double warmupSlack { 5 }; ///< Opening packets per window in addition to the scaled warm-up rate.
};

/** Service and address that an opening packet requests. */
struct OpenRequest {
    std::string service; ///< Service that the balancer chose.
    Endpoint address; ///< Destination of the caller's packet.
    StorePosition routePosition; ///< Position of the route that the balancer used.
};

/** Admission of opening packets to one target. Pure. */
class TransitAdmission {
public:
    explicit TransitAdmission(TransitAdmissionOptions options);

    /**
     * Checks an opening packet against the view and the load, without side effects.
     * @return Reason to decline the packet; none when it is admitted.
     */
    std::optional<DeclineReason> test(
        const TransitView& view, const OpenRequest& request, const LoadReport& load, TimePoint now) const;

    /** Records that an opening packet was delivered to the target. */
    void recordAdmission(TimePoint now);

    /** @return Whether the target is cold according to the view; true when it is not registered. */
    bool isCold(const TransitView& view, TimePoint now) const;

    /** @return View entry of the target; null when it is not registered for this service. */
    const TargetEntry* ownEntry(const TransitView& view) const;

private:
    bool isRouteWrong(const TransitView& view, const OpenRequest& request) const;
    std::size_t coldLimit(const ServiceRecord& service) const;

    TransitAdmissionOptions m_options;
    std::deque<TimePoint> m_recentAdmissions; ///< Times of the opening packets within coldWindow, oldest first.
};

} // namespace hawthorncroft
