/**
 * @file case.cpp
 * FLOW: an open flow is reset while its host lives. The host restarted while the store was away, and its agent after it.
 */
#include "../world.h"

using namespace review;

namespace {

constexpr std::uint16_t route = 443;
constexpr unsigned flowCount = 8;
constexpr unsigned inTouchMs = 5500; ///< More than ContactMs (4 s) after the last disruption; less than IdleTimeoutMs.

int body(World& world, bool hasTrouble)
{
    world.setBalancers(2, { "zone-a", "zone-b" });
    world.configure(5, { { route } });
    for (unsigned i : { 1U, 2U }) {
        world.addHost(i, { .zone = i == 1 ? "zone-a" : "zone-b" }).start("host-" + std::to_string(i), false);
        world.startAgent(i, true);
        world.startBalancer(i, true);
    }
    for (const char* name : { "balancer-1", "balancer-2", "agent-1", "agent-2" })
        world.awaitReady(name);
    world.run(5000);

    Host& host = world.host(1);
    if (hasTrouble) {
        world.store().setDown(true);
        world.run(200);
        host.crash();
        world.run(300);
        host.start("host-1-again", false);
    }
    world.run(700);
    std::vector<Flow*> flows;
    for (unsigned i = 0; i < flowCount; ++i) {
        flows.push_back(&world.open(route, 1 + i % 2));
        flows.back()->request("first-" + std::to_string(i));
        world.run(50);
    }
    world.run(300);
    if (hasTrouble) {
        world.kill("agent-1", SIGTERM); // A planned restart.
        world.awaitEnd("agent-1", 5000);
        world.run(300);
        world.startAgent(1);
        world.awaitReady("agent-1");
        world.run(1000);
        world.store().setDown(false);
    }
    world.run(inTouchMs);

    std::size_t held = 0;
    std::size_t reset = 0;
    std::size_t unanswered = 0;
    for (unsigned i = 0; i < flowCount; ++i) {
        Flow& flow = *flows[i];
        if (!flow.isAnswered() || !host.holds(flow.self()))
            continue;
        ++held;
        flow.request("second-" + std::to_string(i));
        world.loop().runUntil(
            [&] { return flow.isAnswered() || flow.end() != Flow::End::None; }, Milliseconds(2500));
        bool isBroken = flow.end() == Flow::End::Reset && !flow.wasResetByHost() && host.holds(flow.self());
        reset += isBroken;
        unanswered += !flow.isAnswered();
    }
    world.record().write("host 1 holds %zu of the open flows; %zu of them were reset by the system, %zu requests were not "
                         "answered",
        held, reset, unanswered);
    if (!held)
        throw CannotRun("host 1 holds none of the flows");
    return reset ? exitBroken : exitHeld;
}

}

int main(int argc, char** argv) { return runCase(argc, argv, body); }
