#include "transit_sim.h"
#include "transit_view_util.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

constexpr TimePoint start = viewStart;
constexpr Endpoint otherRoute { 0x0a630001, 8443 };

StoreChange configuration(std::uint64_t revision, std::uint64_t version, const std::vector<RouteRecord>& list)
{
    return ConfigurationChange { Revision(revision), list, { { .name = "web" }, { .name = "mail" } }, version };
}

StoreChange target(std::uint64_t revision, TargetRecord record) { return TargetChange { Revision(revision), record }; }

StoreChange evacuation(std::uint64_t revision) { return EvacuationChange { Revision(revision), "a" }; }

const std::vector<RouteRecord> oneRoute { routeTo("web") };
const std::vector<RouteRecord> twoRoutes { routeTo("web"), routeTo("web", otherRoute) };

/** View that is complete up to revision 113 of era 1, and what a copy from revision 105 lacks of it. */
struct KnownView {
    TransitView view;
    TargetRecord record { targetRecord(11, "t11") };

    void knowUntil(std::uint64_t revision, const std::vector<StoreChange>& changes)
    {
        view.applySnapshot(
            { configuration(100, 5, oneRoute), target(101, record) }, StorePosition(105, 1), start, start);
        view.applyChanges(changes, StorePosition(revision, 1), start, start);
    }

    /** Reads the copy in era 2, as a process itself does or as it gets it from another one. */
    void readCopy(const std::vector<StoreChange>& content, bool isFromPeer, TimePoint now = start)
    {
        if (!isFromPeer) {
            view.applySnapshot(content, StorePosition(105, 2), now, now);
            return;
        }
        TransitView peer;
        peer.applySnapshot(content, StorePosition(105, 2), now, now);
        if (view.applyDelta(peer.deltaSince(view.through()), now) == DeltaOutcome::Mismatch)
            view.applyDelta(peer.deltaSince(StorePosition()), now);
    }
};

}

// Guards against a route or service that is taken back, as the copy has an older configuration.
TEST_CASE("A configuration of a copy does not replace a newer one", "[transit][view][era]")
{
    bool isFromPeer = GENERATE(false, true);
    KnownView known;
    known.knowUntil(113, { configuration(110, 7, twoRoutes) });
    known.readCopy({ configuration(100, 5, oneRoute), target(101, known.record) }, isFromPeer);
    TransitView& view = known.view;
    REQUIRE(view.through() == StorePosition(105, 2));
    CHECK(view.routeAt(otherRoute));
    CHECK(view.keptConfigurationVersion() == 7);

    SECTION("nor does one between them that is written again")
    {
        view.applyChanges({ configuration(106, 6, oneRoute) }, StorePosition(106, 2), start, start);
        CHECK(view.routeAt(otherRoute));
    }
    SECTION("and it is known of the new era when it is written again")
    {
        view.applyChanges({ configuration(106, 7, twoRoutes) }, StorePosition(106, 2), start, start);
        CHECK(view.routeAt(otherRoute));
        CHECK(view.keptConfigurationVersion() == 0);

        SECTION("so that a change to it counts by its revision")
        {
            view.applyChanges({ configuration(107, 8, oneRoute) }, StorePosition(107, 2), start, start);
            CHECK_FALSE(view.routeAt(otherRoute));
        }
    }
    SECTION("a newer one does")
    {
        view.applyChanges({ configuration(106, 8, oneRoute) }, StorePosition(106, 2), start, start);
        CHECK_FALSE(view.routeAt(otherRoute));
    }
    SECTION("and a process that has only the copy's gets it from another one")
    {
        TransitView started;
        started.applySnapshot(
            { configuration(100, 5, oneRoute), target(101, known.record) }, StorePosition(105, 2), start, start);
        REQUIRE_FALSE(started.routeAt(otherRoute));
        started.applyDelta(view.deltaSince(StorePosition()), start);
        CHECK(started.routeAt(otherRoute));
        CHECK(started.configuration() == view.configuration());
        view.applyDelta(started.deltaSince(StorePosition()), start);
        CHECK(view.routeAt(otherRoute));
    }
}

// Guards against new flows to a failure domain that is about to lose power, as the copy lacks its evacuation.
TEST_CASE("An evacuation that a copy lacks stays in force until it can have been written again", "[transit][view][era]")
{
    bool isFromPeer = GENERATE(false, true);
    KnownView known;
    known.knowUntil(113, { evacuation(110) });
    known.readCopy({ configuration(100, 5, oneRoute), target(101, known.record) }, isFromPeer);
    TransitView& view = known.view;
    REQUIRE(view.through() == StorePosition(105, 2));
    CHECK(view.isEvacuated("a"));
    CHECK(view.retainedCount() == 1);

    SECTION("and no longer")
    {
        view.expire(start + evacuationRetention - milliseconds(1));
        CHECK(view.isEvacuated("a"));
        view.expire(start + evacuationRetention);
        CHECK_FALSE(view.isEvacuated("a"));
    }
    SECTION("it is written again, and ends as any other")
    {
        view.applyChanges({ evacuation(106) }, StorePosition(106, 2), start, start);
        view.expire(start + evacuationRetention * 2);
        CHECK(view.isEvacuated("a"));
        view.applyChanges({ EvacuationEnd { Revision(107), "a" } }, StorePosition(107, 2), start, start);
        CHECK_FALSE(view.isEvacuated("a"));
    }
    SECTION("also at a process that gets the view from this one")
    {
        TransitView started;
        pullDelta(started, view);
        CHECK(started.isEvacuated("a"));
    }
    SECTION("also when the store comes back from a copy again")
    {
        TimePoint later = start + seconds(3);
        view.applySnapshot({ configuration(100, 5, oneRoute) }, StorePosition(105, 3), later, later);
        CHECK(view.isEvacuated("a"));
        view.expire(start + evacuationRetention);
        CHECK_FALSE(view.isEvacuated("a"));
    }
}

TEST_CASE("An evacuation that a copy still has is in force", "[transit][view][era]")
{
    KnownView known;
    known.knowUntil(113, { evacuation(106), EvacuationEnd { Revision(110), "a" } });
    known.readCopy({ configuration(100, 5, oneRoute), evacuation(104) }, false);
    CHECK(known.view.isEvacuated("a"));
}

// Guards against new flows to a target that is about to leave, or to one that has lost its flows.
TEST_CASE("What is known of a target's lifetime outlasts a copy", "[transit][view][era]")
{
    bool isFromPeer = GENERATE(false, true);
    KnownView known;
    TransitView& view = known.view;
    Endpoint address = known.record.address;
    StoreChange unchanged = configuration(100, 5, oneRoute);

    SECTION("that it drains")
    {
        TargetRecord draining = known.record;
        draining.isDraining = true;
        known.knowUntil(113, { target(110, draining) });
        known.readCopy({ unchanged, target(101, known.record) }, isFromPeer);
        CHECK(view.targetAt(address)->record.isDraining);

        SECTION("also when the store comes back from that copy again")
        {
            view.applySnapshot({ unchanged, target(101, known.record) }, StorePosition(105, 3), start, start);
            CHECK(view.targetAt(address)->record.isDraining);
        }
        SECTION("until it writes something else")
        {
            view.applyChanges({ target(106, known.record) }, StorePosition(106, 2), start, start);
            CHECK_FALSE(view.targetAt(address)->record.isDraining);
        }
    }
    SECTION("that it drains, at a process that gets an older value from one that retained it")
    {
        TargetRecord draining = known.record;
        draining.isDraining = true;
        known.knowUntil(113, { target(110, draining) });
        TransitView peer;
        peer.applySnapshot({ unchanged, target(101, known.record) }, StorePosition(105, 1), start, start);
        peer.applySnapshot({ unchanged }, StorePosition(100, 2), start, start);
        REQUIRE_FALSE(peer.targetAt(address)->record.isDraining);
        view.applyDelta(peer.deltaSince(view.through()), start);
        REQUIRE(view.through() == StorePosition(100, 2));
        CHECK(view.targetAt(address)->record.isDraining);
    }
    SECTION("but not that it is there, if it was removed in the new era")
    {
        TransitView peer;
        peer.applySnapshot({ unchanged, target(101, known.record) }, StorePosition(105, 1), start, start);
        peer.applySnapshot({ unchanged }, StorePosition(106, 2), start, start);
        REQUIRE(peer.targetAt(address));
        view.applySnapshot({ unchanged, target(101, known.record) }, StorePosition(105, 2), start, start);
        pullDelta(view, peer);
        view.expire(start);
        REQUIRE(view.through() == StorePosition(106, 2));
        CHECK_FALSE(view.targetAt(address));
    }
    SECTION("but not that it drained before it wrote what the copy has")
    {
        TargetRecord draining = known.record;
        draining.isDraining = true;
        known.knowUntil(105, {});
        view.applyChanges({ target(102, draining) }, StorePosition(105, 1), start, start);
        known.readCopy({ unchanged, target(104, known.record) }, isFromPeer);
        CHECK_FALSE(view.targetAt(address)->record.isDraining);
    }
    SECTION("that it has started again")
    {
        TargetRecord restarted = known.record;
        restarted.startedAt += 1000;
        known.knowUntil(113, { target(110, restarted) });
        known.readCopy({ unchanged, target(101, known.record) }, isFromPeer);
        CHECK(view.targetAt(address)->record.startedAt == restarted.startedAt);
    }
    SECTION("that it is warm")
    {
        known.record.coldLeft = seconds(2);
        known.knowUntil(113, {});
        known.readCopy({ unchanged, target(101, known.record) }, isFromPeer, start + seconds(5));
        CHECK(view.targetAt(address)->record.coldLeft == Duration {});
    }
    SECTION("that another target has its address now")
    {
        TargetRecord other = targetRecord(11, "t12", "mail");
        other.startedAt = known.record.startedAt + 1000;
        known.knowUntil(113, { TargetRemoval { Revision(109), "t11" }, target(110, other) });
        known.readCopy({ unchanged, target(101, known.record) }, isFromPeer);
        CHECK(view.targetAt(address)->record.id == "t12");
        view.applyChanges({ target(106, other) }, StorePosition(106, 2), start, start);
        CHECK(view.targetAt(address)->record.id == "t12");
    }
    SECTION("that it is registered, until it can have registered again")
    {
        TargetRecord late = targetRecord(12, "t12");
        known.knowUntil(113, { target(110, late) });
        known.readCopy({ unchanged, target(101, known.record) }, isFromPeer);
        CHECK(view.targetsOf("web").size() == 2);
        view.expire(start + reregistrationTime);
        CHECK(view.targetsOf("web").size() == 1);
    }
}

// Guards against a process of a former era that brings back what the others have left behind.
TEST_CASE("A view of a former era neither replaces nor confirms one of a later era", "[transit][view][era]")
{
    TransitView former;
    TransitView later;
    for (TransitView* view : { &former, &later })
        view->applySnapshot({ configuration(100, 5, oneRoute), evacuation(102) }, StorePosition(105, 1), start, start);
    former.applyChanges({ configuration(150, 6, twoRoutes) }, StorePosition(200, 1), start, start);
    later.applySnapshot({ configuration(104, 7, oneRoute) }, StorePosition(106, 2), start, start);
    later.expire(start + evacuationRetention);

    CHECK(later.applyDelta(former.deltaSince(StorePosition(105, 1)), start) == DeltaOutcome::Ignored);
    CHECK(later.applyDelta(former.deltaSince(StorePosition()), start) == DeltaOutcome::Ignored);
    later.applySnapshot({ configuration(150, 6, twoRoutes) }, StorePosition(200, 1), start, start);
    CHECK(later.through() == StorePosition(106, 2));
    CHECK_FALSE(later.routeAt(otherRoute));
    CHECK_FALSE(later.isEvacuated("a"));

    SECTION("and follows it")
    {
        CHECK(former.applyDelta(later.deltaSince(former.through()), start) == DeltaOutcome::Applied);
        CHECK(former.through() == later.through());
        CHECK_FALSE(former.routeAt(otherRoute));
    }
}
