#include "replica_peers.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    std::uint64_t readerHash(Endpoint endpoint, std::uint64_t minute)
    {
        return mix64(std::hash<Endpoint>()(endpoint), minute);
    }

}

PeerList::PeerList(Endpoint self, std::vector<Endpoint> seeds)
    : m_self(self)
    , m_seeds(std::move(seeds))
{
    rebuild();
}

void PeerList::update(const VersionedDocument& document)
{
    bool isMembers = std::holds_alternative<MembersDocument>(*document.document);
    if (isMembers)
        m_members[document.key] = document.document;
    else if (!m_members.erase(document.key))
        return;
    rebuild();
}

void PeerList::rebuild()
{
    m_peers = m_seeds;
    for (const auto& [key, document] : m_members) {
        for (const auto& member : std::get<MembersDocument>(*document).members) {
            if (!member.leaving)
                m_peers.push_back(member.data);
        }
    }
    std::sort(m_peers.begin(), m_peers.end());
    m_peers.erase(std::unique(m_peers.begin(), m_peers.end()), m_peers.end());
    std::erase(m_peers, m_self);
    m_rankedMinute = UINT64_MAX;
}

Endpoint PeerList::pick(std::uint64_t random) const
{
    return m_peers.empty() ? Endpoint() : m_peers[mix64(random) % m_peers.size()];
}

std::size_t PeerList::ownRank(std::uint64_t minute)
{
    if (m_rankedMinute != minute)
        rank(minute);
    return m_ownRank;
}

void PeerList::rank(std::uint64_t minute)
{
    m_rankedMinute = minute;
    std::vector<std::pair<std::uint64_t, Endpoint>> hashes;
    hashes.reserve(m_peers.size());
    for (Endpoint peer : m_peers)
        hashes.emplace_back(readerHash(peer, minute), peer);
    std::pair own { readerHash(m_self, minute), m_self };
    m_ownRank = static_cast<std::size_t>(
        std::count_if(hashes.begin(), hashes.end(), [&](const auto& other) { return other < own; }));
    std::size_t count = std::min(maxFirst, hashes.size());
    std::partial_sort(hashes.begin(), hashes.begin() + static_cast<std::ptrdiff_t>(count), hashes.end());
    m_first.clear();
    for (std::size_t i = 0; i < count; ++i)
        m_first.push_back(hashes[i].second);
}

bool PeerList::isAmongFirst(Endpoint peer, std::size_t count) const
{
    auto end = m_first.begin() + static_cast<std::ptrdiff_t>(std::min(count, m_first.size()));
    return std::find(m_first.begin(), end, peer) != end;
}

} // namespace hawthorncroft
