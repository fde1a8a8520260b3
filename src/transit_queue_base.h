/**
 * @file transit_queue_base.h
 * Queue of requests at the agent while all slots of the target are busy. The target's own queue is first in, first out,
 * which fails in three cases. After an outage, requests that are already late arrive together with new ones: here
 * requests that can still meet their latency objective are released first, and late ones follow by priority and then by
 * earliest timeout. Under overload not all requests can meet their objective: the newest are released first, since in
 * arrival order every request would be answered just too late. Among requests in time, the higher priority is released
 * first. After a burst, late requests would wait behind those in time until they expire, although the target could
 * answer all: a late request whose latest start time is reached is released before requests in time.
 */
#pragma once

#include "transit_type.h"

#include <limits>
#include <optional>
#include <vector>

namespace hawthorncroft {

/** A request in the queue. */
struct WaitingRequest {
    FlowTuple flow;
    std::uint8_t priority {}; ///< Zero is the highest.
    TimePoint startedAt; ///< Estimated time at which the caller sent it.
    Duration latencyObjective {};
    Duration timeout {}; ///< Time after which the caller gives up; zero when unknown.
    Duration serviceTime {}; ///< Expected time from delivery to the target until the answer.
    bool isRescued {}; ///< Set by TransitQueue::pop: late, and released before requests in time that wait.
};

/** Which requests are released first while not all of them can be answered in time. */
enum class ReleaseOrder : std::uint8_t {
    InTimeFirst, ///< A late request waits for those in time, even if it then misses its timeout.
    WithinTimeouts, ///< A late request is released before it misses its timeout, if the backlog can be answered.
};

/** Queue of requests, at most one for each flow. Pure. */
class TransitQueue {
public:
    TransitQueue() = default;
    explicit TransitQueue(ReleaseOrder order)
        : m_order(order)
    {
    }

    /**
     * Adds a request. When the queue is full, one request of the lowest priority is evicted: one that cannot be
     * answered before its timeout, otherwise a late one, otherwise one in time; among equals the one that has the least
     * time left.
     * @param capacity Maximum number of requests in the queue, at least one.
     * @param meanStartInterval As for pop().
     * @return The evicted request, which can be the new one; none when the queue was not full.
     */
    std::optional<WaitingRequest> push(
        const WaitingRequest& request, std::size_t capacity, TimePoint now, Duration meanStartInterval = {});

    /**
     * Removes the request to release next. Takes time linear in the number of requests for each priority that waits.
     * @param now Current time.
     * @param meanStartInterval Expected time between two requests that the target starts; zero when unknown.
     * @return The request; none when the queue is empty.
     */
    std::optional<WaitingRequest> pop(TimePoint now, Duration meanStartInterval);

    /** Removes a request whose timeout has passed. @return The request; none when there is no such request. */
    std::optional<WaitingRequest> popExpired(TimePoint now);

    /**
     * @return Time from which on the request expires, since its answer would come after its caller has given up; the
     * last possible time when the timeout is unknown.
     */
    static TimePoint latestStartOf(const WaitingRequest& request);

    /** @return Requests of this or a higher priority that can still be answered in time. */
    std::size_t inTimeCount(std::uint8_t priority, TimePoint now) const;

    /** Removes the request of a flow. */
    void remove(const FlowTuple& flow);

    std::size_t size() const { return m_entries.size(); }
    bool empty() const { return m_entries.empty(); }

private:
    /** Requests that may be released next without another one missing its timeout. */
    struct Candidates {
        std::uint8_t priority { std::numeric_limits<std::uint8_t>::max() }; ///< Lowest priority.
        std::size_t last { std::numeric_limits<std::size_t>::max() }; ///< Index of the last one.
        std::size_t lastUrgent { std::numeric_limits<std::size_t>::max() }; ///< The same for those of a higher priority
                                                                            ///< that are in time.

        bool contains(std::uint8_t requestPriority, std::size_t index, bool isInTime) const
        {
            if (isInTime && requestPriority < priority)
                return index <= lastUrgent;
            return index <= last && requestPriority <= priority;
        }
    };

    /** A request with the times that its order depends on. */
    struct Entry {
        explicit Entry(const WaitingRequest& waiting);
        bool isInTime(TimePoint now) const { return now < inTimeUntil; }
        bool isExpired(TimePoint now) const { return now >= latestStart; }

        TimePoint latestStart; ///< By latestStartOf().
        TimePoint inTimeUntil; ///< From this time on the answer misses the latency objective.
        Duration tolerance; ///< Error of the estimates: a service time.
        Duration rescueMargin; ///< Time before latestStart from which a late request is released before others.
        WaitingRequest request;
    };

    /** Requests of one priority. */
    struct PriorityClass {
        std::uint8_t priority {};
        double ratePerUs {}; ///< Requests added per microsecond, as of countedAt.
        TimePoint countedAt;
        double arrivalsPerStart {}; ///< Requests of this and higher priorities that are added for each start.
        std::optional<TimePoint> overloadedSince; ///< Since when these are more than one.

        double arrivalRate(TimePoint now) const;
    };

    static Duration toleranceOf(const WaitingRequest& request);
    static bool isScheduledBefore(const Entry& a, const Entry& b, TimePoint now);
    void recordArrival(std::uint8_t priority, TimePoint now);
    Candidates releaseCandidates(TimePoint now, Duration meanStartInterval);

    /**
     * @return Requests of this and higher priorities up to the first one whose latest start time is reached: one behind
     * it would be released in its place. No value when these requests cannot all be answered before their timeouts.
     */
    std::optional<Candidates> lastCandidates(
        const PriorityClass& group, TimePoint now, Duration meanStartInterval) const;
    bool canAllBeInTime(std::uint8_t priority, TimePoint now, Duration meanStartInterval) const;
    std::size_t evictionIndex(TimePoint now, Duration meanStartInterval) const;
    WaitingRequest take(std::size_t index);

    ReleaseOrder m_order { ReleaseOrder::WithinTimeouts };
    std::vector<Entry> m_entries; ///< In the order of their latest start times; at most some hundred.
    std::vector<PriorityClass> m_classes; ///< From the highest priority; a service has a few.
    double m_startInterval {}; ///< Smoothed time between two starts, in microseconds.
};

} // namespace hawthorncroft
