/**
 * @file transit_locator_base.h
 * Locators: agents that know which agent holds a flow. Flows are divided into shards by their hash, and each shard has
 * a few agents as locators, chosen by rendezvous hashing. Every process computes them from its view, so that finding
 * the holder of a flow, or that it has none, takes a few messages regardless of the size of the fleet.
 */
#pragma once

#include "transit_view_base.h"

#include <map>
#include <string>
#include <vector>

namespace hawthorncroft {

/** @return Shard of a flow if there are `count` shards; the same in every process. */
std::uint32_t shardOf(const FlowTuple& flow, std::uint32_t count);

/** Locators of all shards, chosen from the agents of all targets in the view. */
class TransitLocators {
public:
    TransitLocators() = default;

    /** @param view View whose targets' addresses are ranked. */
    explicit TransitLocators(const TransitView& view);

    /** @return Addresses of the flow's locators, highest rank first; at most `locatorCount`. */
    const std::vector<std::uint32_t>& of(const FlowTuple& flow) const;

    /** @return Number of shards; zero if there are no targets. */
    std::uint32_t shardCount() const { return static_cast<std::uint32_t>(m_shards.size()); }

    /** @return Shards of each locator, by the locator's address. */
    std::map<std::uint32_t, std::vector<std::uint32_t>> shardsByLocator() const;

    /** @return Hash of the addresses of all targets; equal in processes that know the same agents. */
    std::uint64_t digest() const { return m_digest; }

private:
    std::vector<std::vector<std::uint32_t>> m_shards;
    std::uint64_t m_digest {};
};

} // namespace hawthorncroft
