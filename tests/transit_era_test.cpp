#include "transit_fixture.h"
#include "transit_view_util.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

constexpr TimePoint start = viewStart;
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

namespace {

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
