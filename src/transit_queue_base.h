/**
 * @file transit_queue_base.h
 * Queue of requests at the agent while all slots of the target are busy. The target's own queue is first in, first out,
 * which fails in two cases. After an outage, requests that are already late arrive together with new ones: here
 * requests that can still meet their latency objective are released first, and late ones follow by priority and then by
 * earliest timeout. Under overload not all requests can meet their objective: the newest are released first, since in
 * arrival order every request would be answered just too late. Among requests in time, the higher priority is released
 * first.
 */
#pragma once

#include "transit_type.h"

#include <optional>
#include <vector>

namespace hawthorncroft {

/** A request in the queue. */
struct WaitingRequest {
    FlowTuple flow;
    std::uint8_t priority {}; ///< Zero is the highest.
    TimePoint startedAt; ///< Estimated time at which the caller sent it.
    Duration latencyObjective {};
    Duration timeout {}; ///< Time after which the caller gives up; zero when unknown.
    Duration serviceTime {}; ///< Expected time from delivery to the target until the answer.
};

/** Queue of requests, at most one for each flow. Pure. */
class TransitQueue {
public:
    /**
     * Adds a request. When the queue is full, one request is evicted: the one of the lowest priority, late before in
     * time, that has the least time left.
     * @param capacity Maximum number of requests in the queue, at least one.
     * @return The evicted request, which can be the new one; none when the queue was not full.
     */
    std::optional<WaitingRequest> push(const WaitingRequest& request, std::size_t capacity, TimePoint now);

    /**
     * Removes the request to release next.
     * @param now Current time.
     * @param meanStartInterval Expected time between two requests that the target starts; zero when unknown.
     * @return The request; none when the queue is empty.
     */
    std::optional<WaitingRequest> pop(TimePoint now, Duration meanStartInterval);

    /** Removes a request whose timeout has passed. @return The request; none when there is no such request. */
    std::optional<WaitingRequest> popExpired(TimePoint now);

    /** @return Requests of this or a higher priority that can still be answered in time. */
    std::size_t inTimeCount(std::uint8_t priority, TimePoint now) const;

    /** Removes the request of a flow. */
    void remove(const FlowTuple& flow);

    std::size_t size() const { return m_requests.size(); }
    bool empty() const { return m_requests.empty(); }

private:
    bool canAllBeInTime(std::uint8_t priority, TimePoint now, Duration meanStartInterval) const;

    std::vector<WaitingRequest>
        m_requests; ///< Unsorted: the order depends on the time of the call; at most some hundred.
};

} // namespace hawthorncroft
