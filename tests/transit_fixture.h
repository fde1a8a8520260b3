/**
 * @file transit_fixture.h
 * Fleet of the tests of transparent flows.
 */
#pragma once

#include "transit_sim.h"

namespace hawthorncroft::tests {

/** Three balancers and some targets of one service, run for 2 s so that all processes know each other. */
struct Fleet : TransitSim {
    std::vector<Endpoint> balancers;
    std::vector<Endpoint> agents;

    explicit Fleet(std::uint32_t targets = 3, std::int64_t linkBytesPerSecond = 125000000,
        ReleaseOrder order = ReleaseOrder::InTimeFirst)
    {
        setLink(linkBytesPerSecond);
        setReleaseOrder(order);
        for (std::uint32_t i = 1; i <= 3; ++i)
            balancers.push_back(addBalancer(i));
        for (std::uint32_t i = 11; i < 11 + targets; ++i)
            agents.push_back(addAgent(i));
        run(seconds(2));
    }

    /** Restarts all agents, targets and the first balancer with empty state, and runs for 1 s. */
    void loseAllFlows()
    {
        for (Endpoint agent : agents) {
            restart(agent);
            restartTarget(agent.address, "new" + std::to_string(agent.address));
        }
        restart(balancers[0]);
        run(seconds(1));
    }

    /** @return Requests started by all targets. */
    std::size_t totalRequestsStarted()
    {
        std::size_t count = 0;
        for (Endpoint agent : agents)
            count += target(agent.address).started.size();
        return count;
    }
};

} // namespace hawthorncroft::tests
