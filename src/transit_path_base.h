/**
 * @file transit_path_base.h
 * Detects between which failure domains messages are lost, from the times at which processes last received messages of
 * each domain. Pure: takes events with a time and does no I/O.
 */
#pragma once

#include "transit_path_type.h"

#include <map>
#include <optional>
#include <vector>

namespace hawthorncroft {

/** State of the paths between failure domains, as known to one process. */
class TransitPaths {
public:
    /** @param own Failure domain of this process; zero if unknown. */
    explicit TransitPaths(DomainId own);

    /** Records that a process of a failure domain sent a message to this one directly, not through a relay. */
    void recordReceived(DomainId from, TimePoint now);

    /** Sets the number of processes in each failure domain, from which the number of stamps on a path follows. */
    void setProcesses(std::map<DomainId, std::size_t> processes);

    /** Merges the reports of a message. @param sender Failure domain of its sender. */
    void onReports(DomainId sender, const std::vector<PathReport>& reports, TimePoint now);

    /**
     * Evaluates the paths every `pathUpdateInterval`. Called at each tick, so that a pause of the process shows.
     * @return The paths that broke or healed.
     */
    std::vector<PathChange> update(TimePoint now);

    /**
     * Lists reports for a message, those about paths without recent messages first.
     * @param limit Maximum number of reports.
     * @param rotation Random number that selects among the reports if there are more.
     */
    std::vector<PathReport> reports(std::size_t limit, std::uint64_t rotation, TimePoint now) const;

    /** @return Whether messages from one failure domain to another are lost while others arrive. */
    bool isBroken(DomainId from, DomainId to) const;

    /** @return Whether messages between the failure domain and that of this process are lost in at least one direction.
     */
    bool isBehindBrokenPath(DomainId domain) const { return isBroken(m_own, domain) || isBroken(domain, m_own); }

    /** @return Number of broken paths. */
    std::size_t brokenCount() const { return m_brokenCount; }

private:
    struct Key {
        DomainId from {};
        DomainId to {};

        auto operator<=>(const Key&) const = default;
    };

    /** What is known of messages from one failure domain to another. The times are merged from all reports. */
    struct Path {
        TimePoint heardAt; ///< When a process in `to` last received a message.
        TimePoint reportedAt; ///< Time of the newest report; for paths to the own domain, of another process there.
        TimePoint arrivedAt; ///< When that report arrived.
        Duration usualSilence; ///< Mean of the silence while the path is not broken.
        std::uint32_t silentUpdates {}; ///< Successive updates at which it looked broken.
        bool isBroken {};
        std::optional<TimePoint> healingSince; ///< Messages arrive again since then.

        Duration silence() const { return reportedAt - heardAt; }
    };

    /** Messages known of one failure domain. */
    struct Activity {
        TimePoint sentAt; ///< Newest message of the domain that was received anywhere.
        TimePoint receivedAt; ///< Newest message of another domain that was received there.
        TimePoint sendingSince; ///< First message after the last time without any.
        TimePoint receivingSince; ///< The same for messages received there.
    };

    Path* findOrAdd(Key key, TimePoint heardAt);
    void merge(DomainId sender, const PathReport& report, TimePoint now);
    void reportOwn(TimePoint now);
    bool hasChanged(const Key& key, Path& path) const;
    void updateActivities();
    void expire(TimePoint now, std::vector<PathChange>& changes);
    bool isSilent(const Key& key, const Path& path) const;
    bool isSparse(const Key& key) const;
    static bool hasHealed(Path& path);
    bool isUsable(const Path& path, TimePoint now) const;
    static PathChange changeOf(const Key& key, const Path& path, TimePoint now);

    DomainId m_own {};
    std::map<Key, Path> m_paths;
    std::map<DomainId, Activity> m_activities; ///< Of the domains in `m_paths`, as of the last update.
    std::map<DomainId, std::size_t> m_processes; ///< Number of processes in each domain.
    std::size_t m_processCount {}; ///< In all domains.
    std::size_t m_brokenCount {};
    std::optional<TimePoint> m_receivedAt; ///< When the last message of any process was received.
    std::optional<TimePoint> m_lastTickAt;
    std::optional<TimePoint> m_resumedAt; ///< Start, end of the last pause, or of a time without any message.
    TimePoint m_nextUpdateAt;
};

} // namespace hawthorncroft
