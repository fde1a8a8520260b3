/**
 * @file former_queue.h
 * Baselines of the order of waiting requests: the order of arrival, and the order that the product had before late
 * requests were released at their latest start time. Both have the interface of TransitQueue.
 */
#pragma once

#include "transit_queue_base.h"

namespace hawthorncroft {

/** Requests in time before late ones, whether or not late ones can still be answered. */
class FormerQueue {
public:
    std::optional<WaitingRequest> push(
        const WaitingRequest& request, std::size_t capacity, TimePoint now, Duration meanStartInterval = {});
    std::optional<WaitingRequest> pop(TimePoint now, Duration meanStartInterval);
    std::optional<WaitingRequest> popExpired(TimePoint now);
    std::size_t size() const { return m_requests.size(); }
    bool empty() const { return m_requests.empty(); }

private:
    bool canAllBeInTime(std::uint8_t priority, TimePoint now, Duration meanStartInterval) const;

    std::vector<WaitingRequest> m_requests;
};

/** First in, first out. */
class ArrivalQueue {
public:
    std::optional<WaitingRequest> push(
        const WaitingRequest& request, std::size_t capacity, TimePoint now, Duration meanStartInterval = {});
    std::optional<WaitingRequest> pop(TimePoint now, Duration meanStartInterval);
    std::optional<WaitingRequest> popExpired(TimePoint now);
    std::size_t size() const { return m_requests.size(); }
    bool empty() const { return m_requests.empty(); }

private:
    std::vector<WaitingRequest> m_requests;
};

} // namespace hawthorncroft
