/**
 * @file transit_admission_base.h
 * Decides at the agent whether its target gets an opening packet. It answers three loads: a crowd that comes back to a
 * target that just started, packets that come late or by an old view, and more requests than the target can answer.
 */
#pragma once

#include "transit_view_base.h"

#include <deque>
#include <optional>

namespace hawthorncroft {

/** Settings of the admission. */
struct TransitAdmissionOptions {
    std::string service; ///< Service that the target runs.
    Endpoint target; ///< Address of the target.
    double warmupExcess { 1.5 }; ///< Factor on what a cold target bears in a second.
    double warmupSlack { 5 }; ///< Requests beyond it.
};

/** What an opening packet asks for. */
struct OpenRequest {
    std::string service; ///< Service that the balancer chose.
    Endpoint address; ///< What the caller sent to.
    Revision routeRevision; ///< Revision of the route by which the balancer chose.
};

/** Admission of opening packets to one target. Pure. */
class TransitAdmission {
public:
    explicit TransitAdmission(TransitAdmissionOptions options);

    /**
     * Decides without changing anything.
     * @return Why the target must not get the packet; none when it may.
     */
    std::optional<DeclineReason> test(
        const TransitView& view, const OpenRequest& request, const LoadReport& load, TimePoint now) const;

    /** Notes that the target got an opening packet. */
    void noteAdmitted(TimePoint now);

    /** @return Whether the target is cold as far as the view tells. */
    bool isCold(const TransitView& view, TimePoint now) const;

    /** @return The target's record, or null. */
    const TargetEntry* ownRecord(const TransitView& view) const;

private:
    bool isRouteWrong(const TransitView& view, const OpenRequest& request) const;
    std::size_t coldLimit(const ServiceRecord& service) const;

    TransitAdmissionOptions m_options;
    std::deque<TimePoint> m_admitted; ///< Opening packets of the last second, in order.
};

} // namespace hawthorncroft
