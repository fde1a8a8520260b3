#include "transit_fixture.h"

#include "table/transit_limits.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

/** A fleet with one flow that was lost because its target restarted. */
struct LostFlow : Fleet {
    FlowTuple flow { flowOf(1) };
    std::uint32_t holder {};

    explicit LostFlow(std::uint32_t targets)
        : Fleet(targets)
    {
        holder = open(balancers[0], flow);
        sendRequest(balancers[0], flow);
        run(milliseconds(100));
        restartTarget(holder, "new");
        run(milliseconds(600));
    }

    /** @return The n-th agent that never held the flow. */
    Endpoint otherAgent(std::size_t n = 0) const
    {
        for (Endpoint agent : agents) {
            if (agent.address != holder && !n--)
                return agent;
        }
        return {};
    }

    /** @return Time from a request of the caller to the reset of the flow; none if it takes more than a second. */
    std::optional<Duration> timeUntilReset()
    {
        TimePoint sentAt = now();
        sendRequest(balancers[1], flow, 2);
        run(seconds(1));
        auto at = caller(flow).resetAt;
        return at ? std::optional(*at - sentAt) : std::nullopt;
    }
};

std::size_t locateMessagesForLostFlow(std::uint32_t targets)
{
    LostFlow fleet(targets);
    std::size_t before = fleet.locateMessages();
    REQUIRE(fleet.timeUntilReset());
    return fleet.locateMessages() - before;
}

}

TEST_CASE("Detecting a lost flow takes the same number of messages in small and in large fleets", "[transit]")
{
    std::size_t smallFleetMessages = locateMessagesForLostFlow(10);
    // The holder keeps the flow until its target returns the packet, so that there are two searches. Each takes two
    // queries, which two locators pass on, an answer to each, two absence reports, and a last query with its answer.
    CHECK(smallFleetMessages <= 2 * 10);
    CHECK(locateMessagesForLostFlow(136) == smallFleetMessages);
    CHECK(locateMessagesForLostFlow(1000) == smallFleetMessages);
}

// Guards against a reset whose sequence number is that of a packet without an acknowledgement (incident review-4).
TEST_CASE("A caller that gives up while its flow is searched is not reset", "[transit]")
{
    LostFlow fleet(10);
    fleet.sendRequest(fleet.balancers[1], fleet.flow, 2);
    fleet.sendReset(fleet.balancers[1], fleet.flow);
    fleet.run(seconds(1));
    CHECK(fleet.caller(fleet.flow).forgedResets == 0);
    CHECK_FALSE(fleet.caller(fleet.flow).resetAt);
}

TEST_CASE("An agent that has ended does not block the detection of a lost flow", "[transit]")
{
    LostFlow fleet(40);
    Endpoint endedAgent = fleet.otherAgent();

    SECTION("after a graceful shutdown while its target is still registered")
    {
        fleet.stop(endedAgent);
        auto timeToReset = fleet.timeUntilReset();
        REQUIRE(timeToReset);
        CHECK(*timeToReset < milliseconds(100));
    }
    SECTION("after it was killed while its target still runs")
    {
        fleet.kill(endedAgent);
        fleet.run(seconds(1));
        auto timeToReset = fleet.timeUntilReset();
        REQUIRE(timeToReset);
        CHECK(*timeToReset < milliseconds(300));
    }
    SECTION("after its VM was removed following its target's deregistration")
    {
        fleet.restart(endedAgent);
        fleet.removeTarget(fleet.target(endedAgent.address).id);
        fleet.run(milliseconds(300));
        fleet.kill(endedAgent);
        fleet.run(milliseconds(200));
        auto timeToReset = fleet.timeUntilReset();
        REQUIRE(timeToReset);
        CHECK(*timeToReset < milliseconds(300));
    }
    SECTION("and so does an entry of a service that the configuration does not have, beside which no agent runs")
    {
        for (std::uint32_t i = 200; i < 220; ++i)
            fleet.writeTarget(targetRecord(i, "odd" + std::to_string(i), "unknown"));
        fleet.run(seconds(2));
        auto timeToReset = fleet.timeUntilReset();
        REQUIRE(timeToReset);
        CHECK(*timeToReset < milliseconds(100));
    }
    SECTION("when it starts during a query, which must be retried without waiting for the caller's retransmission")
    {
        fleet.restart(endedAgent);
        fleet.run(milliseconds(500));
        fleet.kill(endedAgent);
        fleet.sendRequest(fleet.balancers[1], fleet.flow, 2);
        fleet.run(milliseconds(60));
        fleet.restart(endedAgent);
        fleet.run(milliseconds(140));
        CHECK(fleet.caller(fleet.flow).resetAt);
    }
    SECTION("when both locators of the flow have restarted, all agents are queried")
    {
        TransitLocators locators(fleet.balancer(fleet.balancers[1]).fleet().view());
        for (std::uint32_t locator : locators.of(fleet.flow)) {
            if (locator == fleet.holder)
                continue;
            fleet.restart({ locator, fleetPort });
        }
        auto timeToReset = fleet.timeUntilReset();
        REQUIRE(timeToReset);
        CHECK(*timeToReset < milliseconds(100));
    }
}

TEST_CASE("An open flow is not reset while its holder cannot answer", "[transit]")
{
    Fleet fleet(40);
    FlowTuple flow = flowOf(7);
    std::uint32_t holder = fleet.open(fleet.balancers[0], flow);
    REQUIRE(holder);
    fleet.sendRequest(fleet.balancers[0], flow);
    fleet.run(milliseconds(50));
    Endpoint agent { holder, fleetPort };

    auto sendRequestsMeanwhile = [&] {
        for (std::uint32_t i = 0; i < 8; ++i) {
            fleet.sendRequest(fleet.balancers[1 + i % 2], flow, 2);
            fleet.run(milliseconds(250));
        }
        CHECK_FALSE(fleet.caller(flow).resetAt);
    };

    SECTION("because it was killed and restarts")
    {
        fleet.kill(agent);
        sendRequestsMeanwhile();
        fleet.restart(agent);
        fleet.run(milliseconds(300));
        fleet.sendRequest(fleet.balancers[1], flow, 3);
        fleet.run(milliseconds(300));
        CHECK(fleet.caller(flow).answers == 3);
        CHECK_FALSE(fleet.caller(flow).resetAt);
    }
    SECTION("because it shut down gracefully and restarts")
    {
        fleet.stop(agent);
        sendRequestsMeanwhile();
        fleet.restart(agent);
        fleet.run(milliseconds(300));
        fleet.sendRequest(fleet.balancers[1], flow, 3);
        fleet.run(milliseconds(300));
        CHECK(fleet.caller(flow).answers == 3);
    }
    SECTION("because it is paused")
    {
        fleet.pause(agent);
        sendRequestsMeanwhile();
    }
    SECTION("because it is disconnected, and a locator restarted meanwhile")
    {
        TransitLocators locators(fleet.balancer(fleet.balancers[1]).fleet().view());
        fleet.disconnect(holder);
        fleet.restart({ locators.of(flow).front(), fleetPort });
        sendRequestsMeanwhile();
    }
    SECTION("because it is disconnected, and both locators restarted meanwhile")
    {
        TransitLocators locators(fleet.balancer(fleet.balancers[1]).fleet().view());
        fleet.disconnect(holder);
        for (std::uint32_t locator : locators.of(flow))
            fleet.restart({ locator, fleetPort });
        sendRequestsMeanwhile();
    }
    SECTION("and the flow was opened while its agent was disconnected from the locators")
    {
        FlowTuple newFlow = flowOf(8);
        TransitLocators locators(fleet.balancer(fleet.balancers[1]).fleet().view());
        for (std::uint32_t locator : locators.of(newFlow))
            fleet.disconnect(locator);
        std::uint32_t at = fleet.open(fleet.balancers[0], newFlow);
        REQUIRE(at);
        fleet.sendRequest(fleet.balancers[0], newFlow);
        fleet.run(milliseconds(20));
        for (std::uint32_t locator : locators.of(newFlow))
            fleet.reconnect(locator);
        for (std::uint32_t i = 0; i < 4; ++i) {
            fleet.sendRequest(fleet.balancers[1 + i % 2], newFlow, 2);
            fleet.run(milliseconds(100));
        }
        CHECK_FALSE(fleet.caller(newFlow).resetAt);
        CHECK(fleet.caller(newFlow).answers >= 2);
    }
}

TEST_CASE("A flow opened in a partitioned failure domain is not reset from outside", "[transit]")
{
    TransitSim sim;
    Endpoint outside = sim.addBalancer(1, "a");
    Endpoint inside = sim.addBalancer(2, "b");
    for (std::uint32_t i = 0; i < 30; ++i)
        sim.addAgent(11 + i, "web", i % 3 ? "a" : "b");
    sim.run(seconds(2));
    // Locators outside the domain receive no update for the flow.
    FlowTuple flow = flowOf(1);
    TransitLocators locators(sim.balancer(outside).fleet().view());

    auto openInside = [&] {
        std::uint32_t holder = 0;
        for (std::uint32_t i = 2; !holder || (holder - 11) % 3; ++i) {
            flow = flowOf(i);
            holder = sim.open(inside, flow);
        }
        sim.sendRequest(inside, flow);
        sim.run(milliseconds(100));
        REQUIRE(sim.caller(flow).answers == 1);
    };
    auto sendRequestsOutside = [&] {
        for (int i = 0; i < 4; ++i) {
            sim.sendRequest(outside, flow, 2);
            sim.run(milliseconds(400));
        }
        CHECK_FALSE(sim.caller(flow).resetAt);
    };

    SECTION("while the locators outside have only the inventories from before the partition")
    {
        sim.partitionDomain("b");
        sim.run(milliseconds(800));
        openInside();
        sendRequestsOutside();
        sim.partitionDomain({});
        sim.run(milliseconds(600));
        sim.sendRequest(outside, flow, 3);
        sim.run(milliseconds(300));
        CHECK(sim.caller(flow).answers == 2);
    }
    SECTION("when the agents there shut down gracefully before the partition and restarted in it")
    {
        std::vector<Endpoint> agents;
        for (std::uint32_t i = 0; i < 30; i += 3)
            agents.push_back({ 11 + i, fleetPort });
        for (Endpoint agent : agents)
            sim.stop(agent);
        sim.partitionDomain("b");
        for (Endpoint agent : agents)
            sim.restart(agent);
        sim.run(milliseconds(800));
        openInside();
        sendRequestsOutside();
    }
}

// Guards against a reset of flows that a target accepted before its agent restarted (incident review-2).
TEST_CASE("An agent that restarts beside a target that has not registered yet does not know its flows", "[transit]")
{
    Fleet fleet(3);
    Endpoint agent = fleet.agents[0];
    fleet.setStoreDown(true);
    fleet.run(milliseconds(200));

    // The target restarts, and accepts flows under the registration of its earlier incarnation.
    fleet.restartTarget(agent.address, "again");
    std::vector<FlowTuple> flows;
    for (std::uint32_t i = 1; flows.size() < 3; ++i) {
        if (fleet.open(fleet.balancers[i % 2], flowOf(i)) == agent.address)
            flows.push_back(flowOf(i));
    }
    for (const auto& flow : flows)
        fleet.sendRequest(fleet.balancers[0], flow);
    fleet.run(milliseconds(300));

    auto sendRequestsAfterRegistration = [&] {
        fleet.run(seconds(1));
        fleet.setStoreDown(false);
        fleet.run(milliseconds(5500));
        REQUIRE(fleet.agent(agent).fleet().view().targetAt({ agent.address, targetPort })->record.id == "again");
        for (const auto& flow : flows) {
            fleet.sendRequest(fleet.balancers[0], flow, 2);
            fleet.run(milliseconds(200));
            CHECK_FALSE(fleet.caller(flow).resetAt);
            CHECK(fleet.caller(flow).answers == 2);
        }
    };

    SECTION("when it shuts down and starts again")
    {
        fleet.stop(agent);
        fleet.run(milliseconds(300));
        fleet.restart(agent);
        sendRequestsAfterRegistration();
    }
    SECTION("when it is killed and starts again")
    {
        fleet.kill(agent);
        fleet.run(milliseconds(300));
        fleet.restart(agent);
        sendRequestsAfterRegistration();
    }
    SECTION("when the balancers restart too, so that no process has the flows in a table")
    {
        fleet.stop(agent);
        fleet.restart(agent);
        for (Endpoint balancer : fleet.balancers)
            fleet.restart(balancer);
        sendRequestsAfterRegistration();
    }
}

TEST_CASE("The agent detects that its target's process has ended", "[transit]")
{
    Fleet fleet(40);
    FlowTuple asking = flowOf(1);
    std::uint32_t holder = fleet.open(fleet.balancers[0], asking);
    REQUIRE(holder);
    fleet.target(holder).serviceTime = milliseconds(300);
    fleet.sendRequest(fleet.balancers[0], asking);
    fleet.run(milliseconds(50));

    SECTION("a caller that waits for an answer is reset instead of waiting until its timeout")
    {
        fleet.crashTarget(holder);
        fleet.run(milliseconds(300));
        REQUIRE(fleet.caller(asking).resetAt);
    }
    SECTION("a caller whose flow was idle is reset at its next request")
    {
        FlowTuple idle = flowOf(2);
        for (std::uint32_t i = 2; fleet.open(fleet.balancers[0], flowOf(i)) != holder; ++i)
            idle = flowOf(i + 1);
        fleet.sendRequest(fleet.balancers[0], idle);
        fleet.run(milliseconds(400));
        fleet.crashTarget(holder);
        fleet.run(milliseconds(10));
        fleet.sendRequest(fleet.balancers[0], idle, 2);
        fleet.run(milliseconds(150));
        fleet.sendRequest(fleet.balancers[0], idle, 2); // The retransmission after 200 ms.
        fleet.run(milliseconds(200));
        CHECK(fleet.caller(idle).resetAt);
    }
    SECTION("a registration that arrives after that does not let new flows in, as the process may have ended since")
    {
        fleet.crashTarget(holder);
        fleet.run(milliseconds(300));
        TargetRecord late = targetRecord(holder, "late");
        fleet.writeTarget(late);
        fleet.run(milliseconds(20));
        REQUIRE(fleet.agent({ holder, fleetPort }).fleet().view().targetAt(late.address)->record.id == "late");
        ForwardMessage forward { .replyTo = fleet.balancers[0], .service = "web", .packet = { .flow = flowOf(900) } };
        forward.packet.flags.isOpening = true;
        TransitEffects effects;
        fleet.agent({ holder, fleetPort })
            .onMessage(fleet.balancers[0], { fleet.lastPosition(), forward }, fleet.now(), effects);
        CHECK(std::none_of(effects.begin(), effects.end(),
            [](const auto& effect) { return std::holds_alternative<DeliverToTarget>(effect); }));
    }
    SECTION("the flows of a target that hangs or takes long are not reset")
    {
        fleet.target(holder).isResponding = false;
        fleet.run(seconds(2));
        CHECK_FALSE(fleet.caller(asking).resetAt);
    }
    SECTION("a target that answers is not probed, as each probe is a connection")
    {
        fleet.run(milliseconds(400));
        fleet.target(holder).serviceTime = milliseconds(20);
        std::size_t before = fleet.probes();
        for (std::uint32_t i = 2; i < 20; ++i) {
            fleet.sendRequest(fleet.balancers[0], asking, i);
            fleet.run(milliseconds(100));
        }
        CHECK(fleet.probes() == before);
    }
    SECTION("an agent that ends after its target reports that the target holds no flows")
    {
        // The agent restarted while its target was running, so that it does not know all flows.
        Endpoint other { holder == 11 ? 12U : 11U, fleetPort };
        fleet.restart(other);
        fleet.run(seconds(1));
        fleet.crashTarget(other.address);
        fleet.stop(other);
        FlowTuple lost = flowOf(500);
        std::uint32_t last = fleet.open(fleet.balancers[0], lost);
        REQUIRE(last);
        fleet.sendRequest(fleet.balancers[0], lost);
        fleet.run(milliseconds(400));
        fleet.crashTarget(last);
        fleet.run(milliseconds(10));
        fleet.sendRequest(fleet.balancers[0], lost, 2);
        fleet.run(milliseconds(200));
        fleet.sendRequest(fleet.balancers[0], lost, 2);
        fleet.run(milliseconds(100));
        CHECK(fleet.caller(lost).resetAt);
    }
}

// Guards against a reset that is no reset to the caller of an open flow (incident review-4).
TEST_CASE("An agent resets a flow that it learned with a sequence number that the caller accepts", "[transit]")
{
    Fleet fleet(1);
    Endpoint agent = fleet.agents[0];
    TargetRecord record = targetRecord(agent.address, "t" + std::to_string(agent.address));
    record.slots = 1;
    fleet.writeTarget(record);
    fleet.target(agent.address).slots = 1;
    FlowTuple flow = flowOf(1);
    REQUIRE(fleet.open(fleet.balancers[0], flow));
    fleet.sendRequest(fleet.balancers[0], flow);
    fleet.run(milliseconds(100));

    auto occupyTarget = [&] {
        fleet.target(agent.address).serviceTime = milliseconds(120);
        for (std::uint32_t i = 2; i < 6; ++i)
            fleet.open(fleet.balancers[0], flowOf(i));
        for (std::uint32_t i = 2; i < 6; ++i)
            fleet.sendRequest(fleet.balancers[0], flowOf(i));
        fleet.run(milliseconds(10));
    };
    auto crash = [&] {
        fleet.crashTarget(agent.address);
        fleet.run(milliseconds(600));
        CHECK(fleet.caller(flow).resetAt);
        CHECK(fleet.caller(flow).forgedResets == 0);
    };

    SECTION("when the next request waits at the agent")
    {
        fleet.stop(agent);
        fleet.restart(agent);
        fleet.run(milliseconds(500));
        fleet.sendRequest(fleet.balancers[0], flow, 2);
        fleet.run(milliseconds(100));
        occupyTarget();
        fleet.sendRequest(fleet.balancers[0], flow, 3);
        fleet.run(milliseconds(20));
        crash();
    }
    SECTION("when its request was delivered before the agent restarted")
    {
        fleet.target(agent.address).serviceTime = milliseconds(700);
        fleet.sendRequest(fleet.balancers[0], flow, 2);
        fleet.run(milliseconds(10));
        fleet.kill(agent);
        fleet.restart(agent);
        fleet.run(milliseconds(800));
        REQUIRE(fleet.caller(flow).answers == 2);
        occupyTarget();
        fleet.sendRequest(fleet.balancers[0], flow, 3);
        fleet.run(milliseconds(20));
        crash();
    }
}

TEST_CASE("A flow that several targets answered is located at the one that the caller chose", "[transit]")
{
    Fleet fleet(40);
    fleet.run(seconds(10)); // All processes know each other by then, so that no agent sends a new snapshot.
    FlowTuple flow = flowOf(5);
    std::uint32_t holder = fleet.open(fleet.balancers[0], flow);
    REQUIRE(holder);
    fleet.sendRequest(fleet.balancers[0], flow);
    fleet.run(milliseconds(50));
    // Copies of the opening packet reached other agents late; these send updates to the locators as well.
    for (Endpoint other : { fleet.agents[20], fleet.agents[30], fleet.agents[35] }) {
        if (other.address == holder)
            continue;
        TransitEffects effects;
        ForwardMessage copy { .replyTo = fleet.balancers[1],
            .service = "web",
            .packet = { .flow = flow, .flags = { .isOpening = true }, .acknowledged = 1 } };
        fleet.agent(other).onMessage(fleet.balancers[1], { StorePosition(1), copy }, fleet.now(), effects);
        fleet.applyEffectsFor(other, effects);
        fleet.run(milliseconds(5));
    }
    fleet.restart(fleet.balancers[0]);
    fleet.run(milliseconds(500));
    fleet.sendRequest(fleet.balancers[0], flow, 2);
    fleet.run(milliseconds(300));
    CHECK_FALSE(fleet.caller(flow).resetAt);
    CHECK(fleet.caller(flow).answers == 2);
}

TEST_CASE("A flow that outlives its holder entry at a locator is still located", "[transit]")
{
    Fleet fleet(12);
    FlowTuple flow = flowOf(5);
    std::uint32_t holder = fleet.open(fleet.balancers[0], flow);
    REQUIRE(holder);
    std::uint32_t sequence = 1;
    for (TimePoint end = fleet.now() + holderEntryLifetime + seconds(10); fleet.now() < end;) {
        fleet.sendRequest(fleet.balancers[0], flow, sequence++);
        fleet.run(seconds(5));
    }
    std::size_t answers = fleet.caller(flow).answers;
    fleet.restart(fleet.balancers[0]);
    fleet.run(milliseconds(500));
    fleet.sendRequest(fleet.balancers[0], flow, sequence);
    fleet.run(milliseconds(300));
    CHECK_FALSE(fleet.caller(flow).resetAt);
    CHECK(fleet.caller(flow).answers == answers + 1);
}
