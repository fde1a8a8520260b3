// The platform's store comes back from a copy some seconds old; afterwards a zone is evacuated.
#include "../world-3.h"


using namespace lab;

int main(int, char** argv)
{
    World world(argv[1]);
    constexpr std::uint16_t route = 8443;
    auto writeConfig = [&](int timeoutMs) {
        world.writeConfig({ { .name = "handover", .port = route, .service = "courier-api", .timeoutMs = timeoutMs } },
            { "courier-api" });
    };
    world.addBalancers({ "sofia-a", "sofia-a", "sofia-b", "sofia-b", "sofia-c" });
    std::vector<std::pair<std::string, std::string>> hosts;
    for (const char* zone : { "sofia-a", "sofia-a", "sofia-a", "sofia-b", "sofia-b", "sofia-c", "sofia-c" })
        hosts.emplace_back(zone, "courier-api");
    world.addHosts(hosts);
    writeConfig(2000);
    for (auto& host : world.hosts)
        host->start();
    world.startAll();

    Store::Copy copy;
    double evacuatedAt = 0, takenBackAt = 0;
    auto& loop = world.loop;
    double start = now();
    loop.at(start + 5, [&] {
        if (!world.areAllReady())
            cannotRun("not all balancers are ready");
        world.startTraffic(60, route, 38);
    });
    // The operator changes the configuration six times within five seconds.
    loop.at(start + 8, [&] { copy = world.store->copy(); });
    for (int i = 0; i < 6; ++i)
        loop.at(start + 8.5 + i * 0.8, [&, i] { writeConfig(1900 - 10 * i); });
    if (world.hasTrouble) {
        loop.at(start + 13, [&] {
            world.record.say("the store is away, at revision " + std::to_string(world.store->revision()));
            world.isStoreWritable = false;
            world.store->goAway();
        });
        loop.at(start + 14, [&] {
            world.store->comeBackFrom(copy);
            world.isStoreWritable = true;
            world.record.say("the store is back from a copy 5 s old, at revision " + std::to_string(copy.revision));
        });
    }
    // What the operator and the hosts wrote is written again (the hosts: with their next heartbeat).
    loop.at(start + 14.3, [&] { writeConfig(1850); });
    loop.at(start + 22, [&] {
        std::uint64_t revision = world.store->put("op/evacuate/sofia-b", "{}");
        evacuatedAt = now();
        world.record.say("the evacuation of sofia-b is acknowledged, at revision " + std::to_string(revision));
    });
    loop.at(start + 42, [&] {
        world.store->remove("op/evacuate/sofia-b");
        takenBackAt = now();
        world.record.say("sofia-b is taken back");
    });
    loop.at(start + 44, [&] { loop.stop(); });
    loop.run();

    constexpr double evacuationS = 5.0;
    int late = 0, before = 0;
    for (auto& host : world.hosts) {
        if (host->zone != "sofia-b")
            continue;
        for (const Taken& taken : host->taken) {
            before += taken.at < evacuatedAt;
            late += taken.sentAt > evacuatedAt + evacuationS && taken.at < takenBackAt;
        }
    }
    world.record.say("sent " + std::to_string(world.sent) + ", answered " + std::to_string(world.answered) + ", resets "
        + std::to_string(world.resets) + ", calls to the store " + std::to_string(world.store->calls()));
    world.record.say("hosts of sofia-b took " + std::to_string(before) + " opening packets before the evacuation, and "
        + std::to_string(late) + " later than 5 s after its ack");
    world.endAll();
    if (before < 20 || world.answered < world.sent * 8 / 10)
        cannotRun("too little was served");
    return late ? 1 : 0;
}
