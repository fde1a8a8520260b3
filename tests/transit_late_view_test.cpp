#include "transit_fixture.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

constexpr TimePoint start { seconds(50).us };
constexpr Endpoint stableAddress { 0x0a630001, 8443 };

StoreChange target(std::uint64_t revision, std::uint32_t address)
{
    return TargetChange { Revision(revision), targetRecord(address, "t" + std::to_string(address)) };
}

StoreChange routes(std::uint64_t revision, const std::vector<RouteRecord>& list)
{
    return ConfigurationChange { Revision(revision), list, {} };
}

const std::vector<RouteRecord> bothRoutes { routeTo("web"), routeTo("web", stableAddress) };
const std::vector<RouteRecord> stableRoute { routeTo("web", stableAddress) };

/** Updates a view from another as processes do: by a delta, and by a full delta when their digests differ. */
void pullDelta(TransitView& to, const TransitView& from)
{
    if (to.applyDelta(from.deltaSince(to.through()), start) == DeltaOutcome::Mismatch)
        to.applyDelta(from.deltaSince(Revision()), start);
}

}

// Guards against a route in force that the whole fleet refuses (incident review-1).
TEST_CASE("An answer of the store that arrives late reverts nothing in a view", "[transit][view]")
{
    // Version 6 dropped a route and version 7 restored it. The view got version 7 from a process that never had version
    // 6, so that the unchanged route has the revision of version 5 in both.
    TransitView view;
    TransitView peer;
    for (TransitView* each : { &view, &peer })
        each->applySnapshot({ routes(5, bothRoutes), target(4, 11) }, Revision(5), start, start);
    peer.applySnapshot({ routes(7, bothRoutes), target(4, 11) }, Revision(7), start, start);
    pullDelta(view, peer);
    REQUIRE(view.through() == Revision(7));
    REQUIRE(view.routeAt(routeAddress));

    SECTION("a full read from before version 7")
    {
        view.applySnapshot({ routes(6, stableRoute), target(4, 11) }, Revision(6), start, start);
        CHECK(view.routeAt(routeAddress));
        CHECK(view.through() == Revision(7));

        SECTION("and no other process gets that from it")
        {
            view.applyChanges({ target(8, 12) }, Revision(8), start, start);
            pullDelta(peer, view);
            CHECK(peer.through() == Revision(8));
            CHECK(peer.routeAt(routeAddress));
        }
    }
    SECTION("a watch that returns version 6")
    {
        view.applyChanges({ routes(6, stableRoute) }, Revision(6), start, start);
        CHECK(view.routeAt(routeAddress));
    }
    SECTION("a full read that lacks a target that has registered since")
    {
        view.applyChanges({ target(8, 12) }, Revision(8), start, start);
        view.applySnapshot({ routes(7, bothRoutes) }, Revision(7), start, start);
        view.expire(start);
        CHECK(view.targetsOf("web").size() == 2);
    }
    SECTION("a full read with a target that has left since, of which a process that started later has no tombstone")
    {
        peer.applyChanges({ TargetRemoval { Revision(8), "t11" } }, Revision(8), start, start);
        peer.expire(start);
        TransitView started;
        pullDelta(started, peer);
        started.applySnapshot({ routes(7, bothRoutes), target(4, 11) }, Revision(7), start, start);
        CHECK(started.targetsOf("web").empty());

        SECTION("also from a watch")
        {
            started.applyChanges({ target(4, 11) }, Revision(7), start, start);
            CHECK(started.targetsOf("web").empty());
        }
    }
    SECTION("a full read with an evacuation that has ended since")
    {
        peer.applyChanges({ EvacuationEnd { Revision(9), "a" } }, Revision(9), start, start);
        TransitView started;
        pullDelta(started, peer);
        started.applySnapshot(
            { routes(7, bothRoutes), EvacuationChange { Revision(8), "a" } }, Revision(8), start, start);
        CHECK_FALSE(started.isEvacuated("a"));
    }
    SECTION("but what its later pages have beyond the view is taken over")
    {
        view.applySnapshot({ routes(9, stableRoute), target(10, 12) }, Revision(6), start, start);
        CHECK_FALSE(view.routeAt(routeAddress));
        CHECK(view.targetsOf("web").size() == 2);
        CHECK(view.through() == Revision(7));

        SECTION("and stays, though a process without it sends a newer view")
        {
            peer.applyChanges({ target(8, 13) }, Revision(8), start, start);
            pullDelta(view, peer);
            CHECK_FALSE(view.routeAt(routeAddress));
            CHECK(view.routeAt(stableAddress));
        }
    }
}

// Guards against a process without any route after an item of the store could not be decoded.
TEST_CASE("A full read without a configuration leaves the last one in force", "[transit][view]")
{
    TransitView view;
    view.applySnapshot({ routes(5, bothRoutes), target(4, 11) }, Revision(5), start, start);
    view.applySnapshot({ target(4, 11) }, Revision(9), start, start);
    CHECK(view.routeAt(routeAddress));
    CHECK(view.through() == Revision(9));
}

// Guards against a process that spreads a configuration that it has only in part.
TEST_CASE("A view that differs from its sender's does not pass itself on as complete", "[transit][view]")
{
    TransitView all;
    TransitView some;
    for (TransitView* view : { &all, &some })
        view->applySnapshot({ routes(5, bothRoutes) }, Revision(5), start, start);
    all.applyChanges({ routes(6, stableRoute) }, Revision(6), start, start);
    some.applyChanges({ routes(7, bothRoutes) }, Revision(7), start, start);
    REQUIRE(all.applyDelta(some.deltaSince(all.through()), start) == DeltaOutcome::Mismatch);

    TransitView third;
    third.applySnapshot({ routes(6, stableRoute) }, Revision(6), start, start);
    pullDelta(third, all);
    pullDelta(third, some);
    CHECK(third.through() == Revision(7));
    CHECK(third.routeAt(routeAddress));
}

TEST_CASE("A balancer that reads the store late serves the routes in force", "[transit][fleet]")
{
    Fleet fleet;
    Endpoint reader = fleet.balancers[0];
    fleet.writeRoutes(bothRoutes);
    fleet.run(milliseconds(100));
    // The store discards its history, so that no process gets the version without the route from a watch.
    fleet.setStoreDown(true);
    fleet.run(milliseconds(10));
    fleet.writeRoutes(stableRoute);
    Revision dropped = fleet.lastRevision();
    auto stale = fleet.storeContent();
    fleet.writeRoutes(bothRoutes);
    TransitEffects effects;
    for (Endpoint balancer : fleet.balancers) {
        fleet.balancer(balancer).onStoreFailure(StoreFailure::HistoryGone, fleet.now(), effects);
        fleet.applyEffectsFor(balancer, effects);
        effects.clear();
    }
    fleet.setStoreDown(false);
    fleet.run(seconds(1));
    REQUIRE(fleet.balancer(reader).fleet().view().through() == fleet.lastRevision());
    REQUIRE(fleet.balancer(reader).fleet().view().routeAt(routeAddress));

    fleet.balancer(reader).onStorePage(stale, dropped, {}, fleet.now(), effects);
    fleet.applyEffectsFor(reader, effects);
    CHECK(fleet.open(reader, flowOf(1)));

    SECTION("and so do the others after the next change")
    {
        fleet.addAgent(20);
        fleet.run(seconds(1));
        for (std::uint32_t i = 0; i < 3; ++i)
            CHECK(fleet.open(fleet.balancers[i], flowOf(10 + i)));
    }
    SECTION("and flows that move to it are not reset")
    {
        fleet.open(fleet.balancers[1], flowOf(2));
        fleet.sendRequest(reader, flowOf(2));
        fleet.run(milliseconds(100));
        CHECK_FALSE(fleet.caller(flowOf(2)).resetAt);
        CHECK(fleet.caller(flowOf(2)).answers);
    }
}

// Guards against a process that takes an outdated view for confirmed, so that no other process reads the store.
TEST_CASE("An answer of the store from before the view's revision does not confirm the view", "[transit][fleet]")
{
    Fleet fleet;
    Endpoint reader = fleet.balancers[0];
    Revision before = fleet.lastRevision();
    auto stale = fleet.storeContent();
    fleet.writeRoutes(bothRoutes);
    fleet.run(milliseconds(100));
    fleet.setStoreDown(true);
    fleet.run(seconds(3));
    REQUIRE(fleet.balancer(reader).fleet().viewAge(fleet.now()) >= seconds(1));
    TransitEffects effects;
    fleet.balancer(reader).onStorePage(stale, before, {}, fleet.now(), effects);
    CHECK(fleet.balancer(reader).fleet().viewAge(fleet.now()) >= seconds(1));
}
