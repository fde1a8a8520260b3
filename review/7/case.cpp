/**
 * @file case.cpp
 * Another writer registers the address of each host a second time, under a service that the configuration does not
 * name. Such an entry names no host to use, and the hosts' own entries hold. Exit status: 1 when no request is served.
 */
#include "../world-2.h"

using namespace review2;

namespace {

constexpr std::int64_t trafficAt = 3000;
constexpr std::int64_t trafficEnd = 15000;
constexpr std::int64_t requestGap = 25;

int run(const std::string& folder)
{
    World world(folder, {});
    for (const char* zone : { "zone-a", "zone-a", "zone-b", "zone-b", "zone-c" })
        world.addFrontend(zone);
    for (const char* zone : { "zone-a", "zone-b", "zone-c" })
        world.addSide("receipts", zone);
    world.configure("receipts");
    world.start();

    world.loop.after(1500, [&] {
        if (!hasTrouble())
            return;
        for (const auto& host : world.hosts) {
            // All fields are there and of the right type; the service is not named in the configuration.
            world.store->put("servers/old-" + host->id(),
                "{\"Service\":\"receipts-old\",\"Addr\":\"" + host->address() + "\",\"Zone\":\"" + host->zone()
                    + "\",\"Version\":\"v1\",\"MaxConcurrency\":5,\"State\":\"ready\",\"WarmupLeftMs\":0,\"Seq\":1,"
                      "\"born\":"
                    + std::to_string(unixMs()) + "}");
        }
    });
    std::function<void()> send = [&] {
        if (nowMs() >= trafficEnd)
            return;
        world.consumers->request("198.18.0.1", 8443, 1500);
        world.loop.after(requestGap, send);
    };
    world.loop.after(trafficAt, send);
    world.loop.after(trafficEnd + 2500, [&] { world.loop.stop(); });
    world.loop.run();

    std::map<End, int> ends;
    for (const Attempt& attempt : world.consumers->attempts())
        ++ends[attempt.end.value_or(End::NoAnswer)];
    std::size_t total = world.consumers->attempts().size();
    int ran = 0;
    for (const auto& host : world.hosts)
        ran += host->ran();
    for (const auto& [end, count] : ends)
        world.record.line("of %zu requests: %d %s", total, count, nameOf(end));
    world.record.line("hosts ran %d requests; %zu frontend nodes of the consumers' zone in rotation", ran,
        world.routers->inRotation());
    int answered = ends[End::Answered];
    if (world.routers->inRotation() < 2 || total < 400)
        throw CannotRun("the deployment did not come up");
    world.record.line(answered == 0 ? "BROKEN: no request is served" : "held: requests are served");
    printf("%d of %zu requests served\n", answered, total);
    return answered == 0 ? 1 : 0;
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
