/**
 * @file case.cpp
 * A host is added during traffic and is cold. The process beside it is killed once; the platform starts it again half a
 * second later. Exit status: 1 when the host gets more flows in a second than a cold host may.
 */
#include "../world-2.h"

using namespace review2;

namespace {

constexpr std::int64_t trafficAt = 2500;
constexpr std::int64_t addedAt = 6000;
constexpr std::int64_t end = 12000;
constexpr std::int64_t requestGap = 4;
constexpr int requestsAtOnce = 2; ///< 500 requests a second; four hosts bear 660.

int run(const std::string& folder)
{
    Figures figures;
    figures.warmupS = 2;
    figures.warmupPerS = 10;
    World world(folder, figures);
    for (const char* zone : { "zone-a", "zone-a", "zone-b", "zone-b", "zone-c" })
        world.addFrontend(zone);
    for (const char* zone : { "zone-a", "zone-b", "zone-c", "zone-a", "zone-b" })
        world.addSide("tracking", zone);
    Host& cold = *world.hosts.back();
    Process& agent = *world.agents.back();
    world.configure("tracking");
    world.start(&cold);
    // The host is added with its machine, whose process is ready when the host starts.
    world.loop.after(addedAt - 1000, [&] { agent.start(); });
    world.loop.after(addedAt, [&] { cold.start(true); });
    auto limit = static_cast<std::size_t>(figures.warmupPerS * figures.warmupExcess + figures.warmupSlack);
    std::function<void()> killIfBusy = [&] {
        if (nowMs() >= end)
            return;
        if (cold.opened().size() + 2 < limit)
            return world.loop.after(1, killIfBusy);
        agent.signal(SIGKILL);
    };
    if (hasTrouble())
        world.loop.after(addedAt, killIfBusy);
    std::function<void()> send = [&] {
        if (nowMs() >= end)
            return;
        for (int i = 0; i < requestsAtOnce; ++i)
            world.consumers->request("198.18.0.1", 8443, 1500);
        world.loop.after(requestGap, send);
    };
    world.loop.after(trafficAt, send);
    world.loop.after(end + 2000, [&] { world.loop.stop(); });
    world.loop.run();
    return world.judgeColdHost(cold, limit);
}

}

int main(int, char** arguments)
{
    try {
        return run(arguments[1]);
    } catch (const CannotRun& problem) {
        fprintf(stderr, "cannot run: %s\n", problem.what());
        return 2;
    }
}
