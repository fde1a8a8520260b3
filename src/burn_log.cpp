#include "burn_type.h"

#include <algorithm>
#include <bit>

namespace hawthorncroft {

namespace {

    constexpr std::uint64_t secondsPerMinute = 60;
    constexpr std::size_t maxEvents = 200;

}

std::uint64_t MinuteCounts::unavailableSeconds() const
{
    return static_cast<std::uint64_t>(std::popcount(secondsWithRequests & ~secondsWithAnswers));
}

void MinuteCounts::add(const MinuteCounts& other)
{
    requests += other.requests;
    inTime += other.inTime;
    flows += other.flows;
    broken += other.broken;
    // A second counts as available if any process answered a request that arrived in it.
    secondsWithRequests |= other.secondsWithRequests;
    secondsWithAnswers |= other.secondsWithAnswers;
}

BurnLog::BurnLog(std::uint64_t second, std::size_t capacity)
    : m_since(second)
    , m_capacity(std::max<std::size_t>(1, capacity))
{
}

MinuteCounts& BurnLog::at(ServiceId service, std::uint64_t second)
{
    // Requests that ended late must not recreate a discarded minute.
    second = std::max(second, m_since);
    std::uint64_t minute = second / secondsPerMinute;
    auto [entry, isNew] = m_minutes[minute].try_emplace(service);
    entry->second.minute = minute;
    m_entries += isNew;
    while (m_entries > m_capacity && m_minutes.begin()->first < minute) {
        m_entries -= m_minutes.begin()->second.size();
        m_since = (m_minutes.begin()->first + 1) * secondsPerMinute;
        m_minutes.erase(m_minutes.begin());
    }
    return entry->second;
}

void BurnLog::recordRequest(ServiceId service, std::uint64_t arrivedAt, bool answered, bool inTime)
{
    MinuteCounts& counts = at(service, arrivedAt);
    std::uint64_t second = 1ULL << (arrivedAt % secondsPerMinute);
    ++counts.requests;
    counts.secondsWithRequests |= second;
    if (answered)
        counts.secondsWithAnswers |= second;
    if (answered && inTime)
        ++counts.inTime;
}

void BurnLog::recordFlow(ServiceId service, std::uint64_t endedAt, bool broken)
{
    MinuteCounts& counts = at(service, endedAt);
    ++counts.flows;
    if (broken)
        ++counts.broken;
}

void BurnLog::recordEvent(BurnEvent event)
{
    if (m_events.size() == maxEvents)
        m_events.erase(m_events.begin());
    m_events.push_back(std::move(event));
}

BurnCounts BurnLog::counts(
    const std::string& process, std::uint64_t second, const std::vector<const ServiceConfig*>& services) const
{
    BurnCounts counts { .sources = { { process, m_since } },
        .from = m_since / secondsPerMinute,
        .until = second / secondsPerMinute + 1,
        .events = m_events };
    std::map<ServiceId, ServiceCounts> byService;
    for (const auto* service : services)
        byService[service->id] = { service->id.value, service->name, service->objectives, {} };
    for (const auto& [minute, ofMinute] : m_minutes) {
        for (const auto& [service, minuteCounts] : ofMinute) {
            auto known = byService.find(service);
            if (known != byService.end())
                known->second.minutes.push_back(minuteCounts);
        }
    }
    for (auto& [id, ofService] : byService) {
        if (!ofService.minutes.empty())
            counts.services.push_back(std::move(ofService));
    }
    return counts;
}

} // namespace hawthorncroft
