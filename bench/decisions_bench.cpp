/**
 * @file decisions_bench.cpp
 * Compares the product's decisions with simpler baselines under the same failures. Runs core instances on a simulated
 * clock; each row is the mean over several seeds. Prints one table per scenario.
 */
#include "fake_fleet.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <iostream>
#include <map>

using namespace hawthorncroft;
using namespace hawthorncroft::fake;

namespace {

constexpr std::uint64_t firstSeed = 1;
constexpr std::uint64_t seedCount = 5;
constexpr Duration bucketWidth = milliseconds(100);

/** Column name to value, of one run or averaged over the seeds. */
using Figures = std::map<std::string, double>;

struct Row {
    std::string name;
    FleetOptions options;
};

double capacityOf(const FleetOptions& options)
{
    return options.targets * options.slots * 1e6 / static_cast<double>(options.serviceTime.us);
}

Figures meanOf(const Row& row, const std::function<Figures(FleetOptions)>& scenario)
{
    Figures sum;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seedCount; ++seed) {
        FleetOptions options = row.options;
        options.seed = seed;
        for (const auto& [name, value] : scenario(options))
            sum[name] += value / seedCount;
    }
    return sum;
}

void printTable(
    const std::string& title, const std::vector<Row>& rows, const std::function<Figures(FleetOptions)>& scenario)
{
    std::printf("\n### %s\n\n", title.c_str());
    bool isFirst = true;
    for (const auto& row : rows) {
        Figures figures = meanOf(row, scenario);
        if (isFirst) {
            std::printf("| decisions |");
            for (const auto& [name, value] : figures)
                std::printf(" %s |", name.c_str());
            std::printf("\n| --- |");
            for (std::size_t i = 0; i < figures.size(); ++i)
                std::printf(" --- |");
            std::printf("\n");
            isFirst = false;
        }
        std::printf("| %s |", row.name.c_str());
        for (const auto& [name, value] : figures)
            std::printf(" %.4g |", value);
        std::printf("\n");
        std::fflush(stdout);
    }
}

void openFeeds(Fleet& fleet, int count)
{
    for (int i = 0; i < count; ++i) {
        fleet.feed(static_cast<std::uint32_t>(i) % fleet.options().callers);
        fleet.run(milliseconds(2));
    }
}

void addViolations(const Fleet& fleet, Figures& figures)
{
    ViolationReport report = fleet.check();
    figures["doubled"] = static_cast<double>(report.duplicateExecutions);
    figures["misrouted"] = static_cast<double>(report.misrouted);
    figures["false did not run"] = static_cast<double>(report.falseRefusals);
}

/**
 * Fraction of requests that were done, for each interval of start times. Requests with the verdict "may have run" whose
 * target is in the excluded failure domain are not counted.
 */
std::vector<double> inTimeShares(const Fleet& fleet, TimePoint from, TimePoint to, const std::string& excludedDomain)
{
    std::map<std::int64_t, std::pair<double, double>> buckets;
    for (const auto& [key, log] : fleet.flows()) {
        bool isCounted = log.kind == FlowKind::Request && log.startedAt >= from && log.startedAt < to;
        bool isExcluded = log.target && fleet.domainOf(log.target.value) == excludedDomain
            && log.outcome.verdict == Verdict::MayHaveRun;
        if (!isCounted || isExcluded)
            continue;
        auto& [inTime, all] = buckets[(log.startedAt - from).us / bucketWidth.us];
        ++all;
        inTime += log.outcome.verdict == Verdict::Done;
    }
    std::vector<double> shares;
    for (const auto& [index, counts] : buckets)
        shares.push_back(counts.first / counts.second);
    return shares;
}

Figures plannedChanges(FleetOptions options)
{
    options.balancers = 4;
    options.feedInterval = milliseconds(500);
    Fleet fleet(options);
    openFeeds(fleet, 350);
    for (std::uint32_t i = 0; i < 10; ++i)
        fleet.upload(i, 200000);
    fleet.startRequestLoad(300, seconds(12));
    fleet.run(seconds(2));
    fleet.killBalancer(0);
    fleet.addBalancer();
    fleet.run(seconds(2));
    fleet.drainTarget(1);
    fleet.run(seconds(2));
    fleet.restartAgent(2);
    fleet.setPreset("peak");
    fleet.run(seconds(14));
    double brokenUploads = 0;
    double failedRequests = 0;
    for (const auto& [key, log] : fleet.flows()) {
        bool isDone = log.outcome.verdict == Verdict::Done;
        brokenUploads += log.kind == FlowKind::Upload && !isDone;
        failedRequests += log.kind == FlowKind::Request && !isDone;
    }
    Figures figures { { "broken feeds",
                          static_cast<double>(fleet.brokenFeeds() + (350 - fleet.brokenFeeds() - fleet.openFeeds())) },
        { "broken uploads", brokenUploads }, { "requests not done", failedRequests } };
    addViolations(fleet, figures);
    return figures;
}

Figures steadyState(FleetOptions options)
{
    Fleet fleet(options);
    openFeeds(fleet, 1400);
    fleet.run(seconds(12));
    double feeds = fleet.feedImbalance();
    fleet.startRequestLoad(capacityOf(options) * 0.7, seconds(10));
    fleet.run(seconds(12));
    return { { "imbalance of feeds", feeds }, { "imbalance of requests", fleet.requestImbalance() } };
}

Figures domainLeavesAndReturns(FleetOptions options)
{
    options.domains = 7;
    options.targets = 21;
    Fleet fleet(options);
    fleet.run(seconds(12));
    fleet.startRequestLoad(200, seconds(12));
    fleet.run(seconds(12));
    TimePoint from = fleet.now();
    fleet.startRequestLoad(capacityOf(options) * 0.7, seconds(20), seconds(1));
    fleet.run(seconds(4));
    fleet.setOutOfService({ "domain-1" });
    fleet.run(seconds(6));
    for (std::uint32_t i = 1; i <= options.targets; ++i) {
        if (fleet.domainOf(i) == "domain-1")
            fleet.restartTarget(i);
    }
    fleet.setOutOfService({});
    fleet.run(seconds(14));
    auto shares = inTimeShares(fleet, from + seconds(2), from + seconds(20), "domain-1");
    double sum = 0;
    double below = 0;
    for (double share : shares) {
        sum += share;
        below += share < 0.999;
    }
    double overloads = 0;
    for (std::uint32_t i = 1; i <= options.targets; ++i)
        overloads += static_cast<double>(fleet.target(i).overloads);
    Figures figures { { "in time, mean %", 100 * sum / static_cast<double>(shares.size()) },
        { "in time, worst 100 ms %", 100 * *std::min_element(shares.begin(), shares.end()) },
        { "100 ms below 99.9 %", below }, { "overloads of cold targets", overloads },
        { "packets to the domain after 3 s", static_cast<double>(fleet.check().packetsWhileOutOfService) } };
    addViolations(fleet, figures);
    return figures;
}

Figures overload(FleetOptions options)
{
    Fleet fleet(options);
    fleet.run(seconds(12));
    fleet.startRequestLoad(200, seconds(12));
    fleet.run(seconds(14));
    std::uint64_t before = 0;
    std::uint64_t after = 0;
    for (std::uint32_t i = 1; i <= options.targets; ++i)
        before += fleet.target(i).executed;
    TimePoint from = fleet.now();
    fleet.startRequestLoad(capacityOf(options) * 1.5, seconds(10), seconds(1));
    fleet.run(seconds(14));
    double done = 0;
    double refused = 0;
    double unknown = 0;
    for (const auto& [key, log] : fleet.flows()) {
        if (log.startedAt < from)
            continue;
        done += log.outcome.verdict == Verdict::Done;
        refused += log.outcome.verdict == Verdict::DidNotRun;
        unknown += log.outcome.verdict == Verdict::MayHaveRun;
    }
    for (std::uint32_t i = 1; i <= options.targets; ++i)
        after += fleet.target(i).executed;
    double opens = 0;
    for (std::uint32_t i = 1; i <= options.targets; ++i)
        opens += static_cast<double>(
            fleet.agent(i).counter(AgentCounter::RefusedOpens) + fleet.agent(i).counter(AgentCounter::RelayedOpens));
    Figures figures { { "goodput, % of capacity", 100 * done / (capacityOf(options) * 10) }, { "refused", refused },
        { "may have run", unknown }, { "executed", static_cast<double>(after - before) },
        { "opens that agents turned down", opens } };
    addViolations(fleet, figures);
    return figures;
}

Figures oneCold(FleetOptions options)
{
    Fleet fleet(options);
    fleet.run(seconds(12));
    fleet.startRequestLoad(capacityOf(options) * 0.5, seconds(24), seconds(1));
    fleet.run(seconds(12));
    std::map<std::uint32_t, double> before;
    for (std::uint32_t i = 1; i <= options.targets; ++i)
        before[i] = static_cast<double>(fleet.target(i).executed);
    std::uint64_t overloadsBefore = fleet.target(3).overloads;
    fleet.turnCold(3, 3);
    fleet.run(seconds(8));
    double sum = 0;
    double peak = 0;
    for (std::uint32_t i = 1; i <= options.targets; ++i) {
        double executed = static_cast<double>(fleet.target(i).executed) - before[i];
        sum += executed;
        peak = std::max(peak, executed);
    }
    Figures figures { { "imbalance while one is cold", peak * options.targets / sum },
        { "overloads of the cold target", static_cast<double>(fleet.target(3).overloads - overloadsBefore) } };
    fleet.run(seconds(8));
    addViolations(fleet, figures);
    return figures;
}

std::vector<Row> rowsOf(std::vector<Policy> list)
{
    std::vector<Row> rows;
    for (Policy policy : list)
        rows.push_back({ std::string(nameOf(policy)), { .policy = policy } });
    return rows;
}

}

int main(int argc, char** argv)
{
    std::string selectedTable = argc > 1 ? argv[1] : "";
    std::printf("Seeds %d to %d, mean of %d runs. Capacity of 7 targets: %.0f requests a second.\n",
        static_cast<int>(firstSeed), static_cast<int>(firstSeed + seedCount - 1), static_cast<int>(seedCount),
        capacityOf({}));
    FleetOptions noBudget { .preset = { .retryPercent = 100 }, .hasRetryBudget = false };
    FleetOptions noColdStart { .preset = { .coldStartPercent = 100, .coldStartSeconds = 0 } };
    if (selectedTable.empty() || selectedTable == "planned")
        printTable(
            "Planned changes: a balancer dies, one joins, a target drains, an agent restarts, the preset changes",
            rowsOf({ Policy::Product, Policy::PlainRendezvous, Policy::FlowCache }), plannedChanges);
    if (selectedTable.empty() || selectedTable == "steady")
        printTable("Steady state: 1,400 feeds, then requests at 70 % of capacity",
            rowsOf({ Policy::Product, Policy::RoundRobin, Policy::LeastReported, Policy::PlainRendezvous }),
            steadyState);
    if (selectedTable.empty() || selectedTable == "domain")
        printTable("A failure domain leaves and returns at 70 % load (21 targets, 7 failure domains)",
            { { "product", {} }, { "no cold-start limit", noColdStart } }, domainLeavesAndReturns);
    if (selectedTable.empty() || selectedTable == "cold")
        printTable("A target turns cold without notice at 50 % load",
            { { "product", {} }, { "no cold-start limit", noColdStart } }, oneCold);
    if (selectedTable.empty() || selectedTable == "overload")
        printTable(
            "Offered load of 150 % of capacity", { { "product", {} }, { "no retry budget", noBudget } }, overload);
    return 0;
}
