/**
 * @file transit_fixture.h
 * Fleet that the tests of transparent flows share.
 */
#pragma once

#include "transit_sim.h"

namespace hawthorncroft::tests {

/** Three balancers before three targets of one service, all settled. */
struct Fleet : TransitSim {
    std::vector<Endpoint> balancers;
    std::vector<Endpoint> agents;

    explicit Fleet(std::uint32_t targets = 3, std::int64_t linkBytesPerSecond = 125000000)
    {
        setLink(linkBytesPerSecond);
        for (std::uint32_t i = 1; i <= 3; ++i)
            balancers.push_back(addBalancer(i));
        for (std::uint32_t i = 11; i < 11 + targets; ++i)
            agents.push_back(addAgent(i));
        run(seconds(2));
    }

    /** Starts all agents, targets and the first balancer again with nothing of what they knew, and lets them settle. */
    void loseAllFlows()
    {
        for (Endpoint agent : agents) {
            restart(agent);
            restartTarget(agent.address, "new" + std::to_string(agent.address));
        }
        restart(balancers[0]);
        run(seconds(1));
    }

    std::size_t totalRequestsStarted()
    {
        std::size_t count = 0;
        for (Endpoint agent : agents)
            count += target(agent.address).started.size();
        return count;
    }
};

} // namespace hawthorncroft::tests
