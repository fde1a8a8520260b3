#include "fabric_base.h"

#include <catch2/catch.hpp>

#include <set>

using namespace hawthorncroft;

namespace {

constexpr Endpoint balancerA { 0x7f000001, 7001 };
constexpr Endpoint balancerB { 0x7f000001, 7002 };
constexpr Endpoint callerX { 0x7f000001, 4001 };
constexpr Endpoint callerY { 0x7f000001, 4002 };

/** A fabric with a manual clock. */
struct Network {
    explicit Network(FabricSettings settings)
        : fabric(std::move(settings))
    {
    }

    void sendFrom(Endpoint caller, std::uint8_t byte) { fabric.onCallerDatagram(now, caller, { &byte, 1 }, effects); }

    template <typename Effect> std::vector<Effect> takeEffects()
    {
        std::vector<Effect> found;
        for (const auto& effect : effects) {
            if (const auto* match = std::get_if<Effect>(&effect))
                found.push_back(*match);
        }
        effects.clear();
        return found;
    }

    void tickFor(Duration duration)
    {
        now = now + duration;
        fabric.onTick(now, effects);
    }

    FabricCore fabric;
    TimePoint now { 1000000 };
    FabricEffects effects;
};

FabricSettings twoBalancers()
{
    return { .paths
        = { { .balancer = balancerA, .delay = milliseconds(1) }, { .balancer = balancerB, .delay = milliseconds(3) } },
        .seed = 9 };
}

}

TEST_CASE("The fabric stand-in", "[fabric]")
{
    Network network(twoBalancers());

    SECTION("distributes a caller's packets over all balancers, each with the delay of its path")
    {
        for (int i = 0; i < 200; ++i)
            network.sendFrom(callerX, 1);
        CHECK(network.takeEffects<OpenSession>().size() == 1);
        network.tickFor(milliseconds(1));
        auto firstDelivered = network.takeEffects<SendToBalancer>();
        CHECK(firstDelivered.size() > 70);
        for (const auto& sent : firstDelivered)
            CHECK(sent.to == balancerA);
        network.tickFor(milliseconds(2));
        CHECK(firstDelivered.size() + network.takeEffects<SendToBalancer>().size() == 200);

        SECTION("and changes the list of balancers at run time, which guards against packets to a removed balancer")
        {
            CHECK(network.fabric.command("remove 127.0.0.1:7001") == "ok");
            CHECK(network.fabric.command("add 127.0.0.1:7003 500") == "ok");
            for (int i = 0; i < 100; ++i)
                network.sendFrom(callerX, 1);
            network.tickFor(milliseconds(3));
            std::set<std::uint16_t> ports;
            for (const auto& sent : network.takeEffects<SendToBalancer>())
                ports.insert(sent.to.port);
            CHECK(ports == std::set<std::uint16_t> { 7002, 7003 });
        }
    }
    SECTION("returns replies to the caller whose socket received them, which guards against replies to another caller")
    {
        network.sendFrom(callerX, 1);
        network.sendFrom(callerY, 2);
        auto sessions = network.takeEffects<OpenSession>();
        REQUIRE(sessions.size() == 2);
        std::uint8_t byte = 7;
        network.fabric.onBalancerDatagram(network.now, sessions[1].session, balancerB, { &byte, 1 });
        network.tickFor(milliseconds(2));
        CHECK(network.takeEffects<SendToCaller>().empty());
        network.tickFor(milliseconds(1));
        auto back = network.takeEffects<SendToCaller>();
        REQUIRE(back.size() == 1);
        CHECK(back[0].to == callerY);
        CHECK(back[0].bytes == std::vector<std::uint8_t> { 7 });
    }
    SECTION("drops, duplicates and reorders the configured shares, deterministically for a seed")
    {
        for (const char* line : { "drop 200", "duplicate 100", "reorder 300" })
            CHECK(network.fabric.command(line) == "ok");
        FabricSettings same = twoBalancers();
        same.dropPerMille = 200;
        same.duplicatePerMille = 100;
        same.reorderPerMille = 300;
        Network twin(same);
        for (int i = 0; i < 5000; ++i) {
            network.sendFrom(callerX, 1);
            twin.sendFrom(callerX, 1);
        }
        const FabricCounters& counters = network.fabric.counters();
        CHECK(counters.dropped > 900);
        CHECK(counters.dropped < 1100);
        CHECK(counters.duplicated > 320);
        CHECK(counters.duplicated < 480);
        CHECK(counters.reordered > 1080);
        CHECK(counters.reordered < 1320);
        CHECK(twin.fabric.command("status") == network.fabric.command("status"));
        network.tickFor(seconds(1));
        CHECK(network.takeEffects<SendToBalancer>().size() == 5000 - counters.dropped + counters.duplicated);
    }
    SECTION("disconnects one balancer in both directions until it is joined again")
    {
        CHECK(network.fabric.command("cut 127.0.0.1:7001") == "ok");
        for (int i = 0; i < 100; ++i)
            network.sendFrom(callerX, 1);
        SessionId session = network.takeEffects<OpenSession>().at(0).session;
        std::uint8_t byte = 7;
        network.fabric.onBalancerDatagram(network.now, session, balancerA, { &byte, 1 });
        network.tickFor(seconds(1));
        for (const auto& sent : network.takeEffects<SendToBalancer>())
            CHECK(sent.to == balancerB);
        CHECK(network.fabric.command("join 127.0.0.1:7001") == "ok");
        network.fabric.onBalancerDatagram(network.now, session, balancerA, { &byte, 1 });
        network.tickFor(seconds(1));
        CHECK(network.takeEffects<SendToCaller>().size() == 1);
    }
    SECTION("closes the socket of an idle caller, which guards against running out of sockets")
    {
        network.sendFrom(callerX, 1);
        network.effects.clear();
        network.tickFor(fabricSessionTimeout + seconds(5));
        CHECK(network.takeEffects<CloseSession>().size() == 1);
    }
    SECTION("rejects invalid commands with an error message")
    {
        CHECK(network.fabric.command("drop 2000") == "a number from 0 to 1000 is expected");
        CHECK(network.fabric.command("drop") == "a whole number is expected");
        CHECK(network.fabric.command("cut 127.0.0.1:9") == "no such balancer");
        CHECK(network.fabric.command("cut here") == "an IPv4 address with a port is expected");
        CHECK(network.fabric.command("explode") == "unknown command explode");
    }
}
