#include "fake_fleet.h"
#include "name_table_type.h"

#include <algorithm>
#include <array>

namespace hawthorncroft::fake {

namespace {

    constexpr NameTable<Policy> policyNames {
        "product",
        "plain rendezvous",
        "flow cache",
        "round robin",
        "least reported",
    };
    constexpr Duration reportInterval = seconds(1); ///< Between load reports of the LeastReported baseline.

}

std::string_view nameOf(Policy policy) { return lookUpName(policyNames, policy); }

void Fleet::applyPolicy(std::uint32_t balancer, SendToProcess& effect)
{
    if (m_options.policy == Policy::Product)
        return;
    TargetId target = baselineTarget(balancer, effect.packet);
    const TargetConfig* config = m_balancers.empty() ? nullptr : this->balancer(balancer).view().target(target);
    if (!config)
        return;
    effect.to = config->agent;
    effect.packet.target = target;
}

TargetId Fleet::baselineTarget(std::uint32_t balancer, const Packet& packet)
{
    const ConfigView& view = this->balancer(balancer).view();
    std::vector<TargetId> eligible;
    std::array<TargetId, 8> ranks {};
    std::size_t found = view.ranksOf(ServiceId(firstService)).rank(packet.key, ranks);
    for (std::size_t i = 0; i < found; ++i) {
        const TargetConfig* config = view.target(ranks[i]);
        bool isDraining = m_targets[ranks[i].value].reportedState == TargetState::Draining;
        if (!view.isOutOfService(*config) && !isDraining)
            eligible.push_back(ranks[i]);
    }
    if (eligible.empty())
        return {};
    bool usesBindings = m_options.policy == Policy::RoundRobin || m_options.policy == Policy::LeastReported;
    if (usesBindings && packet.hasBinding())
        return {};
    if (m_options.policy == Policy::FlowCache)
        return m_flowCache.try_emplace({ balancer, packet.key }, eligible.front()).first->second;
    if (m_options.policy == Policy::PlainRendezvous)
        return eligible.front();
    std::sort(eligible.begin(), eligible.end());
    if (m_options.policy == Policy::RoundRobin)
        return eligible[m_openCounts[balancer]++ % eligible.size()];
    return *std::min_element(eligible.begin(), eligible.end(),
        [this](TargetId a, TargetId b) { return m_reportedLoads[a.value] < m_reportedLoads[b.value]; });
}

void Fleet::updateReportedLoads()
{
    for (const auto& [index, target] : m_targets)
        m_reportedLoads[index] = target.running * 1000 / m_options.slots
            + static_cast<std::uint32_t>(target.feeds.size() * 1000 / m_options.connections);
    after(reportInterval, [this] { updateReportedLoads(); });
}

} // namespace hawthorncroft::fake
