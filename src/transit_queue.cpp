#include "transit_queue_base.h"

#include "table/transit_limits.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hawthorncroft {

TimePoint TransitQueue::latestStartOf(const WaitingRequest& request)
{
    if (request.timeout.us <= 0)
        return { std::numeric_limits<std::int64_t>::max() };
    return request.startedAt + request.timeout - toleranceOf(request) - callerNetworkDelay;
}

Duration TransitQueue::toleranceOf(const WaitingRequest& request)
{
    return std::min(request.serviceTime, request.timeout / 2);
}

TransitQueue::Entry::Entry(const WaitingRequest& waiting)
    : latestStart(latestStartOf(waiting))
    , tolerance(toleranceOf(waiting))
    , rescueMargin(std::max(waiting.timeout / rescueMarginShare, tolerance))
    , request(waiting)
{
    // Capped, so that requests that take longer than half of the objective are started as soon as possible.
    Duration service = std::min(waiting.serviceTime, waiting.latencyObjective / 2);
    inTimeUntil = waiting.startedAt + waiting.latencyObjective - service - callerNetworkDelay;
}

/** Order of release, except that under overload the newest requests in time of one priority go first. */
bool TransitQueue::isScheduledBefore(const Entry& a, const Entry& b, TimePoint now)
{
    bool isInTimeA = a.isInTime(now);
    bool isInTimeB = b.isInTime(now);
    if (isInTimeA != isInTimeB)
        return isInTimeA;
    if (a.request.priority != b.request.priority)
        return a.request.priority < b.request.priority;
    if (isInTimeA)
        return a.request.startedAt < b.request.startedAt;
    return a.request.startedAt + a.request.timeout < b.request.startedAt + b.request.timeout;
}

std::optional<WaitingRequest> TransitQueue::push(
    const WaitingRequest& request, std::size_t capacity, TimePoint now, Duration meanStartInterval)
{
    recordArrival(request.priority, now);
    Entry entry(request);
    auto position = std::upper_bound(m_entries.begin(), m_entries.end(), entry,
        [](const Entry& a, const Entry& b) { return a.latestStart < b.latestStart; });
    m_entries.insert(position, entry);
    if (m_entries.size() <= capacity)
        return std::nullopt;
    return take(evictionIndex(now, meanStartInterval));
}

std::size_t TransitQueue::evictionIndex(TimePoint now, Duration meanStartInterval) const
{
    std::uint8_t lowest = 0;
    for (const Entry& entry : m_entries)
        lowest = std::max(lowest, entry.request.priority);
    std::optional<std::size_t> late;
    std::optional<std::size_t> inTime;
    std::int64_t ahead = 0; // Requests that are answered before this one, if all start by their latest start times.
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const Entry& entry = m_entries[i];
        bool canBeAnswered
            = m_order == ReleaseOrder::InTimeFirst || now + meanStartInterval * ahead < entry.latestStart;
        ahead += canBeAnswered;
        if (entry.request.priority != lowest)
            continue;
        if (!canBeAnswered)
            return i;
        std::optional<std::size_t>& first = entry.isInTime(now) ? inTime : late;
        if (!first)
            first = i;
    }
    return late ? *late : *inTime;
}

std::optional<WaitingRequest> TransitQueue::pop(TimePoint now, Duration meanStartInterval)
{
    if (m_entries.empty())
        return std::nullopt;
    Candidates candidates = releaseCandidates(now, meanStartInterval);
    auto isCandidate = [&](std::size_t i) {
        return candidates.contains(m_entries[i].request.priority, i, m_entries[i].isInTime(now));
    };
    std::size_t end = std::min(std::max(candidates.last, candidates.lastUrgent), m_entries.size() - 1) + 1;
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < end; ++i) {
        if (isCandidate(i) && (!best || isScheduledBefore(m_entries[i], m_entries[*best], now)))
            best = i;
    }
    bool isInTime = m_entries[*best].isInTime(now);
    std::uint8_t priority = m_entries[*best].request.priority;
    if (isInTime && !canAllBeInTime(priority, now, meanStartInterval)) {
        for (std::size_t i = 0; i < end; ++i) {
            const Entry& entry = m_entries[i];
            if (entry.request.priority == priority && entry.isInTime(now) && isCandidate(i)
                && entry.request.startedAt > m_entries[*best].request.startedAt)
                best = i;
        }
    }
    bool isRescued = !isInTime
        && std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry& entry) { return entry.isInTime(now); });
    WaitingRequest request = take(*best);
    request.isRescued = isRescued;
    return request;
}

TransitQueue::Candidates TransitQueue::releaseCandidates(TimePoint now, Duration meanStartInterval)
{
    if (m_order == ReleaseOrder::InTimeFirst)
        return {};
    m_startInterval += (static_cast<double>(meanStartInterval.us) - m_startInterval) / startIntervalShare;
    double arrivalsPerInterval = 0;
    for (PriorityClass& group : m_classes) {
        arrivalsPerInterval += group.arrivalRate(now) * m_startInterval;
        group.arrivalsPerStart = arrivalsPerInterval;
        if (arrivalsPerInterval < overloadExitRatio)
            group.overloadedSince.reset();
        else if (arrivalsPerInterval > overloadEntryRatio && !group.overloadedSince)
            group.overloadedSince = now;
    }
    // If the requests of some priorities can all be answered, so can those of the higher ones among them.
    for (auto group = m_classes.rbegin(); group != m_classes.rend(); ++group) {
        if (auto candidates = lastCandidates(*group, now, meanStartInterval))
            return *candidates;
    }
    return {};
}

std::optional<TransitQueue::Candidates> TransitQueue::lastCandidates(
    const PriorityClass& group, TimePoint now, Duration meanStartInterval) const
{
    if (group.arrivalsPerStart > heavyOverloadRatio)
        return std::nullopt;
    Candidates candidates;
    Duration longestTimeout {};
    TimePoint startsAt = now; // Start of the next request in the order of latest start times.
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const Entry& entry = m_entries[i];
        if (entry.request.priority > group.priority || entry.isExpired(now))
            continue;
        if (startsAt >= entry.latestStart + entry.tolerance)
            return std::nullopt;
        Duration slack = entry.latestStart - startsAt - meanStartInterval;
        if (slack <= entry.rescueMargin)
            candidates = { group.priority, std::min(candidates.last, i), candidates.lastUrgent };
        if (slack <= entry.tolerance)
            candidates.lastUrgent = std::min(candidates.lastUrgent, i);
        longestTimeout = std::max(longestTimeout, entry.request.timeout);
        startsAt = startsAt + meanStartInterval;
    }
    // During a constant overload, each late request that is released makes another one late, which has to be released
    // late as well. A burst that drains within the timeouts is shorter.
    bool isOverloaded = group.overloadedSince && group.arrivalsPerStart > overloadEntryRatio;
    if (isOverloaded && now - *group.overloadedSince > longestTimeout)
        return std::nullopt;
    return candidates;
}

void TransitQueue::recordArrival(std::uint8_t priority, TimePoint now)
{
    if (m_entries.empty()) {
        for (PriorityClass& each : m_classes)
            each.overloadedSince.reset();
    }
    auto group = std::lower_bound(m_classes.begin(), m_classes.end(), priority,
        [](const PriorityClass& a, std::uint8_t b) { return a.priority < b; });
    if (group == m_classes.end() || group->priority != priority)
        group = m_classes.insert(group, PriorityClass { priority, 0, now, 0, std::nullopt });
    group->ratePerUs = group->arrivalRate(now) + 1 / static_cast<double>(arrivalRateWindow.us);
    group->countedAt = now;
}

double TransitQueue::PriorityClass::arrivalRate(TimePoint now) const
{
    return ratePerUs * std::exp(static_cast<double>((countedAt - now).us) / static_cast<double>(arrivalRateWindow.us));
}

bool TransitQueue::canAllBeInTime(std::uint8_t priority, TimePoint now, Duration meanStartInterval) const
{
    Duration longest {};
    std::int64_t count = 0;
    for (const Entry& entry : m_entries) {
        if (entry.request.priority != priority || !entry.isInTime(now))
            continue;
        ++count;
        longest = std::max(longest, entry.inTimeUntil - now);
    }
    return meanStartInterval * count <= longest;
}

std::optional<WaitingRequest> TransitQueue::popExpired(TimePoint now)
{
    if (m_entries.empty() || !m_entries.front().isExpired(now))
        return std::nullopt;
    return take(0);
}

std::size_t TransitQueue::inTimeCount(std::uint8_t priority, TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
        [&](const Entry& entry) { return entry.request.priority <= priority && entry.isInTime(now); }));
}

void TransitQueue::remove(const FlowTuple& flow)
{
    std::erase_if(m_entries, [&](const Entry& entry) { return entry.request.flow == flow; });
}

WaitingRequest TransitQueue::take(std::size_t index)
{
    WaitingRequest request = m_entries[index].request;
    m_entries.erase(m_entries.begin() + static_cast<std::ptrdiff_t>(index));
    return request;
}

} // namespace hawthorncroft
