/**
 * @file case.cpp
 * CONFIG: an answer of the store that arrives late takes a route out of force that newer configurations have.
 */
#include "../world.h"

using namespace review;

namespace {

constexpr std::uint16_t stableRoute = 8443;
constexpr std::uint16_t restoredRoute = 443;
constexpr Milliseconds slowAnswer { 300 }; ///< 4 ms x 75; the site file has x = 60 and, on a day, 90.
constexpr unsigned betweenChangesMs = 100;
constexpr unsigned settleMs = 9000; ///< More than ConfigMs (3 s) after the last ack and ContactMs (4 s) after the disruption.

/** Opens a flow and sends one request through a balancer. @return Whether the request was answered. */
bool isServed(World& world, std::uint16_t route, unsigned balancer, const std::string& id)
{
    Flow& flow = world.open(route, balancer);
    flow.request(id);
    world.loop().runUntil(
        [&] { return flow.isAnswered() || flow.end() != Flow::End::None; }, Milliseconds(2500));
    if (!flow.isAnswered())
        world.record().write("request %s through balancer %u was not served", id.c_str(), balancer);
    return flow.isAnswered();
}

int body(World& world, bool hasTrouble)
{
    Store& store = world.store();
    world.setBalancers(2, { "zone-a", "zone-b" });
    world.configure(5, { { restoredRoute }, { stableRoute } });
    world.addHost(1, { .zone = "zone-a" }).start("host-1", false);
    world.addHost(2, { .zone = "zone-b" }).start("host-2", false);
    for (unsigned i : { 1U, 2U }) {
        world.startBalancer(i, true);
        world.startAgent(i, true);
    }
    for (const char* name : { "balancer-1", "balancer-2", "agent-1", "agent-2" })
        world.awaitReady(name);
    world.run(3000);
    for (unsigned i : { 1U, 2U }) {
        if (!isServed(world, restoredRoute, i, "before-" + std::to_string(i)))
            throw CannotRun("the route is not served before the disruption");
    }

    // Changes in quick succession: version 6 drops the route, version 7 brings it back.
    if (hasTrouble) {
        for (const char* name : { "balancer-1", "balancer-2" }) {
            store.policyOf(name).isDeaf = true; // The store is about to discard its history: watches hear nothing.
            store.policyOf(name).answerTime = slowAnswer;
        }
    }
    world.configure(6, { { .port = stableRoute, .timeoutMs = 2600 } });
    if (hasTrouble) {
        store.discardHistory();
        store.cutWatches("balancer-1");
    }
    world.run(betweenChangesMs);
    world.configure(7, { { restoredRoute }, { .port = stableRoute, .timeoutMs = 2700 } });
    world.record().write("the store has acknowledged version 7");
    if (hasTrouble) {
        store.discardHistory();
        for (const char* name : { "balancer-1", "balancer-2" })
            store.policyOf(name) = {};
        store.cutWatches("balancer-2");
        world.record().write("the store's impairment ends");
    }

    world.run(settleMs);
    bool isBroken = false;
    for (unsigned round = 1; round <= 3; ++round) {
        for (unsigned i : { 1U, 2U })
            isBroken |= !isServed(
                world, restoredRoute, i, "after-" + std::to_string(round) + "-through-" + std::to_string(i));
        world.run(1000);
    }
    // A flow that was opened through balancer 2 under version 7 moves to balancer 1, as balancer 2 is stopped as planned.
    unsigned router = 2;
    Flow& moved = world.open(restoredRoute, [&] { return router; });
    moved.request("opened-through-2");
    if (!world.loop().runUntil([&] { return moved.isAnswered(); }, Milliseconds(2500)))
        throw CannotRun("the route is not served by balancer 2 either");
    world.kill("balancer-2", SIGTERM);
    world.run(1500); // The routers probe twice per second and leave a node after two misses.
    router = 1;
    moved.request("moved-to-1");
    world.loop().runUntil([&] { return moved.isAnswered() || moved.end() != Flow::End::None; }, Milliseconds(2500));
    isBroken |= !moved.isAnswered();
    world.awaitEnd("balancer-2", 8000);
    world.startBalancer(2);
    world.awaitReady("balancer-2");
    world.run(3000);

    // The next change in the store, long after it is sound again: a host drains. It makes the processes exchange their
    // views; balancer 1 hears of it first.
    world.store().policyOf("balancer-2").answerTime = Milliseconds(30);
    world.host(2).setState("draining");
    world.run(5000);
    for (unsigned i : { 1U, 2U })
        isBroken |= !isServed(world, restoredRoute, i, "after-the-next-change-through-" + std::to_string(i));
    return isBroken ? exitBroken : exitHeld;
}

}

int main(int argc, char** argv) { return runCase(argc, argv, body); }
