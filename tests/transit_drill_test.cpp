#include "transit_codec_func.h"
#include "transit_sim.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

constexpr Endpoint otherRoute { 0x0a630001, 8443 };
constexpr Duration changeTime = seconds(3); ///< Within which a change has to be in force.

/**
 * Five balancers and six agents in three failure domains, whose store comes back from copies. What was acknowledged is
 * kept beside the store, as the operator and the targets write it again.
 */
struct DrilledFleet : TransitSim {
    std::vector<Endpoint> balancers;
    std::vector<Endpoint> agents;
    std::optional<StoreCopy> copy;
    TimePoint copiedAt;
    bool hasOtherRoute {};
    bool isEvacuated {};
    bool isDraining {};
    bool wasPartitioned {};
    std::vector<FlowTuple> flows;
    std::map<Endpoint, std::uint64_t> versions; ///< Newest configuration that each process had.
    std::uint32_t nextFlow { 100 };

    DrilledFleet()
    {
        std::uint32_t address = 0;
        for (const char* domain : { "a", "a", "b", "b", "c" })
            balancers.push_back(addBalancer(++address, domain));
        address = 10;
        for (const char* domain : { "a", "a", "b", "b", "c", "c" })
            agents.push_back(addAgent(++address, "web", domain));
        run(seconds(2));
        for (std::uint32_t i = 0; i < 12; ++i) {
            flows.push_back(flowOf(i + 1));
            RC_ASSERT(open(balancers[i % 5], flows.back()));
        }
    }

    void writeConfiguration()
    {
        std::vector<RouteRecord> list { routeTo("web") };
        if (hasOtherRoute)
            list.push_back(routeTo("web", otherRoute));
        writeRoutes(list);
    }

    void registerTarget(std::uint32_t address)
    {
        TargetRecord record = targetRecord(address, "t" + std::to_string(address), "web",
            address < 13       ? "a"
                : address < 15 ? "b"
                               : "c");
        record.isDraining = address == 16 && isDraining;
        writeTarget(record);
    }

    /** The operator and the targets write again what the store may have lost. */
    void writeAgain()
    {
        writeConfiguration();
        evacuate("b", isEvacuated);
        for (Endpoint agent : agents)
            registerTarget(agent.address);
    }

    void restore(Duration away, bool isWrittenFirst)
    {
        // A copy is some seconds old.
        if (!copy || now() - copiedAt > seconds(10))
            return;
        setStoreDown(true);
        run(away);
        restoreStore(*copy);
        if (isWrittenFirst)
            writeAgain();
        setStoreDown(false);
        run(milliseconds(300));
        writeAgain();
    }

    void step(int kind, std::uint32_t which, Duration time)
    {
        Endpoint balancer = balancers[which % 5];
        Endpoint process = which % 2 ? balancer : agents[which % 6];
        switch (kind) {
        case 0:
        case 1:
            hasOtherRoute = which % 2;
            for (std::uint32_t i = 0; i <= which % 4; ++i)
                writeConfiguration();
            break;
        case 2:
            isEvacuated = !isEvacuated;
            evacuate("b", isEvacuated);
            break;
        case 3:
            isDraining = true;
            registerTarget(16);
            break;
        case 4:
        case 5:
            copy = copyStore();
            copiedAt = now();
            break;
        case 6:
        case 7:
        case 8:
            restore(time, which % 2);
            break;
        case 9:
            pause(process);
            run(time);
            resume(process);
            break;
        case 10:
            versions.erase(balancer);
            stop(balancer);
            restart(balancer);
            break;
        case 11:
            versions.erase(balancer);
            restart(balancer);
            break;
        case 12:
            cutFromStore(which % 2 ? "a" : "b");
            break;
        case 13:
            cutFromStore({});
            break;
        case 14:
            wasPartitioned = true;
            partitionDomain(which % 2 ? "a" : "c");
            break;
        default:
            partitionDomain({});
        }
        run(time);
    }

    const TransitView& viewOf(Endpoint process)
    {
        return process.address > 10 ? agent(process).fleet().view() : balancer(process).fleet().view();
    }

    std::vector<Endpoint> processes() const
    {
        std::vector<Endpoint> all = balancers;
        all.insert(all.end(), agents.begin(), agents.end());
        return all;
    }

    void checkNoRollback()
    {
        for (Endpoint process : processes()) {
            std::uint64_t version = viewOf(process).configuration().version;
            RC_ASSERT(version >= versions[process]);
            versions[process] = version;
        }
    }

    void checkFollowsStore()
    {
        for (Endpoint process : processes()) {
            const TransitView& view = viewOf(process);
            RC_ASSERT(view.through() == lastPosition());
            RC_ASSERT(view.isEvacuated("b") == isEvacuated);
            RC_ASSERT((view.routeAt(otherRoute) != nullptr) == hasOtherRoute);
            RC_ASSERT(view.targets().size() == agents.size());
            RC_ASSERT(view.targetAt({ 16, targetPort })->record.isDraining == isDraining);
            RC_ASSERT(view.retainedCount() == 0U);
        }
        for (std::uint32_t i = 0; i < 20; ++i) {
            std::uint32_t holder = open(balancers[i % 5], flowOf(nextFlow++));
            RC_ASSERT(holder != 0U);
            RC_ASSERT(!isEvacuated || (holder != 13 && holder != 14));
            RC_ASSERT(!isDraining || holder != 16);
        }
    }

    void checkFlows()
    {
        for (std::size_t i = 0; i < flows.size(); ++i) {
            sendRequest(balancers[(i + 2) % 5], flows[i]);
            run(milliseconds(50));
        }
        run(seconds(1));
        for (const FlowTuple& flow : flows) {
            RC_ASSERT(!caller(flow).resetAt);
            RC_ASSERT(caller(flow).answers > 0U);
        }
    }
};

}

// Guards against a fleet that no longer follows its store after some order of copies, returns, cuts and restarts.
TEST_CASE("A fleet follows its store through drills, restarts, pauses and cuts", "[transit][fleet][era][drill]")
{
    REQUIRE(rc::check("all processes have what was acknowledged, and no configuration is rolled back", [] {
        DrilledFleet fleet;
        auto steps = *rc::gen::container<std::vector<std::tuple<int, std::uint32_t, int>>>(rc::gen::tuple(
            rc::gen::inRange(0, 16), rc::gen::inRange<std::uint32_t>(0, 60), rc::gen::element(20, 100, 400, 1200)));
        steps.resize(std::min<std::size_t>(steps.size(), 25));
        for (auto [kind, which, time] : steps) {
            fleet.step(kind, which, milliseconds(time));
            fleet.checkNoRollback();
        }
        fleet.cutFromStore({});
        fleet.partitionDomain({});
        fleet.run(changeTime);
        fleet.writeAgain();
        std::size_t callsBefore = fleet.storeCalls();
        fleet.run(evacuationRetention);
        fleet.checkNoRollback();
        fleet.checkFollowsStore();
        RC_ASSERT(fleet.storeCalls() - callsBefore < 100U);
        if (!fleet.wasPartitioned)
            fleet.checkFlows();
    }));
}

// Guards against processes that stay in a former era in fleets in which not every process hears each other one.
TEST_CASE("A fleet of any size is in the new era in time and with few reads", "[transit][fleet][era][large]")
{
    std::uint32_t size = GENERATE(10U, 100U, 300U);
    TransitSim fleet;
    std::vector<Endpoint> processes;
    constexpr const char* domains[] { "a", "b", "c" };
    for (std::uint32_t i = 0; i < size / 3; ++i)
        processes.push_back(fleet.addBalancer(i + 1, domains[i % 3]));
    for (std::uint32_t i = 0; i < size - size / 3; ++i)
        processes.push_back(fleet.addAgent(1000 + i, "web", domains[i % 3]));
    fleet.run(seconds(5));
    auto copy = fleet.copyStore();
    for (int i = 0; i < 5; ++i) {
        fleet.writeRoutes({ routeTo("web"), routeTo("web", otherRoute) });
        fleet.run(milliseconds(200));
    }
    fleet.setStoreDown(true);
    fleet.run(milliseconds(500));
    std::map<Endpoint, std::size_t> readsBefore;
    for (Endpoint process : processes)
        readsBefore[process] = fleet.fullReads(process);
    std::size_t deltaBytes = 0;
    fleet.setMessageFate([&](Endpoint, Endpoint, const MessageBody& body) -> std::optional<Duration> {
        if (std::holds_alternative<DeltaMessage>(body))
            deltaBytes += encodeMessage({ StorePosition(1, 1), body }, fleet.now()).size();
        return milliseconds(1);
    });
    fleet.restoreStore(copy);
    fleet.evacuate("b", true);
    fleet.setStoreDown(false);
    TimePoint returnedAt = fleet.now();
    auto viewOf = [&](Endpoint process) -> const TransitView& {
        return process.address < 1000 ? fleet.balancer(process).fleet().view() : fleet.agent(process).fleet().view();
    };
    auto doAllFollow = [&] {
        return std::all_of(processes.begin(), processes.end(), [&](Endpoint process) {
            return viewOf(process).through() == fleet.lastPosition() && viewOf(process).isEvacuated("b");
        });
    };
    while (!doAllFollow() && fleet.now() < returnedAt + changeTime)
        fleet.run(milliseconds(10));
    Duration taken = fleet.now() - returnedAt;
    INFO(size << " processes took " << taken.us / 1000 << " ms and " << deltaBytes / size << " bytes of deltas each");
    CHECK(doAllFollow());
    fleet.run(seconds(2));
    std::size_t readers = 0;
    for (Endpoint process : processes) {
        std::size_t reads = fleet.fullReads(process) - readsBefore[process];
        readers += reads > 0;
        CHECK(reads <= 2);
    }
    INFO(readers << " processes read the store");
    CHECK(readers <= permanentStoreReaders * 3);
}
