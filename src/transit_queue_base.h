/**
 * @file transit_queue_base.h
 * Requests that wait at the agent while all slots of the target are busy. The target's own queue is first come, first
 * served; this one answers two loads. After an outage, requests that are late already come back together with new ones:
 * those that can still be answered within their latency objective go first, and the late ones follow, the more urgent
 * and then those whose time budget ends first. Beyond the capacity, not all can be in time: then the newest of them go
 * first, since in a line every request would be answered just too late. Among requests in time the more urgent route
 * goes first.
 */
#pragma once

#include "transit_type.h"

#include <optional>
#include <vector>

namespace hawthorncroft {

/** A request that waits. */
struct WaitingRequest {
    FlowTuple flow;
    std::uint8_t priority {}; ///< Zero is the most urgent.
    TimePoint startedAt; ///< When the caller sent it, as far as the agent knows.
    Duration latencyObjective {};
    Duration timeout {}; ///< Time budget; zero when unknown.
    Duration serviceTime {}; ///< Expected from the hand-over to the answer.
};

/** Queue of requests, at most one for each flow. Pure. */
class TransitQueue {
public:
    /** Adds a request. @return Whether there was room. */
    bool push(const WaitingRequest& request);

    /**
     * Removes the request that goes next.
     * @param now Current time.
     * @param meanStartInterval Expected time between two requests that the target starts; zero when unknown.
     * @return The request; none when nothing waits.
     */
    std::optional<WaitingRequest> pop(TimePoint now, Duration meanStartInterval);

    /** Removes a request whose time budget is used up. @return The request; none when there is none. */
    std::optional<WaitingRequest> popExpired(TimePoint now);

    /** Removes the request of a flow. */
    void remove(const FlowTuple& flow);

    std::size_t size() const { return m_requests.size(); }
    bool empty() const { return m_requests.empty(); }

private:
    bool canAllBeInTime(std::uint8_t priority, TimePoint now, Duration meanStartInterval) const;

    std::vector<WaitingRequest> m_requests; ///< A few hundred at most; the order depends on the time of the question.
};

} // namespace hawthorncroft
