/**
 * @file replica_peers.h
 * Peers of a replica: seeds from the settings and members from the documents. Ranks them as readers of the platform.
 */
#pragma once

#include "config_type.h"

namespace hawthorncroft {

/** Endpoints of other processes, except members that are leaving. */
class PeerList {
public:
    /**
     * @param self Own datagram endpoint.
     * @param seeds Datagram endpoints from the settings.
     */
    PeerList(Endpoint self, std::vector<Endpoint> seeds);

    /**
     * Replaces the members that an earlier document with the same key contributed.
     * @param document Any document; one that is not a members document contributes no members.
     */
    void update(const VersionedDocument& document);

    std::size_t size() const { return m_peers.size(); }

    /**
     * Chooses a random peer.
     * @param random Random number.
     * @return The peer's datagram endpoint, or none if there are no peers.
     */
    Endpoint pick(std::uint64_t random) const;

    /**
     * Ranks all processes by a hash of endpoint and minute, so that the readers change every minute.
     * @param minute Minutes of the wall clock. Processes whose clocks differ compute different ranks, which only
     *               changes how many of them read.
     * @return Rank of this process, from 0.
     */
    std::size_t ownRank(std::uint64_t minute);

    /**
     * Checks whether a peer is among the first peers in the minute last passed to ownRank.
     * @param peer The peer's datagram endpoint.
     * @param count Number of peers to check, at most maxFirst.
     */
    bool isAmongFirst(Endpoint peer, std::size_t count) const;

    /** @return The peers with the lowest ranks in the minute last passed to ownRank, in order; at most maxFirst. */
    const std::vector<Endpoint>& first() const { return m_first; }

    static constexpr std::size_t maxFirst = 8;

private:
    void rebuild();
    void rank(std::uint64_t minute);

    Endpoint m_self;
    std::vector<Endpoint> m_seeds;
    std::map<std::string, DocumentPtr> m_members;
    std::vector<Endpoint> m_peers; ///< Sorted.
    std::vector<Endpoint> m_first;
    std::size_t m_ownRank {};
    std::uint64_t m_rankedMinute { UINT64_MAX };
};

} // namespace hawthorncroft
