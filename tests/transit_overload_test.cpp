#include "transit_fixture.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

constexpr std::uint32_t slots = 20;
constexpr Duration serviceTime = milliseconds(40);
constexpr Duration objective = milliseconds(120); ///< Of routeTo().
constexpr Duration window = milliseconds(500);
constexpr std::size_t servedInWindow = slots * window.us / serviceTime.us;

/** One target with many slots, under a constant load of callers that reuse a flow once it has its answer. */
struct OverloadedTarget : Fleet {
    struct Request {
        FlowTuple flow;
        TimePoint sentAt;
        std::size_t answersBefore {}; ///< Answers on the flow when the request was sent.
    };

    std::vector<Request> pending;
    std::vector<FlowTuple> idleFlows;
    std::map<std::int64_t, std::size_t> inTimeByWindow; ///< Requests answered in time, by the window of their start.
    TimePoint startedAt;
    std::uint32_t lastFlow {};

    OverloadedTarget()
        : Fleet(1)
    {
        TargetRecord record = targetRecord(agents[0].address, "wide");
        record.slots = slots;
        restartTarget(agents[0].address, record.id);
        server().slots = slots;
        server().serviceTime = serviceTime;
        writeTarget(record);
        run(milliseconds(300));
    }

    FakeTransitTarget& server() { return target(agents[0].address); }
    Endpoint balancerOf(const FlowTuple& flow) { return balancers[flow.caller.address % balancers.size()]; }

    /** Offers a multiple of the capacity for a while. */
    void offer(std::size_t timesCapacity, Duration time)
    {
        constexpr Duration step = milliseconds(5);
        startedAt = now();
        std::size_t perStep = timesCapacity * slots * step.us / serviceTime.us;
        while (now() < startedAt + time) {
            std::vector<FlowTuple> flows;
            while (flows.size() < perStep)
                flows.push_back(takeFlow());
            run(step);
            for (const FlowTuple& flow : flows)
                send(flow);
            collectAnswers();
        }
        run(milliseconds(300));
        collectAnswers();
    }

    /** Sends all requests that wait for an answer once more. */
    void retransmit()
    {
        for (const Request& request : pending) {
            if (caller(request.flow).answers == request.answersBefore)
                sendRequest(
                    balancerOf(request.flow), request.flow, 1 + static_cast<std::uint32_t>(request.answersBefore));
        }
    }

private:
    FlowTuple takeFlow()
    {
        if (idleFlows.empty()) {
            FlowTuple flow = flowOf(++lastFlow);
            sendOpen(balancerOf(flow), flow);
            return flow;
        }
        FlowTuple flow = idleFlows.back();
        idleFlows.pop_back();
        return flow;
    }

    void send(const FlowTuple& flow)
    {
        if (!caller(flow).openedAt)
            return;
        std::size_t answers = caller(flow).answers;
        pending.push_back({ flow, now(), answers });
        sendRequest(balancerOf(flow), flow, 1 + static_cast<std::uint32_t>(answers));
    }

    void collectAnswers()
    {
        std::erase_if(pending, [&](const Request& request) {
            const CallerState& state = caller(request.flow);
            std::size_t& inTime = inTimeByWindow[(request.sentAt - startedAt).us / window.us];
            if (state.answers == request.answersBefore)
                return false;
            inTime += *state.answeredAt - request.sentAt <= objective;
            idleFlows.push_back(request.flow);
            return true;
        });
    }
};

}

TEST_CASE("A constant load beyond the capacity does not reduce the throughput in time", "[transit]")
{
    OverloadedTarget fleet;

    for (std::size_t timesCapacity : { 2, 4 }) {
        SECTION("at " + std::to_string(timesCapacity)
            + " times the capacity, requests pass neither the queue nor its bound, which guards against a throughput "
              "in "
              "time that collapses when the queue is full")
        {
            fleet.offer(timesCapacity, seconds(5));
            REQUIRE(fleet.inTimeByWindow.size() == 10);
            for (const auto& [index, count] : fleet.inTimeByWindow) {
                INFO("window " << index);
                CHECK(count >= servedInWindow * 9 / 10);
            }
            CHECK(fleet.server().longestQueue <= slotOversubscription);
        }
    }
    SECTION("a new flow is refused at once while more requests wait than can be answered before their timeouts, which "
            "guards against callers who wait for an answer that cannot come")
    {
        fleet.offer(4, seconds(3));
        REQUIRE(fleet.server().queue.size() <= slotOversubscription);
        constexpr std::uint32_t count = 20;
        std::vector<FlowTuple> refused;
        for (std::uint32_t i = 0; i < count; ++i)
            fleet.sendOpen(fleet.balancers[i % 3], flowOf(1000000 + i));
        fleet.offer(4, milliseconds(100));
        for (std::uint32_t i = 0; i < count; ++i) {
            if (fleet.caller(flowOf(1000000 + i)).resetAt)
                refused.push_back(flowOf(1000000 + i));
        }
        CHECK(refused.size() >= count / 2);

        SECTION("and has not run, which guards against a refusal that is not true")
        {
            fleet.run(seconds(2));
            for (const FlowTuple& flow : refused)
                CHECK_FALSE(fleet.server().flows.contains(flow));
        }
    }
}

TEST_CASE("A flow is not refused on doubt", "[transit]")
{
    // The first agent answers nothing for a while, and the target of the second returns all opening packets.
    Fleet fleet(2);
    constexpr std::uint32_t count = 12;
    fleet.target(fleet.agents[1].address).returnsOpens = true;
    fleet.pause(fleet.agents[0]);
    for (std::uint32_t i = 0; i < count; ++i)
        fleet.sendOpen(fleet.balancers[i % 3], flowOf(i));
    fleet.run(milliseconds(100));
    fleet.resume(fleet.agents[0]);
    fleet.run(milliseconds(100));

    SECTION("which guards against a reset of a flow that a slow agent opens")
    {
        std::size_t opened = 0;
        for (std::uint32_t i = 0; i < count; ++i) {
            const CallerState& caller = fleet.caller(flowOf(i));
            opened += caller.openedAt.has_value();
            CHECK_FALSE((caller.openedAt && caller.resetAt));
        }
        CHECK(opened > 0);
    }
}

TEST_CASE("An agent that restarts beside a busy target keeps the target's own queue short", "[transit]")
{
    // Callers retransmit all requests that waited at the agent. Only the target knows their flows, and it runs in order
    // of arrival what it is asked about.
    OverloadedTarget fleet;
    fleet.offer(2, seconds(1));
    REQUIRE(fleet.pending.size() >= 5 * slots);
    fleet.restart(fleet.agents[0]);
    fleet.run(milliseconds(300));
    fleet.server().longestQueue = 0;
    fleet.retransmit();
    fleet.run(milliseconds(20));

    SECTION("which guards against a queue in which all requests become late")
    {
        CHECK(fleet.server().longestQueue <= slotOversubscription + 1);
        fleet.inTimeByWindow.clear();
        fleet.offer(2, seconds(2));
        CHECK(fleet.inTimeByWindow[1] >= servedInWindow / 2);
        CHECK(fleet.inTimeByWindow[3] >= servedInWindow * 9 / 10);
        CHECK(fleet.server().longestQueue <= slotOversubscription + 1);
    }
    SECTION("but a query that locates a flow is answered at once, which guards against callers of lost flows who wait "
            "for busy targets")
    {
        ForwardMessage query { .replyTo = fleet.balancers[0], .isLocating = true, .hops = 1 };
        query.packet = { .flow = flowOf(2000000), .sequence = 1, .dataSize = 100 };
        TransitEffects effects;
        fleet.agent(fleet.agents[0])
            .onMessage(fleet.balancers[0], Message { StorePosition(), query }, fleet.now(), effects);
        bool isDelivered = std::any_of(effects.begin(), effects.end(),
            [](const auto& effect) { return std::holds_alternative<DeliverToTarget>(effect); });
        CHECK(isDelivered);
    }
    SECTION(
        "and every request that waits runs once, which guards against requests that are lost with the agent's queue")
    {
        fleet.run(milliseconds(600));
        fleet.retransmit();
        fleet.run(milliseconds(600));
        std::size_t answered = 0;
        for (const OverloadedTarget::Request& request : fleet.pending)
            answered += fleet.caller(request.flow).answers == request.answersBefore + 1;
        CHECK(answered == fleet.pending.size());
    }
}

TEST_CASE("Packets that follow a request in the queue", "[transit]")
{
    Fleet fleet(1);
    FakeTransitTarget& target = fleet.target(fleet.agents[0].address);
    target.serviceTime = milliseconds(300);
    std::uint32_t count = target.slots + slotOversubscription + 1;
    for (std::uint32_t i = 0; i < count; ++i) {
        fleet.open(fleet.balancers[0], flowOf(i));
        fleet.sendRequest(fleet.balancers[0], flowOf(i));
        fleet.run(milliseconds(5));
    }
    FlowTuple queued = flowOf(count - 1);
    REQUIRE(target.receivedRequests.count({ queued, 1 }) == 0);
    auto deliver = [&](PacketFlags flags) {
        ForwardMessage forward { .replyTo = fleet.balancers[0] };
        forward.packet = { .flow = queued, .flags = flags, .sequence = 2 };
        TransitEffects effects;
        fleet.agent(fleet.agents[0])
            .onMessage(fleet.balancers[0], Message { StorePosition(), forward }, fleet.now(), effects);
        std::size_t delivered = 0;
        for (const auto& effect : effects)
            delivered += std::holds_alternative<DeliverToTarget>(effect);
        return delivered;
    };

    SECTION("acknowledgements pass, which guards against targets that repeat what the caller has received")
    {
        CHECK(deliver({ .hasAcknowledgement = true }) == 1);
    }
    SECTION("a final packet waits behind the request, which guards against a request that passes others")
    {
        CHECK(deliver({ .hasAcknowledgement = true, .isFinal = true }) == 0);
        fleet.run(seconds(1));
        CHECK(target.receivedRequests.count({ queued, 1 }) == 1);
    }
    SECTION("a reset by the caller discards the request, which guards against work for a caller who has given up")
    {
        CHECK(deliver({ .isReset = true }) == 1);
        fleet.run(seconds(1));
        CHECK(target.receivedRequests.count({ queued, 1 }) == 0);
    }
}

TEST_CASE("A request that cannot be answered before its timeout is not started", "[transit]")
{
    TransitQueue queue;
    TimePoint sentAt { seconds(100).us };
    WaitingRequest request { .flow = flowOf(1),
        .startedAt = sentAt,
        .latencyObjective = objective,
        .timeout = seconds(2),
        .serviceTime = serviceTime };
    queue.push(request, 10, sentAt);

    SECTION("which guards against slots that work for callers who have given up")
    {
        CHECK(queue.popExpired(sentAt + request.timeout - serviceTime - milliseconds(1)));
        CHECK(queue.empty());
    }
    SECTION("but it waits as long as there is time, which guards against work that is given up early")
    {
        CHECK_FALSE(queue.popExpired(sentAt + request.timeout - serviceTime - callerNetworkDelay - callerNetworkDelay));
        CHECK(queue.size() == 1);
    }
    SECTION("and an estimate beyond the timeout does not discard it at once, which guards against a wrong estimate")
    {
        request.flow = flowOf(2);
        request.serviceTime = seconds(3);
        queue.push(request, 10, sentAt);
        CHECK_FALSE(queue.popExpired(sentAt + request.timeout / 4));
    }
}

TEST_CASE("A crowd at one service of a route uses free slots of the route's other service", "[transit]")
{
    // Three targets of each service, with four slots each. The route prefers "web" for nine of ten flows.
    Fleet fleet;
    std::vector<Endpoint> others;
    for (std::uint32_t i = 31; i < 34; ++i)
        others.push_back(fleet.addAgent(i, "pages"));
    RouteRecord route = routeTo("web");
    route.shares = { { "web", 9 }, { "pages", 1 } };
    auto serve = [&](std::size_t perStep) {
        for (std::uint32_t i = 0; i < 200; i += static_cast<std::uint32_t>(perStep)) {
            for (std::uint32_t k = i; k < i + perStep; ++k)
                fleet.sendOpen(fleet.balancers[k % 3], flowOf(k));
            fleet.run(milliseconds(10));
            for (std::uint32_t k = i; k < i + perStep; ++k)
                fleet.sendRequest(fleet.balancers[k % 3], flowOf(k));
        }
        fleet.run(milliseconds(200));
        std::size_t count = 0;
        for (Endpoint agent : others)
            count += fleet.target(agent.address).opened.size();
        return count;
    };

    SECTION("which guards against requests that wait beside idle targets")
    {
        fleet.writeRoutes({ route });
        fleet.run(milliseconds(300));
        CHECK(serve(10) >= 50);
    }
    SECTION("but the weights hold while there are free slots")
    {
        fleet.writeRoutes({ route });
        fleet.run(milliseconds(300));
        CHECK(serve(2) <= 40);
    }
    SECTION("and a service of weight zero gets none, which guards against flows that the operator has moved away")
    {
        route.shares = { { "web", 10 }, { "pages", 0 } };
        fleet.writeRoutes({ route });
        fleet.run(milliseconds(300));
        CHECK(serve(10) == 0);
    }
}
