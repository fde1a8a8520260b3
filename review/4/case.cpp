/**
 * @file case.cpp
 * MIXED: a consumer gets a reset whose `seq` is far from its last `ack`, after the agent of its open flow
 * restarted and its host crashed.
 */
#include "../world.h"

using namespace review;

namespace {

constexpr std::uint16_t route = 443;
constexpr Milliseconds answerLimit { 2500 };
constexpr unsigned otherFlows = 8;

void exchange(World& world, Flow& flow, const std::string& id)
{
    flow.request(id);
    if (!world.loop().runUntil([&] { return flow.isAnswered(); }, answerLimit))
        throw CannotRun("request " + id + " is not answered");
}

int body(World& world, bool hasTrouble)
{
    world.setBalancers(1, { "zone-a" });
    world.configure(5, { { route } });
    Host& host = world.addHost(1, { .slots = 1 });
    host.start("host-1", false);
    world.startBalancer(1, true);
    world.startAgent(1, true);
    world.awaitReady("balancer-1");
    world.awaitReady("agent-1");
    world.run(1000);

    Flow& pooled = world.open(route, 1);
    exchange(world, pooled, "first");
    exchange(world, pooled, "second");
    if (hasTrouble) {
        world.kill("agent-1", SIGTERM); // A planned restart.
        world.awaitEnd("agent-1", 5000);
        world.run(300);
        world.startAgent(1);
        world.awaitReady("agent-1");
    }
    world.run(500);
    exchange(world, pooled, "third");
    // Other consumers keep the host busy, so that the next request waits at the agent.
    std::vector<Flow*> others;
    for (unsigned i = 0; i < otherFlows; ++i) {
        others.push_back(&world.open(route, 1));
        others.back()->request("other-" + std::to_string(i), "/take/120");
    }
    world.loop().runUntil([&] { return others.front()->isAnswered(); }, answerLimit);
    pooled.request("fourth", "/take/20");
    world.run(20);
    if (hasTrouble) {
        host.crash();
        world.run(2500);
    } else if (!world.loop().runUntil([&] { return pooled.isAnswered(); }, Milliseconds(5000))) {
        throw CannotRun("the last request is not answered");
    }
    std::size_t forged = pooled.forged();
    for (const Flow* flow : others)
        forged += flow->forged();
    world.record().write("packets that nobody may send, at consumers: %zu; at the host: %zu", forged, host.forged());
    return forged || host.forged() ? exitBroken : exitHeld;
}

}

int main(int argc, char** argv) { return runCase(argc, argv, body); }
