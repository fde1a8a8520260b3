#include "../bench/transit_capacity_sim.h"
#include "packet_format.h"
#include "platform_settings.h"
#include "transit_codec_func.h"
#include "transit_fixture.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

constexpr Endpoint quickRoute { 0x0a630002, 443 };
constexpr Duration baseTime = milliseconds(40);

/** Target whose requests all take the same time, under as many requests as its limit lets through. */
struct Subject {
    TargetCapacity capacity { {} };
    TimePoint now { seconds(100).us };
    std::uint32_t slots { 8 };
    double knee { 8 };
    double exponent { 1 };
    double slowness { 1 };
    Duration objective { milliseconds(300) };
    std::size_t changes {};

    Duration timeAt(std::uint32_t inProgress) const
    {
        double slow = slowness * std::pow(std::max(1.0, inProgress / knee), exponent);
        return { static_cast<std::int64_t>(static_cast<double>(baseTime.us) * slow) };
    }

    void add(Endpoint route, Duration time, std::uint32_t inProgress, bool isSuccess = true)
    {
        changes += capacity
                       .addSample({ .route = route,
                                      .serviceTime = time,
                                      .inProgress = inProgress,
                                      .inProgressAtEnd = inProgress,
                                      .isSuccess = isSuccess,
                                      .slots = slots,
                                      .latencyObjective = objective },
                           now)
                       .has_value();
    }

    /** Answers requests, with as many in progress as given or as the limit allows. */
    void serve(Duration duration, std::uint32_t inProgress = 0)
    {
        for (TimePoint end = now + duration; now < end;) {
            std::uint32_t busy = inProgress ? inProgress : capacity.limit(slots) + slotOversubscription;
            now = now + timeAt(busy) / busy;
            add(routeAddress, timeAt(busy), busy);
        }
    }
};

/** @return Requests in time of a load over some seeds, for learned capacity or registered slots. */
double inTime(bench::CapacityLoad load, bench::CapacityPolicy policy)
{
    constexpr std::uint32_t seeds = 2;
    double sum = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        load.seed = seed;
        sum += bench::runCapacityLoad(load, policy).inTime;
    }
    return sum / seeds;
}

bench::CapacityLoad loadNamed(const std::string& name)
{
    for (const bench::CapacityLoad& load : bench::capacityLoads()) {
        if (load.name == name)
            return load;
    }
    FAIL("no load " << name);
    return {};
}

}

TEST_CASE("The limit of a target follows where it gains throughput", "[transit][capacity]")
{
    Subject subject;
    CHECK(subject.capacity.limit(8) == 8);

    SECTION("a target that keeps its speed up to its slots keeps them, which guards against trials without cause")
    {
        subject.serve(seconds(2), 1);
        subject.serve(seconds(20));
        CHECK(subject.capacity.limit(8) == 8);
        CHECK(subject.changes == 0);
    }
    SECTION("a knee at half of the slots is found within two seconds of full load")
    {
        subject.knee = 4;
        subject.serve(seconds(2), 1);
        subject.serve(seconds(2));
        CHECK(subject.capacity.limit(8) >= 4);
        CHECK(subject.capacity.limit(8) <= 5);

        SECTION("and stays found, which guards against a limit that swings")
        {
            std::size_t before = subject.changes;
            subject.serve(seconds(60));
            CHECK(subject.capacity.limit(8) <= 5);
            CHECK(subject.changes - before <= 12); // Six probes and their ends.
        }
        SECTION("and the limit rises one by one to the slots within some seconds when the knee goes")
        {
            subject.knee = 8;
            std::uint32_t last = subject.capacity.limit(8);
            TimePoint since = subject.now;
            while (subject.capacity.limit(8) < 8 && subject.now < since + seconds(10)) {
                subject.serve(milliseconds(5));
                CHECK(subject.capacity.limit(8) <= last + 1);
                last = subject.capacity.limit(8);
            }
            CHECK(subject.now - since <= seconds(6));
        }
    }
    SECTION("a knee is found without any idle time before, which guards against a baseline taken under full load")
    {
        subject.knee = 4;
        subject.exponent = 1.5;
        subject.serve(seconds(9));
        CHECK(subject.capacity.limit(8) == 8); // A burst at the start is no reason for a trial.
        subject.serve(seconds(16));
        CHECK(subject.capacity.limit(8) >= 3);
        CHECK(subject.capacity.limit(8) <= 5);
    }
    SECTION("slow for 6 s at every concurrency and fast again: the slots are used again within 3 s, which guards "
            "against a lower limit that gains nothing")
    {
        subject.serve(seconds(2), 1);
        subject.serve(seconds(5));
        subject.slowness = 2;
        subject.serve(seconds(3));
        CHECK(subject.capacity.limit(8) == 8);
        subject.serve(seconds(3));
        CHECK(subject.capacity.limit(8) == 8);
        subject.slowness = 1;
        subject.serve(seconds(3));
        CHECK(subject.capacity.limit(8) == 8);
    }
    SECTION("under full load")
    {
        subject.serve(seconds(2), 1);
        subject.serve(seconds(4));

        SECTION("slow for less than 10 s: nothing is tried, which guards against trials that take throughput from a "
                "service that has too little")
        {
            subject.slowness = 2;
            subject.serve(seconds(9));
            CHECK(subject.changes == 0);
        }
        SECTION("a knee that appears is found within 12 s")
        {
            subject.knee = 4;
            subject.serve(fullLimitLifetime + seconds(2));
            CHECK(subject.capacity.limit(8) >= 4);
            CHECK(subject.capacity.limit(8) <= 5);
        }
    }
    SECTION("the limit is lowered while requests miss their objective and a lower limit helps")
    {
        subject.objective = milliseconds(70);
        subject.knee = 2;
        subject.exponent = 0.6; // More in progress gives more answers, up to the slots, and each takes longer.
        subject.serve(seconds(2), 1);
        subject.serve(seconds(10));
        CHECK(subject.capacity.limit(8) < 8);
        CHECK(subject.timeAt(subject.capacity.limit(8)) <= subject.objective - callerNetworkDelay);
    }
    SECTION("the limit is not lowered for an objective that no limit meets")
    {
        subject.objective = milliseconds(30);
        subject.serve(seconds(2), 1);
        subject.serve(seconds(10));
        CHECK(subject.capacity.limit(8) == 8);
    }
    SECTION("the lowest share is a bound: 50 % of 8 slots for a knee at one")
    {
        subject.capacity = TargetCapacity({ .minPercent = 50 });
        subject.knee = 1;
        subject.serve(seconds(2), 1);
        subject.serve(seconds(20));
        CHECK(subject.capacity.limit(8) >= 4);
        CHECK(subject.capacity.limit(8) <= 5);
    }
    SECTION("switched off, the limit is the slots and the service time unknown")
    {
        subject.capacity = TargetCapacity({ .isEnabled = false });
        subject.knee = 2;
        subject.serve(seconds(10));
        CHECK(subject.capacity.limit(8) == 8);
        CHECK(subject.capacity.serviceTimeUs(subject.now) == 0);
    }
    SECTION("a new incarnation at the same address starts anew, without the requests of the old one")
    {
        subject.knee = 2;
        subject.serve(seconds(2), 1);
        subject.serve(seconds(5));
        REQUIRE(subject.capacity.limit(8) < 8);
        subject.capacity.reset(subject.now);
        CHECK(subject.capacity.limit(8) == 8);
        CHECK(subject.capacity.serviceTimeUs(subject.now) == 0);
        for (int i = 0; i < 100; ++i)
            subject.add(routeAddress, seconds(2), 9);
        CHECK(subject.capacity.serviceTimeUs(subject.now) == 0);
    }
    SECTION("registered slots that change are used at once")
    {
        subject.knee = 4;
        subject.serve(seconds(2), 1);
        subject.serve(seconds(5));
        REQUIRE(subject.capacity.limit(8) <= 5);
        CHECK(subject.capacity.limit(3) == 3);
        subject.slots = 12;
        subject.serve(milliseconds(50), 2);
        CHECK(subject.capacity.limit(12) == 12);
    }
    SECTION("kinds of 5 and 70 ms in a changing mix leave the slots, which guards against a slow kind that counts as "
            "a slow target")
    {
        for (int i = 0; i < 20000; ++i) {
            bool isSlowKind = i % 10 < (i / 2000) % 10;
            subject.now = subject.now + milliseconds(5);
            subject.add(isSlowKind ? routeAddress : quickRoute, milliseconds(isSlowKind ? 70 : 5), 9);
            if (i % 100 < 20)
                subject.add(isSlowKind ? routeAddress : quickRoute, milliseconds(isSlowKind ? 70 : 5), 1);
        }
        CHECK(subject.capacity.limit(8) == 8);
        CHECK(subject.changes == 0);
    }
}

TEST_CASE("Odd answers of a target leave its learned capacity within bounds", "[transit][capacity]")
{
    Subject subject;

    SECTION("a target that answers nothing: slots, and an unknown service time")
    {
        CHECK(subject.capacity.limit(8) == 8);
        CHECK(subject.capacity.limit(0) == 0);
        CHECK(subject.capacity.serviceTimeUs(subject.now) == 0);
    }
    SECTION("a target that resets all requests at once: no samples, which guards against a faulty target that counts "
            "as fast")
    {
        for (int i = 0; i < 1000; ++i)
            subject.add(routeAddress, milliseconds(1), 1, false);
        CHECK(subject.capacity.serviceTimeUs(subject.now) == 0);
        subject.serve(seconds(2), 2);
        std::uint32_t known = subject.capacity.serviceTimeUs(subject.now);
        for (int i = 0; i < 1000; ++i)
            subject.add(routeAddress, milliseconds(1), 9, false);
        CHECK(subject.capacity.serviceTimeUs(subject.now) == known);
        CHECK(subject.capacity.limit(8) == 8);
    }
    SECTION("a target that answers errors in 1 ms counts as twice as fast at most, for the first 20 s")
    {
        subject.serve(seconds(60), 4);
        for (int i = 0; i < 400; ++i) {
            subject.now = subject.now + milliseconds(50);
            subject.add(routeAddress, milliseconds(1), 1);
            CHECK(subject.capacity.serviceTimeUs(subject.now) >= baseTime.us / 3);
            if (i < 20)
                CHECK(subject.capacity.serviceTimeUs(subject.now) >= baseTime.us * 49 / 100);
        }
    }
    SECTION("one sample a minute: the slots, and a service time that is unknown again after 10 s")
    {
        for (int i = 0; i < 60; ++i) {
            subject.now = subject.now + seconds(60);
            subject.add(routeAddress, seconds(i % 2 ? 2 : 1), 9);
        }
        CHECK(subject.capacity.limit(8) == 8);
        CHECK(subject.capacity.serviceTimeUs(subject.now + speedLifetime) == 0);
    }
    SECTION("service times of 0 and of an hour")
    {
        for (int i = 0; i < 5000; ++i) {
            subject.now = subject.now + milliseconds(10);
            subject.add(routeAddress, i % 3 ? Duration {} : seconds(3600), 1 + static_cast<std::uint32_t>(i) % 9);
            CHECK(subject.capacity.limit(8) >= 2);
            CHECK(subject.capacity.limit(8) <= 8);
        }
        subject.capacity.reset({});
        for (int i = 0; i < 1000; ++i)
            subject.add(routeAddress, seconds(3600) * (i + 1), 9);
        for (int i = 0; i < 1000; ++i)
            subject.add(routeAddress, {}, 9);
        CHECK(subject.capacity.limit(8) >= 2);
        CHECK(subject.capacity.serviceTimeUs(subject.now) > 0);
    }
    SECTION("answers of more routes than are kept do not grow the memory or stop the learning")
    {
        for (std::uint32_t i = 0; i < 2 * maxServiceTimes; ++i) {
            for (int sample = 0; sample < 3; ++sample)
                subject.add({ 0x0b000000 + i, 443 }, baseTime, 2);
        }
        CHECK(subject.capacity.serviceTimeUs(subject.now) > 0);
    }
    SECTION("one slot, and more slots than a target can have")
    {
        subject.slots = 1;
        subject.serve(seconds(5));
        CHECK(subject.capacity.limit(1) == 1);
        subject.slots = 4000000000U;
        subject.serve(milliseconds(100), 5);
        CHECK(subject.capacity.limit(subject.slots) == subject.slots);
    }
}

TEST_CASE("Balancers compare expected times to an answer", "[transit][capacity]")
{
    Fleet fleet(7);
    const TransitView& view = fleet.balancer(fleet.balancers[0]).fleet().view();
    TransitPlacement today("a");
    TransitPlacement learned("a");
    auto report = [&](std::size_t index, LoadReport load) {
        today.recordLoad(fleet.agents[index].address, { .busy = load.busy, .slots = load.slots });
        learned.recordLoad(fleet.agents[index].address, load);
    };
    auto shareOf = [&](const TransitPlacement& placement, std::size_t index) {
        constexpr std::uint32_t flows = 700;
        std::uint32_t count = 0;
        for (std::uint32_t i = 0; i < flows; ++i) {
            const TargetEntry* target = placement.choose(view, "web", flowOf(i), {}, fleet.now());
            count += target->record.address.address == fleet.agents[index].address;
        }
        return static_cast<double>(count) / flows;
    };

    SECTION("with limits equal to the slots and service times within a quarter of the mean, every choice is the same "
            "as by busy / slots, which guards against noise that moves load")
    {
        std::mt19937_64 random(3);
        for (std::uint32_t round = 0; round < 200; ++round) {
            for (std::size_t i = 0; i < fleet.agents.size(); ++i)
                report(i,
                    { .busy = static_cast<std::uint32_t>(random() % 9),
                        .slots = 4,
                        .limit = 4,
                        .serviceTimeUs = static_cast<std::uint32_t>(36000 + random() % 8000) });
            for (std::uint32_t i = 0; i < 20; ++i) {
                FlowTuple flow = flowOf(round * 20 + i);
                const TargetEntry* expected = today.choose(view, "web", flow, {}, fleet.now());
                const TargetEntry* chosen = learned.choose(view, "web", flow, {}, fleet.now());
                REQUIRE(chosen == expected);
                today.recordSent(chosen->record.address.address);
                learned.recordSent(chosen->record.address.address);
            }
        }
    }
    SECTION("a target of half the speed gets fewer flows at the same number of requests")
    {
        for (std::size_t i = 0; i < fleet.agents.size(); ++i)
            report(i, { .busy = 2, .slots = 4, .limit = 4, .serviceTimeUs = i == 3 ? 80000U : 40000U });
        CHECK(shareOf(learned, 3) < 0.02);
        CHECK(shareOf(today, 3) > 0.1);
    }
    SECTION("a target with half of its slots as its limit is as busy as one with twice the requests")
    {
        for (std::size_t i = 0; i < fleet.agents.size(); ++i)
            report(i, { .busy = i == 3 ? 2U : 3U, .slots = 4, .limit = i == 3 ? 2U : 4U, .serviceTimeUs = 40000 });
        CHECK(shareOf(learned, 3) < 0.02);
        CHECK(shareOf(today, 3) > 0.2);
        const TargetEntry* halved = view.targetAt({ fleet.agents[3].address, targetPort });
        const TargetEntry* other = view.targetAt({ fleet.agents[0].address, targetPort });
        REQUIRE(halved);
        REQUIRE(other);
        CHECK(learned.utilisationOf(*halved) == Approx(1));
        CHECK(learned.utilisationOf(*other) == Approx(0.75));
    }
    SECTION("a target that seems a hundred times as fast counts as four times as fast, which guards against errors "
            "that attract all flows")
    {
        for (std::size_t i = 0; i < fleet.agents.size(); ++i)
            report(i, { .busy = i == 3 ? 9U : 2U, .slots = 4, .limit = 4, .serviceTimeUs = i == 3 ? 400U : 40000U });
        CHECK(shareOf(learned, 3) < 0.02);
    }
    SECTION("targets whose speed is unknown are compared by busy / slots, as agents of the old version report it")
    {
        for (std::size_t i = 0; i < fleet.agents.size(); ++i)
            report(i, { .busy = 2, .slots = 4, .limit = 0, .serviceTimeUs = i < 2 ? 40000U : 0U });
        for (std::uint32_t i = 0; i < 200; ++i)
            CHECK(learned.choose(view, "web", flowOf(i), {}, fleet.now())
                == today.choose(view, "web", flowOf(i), {}, fleet.now()));
    }
}

TEST_CASE("Load reports carry the learned capacity", "[transit][capacity]")
{
    const PlatformPacketFormat format;
    LoadReport load { .busy = 1, .slots = 8, .flows = 3, .limit = 5, .serviceTimeUs = 47000 };
    TimePoint now { seconds(5).us };
    for (const MessageBody& body : { MessageBody(HeldMessage { .load = load }),
             MessageBody(StampMessage { .role = ProcessRole::Agent, .load = load }) }) {
        auto decoded = decodeMessage(encodeMessage({ StorePosition(7), body }, now), format, now);
        REQUIRE(decoded);
        if (const auto* held = std::get_if<HeldMessage>(&decoded->body))
            CHECK(held->load == load);
        else
            CHECK(std::get<StampMessage>(decoded->body).load == load);
    }
}

TEST_CASE("Settings of the learned capacity are checked", "[transit][capacity]")
{
    const std::string agent
        = R"({"vm":"v","failureDomain":"a","packets":"10.0.0.1:8172","data":"10.0.0.1:8172","status":"10.0.0.1:8167",
        "fleetPort":7720,"store":"10.0.0.2:8169","seeds":[],"isFirstStart":true,
        "target":"10.0.0.1:8165","service":"web",
        "warmupExcess":1.5,"warmupSlack":5)";
    std::vector<std::string> faults;

    SECTION("a file without them works")
    {
        PlatformSettings settings = parsePlatformSettings(ProcessRole::Agent, agent + "}", faults);
        CHECK(faults.empty());
        CHECK(settings.learnedCapacity);
        CHECK(settings.minCapacityPercent == 25);
    }
    SECTION("valid ones are taken")
    {
        PlatformSettings settings = parsePlatformSettings(
            ProcessRole::Agent, agent + R"(,"learnedCapacity":false,"minCapacityPercent":100})", faults);
        CHECK(faults.empty());
        CHECK_FALSE(settings.learnedCapacity);
        CHECK(settings.minCapacityPercent == 100);
    }
    SECTION("bad ones give a line each, with key, value and what is allowed")
    {
        parsePlatformSettings(
            ProcessRole::Agent, agent + R"(,"learnedCapacity":"yes","minCapacityPercent":0})", faults);
        REQUIRE(faults.size() == 2);
        CHECK(faults[0] == "learnedCapacity: \"yes\"; allowed: true or false");
        CHECK(faults[1] == "minCapacityPercent: 0; allowed: a number from 1.000000 to 100.000000");
    }
}

TEST_CASE("An agent releases requests by the learned limit", "[transit][capacity]")
{
    // Four slots are registered; the target runs two requests at a time, and the others wait within it.
    Fleet fleet(1);
    Endpoint agent = fleet.agents[0];
    FakeTransitTarget& target = fleet.target(agent.address);
    target.slots = 2;
    std::uint32_t next = 0;
    auto offer = [&](std::uint32_t count, Duration gap) {
        for (std::uint32_t i = 0; i < count; ++i) {
            FlowTuple flow = flowOf(next++);
            fleet.sendOpen(fleet.balancers[next % 3], flow);
            fleet.run(gap);
            fleet.sendRequest(fleet.balancers[next % 3], flow);
        }
    };
    offer(60, milliseconds(25));
    CHECK(fleet.agent(agent).load().limit == 4);
    // 200 a second; two slots of 20 ms serve 100.
    offer(800, milliseconds(5));
    CHECK(fleet.logLineCount("capacity_changed") >= 1);
    CHECK(fleet.agent(agent).load().limit <= 3);
    CHECK(fleet.agent(agent).load().serviceTimeUs > 0);
    auto gauges = fleet.agent(agent).gauges(fleet.now());
    REQUIRE(gauges.size() == 4); // Two of them are of transfers.
    CHECK(gauges[2].name == "target_limit");
    CHECK(gauges[2].value == fleet.agent(agent).load().limit);
    CHECK(gauges[3].name == "target_service_time_us");
    CHECK(gauges[3].value > 0);

    SECTION("and by the slots again for a new target at the same address")
    {
        fleet.restartTarget(agent.address, "new");
        fleet.run(seconds(2));
        CHECK(fleet.agent(agent).load().limit == 4);
        CHECK(fleet.agent(agent).load().serviceTimeUs == 0);
    }
    SECTION("and its balancers use it")
    {
        const TargetEntry* entry
            = fleet.balancer(fleet.balancers[0]).fleet().view().targetAt({ agent.address, targetPort });
        REQUIRE(entry);
        fleet.run(seconds(3));
        CHECK(fleet.agent(agent).load().busy == 0);
        CHECK(fleet.balancer(fleet.balancers[0]).placement().utilisationOf(*entry) == Approx(0));
    }
}

TEST_CASE("A target that slows down at half of its slots loses at most 3 % of the goodput", "[transit][capacity]")
{
    // Against targets that are registered with the right slots, for constant and for falling throughput above the knee.
    const char* name = GENERATE("knee at half, 0.9", "knee at half, 1.2", "falling above half, 0.9",
        "falling above half, 1.2", "wave of 55 % in 15 s, knee, 0.8");
    INFO(name);
    bench::CapacityLoad load = loadNamed(name);
    double learned = inTime(load, { .isLearning = true });
    CHECK(learned >= 0.97 * inTime(load, { .registeredSlots = 4 }));
    CHECK(learned >= 0.99 * inTime(load, {}));
}

TEST_CASE("Learned capacity is compared with registered slots", "[transit][capacity]")
{
    auto gain = [](const char* name) {
        INFO(name);
        bench::CapacityLoad load = loadNamed(name);
        return inTime(load, { .isLearning = true }) - inTime(load, {});
    };

    SECTION("targets that are alike are served as before")
    {
        CHECK(std::abs(gain("alike, 0.9")) <= 0.002);
        CHECK(std::abs(gain("alike, 1.2")) <= 0.005);
        CHECK(std::abs(gain("kinds of 5 and 70 ms, alike, 0.9")) <= 0.002);
    }
    SECTION("targets of speeds one to four are served better, and within a tenth of the hindsight bound")
    {
        CHECK(gain("speeds 1 to 4, 0.8") >= 0.02);
        CHECK(gain("speeds 1 to 4, 0.95") >= 0.04);
        CHECK(gain("quarter at half speed, 0.9") >= 0);
        CHECK(bench::runCapacityLoad(loadNamed("speeds 1 to 4, 0.8"), { .isLearning = true }).boundShare >= 0.9);
        CHECK(bench::runCapacityLoad(loadNamed("speeds 1 to 4, 0.95"), { .isLearning = true }).boundShare >= 0.9);
    }
    SECTION("a quarter that is slow for 6 s or cold is served no worse")
    {
        CHECK(gain("quarter slow for 6 s, 0.7") >= 0);
        CHECK(gain("two of eight cold, 0.7") >= -0.005);
    }
    SECTION("a new target at the same address is used at its own speed")
    {
        CHECK(gain("replaced by a faster one, 0.9") >= 0);
        CHECK(bench::runCapacityLoad(loadNamed("replaced by a faster one, 0.9"), { .isLearning = true }).boundShare
            >= 0.97);
    }
    SECTION("a whole service that slows down for 6 s loses less than 1 %, which guards against a trial at each of its "
            "targets while the load is beyond the capacity")
    {
        CHECK(gain("all slow for 6 s, 0.7") >= -0.01);
    }
    SECTION("a full load from the start on targets that are alike costs one trial each")
    {
        CHECK(gain("alike, 1.2, at once") >= -0.05);
    }
    SECTION("a target that resets or answers errors attracts at most 1.5 % more of the requests")
    {
        CHECK(gain("one resets requests, 0.7") >= -0.015);
        CHECK(gain("one answers errors, 0.7") >= -0.015);
    }
    SECTION("kinds of 5 and 70 ms on targets with a knee, and a full load from the start")
    {
        CHECK(gain("kinds of 5 and 70 ms, knee, 1.1") >= 0.1);
        CHECK(gain("falling above half, 0.9, at once") >= 0.2);
    }
}
