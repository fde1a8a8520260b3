#include "transit_admission_base.h"

#include "table/transit_limits.h"

#include <algorithm>
#include <cmath>

namespace hawthorncroft {

TransitAdmission::TransitAdmission(TransitAdmissionOptions options)
    : m_options(std::move(options))
{
}

std::optional<DeclineReason> TransitAdmission::test(
    const TransitView& view, const OpenRequest& request, const LoadReport& load, TimePoint now) const
{
    if (!view.hasConfiguration())
        return DeclineReason::NoView;
    if (request.service != m_options.service || isRouteWrong(view, request))
        return DeclineReason::WrongService;
    const TargetEntry* own = ownEntry(view);
    if (!own)
        return DeclineReason::NotRegistered;
    if (own->record.isDraining)
        return DeclineReason::Draining;
    // The VM's own settings say where it is; what an entry in the store says cannot move it.
    if (view.isEvacuated(m_options.failureDomain))
        return DeclineReason::Evacuated;
    const ServiceRecord* service = view.serviceNamed(m_options.service);
    if (service && service->flowLimit && load.flows >= service->flowLimit)
        return DeclineReason::Full;
    if (service && service->warmupPerSecond > 0 && isCold(view, now)) {
        auto recent = std::count_if(
            m_recentAdmissions.begin(), m_recentAdmissions.end(), [&](TimePoint at) { return now - at < coldWindow; });
        if (static_cast<std::size_t>(recent) >= coldLimit(*service))
            return DeclineReason::Cold;
    }
    return std::nullopt;
}

void TransitAdmission::recordAdmission(TimePoint now)
{
    m_recentAdmissions.push_back(now);
    while (now - m_recentAdmissions.front() >= coldWindow)
        m_recentAdmissions.pop_front();
}

bool TransitAdmission::isCold(const TransitView& view, TimePoint now) const
{
    const TargetEntry* own = ownEntry(view);
    if (!own)
        return true;
    return now < own->receivedAt + own->record.coldLeft + coldMargin;
}

const TargetEntry* TransitAdmission::ownEntry(const TransitView& view) const
{
    const TargetEntry* own = view.targetAt(m_options.target);
    return own && own->record.service == m_options.service ? own : nullptr;
}

bool TransitAdmission::isRouteWrong(const TransitView& view, const OpenRequest& request) const
{
    // The newer of the two views decides, so a balancer with a newer route is trusted.
    if (request.routePosition > view.through())
        return false;
    const RouteRecord* route = view.routeAt(request.address);
    if (!route)
        return true;
    return std::none_of(route->shares.begin(), route->shares.end(),
        [&](const RouteShare& share) { return share.weight && share.service == request.service; });
}

std::size_t TransitAdmission::coldLimit(const ServiceRecord& service) const
{
    return static_cast<std::size_t>(
        std::max(1.0, std::floor(service.warmupPerSecond * m_options.warmupExcess + m_options.warmupSlack)));
}

} // namespace hawthorncroft
