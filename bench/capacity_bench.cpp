/**
 * @file capacity_bench.cpp
 * Growth rates for docs/CAPACITY.md: memory and time of the configuration in one process at three sizes. Prints one
 * table.
 */
#include "balancer_base.h"
#include "config_func.h"
#include "replica_store.h"

#include <chrono>
#include <cstdio>
#include <malloc.h>

using namespace hawthorncroft;

namespace {

constexpr std::uint32_t targetsPerService = 2; ///< Ratio of 130,000 hosts to 71,000 addresses, rounded.
constexpr std::uint32_t targetsPerDocument = 8; ///< A change of one target sends a whole document.

using Clock = std::chrono::steady_clock;

double microsecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
}

std::size_t heapBytes()
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::string targetsText(std::uint32_t first, std::uint32_t slots)
{
    TargetsDocument document;
    for (std::uint32_t id = first; id < first + targetsPerDocument; ++id)
        document.targets.push_back({ .id = TargetId(id),
            .service = ServiceId((id - 1) / targetsPerService + 1),
            .vm = "vm-" + std::to_string(id),
            .failureDomain = "domain-" + std::to_string(id % 21),
            .agent = { 0x0a000000 + id, 7001 },
            .slots = slots,
            .connections = 2000 });
    return toJson(document);
}

std::string servicesText(std::uint32_t first)
{
    ServicesDocument document;
    for (std::uint32_t id = first; id < first + targetsPerDocument; ++id) {
        std::string name = "service-" + std::to_string(id);
        document.services.push_back(
            { .id = ServiceId(id), .name = name, .addresses = { "10.1.0.1:443" }, .spellings = { name + "x" } });
    }
    return toJson(document);
}

/** The configuration as one process stores it: texts, parsed documents and one index. */
struct Configuration {
    DocumentStore store;
    ConfigView view;
    std::uint64_t revision {};

    void put(const std::string& key, const std::string& text)
    {
        Delta delta { .since = Revision(revision), .completeThrough = Revision(revision + 1) };
        ++revision;
        delta.changes.push_back({ .key = key, .revision = Revision(revision), .text = text });
        ReplicaCounters counters;
        for (const auto& document : store.apply(delta, counters))
            view.apply(document);
    }
};

void measure(std::uint32_t targets)
{
    std::size_t before = heapBytes();
    auto start = Clock::now();
    Configuration configuration;
    std::uint32_t services = targets / targetsPerService;
    for (std::uint32_t first = 1; first <= services; first += targetsPerDocument)
        configuration.put("services/" + std::to_string(first), servicesText(first));
    for (std::uint32_t first = 1; first <= targets; first += targetsPerDocument)
        configuration.put("targets/" + std::to_string(first), targetsText(first, 5));
    double loadMs = microsecondsSince(start) / 1000;
    double megabytes = static_cast<double>(heapBytes() - before) / 1e6;

    constexpr std::uint32_t changes = 400;
    start = Clock::now();
    for (std::uint32_t i = 0; i < changes; ++i) {
        std::uint32_t first = 1 + (i * 104729 % targets) / targetsPerDocument * targetsPerDocument;
        configuration.put("targets/" + std::to_string(first), targetsText(first, 6));
        configuration.view.ranksOf(ServiceId((first - 1) / targetsPerService + 1));
    }
    double changeUs = microsecondsSince(start) / changes;
    std::printf("| %u | %u | %.1f | %.0f | %.0f | %.1f | %zu |\n", targets, services, megabytes,
        megabytes * 1e6 / targets, loadMs, changeUs, targetsText(1, 5).size());
}

}

int main()
{
    std::printf(
        "One document holds %u targets or services; %u targets a service.\n\n", targetsPerDocument, targetsPerService);
    std::printf("| targets | services | heap MB | bytes a target | load all, ms | one change, us | bytes of a changed "
                "document |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
    for (std::uint32_t targets : { 2000U, 16000U, 130000U })
        measure(targets);
    return 0;
}
