#include "transit_fixture.h"

#include "table/transit_limits.h"
#include "transit_inventory_base.h"

#include <catch2/catch.hpp>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

constexpr Endpoint sender { 11, fleetPort }; ///< The agent that sends its inventory.
constexpr InventoryState whole { .isComplete = true, .isFinal = false, .isRegistered = true };

/** An agent's streams to the locators of a small fleet, and the records of one locator. */
struct InventoryFixture : Fleet {
    TransitLocators locators { balancer(balancers[0]).fleet().view() };
    std::uint32_t locator { locators.of(flowOf(1)).front() };
    InventoryStreams streams { 5 };
    InventoryRecords records;
    TimePoint at { seconds(50).us };

    InventoryFixture()
        : Fleet(12)
    {
        streams.assign(locators, locator == 11 ? 12 : 11);
    }

    /** Delivers the messages for the locator. @return Whether the locator requests a snapshot. */
    bool deliver(const InventoryMessages& messages)
    {
        bool isResyncRequested = false;
        for (const auto& message : messages) {
            if (message.locator == locator)
                isResyncRequested
                    |= std::holds_alternative<InventoryResyncMessage>(records.apply(sender, message.body, at));
        }
        return isResyncRequested;
    }

    HolderStatus status(const FlowTuple& flow) const { return records.statusOf(sender, flow, at); }
};

}

TEST_CASE("A locator rules out an agent only while it has the agent's whole inventory", "[transit]")
{
    InventoryFixture fixture;
    CHECK(fixture.status(flowOf(1)) == HolderStatus::Unknown);
    CHECK_FALSE(fixture.deliver(fixture.streams.snapshots({ flowOf(1) }, whole, fixture.at)));
    CHECK(fixture.status(flowOf(2)) == HolderStatus::RuledOut);
    CHECK(fixture.records.holdersOf(flowOf(1)) == std::vector { sender });

    SECTION("a lost update is detected by the next one and leads to a new snapshot")
    {
        fixture.streams.announce(flowOf(3), whole, fixture.at);
        CHECK(fixture.deliver(fixture.streams.announce(flowOf(4), whole, fixture.at)));
        CHECK(fixture.status(flowOf(3)) == HolderStatus::Unknown);
        fixture.streams.restart(fixture.locator);
        CHECK_FALSE(fixture.deliver(fixture.streams.snapshots({ flowOf(1), flowOf(3), flowOf(4) }, whole, fixture.at)));
        CHECK(fixture.records.holdersOf(flowOf(3)) == std::vector { sender });
        CHECK(fixture.status(flowOf(5)) == HolderStatus::RuledOut);
    }
    SECTION("a lost update is detected by the next heartbeat, so that no flow stays unknown to its locators")
    {
        fixture.streams.announce(flowOf(3), whole, fixture.at);
        fixture.at = fixture.at + unackedHeartbeatInterval;
        CHECK(fixture.deliver(fixture.streams.heartbeats(whole, fixture.at)));
        CHECK(fixture.status(flowOf(3)) == HolderStatus::Unknown);
    }
    SECTION("a snapshot whose beginning was lost does not count as complete")
    {
        fixture.streams.restart(fixture.locator);
        fixture.streams.snapshots({ flowOf(1), flowOf(6) }, whole, fixture.at);
        fixture.at = fixture.at + unackedHeartbeatInterval;
        CHECK(fixture.deliver(fixture.streams.heartbeats(whole, fixture.at)));
        CHECK(fixture.status(flowOf(6)) == HolderStatus::Unknown);
    }
    SECTION("duplicate updates and updates of a replaced stream have no effect")
    {
        auto late = fixture.streams.announce(flowOf(3), whole, fixture.at);
        fixture.deliver(late);
        CHECK_FALSE(fixture.deliver(late));
        fixture.streams.restart(fixture.locator);
        fixture.deliver(fixture.streams.snapshots({ flowOf(1), flowOf(3) }, whole, fixture.at));
        CHECK_FALSE(fixture.deliver(late));
        CHECK(fixture.status(flowOf(5)) == HolderStatus::RuledOut);
    }
    SECTION("an agent that started after its target has unknown status until it knows all flows")
    {
        fixture.records.onAgentRestart(sender, 6);
        CHECK(fixture.status(flowOf(2)) == HolderStatus::Unknown);
        InventoryStreams restarted(6);
        restarted.assign(fixture.locators, fixture.locator == 11 ? 12 : 11);
        fixture.deliver(restarted.snapshots({}, { .isRegistered = true }, fixture.at));
        CHECK(fixture.status(flowOf(2)) == HolderStatus::Unknown);
        fixture.at = fixture.at + seconds(1);
        fixture.deliver(restarted.heartbeats(whole, fixture.at));
        CHECK(fixture.status(flowOf(2)) == HolderStatus::RuledOut);
    }
    SECTION("a silent agent is stale after its lease expires, as others may still reach it")
    {
        fixture.at = fixture.at + inventoryLease;
        CHECK(fixture.status(flowOf(2)) == HolderStatus::Stale);
    }
    SECTION("the final state of an agent that ended is valid until another process starts there")
    {
        InventoryState last = whole;
        last.isFinal = true;
        fixture.deliver(fixture.streams.heartbeatAll(last, fixture.at));
        fixture.at = fixture.at + seconds(20);
        CHECK(fixture.status(flowOf(2)) == HolderStatus::RuledOut);
        fixture.records.onAgentRestart(sender, 6);
        CHECK(fixture.status(flowOf(2)) == HolderStatus::Unknown);
    }
}

TEST_CASE("Locators of a shard are in different failure domains", "[transit]")
{
    TransitSim sim;
    Endpoint balancer = sim.addBalancer(1);
    for (std::uint32_t i = 0; i < 40; ++i)
        sim.addAgent(11 + i, "web", i % 4 ? "a" : "b");
    sim.run(seconds(2));
    TransitLocators locators(sim.balancer(balancer).fleet().view());
    for (std::uint32_t i = 0; i < 50; ++i) {
        const auto& fixture = locators.of(flowOf(i));
        REQUIRE(fixture.size() == 2);
        CHECK(((fixture[0] - 11) % 4 == 0) != ((fixture[1] - 11) % 4 == 0));
    }
}
