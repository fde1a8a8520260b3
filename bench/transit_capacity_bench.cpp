/**
 * @file transit_capacity_bench.cpp
 * Compares learned capacity with placement and queue by registered slots, on the loads of transit_capacity_sim.h. Each
 * figure is the mean of several seeds.
 */
#include "transit_capacity_sim.h"

#include <cstdio>

using namespace hawthorncroft::bench;

namespace {

constexpr std::uint32_t seeds = 4;

void run(CapacityLoad load, const char* way, CapacityPolicy policy)
{
    CapacityOutcome sum;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        load.seed = seed;
        CapacityOutcome outcome = runCapacityLoad(load, policy);
        sum.inTime += outcome.inTime;
        sum.answered += outcome.answered;
        sum.boundShare += outcome.boundShare;
        sum.meanLimit += outcome.meanLimit;
        sum.failed += outcome.failed;
        sum.limitChanges += outcome.limitChanges;
    }
    std::printf("%-34s %-20s %8.3f %9.3f %9.3f %7.2f %8u %7.3f\n", load.name, way, sum.inTime / seeds,
        sum.answered / seeds, sum.boundShare / seeds, sum.meanLimit / seeds, sum.limitChanges / seeds,
        sum.failed / seeds);
}

}

int main()
{
    std::printf("%-34s %-20s %8s %9s %9s %7s %8s %7s\n", "load", "way", "in time", "answered", "of bound", "limit",
        "changes", "failed");
    for (const CapacityLoad& load : capacityLoads()) {
        run(load, "slots", {});
        run(load, "learned (product)", { .isLearning = true });
        double knee = load.targets.front().knee;
        if (knee > 0)
            run(load, "right slots", { .registeredSlots = static_cast<std::uint32_t>(knee) });
    }
    return 0;
}
