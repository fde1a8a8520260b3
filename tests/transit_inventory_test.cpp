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
    InventoryFixture pair;
    CHECK(pair.status(flowOf(1)) == HolderStatus::Unknown);
    CHECK_FALSE(pair.deliver(pair.streams.snapshots({ flowOf(1) }, whole, pair.at)));
    CHECK(pair.status(flowOf(2)) == HolderStatus::RuledOut);
    CHECK(pair.records.holdersOf(flowOf(1)) == std::vector { sender });

    SECTION("a lost update is detected by the next one and leads to a new snapshot")
    {
        pair.streams.announce(flowOf(3), whole, pair.at);
        CHECK(pair.deliver(pair.streams.announce(flowOf(4), whole, pair.at)));
        CHECK(pair.status(flowOf(3)) == HolderStatus::Unknown);
        pair.streams.restart(pair.locator);
        CHECK_FALSE(pair.deliver(pair.streams.snapshots({ flowOf(1), flowOf(3), flowOf(4) }, whole, pair.at)));
        CHECK(pair.records.holdersOf(flowOf(3)) == std::vector { sender });
        CHECK(pair.status(flowOf(5)) == HolderStatus::RuledOut);
    }
    SECTION("a lost update is detected by the next heartbeat, so that no flow stays unknown to its locators")
    {
        pair.streams.announce(flowOf(3), whole, pair.at);
        pair.at = pair.at + unackedHeartbeatInterval;
        CHECK(pair.deliver(pair.streams.heartbeats(whole, pair.at)));
        CHECK(pair.status(flowOf(3)) == HolderStatus::Unknown);
    }
    SECTION("a snapshot whose beginning was lost does not count as complete")
    {
        pair.streams.restart(pair.locator);
        pair.streams.snapshots({ flowOf(1), flowOf(6) }, whole, pair.at);
        pair.at = pair.at + unackedHeartbeatInterval;
        CHECK(pair.deliver(pair.streams.heartbeats(whole, pair.at)));
        CHECK(pair.status(flowOf(6)) == HolderStatus::Unknown);
    }
    SECTION("duplicate updates and updates of a replaced stream have no effect")
    {
        auto late = pair.streams.announce(flowOf(3), whole, pair.at);
        pair.deliver(late);
        CHECK_FALSE(pair.deliver(late));
        pair.streams.restart(pair.locator);
        pair.deliver(pair.streams.snapshots({ flowOf(1), flowOf(3) }, whole, pair.at));
        CHECK_FALSE(pair.deliver(late));
        CHECK(pair.status(flowOf(5)) == HolderStatus::RuledOut);
    }
    SECTION("an agent that started after its target has unknown status until it knows all flows")
    {
        pair.records.onAgentRestart(sender, 6);
        CHECK(pair.status(flowOf(2)) == HolderStatus::Unknown);
        InventoryStreams restarted(6);
        restarted.assign(pair.locators, pair.locator == 11 ? 12 : 11);
        pair.deliver(restarted.snapshots({}, { .isRegistered = true }, pair.at));
        CHECK(pair.status(flowOf(2)) == HolderStatus::Unknown);
        pair.at = pair.at + seconds(1);
        pair.deliver(restarted.heartbeats(whole, pair.at));
        CHECK(pair.status(flowOf(2)) == HolderStatus::RuledOut);
    }
    SECTION("a silent agent is stale after its lease expires, as others may still reach it")
    {
        pair.at = pair.at + inventoryLease;
        CHECK(pair.status(flowOf(2)) == HolderStatus::Stale);
    }
    SECTION("the final state of an agent that ended is valid until another process starts there")
    {
        InventoryState last = whole;
        last.isFinal = true;
        pair.deliver(pair.streams.heartbeatAll(last, pair.at));
        pair.at = pair.at + seconds(20);
        CHECK(pair.status(flowOf(2)) == HolderStatus::RuledOut);
        pair.records.onAgentRestart(sender, 6);
        CHECK(pair.status(flowOf(2)) == HolderStatus::Unknown);
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
        const auto& pair = locators.of(flowOf(i));
        REQUIRE(pair.size() == 2);
        CHECK(((pair[0] - 11) % 4 == 0) != ((pair[1] - 11) % 4 == 0));
    }
}
