/**
 * @file transit_locator_base.h
 * The agents that know where a flow is held. Flows are divided into shards by their hash, and each shard has a few
 * agents as locators. Every process computes them from its view, so that finding a flow, or finding out that nobody
 * holds it, costs a few messages whatever the size of the fleet.
 */
#pragma once

#include "transit_view_base.h"

#include <map>
#include <string>
#include <vector>

namespace hawthorncroft {

/** @return Shard of a flow when flows are divided into `count` shards; the same in every process. */
std::uint32_t shardOf(const FlowTuple& flow, std::uint32_t count);

/** Locators of all shards, among the agents of all targets in the view. */
class TransitLocators {
public:
    TransitLocators() = default;

    /** @param view Its targets' addresses are ranked. */
    explicit TransitLocators(const TransitView& view);

    /** @return Addresses of the agents that know a flow, best first; at most `locatorCount`. */
    const std::vector<std::uint32_t>& of(const FlowTuple& flow) const;

    /** @return Number of shards; zero without targets. */
    std::uint32_t shardCount() const { return static_cast<std::uint32_t>(m_shards.size()); }

    /** @return Shards of each locator, by its address. */
    std::map<std::uint32_t, std::vector<std::uint32_t>> shardsByLocator() const;

    /** @return A number over the addresses of all targets. Two processes with the same one know the same agents. */
    std::uint64_t digest() const { return m_digest; }

private:
    std::vector<std::vector<std::uint32_t>> m_shards;
    std::uint64_t m_digest {};
};

} // namespace hawthorncroft
