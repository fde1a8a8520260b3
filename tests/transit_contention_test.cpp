#include "../bench/contended_load.h"
#include "../bench/former_queue.h"
#include "table/transit_limits.h"
#include "transit_fixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

constexpr Duration objective = milliseconds(300);
constexpr Duration timeout = seconds(3);
constexpr Duration service = milliseconds(50);
constexpr Duration interval = milliseconds(10); ///< Between two starts: five slots.
constexpr TimePoint start { seconds(100).us };

WaitingRequest requestAt(TimePoint startedAt, std::uint32_t number, std::uint8_t priority = 1)
{
    return { .flow = flowOf(number),
        .priority = priority,
        .startedAt = startedAt,
        .latencyObjective = objective,
        .timeout = timeout,
        .serviceTime = service,
        .isRescued = false };
}

/** @return Latest start of a request of requestAt(). */
TimePoint latestStart(TimePoint startedAt) { return startedAt + timeout - service - callerNetworkDelay; }

/**
 * Releases one request per interval from a queue that holds late requests, while others arrive.
 * @param late Requests that are half of their timeouts old at the start.
 * @param arrivalInterval Interval between new requests.
 * @return Expired requests.
 */
template <class Queue> std::size_t expiredBeside(std::uint32_t late, Duration arrivalInterval)
{
    Queue queue;
    std::uint32_t number = 0;
    for (; number < late; ++number)
        queue.push(requestAt(start - timeout / 2, number), maxQueueCapacity, start, interval);
    std::size_t expired = 0;
    TimePoint nextArrival = start;
    for (TimePoint now = start; now < start + seconds(10); now = now + interval) {
        for (; nextArrival <= now; nextArrival = nextArrival + arrivalInterval)
            queue.push(requestAt(nextArrival, number++), maxQueueCapacity, now, interval);
        while (queue.popExpired(now))
            ++expired;
        queue.pop(now, interval);
    }
    return expired;
}

}

TEST_CASE("Late requests that can be answered do not expire behind requests in time", "[transit]")
{
    SECTION("a backlog that can be served is served, which guards against requests that starve behind new ones")
    {
        constexpr std::uint32_t late = 100; // One second of work, with 1.44 s left.
        Duration arrivalInterval = interval * 21 / 20; // New requests take 95 % of the capacity.
        CHECK(expiredBeside<TransitQueue>(late, arrivalInterval) == 0);
        CHECK(expiredBeside<FormerQueue>(late, arrivalInterval) > late / 2);
    }
    SECTION("a late request waits until its latest start time is near, which guards against new requests that become "
            "late without need")
    {
        TransitQueue queue;
        queue.push(requestAt(start - objective, 1), 10, start);
        TimePoint due = latestStart(start - objective);
        TimePoint early = due - interval - timeout / rescueMarginShare - milliseconds(1);
        queue.push(requestAt(early - milliseconds(20), 2), 10, early);
        queue.push(requestAt(early - milliseconds(10), 3), 10, early);
        auto first = queue.pop(early, interval);
        CHECK(first->flow == flowOf(2));
        CHECK_FALSE(first->isRescued);
        queue.push(requestAt(due - milliseconds(2), 4), 10, due - milliseconds(2));
        auto second = queue.pop(due - milliseconds(1), interval);
        CHECK(second->flow == flowOf(1));
        CHECK(second->isRescued);
    }
    SECTION("the requests that must start before it count, which guards against several that become due at once")
    {
        TransitQueue queue;
        constexpr std::uint32_t late = 60;
        for (std::uint32_t i = 0; i < late; ++i)
            queue.push(requestAt(start, i), 100, start, interval);
        // One interval before the 60th has to start with 59 ahead of it.
        TimePoint now = latestStart(start) - interval * late;
        queue.push(requestAt(now, late), 100, now, interval);
        CHECK(queue.pop(now, interval)->isRescued);
    }
    SECTION("without a start interval only the latest start counts, which guards against an unknown service time")
    {
        TransitQueue queue;
        queue.push(requestAt(start, 1), 10, start);
        TimePoint now = latestStart(start) - milliseconds(1);
        queue.push(requestAt(now, 2), 10, now);
        CHECK(queue.pop(now, {})->flow == flowOf(1));
    }
    SECTION("a request without a timeout has no latest start time, which guards against one that expires at once")
    {
        TransitQueue queue;
        WaitingRequest request = requestAt(start, 1);
        request.timeout = {};
        queue.push(request, 10, start);
        CHECK_FALSE(queue.popExpired(start + seconds(1000)));
        CHECK(queue.pop(start + seconds(1000), interval)->flow == flowOf(1));
    }
}

TEST_CASE("A backlog that cannot be served within the timeouts", "[transit]")
{
    TransitQueue queue;
    std::uint32_t number = 0;
    TimePoint now = start + seconds(2); // 0.94 s are left for the requests that were sent at the start.
    constexpr std::uint32_t late = 200; // Two seconds of work.
    for (; number < late; ++number)
        queue.push(requestAt(start, number), maxQueueCapacity, now, interval);
    for (std::uint32_t i = 0; i < 60; ++i)
        queue.push(requestAt(now - milliseconds(60) + milliseconds(i), number++), maxQueueCapacity, now, interval);

    SECTION("is served newest first, which guards against a queue in which all requests become late")
    {
        auto request = queue.pop(now, interval);
        CHECK(request->flow == flowOf(number - 1));
        CHECK_FALSE(request->isRescued);
    }
    SECTION("but late requests of a higher priority are still answered, which guards against urgent requests that "
            "expire because of less urgent ones")
    {
        constexpr std::uint32_t urgent = 20;
        for (std::uint32_t i = 0; i < urgent; ++i)
            queue.push(requestAt(start, 1000 + i, 0), maxQueueCapacity, now, interval);
        std::size_t released = 0;
        for (TimePoint at = now; at < latestStart(start); at = at + interval) {
            queue.push(requestAt(at, number++), maxQueueCapacity, at, interval);
            released += queue.pop(at, interval)->priority == 0;
        }
        CHECK(released == urgent);
    }
}

TEST_CASE("Urgent requests in time pass less urgent late ones until these have to start", "[transit]")
{
    // The late request is within its margin, so that it goes before requests in time of its own priority.
    TransitQueue queue;
    queue.push(requestAt(start, 1), 10, start);
    TimePoint now = latestStart(start) - timeout / rescueMarginShare;
    queue.push(requestAt(now, 2, 0), 10, now);
    queue.push(requestAt(now, 3), 10, now);

    SECTION("which guards against urgent requests that become late for less urgent ones")
    {
        CHECK(queue.pop(now, interval)->flow == flowOf(2));
        CHECK(queue.pop(now, interval)->flow == flowOf(1));
    }
    SECTION("but not beyond, which guards against less urgent requests that expire")
    {
        CHECK(queue.pop(latestStart(start) - milliseconds(1), interval)->flow == flowOf(1));
    }
}

TEST_CASE("A full queue evicts the request that loses least", "[transit]")
{
    TransitQueue queue;
    constexpr std::size_t capacity = 4;
    TimePoint now = start + seconds(2);
    WaitingRequest hopeless = requestAt(now - timeout, 1); // Its latest start has passed.
    queue.push(requestAt(now, 2), capacity, now, interval);
    queue.push(requestAt(start, 3), capacity, now, interval);
    queue.push(requestAt(start, 4, 0), capacity, now, interval);

    SECTION("a lower priority first, which guards against urgent requests that make room for less urgent ones")
    {
        queue.push(requestAt(now, 5, 0), capacity, now, interval);
        CHECK(queue.push(requestAt(now, 6, 2), capacity, now, interval)->flow == flowOf(6));
    }
    SECTION("then one that cannot be answered, which guards against the loss of one that can")
    {
        queue.push(hopeless, capacity, now, interval);
        CHECK(queue.push(requestAt(now, 6), capacity, now, interval)->flow == flowOf(1));
    }
    SECTION("then a late one before those in time")
    {
        queue.push(requestAt(now, 5), capacity, now, interval);
        CHECK(queue.push(requestAt(now, 6), capacity, now, interval)->flow == flowOf(3));
    }
    SECTION("and a request cannot be answered if those before it take the remaining time")
    {
        TransitQueue full;
        TimePoint at = latestStart(start) - interval;
        for (std::uint32_t i = 0; i < capacity; ++i)
            full.push(requestAt(i < 2 ? start : at, i), capacity, at, interval);
        CHECK(full.push(requestAt(at, 6), capacity, at, interval)->flow == flowOf(1));
    }
}

TEST_CASE("Every queued request leaves the queue once", "[transit]")
{
    CHECK(rc::check(
        "which guards against a slot that is idle while a request waits, and against a request that is lost", [] {
            TransitQueue queue;
            std::set<FlowTuple> waiting;
            TimePoint now = start;
            auto leave = [&](const std::optional<WaitingRequest>& request) {
                if (request)
                    RC_ASSERT(waiting.erase(request->flow) == 1);
                return request.has_value();
            };
            std::uint32_t number = 0;
            for (int step = *rc::gen::inRange(1, 200); step > 0; --step) {
                now = now + milliseconds(*rc::gen::inRange(0, 200));
                if (*rc::gen::inRange(0, 5) < 3) {
                    WaitingRequest request = requestAt(now - milliseconds(*rc::gen::inRange(0, 3500)), number++,
                        *rc::gen::inRange<std::uint8_t>(0, 4));
                    request.timeout = *rc::gen::element(timeout, timeout / 10, Duration {});
                    request.serviceTime = *rc::gen::element(service, timeout, Duration {});
                    waiting.insert(request.flow);
                    leave(queue.push(request, 20, now, interval));
                } else if (*rc::gen::inRange(0, 2)) {
                    leave(queue.popExpired(now));
                } else {
                    bool hadRequests = !queue.empty();
                    RC_ASSERT(
                        leave(queue.pop(now, *rc::gen::element(interval, Duration {}, seconds(1)))) == hadRequests);
                }
                RC_ASSERT(queue.size() == waiting.size());
            }
        }));
}

TEST_CASE("Bursts of two kinds on simulated time", "[transit]")
{
    auto loads = contendedLoads();
    auto find = [&](const std::string& name) {
        return *std::find_if(loads.begin(), loads.end(),
            [&](const ContendedLoad& load) { return load.name.find(name) != std::string::npos; });
    };
    auto compare = [](const ContendedLoad& load) {
        return std::pair(runContended<FormerQueue>(load, 7), runContended<TransitQueue>(load, 7));
    };

    SECTION("a burst that drains within the timeouts loses less than a third of before, which guards against expired "
            "requests beside a target that has time for them")
    {
        auto [former, product] = compare(find("1.6 times"));
        CHECK(former.total().answeredShare() < 0.95);
        CHECK(product.total().answeredShare() > 0.98);
        CHECK(1 - product.total().answeredShare() < (1 - former.total().answeredShare()) / 3);
        CHECK(product.kinds[0].answered == product.kinds[0].offered);
    }
    SECTION("one that does not drain answers no fewer, and all urgent ones")
    {
        auto [former, product] = compare(find("3 s at 3 times"));
        CHECK(product.total().answered >= former.total().answered);
        CHECK(product.kinds[0].answered == product.kinds[0].offered);
        CHECK(product.kinds[0].inTimeShare() > 0.97);
    }
    SECTION("bursts in turn and together answer more of the worst-served kind, which guards against one kind that pays "
            "for the other")
    {
        for (const char* name : { "in turn", "together" }) {
            INFO(name);
            auto [former, product] = compare(find(name));
            CHECK(product.worstAnsweredShare() > former.worstAnsweredShare() + 0.05);
            CHECK(product.kinds[0].answered == product.kinds[0].offered);
            CHECK(product.kinds[0].inTimeShare() > 0.99);
        }
    }
    SECTION("below the capacity nothing is lost and nothing more is late")
    {
        auto [former, product] = compare(find("0.9 of"));
        CHECK(product.total().answered == product.total().offered);
        CHECK(product.total().inTime + 5 >= former.total().inTime);
    }
    SECTION("a constant overload keeps its throughput in time, which guards against late answers in place of timely "
            "ones without end")
    {
        for (const char* name : { "1.2 times", "2 times the capacity, 15 s" }) {
            INFO(name);
            auto [former, product] = compare(find(name));
            CHECK(static_cast<double>(product.total().inTime) > 0.95 * static_cast<double>(former.total().inTime));
        }
    }
}

TEST_CASE("An agent releases late requests before they expire", "[transit]")
{
    // A burst of second retransmissions, which are 600 ms old, with 1.2 s of work and 1.4 s left; new requests take the
    // whole capacity: four slots of 40 ms serve 100 a second.
    Fleet fleet(1, 125000000, ReleaseOrder::WithinTimeouts);
    fleet.target(fleet.agents[0].address).serviceTime = milliseconds(40);
    constexpr std::uint32_t burst = 90;
    for (std::uint32_t i = 0; i < burst; ++i)
        fleet.sendOpen(fleet.balancers[0], flowOf(i), 2);
    fleet.run(milliseconds(10));
    for (std::uint32_t i = 0; i < burst; ++i)
        fleet.sendRequest(fleet.balancers[0], flowOf(i));
    for (std::uint32_t i = 0; i < 150; ++i) {
        fleet.sendOpen(fleet.balancers[0], flowOf(1000 + i));
        fleet.run(milliseconds(10));
        fleet.sendRequest(fleet.balancers[0], flowOf(1000 + i));
    }
    fleet.run(seconds(2));

    SECTION("which guards against an agent that prefers new requests until the late ones expire")
    {
        std::size_t answered = 0;
        for (std::uint32_t i = 0; i < burst; ++i)
            answered += fleet.caller(flowOf(i)).answers == 1;
        CHECK(answered == burst);
        CHECK(fleet.logLineCount("request_expired") == 0);
        CHECK(fleet.logLineCount("request_rescued") > 0);
    }
}

namespace {

/** A balancer that gets load reports and declines from the test. */
struct DecliningFleet : Fleet {
    using Fleet::Fleet;

    TransitBalancer& core() { return balancer(balancers[0]); }

    void report(Endpoint agent, std::uint32_t busy)
    {
        TransitEffects effects;
        HeldMessage held;
        held.load = { .busy = busy, .slots = 4, .flows = 0 };
        core().onMessage(agent, Message { StorePosition(), held }, now(), effects);
    }

    TransitEffects open(const FlowTuple& flow)
    {
        TransitEffects effects;
        TransitPacket packet;
        packet.flow = flow;
        packet.flags.isOpening = true;
        core().onPacket(std::move(packet), now(), effects);
        return effects;
    }

    TransitEffects decline(const SendMessage& sent, DeclineReason reason, std::uint32_t busy)
    {
        TransitEffects effects;
        DeclinedMessage declined { reason, std::get<ForwardMessage>(sent.body),
            { .busy = busy, .slots = 4, .flows = 0 } };
        core().onMessage(sent.to, Message { StorePosition(), declined }, now(), effects);
        return effects;
    }

    /** All agents but the receiver of a message decline other flows as overloaded. */
    void declineAll(const SendMessage& except, std::uint32_t busy)
    {
        for (Endpoint agent : agents) {
            SendMessage other = except;
            std::get<ForwardMessage>(other.body).packet.flow = flowOf(5000);
            other.to = agent;
            if (agent != except.to)
                decline(other, DeclineReason::Overloaded, busy);
        }
    }

    static const SendMessage* opening(const TransitEffects& effects)
    {
        for (const TransitEffect& effect : effects) {
            const auto* send = std::get_if<SendMessage>(&effect);
            if (send && std::holds_alternative<ForwardMessage>(send->body))
                return send;
        }
        return nullptr;
    }

    static bool isRefused(const TransitEffects& effects)
    {
        return std::any_of(effects.begin(), effects.end(),
            [](const TransitEffect& effect) { return std::holds_alternative<ResetCaller>(effect); });
    }

    static std::size_t count(const TransitEffects& effects, TransitCounter counter)
    {
        return static_cast<std::size_t>(std::count_if(effects.begin(), effects.end(), [&](const TransitEffect& effect) {
            const auto* event = std::get_if<CountEvent>(&effect);
            return event && event->counter == counter;
        }));
    }
};

}

TEST_CASE("After a decline for overload the target with the most spare capacity is asked", "[transit]")
{
    constexpr std::uint32_t full = 100;
    DecliningFleet fleet(12);
    for (std::size_t i = 0; i < fleet.agents.size(); ++i)
        fleet.report(fleet.agents[i], full - static_cast<std::uint32_t>(i));

    SECTION("over all targets, which guards against a random draw that misses the only idle one")
    {
        for (std::uint32_t i = 0; i < 20; ++i) {
            INFO("flow " << i);
            for (Endpoint agent : fleet.agents)
                fleet.report(agent, full);
            auto effects = fleet.open(flowOf(i));
            const SendMessage* first = DecliningFleet::opening(effects);
            REQUIRE(first);
            Endpoint idle = first->to == fleet.agents[3] ? fleet.agents[4] : fleet.agents[3];
            Endpoint half = first->to == fleet.agents[8] ? fleet.agents[9] : fleet.agents[8];
            fleet.report(idle, 1);
            fleet.report(half, full / 2);
            auto next = fleet.decline(*first, DeclineReason::Overloaded, full);
            REQUIRE(DecliningFleet::opening(next));
            CHECK(DecliningFleet::opening(next)->to == idle);
        }
    }
    SECTION("the caller is refused at once when none has spare capacity, which guards against callers that wait for "
            "declines of all agents")
    {
        auto effects = fleet.open(flowOf(1));
        const SendMessage* first = DecliningFleet::opening(effects);
        REQUIRE(first);
        fleet.declineAll(*first, full);
        auto next = fleet.decline(*first, DeclineReason::Overloaded, full);
        CHECK_FALSE(DecliningFleet::opening(next));
        CHECK(DecliningFleet::isRefused(next));
        CHECK(DecliningFleet::count(next, TransitCounter::OpensRefused) == 1);
        CHECK(DecliningFleet::count(next, TransitCounter::RefusedOverloaded) == 1);
    }
    SECTION("an agent whose load has dropped by a quarter is asked again, which guards against refusals after a burst")
    {
        auto effects = fleet.open(flowOf(1));
        const SendMessage* first = DecliningFleet::opening(effects);
        REQUIRE(first);
        fleet.declineAll(*first, full);
        Endpoint free = first->to == fleet.agents[0] ? fleet.agents[1] : fleet.agents[0];
        fleet.report(free, full * 3 / 4);
        auto next = fleet.decline(*first, DeclineReason::Overloaded, full);
        REQUIRE(DecliningFleet::opening(next));
        CHECK(DecliningFleet::opening(next)->to == free);
    }
    SECTION("but not when an agent may have accepted the flow, which guards against a refusal that is not true")
    {
        auto effects = fleet.open(flowOf(1));
        REQUIRE(DecliningFleet::opening(effects));
        fleet.declineAll(*DecliningFleet::opening(effects), full);
        auto second = fleet.decline(*DecliningFleet::opening(effects), DeclineReason::Silent, full);
        REQUIRE(DecliningFleet::opening(second));
        auto third = fleet.decline(*DecliningFleet::opening(second), DeclineReason::Overloaded, full);
        CHECK_FALSE(DecliningFleet::opening(third));
        CHECK_FALSE(DecliningFleet::isRefused(third));
    }
    SECTION("at most five agents are asked, which guards against an opening packet that goes round the fleet")
    {
        auto effects = fleet.open(flowOf(1));
        std::size_t asked = 0;
        while (const SendMessage* sent = DecliningFleet::opening(effects)) {
            ++asked;
            effects = fleet.decline(*sent, DeclineReason::Overloaded, full);
            REQUIRE(asked <= maxOpenAttempts);
        }
        CHECK(asked == maxOpenAttempts);
        CHECK(DecliningFleet::isRefused(effects));
        CHECK(DecliningFleet::count(effects, TransitCounter::RefusedAttemptsUsed) == 1);
    }
    SECTION("a target without a load report is not known to have spare capacity")
    {
        TransitPlacement placement("a");
        const TransitView& view = fleet.core().fleet().view();
        CHECK_FALSE(placement.chooseSpare(view, "web", flowOf(1), {}, fleet.now()).target);
        placement.recordLoad(fleet.agents[1].address, { .busy = 0, .slots = 4, .flows = 0 }, fleet.now());
        auto spare = placement.chooseSpare(view, "web", flowOf(1), {}, fleet.now());
        REQUIRE(spare.target);
        CHECK(spare.target->record.address.address == fleet.agents[1].address);
    }
}
