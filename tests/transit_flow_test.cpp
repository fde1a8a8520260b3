#include "transit_fixture.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

/** A fleet with a new route that the second balancer, which is disconnected, does not know; and a flow of this route.
 */
struct FlowOfNewRoute : Fleet {
    FlowTuple flow { { 0x64000009, 40000 }, { 0x0a630002, 8443 } };

    FlowOfNewRoute()
    {
        disconnect(balancers[1].address);
        writeRoutes({ routeTo("web"), routeTo("web", flow.service) });
        run(milliseconds(200));
    }
};

}

TEST_CASE("A transparent flow is opened at one target and its requests are answered", "[transit]")
{
    Fleet fleet;
    FlowTuple flow = flowOf(1);
    std::uint32_t holder = fleet.open(fleet.balancers[0], flow);
    REQUIRE(holder);
    fleet.sendRequest(fleet.balancers[0], flow);
    fleet.run(milliseconds(50));
    CHECK(fleet.caller(flow).answers == 1);

    SECTION(
        "a balancer that does not know the flow locates its holder, which guards against flows lost with a balancer")
    {
        fleet.kill(fleet.balancers[0]);
        std::size_t before = fleet.messages();
        fleet.sendRequest(fleet.balancers[1], flow, 2);
        fleet.run(milliseconds(40));
        CHECK(fleet.caller(flow).answers == 2);
        CHECK(fleet.balancer(fleet.balancers[1]).holderOf(flow) == Endpoint { holder, fleetPort });
        CHECK(fleet.messages() - before < 20);

        SECTION("and the next balancer locates it after that one is killed too")
        {
            fleet.kill(fleet.balancers[1]);
            fleet.sendRequest(fleet.balancers[2], flow, 3);
            fleet.run(milliseconds(40));
            CHECK(fleet.caller(flow).answers == 3);
            CHECK_FALSE(fleet.caller(flow).resetAt);
        }
    }
    SECTION("a retransmitted opening packet reaches the same target, which guards against a second half-open flow")
    {
        fleet.sendOpen(fleet.balancers[0], flow, 1);
        fleet.run(milliseconds(40));
        std::size_t opened = 0;
        for (Endpoint agent : fleet.agents)
            opened += fleet.target(agent.address).opened.size();
        CHECK(opened == 1);
    }
}

TEST_CASE("An opening packet that a paused balancer forwards late does not replace the open flow", "[transit]")
{
    Fleet fleet;
    FlowTuple flow = flowOf(7);
    // The first opening packet waits in a paused balancer; its retransmission opens the flow through another one.
    fleet.pause(fleet.balancers[0]);
    fleet.sendOpen(fleet.balancers[0], flow);
    std::uint32_t holder = fleet.open(fleet.balancers[1], flow);
    REQUIRE(holder);
    fleet.sendRequest(fleet.balancers[1], flow);
    fleet.run(milliseconds(50));
    // The request raises the load of the holder, so that the late opening packet goes to another target.
    fleet.resume(fleet.balancers[0]);
    fleet.run(milliseconds(100));
    fleet.sendRequest(fleet.balancers[0], flow, 2);
    fleet.run(milliseconds(100));
    CHECK(fleet.caller(flow).answers == 2);
    CHECK_FALSE(fleet.caller(flow).resetAt);
}

TEST_CASE("A flow is reset only when no target holds it", "[transit]")
{
    Fleet fleet;
    FlowTuple flow = flowOf(3);
    std::uint32_t holder = fleet.open(fleet.balancers[0], flow);
    REQUIRE(holder);
    fleet.sendRequest(fleet.balancers[0], flow);
    fleet.run(milliseconds(50));

    SECTION(
        "after a restart of its target the caller gets a reset within 60 ms, which guards against a caller that waits "
        "until its timeout")
    {
        fleet.restartTarget(holder, "new");
        fleet.run(milliseconds(100));
        TimePoint sentAt = fleet.now();
        fleet.sendRequest(fleet.balancers[0], flow, 2);
        fleet.run(milliseconds(200));
        REQUIRE(fleet.caller(flow).resetAt);
        CHECK(*fleet.caller(flow).resetAt - sentAt < milliseconds(60));
    }
    SECTION("after a restart of all agents and targets the reset does not wait for ticks, which guards against a reset "
            "that comes just too late")
    {
        fleet.loseAllFlows();
        TimePoint sentAt = fleet.now();
        fleet.sendRequest(fleet.balancers[0], flow, 2);
        fleet.run(milliseconds(200));
        REQUIRE(fleet.caller(flow).resetAt);
        // Two round trips of 2 ms, to the locators and to all agents, each with a query to the target.
        CHECK((*fleet.caller(flow).resetAt - sentAt).us <= milliseconds(8).us);
    }
    SECTION(
        "a reset by a target that does not hold the flow does not reach the caller, which guards against flows lost "
        "while they are located")
    {
        // A restarted agent forwards packets of unknown flows to its target to learn whether it holds them.
        for (Endpoint agent : fleet.agents) {
            if (agent.address == holder)
                continue;
            fleet.target(agent.address).resetsUnknown = true;
            fleet.restart(agent);
        }
        fleet.kill(fleet.balancers[0]);
        // Sent before the holder's inventory reaches the restarted agents.
        fleet.sendRequest(fleet.balancers[1], flow, 2);
        fleet.run(milliseconds(100));
        CHECK_FALSE(fleet.caller(flow).resetAt);
        CHECK(fleet.caller(flow).answers == 2);
    }
    SECTION(
        "it is not reset while its agent is disconnected, which guards against a reset of a flow that a target holds")
    {
        fleet.kill(fleet.balancers[0]);
        fleet.disconnect(holder);
        fleet.sendRequest(fleet.balancers[1], flow, 2);
        fleet.run(seconds(1));
        CHECK_FALSE(fleet.caller(flow).resetAt);
        fleet.reconnect(holder);
        fleet.run(seconds(2));
        fleet.sendRequest(fleet.balancers[1], flow, 3);
        fleet.run(milliseconds(500));
        CHECK(fleet.caller(flow).answers == 2);
        CHECK_FALSE(fleet.caller(flow).resetAt);
    }
    SECTION("it survives a restart of all agents and balancers while the targets run")
    {
        for (Endpoint balancer : fleet.balancers)
            fleet.restart(balancer);
        for (Endpoint agent : fleet.agents)
            fleet.restart(agent);
        fleet.run(milliseconds(200));
        TimePoint sentAt = fleet.now();
        fleet.sendRequest(fleet.balancers[2], flow, 2);
        fleet.run(milliseconds(100));
        CHECK(fleet.caller(flow).answers == 2);
        CHECK(*fleet.caller(flow).answeredAt - sentAt < milliseconds(90));
        CHECK_FALSE(fleet.caller(flow).resetAt);
    }
}

TEST_CASE("A caller's first packet after opening goes only to the target whose answer it acknowledges", "[transit]")
{
    Fleet fleet;
    FlowTuple flow = flowOf(4);
    std::uint32_t holder = fleet.open(fleet.balancers[0], flow);
    REQUIRE(holder);
    // Another target answers a late copy of the opening packet. Its random sequence number is only 5000 below the first
    // answer's.
    std::uint32_t other = holder == 11 ? 12 : 11;
    TransitEffects effects;
    ForwardMessage copy {
        .replyTo = fleet.balancers[1], .service = "web", .packet = { .flow = flow, .flags = { .isOpening = true } }
    };
    fleet.agent({ other, fleetPort }).onMessage(fleet.balancers[1], { StorePosition(1), copy }, fleet.now(), effects);
    TransitPacket answer { .flow = flow,
        .flags = { .isOpening = true, .hasAcknowledgement = true },
        .sequence = fleet.caller(flow).targetSequence - 5000 };
    fleet.agent({ other, fleetPort }).onPacket(answer, fleet.now(), effects);
    fleet.run(milliseconds(10));

    std::size_t before = fleet.target(other).returned;
    effects.clear();
    TransitPacket first { .flow = flow,
        .flags = { .hasAcknowledgement = true },
        .acknowledged = fleet.caller(flow).targetSequence + 1,
        .dataSize = 1 };
    fleet.agent({ other, fleetPort })
        .onMessage(fleet.balancers[1],
            { StorePosition(1), ForwardMessage { .replyTo = fleet.balancers[1], .packet = first } }, fleet.now(),
            effects);
    // Guards against packets of the flow at a target that the caller did not choose.
    CHECK(std::none_of(effects.begin(), effects.end(),
        [](const auto& effect) { return std::holds_alternative<DeliverToTarget>(effect); }));
    CHECK(fleet.target(other).returned == before);
}

// Guards against resets of flows that another transmission of their opening packet opened (incident review-4).
TEST_CASE("An opening packet that waited in a paused balancer is not refused", "[transit]")
{
    // The balancers are in two failure domains and prefer the targets of their own, so that the late packet goes to
    // another target than its retransmission.
    TransitSim fleet;
    Endpoint paused = fleet.addBalancer(1, "a");
    Endpoint running = fleet.addBalancer(2, "b");
    std::vector<Endpoint> agents;
    for (std::uint32_t i = 11; i < 23; ++i)
        agents.push_back(fleet.addAgent(i, "web", i % 2 ? "a" : "b"));
    fleet.run(seconds(2));
    fleet.pause(paused);
    std::vector<FlowTuple> flows;
    for (std::uint32_t i = 1; i <= 10; ++i)
        flows.push_back(flowOf(i));
    for (const auto& flow : flows)
        fleet.sendOpen(paused, flow);
    fleet.run(milliseconds(200));
    for (const auto& flow : flows) {
        fleet.sendOpen(running, flow, 1);
        fleet.run(milliseconds(10));
        fleet.sendRequest(running, flow);
    }
    for (Endpoint agent : agents) {
        TargetRecord record
            = targetRecord(agent.address, "t" + std::to_string(agent.address), "web", agent.address % 2 ? "a" : "b");
        record.isDraining = true;
        fleet.writeTarget(record);
    }
    fleet.run(milliseconds(50));
    fleet.resume(paused);
    fleet.run(milliseconds(300));
    CHECK(fleet.logLineCount("refusal_withheld") > 0);
    for (const auto& flow : flows) {
        CHECK_FALSE(fleet.caller(flow).resetAt);
        CHECK(fleet.caller(flow).forgedResets == 0);
        fleet.sendRequest(running, flow, 2);
        fleet.run(milliseconds(50));
        CHECK(fleet.caller(flow).answers == 2);
    }

    SECTION("but one that arrives afterwards is refused at once")
    {
        fleet.sendOpen(paused, flowOf(20));
        fleet.run(milliseconds(30));
        CHECK(fleet.caller(flowOf(20)).resetAt);
    }
}

TEST_CASE("A retransmitted opening packet is not refused by a balancer that does not know its route yet", "[transit]")
{
    FlowOfNewRoute fleet;
    FlowTuple flow = fleet.flow;
    REQUIRE(fleet.open(fleet.balancers[0], flow));
    fleet.sendRequest(fleet.balancers[0], flow);
    fleet.run(milliseconds(50));
    fleet.reconnect(fleet.balancers[1].address);
    fleet.sendOpen(fleet.balancers[1], flow, 1);
    CHECK_FALSE(fleet.caller(flow).resetAt);
    CHECK(fleet.caller(flow).forgedResets == 0);
}

TEST_CASE("A balancer with an old view does not reset flows of a new route", "[transit]")
{
    FlowOfNewRoute fleet;
    FlowTuple flow = fleet.flow;
    REQUIRE(fleet.open(fleet.balancers[0], flow));
    fleet.reconnect(fleet.balancers[1].address);
    fleet.sendRequest(fleet.balancers[1], flow);
    fleet.run(milliseconds(60));
    CHECK_FALSE(fleet.caller(flow).resetAt);
    CHECK(fleet.caller(flow).answers == 1);

    SECTION("and flows of a removed route are reset")
    {
        fleet.writeRoutes({ routeTo("web") });
        fleet.run(milliseconds(200));
        fleet.sendRequest(fleet.balancers[1], flow, 2);
        fleet.run(milliseconds(10));
        CHECK(fleet.caller(flow).resetAt);
    }
}

TEST_CASE("The agent decides whether an opening packet is accepted", "[transit]")
{
    Fleet fleet;
    Endpoint agent = fleet.agents[0];

    auto declineReasonFor = [&](const std::string& service) {
        TransitEffects effects;
        ForwardMessage forward { .replyTo = fleet.balancers[0],
            .service = service,
            .packet = { .flow = flowOf(9), .flags = { .isOpening = true } } };
        fleet.agent(agent).onMessage(fleet.balancers[0], { StorePosition(1), forward }, fleet.now(), effects);
        for (auto& effect : effects) {
            auto* send = std::get_if<SendMessage>(&effect);
            if (send && std::get_if<DeclinedMessage>(&send->body))
                return std::get<DeclinedMessage>(send->body).reason;
        }
        return DeclineReason::End;
    };

    SECTION("it accepts one for its service") { CHECK(declineReasonFor("web") == DeclineReason::End); }
    SECTION("it declines one for another service, which guards against a balancer whose view "
            "has the service that used the address before")
    {
        CHECK(declineReasonFor("mail") == DeclineReason::WrongService);
    }
    SECTION("it declines while its target drains")
    {
        TargetRecord record = targetRecord(agent.address, "t11");
        record.isDraining = true;
        fleet.writeTarget(record);
        fleet.run(milliseconds(300));
        CHECK(declineReasonFor("web") == DeclineReason::Draining);
    }
    SECTION("it declines while its failure domain is evacuated, and accepts again afterwards")
    {
        fleet.evacuate("a", true);
        fleet.run(milliseconds(300));
        CHECK(declineReasonFor("web") == DeclineReason::Evacuated);
        fleet.evacuate("a", false);
        fleet.run(milliseconds(300));
        CHECK(declineReasonFor("web") == DeclineReason::End);
    }
    SECTION("it declines during its shutdown")
    {
        TransitEffects effects;
        fleet.agent(agent).onStop(fleet.now(), effects);
        CHECK(declineReasonFor("web") == DeclineReason::Leaving);
    }
}
