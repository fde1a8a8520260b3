#include "transit_view_base.h"

namespace hawthorncroft {

std::uint64_t hashOfKey(const std::string& key)
{
    std::uint64_t hash = key.size();
    for (unsigned char c : key)
        hash = mix64(hash ^ c);
    return hash;
}

ViewDelta TransitView::deltaSince(StorePosition since) const
{
    ViewDelta delta {
        .since = since, .through = m_through, .hasKeys = since && since < m_historyFloor, .keys = {}, .items = {}
    };
    for (const auto& [key, item] : m_items) {
        if (delta.hasKeys && !item.isRemoved)
            delta.keys.push_back(hashOfKey(key));
        bool isWanted = since ? item.position > since : !item.isRemoved || item.value;
        if (isWanted)
            delta.items.push_back(item);
    }
    delta.digest = m_digest;
    delta.configuration = m_configuration;
    return delta;
}

const RouteRecord* TransitView::routeAt(Endpoint address) const
{
    auto key = m_routeKeys.find(address);
    if (key == m_routeKeys.end())
        return nullptr;
    return std::get_if<RouteRecord>(&*m_items.at(key->second).value);
}

bool TransitView::wasRouteDropped(Endpoint address) const
{
    auto found = m_items.find("route/" + toString(address));
    return found != m_items.end() && found->second.isRemoved;
}

StorePosition TransitView::routePositionAt(Endpoint address) const
{
    auto key = m_routeKeys.find(address);
    return key == m_routeKeys.end() ? StorePosition() : m_items.at(key->second).position;
}

const ServiceRecord* TransitView::serviceNamed(const std::string& name) const
{
    auto found = m_items.find("service/" + name);
    if (found == m_items.end() || !found->second.value)
        return nullptr;
    return std::get_if<ServiceRecord>(&*found->second.value);
}

const std::vector<const TargetEntry*>& TransitView::targetsOf(const std::string& service) const
{
    static const std::vector<const TargetEntry*> none;
    auto found = m_byService.find(service);
    return found == m_byService.end() ? none : found->second;
}

const TargetEntry* TransitView::targetAt(Endpoint address) const
{
    auto found = m_targets.find(address);
    return found == m_targets.end() ? nullptr : &found->second;
}

bool TransitView::hasTargetOn(std::uint32_t address) const
{
    auto found = m_targets.lower_bound({ address, 0 });
    return found != m_targets.end() && found->first.address == address;
}

} // namespace hawthorncroft
