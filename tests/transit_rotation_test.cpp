#include "transit_fixture.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

/** Balancers of one failure domain, as the routers see them. */
struct Rotation : TransitSim {
    std::vector<Endpoint> balancers;

    explicit Rotation(std::uint32_t count)
    {
        for (std::uint32_t i = 1; i <= count; ++i)
            balancers.push_back(addBalancer(i));
        for (std::uint32_t i = 11; i < 14; ++i)
            addAgent(i);
        run(seconds(2));
    }

    void tellToEnd(Endpoint process)
    {
        TransitEffects effects;
        balancer(process).onStop(now(), effects);
        carryOutFor(process, effects);
    }

    /** Lets time pass; processes that are finished start again after 600 ms. @return Fewest that were ready. */
    std::size_t fewestReady(Duration time)
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

TEST_CASE("Balancers that are told to end in quick turn leave half of their failure domain in rotation", "[transit]")
{
    Rotation rotation(4);

    SECTION("which guards against routers that use ended ones, as they do below a half")
    {
        std::size_t fewest = 4;
        for (Endpoint process : rotation.balancers) {
            rotation.tellToEnd(process);
            fewest = std::min(fewest, rotation.fewestReady(milliseconds(1200)));
        }
        fewest = std::min(fewest, rotation.fewestReady(seconds(8)));
        CHECK(fewest >= 2);
    }
    SECTION("but one that is told to end alone is not ready at once")
    {
        rotation.tellToEnd(rotation.balancers[0]);
        CHECK_FALSE(rotation.balancer(rotation.balancers[0]).isReady());
    }
    SECTION("and all end within their grace when all are told at once")
    {
        for (Endpoint process : rotation.balancers)
            rotation.tellToEnd(process);
        rotation.run(seconds(6) - shutdownMargin + milliseconds(100));
        for (Endpoint process : rotation.balancers)
            CHECK(rotation.balancer(process).isFinished(rotation.now()));
    }
}

TEST_CASE("The only balancer of a failure domain ends at once", "[transit]")
{
    Rotation rotation(1);
    rotation.tellToEnd(rotation.balancers[0]);
    CHECK_FALSE(rotation.balancer(rotation.balancers[0]).isReady());
}
