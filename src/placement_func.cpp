#include "placement_type.h"

#include <algorithm>
#include <array>
#include <bit>

namespace hawthorncroft {

namespace {

    constexpr std::size_t maxRanksPerLookup = 8; ///< Maximum number of ranks that RankTable::rank() returns.
    constexpr std::size_t ranksPerGroup = 2; ///< Maximum number of ranks taken from one group.
    constexpr std::uint64_t groupSeed
        = 0x67726f7570ULL; ///< Makes hashes of group numbers independent of those of target IDs.

    /**
     * Computes -log2 of a hash that is taken as a fraction in (0, 1]. The result is scaled by 2^24. Integer arithmetic
     * gives the same ranks in every process, independent of compiler and processor.
     */
    std::uint64_t negativeLog2(std::uint64_t hash)
    {
        hash |= 1;
        auto zeros = static_cast<unsigned>(std::countl_zero(hash));
        // The mantissa m is in [0, 2^24). log2(1 + m) is approximated by m + 0.3465 * m * (1 - m), with an error below
        // 0.009.
        std::uint64_t mantissa = (hash << zeros << 1) >> 40;
        std::uint64_t curvature = (mantissa * ((1U << 24) - mantissa)) >> 24;
        std::uint64_t log = mantissa + ((curvature * 355) >> 10);
        return (static_cast<std::uint64_t>(zeros + 1) << 24) - std::min<std::uint64_t>(log, (1U << 24) - 1);
    }

    /** Reciprocal of a weight, scaled by 2^32, so that a score takes a multiplication instead of a division. */
    std::uint64_t reciprocalOf(std::uint64_t weight)
    {
        return (std::uint64_t { 1 } << 32) / std::max<std::uint64_t>(weight, 1);
    }

    /**
     * Rendezvous score; lower scores rank first. Each candidate ranks first with a probability in proportion to its
     * weight.
     */
    std::uint64_t scoreOf(std::uint64_t hash, std::uint64_t reciprocal) { return negativeLog2(hash) * reciprocal; }

    struct Scored {
        std::uint64_t score {};
        std::uint32_t index {};
    };

    /** The lowest scores that were offered, up to a limit, in ascending order. */
    class LowestScores {
    public:
        explicit LowestScores(std::size_t limit)
            : m_limit(std::min(limit, maxRanksPerLookup))
        {
        }

        void offer(std::uint64_t score, std::uint32_t index)
        {
            if (m_size == m_limit && score >= m_best[m_size - 1].score)
                return;
            std::size_t at = m_size < m_limit ? m_size++ : m_size - 1;
            for (; at > 0 && m_best[at - 1].score > score; --at)
                m_best[at] = m_best[at - 1];
            m_best[at] = { score, index };
        }

        std::size_t size() const { return m_size; }
        std::uint32_t indexAt(std::size_t rank) const { return m_best[rank].index; }

    private:
        std::array<Scored, maxRanksPerLookup> m_best {};
        std::size_t m_limit;
        std::size_t m_size {};
    };

    std::size_t groupCountFor(std::size_t targets)
    {
        std::size_t groups = 1;
        while (groups * groups < targets)
            groups *= 2;
        return std::min(groups, RankTable::maxGroups);
    }

}

RankTable::RankTable(std::vector<RankedTarget> targets)
    : m_size(targets.size())
{
    // Sorted because processes may get the targets in different orders but must compute the same ranks.
    std::sort(targets.begin(), targets.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    std::size_t count = m_size <= flatLimit ? 1 : groupCountFor(m_size);
    std::vector<Group> groups(count);
    std::vector<std::uint64_t> weights(count);
    for (const auto& target : targets) {
        Group& group = groups[mix64(target.id.value) % count];
        weights[mix64(target.id.value) % count] += target.weight;
        group.members.push_back({ target.id, reciprocalOf(target.weight) });
    }
    for (std::size_t i = 0; i < count; ++i) {
        groups[i].seed = mix64(groupSeed, i);
        groups[i].reciprocal = reciprocalOf(weights[i]);
        groups[i].isUniform = hasEqualWeights(groups[i]);
        if (!groups[i].members.empty())
            m_groups.push_back(std::move(groups[i]));
    }
}

std::size_t RankTable::rank(const FlowKey& key, std::span<TargetId> ranks) const
{
    if (!m_size || ranks.empty())
        return 0;
    std::uint64_t hash = mix64(key.caller.value, key.flow.value);
    return m_groups.size() == 1 ? rankMembers(m_groups.front(), hash, ranks) : rankGrouped(hash, ranks);
}

bool RankTable::hasEqualWeights(const Group& group)
{
    return std::all_of(group.members.begin(), group.members.end(),
        [&](const Member& member) { return member.reciprocal == group.members.front().reciprocal; });
}

std::size_t RankTable::rankMembers(const Group& group, std::uint64_t hash, std::span<TargetId> ranks)
{
    LowestScores best(ranks.size());
    for (std::uint32_t i = 0; i < group.members.size(); ++i) {
        std::uint64_t memberHash = mix64(hash ^ group.members[i].id.value);
        // Members of equal weight are ranked by their hashes, which saves computing the logarithm.
        best.offer(group.isUniform ? ~memberHash : scoreOf(memberHash, group.members[i].reciprocal), i);
    }
    for (std::size_t i = 0; i < best.size(); ++i)
        ranks[i] = group.members[best.indexAt(i)].id;
    return best.size();
}

std::size_t RankTable::rankGrouped(std::uint64_t hash, std::span<TargetId> ranks) const
{
    std::size_t wanted = std::min(ranks.size(), maxRanksPerLookup);
    LowestScores bestGroups((wanted + ranksPerGroup - 1) / ranksPerGroup);
    for (std::uint32_t i = 0; i < m_groups.size(); ++i)
        bestGroups.offer(scoreOf(mix64(hash ^ m_groups[i].seed), m_groups[i].reciprocal), i);
    std::size_t found = 0;
    std::array<TargetId, maxRanksPerLookup> seconds {};
    std::size_t secondCount = 0;
    for (std::size_t i = 0; i < bestGroups.size(); ++i) {
        std::array<TargetId, ranksPerGroup> best {};
        std::size_t inGroup = rankMembers(m_groups[bestGroups.indexAt(i)], hash, best);
        ranks[found++] = best[0];
        if (inGroup > 1)
            seconds[secondCount++] = best[1];
    }
    for (std::size_t i = 0; i < secondCount && found < wanted; ++i)
        ranks[found++] = seconds[i];
    return found;
}

} // namespace hawthorncroft
