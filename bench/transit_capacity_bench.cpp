/**
 * @file transit_capacity_bench.cpp
 * Compares learned capacity with placement and queue by registered slots, on the loads of transit_capacity_sim.h.
 */
#include "transit_capacity_sim.h"

#include <cstdio>

using namespace hawthorncroft::bench;

namespace {

void print(const char* load, const char* way, const CapacityOutcome& outcome)
{
    std::printf("%-34s %-20s %8.3f %9.3f %9.3f %7.2f %8u %7.3f\n", load, way, outcome.inTime, outcome.answered,
        outcome.boundShare, outcome.meanLimit, outcome.limitChanges, outcome.failed);
}

}

int main()
{
    std::printf("%-34s %-20s %8s %9s %9s %7s %8s %7s\n", "load", "way", "in time", "answered", "of bound", "limit",
        "changes", "failed");
    for (const CapacityLoad& load : capacityLoads()) {
        print(load.name, "slots", runCapacityLoad(load, {}));
        print(load.name, "learned (product)", runCapacityLoad(load, { .isLearning = true }));
        double knee = load.targets.front().knee;
        if (knee > 0)
            print(load.name, "right slots",
                runCapacityLoad(load, { .registeredSlots = static_cast<std::uint32_t>(knee) }));
    }
    return 0;
}
