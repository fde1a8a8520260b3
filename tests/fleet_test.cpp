#include "fake_fleet.h"

#include <catch2/catch.hpp>

using namespace hawthorncroft;
using namespace hawthorncroft::fake;

namespace {

/** Checks every guarantee and prints the violation counts that are not zero. */
void requireNoViolations(const Fleet& fleet)
{
    ViolationReport report = fleet.check();
    INFO(toString(report));
    CHECK(report.isClean());
}

std::size_t countOf(const Fleet& fleet, Verdict verdict)
{
    std::size_t count = 0;
    for (const auto& [key, log] : fleet.flows())
        count += log.kind != FlowKind::Feed && log.outcome.verdict == verdict;
    return count;
}

void openFeeds(Fleet& fleet, int count)
{
    for (int i = 0; i < count; ++i) {
        fleet.feed(static_cast<std::uint32_t>(i) % fleet.options().callers);
        fleet.run(milliseconds(2));
    }
    fleet.run(seconds(1));
}

}

TEST_CASE("Normal operation of a fleet", "[fleet]")
{
    Fleet fleet({ .seed = 11, .feedInterval = milliseconds(500) });
    openFeeds(fleet, 70);
    fleet.startRequestLoad(300, seconds(5));
    FlowKey upload = fleet.upload(1, 100000);
    fleet.run(seconds(6));

    SECTION("serves feeds, requests and uploads, and executes each request once")
    {
        CHECK(fleet.openFeeds() == 70);
        CHECK(fleet.brokenFeeds() == 0);
        CHECK(countOf(fleet, Verdict::Done) > 1400);
        CHECK(countOf(fleet, Verdict::MayHaveRun) == 0);
        CHECK(fleet.flows().at(upload).outcome.verdict == Verdict::Done);
        requireNoViolations(fleet);
    }
    SECTION("while keys are rotated, which guards against open flows that break when their signing key is retired")
    {
        fleet.rotateKeys(KeyId(2), { KeyId(1), KeyId(2) });
        fleet.startRequestLoad(200, seconds(30));
        fleet.run(seconds(25));
        fleet.rotateKeys(KeyId(2), { KeyId(2) });
        fleet.run(seconds(25));
        CHECK(fleet.brokenFeeds() == 0);
        CHECK(fleet.openFeeds() == 70);
        requireNoViolations(fleet);
    }
    SECTION("while every packet is delivered twice, delayed and reordered, which guards against an answer to the wrong "
            "request and duplicate execution")
    {
        fleet.options().duplicates = 1;
        fleet.options().jitter = milliseconds(30);
        fleet.startRequestLoad(200, seconds(5));
        FlowKey late = fleet.upload(2, 50000);
        fleet.run(seconds(15));
        CHECK(fleet.brokenFeeds() == 0);
        CHECK(fleet.flows().at(late).outcome.verdict == Verdict::Done);
        requireNoViolations(fleet);
    }
    SECTION("on a network that loses, duplicates and reorders packets")
    {
        fleet.options().loss = 0.03;
        fleet.options().duplicates = 0.1;
        fleet.options().jitter = milliseconds(5);
        fleet.startRequestLoad(200, seconds(5));
        fleet.run(seconds(15));
        CHECK(fleet.brokenFeeds() == 0);
        CHECK(countOf(fleet, Verdict::Done) > 2200);
        requireNoViolations(fleet);
    }
}

TEST_CASE("Balancers fail and join while flows are open", "[fleet]")
{
    Fleet fleet({ .seed = 12, .balancers = 4, .feedInterval = milliseconds(300) });
    openFeeds(fleet, 60);
    fleet.startRequestLoad(300, seconds(10));
    FlowKey upload = fleet.upload(2, 400000);
    fleet.run(seconds(1));

    SECTION("one stops and one joins, which guards against flow state that exists on one balancer only")
    {
        fleet.killBalancer(0);
        fleet.run(seconds(2));
        fleet.addBalancer();
        fleet.run(seconds(17));
        CHECK(fleet.brokenFeeds() == 0);
        CHECK(fleet.flows().at(upload).outcome.verdict == Verdict::Done);
        requireNoViolations(fleet);
    }
    SECTION("one is paused for 10 s, a failure domain is taken out of service meanwhile, and it resumes with queued "
            "datagrams")
    {
        fleet.pauseBalancer(1, seconds(10));
        fleet.run(seconds(2));
        fleet.setOutOfService({ fleet.domainOf(1) });
        fleet.run(seconds(18));
        requireNoViolations(fleet);
    }
    SECTION("one is disconnected from all configuration sources while a failure domain is taken out of service")
    {
        fleet.setConfigDisconnected(1, true);
        fleet.setOutOfService({ fleet.domainOf(2) });
        fleet.run(seconds(6));
        fleet.setConfigDisconnected(1, false);
        fleet.run(seconds(12));
        requireNoViolations(fleet);
    }
}

TEST_CASE("Targets and agents drain, restart and turn cold while flows are open", "[fleet]")
{
    Fleet fleet({ .seed = 13, .feedInterval = milliseconds(300) });
    openFeeds(fleet, 70);
    fleet.startRequestLoad(400, seconds(8));
    fleet.run(seconds(1));

    SECTION("a target drains: no new flows after 3 s, and its feeds and uploads complete")
    {
        FlowKey upload = fleet.upload(3, 300000);
        fleet.run(milliseconds(50));
        for (std::uint32_t i = 1; i <= 2; ++i)
            fleet.drainTarget(i);
        fleet.run(seconds(15));
        CHECK(fleet.brokenFeeds() == 0);
        CHECK(fleet.flows().at(upload).outcome.verdict == Verdict::Done);
        requireNoViolations(fleet);
    }
    SECTION("an agent restarts: its feeds are adopted, and no request is executed twice or falsely refused")
    {
        fleet.restartAgent(3);
        fleet.run(seconds(2));
        fleet.restartAgent(3);
        fleet.run(seconds(15));
        CHECK(fleet.brokenFeeds() == 0);
        CHECK(fleet.openFeeds() == 70);
        requireNoViolations(fleet);
    }
    SECTION("a target restarts repeatedly, between open and execute and between execute and answer")
    {
        for (int i = 0; i < 5; ++i) {
            fleet.restartTarget(4);
            fleet.run(milliseconds(700));
        }
        fleet.run(seconds(15));
        requireNoViolations(fleet);
    }
    SECTION("a target turns cold without notice and gets no more than it can serve")
    {
        fleet.turnCold(5, 4);
        std::uint64_t before = fleet.target(5).executed;
        fleet.run(seconds(10));
        CHECK(fleet.target(5).executed > before);
        // Requests that are already running when the target turns cold cannot be withdrawn.
        CHECK(fleet.target(5).overloads <= fleet.options().slots * 2);
        requireNoViolations(fleet);
    }
}

TEST_CASE("A failure domain is taken out of service and returned to service", "[fleet]")
{
    Fleet fleet({ .seed = 14, .feedInterval = milliseconds(300) });
    openFeeds(fleet, 70);
    fleet.startRequestLoad(700, seconds(14));
    fleet.run(seconds(2));
    std::size_t inDomain = 0;
    for (const auto& [key, log] : fleet.flows())
        inDomain += log.kind == FlowKind::Feed && fleet.domainOf(log.target.value) == "domain-1";
    fleet.setOutOfService({ "domain-1" });
    fleet.run(seconds(5));

    SECTION("only its own flows end, and it receives no packets after 3 s")
    {
        CHECK(fleet.brokenFeeds() <= inDomain);
        requireNoViolations(fleet);
    }
    SECTION("its targets return cold and get no more than they can serve")
    {
        for (std::uint32_t i = 1; i <= fleet.options().targets; ++i) {
            if (fleet.domainOf(i) == "domain-1")
                fleet.restartTarget(i);
        }
        fleet.setOutOfService({});
        fleet.run(seconds(12));
        for (std::uint32_t i = 1; i <= fleet.options().targets; ++i)
            CHECK(fleet.target(i).overloads == 0);
        requireNoViolations(fleet);
    }
}

TEST_CASE("Names while balancers have different revisions of the configuration", "[fleet]")
{
    Fleet fleet({ .seed = 15, .balancers = 4 });
    fleet.run(seconds(1));
    SECTION(
        "a spelling moves to another service, and no balancer with the old revision sends requests to the old service")
    {
        fleet.setConfigDelay(0, seconds(5));
        fleet.setConfigDelay(1, seconds(5));
        fleet.publish("services/a",
            ServicesDocument { { { .id = ServiceId(1), .name = Fleet::serviceName },
                { .id = ServiceId(2), .name = "receipt-intake", .spellings = { "curier-route" } } } });
        fleet.run(seconds(1));
        std::vector<FlowKey> keys;
        for (int i = 0; i < 50; ++i) {
            keys.push_back(fleet.requestNamed(static_cast<std::uint32_t>(i % 10), "curier-route"));
            fleet.run(milliseconds(10));
        }
        fleet.run(seconds(5));
        for (const auto& key : keys) {
            CHECK(fleet.executions(key) == 0);
            CHECK(fleet.flows().at(key).outcome.verdict == Verdict::DidNotRun);
        }
    }
    SECTION("a request for an unknown name is refused and not executed")
    {
        FlowKey key = fleet.requestNamed(1, "curier-rout");
        fleet.run(seconds(1));
        CHECK(fleet.flows().at(key).outcome == Outcome { Verdict::DidNotRun, Reason::UnknownName });
    }
}
