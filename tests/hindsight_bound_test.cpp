#include "../bench/hindsight_bound.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>
#include <random>

using namespace hawthorncroft;

namespace {

/** @return Most worth of any order of starts on one or more slots, without idle slots before a start. */
double bestByExhaustiveSearch(const std::vector<OfferedRequest>& requests, std::uint32_t slots)
{
    std::vector<std::size_t> order(requests.size());
    std::iota(order.begin(), order.end(), 0);
    double best = 0;
    do {
        std::vector<TimePoint> freeAt(slots);
        double worth = 0;
        for (std::size_t index : order) {
            const OfferedRequest& request = requests[index];
            TimePoint& slot = *std::min_element(freeAt.begin(), freeAt.end());
            TimePoint finishedAt = std::max(slot, request.arrivesAt) + request.work;
            if (finishedAt > request.arrivesAt + request.objective)
                continue; // Not started, so that the slot stays free.
            slot = finishedAt;
            worth += request.worth;
        }
        best = std::max(best, worth);
    } while (std::next_permutation(order.begin(), order.end()));
    return best;
}

}

TEST_CASE("The bound by hindsight is never below what a scheduler can earn", "[bound]")
{
    SECTION("in small loads with an exhaustive search, which guards against a bound that is only a guess")
    {
        std::mt19937_64 random(11);
        for (int round = 0; round < 200; ++round) {
            std::vector<OfferedRequest> requests;
            for (std::uint64_t i = 0; i < 1 + random() % 6; ++i) {
                requests.push_back({ .arrivesAt = TimePoint { static_cast<std::int64_t>(random() % 900000) },
                    .work = milliseconds(static_cast<std::int64_t>(1 + random() % 200)),
                    .objective = milliseconds(static_cast<std::int64_t>(50 + random() % 250)),
                    .worth = static_cast<double>(1 + random() % 2) });
            }
            std::uint32_t slots = 1 + random() % 2;
            INFO("round " << round);
            CHECK(bestByExhaustiveSearch(requests, slots) <= hindsightBound(requests, slots) + 1e-9);
        }
    }
    SECTION("and it is exact for a load that fits, and for requests that take longer than their objective")
    {
        OfferedRequest request { .arrivesAt = {}, .work = milliseconds(50), .objective = milliseconds(100) };
        CHECK(hindsightBound({ request, request }, 1) == Approx(2));
        request.work = milliseconds(101);
        CHECK(hindsightBound({ request }, 1) == 0);
        CHECK(hindsightBound({}, 1) == 0);
    }
}
