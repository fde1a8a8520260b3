#include "transit_queue_base.h"

#include "table/transit_limits.h"

#include <algorithm>
#include <tuple>

namespace hawthorncroft {

namespace {

    bool isInTime(const WaitingRequest& request, TimePoint now)
    {
        return now < request.startedAt + request.latencyObjective - serviceReserve;
    }

    bool isExpired(const WaitingRequest& request, TimePoint now)
    {
        return request.timeout.us > 0 && now >= request.startedAt + request.timeout;
    }

    bool goesBefore(const WaitingRequest& a, const WaitingRequest& b, TimePoint now)
    {
        bool isInTimeA = isInTime(a, now);
        bool isInTimeB = isInTime(b, now);
        if (isInTimeA != isInTimeB)
            return isInTimeA;
        if (isInTimeA)
            return std::tuple(a.priority, a.startedAt) < std::tuple(b.priority, b.startedAt);
        return a.startedAt + a.timeout < b.startedAt + b.timeout;
    }

}

bool TransitQueue::push(const WaitingRequest& request)
{
    if (m_requests.size() >= maxQueuedRequests)
        return false;
    m_requests.push_back(request);
    return true;
}

std::optional<WaitingRequest> TransitQueue::pop(TimePoint now)
{
    auto best = std::min_element(m_requests.begin(), m_requests.end(),
        [&](const WaitingRequest& a, const WaitingRequest& b) { return goesBefore(a, b, now); });
    if (best == m_requests.end())
        return std::nullopt;
    WaitingRequest request = *best;
    m_requests.erase(best);
    return request;
}

std::optional<WaitingRequest> TransitQueue::popExpired(TimePoint now)
{
    auto expired = std::find_if(
        m_requests.begin(), m_requests.end(), [&](const WaitingRequest& request) { return isExpired(request, now); });
    if (expired == m_requests.end())
        return std::nullopt;
    WaitingRequest request = *expired;
    m_requests.erase(expired);
    return request;
}

void TransitQueue::remove(const FlowTuple& flow)
{
    std::erase_if(m_requests, [&](const WaitingRequest& request) { return request.flow == flow; });
}

} // namespace hawthorncroft
