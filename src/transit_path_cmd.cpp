#include "transit_path_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

TransitPaths::TransitPaths(DomainId own)
    : m_own(own)
{
}

void TransitPaths::recordReceived(DomainId from, TimePoint now)
{
    // A process that received nothing at all was cut off itself, and cannot tell that a single path was silent.
    if (!m_receivedAt || now >= *m_receivedAt + pathSilence)
        m_resumedAt = now;
    m_receivedAt = now;
    if (!from || !m_own)
        return;
    if (Path* path = findOrAdd({ from, m_own }, now)) {
        path->heardAt = now;
        path->reportedAt = now;
        path->arrivedAt = now;
    }
}

void TransitPaths::setProcesses(std::map<DomainId, std::size_t> processes)
{
    m_processes = std::move(processes);
    m_processCount = 0;
    for (const auto& [domain, count] : m_processes)
        m_processCount += count;
}

void TransitPaths::onReports(DomainId sender, const std::vector<PathReport>& reports, TimePoint now)
{
    for (std::size_t i = 0; i < std::min(reports.size(), maxPathReports); ++i)
        merge(sender, reports[i], now);
}

void TransitPaths::merge(DomainId sender, const PathReport& report, TimePoint now)
{
    // Rounded up for the way here, so that a report does not seem newer each time it is forwarded.
    TimePoint reportedAt = now - milliseconds(report.reportAgeMs) - pathReportDelay;
    TimePoint heardAt = reportedAt - milliseconds(report.heardAgeMs);
    bool isUsable = report.from && report.to && report.from != report.to && reportedAt > now - pathReportLifetime;
    Path* path = isUsable ? findOrAdd({ report.from, report.to }, heardAt) : nullptr;
    if (!path)
        return;
    // The delay of a message varies. Small differences are not newer messages, or the times would grow with each
    // forwarding.
    if (heardAt > path->heardAt + pathReportTolerance)
        path->heardAt = heardAt;
    if (report.to == m_own) {
        // Processes of the own domain send what they know at this time. One alone hears only part of the messages.
        if (sender != m_own)
            return;
        reportedAt = now;
    } else if (reportedAt <= path->reportedAt + pathReportTolerance && path->reportedAt != TimePoint {}) {
        return;
    }
    path->reportedAt = reportedAt;
    path->arrivedAt = now;
}

std::vector<PathChange> TransitPaths::update(TimePoint now)
{
    std::vector<PathChange> changes;
    if (m_lastTickAt && now >= *m_lastTickAt + tickInterval + pathPause)
        m_resumedAt = now;
    m_lastTickAt = now;
    if (now < m_nextUpdateAt)
        return changes;
    m_nextUpdateAt = now + pathUpdateInterval;
    reportOwn(now);
    updateActivities();
    expire(now, changes);
    for (auto& [key, path] : m_paths) {
        if (!isUsable(path, now))
            continue;
        if (!hasChanged(key, path))
            continue;
        path.isBroken = !path.isBroken;
        path.silentUpdates = 0;
        path.healingSince.reset();
        path.isBroken ? ++m_brokenCount : --m_brokenCount;
        changes.push_back(changeOf(key, path, now));
    }
    return changes;
}

TransitPaths::Path* TransitPaths::findOrAdd(Key key, TimePoint heardAt)
{
    auto found = m_paths.find(key);
    if (found != m_paths.end())
        return &found->second;
    if (m_paths.size() >= maxPaths)
        return nullptr;
    Path path { .heardAt = heardAt, .usualSilence = pathSilence / sparseSilenceFactor };
    return &m_paths.emplace(key, path).first->second;
}

void TransitPaths::reportOwn(TimePoint now)
{
    auto processes = m_processes.find(m_own);
    bool isAlone = processes == m_processes.end() || processes->second <= 1;
    if (!isAlone)
        return; // The others of the domain report.
    for (auto& [key, path] : m_paths) {
        if (key.to != m_own)
            continue;
        // After a pause, what arrived during it may be lost. A path counts once it was heard, or silent for long
        // enough.
        bool isKnown = !m_resumedAt || path.heardAt >= *m_resumedAt || now >= *m_resumedAt + pathSilence;
        if (!isKnown)
            continue;
        path.reportedAt = now;
        path.arrivedAt = now;
    }
}

bool TransitPaths::hasChanged(const Key& key, Path& path) const
{
    if (path.isBroken)
        return hasHealed(path);
    if (isSilent(key, path))
        return ++path.silentUpdates >= pathConfirmations;
    path.silentUpdates = 0;
    path.usualSilence
        = path.usualSilence + (std::min(path.silence(), pathSilence) - path.usualSilence) / usualSilenceWeight;
    return false;
}

void TransitPaths::updateActivities()
{
    std::map<DomainId, Activity> newest;
    for (const auto& [key, path] : m_paths) {
        TimePoint& sentAt = newest[key.from].sentAt;
        sentAt = std::max(sentAt, path.heardAt);
        if (key.from == key.to)
            continue;
        TimePoint& receivedAt = newest[key.to].receivedAt;
        receivedAt = std::max(receivedAt, path.heardAt);
    }
    for (auto& [domain, current] : newest) {
        const Activity before = m_activities[domain];
        current.sendingSince = current.sentAt >= before.sentAt + pathSilence ? current.sentAt : before.sendingSince;
        current.receivingSince
            = current.receivedAt >= before.receivedAt + pathSilence ? current.receivedAt : before.receivingSince;
    }
    m_activities = std::move(newest);
}

void TransitPaths::expire(TimePoint now, std::vector<PathChange>& changes)
{
    for (auto entry = m_paths.begin(); entry != m_paths.end();) {
        const auto& [key, path] = *entry;
        // A domain that nobody receives messages from has been removed, or is down as a whole.
        bool isGone = now >= m_activities.at(key.from).sentAt + memberRetention;
        if (!isGone && now < path.reportedAt + pathReportLifetime) {
            ++entry;
            continue;
        }
        if (path.isBroken) {
            --m_brokenCount;
            PathChange change = changeOf(key, path, now);
            change.isBroken = false;
            changes.push_back(change);
        }
        entry = m_paths.erase(entry);
    }
}

bool TransitPaths::hasHealed(Path& path)
{
    if (path.silence() >= std::max(pathHealTime, path.usualSilence * usualSilenceFactor)) {
        path.healingSince.reset();
        return false;
    }
    if (!path.healingSince)
        path.healingSince = path.heardAt;
    return path.heardAt >= *path.healingSince + pathHealTime;
}

} // namespace hawthorncroft
