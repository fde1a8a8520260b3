#include "transit_fixture.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

TEST_CASE("Opening packets are retried at other agents when one does not answer", "[transit]")
{
    Fleet fleet;

    SECTION(
        "another agent is tried before the caller retransmits, which guards against late answers after an agent fails")
    {
        fleet.kill(fleet.agents[0]);
        for (std::uint32_t i = 0; i < 12; ++i)
            fleet.sendOpen(fleet.balancers[0], flowOf(100 + i));
        fleet.run(milliseconds(100));
        for (std::uint32_t i = 0; i < 12; ++i) {
            INFO("flow " << i);
            CHECK(fleet.caller(flowOf(100 + i)).openedAt);
        }
    }
    SECTION("the agent of a target that does not respond declines, so that another target is tried")
    {
        fleet.target(fleet.agents[1].address).isResponding = false;
        for (std::uint32_t i = 0; i < 12; ++i)
            fleet.sendOpen(fleet.balancers[0], flowOf(200 + i));
        fleet.run(milliseconds(180));
        for (std::uint32_t i = 0; i < 12; ++i) {
            INFO("flow " << i);
            CHECK(fleet.caller(flowOf(200 + i)).openedAt);
        }
    }
    SECTION("a target that returns all opening packets is avoided, which guards against a herd to a target that only "
            "looks idle")
    {
        FakeTransitTarget& closed = fleet.target(fleet.agents[0].address);
        closed.returnsOpens = true;
        constexpr std::uint32_t count = 300;
        for (std::uint32_t i = 0; i < count; ++i) {
            fleet.sendOpen(fleet.balancers[i % 3], flowOf(100 + i));
            fleet.run(milliseconds(10));
            fleet.sendRequest(fleet.balancers[i % 3], flowOf(100 + i));
        }
        fleet.run(milliseconds(50));
        for (std::uint32_t i = 0; i < count; ++i)
            CHECK(fleet.caller(flowOf(100 + i)).answers == 1);
        // Each of three balancers tries it again after 0.2, 0.4, 0.8 and 1.6 s.
        CHECK(closed.returned <= 3 * 5);

        SECTION("and gets flows again once it accepts them")
        {
            closed.returnsOpens = false;
            fleet.run(seconds(2));
            for (std::uint32_t i = 0; i < 60; ++i) {
                fleet.sendOpen(fleet.balancers[i % 3], flowOf(1000 + i));
                fleet.run(milliseconds(5));
            }
            CHECK(closed.opened.size() >= 15);
        }
    }
    SECTION(
        "a target that accepts flows and resets their requests gets few, which guards against a herd to a target that "
        "serves nothing")
    {
        FakeTransitTarget& faulty = fleet.target(fleet.agents[0].address);
        faulty.resetsRequests = true;
        constexpr std::uint32_t count = 300;
        auto serve = [&](std::uint32_t first) {
            std::size_t resets = 0;
            for (std::uint32_t i = first; i < first + count; ++i) {
                fleet.sendOpen(fleet.balancers[i % 3], flowOf(i));
                fleet.run(milliseconds(5));
                fleet.sendRequest(fleet.balancers[i % 3], flowOf(i));
                fleet.run(milliseconds(5));
                resets += fleet.caller(flowOf(i)).resetAt.has_value();
            }
            return resets;
        };
        // Three until the target counts as faulty, then one probe every 300 ms in three seconds.
        CHECK(serve(100) <= 3 + 10 + 2);

        SECTION("and gets flows again once it serves their requests")
        {
            faulty.resetsRequests = false;
            serve(1000);
            std::size_t before = faulty.started.size();
            serve(2000);
            CHECK(faulty.started.size() - before >= count / 6);
        }
    }
    SECTION("retries have a budget, which guards against an outage that multiplies the load")
    {
        for (Endpoint agent : fleet.agents)
            fleet.kill(agent);
        std::size_t before = fleet.messages();
        for (std::uint32_t i = 0; i < 300; ++i)
            fleet.sendOpen(fleet.balancers[0], flowOf(1000 + i));
        fleet.run(milliseconds(300));
        // 300 opening packets, a bounded number of retries, and the stamps of three balancers.
        CHECK(fleet.messages() - before < 300 + openRetryReserve + openRetryRefill + 100);
    }
    SECTION(
        "a late tick marks no agent as silent, which guards against retries by a balancer that is itself overloaded")
    {
        fleet.sendOpen(fleet.balancers[0], flowOf(50));
        fleet.pause(fleet.balancers[0]);
        fleet.run(milliseconds(80));
        fleet.resume(fleet.balancers[0]);
        fleet.run(milliseconds(30));
        CHECK(fleet.logLineCount("agent_silent") == 0);
        CHECK(fleet.caller(flowOf(50)).openedAt);
    }
}

TEST_CASE("Opening packets that no target can serve are reset at once", "[transit]")
{
    Fleet fleet;

    SECTION("an address without a route")
    {
        FlowTuple flow { { 0x64000001, 40000 }, { 0x0a630009, 1 } };
        fleet.sendOpen(fleet.balancers[0], flow);
        fleet.run(milliseconds(5));
        CHECK(fleet.caller(flow).resetAt);
    }
    SECTION("a service whose targets all drain")
    {
        for (Endpoint agent : fleet.agents) {
            TargetRecord record = targetRecord(agent.address, "t" + std::to_string(agent.address));
            record.isDraining = true;
            fleet.writeTarget(record);
        }
        fleet.run(milliseconds(300));
        fleet.sendOpen(fleet.balancers[0], flowOf(1));
        fleet.run(milliseconds(10));
        CHECK(fleet.caller(flowOf(1)).resetAt);
        CHECK(fleet.totalRequestsStarted() == 0);
    }
}

TEST_CASE("A cold target gets no more opening packets than its limit in any second", "[transit]")
{
    Fleet fleet;
    constexpr double perSecond = 10;
    fleet.writeRoutes({ routeTo("web") }, perSecond);
    // All targets but the cold one drain, so that all flows go to it.
    for (std::size_t i = 1; i < fleet.agents.size(); ++i) {
        TargetRecord record = targetRecord(fleet.agents[i].address, "t" + std::to_string(fleet.agents[i].address));
        record.isDraining = true;
        fleet.writeTarget(record);
    }
    TargetRecord cold = targetRecord(fleet.agents[0].address, "t11");
    cold.coldLeft = seconds(3);
    fleet.writeTarget(cold);
    fleet.run(milliseconds(300));
    for (std::uint32_t i = 0; i < 200; ++i) {
        fleet.sendOpen(fleet.balancers[i % 3], flowOf(3000 + i));
        fleet.run(milliseconds(10));
    }
    const auto& opened = fleet.target(fleet.agents[0].address).opened;
    REQUIRE(opened.size() > 20);
    for (std::size_t i = 0; i < opened.size(); ++i) {
        std::size_t within = 0;
        for (std::size_t j = i; j < opened.size() && opened[j].first - opened[i].first < seconds(1); ++j)
            ++within;
        CHECK(within <= perSecond * 1.5 + 5);
    }
}

TEST_CASE("Requests wait at the agent while the target is busy", "[transit]")
{
    Fleet fleet(1);
    FakeTransitTarget& target = fleet.target(fleet.agents[0].address);
    target.serviceTime = milliseconds(40);

    SECTION(
        "new requests are served before those that are late already, which guards against a burst that makes all late")
    {
        // Second retransmissions: sent 600 ms after the first transmission, more than the objective of 120 ms.
        constexpr std::uint32_t burst = 30;
        for (std::uint32_t i = 0; i < burst; ++i)
            fleet.sendOpen(fleet.balancers[0], flowOf(i), 2);
        fleet.run(milliseconds(10));
        for (std::uint32_t i = 0; i < burst; ++i)
            fleet.sendRequest(fleet.balancers[0], flowOf(i));
        fleet.run(milliseconds(10));
        FlowTuple fresh = flowOf(500);
        fleet.open(fleet.balancers[0], fresh);
        TimePoint sentAt = fleet.now();
        fleet.sendRequest(fleet.balancers[0], fresh);
        fleet.run(milliseconds(600));
        REQUIRE(fleet.caller(fresh).answeredAt);
        CHECK(*fleet.caller(fresh).answeredAt - sentAt <= milliseconds(110));
        for (std::uint32_t i = 0; i < burst; ++i)
            CHECK(fleet.caller(flowOf(i)).answers == 1);
    }
    SECTION("at twice the capacity, requests that are answered are answered in time, which guards against a queue in "
            "which all requests become late")
    {
        constexpr std::uint32_t offered = 400;
        constexpr Duration gap = milliseconds(5); // 200 a second; four slots of 40 ms serve 100.
        std::map<FlowTuple, TimePoint> sentAt;
        for (std::uint32_t i = 0; i < offered; ++i) {
            FlowTuple flow = flowOf(i);
            fleet.sendOpen(fleet.balancers[0], flow);
            fleet.run(gap);
            sentAt[flow] = fleet.now();
            fleet.sendRequest(fleet.balancers[0], flow);
        }
        fleet.run(milliseconds(200));
        std::size_t inTime = 0;
        for (const auto& [flow, at] : sentAt) {
            const CallerState& caller = fleet.caller(flow);
            inTime += caller.answeredAt && *caller.answeredAt - at <= milliseconds(120);
        }
        // 95 % of the 200 requests that the target can answer in two seconds.
        CHECK(inTime >= 190);
    }
    SECTION("a queued request that is retransmitted is delivered once")
    {
        for (std::uint32_t i = 0; i < 12; ++i)
            fleet.open(fleet.balancers[0], flowOf(i));
        for (std::uint32_t i = 0; i < 12; ++i) {
            fleet.sendRequest(fleet.balancers[0], flowOf(i));
            fleet.sendRequest(fleet.balancers[0], flowOf(i));
        }
        fleet.run(seconds(1));
        CHECK(target.started.size() == 12);
        // Only requests that were delivered without queueing may be followed by their retransmissions.
        CHECK(target.deliveredPackets <= 12 + target.slots + slotOversubscription);
    }
    SECTION("a request that is never answered does not block the others forever, which guards against a leaked slot")
    {
        target.serviceTime = seconds(100);
        for (std::uint32_t i = 0; i < 8; ++i) {
            fleet.open(fleet.balancers[0], flowOf(i));
            fleet.sendRequest(fleet.balancers[0], flowOf(i));
        }
        fleet.run(milliseconds(200));
        target.slots = 100;
        target.serviceTime = milliseconds(10);
        fleet.open(fleet.balancers[0], flowOf(90));
        fleet.sendRequest(fleet.balancers[0], flowOf(90));
        fleet.run(seconds(1));
        CHECK(fleet.caller(flowOf(90)).answers == 1);
    }
}

TEST_CASE("The agent estimates the service time of its target", "[transit]")
{
    ServiceTimes times;
    for (int i = 0; i < 50; ++i)
        times.addSample(routeAddress, milliseconds(30));
    CHECK(times.expected(routeAddress) <= milliseconds(35));

    SECTION(
        "one answer that was lost and retransmitted changes the estimate little, which guards against requests that "
        "all appear late")
    {
        times.addSample(routeAddress, seconds(2));
        CHECK(times.expected(routeAddress) <= milliseconds(90));
        CHECK(times.mean() <= milliseconds(45));
    }
    SECTION("the estimate follows within 30 requests when a target becomes slow")
    {
        for (int i = 0; i < 30; ++i)
            times.addSample(routeAddress, milliseconds(60));
        CHECK(times.expected(routeAddress) >= milliseconds(55));
    }
}

TEST_CASE("After all targets of a large fleet restarted, lost flows are reset within 120 ms", "[transit]")
{
    // Links of 10 Mbit/s, which guards against locate messages that are delayed by the narrow link of a balancer.
    Fleet fleet(40, 1250000);
    constexpr std::uint32_t count = 150;
    for (std::uint32_t i = 0; i < count; ++i)
        REQUIRE(fleet.open(fleet.balancers[0], flowOf(i)));
    for (std::uint32_t i = 0; i < count; ++i)
        fleet.sendRequest(fleet.balancers[0], flowOf(i));
    fleet.run(milliseconds(300));
    fleet.loseAllFlows();
    TimePoint sentAt = fleet.now();
    for (std::uint32_t i = 0; i < count; ++i)
        fleet.sendRequest(fleet.balancers[0], flowOf(i), 2);
    fleet.run(milliseconds(400));
    std::size_t resetInTime = 0;
    for (std::uint32_t i = 0; i < count; ++i) {
        const CallerState& caller = fleet.caller(flowOf(i));
        resetInTime += caller.resetAt && *caller.resetAt - sentAt <= milliseconds(120);
    }
    CHECK(resetInTime == count);

    SECTION(
        "but a flow whose holder does not answer is not reset, which guards against a reset without the holder's reply")
    {
        FlowTuple flow = flowOf(1000);
        std::uint32_t holder = fleet.open(fleet.balancers[0], flow);
        REQUIRE(holder);
        fleet.sendRequest(fleet.balancers[0], flow, 3);
        fleet.run(milliseconds(50));
        fleet.disconnect(holder);
        fleet.restart(fleet.balancers[0]);
        fleet.run(seconds(1));
        fleet.sendRequest(fleet.balancers[0], flow, 4);
        fleet.run(milliseconds(800));
        CHECK_FALSE(fleet.caller(flow).resetAt);
    }
}

TEST_CASE("Balancers do not all prefer the target that was last reported idle", "[transit]")
{
    // Load reports are as old as some service times, so a herd to the least loaded target would make it the busiest.
    Fleet fleet(7);
    TransitPlacement placement("a");
    for (Endpoint agent : fleet.agents) {
        bool isIdle = agent == fleet.agents[3];
        placement.recordLoad(agent.address, { .busy = isIdle ? 0U : 3U, .slots = 4, .flows = 0 });
    }
    const TransitView& view = fleet.balancer(fleet.balancers[0]).fleet().view();
    std::size_t toIdle = 0;
    std::set<std::uint32_t> chosen;
    constexpr std::uint32_t count = 700;
    for (std::uint32_t i = 0; i < count; ++i) {
        const TargetEntry* target = placement.choose(view, "web", flowOf(i), {}, fleet.now());
        REQUIRE(target);
        chosen.insert(target->record.address.address);
        toIdle += target->record.address.address == fleet.agents[3].address;
    }
    CHECK(toIdle > count / 7);
    CHECK(toIdle < count / 2);
    CHECK(chosen.size() == 7);

    SECTION("but the only target that was not tried yet is found")
    {
        std::vector<std::uint32_t> tried;
        for (std::size_t i = 0; i + 1 < fleet.agents.size(); ++i)
            tried.push_back(fleet.agents[i].address);
        const TargetEntry* target = placement.choose(view, "web", flowOf(1), tried, fleet.now());
        REQUIRE(target);
        CHECK(target->record.address.address == fleet.agents.back().address);
    }
}
