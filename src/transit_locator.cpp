#include "transit_locator_base.h"

#include "table/transit_limits.h"

#include <algorithm>
#include <bit>

namespace hawthorncroft {

namespace {

    struct Candidate {
        std::uint32_t address {};
        const std::string* failureDomain {};
    };

    std::uint64_t scoreOf(const Candidate& candidate, std::uint32_t shard)
    {
        return mix64(mix64(shard), candidate.address);
    }

    /**
     * @param excluded Addresses of candidates that are not considered.
     * @param avoidedDomain Failure domain whose candidates are chosen only if there is no other; may be null.
     * @return Candidate with the highest score.
     */
    const Candidate* bestCandidate(const std::vector<Candidate>& candidates, std::uint32_t shard,
        const std::vector<std::uint32_t>& excluded, const std::string* avoidedDomain)
    {
        const Candidate* best = nullptr;
        auto bestRank = std::pair(false, std::uint64_t {});
        for (const auto& candidate : candidates) {
            auto rank
                = std::pair(!avoidedDomain || *candidate.failureDomain != *avoidedDomain, scoreOf(candidate, shard));
            if (best && rank <= bestRank)
                continue;
            if (std::find(excluded.begin(), excluded.end(), candidate.address) != excluded.end())
                continue;
            best = &candidate;
            bestRank = rank;
        }
        return best;
    }

    /**
     * Consecutive locators are in different failure domains if possible, so that the loss of one domain leaves a
     * locator.
     * @return Locators of a shard.
     */
    std::vector<std::uint32_t> locatorsOf(const std::vector<Candidate>& candidates, std::uint32_t shard)
    {
        std::vector<std::uint32_t> locators;
        const std::string* avoidedDomain = nullptr;
        while (locators.size() < locatorCount && locators.size() < candidates.size()) {
            const Candidate* best = bestCandidate(candidates, shard, locators, avoidedDomain);
            locators.push_back(best->address);
            avoidedDomain = best->failureDomain;
        }
        return locators;
    }

}

std::uint32_t shardOf(const FlowTuple& flow, std::uint32_t count)
{
    return count ? static_cast<std::uint32_t>(mix64(hashOf(flow)) % count) : 0;
}

TransitLocators::TransitLocators(const TransitView& view)
{
    std::vector<Candidate> candidates;
    for (const auto& [endpoint, target] : view.targets()) {
        if (!candidates.empty() && candidates.back().address == endpoint.address)
            continue; // All ports of a VM share one agent.
        candidates.push_back({ endpoint.address, &target.record.failureDomain });
        m_digest = mix64(m_digest, endpoint.address);
    }
    if (candidates.empty())
        return;
    // The count is a power of two, so that adding or removing a few targets rarely changes the shards of all flows.
    std::size_t count = std::max<std::size_t>(1, std::bit_ceil(candidates.size()) / agentsPerShard);
    for (std::uint32_t shard = 0; shard < count; ++shard)
        m_shards.push_back(locatorsOf(candidates, shard));
}

const std::vector<std::uint32_t>& TransitLocators::of(const FlowTuple& flow) const
{
    static const std::vector<std::uint32_t> none;
    return m_shards.empty() ? none : m_shards[shardOf(flow, shardCount())];
}

std::map<std::uint32_t, std::vector<std::uint32_t>> TransitLocators::shardsByLocator() const
{
    std::map<std::uint32_t, std::vector<std::uint32_t>> shardsByLocator;
    for (std::uint32_t shard = 0; shard < shardCount(); ++shard) {
        for (std::uint32_t address : m_shards[shard])
            shardsByLocator[address].push_back(shard);
    }
    return shardsByLocator;
}

} // namespace hawthorncroft
