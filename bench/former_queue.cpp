#include "former_queue.h"

#include "table/transit_limits.h"

#include <algorithm>
#include <tuple>

namespace hawthorncroft {

namespace {

    /** @return Time left until the request has to start; negative when its answer will miss the latency objective. */
    Duration startSlack(const WaitingRequest& request, TimePoint now)
    {
        // Capped, so that requests that take longer than half of the objective are started as soon as possible.
        Duration service = std::min(request.serviceTime, request.latencyObjective / 2);
        return request.startedAt + request.latencyObjective - service - callerNetworkDelay - now;
    }

    bool isInTime(const WaitingRequest& request, TimePoint now) { return startSlack(request, now).us > 0; }

    /** @return Whether the caller gives up before the answer could arrive. */
    bool isExpired(const WaitingRequest& request, TimePoint now)
    {
        Duration service = std::min(request.serviceTime, request.timeout / 2);
        return request.timeout.us > 0 && now + service + callerNetworkDelay >= request.startedAt + request.timeout;
    }

    /** Order of release, except that under overload the newest requests in time of one priority go first. */
    bool isScheduledBefore(const WaitingRequest& a, const WaitingRequest& b, TimePoint now)
    {
        bool isInTimeA = isInTime(a, now);
        bool isInTimeB = isInTime(b, now);
        if (isInTimeA != isInTimeB)
            return isInTimeA;
        if (isInTimeA)
            return std::tuple(a.priority, a.startedAt) < std::tuple(b.priority, b.startedAt);
        return std::tuple(a.priority, a.startedAt + a.timeout) < std::tuple(b.priority, b.startedAt + b.timeout);
    }

    /** Order of eviction: the less urgent first, then late requests, then those with the least time left. */
    bool isEvictedBefore(const WaitingRequest& a, const WaitingRequest& b, TimePoint now)
    {
        auto rank = [now](const WaitingRequest& request) {
            return std::tuple(-request.priority, isInTime(request, now), request.startedAt + request.timeout);
        };
        return rank(a) < rank(b);
    }

}

std::optional<WaitingRequest> FormerQueue::push(
    const WaitingRequest& request, std::size_t capacity, TimePoint now, Duration)
{
    m_requests.push_back(request);
    if (m_requests.size() <= capacity)
        return std::nullopt;
    auto worst = std::min_element(m_requests.begin(), m_requests.end(),
        [&](const WaitingRequest& a, const WaitingRequest& b) { return isEvictedBefore(a, b, now); });
    WaitingRequest evicted = *worst;
    m_requests.erase(worst);
    return evicted;
}

std::optional<WaitingRequest> FormerQueue::pop(TimePoint now, Duration meanStartInterval)
{
    auto best = std::min_element(m_requests.begin(), m_requests.end(),
        [&](const WaitingRequest& a, const WaitingRequest& b) { return isScheduledBefore(a, b, now); });
    if (best == m_requests.end())
        return std::nullopt;
    if (isInTime(*best, now) && !canAllBeInTime(best->priority, now, meanStartInterval)) {
        std::uint8_t priority = best->priority;
        auto isNewest = [&](const WaitingRequest& a, const WaitingRequest& b) {
            bool isCandidateA = a.priority == priority && isInTime(a, now);
            bool isCandidateB = b.priority == priority && isInTime(b, now);
            if (isCandidateA != isCandidateB)
                return isCandidateA;
            return a.startedAt > b.startedAt;
        };
        best = std::min_element(m_requests.begin(), m_requests.end(), isNewest);
    }
    WaitingRequest request = *best;
    m_requests.erase(best);
    return request;
}

bool FormerQueue::canAllBeInTime(std::uint8_t priority, TimePoint now, Duration meanStartInterval) const
{
    Duration longest {};
    std::int64_t count = 0;
    for (const WaitingRequest& request : m_requests) {
        if (request.priority != priority || !isInTime(request, now))
            continue;
        ++count;
        longest = std::max(longest, startSlack(request, now));
    }
    return meanStartInterval * count <= longest;
}

std::optional<WaitingRequest> FormerQueue::popExpired(TimePoint now)
{
    auto expired = std::find_if(
        m_requests.begin(), m_requests.end(), [&](const WaitingRequest& request) { return isExpired(request, now); });
    if (expired == m_requests.end())
        return std::nullopt;
    WaitingRequest request = *expired;
    m_requests.erase(expired);
    return request;
}

std::optional<WaitingRequest> ArrivalQueue::push(
    const WaitingRequest& request, std::size_t capacity, TimePoint, Duration)
{
    if (m_requests.size() >= capacity)
        return request;
    m_requests.push_back(request);
    return std::nullopt;
}

std::optional<WaitingRequest> ArrivalQueue::pop(TimePoint, Duration)
{
    if (m_requests.empty())
        return std::nullopt;
    WaitingRequest request = m_requests.front();
    m_requests.erase(m_requests.begin());
    return request;
}

std::optional<WaitingRequest> ArrivalQueue::popExpired(TimePoint now)
{
    auto expired = std::find_if(
        m_requests.begin(), m_requests.end(), [&](const WaitingRequest& request) { return isExpired(request, now); });
    if (expired == m_requests.end())
        return std::nullopt;
    WaitingRequest request = *expired;
    m_requests.erase(expired);
    return request;
}

} // namespace hawthorncroft
