/**
 * @file replica_peers.h
 * Processes that a replica knows: seeds from the settings and members from the documents, and their ranks as readers of
 * the platform.
 */
#pragma once

#include "config_type.h"

namespace hawthorncroft {

/** Endpoints of other processes, without the own one and without members that are about to leave. */
class PeerList {
public:
    /**
     * @param self Own datagram endpoint.
     * @param seeds Datagram endpoints from the settings.
     */
    PeerList(Endpoint self, std::vector<Endpoint> seeds);

    /**
     * Takes the members of a document in place of an earlier document under the same key.
     * @param document Any document; kinds other than members are ignored.
     */
    void update(const VersionedDocument& document);

    /** @return Number of peers. */
    std::size_t size() const { return m_peers.size(); }

    /**
     * Chooses a peer.
     * @param random Random number.
     * @return The peer's datagram endpoint, or none when there is no peer.
     */
    Endpoint pick(std::uint64_t random) const;

    /**
     * Ranks this process among all by a hash of the endpoint and the minute.
     * @param minute Minutes of the wall clock; processes whose clocks differ see different ranks, which only changes
     *               how many of them read.
     * @return From 0.
     */
    std::size_t ownRank(std::uint64_t minute);

    /**
     * Tells whether a peer is among the first ranks of the minute asked for last.
     * @param peer The peer's datagram endpoint.
     * @param count Number of ranks.
     */
    bool isAmongFirst(Endpoint peer, std::size_t count) const;

    /** @return The peers with the first ranks of the minute asked for last, best first; at most maxFirst. */
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
