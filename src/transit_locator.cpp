#include "transit_locator_base.h"

namespace hawthorncroft {

TransitLocators::TransitLocators(const TransitView& view)
{
    std::vector<RankedTarget> ranked;
    for (const auto& [endpoint, target] : view.targets()) {
        if (!m_addresses.empty() && m_addresses.back() == endpoint.address)
            continue; // Two ports of one VM share an agent.
        m_addresses.push_back(endpoint.address);
        ranked.push_back({ TargetId(endpoint.address), 1 });
    }
    m_table = RankTable(std::move(ranked));
}

std::vector<std::uint32_t> TransitLocators::of(const FlowTuple& flow, std::size_t count) const
{
    std::vector<TargetId> ranks(std::min(count, m_addresses.size()));
    std::uint64_t hash = hashOf(flow);
    ranks.resize(m_table.rank({ CallerId(hash), FlowId(mix64(hash)) }, ranks));
    std::vector<std::uint32_t> addresses;
    addresses.reserve(ranks.size());
    for (TargetId id : ranks)
        addresses.push_back(id.value);
    return addresses;
}

} // namespace hawthorncroft
