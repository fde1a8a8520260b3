#include "transit_path_base.h"

#include "table/transit_limits.h"
#include "transit_view_type.h"

#include <algorithm>

namespace hawthorncroft {

DomainId domainIdOf(const std::string& name)
{
    if (name.empty())
        return 0;
    return std::max<DomainId>(static_cast<DomainId>(hashOfKey(name)), 1);
}

bool TransitPaths::isBroken(DomainId from, DomainId to) const
{
    if (!m_brokenCount)
        return false; // The usual case.
    auto found = m_paths.find({ from, to });
    return found != m_paths.end() && found->second.isBroken;
}

std::vector<PathReport> TransitPaths::reports(std::size_t limit, std::uint64_t rotation, TimePoint now) const
{
    std::vector<PathReport> silent;
    std::vector<PathReport> others;
    for (const auto& [key, path] : m_paths) {
        bool isOwn = key.from == key.to;
        // Without a report since the pause, a silence may be that of this process.
        bool isWithheld = key.to == m_own && m_resumedAt && path.reportedAt < *m_resumedAt;
        if (isOwn || isWithheld || now >= path.reportedAt + pathReportLifetime)
            continue;
        auto millisecondsOf = [](Duration time) {
            return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.us / 1000, 0, maxPathAge.us / 1000));
        };
        bool isUnusual = path.isBroken || path.silence() >= pathSilence / 2;
        (isUnusual ? silent : others)
            .push_back({ key.from, key.to, millisecondsOf(path.silence()), millisecondsOf(now - path.reportedAt) });
    }
    for (auto* list : { &silent, &others }) {
        if (!list->empty())
            std::rotate(
                list->begin(), list->begin() + static_cast<std::ptrdiff_t>(rotation % list->size()), list->end());
    }
    silent.insert(silent.end(), others.begin(), others.end());
    silent.resize(std::min(silent.size(), limit));
    return silent;
}

bool TransitPaths::isSilent(const Key& key, const Path& path) const
{
    if (key.from == key.to || path.usualSilence > maxUsualSilence)
        return false;
    // Neither all processes of the sender's domain nor all of the receiver's are down or cut off, and none of the two
    // domains has only just returned.
    const Activity& sender = m_activities.at(key.from);
    const Activity& receiver = m_activities.at(key.to);
    TimePoint activeAt = path.heardAt + pathActivityLead;
    if (sender.sentAt < activeAt || receiver.receivedAt < activeAt)
        return false;
    TimePoint since = std::max({ path.heardAt, sender.sendingSince, receiver.receivingSince });
    std::int64_t factor = isSparse(key) ? sparseSilenceFactor : usualSilenceFactor;
    return path.reportedAt - since >= std::max(pathSilence, path.usualSilence * factor);
}

bool TransitPaths::isSparse(const Key& key) const
{
    auto from = m_processes.find(key.from);
    auto to = m_processes.find(key.to);
    if (from == m_processes.end() || to == m_processes.end())
        return true;
    std::size_t stamps = from->second * to->second;
    if (m_processCount > maxFullFanout)
        stamps = stamps * remoteDomainFanout / std::max<std::size_t>(m_processCount - from->second, 1);
    return stamps < minRoundStamps;
}

bool TransitPaths::isUsable(const Path& path, TimePoint now) const
{
    bool isAfterPause = !m_resumedAt || path.arrivedAt > *m_resumedAt;
    return isAfterPause && now <= path.reportedAt + pathReportMaxAge;
}

PathChange TransitPaths::changeOf(const Key& key, const Path& path, TimePoint now)
{
    return { key.from, key.to, path.isBroken, path.silence(), now - path.reportedAt };
}

} // namespace hawthorncroft
