#include "transit_fixture.h"
#include "transit_view_util.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

constexpr Endpoint otherRoute { 0x0a630001, 8443 };

/** Fleet with targets in two failure domains, and a copy of its store. */
struct RestoredFleet : Fleet {
    StoreCopy copy;
    std::uint32_t nextFlow { 100 };

    RestoredFleet()
    {
        for (std::uint32_t i = 21; i < 24; ++i)
            agents.push_back(addAgent(i, "web", "b"));
        run(seconds(1));
        copy = copyStore();
    }

    /** Writes configurations that the copy lacks, which gives out revisions. */
    void writeConfigurations(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            writeRoutes({ routeTo("web"), routeTo("web", otherRoute) });
            run(milliseconds(100));
        }
    }

    /** The store is away for half a second and comes back from the copy. */
    void restore()
    {
        setStoreDown(true);
        run(milliseconds(500));
        restoreStore(copy);
        setStoreDown(false);
    }

    /** @return Number of flows, opened through each balancer, that targets in domain b get. */
    std::size_t flowsInEvacuatedDomain()
    {
        std::size_t count = 0;
        for (std::uint32_t i = 0; i < 30; ++i)
            count += open(balancers[i % 3], flowOf(nextFlow++)) >= 21;
        return count;
    }

    const TransitView& viewOf(Endpoint process)
    {
        bool isAgent = std::find(agents.begin(), agents.end(), process) != agents.end();
        return isAgent ? agent(process).fleet().view() : balancer(process).fleet().view();
    }

    std::size_t mostFullReads() const
    {
        std::size_t most = 0;
        for (const auto& processes : { balancers, agents }) {
            for (Endpoint process : processes)
                most = std::max(most, fullReads(process));
        }
        return most;
    }
};

}

// Guards against a fleet that follows no change and reads the store in a loop (incident review-11).
TEST_CASE("A change after the store came back from a copy is in force", "[transit][fleet][era]")
{
    RestoredFleet fleet;
    REQUIRE(fleet.flowsInEvacuatedDomain() > 0);
    fleet.writeConfigurations(6);
    std::size_t readsBefore = fleet.mostFullReads();
    fleet.restore();
    fleet.run(seconds(1));
    std::size_t callsBefore = fleet.storeCalls();

    SECTION("an evacuation")
    {
        fleet.evacuate("b", true);
        fleet.run(seconds(1));
        CHECK(fleet.flowsInEvacuatedDomain() == 0);

        SECTION("and its end")
        {
            fleet.evacuate("b", false);
            fleet.run(seconds(1));
            CHECK(fleet.flowsInEvacuatedDomain() > 0);
        }
    }
    SECTION("a configuration")
    {
        fleet.writeRoutes({ routeTo("web", otherRoute) });
        fleet.run(seconds(1));
        CHECK_FALSE(fleet.open(fleet.balancers[0], flowOf(1)));
    }
    SECTION("none, with few calls to the store")
    {
        fleet.run(seconds(11));
        CHECK(fleet.storeCalls() - callsBefore < 100);
        CHECK(fleet.mostFullReads() <= readsBefore + 2);
    }
    SECTION("at a process that was paused meanwhile")
    {
        fleet.pause(fleet.balancers[2]);
        fleet.evacuate("b", true);
        fleet.run(seconds(5));
        fleet.resume(fleet.balancers[2]);
        fleet.run(seconds(1));
        CHECK(fleet.balancer(fleet.balancers[2]).fleet().view().through() == fleet.lastPosition());
    }
    SECTION("at a process that starts then")
    {
        fleet.restart(fleet.balancers[1]);
        fleet.evacuate("b", true);
        fleet.run(seconds(1));
        CHECK(fleet.flowsInEvacuatedDomain() == 0);
    }
    SECTION("also when the store comes back from a copy once more")
    {
        fleet.writeConfigurations(3);
        fleet.restore();
        fleet.run(seconds(1));
        fleet.evacuate("b", true);
        fleet.run(seconds(1));
        CHECK(fleet.flowsInEvacuatedDomain() == 0);
    }
}

// Guards against a configuration that is never read, without any sign of it (incident review-12).
TEST_CASE("Changes that give out the lost revisions again are in force", "[transit][fleet][era]")
{
    RestoredFleet fleet;
    REQUIRE(fleet.flowsInEvacuatedDomain() > 0);
    fleet.writeConfigurations(3);
    std::size_t readsBefore = fleet.mostFullReads();
    fleet.setStoreDown(true);
    fleet.run(milliseconds(500));
    fleet.restoreStore(fleet.copy);
    std::size_t callsBefore = fleet.storeCalls();

    SECTION("an evacuation and a dropped route, written before the readers call again")
    {
        fleet.evacuate("b", true);
        fleet.writeRoutes({ routeTo("web") });
        for (int i = 0; i < 4; ++i)
            fleet.writeTarget(targetRecord(11, "t11"));
        fleet.setStoreDown(false);
        fleet.run(seconds(2));
        CHECK(fleet.flowsInEvacuatedDomain() == 0);
        for (const auto& processes : { fleet.balancers, fleet.agents }) {
            for (Endpoint process : processes)
                CHECK_FALSE(fleet.viewOf(process).routeAt(otherRoute));
        }
    }
    SECTION("as many changes as were lost")
    {
        fleet.evacuate("b", true);
        fleet.writeRoutes({ routeTo("web") });
        fleet.writeRoutes({ routeTo("web") });
        REQUIRE(fleet.lastPosition().revision == fleet.viewOf(fleet.balancers[0]).through().revision);
        fleet.setStoreDown(false);
        fleet.run(seconds(2));
        CHECK(fleet.flowsInEvacuatedDomain() == 0);
    }
    fleet.run(seconds(9));
    CHECK(fleet.storeCalls() - callsBefore < 100);
    CHECK(fleet.mostFullReads() <= readsBefore + 2);
}

namespace {

/** Balancer whose calls to the store the test answers. */
struct CalledStore {
    FleetOptions options { .self = { 1, fleetPort }, .role = ProcessRole::Balancer, .incarnation = 3 };
    TransitFleet fleet { options };
    TimePoint now { seconds(10).us };

    /** @return The next call; none if there is none within the time. */
    std::optional<TransitEffect> nextCall(Duration time)
    {
        for (TimePoint end = now + time; now < end; now = now + milliseconds(1)) {
            TransitEffects effects;
            fleet.onTick(now, {}, effects);
            for (auto& effect : effects) {
                if (std::holds_alternative<ReadStore>(effect) || std::holds_alternative<WatchStore>(effect))
                    return effect;
            }
        }
        return std::nullopt;
    }

    template <typename Call> bool isNextCall(Duration time)
    {
        auto call = nextCall(time);
        return call && std::holds_alternative<Call>(*call);
    }

    void answerRead(StorePosition asOf, std::vector<StoreChange> changes, const std::string& nextAfter = {})
    {
        TransitEffects effects;
        fleet.onStorePage(std::move(changes), asOf, nextAfter, now, effects);
    }

    bool answerWatch(StorePosition asOf, const std::vector<StoreChange>& changes)
    {
        TransitEffects effects;
        return fleet.onStoreChanges(changes, asOf, now, effects);
    }
};

}

// Guards against changes that are skipped, or undone, by an answer of another era (incident review-12).
TEST_CASE("An answer of another era than its call is not applied", "[transit][fleet][era]")
{
    constexpr Duration atOnce = milliseconds(5);
    CalledStore store;
    std::vector<StoreChange> content { routes(100, { routeTo("web") }) };
    std::vector<StoreChange> later { EvacuationChange { Revision(118), "b" } };
    REQUIRE(store.isNextCall<ReadStore>(seconds(1)));
    store.answerRead(StorePosition(113, 1), content);
    REQUIRE(store.isNextCall<WatchStore>(atOnce));

    SECTION("a watch that is answered in a new era is followed by a full read at once")
    {
        CHECK_FALSE(store.answerWatch(StorePosition(118, 2), later));
        CHECK(store.fleet.view().through() == StorePosition(113, 1));
        CHECK(store.isNextCall<ReadStore>(atOnce));
        store.answerRead(StorePosition(118, 2), content);
        CHECK(store.fleet.view().through() == StorePosition(118, 2));
        CHECK(store.isNextCall<WatchStore>(atOnce));
    }
    SECTION("and so is a refusal that tells of one, after the wait for refusals")
    {
        TransitEffects effects;
        store.fleet.onStoreFailure(StoreFailure::Refused, StoreEra(2), store.now, effects);
        CHECK_FALSE(store.nextCall(atOnce));
        CHECK(store.isNextCall<ReadStore>(seconds(1)));
    }
    SECTION("a watch that began before the view got the new era from another process is started again")
    {
        TransitView peer;
        peer.applySnapshot(content, StorePosition(105, 2), store.now, store.now);
        TransitEffects effects;
        store.fleet.onDelta({ 2, fleetPort }, { {}, peer.deltaSince(StorePosition(113, 1)) }, store.now, effects);
        REQUIRE(store.fleet.view().through() == StorePosition(105, 2));

        SECTION("when it is answered in that era, whose changes up to the former position it lacks")
        {
            CHECK_FALSE(store.answerWatch(StorePosition(118, 2), later));
        }
        SECTION("when it is answered in the former era")
        {
            CHECK_FALSE(store.answerWatch(StorePosition(118, 1), later));
        }
        CHECK_FALSE(store.fleet.view().isEvacuated("b"));
        auto call = store.nextCall(atOnce);
        REQUIRE(call);
        REQUIRE(std::holds_alternative<WatchStore>(*call));
        CHECK(std::get<WatchStore>(*call).after == StorePosition(105, 2));
        CHECK(store.answerWatch(StorePosition(118, 2), later));
        CHECK(store.fleet.view().isEvacuated("b"));
    }
    SECTION("an answer of a former era has no effect, and the next call waits")
    {
        CHECK_FALSE(store.answerWatch(StorePosition(118, 2), later));
        REQUIRE(store.isNextCall<ReadStore>(atOnce));
        store.answerRead(StorePosition(118, 2), content);
        REQUIRE(store.isNextCall<WatchStore>(atOnce));

        SECTION("a watch") { CHECK_FALSE(store.answerWatch(StorePosition(200, 1), later)); }
        SECTION("a read") { store.answerRead(StorePosition(200, 1), content); }
        CHECK(store.fleet.view().through() == StorePosition(118, 2));
        CHECK_FALSE(store.nextCall(atOnce));
        CHECK(store.nextCall(seconds(1)));
    }
    SECTION("pages of different eras are no read")
    {
        CHECK_FALSE(store.answerWatch(StorePosition(118, 2), later));
        REQUIRE(store.isNextCall<ReadStore>(atOnce));
        store.answerRead(StorePosition(118, 2), content, "target/x");
        store.answerRead(StorePosition(106, 3), {});
        CHECK(store.fleet.view().through() == StorePosition(113, 1));
        REQUIRE(store.isNextCall<ReadStore>(seconds(1)));
        store.answerRead(StorePosition(106, 3), content);
        CHECK(store.fleet.view().through() == StorePosition(106, 3));
    }
}

TEST_CASE("Open flows live on while the store comes back from a copy", "[transit][fleet][era]")
{
    RestoredFleet fleet;
    fleet.addAgent(31); // Its registration is not in the copy.
    fleet.run(seconds(1));
    for (std::uint32_t i = 0; i < 30; ++i)
        REQUIRE(fleet.open(fleet.balancers[i % 3], flowOf(i)));
    fleet.restore();
    fleet.run(seconds(1));
    fleet.writeTarget(targetRecord(31, "t31"));
    fleet.run(seconds(4));
    for (std::uint32_t i = 0; i < 30; ++i)
        fleet.sendRequest(fleet.balancers[(i + 1) % 3], flowOf(i));
    fleet.run(seconds(1));
    for (std::uint32_t i = 0; i < 30; ++i) {
        CHECK_FALSE(fleet.caller(flowOf(i)).resetAt);
        CHECK(fleet.caller(flowOf(i)).answers);
    }
}

// Guards against a loop of reads at a store that has lost revisions and does not tell its era.
TEST_CASE("A store that lost revisions without a new era is not read in a loop", "[transit][fleet][era]")
{
    Fleet fleet;
    Endpoint reader = fleet.balancers[0];
    auto content = fleet.storeContent();
    StorePosition before { 1, 5 };
    TransitEffects effects;
    std::size_t reads = 0;
    TimePoint now = fleet.now();
    for (int i = 0; i < 2000; ++i, now = now + milliseconds(1)) {
        effects.clear();
        fleet.balancer(reader).onTick(now, effects);
        bool isCalled = std::any_of(effects.begin(), effects.end(), [](const auto& effect) {
            return std::holds_alternative<ReadStore>(effect) || std::holds_alternative<WatchStore>(effect);
        });
        if (!isCalled && i)
            continue;
        ++reads;
        TransitEffects ignored;
        fleet.balancer(reader).onStoreFailure(StoreFailure::HistoryGone, {}, now, ignored);
        fleet.balancer(reader).onStorePage(content, { StoreEra(1), Revision(1) }, {}, now, ignored);
    }
    CHECK(reads < 20);
}

// Guards against a view that is taken for confirmed by processes that cannot know its era.
TEST_CASE("Stamps of a former era neither confirm a view nor make it request a delta", "[transit][fleet][era]")
{
    Fleet fleet;
    Endpoint balancer = fleet.balancers[0];
    fleet.setStoreDown(true);
    fleet.run(seconds(3));
    REQUIRE(fleet.balancer(balancer).fleet().viewAge(fleet.now()) >= seconds(1));
    TransitEffects effects;
    StampMessage stamp { .role = ProcessRole::Balancer, .incarnation = 5, .age = Duration {} };
    fleet.balancer(balancer).onMessage(fleet.balancers[1], { StorePosition(1000000), stamp }, fleet.now(), effects);
    CHECK(fleet.balancer(balancer).fleet().viewAge(fleet.now()) >= seconds(1));
    CHECK(std::none_of(effects.begin(), effects.end(), [](const auto& effect) {
        const auto* send = std::get_if<SendMessage>(&effect);
        const auto* sent = send ? std::get_if<StampMessage>(&send->body) : nullptr;
        return sent && sent->wantsReply;
    }));
}
