/**
 * @file transit_view_util.h
 * Helpers of the tests of views.
 */
#pragma once

#include "transit_view_base.h"

namespace hawthorncroft::tests {

inline constexpr TimePoint viewStart { seconds(50).us }; ///< Time at which the tests of views begin.

/** Updates a view from another as processes do: by a delta, and by a full delta when their digests differ. */
inline void pullDelta(TransitView& to, const TransitView& from)
{
    if (to.applyDelta(from.deltaSince(to.through()), viewStart) == DeltaOutcome::Mismatch)
        to.applyDelta(from.deltaSince(StorePosition()), viewStart);
}

/** @return A configuration with routes, and with the services that the routes of tests name. */
inline StoreChange routes(std::uint64_t revision, const std::vector<RouteRecord>& list)
{
    return ConfigurationChange { Revision(revision), list, { { .name = "web" }, { .name = "mail" } } };
}

} // namespace hawthorncroft::tests
