#include "placement_type.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>

using namespace hawthorncroft;

namespace {

/** A table of targets 1 to `targets` of equal weight. */
RankTable tableOf(std::uint32_t targets)
{
    std::vector<RankedTarget> list;
    for (std::uint32_t i = 1; i <= targets; ++i)
        list.push_back({ TargetId(i), 5 });
    return RankTable(std::move(list));
}

/** @return Number of flows for which each target is ranked first. */
std::map<TargetId, int> firstRanks(const RankTable& table, int flows)
{
    std::map<TargetId, int> counts;
    std::array<TargetId, 1> ranks;
    for (int i = 1; i <= flows; ++i) {
        table.rank({ CallerId(17), FlowId(static_cast<std::uint64_t>(i)) }, ranks);
        ++counts[ranks[0]];
    }
    return counts;
}

}

TEST_CASE("Rendezvous ranking of a service's targets", "[placement]")
{
    SECTION("Flows are spread in proportion to weight, so that no target gets the share of another")
    {
        RankTable table({ { TargetId(1), 1 }, { TargetId(2), 3 } });
        auto counts = firstRanks(table, 40000);
        CHECK(counts[TargetId(2)] > 29000);
        CHECK(counts[TargetId(2)] < 31000);
    }
    SECTION("Flows are spread evenly over thousands of targets in groups")
    {
        auto counts = firstRanks(tableOf(5000), 500000);
        CHECK(counts.size() == 5000);
        auto highest
            = std::max_element(counts.begin(), counts.end(), [](auto& a, auto& b) { return a.second < b.second; });
        CHECK(highest->second < 200);
    }
    SECTION("Ranks are distinct and do not depend on the order of the targets")
    {
        RankTable forward({ { TargetId(1), 2 }, { TargetId(2), 2 }, { TargetId(3), 2 } });
        RankTable backward({ { TargetId(3), 2 }, { TargetId(2), 2 }, { TargetId(1), 2 } });
        for (std::uint64_t flow = 1; flow < 100; ++flow) {
            std::array<TargetId, 3> a;
            std::array<TargetId, 3> b;
            REQUIRE(forward.rank({ CallerId(1), FlowId(flow) }, a) == 3);
            backward.rank({ CallerId(1), FlowId(flow) }, b);
            CHECK(a == b);
            CHECK((a[0] != a[1] && a[1] != a[2] && a[0] != a[2]));
        }
    }
    SECTION("Removing a target moves only its own flows and does not reshuffle the others")
    {
        RankTable all = tableOf(7);
        RankTable fewer = tableOf(6);
        std::array<TargetId, 1> before;
        std::array<TargetId, 1> after;
        for (std::uint64_t flow = 1; flow < 2000; ++flow) {
            all.rank({ CallerId(3), FlowId(flow) }, before);
            fewer.rank({ CallerId(3), FlowId(flow) }, after);
            if (before[0] != TargetId(7))
                CHECK(before == after);
        }
    }
}
