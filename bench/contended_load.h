/**
 * @file contended_load.h
 * Load of several kinds of requests that contest the slots of targets, on simulated time. Each target has a queue of
 * its own and independent arrivals. The random numbers depend on the seed only, so that all queues get the same load.
 */
#pragma once

#include "hindsight_bound.h"
#include "table/transit_limits.h"
#include "transit_queue_base.h"
#include "transit_service_time_base.h"

#include <algorithm>
#include <deque>
#include <queue>
#include <string>
#include <utility>

namespace hawthorncroft {

/** Kind of requests; each has a route of its own. */
struct LoadKind {
    std::uint8_t priority {};
    double share {}; ///< Offered load as a share of the capacity of all targets, without bursts.
    Duration service; ///< Mean of the log-normal service times.
    Duration objective;
    Duration timeout;
};

/** Time in which one kind has a multiple of its load. */
struct LoadBurst {
    std::size_t kind {};
    Duration from;
    Duration until;
    double factor { 1 };
};

struct ContendedLoad {
    std::string name;
    std::vector<LoadKind> kinds;
    std::vector<LoadBurst> bursts;
    Duration length { seconds(15) }; ///< Time in which requests are sent.
    double availableShare { 1 }; ///< Share of the targets that serve.
};

/** Results of one kind, over all targets. */
struct KindOutcome {
    std::size_t offered {};
    std::size_t answered {}; ///< Before the timeout.
    std::size_t inTime {}; ///< Within the objective.
    std::size_t rescued {}; ///< Released late before requests in time.

    double answeredShare() const { return static_cast<double>(answered) / static_cast<double>(offered); }
    double inTimeShare() const { return static_cast<double>(inTime) / static_cast<double>(offered); }
};

struct ContendedOutcome {
    std::vector<KindOutcome> kinds;
    double answeredBound {}; ///< Upper bound of the answered requests of all kinds, by hindsight.
    double inTimeBound {}; ///< Upper bound of the requests in time of all kinds, by hindsight.

    KindOutcome total() const;
    double worstAnsweredShare() const; ///< Of the kind with the lowest one.
    double worstInTimeShare() const; ///< Of the kind with the lowest one.
};

inline constexpr std::uint32_t contendedSlots = 5; ///< Slots of each target.
inline constexpr std::uint32_t contendedTargets = 8;
inline constexpr Duration contendedRoundTrip = milliseconds(8); ///< Network delays from and to the caller.

/** Request of a load, as its caller sends it. */
struct ContendedRequest {
    TimePoint sentAt;
    std::size_t kind {};
    Duration work;
};

/** @return Requests to one target, in order of time. */
std::vector<ContendedRequest> contendedArrivals(const ContendedLoad& load, std::uint64_t seed);

/** Adds the bounds of one target to an outcome. */
void addBounds(ContendedOutcome& outcome, const ContendedLoad& load, const std::vector<ContendedRequest>& arrivals);

/** One target and the queue of its agent. */
template <class Queue> class ContendedTarget {
public:
    ContendedTarget(const ContendedLoad& load, ContendedOutcome& outcome)
        : m_load(load)
        , m_outcome(outcome)
    {
    }

    void run(const std::vector<ContendedRequest>& arrivals)
    {
        for (const ContendedRequest& arrival : arrivals) {
            TimePoint arrivesAt = arrival.sentAt + contendedRoundTrip / 2;
            finishUntil(arrivesAt);
            arrive(arrival, arrivesAt);
        }
        finishUntil(arrivals.back().sentAt + seconds(60));
    }

private:
    using Finish = std::pair<TimePoint, std::uint32_t>; ///< Time and number of a request.

    static Endpoint routeOf(std::size_t kind) { return { 0x0a630001, static_cast<std::uint16_t>(443 + kind) }; }

    void arrive(const ContendedRequest& arrival, TimePoint now)
    {
        const LoadKind& kind = m_load.kinds[arrival.kind];
        ++m_outcome.kinds[arrival.kind].offered;
        auto number = static_cast<std::uint32_t>(m_requests.size());
        m_requests.push_back(arrival);
        WaitingRequest request { .flow = { { 0x64000000 + number, 40000 }, routeOf(arrival.kind) },
            .priority = kind.priority,
            .startedAt = arrival.sentAt,
            .latencyObjective = kind.objective,
            .timeout = kind.timeout,
            .serviceTime = m_times.expected(routeOf(arrival.kind)) };
        if (m_queue.empty() && m_delivered < contendedSlots + slotOversubscription) {
            deliver(number, now);
            return;
        }
        std::int64_t interval = m_times.mean().us ? m_times.mean().us : initialServiceTime.us;
        auto capacity = static_cast<std::size_t>(kind.timeout.us * contendedSlots / interval);
        m_queue.push(request, std::clamp(capacity, minQueueCapacity, maxQueueCapacity), now, startInterval());
        release(now);
    }

    Duration startInterval() const { return m_times.mean() / contendedSlots; }

    void release(TimePoint now)
    {
        while (m_queue.popExpired(now)) { }
        while (!m_queue.empty() && m_delivered < contendedSlots + slotOversubscription) {
            auto request = m_queue.pop(now, startInterval());
            std::uint32_t number = request->flow.caller.address - 0x64000000;
            m_outcome.kinds[m_requests[number].kind].rescued += request->isRescued;
            deliver(number, now);
        }
    }

    void deliver(std::uint32_t number, TimePoint now)
    {
        ++m_delivered;
        m_deliveredAt.resize(std::max<std::size_t>(m_deliveredAt.size(), number + 1));
        m_deliveredAt[number] = now;
        m_atTarget.push_back(number);
        startNext(now);
    }

    void startNext(TimePoint now)
    {
        if (m_atTarget.empty() || m_running.size() >= contendedSlots)
            return;
        std::uint32_t number = m_atTarget.front();
        m_atTarget.pop_front();
        m_running.emplace(now + m_requests[number].work, number);
    }

    void finishUntil(TimePoint until)
    {
        while (!m_running.empty() && m_running.top().first <= until) {
            auto [now, number] = m_running.top();
            m_running.pop();
            --m_delivered;
            const ContendedRequest& request = m_requests[number];
            const LoadKind& kind = m_load.kinds[request.kind];
            m_times.addSample(routeOf(request.kind), now - m_deliveredAt[number]);
            Duration latency = now + contendedRoundTrip / 2 - request.sentAt;
            m_outcome.kinds[request.kind].answered += latency <= kind.timeout;
            m_outcome.kinds[request.kind].inTime += latency <= kind.objective;
            startNext(now);
            release(now);
        }
    }

    const ContendedLoad& m_load;
    ContendedOutcome& m_outcome;
    Queue m_queue;
    ServiceTimes m_times;
    std::vector<ContendedRequest> m_requests;
    std::vector<TimePoint> m_deliveredAt; ///< By number of the request.
    std::deque<std::uint32_t> m_atTarget; ///< Delivered requests that wait for a slot of the target.
    std::priority_queue<Finish, std::vector<Finish>, std::greater<>> m_running;
    std::uint32_t m_delivered {}; ///< Requests at the target.
};

/** Runs a load against targets whose agents have queues of one type. */
template <class Queue> ContendedOutcome runContended(const ContendedLoad& load, std::uint64_t seed)
{
    ContendedOutcome outcome;
    outcome.kinds.resize(load.kinds.size());
    for (std::uint32_t target = 0; target < contendedTargets; ++target) {
        auto arrivals = contendedArrivals(load, seed * contendedTargets + target);
        addBounds(outcome, load, arrivals);
        ContendedTarget<Queue>(load, outcome).run(arrivals);
    }
    return outcome;
}

/** @return Loads that are compared: bursts of two kinds, and constant overload. */
std::vector<ContendedLoad> contendedLoads();

} // namespace hawthorncroft
