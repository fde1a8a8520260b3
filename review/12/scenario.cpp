// The platform's store comes back from a copy, and its revisions pass those known before until the readers call again.
// A configuration among these changes drops a route.
#include "../world-3.h"

using namespace lab;

int main(int, char** argv)
{
    World world(argv[1]);
    constexpr std::uint16_t keptRoute = 8443, droppedRoute = 8080;
    auto writeConfig = [&](int timeoutMs, bool hasSecond) {
        std::vector<World::Route> routes { { .name = "handover", .port = keptRoute, .service = "courier-api",
            .timeoutMs = timeoutMs } };
        if (hasSecond)
            routes.push_back({ .name = "handover-old", .port = droppedRoute, .service = "courier-api" });
        world.writeConfig(routes, { "courier-api" });
    };
    world.addBalancers({ "sofia-a", "sofia-a", "sofia-b", "sofia-b", "sofia-c" });
    std::vector<std::pair<std::string, std::string>> hosts;
    for (const char* zone : { "sofia-a", "sofia-a", "sofia-a", "sofia-b", "sofia-b", "sofia-c", "sofia-c" })
        hosts.emplace_back(zone, "courier-api");
    world.addHosts(hosts);
    writeConfig(2000, true);
    for (auto& host : world.hosts)
        host->start();
    world.startAll();

    Store::Copy copy;
    double droppedAt = 0;
    auto& loop = world.loop;
    double start = now();
    loop.at(start + 5, [&] {
        if (!world.areAllReady())
            cannotRun("not all balancers are ready");
        world.startTraffic(60, keptRoute, 34);
        world.startTraffic(10, droppedRoute, 34);
    });
    // The hosts of sofia-b were updated; each writes another Version. The operator changes a time-out.
    loop.at(start + 8, [&] { copy = world.store->copy(); });
    auto writeVersions = [&] {
        for (int number : { 4, 5 })
            world.host(number).setVersion("v2");
    };
    loop.at(start + 9, writeVersions);
    loop.at(start + 10, [&] { writeConfig(1900, true); });
    if (world.hasTrouble) {
        loop.at(start + 13, [&] {
            world.record.say("the store is away, at revision " + std::to_string(world.store->revision()));
            world.isStoreWritable = false;
            world.store->goAway();
        });
    }
    // Back after 1 s. What was written is written again at once: the operator has a further change by now, which drops a
    // route, and the hosts write when the store is there again.
    loop.at(start + 14, [&] {
        if (world.hasTrouble) {
            world.store->comeBackFrom(copy);
            world.isStoreWritable = true;
            world.record.say("the store is back from a copy 5 s old, at revision " + std::to_string(copy.revision));
        }
        writeConfig(1900, true);
        writeConfig(1900, false);
        droppedAt = now();
        world.record.say("the configuration without the second route is acknowledged, at revision "
            + std::to_string(world.store->revision()));
        for (int number : { 4, 5 })
            world.host(number).writeEntry();
        world.record.say("all is written again, at revision " + std::to_string(world.store->revision()));
    });
    loop.at(start + 41, [&] { loop.stop(); });
    loop.run();

    // ConfigMs is 3,000; ContactMs 4,000 and PartitionMs 12,000 are added for the store's absence.
    constexpr double boundS = 3 + 4 + 12;
    int before = 0, late = 0, lateRun = 0;
    for (const auto& [request, sent] : world.sentTo(droppedRoute)) {
        bool hasRun = world.runsOf.contains(request);
        before += hasRun && sent < droppedAt;
        late += sent > droppedAt + boundS;
        lateRun += hasRun && sent > droppedAt + boundS;
    }
    world.record.say("sent " + std::to_string(world.sent) + ", answered " + std::to_string(world.answered) + ", resets "
        + std::to_string(world.resets) + ", calls to the store " + std::to_string(world.store->calls()));
    world.record.say("of the dropped route ran " + std::to_string(before) + " requests before it was dropped; of "
        + std::to_string(late) + " sent later than 19 s after the ack ran " + std::to_string(lateRun));
    world.endAll();
    if (before < 20 || late < 20)
        cannotRun("too little was sent");
    return lateRun ? 1 : 0;
}
