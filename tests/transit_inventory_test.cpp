#include "transit_fixture.h"

#include "table/transit_limits.h"
#include "transit_inventory_base.h"

#include <catch2/catch.hpp>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

constexpr Endpoint sender { 11, fleetPort }; ///< The agent whose notes are sent.
constexpr InventoryState whole { .isWhole = true, .isFinal = false, .isRegistered = true };

/** An agent's streams to the locators of a small fleet, and the records of one of these. */
struct Pair : Fleet {
    TransitLocators locators { balancer(balancers[0]).fleet().view() };
    std::uint32_t locator { locators.of(flowOf(1)).front() };
    InventoryStreams streams { 5 };
    InventoryRecords records;
    TimePoint at { seconds(50).us };

    Pair()
        : Fleet(12)
    {
        streams.assign(locators, locator == 11 ? 12 : 11);
    }

    /** Delivers what is for the locator; returns whether it asks for all notes. */
    bool deliver(const InventoryMessages& messages)
    {
        bool isResyncRequested = false;
        for (const auto& message : messages) {
            if (message.locator == locator)
                isResyncRequested
                    |= std::holds_alternative<RepeatNotesMessage>(records.apply(sender, message.body, at));
        }
        return isResyncRequested;
    }

    HolderStatus status(const FlowTuple& flow) const { return records.statusOf(sender, flow, at); }
};

}

TEST_CASE("A locator vouches for an agent while it has all its notes", "[transit]")
{
    Pair pair;
    CHECK(pair.status(flowOf(1)) == HolderStatus::Unknown);
    CHECK_FALSE(pair.deliver(pair.streams.snapshots({ flowOf(1) }, whole, pair.at)));
    CHECK(pair.status(flowOf(2)) == HolderStatus::RuledOut);
    CHECK(pair.records.holdersOf(flowOf(1)) == std::vector { sender });

    SECTION("a note that was lost is noticed by the next one, and all is told again")
    {
        pair.streams.announce(flowOf(3), whole, pair.at);
        CHECK(pair.deliver(pair.streams.announce(flowOf(4), whole, pair.at)));
        CHECK(pair.status(flowOf(3)) == HolderStatus::Unknown);
        pair.streams.restart(pair.locator);
        CHECK_FALSE(pair.deliver(pair.streams.snapshots({ flowOf(1), flowOf(3), flowOf(4) }, whole, pair.at)));
        CHECK(pair.records.holdersOf(flowOf(3)) == std::vector { sender });
        CHECK(pair.status(flowOf(5)) == HolderStatus::RuledOut);
    }
    SECTION("or by the confirmation that follows it, which guards against a flow that nobody knows")
    {
        pair.streams.announce(flowOf(3), whole, pair.at);
        pair.at = pair.at + unackedHeartbeatInterval;
        CHECK(pair.deliver(pair.streams.heartbeats(whole, pair.at)));
        CHECK(pair.status(flowOf(3)) == HolderStatus::Unknown);
    }
    SECTION("a list whose beginning was lost is not taken for a whole one")
    {
        pair.streams.restart(pair.locator);
        pair.streams.snapshots({ flowOf(1), flowOf(6) }, whole, pair.at);
        pair.at = pair.at + unackedHeartbeatInterval;
        CHECK(pair.deliver(pair.streams.heartbeats(whole, pair.at)));
        CHECK(pair.status(flowOf(6)) == HolderStatus::Unknown);
    }
    SECTION("notes that arrive twice, or after a newer stream began, change nothing")
    {
        auto late = pair.streams.announce(flowOf(3), whole, pair.at);
        pair.deliver(late);
        CHECK_FALSE(pair.deliver(late));
        pair.streams.restart(pair.locator);
        pair.deliver(pair.streams.snapshots({ flowOf(1), flowOf(3) }, whole, pair.at));
        CHECK_FALSE(pair.deliver(late));
        CHECK(pair.status(flowOf(5)) == HolderStatus::RuledOut);
    }
    SECTION("an agent that started beside its target is doubted until it knows all flows")
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
    SECTION("an agent that falls silent is certain no longer, as others may still reach it")
    {
        pair.at = pair.at + inventoryLease;
        CHECK(pair.status(flowOf(2)) == HolderStatus::Stale);
    }
    SECTION("but the word of one that ended stands until another process starts there")
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
