#include "fake_fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hawthorncroft;
using namespace hawthorncroft::fake;

namespace {

constexpr std::uint32_t balancerCount = 4;
constexpr std::uint32_t targetCount = 7;

/** One failure or operation of a random schedule. */
struct Step {
    std::uint32_t kind {}; ///< Index into actions.
    std::uint32_t selector {}; ///< Selects the affected process or failure domain.
    std::uint32_t pauseMs {}; ///< Time until the next step.
};

using Action = void (*)(Fleet& fleet, std::uint32_t selector);

const std::vector<std::pair<const char*, Action>> actions {
    { "stop one balancer and add another",
        [](Fleet& fleet, std::uint32_t selector) {
            fleet.killBalancer(selector % balancerCount);
            fleet.addBalancer();
        } },
    { "pause a balancer",
        [](Fleet& fleet, std::uint32_t selector) { fleet.pauseBalancer(selector % balancerCount, seconds(4)); } },
    { "restart an agent",
        [](Fleet& fleet, std::uint32_t selector) { fleet.restartAgent(selector % targetCount + 1); } },
    { "restart a target",
        [](Fleet& fleet, std::uint32_t selector) { fleet.restartTarget(selector % targetCount + 1); } },
    { "turn a target cold",
        [](Fleet& fleet, std::uint32_t selector) { fleet.turnCold(selector % targetCount + 1, 3); } },
    { "drain a target", [](Fleet& fleet, std::uint32_t selector) { fleet.drainTarget(selector % 2 + 1); } },
    { "take a failure domain out of service",
        [](Fleet& fleet, std::uint32_t selector) { fleet.setOutOfService({ fleet.domainOf(selector % 3) }); } },
    { "return all failure domains to service", [](Fleet& fleet, std::uint32_t) { fleet.setOutOfService({}); } },
    { "switch the preset",
        [](Fleet& fleet, std::uint32_t selector) { fleet.setPreset(selector % 2 ? "peak" : "ordinary"); } },
    { "disconnect a balancer from its configuration for 3 s",
        [](Fleet& fleet, std::uint32_t selector) {
            std::uint32_t index = selector % balancerCount;
            fleet.setConfigDisconnected(index, true);
            fleet.after(seconds(3), [&fleet, index] { fleet.setConfigDisconnected(index, false); });
        } },
    { "delay the configuration of a balancer by 900 ms",
        [](Fleet& fleet, std::uint32_t selector) {
            fleet.setConfigDelay(selector % balancerCount, milliseconds(900));
        } },
};

std::string describe(std::uint64_t seed, const std::vector<Step>& steps)
{
    std::string text = "seed " + std::to_string(seed);
    for (const Step& step : steps)
        text += std::string("; ") + actions[step.kind].first + " " + std::to_string(step.selector) + ", then "
            + std::to_string(step.pauseMs) + " ms";
    return text;
}

}

TEST_CASE("Random schedules of failures and operations", "[fleet][property]")
{
    // Guards against violations in combinations of failures that no other test covers. RapidCheck prints the failing
    // schedule.
    bool holds = rc::check("no guarantee is violated after any step", [] {
        auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        auto steps = *rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
            rc::gen::set(&Step::kind, rc::gen::inRange<std::uint32_t>(0, static_cast<std::uint32_t>(actions.size()))),
            rc::gen::set(&Step::selector, rc::gen::inRange<std::uint32_t>(0, 100)),
            rc::gen::set(&Step::pauseMs, rc::gen::inRange<std::uint32_t>(0, 2500))));
        Fleet fleet({ .seed = seed,
            .balancers = balancerCount,
            .targets = targetCount,
            .jitter = milliseconds(4),
            .loss = 0.02,
            .duplicates = 0.1,
            .feedInterval = milliseconds(400) });
        for (std::uint32_t i = 0; i < 14; ++i)
            fleet.feed(i % 10);
        fleet.run(seconds(1));
        fleet.startRequestLoad(150, seconds(20));
        fleet.upload(1, 60000);
        for (const Step& step : steps) {
            actions[step.kind].second(fleet, step.selector);
            fleet.run(milliseconds(step.pauseMs));
            ViolationReport report = fleet.check();
            RC_LOG() << describe(seed, steps) << " -> " << toString(report);
            RC_ASSERT(report.isClean());
        }
        fleet.run(seconds(16));
        RC_LOG() << describe(seed, steps) << " -> at the end " << toString(fleet.check());
        RC_ASSERT(fleet.check().isClean());
    });
    CHECK(holds);
}
