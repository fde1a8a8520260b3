#include "transit_fixture.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

/** Balancers of one failure domain, in rotation at the routers while they are ready. */
struct Rotation : TransitSim {
    std::vector<Endpoint> balancers;

    explicit Rotation(std::uint32_t count)
    {
        for (std::uint32_t i = 1; i <= count; ++i)
            balancers.push_back(addBalancer(i));
        for (std::uint32_t i = 101; i < 104; ++i)
            addAgent(i);
        run(seconds(2));
    }

    void requestStop(Endpoint process)
    {
        TransitEffects effects;
        balancer(process).onStop(now(), effects);
        applyEffectsFor(process, effects);
    }

    /**
     * Runs the simulation; balancers that finished their shutdown start again after 600 ms.
     * @return Lowest number of balancers that were ready at the same time.
     */
    std::size_t minReadyDuring(Duration time)
    {
        std::size_t fewest = balancers.size();
        for (TimePoint end = now() + time; now() < end;) {
            run(milliseconds(10));
            std::size_t ready = 0;
            for (Endpoint process : balancers) {
                if (!isRunning(process)) {
                    if (now() >= m_startAt[process])
                        restart(process);
                    continue;
                }
                ready += balancer(process).isReady();
                if (!balancer(process).isFinished(now()))
                    continue;
                kill(process);
                m_startAt[process] = now() + milliseconds(600);
            }
            fewest = std::min(fewest, ready);
        }
        return fewest;
    }

private:
    std::map<Endpoint, TimePoint> m_startAt;
};

}

TEST_CASE("Balancers stopped in quick succession leave half of their failure domain in rotation", "[transit]")
{
    Rotation rotation(4);

    SECTION("which guards against routers sending packets to stopped balancers, as they do with fewer than half ready")
    {
        std::size_t fewest = 4;
        for (Endpoint process : rotation.balancers) {
            rotation.requestStop(process);
            fewest = std::min(fewest, rotation.minReadyDuring(milliseconds(1200)));
        }
        fewest = std::min(fewest, rotation.minReadyDuring(seconds(8)));
        CHECK(fewest >= 2);
    }
    SECTION("but a balancer that is stopped alone leaves the rotation at once")
    {
        rotation.requestStop(rotation.balancers[0]);
        CHECK_FALSE(rotation.balancer(rotation.balancers[0]).isReady());
    }
    SECTION("and all finish within their grace period when all are stopped at once")
    {
        for (Endpoint process : rotation.balancers)
            rotation.requestStop(process);
        rotation.run(seconds(6) - shutdownMargin + milliseconds(100));
        for (Endpoint process : rotation.balancers)
            CHECK(rotation.balancer(process).isFinished(rotation.now()));
    }
}

TEST_CASE("Balancers of a large failure domain stopped in quick succession leave half of it in rotation", "[transit]")
{
    // More than get each other's reports. Guards against balancers that do not know which others have left.
    constexpr std::size_t count = 40;
    Rotation rotation(count);
    rotation.run(seconds(10));
    std::size_t fewest = count;
    for (Endpoint process : rotation.balancers) {
        rotation.requestStop(process);
        fewest = std::min(fewest, rotation.minReadyDuring(milliseconds(10)));
    }
    fewest = std::min(fewest, rotation.minReadyDuring(seconds(2)));
    CHECK(fewest >= count / 2);
}

TEST_CASE("The only balancer of a failure domain leaves the rotation at once when stopped", "[transit]")
{
    Rotation rotation(1);
    rotation.requestStop(rotation.balancers[0]);
    CHECK_FALSE(rotation.balancer(rotation.balancers[0]).isReady());
}
