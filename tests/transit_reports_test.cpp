/**
 * Reproduces failures reported by operators of similar systems on transparent flows. docs/incidents/README.md lists
 * the safeguard against each.
 */
#include "transit_fixture.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

TEST_CASE("A request on a flow that was accepted right before a shutdown is answered", "[transit]")
{
    Fleet fleet;
    FlowTuple flow = flowOf(1);
    std::uint32_t holder = fleet.open(fleet.balancers[0], flow);
    REQUIRE(holder);
    Endpoint agent { holder, fleetPort };
    TransitEffects effects;
    fleet.agent(agent).onStop(fleet.now(), effects);
    fleet.applyEffectsFor(agent, effects);

    SECTION("when its first request arrives during the shutdown")
    {
        fleet.run(milliseconds(40));
        REQUIRE_FALSE(fleet.agent(agent).isFinished(fleet.now()));
        fleet.sendRequest(fleet.balancers[0], flow);
        fleet.run(milliseconds(50));
        CHECK(fleet.caller(flow).answers == 1);
    }
    SECTION("when its balancer shuts down at the same time")
    {
        TransitEffects balancerEffects;
        fleet.balancer(fleet.balancers[0]).onStop(fleet.now(), balancerEffects);
        fleet.applyEffectsFor(fleet.balancers[0], balancerEffects);
        fleet.sendRequest(fleet.balancers[0], flow);
        fleet.run(milliseconds(60));
        CHECK(fleet.caller(flow).answers == 1);
    }
}

TEST_CASE("Requests that wait for a slot when the agent's shutdown begins are answered", "[transit]")
{
    Fleet fleet;
    std::map<std::uint32_t, std::vector<FlowTuple>> flows;
    for (std::uint32_t i = 0; i < 60; ++i)
        flows[fleet.open(fleet.balancers[0], flowOf(i))].push_back(flowOf(i));
    Endpoint agent = fleet.agents[0];
    REQUIRE(flows[agent.address].size() > 8);
    for (const auto& flow : flows[agent.address])
        fleet.sendRequest(fleet.balancers[0], flow);
    fleet.run(milliseconds(5));
    TransitEffects effects;
    fleet.agent(agent).onStop(fleet.now(), effects);
    fleet.applyEffectsFor(agent, effects);
    for (int i = 0; i < 200 && !fleet.agent(agent).isFinished(fleet.now()); ++i)
        fleet.run(milliseconds(10));
    fleet.kill(agent);
    for (const auto& flow : flows[agent.address])
        CHECK(fleet.caller(flow).answers == 1);
}

TEST_CASE("A restarted process does not use a target that was removed", "[transit]")
{
    Fleet fleet(4);
    Endpoint stale = fleet.balancers[2];
    // One balancer does not learn of the removal of a target whose agent still runs.
    fleet.disconnect(stale.address);
    fleet.removeTarget(fleet.target(fleet.agents[0].address).id);
    fleet.run(milliseconds(300));
    fleet.reconnect(stale.address);

    SECTION("even if a process with an old view answers it first")
    {
        fleet.restart(fleet.balancers[0]);
        fleet.restart(fleet.agents[1]);
        for (std::uint32_t i = 0; i < 40; ++i)
            CHECK(fleet.open(fleet.balancers[0], flowOf(i)) != fleet.agents[0].address);
    }
    SECTION("and the balancer with the old view stops using it after the next gossip")
    {
        fleet.run(milliseconds(600));
        for (std::uint32_t i = 0; i < 40; ++i)
            CHECK(fleet.open(stale, flowOf(i)) != fleet.agents[0].address);
    }
}

TEST_CASE("A request at a VM that is only unreachable is neither reset nor run again", "[transit]")
{
    Fleet fleet(12);
    FlowTuple flow = flowOf(1);
    std::uint32_t holder = fleet.open(fleet.balancers[0], flow);
    REQUIRE(holder);
    fleet.target(holder).serviceTime = milliseconds(1500);
    fleet.sendRequest(fleet.balancers[0], flow);
    fleet.run(milliseconds(50));
    REQUIRE(fleet.totalRequestsStarted() == 1);

    SECTION("while its agent is paused")
    {
        fleet.pause({ holder, fleetPort });
        for (std::uint32_t i = 0; i < 5; ++i) {
            fleet.sendRequest(fleet.balancers[i % 3], flow);
            fleet.run(milliseconds(200));
        }
        fleet.resume({ holder, fleetPort });
    }
    SECTION("while the VM is disconnected from the others")
    {
        fleet.disconnect(holder);
        for (std::uint32_t i = 0; i < 5; ++i) {
            fleet.sendRequest(fleet.balancers[i % 3], flow);
            fleet.run(milliseconds(200));
        }
        fleet.reconnect(holder);
    }
    fleet.run(seconds(1));
    CHECK_FALSE(fleet.caller(flow).resetAt);
    CHECK(fleet.caller(flow).answers == 1);
    CHECK(fleet.totalRequestsStarted() == 1);
}

TEST_CASE("A request whose answer was lost is not run again", "[transit]")
{
    Fleet fleet(12);
    FlowTuple flow = flowOf(1);
    std::uint32_t holder = fleet.open(fleet.balancers[0], flow);
    REQUIRE(holder);
    fleet.sendRequest(fleet.balancers[0], flow);
    fleet.run(milliseconds(5));
    // The answer is sent while the VM is disconnected; the caller retransmits the request through all balancers.
    fleet.disconnect(holder);
    fleet.run(milliseconds(50));
    fleet.reconnect(holder);
    REQUIRE(fleet.caller(flow).answers == 0);
    for (Endpoint balancer : fleet.balancers) {
        fleet.sendRequest(balancer, flow);
        fleet.run(milliseconds(200));
    }
    CHECK(fleet.totalRequestsStarted() == 1);
    CHECK_FALSE(fleet.caller(flow).resetAt);
}
