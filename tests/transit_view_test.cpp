#include "transit_fleet_base.h"
#include "transit_sim.h"
#include "transit_view_util.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

constexpr TimePoint start = viewStart;

StoreChange target(
    std::uint64_t revision, const std::string& id, std::uint32_t address = 11, std::uint64_t startedAt = 1)
{
    TargetRecord record = targetRecord(address, id);
    record.startedAt = startedAt;
    return TargetChange { Revision(revision), record };
}

StoreChange removal(std::uint64_t revision, const std::string& id) { return TargetRemoval { Revision(revision), id }; }

}

TEST_CASE("The revision of a key in a view never decreases", "[transit][view]")
{
    TransitView view;
    view.applySnapshot({ routes(5, { routeTo("web") }), target(4, "one") }, StorePosition(6), start, start);
    REQUIRE(view.routeAt(routeAddress));
    REQUIRE(view.targetsOf("web").size() == 1);

    SECTION("an older value of a key is ignored, which guards against a configuration that reverts")
    {
        view.applyChanges({ routes(8, { routeTo("mail") }) }, StorePosition(8), start, start);
        view.applyChanges({ routes(7, { routeTo("web") }) }, StorePosition(7), start, start);
        CHECK(view.routeAt(routeAddress)->shares.front().service == "mail");
        CHECK(view.through() == StorePosition(8));
    }
    SECTION("a route that is missing from a new configuration is removed")
    {
        view.applyChanges({ routes(8, {}) }, StorePosition(8), start, start);
        CHECK_FALSE(view.routeAt(routeAddress));
    }
    SECTION("an unchanged route keeps its revision, so that a change of one route gives a small delta")
    {
        RouteRecord second = routeTo("mail", { 1, 2 });
        view.applyChanges({ routes(9, { routeTo("web"), second }) }, StorePosition(9), start, start);
        CHECK(view.routePositionAt(routeAddress) == StorePosition(5));
        CHECK(view.deltaSince(StorePosition(6)).items.size() == 1);
    }
    SECTION("of two incarnations at one address the newer is used, whatever their order in the store")
    {
        view.applyChanges({ target(7, "two", 11, 9), target(8, "one", 11, 1) }, StorePosition(8), start, start);
        CHECK(view.targetAt({ 11, targetPort })->record.id == "two");
        CHECK(view.targetsOf("web").size() == 1);
    }
    SECTION("a target whose registration expired while the store was unreachable stays in use until the time to "
            "register again is over")
    {
        view.applyChanges({ removal(7, "one") }, StorePosition(7), start, start + reregistrationTime);
        view.expire(start + reregistrationTime - milliseconds(1));
        CHECK(view.targetsOf("web").size() == 1);
        view.expire(start + reregistrationTime);
        CHECK(view.targetsOf("web").empty());
    }
    SECTION("a target that is removed while the store is reachable is dropped at once")
    {
        view.applyChanges({ removal(7, "one") }, StorePosition(7), start, start);
        view.expire(start);
        CHECK(view.targetsOf("web").empty());
    }
    SECTION("a full read removes what the store no longer contains")
    {
        view.applySnapshot({ routes(5, { routeTo("web") }) }, StorePosition(9), start, start);
        view.expire(start);
        CHECK(view.targetsOf("web").empty());
        CHECK(view.routeAt(routeAddress));
    }
    SECTION("a delta brings another view to the same state")
    {
        TransitView other;
        other.applyDelta(view.deltaSince(other.through()), start);
        REQUIRE(other.through() == view.through());
        view.applyChanges({ target(7, "two", 12), removal(8, "one"), routes(9, { routeTo("mail") }) }, StorePosition(9),
            start, start);
        other.applyDelta(view.deltaSince(other.through()), start);
        other.expire(start);
        view.expire(start);
        CHECK(other.routeAt(routeAddress)->shares.front().service == "mail");
        CHECK(other.targets().size() == view.targets().size());

        SECTION("also when the sender has no tombstones, by the hashes of all keys and without all items")
        {
            TransitView late;
            late.applySnapshot({ routes(9, { routeTo("mail") }), target(7, "two", 12), target(11, "three", 13) },
                StorePosition(11), start, start);
            other.applyChanges({ target(10, "gone", 14) }, StorePosition(10), start, start);
            ViewDelta delta = late.deltaSince(other.through());
            CHECK(delta.hasKeys);
            CHECK(delta.items.size() == 1);
            other.applyDelta(delta, start);
            other.expire(start);
            CHECK(other.targets().size() == 2);
            CHECK_FALSE(other.targetAt({ 14, targetPort }));
        }
    }
    SECTION("a delta that starts above the revision of the view is ignored, which guards against missed changes")
    {
        ViewDelta delta {
            .since = StorePosition(8), .through = StorePosition(9), .hasKeys = false, .keys = {}, .items = {}
        };
        CHECK(view.applyDelta(delta, start) == DeltaOutcome::Ignored);
        CHECK(view.through() == StorePosition(6));
    }
}

TEST_CASE("Views that skipped different configurations converge to the same routes", "[transit][view]")
{
    RouteRecord reAdded = routeTo("web", { 1, 2 });
    // One process received every configuration, another only the first and the last. In between, a route was removed
    // and added again.
    TransitView all;
    TransitView some;
    all.applySnapshot({ routes(5, { routeTo("web"), reAdded }) }, StorePosition(5), start, start);
    some.applySnapshot({ routes(5, { routeTo("web"), reAdded }) }, StorePosition(5), start, start);
    all.applyChanges({ routes(6, { routeTo("web") }) }, StorePosition(6), start, start);
    some.applyChanges({ routes(7, { routeTo("web"), reAdded }) }, StorePosition(7), start, start);
    REQUIRE_FALSE(all.routeAt({ 1, 2 }));

    // Guards against a process that has the newest revision but never gets the route back.
    CHECK(all.applyDelta(some.deltaSince(all.through()), start) == DeltaOutcome::Mismatch);
    CHECK(all.applyDelta(some.deltaSince(StorePosition()), start) == DeltaOutcome::Applied);
    CHECK(all.routeAt({ 1, 2 }));
    CHECK(all.digest() == some.digest());

    SECTION("and so does a third view that is updated from one of them")
    {
        TransitView third;
        third.applySnapshot({ routes(6, { routeTo("web") }) }, StorePosition(6), start, start);
        CHECK(third.applyDelta(all.deltaSince(third.through()), start) == DeltaOutcome::Applied);
        CHECK(third.routeAt({ 1, 2 }));
    }
}

TEST_CASE("Views that exchange deltas in any order converge to the same state", "[transit][view]")
{
    REQUIRE(rc::check("views converge", [] {
        // Content of the store. `source` watches every change; the others get deltas or do full reads at random.
        std::map<std::string, StoreChange> store;
        std::vector<StoreChange> all;
        TransitView source;
        source.applySnapshot({}, StorePosition(1), start, start);
        std::vector<TransitView> others(3);
        std::uint64_t revision = 1;
        auto write = [&](const std::string& key, StoreChange change, bool isRemoved) {
            source.applyChanges({ change }, StorePosition(revision), start, start);
            if (isRemoved)
                store.erase(key);
            else
                store[key] = std::move(change);
        };
        auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 4)));
        for (auto [kind, which] : steps) {
            std::string id = "t" + std::to_string(which);
            ++revision;
            if (kind < 2) {
                write(id, target(revision, id, static_cast<std::uint32_t>(20 + which), revision), false);
            } else if (kind == 2) {
                write(id, removal(revision, id), true);
            } else if (kind < 5) {
                std::vector<RouteRecord> list(static_cast<std::size_t>(which % 2), routeTo("web", { 1, 2 }));
                write("configuration", routes(revision, list), false);
            } else if (kind == 5) {
                all.clear();
                for (const auto& [key, change] : store)
                    all.push_back(change);
                others[static_cast<std::size_t>(which) % 3].applySnapshot(all, StorePosition(revision), start, start);
                source.applyChanges({}, StorePosition(revision), start, start);
            } else {
                TransitView& from = which == 3 ? source : others[static_cast<std::size_t>(which)];
                TransitView& to = others[static_cast<std::size_t>(kind) % 3];
                if (&from != &to)
                    pullDelta(to, from);
            }
        }
        source.applyChanges({}, StorePosition(++revision), start, start);
        source.expire(start);
        for (auto& other : others) {
            pullDelta(other, source);
            other.expire(start);
            RC_ASSERT(other.digest() == source.digest());
            RC_ASSERT(other.through() == source.through());
            RC_ASSERT(other.targets().size() == source.targets().size());
            for (const auto& [address, targetEntry] : source.targets())
                RC_ASSERT(other.targetAt(address)->record == targetEntry.record);
        }
    }));
}

TEST_CASE("A change reaches every process", "[transit][fleet]")
{
    TransitSim sim;
    std::vector<Endpoint> all;
    for (std::uint32_t i = 1; i <= 4; ++i)
        all.push_back(sim.addBalancer(i));
    for (std::uint32_t i = 11; i <= 16; ++i)
        all.push_back(sim.addAgent(i));
    sim.run(seconds(3));

    auto countProcessesWith = [&](const std::string& service) {
        std::size_t count = 0;
        for (Endpoint process : all) {
            const TransitFleet& fleet
                = process.address < 10 ? sim.balancer(process).fleet() : sim.agent(process).fleet();
            const RouteRecord* route = fleet.view().routeAt(routeAddress);
            count += route && route->shares.front().service == service;
        }
        return count;
    };

    SECTION("within 100 ms, while two processes read the store")
    {
        std::size_t before = sim.storeCalls();
        sim.run(seconds(15));
        // Two readers with watches of 1.5 s for 15 s make 20 calls.
        CHECK(sim.storeCalls() - before <= 22);
        sim.writeRoutes({ routeTo("mail") });
        sim.run(milliseconds(100));
        CHECK(countProcessesWith("mail") == all.size());
    }
    SECTION("after the readers failed, which guards against a change that no process reads")
    {
        for (Endpoint process : std::vector(all.begin(), all.begin() + 4)) {
            if (sim.balancer(process).fleet().isPermanentReader(sim.now()))
                sim.disconnect(process.address);
        }
        sim.writeRoutes({ routeTo("mail") });
        sim.run(milliseconds(2900));
        CHECK(countProcessesWith("mail") >= all.size() - 2);
    }
    SECTION("and a process that starts while the store is down gets the view from other processes")
    {
        sim.setStoreDown(true);
        sim.run(seconds(1));
        Endpoint late = sim.addBalancer(9);
        sim.run(milliseconds(300));
        CHECK(sim.balancer(late).isReady());
        CHECK(sim.balancer(late).fleet().view().targets().size() == 6);
    }
    SECTION("and targets whose registrations expired while the store was down are retained for two seconds after it "
            "recovers")
    {
        sim.setStoreDown(true);
        sim.run(seconds(1));
        sim.removeTarget("t11");
        sim.setStoreDown(false);
        sim.run(milliseconds(1000));
        CHECK(sim.balancer(all[0]).fleet().view().targets().size() == 6);
        sim.run(milliseconds(2500));
        CHECK(sim.balancer(all[0]).fleet().view().targets().size() == 5);
    }
}

TEST_CASE("Registrations that expire in an outage of the store are retained, whatever its phase", "[transit][fleet]")
{
    // Guards against a process that begins to read in place of the usual readers just as the store is back. None of its
    // own calls has failed.
    for (std::int64_t phase = 0; phase < 80; ++phase) {
        TransitSim sim;
        Endpoint balancer = sim.addBalancer(1);
        for (std::uint32_t i = 2; i <= 4; ++i)
            sim.addBalancer(i);
        for (std::uint32_t i = 11; i <= 16; ++i)
            sim.addAgent(i);
        sim.run(seconds(3) + milliseconds(35 * phase));
        sim.setStoreDown(true);
        sim.run(seconds(1) + milliseconds(13 * (phase % 40)));
        sim.removeTarget("t11");
        sim.setStoreDown(false);
        INFO("phase " << phase);
        sim.run(milliseconds(1000));
        CHECK(sim.balancer(balancer).fleet().view().targets().size() == 6);
        sim.run(milliseconds(2500));
        CHECK(sim.balancer(balancer).fleet().view().targets().size() == 5);
    }
}

TEST_CASE("In a large fleet each gossip round reaches only some of the processes", "[transit][fleet]")
{
    TransitSim sim;
    std::vector<Endpoint> balancers;
    for (std::uint32_t i = 1; i <= 12; ++i)
        balancers.push_back(sim.addBalancer(i));
    for (std::uint32_t i = 101; i <= 160; ++i)
        sim.addAgent(i);
    sim.run(seconds(6));
    std::size_t callsBefore = sim.storeCalls();
    std::size_t messagesBefore = sim.messages();
    sim.run(seconds(10));

    SECTION("few processes read the store, which guards against member lifetimes that are too short for the size")
    {
        CHECK(sim.storeCalls() - callsBefore <= 40);
    }
    SECTION("each process sends a bounded number of messages")
    {
        // Each process sends twelve stamps per half second and occasional load reports or replies; each agent also
        // sends four inventory heartbeats per second to each of two locators.
        CHECK(sim.messages() - messagesBefore <= 72 * (12 * 20 + 40) + 60 * 2 * 4 * 10);
    }
    SECTION("a change reaches every balancer within a second")
    {
        sim.writeRoutes({ routeTo("mail") });
        sim.run(seconds(1));
        for (Endpoint balancer : balancers)
            CHECK(sim.balancer(balancer).fleet().view().routeAt(routeAddress)->shares.front().service == "mail");
    }
}

TEST_CASE("In a large fleet most stamps stay within the sender's failure domain", "[transit][fleet]")
{
    TransitSim sim;
    std::vector<Endpoint> all;
    for (std::uint32_t i = 0; i < 20; ++i)
        all.push_back(sim.addBalancer(1 + i, "d" + std::to_string(i % 5)));
    for (std::uint32_t i = 0; i < 100; ++i)
        all.push_back(sim.addAgent(101 + i, "web", "d" + std::to_string(i % 5)));
    sim.run(seconds(6));
    std::size_t crossDomainBefore = sim.crossDomainStamps();
    sim.run(seconds(10));

    SECTION("which guards against stamps that saturate the links between failure domains")
    {
        // Each process sends three stamps to other failure domains per half second; 10% is margin.
        CHECK(sim.crossDomainStamps() - crossDomainBefore <= 120 * 3 * 20 * 11 / 10);
    }
    SECTION("and a change still reaches every balancer within a second")
    {
        sim.writeRoutes({ routeTo("mail") });
        sim.run(seconds(1));
        for (std::size_t i = 0; i < 20; ++i)
            CHECK(sim.balancer(all[i]).fleet().view().routeAt(routeAddress)->shares.front().service == "mail");
    }
    SECTION("and few processes read the store")
    {
        std::size_t before = sim.storeCalls();
        sim.run(seconds(10));
        CHECK(sim.storeCalls() - before <= 40);
    }
    SECTION("and agents that start get the view from other processes, which guards against a full read by each agent")
    {
        std::size_t before = sim.storeCalls();
        for (std::size_t i = 20; i < 60; ++i)
            sim.restart(all[i]);
        sim.run(milliseconds(100));
        for (std::size_t i = 20; i < 60; ++i)
            CHECK(sim.agent(all[i]).isReady());
        CHECK(sim.storeCalls() - before <= 4);
    }
    SECTION("also when all processes start at once and none has a view")
    {
        std::size_t before = sim.storeCalls();
        for (Endpoint process : all)
            sim.restart(process);
        sim.run(milliseconds(100));
        for (std::size_t i = 20; i < 120; ++i)
            CHECK(sim.agent(all[i]).isReady());
        // Each of the 20 balancers reads and then watches: before they know each other, all rank among the first two.
        CHECK(sim.storeCalls() - before <= 2 * 20 + 4);
    }
    SECTION("and agents read the store themselves when no balancer does")
    {
        for (std::size_t i = 0; i < 20; ++i)
            sim.kill(all[i]);
        for (std::size_t i = 20; i < 120; ++i)
            sim.restart(all[i]);
        sim.run(milliseconds(600));
        for (std::size_t i = 20; i < 120; ++i)
            CHECK(sim.agent(all[i]).isReady());
    }
}
