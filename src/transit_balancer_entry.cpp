#include "transit_balancer_base.h"

#include "table/transit_limits.h"

namespace hawthorncroft {

void TransitBalancer::updateEntry(TimePoint now, TransitEffects& effects)
{
    auto change = m_entry.update(m_fleet.entryBalancers(now), m_fleet.view().hasConfiguration(), now);
    m_nextEntryUpdateAt = m_entry.hasStarted() ? now + entryUpdateInterval : now;
    m_fleet.setEntry(m_entry.report(now), m_entry.isEven() ? evenEntryStampInterval : entryStampInterval);
    if (!change)
        return;
    constexpr double percent = 100;
    effects.push_back(CountEvent { TransitCounter::EntryChanges });
    effects.push_back(WriteLog { change->isReady ? "entry_returned" : "entry_left",
        { { "reason", std::string(nameOf(change->reason)) },
            { "load_percent", static_cast<std::int64_t>(change->utilisation * percent) },
            { "share_bytes", m_entry.shareBytes() }, { "capacity_bytes", m_entry.capacityBytes() },
            { "wanted", static_cast<std::int64_t>(change->wanted) },
            { "known", static_cast<std::int64_t>(change->known) },
            { "others_ready", static_cast<std::int64_t>(change->ready) },
            { "age_ms", change->oldestReport.us / 1000 } } });
}

void TransitBalancer::recordSentPackets(std::span<const TransitEffect> sent, TimePoint now)
{
    // Only messages with callers' packets: the others do not depend on the share of the flows that arrives here.
    for (const TransitEffect& effect : sent) {
        const auto* message = std::get_if<SendMessage>(&effect);
        if (!message)
            continue;
        if (const auto* forward = std::get_if<ForwardMessage>(&message->body)) {
            m_entry.meter().recordSent(forward->packet.bytes.size() + forwardOverheadBytes, now);
        } else if (const auto* locate = std::get_if<LocateMessage>(&message->body)) {
            for (const auto& packet : locate->packets)
                m_entry.meter().recordSent(packet.bytes.size() + forwardOverheadBytes, now);
        }
    }
}

bool TransitBalancer::mayLeaveRotation(TimePoint now) const
{
    if (m_options.entryRotation && !m_entry.isEven())
        return m_entry.mayStop(now);
    // If fewer than half of a failure domain's balancers are in rotation, the routers use all of them, including those
    // that have ended. While others are out of rotation, this one therefore stays in as long as the grace period leaves
    // it time to drain.
    auto others = m_fleet.sameDomainBalancers(now);
    bool areEnoughReady = !others.known || others.ready * 2 >= others.known + 1;
    return areEnoughReady || now + drainTime + shutdownMargin >= *m_stoppedAt + m_options.grace;
}

void TransitBalancer::leaveRotation(TimePoint now, TransitEffects& effects)
{
    m_leftRotationAt = now;
    m_wasReady = false;
    m_fleet.setReady(false, now, effects);
    auto others = m_fleet.sameDomainBalancers(now);
    effects.push_back(WriteLog { "leaving_rotation",
        { { "waited_ms", (now - *m_stoppedAt).us / 1000 }, { "others", static_cast<std::int64_t>(others.known) },
            { "others_ready", static_cast<std::int64_t>(others.ready) } } });
}

std::vector<TransitGauge> TransitBalancer::gauges(TimePoint /*now*/) const
{
    return {
        { "entry_ready", isReady() },
        { "entry_share_bytes", m_entry.shareBytes() },
        { "entry_capacity_bytes", m_entry.capacityBytes() },
    };
}

} // namespace hawthorncroft
