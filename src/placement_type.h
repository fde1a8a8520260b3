/**
 * @file placement_type.h
 * Ranking of a service's targets for a flow by weighted rendezvous hashing on two levels: groups, then the targets of a
 * group. The same flow and the same targets give the same ranks in every process.
 */
#pragma once

#include "core_type.h"

#include <span>
#include <vector>

namespace hawthorncroft {

/** One target of a rank table. */
struct RankedTarget {
    TargetId id;
    std::uint32_t weight { 1 }; ///< Share of the flows relative to other targets: the target's number of slots.
};

/**
 * The targets of one service, grouped so that the cost of a lookup grows with the square root of their number.
 * Up to `flatLimit` targets form a single group. More targets are hashed into groups: the first rank is the best target
 * of the best group, the second rank that of the second-best group, and so on, so that the first ranks are in different
 * groups. The second-best targets of these groups follow.
 */
class RankTable {
public:
    static constexpr std::size_t flatLimit
        = 48; ///< Number of targets up to which hashing all of them is cheaper than grouping.
    static constexpr std::size_t maxGroups = 512;

    RankTable() = default;

    /**
     * Builds the table.
     * @param targets The targets, in any order.
     */
    explicit RankTable(std::vector<RankedTarget> targets);

    /** @return Number of targets. */
    std::size_t size() const { return m_size; }

    /**
     * Finds the best targets for a flow.
     * @param key The flow.
     * @param[out] ranks Filled with targets, best first.
     * @return Number of ranks written: at most 8, the size of `ranks` and the number of targets. It can be
     * less when an examined group has only one target.
     */
    std::size_t rank(const FlowKey& key, std::span<TargetId> ranks) const;

private:
    struct Member {
        TargetId id;
        std::uint64_t reciprocal {}; ///< 2^32 divided by the weight.
    };

    struct Group {
        std::uint64_t seed {}; ///< Hash of the group number.
        std::uint64_t reciprocal {}; ///< 2^32 divided by the sum of the members' weights.
        bool isUniform {}; ///< All members have the same weight.
        std::vector<Member> members;
    };

    static bool hasEqualWeights(const Group& group);

    static std::size_t rankMembers(const Group& group, std::uint64_t hash, std::span<TargetId> ranks);
    std::size_t rankGrouped(std::uint64_t hash, std::span<TargetId> ranks) const;

    std::vector<Group> m_groups;
    std::size_t m_size {};
};

} // namespace hawthorncroft
