/**
 * @file transit_policy_bench.cpp
 * Compares placement of flows and order of queued requests with baseline policies on simulated time. Three balancers
 * send requests with log-normal service times to seven targets, and load reports are sent at the intervals of the
 * product. The random numbers of all runs have the same seed. A second table compares the orders of queued requests on
 * bursts of two kinds, a third one the choice of an agent after a decline, and a fourth one gives the time that a
 * release takes.
 */
#include "contended_load.h"
#include "declined_openings.h"
#include "former_queue.h"
#include "hindsight_bound.h"
#include "table/transit_limits.h"
#include "transit_placement_base.h"
#include "transit_queue_base.h"
#include "transit_service_time_base.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>
#include <limits>
#include <queue>
#include <random>

using namespace hawthorncroft;

namespace {

constexpr std::uint32_t targetCount = 7;
constexpr std::uint32_t balancerCount = 3;
constexpr std::uint32_t slots = 4;
constexpr Duration meanService = milliseconds(22);
constexpr double serviceSpread = 0.5;
constexpr Duration objective = milliseconds(120);
constexpr Duration timeBudget = seconds(2);
constexpr std::size_t queueCapacity = slots * timeBudget.us / meanService.us;
constexpr Duration messageDelay = milliseconds(1); ///< Network delay between processes.
constexpr Duration callerRoundTripDelay
    = milliseconds(7); ///< Network delays from and to the caller, in addition to messageDelay.
constexpr Duration warmup = seconds(1); ///< Time before the measurement starts.
constexpr Duration measuredTime = seconds(20);
constexpr std::uint32_t firstTarget = 0x0a000100;
constexpr Endpoint routeAddress { 0x0a630001, 443 };
const char* const domains[balancerCount] = { "a", "b", "c" };

/** Offered load of a run. */
struct Load {
    const char* name;
    double share; ///< Offered load as a share of the capacity of all targets.
    double slowFactor { 1 }; ///< Factor on the service times of the first target.
};

/** Results of one run. */
struct Outcome {
    double inTime {}; ///< Share of requests answered within the objective.
    double answered {}; ///< Share of requests answered within the time budget.
    double imbalance {}; ///< Requests of the busiest target divided by the mean.
    double p99Ms {}; ///< 99th percentile latency of the answered requests, in milliseconds.
    double boundShare {}; ///< Requests in time divided by the bound by hindsight.
};

/** Order of waiting requests. */
enum class Order { Arrival, Former, Product };

struct Target {
    std::uint32_t running {};
    std::uint32_t assigned {};
    TransitQueue queue;
    FormerQueue formerQueue; ///< Used instead of queue for the former order.
    std::vector<WaitingRequest> fifoQueue; ///< Used instead of queue for the order of arrival.
    ServiceTimes times;
};

struct Simulation;

/** Chooses the target of a flow at a balancer. @return Index of the target. */
using PlacementPolicy = std::uint32_t (Simulation::*)(std::uint32_t balancer, const FlowTuple& flow);

struct Simulation {
    const Load& load;
    PlacementPolicy policy;
    Order order;
    std::mt19937_64 random { 7 };
    TransitView view;
    std::vector<TransitPlacement> placements;
    std::vector<std::vector<std::uint32_t>> estimatedBusy; ///< Sent or reported requests by balancer and target.
    std::vector<Target> targets { targetCount };
    std::uint32_t nextTarget {};
    using Event = std::pair<TimePoint, std::function<void()>>;
    struct Later {
        bool operator()(const Event& a, const Event& b) const { return a.first > b.first; }
    };
    std::priority_queue<Event, std::vector<Event>, Later> events;
    TimePoint now { seconds(100).us };
    TimePoint measureFrom;
    std::vector<Duration> latencies;
    std::vector<OfferedRequest> offeredRequests; ///< Of the measured time.
    std::vector<std::uint32_t> assignedRequests;
    std::size_t offered {};
    std::size_t inTime {};

    Simulation(const Load& offeredLoad, PlacementPolicy placementPolicy, Order queueOrder)
        : load(offeredLoad)
        , policy(placementPolicy)
        , order(queueOrder)
        , estimatedBusy(balancerCount, std::vector<std::uint32_t>(targetCount))
        , assignedRequests(targetCount)
    {
        measureFrom = now + warmup;
        std::vector<StoreChange> changes;
        for (std::uint32_t i = 0; i < targetCount; ++i) {
            changes.emplace_back(TargetChange { Revision(1),
                { .id = "t" + std::to_string(i),
                    .service = "web",
                    .address = { firstTarget + i, 8000 },
                    .failureDomain = domains[i % balancerCount],
                    .slots = slots,
                    .startedAt = 1 } });
        }
        view.applySnapshot(changes, StorePosition(1), now - seconds(60), now);
        for (std::uint32_t i = 0; i < balancerCount; ++i)
            placements.emplace_back(domains[i]);
    }

    void at(TimePoint time, std::function<void()> action) { events.emplace(time, std::move(action)); }

    std::uint32_t roundRobin(std::uint32_t, const FlowTuple&) { return nextTarget++ % targetCount; }

    std::uint32_t byRank(std::uint32_t, const FlowTuple& flow)
    {
        return static_cast<std::uint32_t>(mix64(hashOf(flow)) % targetCount);
    }

    std::uint32_t fewestSent(std::uint32_t balancer, const FlowTuple&)
    {
        std::vector<std::uint32_t>& sent = estimatedBusy[balancer];
        auto least = static_cast<std::uint32_t>(std::min_element(sent.begin(), sent.end()) - sent.begin());
        ++sent[least];
        return least;
    }

    std::uint32_t twoChoices(std::uint32_t balancer, const FlowTuple&)
    {
        auto a = static_cast<std::uint32_t>(random() % targetCount);
        auto b = static_cast<std::uint32_t>(random() % targetCount);
        return estimatedBusy[balancer][a] <= estimatedBusy[balancer][b] ? a : b;
    }

    std::uint32_t byLoad(std::uint32_t balancer, const FlowTuple& flow)
    {
        const TargetEntry* target = placements[balancer].choose(view, "web", flow, {}, now);
        placements[balancer].recordSent(target->record.address.address);
        return target->record.address.address - firstTarget;
    }

    std::uint32_t busyOf(const Target& target) const
    {
        return target.running
            + static_cast<std::uint32_t>(target.queue.size() + target.formerQueue.size() + target.fifoQueue.size());
    }

    void report(std::uint32_t balancer, std::uint32_t index)
    {
        LoadReport report { .busy = busyOf(targets[index]), .slots = slots, .flows = 0 };
        at(now + messageDelay, [this, balancer, index, report] {
            placements[balancer].recordLoad(firstTarget + index, report);
            if (policy == &Simulation::twoChoices)
                estimatedBusy[balancer][index] = report.busy;
        });
    }

    void reportAll()
    {
        for (std::uint32_t balancer = 0; balancer < balancerCount; ++balancer) {
            for (std::uint32_t index = 0; index < targetCount; ++index)
                report(balancer, index);
        }
        at(now + loadReportInterval, [this] { reportAll(); });
    }

    void arrive(std::uint32_t number)
    {
        double perSecond = load.share * targetCount * slots * seconds(1).us / meanService.us;
        std::exponential_distribution<double> gap(perSecond);
        if (now < measureFrom + measuredTime)
            at(now + Duration { static_cast<std::int64_t>(gap(random) * seconds(1).us) },
                [this, number] { arrive(number + 1); });
        FlowTuple flow { { 0x64000000 + number, 40000 }, routeAddress };
        auto balancer = static_cast<std::uint32_t>(random() % balancerCount);
        std::uint32_t index = (this->*policy)(balancer, flow);
        if (now >= measureFrom) {
            offeredRequests.push_back({ .arrivesAt = now + messageDelay,
                .work = workOf(flow),
                .objective = objective - messageDelay - messageDelay - callerRoundTripDelay });
            ++offered;
            ++assignedRequests[index];
        }
        at(now + messageDelay, [this, balancer, index, flow, sentAt = now] {
            receive(index, flow, sentAt);
            report(balancer, index);
        });
    }

    void receive(std::uint32_t index, const FlowTuple& flow, TimePoint sentAt)
    {
        Target& target = targets[index];
        WaitingRequest request { .flow = flow,
            .startedAt = sentAt,
            .latencyObjective = objective,
            .timeout = timeBudget,
            .serviceTime = target.times.expected(routeAddress) };
        if (target.running < slots)
            start(index, request);
        else if (order == Order::Product)
            target.queue.push(request, queueCapacity, now, target.times.mean() / slots);
        else if (order == Order::Former)
            target.formerQueue.push(request, queueCapacity, now);
        else
            target.fifoQueue.push_back(request);
    }

    /** @return Service time of a flow's request; the same for all policies. */
    static Duration workOf(const FlowTuple& flow)
    {
        std::mt19937_64 ofFlow(hashOf(flow));
        std::lognormal_distribution<double> service(
            std::log(meanService.us) - serviceSpread * serviceSpread / 2, serviceSpread);
        return { static_cast<std::int64_t>(service(ofFlow)) };
    }

    void start(std::uint32_t index, const WaitingRequest& request)
    {
        ++targets[index].running;
        Duration work = workOf(request.flow);
        if (index == 0)
            work = { static_cast<std::int64_t>(static_cast<double>(work.us) * load.slowFactor) };
        at(now + work, [this, index, request, work] {
            Target& target = targets[index];
            --target.running;
            target.times.addSample(routeAddress, work);
            if (request.startedAt >= measureFrom) {
                Duration latency = now + messageDelay + callerRoundTripDelay - request.startedAt;
                latencies.push_back(latency);
                inTime += latency <= objective;
            }
            startNext(index);
        });
    }

    void startNext(std::uint32_t index)
    {
        Target& target = targets[index];
        while (target.queue.popExpired(now)) { }
        while (target.formerQueue.popExpired(now)) { }
        std::erase_if(
            target.fifoQueue, [&](const WaitingRequest& waiting) { return now >= waiting.startedAt + timeBudget; });
        if (!target.fifoQueue.empty()) {
            WaitingRequest request = target.fifoQueue.front();
            target.fifoQueue.erase(target.fifoQueue.begin());
            start(index, request);
        } else if (auto request = target.queue.pop(now, target.times.mean() / slots)) {
            start(index, *request);
        } else if (auto former = target.formerQueue.pop(now, target.times.mean() / slots)) {
            start(index, *former);
        }
    }

    Outcome run()
    {
        arrive(0);
        reportAll();
        TimePoint end = measureFrom + measuredTime + timeBudget;
        while (events.top().first < end) {
            Event event = events.top();
            events.pop();
            now = event.first;
            event.second();
        }
        std::sort(latencies.begin(), latencies.end());
        std::uint32_t total = 0;
        for (std::uint32_t count : assignedRequests)
            total += count;
        auto offeredLoad = static_cast<double>(offered);
        return { .inTime = static_cast<double>(inTime) / offeredLoad,
            .answered = static_cast<double>(latencies.size()) / offeredLoad,
            .imbalance = static_cast<double>(*std::max_element(assignedRequests.begin(), assignedRequests.end()))
                * targetCount / total,
            .p99Ms = static_cast<double>(latencies[latencies.size() * 99 / 100].us) / 1000,
            .boundShare = static_cast<double>(inTime) / hindsightBound(offeredRequests, targetCount * slots) };
    }
};

void print(const char* load, const char* variant, const Outcome& outcome)
{
    std::printf("%-34s %-26s %8.3f %9.3f %10.3f %8.1f %9.3f\n", load, variant, outcome.inTime, outcome.answered,
        outcome.imbalance, outcome.p99Ms, outcome.boundShare);
}

void print(const ContendedLoad& load, const char* variant, const ContendedOutcome& outcome)
{
    KindOutcome total = outcome.total();
    std::printf("%-38s %-18s %8.4f %8.4f %8.4f %8.4f %8.4f %8.4f %8zu\n", load.name.c_str(), variant,
        total.answeredShare(), total.inTimeShare(), outcome.worstAnsweredShare(), outcome.worstInTimeShare(),
        static_cast<double>(total.answered) / outcome.answeredBound,
        static_cast<double>(total.inTime) / outcome.inTimeBound, total.rescued);
}

/** Two kinds that contest the slots of their targets; "worst" is the worst-served kind. */
void printContention()
{
    constexpr std::uint64_t seed = 7;
    std::printf("\n%-38s %-18s %8s %8s %8s %8s %8s %8s %8s\n", "load", "order", "answered", "in time", "worst a.",
        "worst t.", "a./bound", "t./bound", "rescued");
    for (const ContendedLoad& load : contendedLoads()) {
        print(load, "arrival", runContended<ArrivalQueue>(load, seed));
        print(load, "former", runContended<FormerQueue>(load, seed));
        print(load, "product", runContended<TransitQueue>(load, seed));
    }
}

/** Which agent is asked after an overloaded one declined an opening packet. */
void printDeclined()
{
    const DeclinedLoad loads[] = {
        { .name = "1.3 times the capacity", .share = 1.3 },
        { .name = "1.3 times, a quarter at half speed", .share = 1.3, .slowTargets = 0.25 },
        { .name = "0.9, a tenth of the queues empty", .share = 0.9, .emptyTargets = 0.1 },
        { .name = "1.1, a quarter of the queues empty", .share = 1.1, .emptyTargets = 0.25 },
    };
    std::printf("\n%-38s %-18s %9s %14s %9s\n", "openings at full queues", "after a decline", "accepted",
        "wrongly refused", "asked");
    for (const DeclinedLoad& load : loads) {
        for (auto [name, way] : { std::pair("random (former)", AfterDecline::RandomDraw),
                 std::pair("spare (product)", AfterDecline::MostSpare) }) {
            DeclinedOutcome outcome = runDeclined(load, way);
            std::printf("%-38s %-18s %9.4f %14.4f %9.3f\n", load.name, name, outcome.accepted,
                outcome.refusedBesideRoom, outcome.asked);
        }
    }
}

template <class Queue> double releaseMicroseconds(std::size_t waiting)
{
    constexpr int releases = 20;
    constexpr int batches = 50; // The fastest counts, since other processes use the processor too.
    const TimePoint start { seconds(100).us };
    Queue queue;
    std::mt19937_64 random(7);
    auto add = [&](std::uint32_t number) {
        Duration age { static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(seconds(2).us)) };
        WaitingRequest request { .flow = { { 0x64000000 + number, 40000 }, routeAddress },
            .priority = static_cast<std::uint8_t>(random() % 3),
            .startedAt = start - age,
            .latencyObjective = milliseconds(300),
            .timeout = seconds(3),
            .serviceTime = milliseconds(47),
            .isRescued = false };
        queue.push(request, maxQueueCapacity + 1, start);
    };
    for (std::uint32_t i = 0; i < waiting; ++i)
        add(i);
    double best = std::numeric_limits<double>::infinity();
    auto number = static_cast<std::uint32_t>(waiting);
    for (int batch = 0; batch < batches; ++batch) {
        auto from = std::chrono::steady_clock::now();
        for (int i = 0; i < releases; ++i) {
            queue.pop(start, microseconds(100));
            add(number++);
        }
        std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - from;
        best = std::min(best, took.count() / releases);
    }
    return best;
}

/** Requests of three priorities, which can all be answered within their timeouts. */
void printReleaseTimes()
{
    std::printf("\n%-38s %12s %12s\n", "time of a release and an arrival, us", "former", "product");
    for (std::size_t waiting : { std::size_t { 100 }, std::size_t { 500 }, maxQueueCapacity })
        std::printf("%-38zu %12.2f %12.2f\n", waiting, releaseMicroseconds<FormerQueue>(waiting),
            releaseMicroseconds<TransitQueue>(waiting));
}

}

int main()
{
    const std::pair<const char*, PlacementPolicy> policies[] = {
        { "round robin", &Simulation::roundRobin },
        { "plain ranks", &Simulation::byRank },
        { "fewest flows sent", &Simulation::fewestSent },
        { "two choices", &Simulation::twoChoices },
        { "by load (product)", &Simulation::byLoad },
    };
    const Load placementLoads[] = {
        { .name = "0.6 of the capacity", .share = 0.6 },
        { .name = "0.9 of the capacity", .share = 0.9 },
        { .name = "0.6, one target four times slower", .share = 0.6, .slowFactor = 4 },
    };
    const Load orderLoads[] = {
        { .name = "0.9 of the capacity", .share = 0.9 },
        { .name = "1.2 times the capacity", .share = 1.2 },
        { .name = "2 times the capacity", .share = 2 },
    };
    std::printf(
        "%-34s %-26s %8s %9s %10s %8s %9s\n", "load", "way", "in time", "answered", "imbalance", "p99 ms", "of bound");
    for (const Load& load : placementLoads) {
        for (const auto& [name, policy] : policies)
            print(load.name, name, Simulation(load, policy, Order::Product).run());
    }
    for (const Load& load : orderLoads) {
        print(load.name, "order of arrival", Simulation(load, &Simulation::byLoad, Order::Arrival).run());
        print(load.name, "newest first (former)", Simulation(load, &Simulation::byLoad, Order::Former).run());
        print(load.name, "with rescue (product)", Simulation(load, &Simulation::byLoad, Order::Product).run());
    }
    printContention();
    printDeclined();
    printReleaseTimes();
    return 0;
}
