/**
 * @file case.cpp
 * Feeds are open while another writer registers the addresses of the hosts a second time, under a service that the
 * configuration does not name. Then two of five frontend nodes are stopped and started in turn, as planned, twice. Exit
 * status: 1 when an open flow of a living host is reset by the system.
 */
#include "../world-2.h"

using namespace review2;

namespace {

constexpr std::int64_t feedsAt = 3000;
constexpr std::int64_t entriesAt = 6000;
constexpr std::int64_t firstStopAt = 8000;
constexpr std::int64_t stopGap = 8000;
constexpr std::int64_t stops = 4;
constexpr std::int64_t end = 43000;
constexpr int feedCount = 60;

int run(const std::string& folder)
{
    World world(folder, {});
    for (const char* zone : { "zone-a", "zone-a", "zone-b", "zone-b", "zone-c" })
        world.addFrontend(zone);
    for (int i = 0; i < 6; ++i)
        world.addSide("tracking", i % 3 == 0 ? "zone-a" : i % 3 == 1 ? "zone-b" : "zone-c");
    world.configure("tracking");
    world.start();
    for (int i = 0; i < feedCount; ++i)
        world.loop.after(feedsAt + i * 20, [&] { world.consumers->feed("198.18.0.1", 8443, 150, end); });
    world.loop.after(entriesAt, [&] {
        if (!hasTrouble())
            return;
        for (const auto& host : world.hosts)
            world.store->put("servers/old-" + host->id(),
                "{\"Service\":\"tracking-old\",\"Addr\":\"" + host->address() + "\",\"Zone\":\"" + host->zone()
                    + "\",\"Version\":\"v1\",\"MaxConcurrency\":5,\"State\":\"ready\",\"WarmupLeftMs\":0,\"Seq\":1,"
                      "\"born\":"
                    + std::to_string(unixMs()) + "}");
    });
    // The routers probe each node every 500 ms. The stops are at different times between two probes.
    for (std::int64_t i = 0; i < stops; ++i)
        world.loop.after(firstStopAt + i * (stopGap + 125),
            [&world, i] { world.consumerFrontends[static_cast<std::size_t>(i % 2)].second->signal(SIGTERM); });
    world.loop.after(end + 500, [&] { world.loop.stop(); });
    world.loop.run();

    int opened = 0;
    int resets = 0;
    for (const Feed& feed : world.consumers->feeds()) {
        opened += feed.isOpen;
        resets += feed.isOpen && feed.isReset;
        if (feed.isOpen && feed.isReset)
            world.record.line("feed from port %u: opened at %.3f, %d answers, reset by the system at %.3f", feed.port,
                static_cast<double>(feed.openedAt) / 1000, feed.answered, static_cast<double>(feed.resetAt) / 1000);
    }
    int restarts = 0;
    for (const auto& [ip, process] : world.consumerFrontends)
        restarts += process->starts() - 1;
    world.record.line("%d feeds opened, %d of them reset; %d planned restarts", opened, resets, restarts);
    if (opened < feedCount || restarts < stops)
        throw CannotRun("the deployment did not come up");
    world.record.line(resets ? "BROKEN: open flows of living hosts were reset" : "held");
    printf("%d of %d open flows reset\n", resets, opened);
    return resets ? 1 : 0;
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
