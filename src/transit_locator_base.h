/**
 * @file transit_locator_base.h
 * The agents that know where a flow is held: the first ranks of the flow among all agents. Every process computes them
 * from its view, so that finding a flow costs a few messages whatever the size of the fleet.
 */
#pragma once

#include "placement_type.h"
#include "transit_view_base.h"

#include <vector>

namespace hawthorncroft {

/** Ranks of flows among the agents of all targets in the view. */
class TransitLocators {
public:
    TransitLocators() = default;

    /** @param view Its targets' addresses are ranked. */
    explicit TransitLocators(const TransitView& view);

    /**
     * @param flow The flow.
     * @param count Number of ranks wanted.
     * @return Addresses of agents, best first.
     */
    std::vector<std::uint32_t> of(const FlowTuple& flow, std::size_t count) const;

    bool operator==(const TransitLocators& other) const { return m_addresses == other.m_addresses; }

private:
    std::vector<std::uint32_t> m_addresses;
    RankTable m_table;
};

} // namespace hawthorncroft
