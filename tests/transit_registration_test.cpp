#include "transit_fixture.h"
#include "transit_view_util.h"

#include "table/transit_limits.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

constexpr TimePoint start = viewStart;
constexpr std::uint64_t later = 5000; ///< Start time after those of all targets of the simulation.

/** @return Entry that another writer made for the address of a target. */
TargetRecord otherEntry(std::uint32_t address, const std::string& service)
{
    TargetRecord record = targetRecord(address, "other-" + std::to_string(address), service);
    record.startedAt = later;
    return record;
}

StoreChange configuration(std::uint64_t revision, const std::vector<std::string>& services)
{
    ConfigurationChange change { Revision(revision), { routeTo("web") }, {} };
    for (const auto& name : services)
        change.services.push_back({ .name = name });
    return change;
}

StoreChange written(std::uint64_t revision, const TargetRecord& record)
{
    return TargetChange { Revision(revision), record };
}

std::string idAt(const TransitView& view, std::uint32_t address)
{
    const TargetEntry* entry = view.targetAt({ address, targetPort });
    return entry ? entry->record.id : std::string();
}

}

// Guards against a fleet that serves nothing while entries of another writer name its targets' addresses (incident
// review-7).
TEST_CASE("Entries of services that the configuration does not have hide no target", "[transit][registration]")
{
    Fleet fleet(3);
    for (Endpoint agent : fleet.agents)
        fleet.writeTarget(otherEntry(agent.address, "unknown"));
    fleet.run(milliseconds(500));

    SECTION("so that all targets get flows")
    {
        std::set<std::uint32_t> holders;
        for (std::uint32_t i = 1; i < 30; ++i)
            holders.insert(fleet.open(fleet.balancers[i % 3], flowOf(i)));
        CHECK(holders == std::set<std::uint32_t> { 11, 12, 13 });
    }
    SECTION("and a target that leaves is gone, though the other entry stays")
    {
        fleet.removeTarget("t11");
        fleet.run(milliseconds(200));
        for (std::uint32_t i = 1; i < 30; ++i)
            CHECK(fleet.open(fleet.balancers[i % 3], flowOf(i)) != 11);
    }
    SECTION("and neither does a process that starts later and gets its view from another one")
    {
        fleet.setStoreDown(true);
        fleet.restart(fleet.balancers[0]);
        fleet.restart(fleet.agents[0]);
        fleet.run(seconds(1));
        std::set<std::uint32_t> holders;
        for (std::uint32_t i = 1; i < 30; ++i)
            holders.insert(fleet.open(fleet.balancers[0], flowOf(i)));
        CHECK(holders == std::set<std::uint32_t> { 11, 12, 13 });
    }
}

namespace {

/** A fleet whose registrations lapse in an outage of the store, with an open flow at each target. */
struct LapsedFleet : Fleet {
    std::map<std::uint32_t, FlowTuple> flows; ///< By the VM whose target holds it.

    explicit LapsedFleet(std::uint32_t targets)
        : Fleet(targets)
    {
        for (std::uint32_t i = 1; flows.size() < targets; ++i) {
            FlowTuple flow = flowOf(i);
            flows[open(balancers[i % 3], flow)] = flow;
        }
        for (const auto& [holder, flow] : flows)
            sendRequest(balancers[0], flow);
        run(milliseconds(100));
        setStoreDown(true);
        for (Endpoint agent : agents)
            removeTarget(target(agent.address).id);
        run(seconds(3));
    }

    void registerAgain(Endpoint agent) { writeTarget(targetRecord(agent.address, target(agent.address).id)); }

    /** Restarts a balancer and sends requests of all flows through it, for 1 s. */
    void restartUnderLoad(Endpoint balancer)
    {
        restart(balancer);
        for (std::uint32_t sequence = 2; sequence < 42; ++sequence) {
            for (const auto& [holder, flow] : flows)
                sendRequest(balancer, flow, sequence);
            run(milliseconds(25));
        }
    }

    std::size_t resets()
    {
        return static_cast<std::size_t>(std::count_if(
            flows.begin(), flows.end(), [&](const auto& entry) { return caller(entry.second).resetAt.has_value(); }));
    }
};

}

// Guards against a balancer that takes the agents heard so far for all of them and resets flows of the others (incident
// review-6).
TEST_CASE(
    "A balancer that has just started resets no flow of an agent that it has not heard", "[transit][registration]")
{
    std::uint32_t targets = GENERATE(6U, 20U, 60U);
    LapsedFleet fleet(targets);
    Endpoint fresh = fleet.balancers[0];
    fleet.setStoreDown(false);
    fleet.run(seconds(1)); // The other processes have the store's newest revision, and retain the targets.

    SECTION("while no target is registered again")
    {
        fleet.restartUnderLoad(fresh);
        CHECK(fleet.resets() == 0);
    }
    SECTION("while some targets are registered again")
    {
        for (std::size_t i = 0; i < targets / 2; ++i)
            fleet.registerAgain(fleet.agents[i]);
        fleet.run(milliseconds(300));
        fleet.restartUnderLoad(fresh);
        CHECK(fleet.resets() == 0);
    }
    SECTION("but a flow that is lost is reset once it has heard all agents")
    {
        for (Endpoint agent : fleet.agents)
            fleet.registerAgain(agent);
        fleet.restart(fresh);
        fleet.run(agentDiscoveryTime + milliseconds(50));
        std::uint32_t lost = fleet.agents[1].address;
        fleet.restartTarget(lost, "new");
        fleet.run(milliseconds(100));
        fleet.sendRequest(fresh, fleet.flows[lost], 2);
        fleet.run(milliseconds(300));
        fleet.sendRequest(fresh, fleet.flows[lost], 2);
        fleet.run(milliseconds(300));
        CHECK(fleet.caller(fleet.flows[lost]).resetAt);
    }
}

TEST_CASE("The configuration decides which entries are registrations", "[transit][view][registration]")
{
    TransitView view;
    view.applySnapshot({ configuration(3, { "web" }), written(4, targetRecord(11, "own")),
                           written(5, otherEntry(11, "mail")), written(6, otherEntry(12, "mail")) },
        StorePosition(6), start, start);
    REQUIRE(idAt(view, 11) == "own");
    CHECK_FALSE(view.targetAt({ 12, targetPort }));
    CHECK(view.targetsOf("mail").empty());
    CHECK(view.unknownServiceCount() == 2);

    SECTION("an entry is one as soon as a configuration has its service")
    {
        view.applyChanges({ configuration(7, { "web", "mail" }) }, StorePosition(7), start, start);
        CHECK(idAt(view, 11) == "other-11");
        CHECK(view.targetsOf("mail").size() == 2);
        CHECK(view.targetsOf("web").empty());
        CHECK(view.unknownServiceCount() == 0);

        SECTION("and none any more when a later one does not")
        {
            view.applyChanges({ configuration(8, { "web" }) }, StorePosition(8), start, start);
            CHECK(idAt(view, 11) == "own");
            CHECK(view.targets().size() == 1);
        }
    }
    SECTION("an entry that is removed before that is none")
    {
        view.applyChanges({ TargetRemoval { Revision(7), "other-11" }, configuration(8, { "web", "mail" }) },
            StorePosition(8), start, start);
        view.expire(start);
        CHECK(idAt(view, 11) == "own");
        CHECK(view.unknownServiceCount() == 0);
    }
    SECTION("before the first configuration every entry is one")
    {
        TransitView early;
        early.applySnapshot({ written(4, targetRecord(11, "own")), written(6, otherEntry(12, "mail")) },
            StorePosition(6), start, start);
        CHECK(early.targets().size() == 2);
        early.applyChanges({ configuration(7, { "web" }) }, StorePosition(7), start, start);
        CHECK(early.targets().size() == 1);
    }
    SECTION("a registration that lapsed in an outage of the store gives way to no entry of another service")
    {
        view.applyChanges(
            { TargetRemoval { Revision(7), "own" } }, StorePosition(7), start, start + reregistrationTime);
        CHECK(idAt(view, 11) == "own");
    }
}

// Guards against flows to a target in an evacuated failure domain that an entry puts into another one (incident
// review-8).
TEST_CASE("An entry in the store does not move a target out of its failure domain", "[transit][registration]")
{
    Fleet fleet(3);
    Endpoint evacuated = fleet.addAgent(31, "web", "out");
    TargetRecord moved = otherEntry(evacuated.address, "web");
    fleet.writeTarget(moved);
    fleet.run(seconds(1));
    auto openFlows = [&](std::uint32_t first) {
        std::set<std::uint32_t> holders;
        for (std::uint32_t i = first; i < first + 40; ++i)
            holders.insert(fleet.open(fleet.balancers[i % 3], flowOf(i)));
        return holders;
    };
    REQUIRE(openFlows(1).contains(evacuated.address));

    SECTION("when its domain is evacuated it gets no flow, and all flows are served")
    {
        fleet.evacuate("out", true);
        fleet.run(milliseconds(300));
        CHECK(openFlows(100) == std::set<std::uint32_t> { 11, 12, 13 });

        SECTION("also not at a balancer that has just started")
        {
            fleet.restart(fleet.balancers[0]);
            fleet.run(milliseconds(200));
            CHECK(openFlows(200) == std::set<std::uint32_t> { 11, 12, 13 });
        }
        SECTION("and gets flows again afterwards")
        {
            fleet.evacuate("out", false);
            fleet.run(milliseconds(300));
            CHECK(openFlows(300).contains(evacuated.address));
        }
    }
}

namespace {

/** Entries and services as the store has them, with the choice of the registration in force written down plainly. */
struct RegistrationModel {
    std::map<std::string, TargetRecord> entries;
    std::set<std::string> services;

    std::map<std::uint32_t, std::string> idsByAddress() const
    {
        std::map<std::uint32_t, const TargetRecord*> inForce;
        for (const auto& [id, entry] : entries) {
            if (!services.contains(entry.service))
                continue;
            const TargetRecord*& best = inForce[entry.address.address];
            if (!best || std::tie(entry.startedAt, entry.id) > std::tie(best->startedAt, best->id))
                best = &entry;
        }
        std::map<std::uint32_t, std::string> ids;
        for (const auto& [address, entry] : inForce)
            ids[address] = entry->id;
        return ids;
    }
};

void checkIndexes(const RegistrationModel& model, const TransitView& view)
{
    std::map<std::uint32_t, std::string> ids;
    std::size_t listed = 0;
    for (const auto& [address, entry] : view.targets())
        ids[address.address] = entry.record.id;
    RC_ASSERT(ids == model.idsByAddress());
    for (const char* service : { "web", "mail", "news" }) {
        for (const TargetEntry* entry : view.targetsOf(service)) {
            RC_ASSERT(entry->record.service == service);
            RC_ASSERT(view.targetAt(entry->record.address) == entry);
            ++listed;
        }
    }
    RC_ASSERT(listed == ids.size());
}

}

TEST_CASE("All views choose the same registrations, whatever the order of changes", "[transit][view][registration]")
{
    REQUIRE(rc::check("those of the services in force with the latest start at their addresses", [] {
        RegistrationModel model { .entries = {}, .services = { "web" } };
        std::vector<TransitView> views(2); // One gets the changes of the store, the other deltas.
        views[0].applySnapshot({ configuration(1, { "web" }) }, StorePosition(1), start, start);
        std::uint64_t revision = 1;
        auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(rc::gen::tuple(
            rc::gen::inRange(0, 8), rc::gen::inRange(0, 5), rc::gen::inRange(0, 3), rc::gen::inRange(1, 4)));
        for (auto [kind, number, which, startedAt] : steps) {
            const std::string service = std::vector<std::string> { "web", "mail", "news" }[which];
            std::string id = "t" + std::to_string(number);
            ++revision;
            if (kind < 4) {
                TargetRecord record = targetRecord(static_cast<std::uint32_t>(20 + which), id, service);
                record.address.address = static_cast<std::uint32_t>(20 + number % 2);
                record.startedAt = static_cast<std::uint64_t>(startedAt);
                model.entries[id] = record;
                views[0].applyChanges({ written(revision, record) }, StorePosition(revision), start, start);
            } else if (kind == 4) {
                model.entries.erase(id);
                views[0].applyChanges(
                    { TargetRemoval { Revision(revision), id } }, StorePosition(revision), start, start);
            } else if (kind < 7) {
                if (!model.services.erase(service))
                    model.services.insert(service);
                views[0].applyChanges({ configuration(revision, { model.services.begin(), model.services.end() }) },
                    StorePosition(revision), start, start);
            } else {
                pullDelta(views[1], views[0]);
                views[1].expire(start);
                checkIndexes(model, views[1]);
            }
            views[0].expire(start);
            checkIndexes(model, views[0]);
        }
    }));
}
