#include "transit_core_base.h"

namespace hawthorncroft {

void TransitCore::receive(Endpoint from, Message message, TimePoint now, TransitEffects& effects)
{
    m_fleet.recordReceived(from, now);
    if (!message.relayTo) {
        onMessage(from, std::move(message), now, effects);
        return;
    }
    if (message.relayTo != m_fleet.self()) {
        m_fleet.relay(from, std::move(message), now, effects);
        return;
    }
    // Stamps are the measurement of the direct path and never go through a relay.
    bool isUsable = message.origin && message.origin != m_fleet.self() && m_fleet.members().contains(from)
        && !std::holds_alternative<StampMessage>(message.body);
    if (!isUsable)
        return;
    Endpoint origin = message.origin;
    onMessage(origin, std::move(message), now, effects);
}

TransitCore::Outgoing TransitCore::outgoing(SendMessage&& effect, TimePoint now)
{
    MessageRoute route = m_fleet.routeFor(effect.to, effect.body, now);
    Outgoing result { .to = route.to, .message = { m_fleet.view().through(), std::move(effect.body) }, .counter = {} };
    if (route.isOverBudget)
        result.counter = TransitCounter::RelayOverBudget;
    if (!route.isRelayed)
        return result;
    result.counter = TransitCounter::MessagesRelayed;
    result.message.relayTo = effect.to;
    result.message.origin = m_fleet.self();
    return result;
}

} // namespace hawthorncroft
