#include "transit_entry_model.h"
#include "transit_fixture.h"

#include "transit_codec_func.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

std::function<double(TimePoint)> steady(double bytesPerSecond)
{
    return [=](TimePoint) { return bytesPerSecond; };
}

std::function<double(TimePoint)> wave(double mean, double swing, Duration period)
{
    return [=](TimePoint now) {
        constexpr double circle = 6.283185307;
        double phase = static_cast<double>(now.us % period.us) / static_cast<double>(period.us);
        return mean * (1 + swing * std::sin(circle * phase));
    };
}

}

TEST_CASE("Balancers of low capacity leave rotation while their share of the load is too high", "[transit][entry]")
{
    EntryModel model(unevenDomain);

    SECTION("which guards against a saturated link beside idle ones")
    {
        model.demand = steady(4e6);
        model.run(seconds(15));
        CHECK(model.readyCount() == 3);
        model.reset();
        model.run(seconds(10));
        CHECK(model.highestUtilisation() < 0.4);
        CHECK(model.changeCount() == 0);
    }
    SECTION("but not under low load, which guards against a decision by the size of the link")
    {
        model.demand = steady(1e6);
        model.run(seconds(30));
        CHECK(model.readyCount() == 6);
    }
    SECTION("nor below half of the balancers, which guards against routers that use all of them")
    {
        model.demand = steady(60e6);
        model.run(seconds(30));
        CHECK(model.readyCount() == 3);
    }
    SECTION("and by packets as well as bytes, which guards against a processor that is overloaded by small packets")
    {
        EntryModel small({ { 200, 500 }, { 200, 500 }, { 200, 20 } });
        small.packetBytes = 100;
        small.demand = steady(300000);
        small.run(seconds(10));
        CHECK(small.readyCount() == 2);
    }
    SECTION("and return when the load has been low for 20 s, one after the other")
    {
        model.demand = steady(4e6);
        model.run(seconds(15));
        model.demand = steady(1e6);
        model.reset();
        TimePoint loweredAt = model.now;
        model.run(seconds(35));
        CHECK(model.readyCount() == 6);
        REQUIRE(model.changeCount() == 3);
        CHECK(model.changeTimes().front() >= loweredAt + seconds(18));
        CHECK(model.shortestGap() >= entrySettleTime);
    }
}

TEST_CASE("Balancers of low capacity return when those of high capacity die", "[transit][entry]")
{
    EntryModel model(unevenDomain);
    model.demand = steady(5e6);
    model.run(seconds(15));
    REQUIRE(model.readyCount() == 3);

    SECTION("which guards against half of a domain's flows at dead balancers")
    {
        model.balancers[0].isRunning = false;
        model.balancers[1].isRunning = false;
        model.run(entryReportLifetime + milliseconds(200));
        CHECK(model.readyCount() == 3);
    }
    SECTION("also when those that are first in the order cannot return")
    {
        for (std::size_t i : { 0, 1, 2 })
            model.balancers[i].isRunning = false;
        model.balancers[3].isPaused = true;
        model.run(seconds(4));
        CHECK(model.balancers[4].isReady());
        CHECK(model.balancers[5].isReady());
    }
}

TEST_CASE("Reports that are late, lost or from before a pause take no balancer out of rotation", "[transit][entry]")
{
    EntryModel model(unevenDomain);
    model.demand = steady(4e6);

    SECTION("lost: a balancer that is not heard does not count, so that one of low capacity replaces it")
    {
        model.run(seconds(15));
        REQUIRE(model.readyCount() == 3);
        model.balancers[2].isMute = true;
        model.run(entryReportLifetime + milliseconds(200));
        CHECK(model.readyCount() == 4);
    }
    SECTION("all lost: every balancer is ready, which guards against a domain that trusts old reports")
    {
        model.run(seconds(15));
        for (auto& balancer : model.balancers)
            balancer.isMute = true;
        model.run(entryReportLifetime + milliseconds(200));
        CHECK(model.readyCount() == 6);
        model.run(seconds(60));
        CHECK(model.readyCount() == 6);
    }
    SECTION("late: never two changes at once, and never fewer than half")
    {
        model.reportDelay = milliseconds(300);
        model.run(seconds(15));
        model.reset();
        model.run(seconds(60));
        CHECK(model.fewestReady >= 3);
        CHECK(model.shortestGap() >= entrySettleTime);
    }
    SECTION("from before a pause: the state is held until reports are fresh")
    {
        model.demand = steady(1e6);
        model.run(seconds(5));
        model.reset();
        model.balancers[5].isPaused = true;
        model.demand = steady(4e6);
        model.run(milliseconds(1500));
        model.balancers[5].isPaused = false;
        model.run(milliseconds(950));
        CHECK(model.balancers[5].changes.empty());
        model.run(seconds(10));
        CHECK(model.readyCount() == 3);
    }
    SECTION("missing: a balancer of a version without reports is never the reason to leave")
    {
        EntryRotation rotation({ .self = { 9, fleetPort }, .linkBytesPerSecond = 1000, .processorMillis = 1000 });
        TimePoint now { seconds(100).us };
        EntryBalancers others { .peers = {}, .isComplete = false };
        for (std::uint32_t i = 1; i < 5; ++i)
            others.peers.push_back({ .endpoint = { i, fleetPort }, .report = {}, .age = {}, .isReady = true });
        for (int i = 0; i < 200; ++i) {
            rotation.meter().recordSent(200, now);
            rotation.update(others, true, now);
            now = now + milliseconds(50);
        }
        CHECK(rotation.isReady());
        rotation.stop(now);
        CHECK(rotation.mayStop(now)); // They are ready by their stamps, as to the routers.
    }
}

TEST_CASE("Balancers that decide at the same time change rotation one after the other", "[transit][entry]")
{
    // Guards against all low-capacity balancers leaving or returning at once, which moves most flows of the domain.
    auto [highCount, lowCount] = GENERATE(table<std::size_t, std::size_t>({ { 3, 2 }, { 6, 5 } }));
    auto delay = GENERATE(milliseconds(2), milliseconds(100));
    std::vector<Size> sizes(highCount, wide);
    sizes.insert(sizes.end(), lowCount, narrow);
    EntryModel model(sizes);
    model.reportDelay = delay;
    model.run(seconds(5));
    REQUIRE(model.readyCount() == sizes.size());

    model.demand = steady(static_cast<double>(sizes.size()) * 0.7e6);
    model.reset();
    model.run(seconds(10));
    CHECK(model.readyCount() == highCount);
    CHECK(model.changeCount() == lowCount);
    CHECK(model.shortestGap() >= entrySettleTime);

    model.demand = steady(static_cast<double>(sizes.size()) * 0.1e6);
    model.reset();
    model.run(seconds(40));
    CHECK(model.readyCount() == sizes.size());
    CHECK(model.changeCount() == lowCount);
    CHECK(model.shortestGap() >= entrySettleTime);
}

TEST_CASE("The only balancer of a failure domain is always ready", "[transit][entry]")
{
    // Guards against a domain whose flows all go to another one.
    EntryModel model({ narrow });
    model.demand = steady(5e6);
    model.run(seconds(30));
    CHECK(model.readyCount() == 1);
    CHECK(model.changeCount() == 0);
    model.stop(0);
    CHECK_FALSE(model.balancers[0].isReady());
}

TEST_CASE("Balancers that are alike stay in rotation at any load", "[transit][entry]")
{
    // Guards against changes in deployments where no balancer has more to give than another.
    auto load = GENERATE(0.1, 0.3, 0.36, 1.0, 3.0);
    EntryModel model(std::vector<Size>(6, narrow));
    model.demand = steady(load * 6 * 10 * bytesPerMegabit);
    model.run(milliseconds(110));
    CHECK(model.readyCount() == 6);
    model.reset();
    model.run(seconds(60));
    CHECK(model.fewestReady == 6);
    CHECK(model.changeCount() == 0);
}

TEST_CASE("A balancer that starts joins when its share of the load fits", "[transit][entry]")
{
    EntryModel model({ wide, wide, medium });
    model.run(seconds(5));
    REQUIRE(model.readyCount() == 3);

    SECTION("one of low capacity stays out under high load, which guards against seconds of a saturated link")
    {
        model.demand = steady(3e6);
        model.run(seconds(3));
        std::size_t added = model.add(narrow);
        model.run(seconds(30));
        CHECK_FALSE(model.balancers[added].isReady());
        REQUIRE(model.balancers[added].changes.size() == 1);
        CHECK(model.balancers[added].changes[0].second.reason == EntryReason::Start);
    }
    SECTION("and joins after 2 s under low load")
    {
        model.demand = steady(0.5e6);
        model.run(seconds(3));
        std::size_t added = model.add(narrow);
        model.run(milliseconds(1900));
        CHECK_FALSE(model.balancers[added].isReady());
        model.run(milliseconds(1000));
        CHECK(model.balancers[added].isReady());
    }
    SECTION("one of usual capacity is ready at once")
    {
        model.demand = steady(3e6);
        std::size_t added = model.add(wide);
        model.run(entryStartWait);
        CHECK(model.balancers[added].isReady());
    }
    SECTION("one that is needed is ready at once, which guards against a domain below half")
    {
        model.balancers[0].isRunning = false;
        model.balancers[1].isRunning = false;
        model.demand = steady(3e6);
        model.run(seconds(2));
        std::size_t added = model.add(narrow);
        model.run(milliseconds(300));
        CHECK(model.balancers[added].isReady());
    }
    SECTION("one that hears of no other is ready after 100 ms")
    {
        for (auto& balancer : model.balancers)
            balancer.isMute = true;
        std::size_t added = model.add(narrow);
        model.run(entryStartWait + modelStep);
        CHECK(model.balancers[added].isReady());
    }
    SECTION("a whole domain that starts at once has its half in rotation at once, and the others when they fit")
    {
        EntryModel domain(unevenDomain);
        domain.demand = steady(0.5e6);
        domain.run(milliseconds(400));
        CHECK(domain.readyCount() >= 3);
        domain.run(seconds(6));
        CHECK(domain.readyCount() == 6);
    }
}

TEST_CASE("Planned shutdowns leave half of the balancers in rotation", "[transit][entry]")
{
    EntryModel model(unevenDomain);
    model.demand = steady(4e6);
    model.run(seconds(15));
    REQUIRE(model.readyCount() == 3);
    model.reset();

    SECTION("one out of rotation replaces the one that stops, which guards against fewer than half in rotation")
    {
        model.stop(0);
        CHECK(model.balancers[0].isReady());
        model.run(seconds(2));
        CHECK_FALSE(model.balancers[0].isReady());
        CHECK(model.fewestReady >= 3);
        CHECK(model.balancers[3].isReady());
    }
    SECTION("several in succession, each within its grace period")
    {
        for (std::size_t i : { 0, 1, 2 }) {
            model.stop(i);
            model.run(milliseconds(1200));
        }
        model.run(seconds(2));
        CHECK(model.fewestReady >= 3);
        for (std::size_t i : { 0, 1, 2 })
            CHECK(model.balancers[i].hasLeft);
    }
    SECTION("all at once: each leaves in time to drain, and not all before")
    {
        TimePoint stoppedAt = model.now;
        for (std::size_t i = 0; i < 6; ++i)
            model.stop(i);
        model.run(seconds(6));
        for (const auto& balancer : model.balancers) {
            REQUIRE(balancer.leftAt);
            CHECK(*balancer.leftAt <= stoppedAt + model.grace - drainTime - shutdownMargin + milliseconds(50));
        }
    }
    SECTION("a balancer that has just become ready does not count, as no router has probed it")
    {
        EntryModel pair({ wide, wide });
        pair.run(seconds(2));
        pair.balancers[1].isRunning = false;
        pair.run(seconds(2));
        pair.start(1);
        pair.run(milliseconds(150));
        pair.stop(0);
        CHECK(pair.balancers[0].isReady());
        pair.run(milliseconds(300));
        CHECK(pair.balancers[0].isReady());
        pair.run(milliseconds(300));
        CHECK_FALSE(pair.balancers[0].isReady());
    }
}

TEST_CASE("With a hash that remaps most flows, changes of rotation take twice the time", "[transit][entry]")
{
    EntryModel model(unevenDomain, false);
    model.run(seconds(10));
    REQUIRE(model.readyCount() == 6);
    model.demand = steady(4e6);
    model.reset();
    model.run(seconds(15));
    CHECK(model.readyCount() == 3);
    CHECK(model.shortestGap() >= entrySettleTime * 2);

    // Guards against a return while the remapped flows are still being located.
    model.demand = steady(1e6);
    model.reset();
    model.run(seconds(35));
    CHECK(model.changeCount() == 0);
    model.run(seconds(20));
    CHECK(model.readyCount() == 6);
    CHECK(model.shortestGap() >= entrySettleTime * 2);
}

TEST_CASE("A load that swings with a period of 15 s changes nothing twice", "[transit][entry]")
{
    // Guards against balancers that leave at each peak and return in each trough.
    auto mean = GENERATE(1e6, 1.8e6, 2.4e6, 3e6, 4e6, 8e6);
    EntryModel model(unevenDomain);
    model.demand = steady(mean);
    model.run(seconds(10));
    CAPTURE(mean);
    model.reset();
    model.demand = wave(mean, 0.55, seconds(15));
    model.run(seconds(150));
    CHECK(model.changeCount() <= 3);
    model.reset();
    model.run(seconds(150));
    CHECK(model.changeCount() == 0);
}

TEST_CASE("A balancer does not leave and return in turn where both are equally good", "[transit][entry]")
{
    // Guards against a flow's remap every 20 s: every link is overloaded, and five balancers are 0.3 % worse than six.
    EntryModel model({ medium, narrow, { 20, 100 }, wide, { 200, 60 }, wide, wide });
    model.demand = wave(14.6e6, 0.45, seconds(8));
    model.run(seconds(45));
    model.reset();
    model.run(seconds(120));
    CHECK(model.changeCount() <= 1);
}

TEST_CASE("Domains of any sizes keep half of their balancers and settle", "[transit][entry]")
{
    // Guards against changes in turn and a domain below half, with loads from low to far above what the links carry.
    const std::vector<Size> kinds { wide, medium, narrow, { 20, 100 }, { 200, 60 } };
    auto seed = GENERATE(range<std::uint64_t>(1, 41));
    CAPTURE(seed);
    auto draw = [seed, drawn = std::uint64_t {}](std::uint64_t lowest, std::uint64_t highest) mutable {
        return lowest + mix64(seed, ++drawn) % (highest - lowest + 1);
    };
    std::vector<Size> sizes(draw(1, 10));
    double capacity = 0;
    for (Size& size : sizes) {
        size = kinds[draw(0, kinds.size() - 1)];
        capacity += static_cast<double>(size.megabits * bytesPerMegabit);
    }
    EntryModel model(sizes, draw(0, 1) == 0);
    model.reportDelay = milliseconds(draw(0, 4) ? 5 : 150);
    model.packetBytes = draw(0, 1) ? 600 : 150;
    model.demand = wave(capacity * static_cast<double>(draw(1, 40)) / 100, static_cast<double>(draw(0, 60)) / 100,
        seconds(static_cast<std::int64_t>(draw(5, 15))));
    std::size_t half = (sizes.size() + 1) / 2;
    model.run(seconds(45));
    model.reset();
    model.run(seconds(60));
    CHECK(model.fewestReady >= half);
    for (const auto& balancer : model.balancers)
        CHECK(balancer.changes.size() <= 1);

    // The dead ones are half of the balancers at most.
    for (std::uint64_t deaths = draw(0, sizes.size() / 2); deaths; --deaths)
        model.balancers[draw(0, sizes.size() - 1)].isRunning = false;
    auto living = static_cast<std::size_t>(std::count_if(model.balancers.begin(), model.balancers.end(),
        [](const EntryModel::Balancer& balancer) { return balancer.isRunning; }));
    model.run(entryReportLifetime + milliseconds(300));
    CHECK(model.readyCount() >= std::min(living, half));
}

TEST_CASE("Rotation lowers the highest utilisation on a replayed load", "[transit][entry]")
{
    // Bytes per second of a domain, one figure a second: the wave of an uneven deployment with bursts of bulk.
    std::vector<double> loads;
    for (std::uint64_t second = 0; second < 120; ++second) {
        double burst = static_cast<double>(mix64(second) % 1000) / 1000;
        loads.push_back(wave(2.4e6, 0.55, seconds(15))(TimePoint { static_cast<std::int64_t>(second) * 1000000 })
            * (0.8 + 0.4 * burst));
    }
    EntryModel model(unevenDomain);
    TimePoint start = model.now;
    model.demand = [&](TimePoint now) {
        return loads[static_cast<std::size_t>((now - start).us / seconds(1).us) % loads.size()];
    };
    model.run(seconds(20));
    model.reset();
    model.run(seconds(100));
    double highestLoad = *std::max_element(loads.begin(), loads.end());
    double withoutRotation = highestLoad / 6 / (10 * bytesPerMegabit);
    CAPTURE(withoutRotation, model.highestUtilisation(), model.changeCount());
    CHECK(withoutRotation > 0.5);
    CHECK(model.highestUtilisation() < 0.42);
    CHECK(model.changeCount() <= 3);
}

TEST_CASE("In a large failure domain each balancer decides from the reports of a few", "[transit][entry]")
{
    // Guards against decisions on samples that swing, and against a domain below half.
    auto load = GENERATE(0.1e6, 0.3e6, 0.7e6, 2e6);
    std::vector<Size> sizes;
    for (std::uint64_t i = 0; i < 100; ++i)
        sizes.push_back(mix64(i) % 5 < 3 ? wide : narrow);
    EntryModel model(sizes);
    model.reportedTo = entrySampleSize;
    model.demand = steady(load * 100);
    model.run(seconds(30));
    std::size_t ready = model.readyCount();
    CAPTURE(load, ready);
    model.reset();
    model.run(seconds(60));
    CHECK(model.fewestReady >= 50);
    for (const auto& balancer : model.balancers)
        CHECK(balancer.changes.size() <= 1);

    SECTION("and those of low capacity return when others die")
    {
        for (std::size_t i = 0; i < 100; ++i)
            model.balancers[i].isRunning = model.balancers[i].isRunning && i % 4 != 0;
        model.run(seconds(2));
        CHECK(model.readyCount() >= 50);
    }
}

TEST_CASE("A balancer out of rotation forwards what still arrives", "[transit][entry]")
{
    // Guards against flows that stall while routers still use a balancer that is no longer ready.
    TransitSim sim;
    std::vector<Endpoint> balancers;
    for (std::uint32_t i = 1; i <= 4; ++i) {
        sim.setLink(i <= 2 ? 25000000 : 10000);
        balancers.push_back(sim.addBalancer(i));
    }
    for (std::uint32_t i = 11; i < 14; ++i)
        sim.addAgent(i);
    sim.run(seconds(8));
    for (Endpoint balancer : balancers)
        REQUIRE(sim.balancer(balancer).isReady());

    std::vector<FlowTuple> flows;
    for (std::uint32_t i = 0; i < 4; ++i) {
        flows.push_back(flowOf(i));
        REQUIRE(sim.open(balancers[i], flows[i]));
    }
    auto load = [&](Duration time) {
        std::uint32_t sequence = 1;
        for (TimePoint end = sim.now() + time; sim.now() < end; ++sequence) {
            for (std::size_t i = 0; i < 4; ++i)
                sim.sendRequest(balancers[i], flows[i], sequence);
            sim.run(milliseconds(50));
        }
    };
    load(seconds(4));
    CHECK(sim.balancer(balancers[0]).isReady());
    CHECK(sim.balancer(balancers[1]).isReady());
    CHECK_FALSE(sim.balancer(balancers[2]).isReady());
    CHECK_FALSE(sim.balancer(balancers[3]).isReady());
    CHECK(sim.logLineCount("entry_left") >= 2);

    auto answers = sim.caller(flows[3]).answers;
    sim.sendRequest(balancers[3], flows[3], 100000);
    sim.run(milliseconds(100));
    CHECK(sim.caller(flows[3]).answers == answers + 1);

    SECTION("and one that is not ready for the load is needed again when the others end")
    {
        sim.kill(balancers[0]);
        sim.kill(balancers[1]);
        sim.run(seconds(1));
        CHECK(sim.balancer(balancers[2]).isReady());
        CHECK(sim.balancer(balancers[3]).isReady());
    }
}

TEST_CASE("Reports reach a fixed number of balancers", "[transit][entry]")
{
    // Guards against messages from all to all in a large failure domain.
    auto count = GENERATE(15U, 16U, 17U, 950U);
    TimePoint now { seconds(100).us };
    TransitEffects effects;
    auto stampOf = [](std::uint32_t) {
        return StampMessage { .role = ProcessRole::Balancer,
            .incarnation = 3,
            .failureDomain = "a",
            .isReady = true,
            .entry = EntryReport { 1250000, 90, 2, 3, false } };
    };
    // Balancers 1 to count + 1; each knows all others.
    auto receiversOf = [&](std::uint32_t self) {
        TransitFleet fleet({ .self = { self, fleetPort },
            .role = ProcessRole::Balancer,
            .incarnation = self,
            .seeds = {},
            .failureDomain = "a" });
        for (std::uint32_t i = 1; i <= count + 1; ++i) {
            if (i != self)
                fleet.onStamp({ i, fleetPort }, StorePosition(), stampOf(i), now, effects);
        }
        fleet.setEntry({ 1250000, 90, 2, 3, false }, entryStampInterval);
        effects.clear();
        fleet.sendEntryStamps(now, effects);
        std::set<Endpoint> receivers;
        for (const auto& effect : effects)
            receivers.insert(std::get<SendMessage>(effect).to);
        return receivers;
    };
    CHECK(receiversOf(1).size() == (count <= maxEntryPeers ? count : entrySampleSize));

    SECTION("and the same ones each time, so that a missing report means a failed process")
    {
        CHECK(receiversOf(1) == receiversOf(1));
        std::map<Endpoint, std::size_t> received;
        for (std::uint32_t self = 1; self <= std::min(count + 1, 30U); ++self) {
            for (Endpoint receiver : receiversOf(self))
                ++received[receiver];
        }
        for (const auto& [receiver, reports] : received)
            CHECK(reports <= maxEntryPeers);
    }
    SECTION("and fit the budget of 10 KB/s for messages between processes, with the usual stamps")
    {
        constexpr std::size_t headerBytes = 36; // IP, UDP and the fragment header.
        constexpr std::size_t budget = 10240;
        constexpr std::size_t roundsPerSecond = 4;
        StampMessage stamp = stampOf(1);
        stamp.failureDomain = "zone-a";
        stamp.age = milliseconds(300);
        std::size_t entryBytes = encodeMessage({ StorePosition(7), stamp }, now).size() + headerBytes;
        stamp.entry.reset();
        stamp.balancers = { { 1, 2 }, { 3, 4 }, { 5, 6 }, { 7, 8 } };
        std::size_t usualBytes = encodeMessage({ StorePosition(7), stamp }, now).size() + headerBytes;
        // Reports on paths are in the stamps of every second round.
        stamp.paths.resize(largeFleetReports, { 4000000000, 4000000000, 800, 600 });
        std::size_t reportBytes = encodeMessage({ StorePosition(7), stamp }, now).size() + headerBytes;
        CAPTURE(entryBytes, usualBytes, reportBytes);
        CHECK(entryBytes * entrySampleSize * roundsPerSecond + (usualBytes + reportBytes) * stampFanout < budget);
    }
}
