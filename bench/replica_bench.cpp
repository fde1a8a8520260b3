/**
 * @file replica_bench.cpp
 * Measures how fast a configuration change reaches every process of a simulated fleet, and at what cost. Prints one
 * table row for each fleet size and platform state.
 * Takes no arguments. The simulated network delays each datagram by 20 ms to 60 ms and drops 1 % of them.
 */
#include "replica_fleet.h"

#include <algorithm>
#include <cstdio>

namespace {

using namespace hawthorncroft;
using namespace hawthorncroft::bench;

constexpr int changes = 12;
constexpr Duration changeInterval = seconds(10);
constexpr Duration limit = seconds(60);

struct Row {
    std::vector<double> secondsToReplicate;
    double bytesPerSecond {};
    double platformCallsPerSecond {};
    double pendingReads {};
    std::size_t maxPendingReads {};
    double oldestAge {};
};

std::string operationsText(int change)
{
    return R"({"presets":{"ordinary":{},"peak":{"slotPercent":90},"maintenance":{"slotPercent":50}},)"
           R"("inForce":"ordinary","domainsOut":[],"vmsOut":["vm)"
        + std::to_string(change) + "\"]}";
}

void runAndSample(Fleet& fleet, Duration duration, Row& row, int& samples)
{
    for (Duration passed; passed < duration; passed = passed + milliseconds(500)) {
        fleet.run(milliseconds(500));
        row.pendingReads += static_cast<double>(fleet.pendingReads());
        row.maxPendingReads = std::max(row.maxPendingReads, fleet.pendingReads());
        row.oldestAge = std::max(row.oldestAge, static_cast<double>(fleet.oldestPlatformAge().us) / 1e6);
        ++samples;
    }
}

Row measure(std::size_t size, Reach reach, std::uint64_t seed)
{
    Fleet fleet(size, seed);
    fleet.run(seconds(40));
    fleet.setReach(reach);
    fleet.run(seconds(60));
    Row row;
    int samples = 0;
    TimePoint start = fleet.now();
    std::uint64_t bytes = fleet.traffic().datagramBytes + fleet.traffic().streamBytes;
    std::uint64_t calls = fleet.platformCalls();
    for (int change = 0; change < changes; ++change) {
        // No change is published while the platform is unreachable; one is published when it is reachable again.
        if (reach == Reach::None) {
            runAndSample(fleet, changeInterval, row, samples);
            continue;
        }
        Revision revision = fleet.publish("operations", operationsText(change));
        Duration taken = fleet.runUntilReplicated(revision, limit);
        row.secondsToReplicate.push_back(static_cast<double>(taken.us) / 1e6);
        if (taken < changeInterval)
            runAndSample(fleet, changeInterval - taken, row, samples);
    }
    double elapsed = static_cast<double>((fleet.now() - start).us) / 1e6;
    bytes = fleet.traffic().datagramBytes + fleet.traffic().streamBytes - bytes;
    row.bytesPerSecond = static_cast<double>(bytes) / elapsed / static_cast<double>(size);
    row.platformCallsPerSecond = static_cast<double>(fleet.platformCalls() - calls) / elapsed;
    row.pendingReads /= std::max(1, samples);
    if (reach == Reach::None) {
        Revision revision = fleet.publish("operations", operationsText(0));
        fleet.setReach(Reach::All);
        row.secondsToReplicate.push_back(static_cast<double>(fleet.runUntilReplicated(revision, limit).us) / 1e6);
    }
    return row;
}

void print(std::size_t size, const char* state, Row row)
{
    std::sort(row.secondsToReplicate.begin(), row.secondsToReplicate.end());
    double median = row.secondsToReplicate[row.secondsToReplicate.size() / 2];
    std::printf("| %5zu | %-4s | %6.2f | %6.2f | %7.0f | %6.2f | %5.1f | %3zu | %6.1f |\n", size, state, median,
        row.secondsToReplicate.back(), row.bytesPerSecond, row.platformCallsPerSecond, row.pendingReads,
        row.maxPendingReads, row.oldestAge);
    std::fflush(stdout);
}

}

int main()
{
    std::puts("| instances | platform | in force everywhere, median s | longest s | B/s sent per instance "
              "| platform calls/s | pending reads, mean | most | oldest platform age s |");
    std::puts("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (std::size_t size : { 100, 300, 1000 }) {
        print(size, "up", measure(size, Reach::All, size + 1));
        print(size, "down", measure(size, Reach::None, size + 2));
        print(size, "half", measure(size, Reach::Half, size + 3));
    }
}
