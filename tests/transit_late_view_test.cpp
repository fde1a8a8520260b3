#include "transit_fixture.h"
#include "transit_view_util.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

constexpr TimePoint start = viewStart;
constexpr Endpoint stableAddress { 0x0a630001, 8443 };

StoreChange target(std::uint64_t revision, std::uint32_t address)
{
    return TargetChange { Revision(revision), targetRecord(address, "t" + std::to_string(address)) };
}

const std::vector<RouteRecord> bothRoutes { routeTo("web"), routeTo("web", stableAddress) };
const std::vector<RouteRecord> stableRoute { routeTo("web", stableAddress) };

}

// Guards against a route in force that the whole fleet refuses (incident review-1).
TEST_CASE("An answer of the store that arrives late reverts nothing in a view", "[transit][view]")
{
    // Version 6 dropped a route and version 7 restored it. The view got version 7 from a process that never had version
    // 6, so that the unchanged route has the revision of version 5 in both.
    TransitView view;
    TransitView peer;
    for (TransitView* each : { &view, &peer })
        each->applySnapshot({ routes(5, bothRoutes), target(4, 11) }, StorePosition(5), start, start);
    peer.applySnapshot({ routes(7, bothRoutes), target(4, 11) }, StorePosition(7), start, start);
    pullDelta(view, peer);
    REQUIRE(view.through() == StorePosition(7));
    REQUIRE(view.routeAt(routeAddress));

    SECTION("a full read from before version 7")
    {
        view.applySnapshot({ routes(6, stableRoute), target(4, 11) }, StorePosition(6), start, start);
        CHECK(view.routeAt(routeAddress));
        CHECK(view.through() == StorePosition(7));

        SECTION("and no other process gets that from it")
        {
            view.applyChanges({ target(8, 12) }, StorePosition(8), start, start);
            pullDelta(peer, view);
            CHECK(peer.through() == StorePosition(8));
            CHECK(peer.routeAt(routeAddress));
        }
    }
    SECTION("a watch that returns version 6")
    {
        view.applyChanges({ routes(6, stableRoute) }, StorePosition(6), start, start);
        CHECK(view.routeAt(routeAddress));
    }
    SECTION("a full read that lacks a target that has registered since")
    {
        view.applyChanges({ target(8, 12) }, StorePosition(8), start, start);
        view.applySnapshot({ routes(7, bothRoutes) }, StorePosition(7), start, start);
        view.expire(start);
        CHECK(view.targetsOf("web").size() == 2);
    }
    SECTION("a full read with a target that has left since, of which a process that started later has no tombstone")
    {
        peer.applyChanges({ TargetRemoval { Revision(8), "t11" } }, StorePosition(8), start, start);
        peer.expire(start);
        TransitView started;
        pullDelta(started, peer);
        started.applySnapshot({ routes(7, bothRoutes), target(4, 11) }, StorePosition(7), start, start);
        CHECK(started.targetsOf("web").empty());

        SECTION("also from a watch")
        {
            started.applyChanges({ target(4, 11) }, StorePosition(7), start, start);
            CHECK(started.targetsOf("web").empty());
        }
    }
    SECTION("a full read with an evacuation that has ended since")
    {
        peer.applyChanges({ EvacuationEnd { Revision(9), "a" } }, StorePosition(9), start, start);
        TransitView started;
        pullDelta(started, peer);
        started.applySnapshot(
            { routes(7, bothRoutes), EvacuationChange { Revision(8), "a" } }, StorePosition(8), start, start);
        CHECK_FALSE(started.isEvacuated("a"));
    }
    SECTION("but what its later pages have beyond the view is taken over")
    {
        view.applySnapshot({ routes(9, stableRoute), target(10, 12) }, StorePosition(6), start, start);
        CHECK_FALSE(view.routeAt(routeAddress));
        CHECK(view.targetsOf("web").size() == 2);
        CHECK(view.through() == StorePosition(7));

        SECTION("and stays, though a process without it sends a newer view")
        {
            peer.applyChanges({ target(8, 13) }, StorePosition(8), start, start);
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
    view.applySnapshot({ routes(5, bothRoutes), target(4, 11) }, StorePosition(5), start, start);
    view.applySnapshot({ target(4, 11) }, StorePosition(9), start, start);
    CHECK(view.routeAt(routeAddress));
    CHECK(view.through() == StorePosition(9));
}

// Guards against a process that spreads a configuration that it has only in part.
TEST_CASE("A view that differs from its sender's does not pass itself on as complete", "[transit][view]")
{
    TransitView all;
    TransitView some;
    for (TransitView* view : { &all, &some })
        view->applySnapshot({ routes(5, bothRoutes) }, StorePosition(5), start, start);
    all.applyChanges({ routes(6, stableRoute) }, StorePosition(6), start, start);
    some.applyChanges({ routes(7, bothRoutes) }, StorePosition(7), start, start);
    REQUIRE(all.applyDelta(some.deltaSince(all.through()), start) == DeltaOutcome::Mismatch);

    TransitView third;
    third.applySnapshot({ routes(6, stableRoute) }, StorePosition(6), start, start);
    pullDelta(third, all);
    pullDelta(third, some);
    CHECK(third.through() == StorePosition(7));
    CHECK(third.routeAt(routeAddress));
}

// Guards against a target that has left and stays in use, as no process that knows of it is told.
TEST_CASE(
    "A target that registered and left between two full reads of one process leaves the others", "[transit][view]")
{
    TransitView watching;
    TransitView reading;
    for (TransitView* view : { &watching, &reading })
        view->applySnapshot({ routes(5, bothRoutes) }, StorePosition(5), start, start);
    watching.applyChanges({ target(6, 11) }, StorePosition(6), start, start);

    SECTION("when they get the view from it")
    {
        reading.applySnapshot({ routes(5, bothRoutes) }, StorePosition(8), start, start);
        pullDelta(watching, reading);
    }
    SECTION("when they get it from a process that got it from there")
    {
        reading.applySnapshot({ routes(5, bothRoutes) }, StorePosition(8), start, start);
        TransitView between;
        between.applySnapshot({ routes(5, bothRoutes) }, StorePosition(5), start, start);
        pullDelta(between, reading);
        pullDelta(watching, between);
    }
    watching.expire(start);
    CHECK(watching.through() == StorePosition(8));
    CHECK(watching.targetsOf("web").empty());
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
    StorePosition dropped = fleet.lastPosition();
    auto stale = fleet.storeContent();
    fleet.writeRoutes(bothRoutes);
    TransitEffects effects;
    for (Endpoint balancer : fleet.balancers) {
        fleet.balancer(balancer).onStoreFailure(StoreFailure::HistoryGone, {}, fleet.now(), effects);
        fleet.applyEffectsFor(balancer, effects);
        effects.clear();
    }
    fleet.setStoreDown(false);
    fleet.run(seconds(1));
    REQUIRE(fleet.balancer(reader).fleet().view().through() == fleet.lastPosition());
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
    StorePosition before = fleet.lastPosition();
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

// Guards against a process that repeats an unreadable watch and no longer follows the store.
TEST_CASE("A process whose watch is unreadable reads the store in full", "[transit][fleet]")
{
    Fleet fleet;
    Endpoint reader = *std::find_if(fleet.balancers.begin(), fleet.balancers.end(),
        [&](Endpoint each) { return fleet.balancer(each).fleet().isPermanentReader(fleet.now()); });
    TransitEffects effects;
    fleet.balancer(reader).onStoreFailure(StoreFailure::Invalid, {}, fleet.now(), effects);
    for (int i = 0; i < 100; ++i)
        fleet.balancer(reader).onTick(fleet.now() + tickInterval * i, effects);
    auto isCall = [](const auto& effect) {
        return std::holds_alternative<ReadStore>(effect) || std::holds_alternative<WatchStore>(effect);
    };
    auto call = std::find_if(effects.begin(), effects.end(), isCall);
    REQUIRE(call != effects.end());
    CHECK(std::holds_alternative<ReadStore>(*call));
}

namespace {

/** Store with its whole history, and answers of it that have not arrived yet. */
struct StoreModel {
    struct State {
        std::uint64_t version {}; ///< Revision of the configuration.
        bool hasRoute {};
        std::map<std::string, StoreChange> targets;
        std::set<std::string> evacuated;
    };
    struct Answer {
        std::size_t receiver {};
        bool isRead {};
        std::uint64_t asOf {};
        std::vector<StoreChange> changes;
    };

    std::uint64_t revision { 1 };
    std::map<std::uint64_t, State> states { { 1, State {} } };
    std::vector<std::pair<std::uint64_t, StoreChange>> history;
    std::vector<Answer> answers;

    void write(StoreChange change, State state)
    {
        history.emplace_back(revision, std::move(change));
        states[revision] = std::move(state);
    }

    StoreChange configuration(std::uint64_t version, bool hasRoute) const
    {
        RouteRecord marked = routeTo("web", stableAddress); // The timeout shows which version a view has.
        marked.timeout = milliseconds(static_cast<std::int64_t>(version));
        return routes(version, hasRoute ? std::vector { marked, routeTo("web") } : std::vector { marked });
    }

    void change(int kind, int which)
    {
        State state = states.at(revision);
        ++revision;
        std::string name = "t" + std::to_string(20 + which);
        if (kind < 3) {
            state.version = revision;
            state.hasRoute = which % 2;
            write(configuration(revision, state.hasRoute), state);
        } else if (kind == 3) {
            state.targets[name] = target(revision, static_cast<std::uint32_t>(20 + which));
            write(state.targets[name], state);
        } else if (kind == 4) {
            state.targets.erase(name);
            write(TargetRemoval { Revision(revision), name }, state);
        } else if (state.evacuated.insert(name).second) {
            write(EvacuationChange { Revision(revision), name }, state);
        } else {
            state.evacuated.erase(name);
            write(EvacuationEnd { Revision(revision), name }, state);
        }
    }

    /** The content is as of now, whatever revision the read began at, as the pages of a read are no snapshot. */
    Answer read(std::size_t receiver, std::uint64_t begunAt) const
    {
        const State& state = states.at(revision);
        Answer answer { .receiver = receiver, .isRead = true, .asOf = begunAt, .changes = {} };
        if (state.version)
            answer.changes.push_back(configuration(state.version, state.hasRoute));
        for (const auto& [id, change] : state.targets)
            answer.changes.push_back(change);
        for (const auto& domain : state.evacuated) {
            auto written = std::find_if(history.rbegin(), history.rend(), [&](const auto& entry) {
                auto* evacuation = std::get_if<EvacuationChange>(&entry.second);
                return evacuation && evacuation->failureDomain == domain;
            });
            answer.changes.push_back(written->second);
        }
        return answer;
    }

    Answer watch(std::size_t receiver, Revision after) const
    {
        Answer answer { .receiver = receiver, .isRead = false, .asOf = revision, .changes = {} };
        for (const auto& [at, change] : history) {
            if (at > after.value)
                answer.changes.push_back(change);
        }
        return answer;
    }
};

std::uint64_t versionIn(const TransitView& view)
{
    const RouteRecord* marked = view.routeAt(stableAddress);
    return marked ? static_cast<std::uint64_t>(marked->timeout.us / 1000) : 0;
}

/** Checks that a view has one whole version of the configuration. */
void checkConfiguration(const StoreModel& store, const TransitView& view)
{
    std::uint64_t version = versionIn(view);
    const StoreModel::State& state = store.states.at(std::max<std::uint64_t>(version, 1));
    RC_ASSERT(state.version == version);
    RC_ASSERT((view.routeAt(routeAddress) != nullptr) == state.hasRoute);
}

/** Checks that a view is the state of the store at its revision. */
void checkState(const StoreModel& store, const TransitView& view)
{
    if (!view.through())
        return;
    const StoreModel::State& state = store.states.at(view.through().revision.value);
    RC_ASSERT(versionIn(view) == state.version);
    RC_ASSERT(view.targets().size() == state.targets.size());
    for (int i = 20; i < 23; ++i)
        RC_ASSERT(view.isEvacuated("t" + std::to_string(i)) == state.evacuated.contains("t" + std::to_string(i)));
}

void runLateAnswers(bool arePagesSnapshots)
{
    StoreModel store;
    std::vector<TransitView> views(3);
    std::uint64_t begunAt = 1;
    auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 14), rc::gen::inRange(0, 3), rc::gen::inRange(0, 8)));
    for (auto [kind, which, other] : steps) {
        auto index = static_cast<std::size_t>(which);
        TransitView& view = views[index];
        std::uint64_t version = versionIn(view);
        StorePosition through = view.through();
        if (kind < 6) {
            store.change(kind, which);
        } else if (kind == 6) {
            begunAt = store.revision;
        } else if (kind < 9) {
            store.answers.push_back(store.read(index, arePagesSnapshots ? store.revision : begunAt));
        } else if (kind == 9 && through) {
            store.answers.push_back(store.watch(index, through.revision));
        } else if (kind < 12 && !store.answers.empty()) {
            const auto& answer = store.answers[static_cast<std::size_t>(other) % store.answers.size()];
            TransitView& receiver = views[answer.receiver];
            version = versionIn(receiver);
            if (answer.isRead)
                receiver.applySnapshot(answer.changes, StorePosition(answer.asOf), start, start);
            else
                receiver.applyChanges(answer.changes, StorePosition(answer.asOf), start, start);
            RC_ASSERT(versionIn(receiver) >= version);
        } else if (kind >= 12) {
            pullDelta(view, views[static_cast<std::size_t>(other) % 3]);
            RC_ASSERT(versionIn(view) >= version);
        }
        RC_ASSERT(view.through() >= through);
        for (auto& each : views) {
            each.expire(start);
            checkConfiguration(store, each);
            if (arePagesSnapshots)
                checkState(store, each);
        }
    }
    for (auto& view : views) {
        auto last = view.through() ? store.watch(0, view.through().revision) : store.read(0, store.revision);
        if (last.isRead)
            view.applySnapshot(last.changes, StorePosition(last.asOf), start, start);
        else
            view.applyChanges(last.changes, StorePosition(last.asOf), start, start);
        view.expire(start);
        checkState(store, view);
    }
}

}

TEST_CASE("Views whose answers arrive late and in any order never go back", "[transit][view]")
{
    REQUIRE(rc::check("they are the state of the store at their revision", [] { runLateAnswers(true); }));
    REQUIRE(rc::check("they have whole configurations, also when the pages of a read are no snapshot",
        [] { runLateAnswers(false); }));
}
