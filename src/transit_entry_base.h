/**
 * @file transit_entry_base.h
 * Decides whether a balancer reports ready, so that none of its failure domain is overloaded while another has spare
 * capacity (docs/design/entry-capacity.md). Routers give all balancers in rotation an equal share of the flows. Every
 * balancer decides for itself, from reports that all of them send; the order among them is the same everywhere. Pure.
 */
#pragma once

#include "transit_entry_type.h"

#include <array>
#include <deque>
#include <map>

namespace hawthorncroft {

/** Measures the traffic of a balancer over the last second. */
class EntryLoadMeter {
public:
    /** Counts a packet that the routers forwarded. @param bytes Size on the link. */
    void recordReceived(std::size_t bytes, TimePoint now);

    /** Counts a message that carries callers' packets. @param bytes Size on the link. */
    void recordSent(std::size_t bytes, TimePoint now);

    /** @return Load over the last second, in the direction that carries more. */
    EntryLoad load(TimePoint now) const;

private:
    struct Bucket {
        std::int64_t index { -1 }; ///< Number of the interval that the bucket covers.
        std::int64_t receivedBytes {};
        std::int64_t receivedPackets {};
        std::int64_t sentBytes {};
        std::int64_t sentPackets {};
    };

    Bucket& bucketAt(TimePoint now);

    std::array<Bucket, 11> m_buckets; ///< Ten complete intervals of 100 ms and the current one.
};

/** Settings of the decision. */
struct EntryOptions {
    Endpoint self;
    std::int64_t linkBytesPerSecond {};
    std::uint32_t processorMillis {}; ///< Thousandths of a core.
    bool isFlowHashStable { true }; ///< A change of rotation remaps only the flows of the balancer that changes.
    bool isEnabled { true }; ///< Otherwise the balancer is always in rotation, and only reports.
    Duration grace; ///< Time from the termination signal until the process is killed.
};

/** Whether one balancer is in rotation. */
class EntryRotation {
public:
    explicit EntryRotation(EntryOptions options);

    EntryLoadMeter& meter() { return m_meter; }

    /**
     * Takes over the reports and decides.
     * @param others The other balancers of the failure domain.
     * @param hasView Whether the process can serve; without a view it is not ready whatever the decision.
     * @return The change of rotation, if there is one.
     */
    std::optional<EntryChange> update(const EntryBalancers& others, bool hasView, TimePoint now);

    /** Begins a graceful shutdown. */
    void stop(TimePoint now);

    /** @return Whether a balancer that shuts down may leave rotation, by the reports of the last update. */
    bool mayStop(TimePoint now) const;

    /** @return Whether the balancer is in rotation. */
    bool isReady() const { return m_isReady; }

    /**
     * @return Whether all balancers of the failure domain have told their capacity, and none has less than half of
     * another's. Then all of them are ready, as an even share of the load suits everyone.
     */
    bool isEven() const { return m_isEven; }

    /** @return Whether the first decision after the start has been taken. */
    bool hasStarted() const { return m_hasStarted; }

    /** @return The report for the other balancers. */
    EntryReport report(TimePoint now) const;

    /** @return Bytes per second that each balancer in rotation carries, by the last update. */
    std::int64_t shareBytes() const;

    /** @return Capacity of this balancer in bytes per second. */
    std::int64_t capacityBytes() const;

    /** @return Capacity by link and processor in bytes per second. */
    static double capacityOf(const EntryReport& report);

private:
    /** Balancer with a fresh report, or this one. */
    struct Candidate {
        Endpoint endpoint;
        EntryReport report;
        bool isReady {};
    };

    /** Bounds of the utilisation for one direction of change. */
    struct Limits {
        double highest {}; ///< Utilisation up to which a number of balancers is enough.
        /** If no number is enough: a smaller one counts only when it lowers the highest utilisation below this part. */
        double gain {};
    };

    static const Limits leaveLimits;
    static const Limits returnLimits;

    // Commands, in transit_entry_cmd.cpp.
    void observe(const EntryBalancers& others, bool hasView, TimePoint now);
    void updateReadyTimes(const EntryBalancers& others, TimePoint now);
    void estimateLoad(TimePoint now);
    std::optional<EntryReason> decide(const EntryBalancers& others, TimePoint now);
    std::optional<EntryReason> decideStart(const EntryBalancers& others, TimePoint now);
    std::optional<EntryReason> decideLeave(TimePoint now) const;
    std::optional<EntryReason> decideReturn(TimePoint now);

    // Queries, in transit_entry_query.cpp.
    bool areAllEven(const EntryBalancers& others, TimePoint now) const;
    std::size_t half() const { return (m_known + 1) / 2; }
    std::size_t wantedCount(
        const std::vector<const Candidate*>& order, const EntryLoad& load, const Limits& limits) const;
    std::vector<const Candidate*> candidates(bool isReadyOnly) const;
    std::size_t readyPeers() const;
    std::size_t waitingBefore() const;
    bool isNeeded() const;
    bool isSlow() const;
    bool isSelf(const Candidate& candidate) const { return candidate.endpoint == m_options.self; }
    EntryLoad peak() const;
    Duration settleTime() const;
    Duration returnWait() const;
    EntryChange changeFor(EntryReason reason) const;

    EntryOptions m_options;
    EntryLoadMeter m_meter;
    std::vector<Candidate> m_order; ///< By capacity, highest first, then by endpoint.
    std::map<Endpoint, TimePoint> m_readySince; ///< Ready peers, with the time since when they are.
    std::size_t m_known { 1 }; ///< Balancers of the failure domain, with this one.
    Duration m_oldestReport; ///< Age of the oldest fresh report.
    std::optional<EntryLoad> m_load; ///< Load of the failure domain; none while no balancer is ready.
    std::deque<std::pair<std::int64_t, EntryLoad>> m_peaks; ///< Highest loads, by second.
    std::optional<TimePoint> m_loadSince; ///< Since when the load is known.
    std::size_t m_receivers {}; ///< Balancers that the routers use; see estimateLoad.
    TimePoint m_receiversRaisedAt; ///< Since when more balancers than `m_receivers` are ready.
    std::optional<TimePoint> m_startedAt;
    std::optional<TimePoint> m_lastUpdateAt;
    std::optional<TimePoint> m_stoppedAt;
    TimePoint m_heldUntil; ///< After a pause of the process: no decision until then.
    TimePoint m_changedAt; ///< When the set of ready balancers last changed.
    TimePoint m_leftAt;
    std::optional<TimePoint> m_fitsSince; ///< Out of rotation: since when the load would fit.
    std::optional<TimePoint> m_shortSince; ///< Out of rotation: since when fewer than half are ready.
    bool m_hasStarted {};
    bool m_isEven {};
    bool m_isReady {};
    bool m_isFirstWait {}; ///< Out of rotation since the start of the process.
};

} // namespace hawthorncroft
