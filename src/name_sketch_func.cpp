#include "config_func.h"
#include "name_sketch_type.h"
#include "table/limits.h"

#include <algorithm>

namespace hawthorncroft {

NameSketch::NameSketch(std::size_t capacity)
    : m_capacity(std::max<std::size_t>(1, capacity))
{
}

void NameSketch::add(std::string_view name, std::uint64_t second)
{
    name = name.substr(0, maxNameBytes);
    ++m_total;
    auto entry = m_entries.find(std::string(name));
    if (entry == m_entries.end()) {
        CountedName newEntry = m_entries.size() < m_capacity ? CountedName { std::string(name) } : replaceLowest(name);
        entry = m_entries.emplace(std::string(name), std::move(newEntry)).first;
    } else {
        m_byCount.erase({ entry->second.count, entry->first });
    }
    ++entry->second.count;
    entry->second.lastSecond = second;
    m_byCount.emplace(entry->second.count, entry->first);
}

CountedName NameSketch::replaceLowest(std::string_view name)
{
    auto [count, lowest] = *m_byCount.begin();
    m_byCount.erase(m_byCount.begin());
    m_entries.erase(std::string(lowest));
    return { .name = std::string(name), .count = count, .error = count };
}

void NameSketch::remove(std::string_view name)
{
    auto entry = m_entries.find(std::string(name));
    if (entry == m_entries.end())
        return;
    m_byCount.erase({ entry->second.count, entry->first });
    m_entries.erase(entry);
}

std::vector<CountedName> NameSketch::top(std::size_t count) const
{
    std::vector<CountedName> names;
    for (auto entry = m_byCount.rbegin(); entry != m_byCount.rend(); ++entry) {
        // All names that tie for the last place are collected before sorting, so that the result is deterministic.
        if (names.size() >= count && entry->first < names.back().count)
            break;
        names.push_back(m_entries.at(std::string(entry->second)));
    }
    std::sort(names.begin(), names.end(), [](const CountedName& a, const CountedName& b) {
        return a.count != b.count ? a.count > b.count : a.name < b.name;
    });
    names.resize(std::min(names.size(), count));
    return names;
}

std::vector<SimilarName> closestNames(std::string_view name, const std::unordered_map<std::string, ServiceId>& known,
    std::size_t maxDistance, std::size_t count)
{
    std::vector<SimilarName> similar;
    for (const auto& [knownName, service] : known) {
        std::size_t distance = editDistance(name, knownName, maxDistance + 1);
        if (distance <= maxDistance)
            similar.push_back({ knownName, service, distance });
    }
    std::sort(similar.begin(), similar.end(), [](const SimilarName& a, const SimilarName& b) {
        return a.distance != b.distance ? a.distance < b.distance : a.name < b.name;
    });
    similar.resize(std::min(similar.size(), count));
    return similar;
}

} // namespace hawthorncroft
