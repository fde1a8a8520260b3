// The agent beside a host that has just started is killed and starts again, while the host is cold.
#include "../lab-3/lab.h"

using namespace lab;

int main(int, char** argv)
{
    constexpr double warmupPerS = 4;
    constexpr int limit = 11; // WarmupPerS x WarmupExcess + WarmupSlack = 4 x 1.5 + 5
    World world(argv[1], warmupPerS);
    constexpr std::uint16_t route = 8443;
    world.addBalancers({ "sofia-a", "sofia-a", "sofia-b", "sofia-b", "sofia-c" });
    world.addHosts({ { "sofia-a", "courier-api" }, { "sofia-b", "courier-api" }, { "sofia-c", "courier-api" } });
    world.writeConfig({ { .name = "handover", .port = route, .service = "courier-api" } }, { "courier-api" });
    for (auto& host : world.hosts)
        host->start(false);
    world.startAll();
    auto& loop = world.loop;
    double start = now();
    loop.at(start + 5, [&] {
        if (!world.areAllReady())
            cannotRun("not all balancers are ready");
        world.startTraffic(180, route, 20);
    });
    // The host of sofia-a is down for 4.5 s and comes back cold.
    loop.at(start + 10, [&] { world.host(1).crash(); });
    double back = start + 14.5;
    loop.at(back, [&] { world.host(1).start(true); });
    // Once host 1 has taken eight opening packets in its warm-up, the process beside it is killed. The platform starts
    // it again after a short delay.
    const char* text = std::getenv("RESTART_S");
    double restartS = text ? std::atof(text) : 0.5;
    std::function<void()> look = [&] {
        int count = 0;
        for (const Taken& taken : world.host(1).taken)
            count += taken.isCold;
        if (count < 8) {
            loop.after(0.02, look);
            return;
        }
        world.killChild("agent-1", SIGKILL);
        loop.after(restartS, [&] { world.startChild("agent-1", false); });
    };
    if (world.hasTrouble)
        loop.at(back, look);
    loop.at(start + 26, [&] { loop.stop(); });
    loop.run();

    bool isBroken = false;
    for (auto& host : world.hosts) {
        int most = World::mostInASecond(host->taken, true);
        world.record.say("host " + std::to_string(host->number) + " took at most " + std::to_string(most)
            + " opening packets in a second while it was cold; allowed are " + std::to_string(limit));
        isBroken |= most > limit;
    }
    world.record.say("sent " + std::to_string(world.sent) + ", answered " + std::to_string(world.answered) + ", resets "
        + std::to_string(world.resets));
    world.endAll();
    if (world.answered < world.sent / 4)
        cannotRun("too little was served");
    return isBroken ? 1 : 0;
}
