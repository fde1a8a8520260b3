/**
 * @file demo_main.cpp
 * standin-demo: runs the deployments of examples/ under load while balancers, targets and failure domains change, and
 * prints a comparison of the outcomes at the callers with the ground truth of the targets. Exit status: 0 all promises
 * kept, 1 a promise was broken or a deployment did not run, 2 wrong command line, 3 no promise was broken but a
 * measured bound was missed.
 */
#include "demo_script.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

using namespace hawthorncroft;
namespace po = boost::program_options;

namespace {

constexpr int usageStatus = 2;
std::mutex outputMutex; ///< Prevents the tables of concurrent deployments from interleaving.

struct DemoOptions {
    std::vector<std::string> deployments;
    std::string programs;
    std::string work { "demo-run" };
    std::uint64_t seed { 1 };
};

int parse(int argc, const char* const* argv, DemoOptions& options)
{
    options.programs = std::filesystem::path(argv[0]).parent_path().string();
    po::options_description description("standin-demo [options] DIRECTORY...");
    auto add = description.add_options();
    add("help", "show this text");
    add("programs", po::value(&options.programs)->default_value(options.programs), "directory of the programs");
    add("work", po::value(&options.work)->default_value(options.work), "directory for log files");
    add("seed", po::value(&options.seed)->default_value(options.seed), "seed of all random choices");
    add("deployment", po::value(&options.deployments), "directories such as examples/sofia, run side by side");
    po::positional_options_description positions;
    positions.add("deployment", -1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(description).positional(positions).run(), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << "standin-demo: " << error.what() << "; see --help\n";
        return usageStatus;
    }
    if (values.count("help")) {
        std::cout << description;
        return 0;
    }
    if (options.deployments.empty()) {
        std::cerr << "standin-demo: a directory such as examples/sofia is expected; see --help\n";
        return usageStatus;
    }
    return -1;
}

std::string markOf(const DemoFinding& finding)
{
    if (finding.bound.empty())
        return "";
    if (finding.isKept)
        return "kept";
    return finding.isPromise ? "BROKEN" : "missed";
}

void print(const std::string& title, const std::vector<DemoFinding>& findings)
{
    std::cout << '\n' << title << '\n';
    for (const DemoFinding& finding : findings) {
        std::string mark = markOf(finding);
        std::printf("  %-62s %16s  %-8s %s\n", finding.what.c_str(), finding.value.c_str(), finding.bound.c_str(),
            mark.c_str());
    }
    std::cout << std::endl;
}

/** Writes every flow that failed, with its times in milliseconds since the start of the first flow. */
void writeFailures(const std::string& file, const DemoRecords& records)
{
    std::ofstream stream(file);
    stream << "started-ms ended-ms work target verdict: reason\n";
    constexpr std::int64_t usPerMs = 1000;
    for (const DemoFlow& flow : records.flows) {
        bool hasSucceeded = flow.outcome.verdict == Verdict::Done || flow.work == DemoWork::Unknown;
        if (hasSucceeded)
            continue;
        TimePoint first = records.flows.front().startedAt;
        stream << (flow.startedAt - first).us / usPerMs << ' ' << (flow.endedAt - first).us / usPerMs << ' '
               << static_cast<int>(flow.work) << ' ' << flow.target.value << ' ' << nameOf(flow.outcome.verdict) << ": "
               << nameOf(flow.outcome.reason) << '\n';
    }
}

/** Exit status of the demo: that of its worst deployment. */
enum DemoStatus : int {
    AllKept = 0,
    PromiseBroken = 1, ///< Or a deployment did not run.
    BoundMissed = 3, ///< No promise is broken, but a measured bound is missed.
};

/** Runs one deployment. */
DemoStatus runDeployment(const DemoOptions& options, const std::string& directory)
{
    DemoPlan plan;
    std::string fault = loadDemoPlan(directory, plan);
    if (!fault.empty()) {
        std::cerr << "standin-demo: " << fault << '\n';
        return PromiseBroken;
    }
    auto start = std::chrono::steady_clock::now();
    auto progress = [&](const std::string& text) {
        std::chrono::duration<double> passed = std::chrono::steady_clock::now() - start;
        std::printf("%s %5.1f s: %s\n", plan.name.c_str(), passed.count(), text.c_str());
        std::fflush(stdout);
    };
    DemoProcesses processes(options.programs, options.work + "/" + plan.name);
    DemoScript script(plan, processes, options.seed, progress);
    DemoRecords records;
    fault = script.run(records);
    std::vector<std::string> ended = processes.unexpectedEnds();
    processes.endAll();
    for (const auto& name : ended)
        std::cerr << "standin-demo: process " << name << " of " << plan.name << " ended by itself\n";
    if (!fault.empty()) {
        std::cerr << "standin-demo: " << plan.name << ": " << fault << '\n';
        return PromiseBroken;
    }
    writeFailures(options.work + "/" + plan.name + "/failures.txt", records);
    std::vector<DemoFinding> findings = evaluateRun(plan, records);
    std::lock_guard lock(outputMutex);
    print(plan.title, findings);
    auto has = [&](const char* mark) {
        return std::any_of(
            findings.begin(), findings.end(), [&](const DemoFinding& finding) { return markOf(finding) == mark; });
    };
    if (!ended.empty() || has("BROKEN"))
        return PromiseBroken;
    return has("missed") ? BoundMissed : AllKept;
}

}

int main(int argc, char** argv)
{
    DemoOptions options;
    int status = parse(argc, argv, options);
    if (status >= 0)
        return status;
    std::atomic<bool> isBroken { false };
    std::atomic<bool> isMissed { false };
    std::vector<std::thread> threads;
    for (const auto& directory : options.deployments) {
        threads.emplace_back([&, directory] {
            DemoStatus result = runDeployment(options, directory);
            isBroken = isBroken || result == PromiseBroken;
            isMissed = isMissed || result == BoundMissed;
        });
    }
    for (auto& thread : threads)
        thread.join();
    if (isBroken) {
        std::cout << "A promise was broken." << std::endl;
        return PromiseBroken;
    }
    std::cout << (isMissed ? "No promise was broken, but bounds were missed." : "All promises were kept.") << std::endl;
    return isMissed ? BoundMissed : AllKept;
}
