#include "demo_type.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace hawthorncroft;

namespace {

constexpr ServiceId handover(1);
constexpr ServiceId intake(2);

DemoPlan twoTargets()
{
    DemoPlan plan;
    plan.targets = { { .id = TargetId(1), .service = handover, .failureDomain = "stays" },
        { .id = TargetId(2), .service = handover, .failureDomain = "leaves" } };
    plan.names = { { "handover", handover }, { "intake", intake } };
    plan.confirmName = "handover";
    plan.domainOut = "leaves";
    plan.targetDrained = 1;
    return plan;
}

/** A run in which one confirmation was answered by target 1. */
DemoRecords oneConfirmation()
{
    DemoRecords records;
    records.times = { .domainOutAt = { 10000000 }, .domainBackAt = { 20000000 } };
    records.flows.push_back({ .work = DemoWork::Confirmation,
        .key = { CallerId(7), FlowId(1) },
        .intendedService = handover,
        .startedAt = { 10000000 },
        .endedAt = { 10040000 },
        .outcome = { Verdict::Done },
        .target = TargetId(1) });
    records.atEnd[TargetId(1)].flows["7/1"] = 1;
    records.atEnd[TargetId(2)] = {};
    records.beforeSteady = records.afterSteady = records.beforeReturn = records.beforeUndrain = records.atEnd;
    records.inForceMs = { { "preset", 100 } };
    return records;
}

/** Names of the broken promises. */
std::vector<std::string> broken(const DemoRecords& records)
{
    std::vector<std::string> names;
    for (const DemoFinding& finding : evaluateRun(twoTargets(), records)) {
        if (finding.isPromise && !finding.isKept)
            names.push_back(finding.what);
    }
    return names;
}

using Names = std::vector<std::string>;

}

TEST_CASE("The demo reports each broken promise, which guards against a demo that always passes", "[demo]")
{
    DemoRecords records = oneConfirmation();
    DemoFlow& flow = records.flows[0];
    CHECK(broken(records).empty());

    SECTION("reports a request that ran twice, at one target or at two")
    {
        records.atEnd[TargetId(2)].flows["7/1"] = 1;
        CHECK(broken(records) == Names { "doubled runs (P7)" });
        records.atEnd[TargetId(2)].flows.clear();
        records.atEnd[TargetId(1)].flows["7/1"] = 2;
        CHECK(broken(records) == Names { "doubled runs (P7)" });
    }
    SECTION("reports a refused request that ran, and an answered request that did not run")
    {
        flow.outcome = { Verdict::DidNotRun, Reason::Overloaded };
        CHECK(broken(records) == Names { "false refusals (P6)" });
        flow.outcome = { Verdict::Done };
        records.atEnd[TargetId(1)].flows.clear();
        CHECK(broken(records) == Names { "answers without a run (P5)" });
    }
    SECTION("reports an answer that belongs to another request")
    {
        flow.hasOwnAnswer = false;
        CHECK(broken(records) == Names { "answers of another request (P5)" });
    }
    SECTION("reports a request that ran at another service, and an unknown name that was not refused")
    {
        flow.intendedService = intake;
        CHECK(broken(records) == Names { "misrouted requests (P2)" });
        flow.work = DemoWork::Unknown;
        flow.intendedService = ServiceId();
        CHECK(broken(records) == Names { "misrouted requests (P2)", "unknown names not refused as such (P2)" });
    }
    SECTION("reports a cut request, unless its failure domain was taken out of service")
    {
        flow.outcome = { Verdict::MayHaveRun, Reason::ShutDown };
        CHECK(broken(records) == Names { "cut requests (P9)" });
        flow.target = TargetId(2);
        CHECK(broken(records).empty());
        flow.endedAt = { 9000000 };
        CHECK(broken(records) == Names { "cut requests (P9)" });
    }
    SECTION("reports a broken feed, unless its failure domain was taken out of service")
    {
        flow.work = DemoWork::Feed;
        flow.isBroken = true;
        CHECK(broken(records) == Names { "broken feeds (P1)" });
        flow.target = TargetId(2);
        CHECK(broken(records).empty());
    }
    SECTION("reports packets and changes after the limit")
    {
        records.beforeReturn[TargetId(1)].counts["last_packet_after_out_ms"] = 4000;
        CHECK(broken(records).empty());
        records.beforeReturn[TargetId(2)].counts["last_packet_after_out_ms"] = 3001;
        CHECK(broken(records) == Names { "last packet to the failure domain after it went out (P4)" });
        records.beforeReturn[TargetId(2)].counts.clear();
        records.beforeUndrain[TargetId(1)].counts["last_new_after_drain_ms"] = 3001;
        CHECK(broken(records) == Names { "last new work at the drained target (P8)" });
        records.beforeUndrain[TargetId(1)].counts.clear();
        records.inForceMs[0].second = -1;
        CHECK(broken(records) == Names { "preset in force everywhere (P10)" });
    }
    SECTION("reports requests above the capacity of a target, and flows that never ended")
    {
        records.atEnd[TargetId(1)].counts["overload"] = 1;
        flow.endedAt = {};
        CHECK(broken(records) == Names { "flows that never ended", "requests beyond what a target bears (P3)" });
    }
}

TEST_CASE("The example deployments can be loaded", "[demo]")
{
    auto directory = GENERATE(as<std::string>(), "examples/sofia", "examples/reykjavik");
    DemoPlan plan;
    CHECK(loadDemoPlan(directory, plan) == "");
    CHECK(plan.targets.size() == 10);
    CHECK(plan.balancers.size() == 4);
    for (const TargetConfig& target : plan.targets) {
        const DemoProcess* agent = plan.agentOf(target.id);
        REQUIRE(agent);
        CHECK(agent->settings.data == target.agent);
        CHECK(agent->settings.vm == target.vm);
    }
    for (const std::string& spelling : plan.spellings)
        CHECK(plan.names.contains(spelling));
    for (const std::string& name : plan.unknownNames)
        CHECK_FALSE(plan.names.contains(name));
}
