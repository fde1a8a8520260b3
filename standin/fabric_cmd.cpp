#include "fabric_base.h"

#include <algorithm>

namespace hawthorncroft {

FabricCore::FabricCore(FabricSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
{
}

bool FabricCore::chance(std::uint32_t perMille)
{
    constexpr std::uint64_t whole = 1000;
    return m_random() % whole < perMille;
}

FabricPath* FabricCore::find(Endpoint balancer)
{
    auto path = std::find_if(m_settings.paths.begin(), m_settings.paths.end(),
        [&](const FabricPath& known) { return known.balancer == balancer; });
    return path == m_settings.paths.end() ? nullptr : &*path;
}

FabricCore::Session* FabricCore::findOrOpenSession(TimePoint now, Endpoint caller, FabricEffects& effects)
{
    auto known = m_sessions.find(caller);
    if (known != m_sessions.end()) {
        known->second.lastSeen = now;
        return &known->second;
    }
    if (m_sessions.size() >= maxFabricSessions)
        return nullptr;
    SessionId id(++m_lastSession);
    m_callers[id] = caller;
    effects.emplace_back(OpenSession { id });
    return &(m_sessions[caller] = { .id = id, .caller = caller, .lastSeen = now });
}

void FabricCore::onCallerDatagram(
    TimePoint now, Endpoint caller, std::span<const std::uint8_t> bytes, FabricEffects& effects)
{
    Session* session = findOrOpenSession(now, caller, effects);
    if (!session) {
        ++m_counters.overflow;
        return;
    }
    if (m_settings.paths.empty()) {
        ++m_counters.noPath;
        return;
    }
    const FabricPath& path = m_settings.paths[m_random() % m_settings.paths.size()];
    transmit(now, path,
        SendToBalancer { .session = session->id, .to = path.balancer, .bytes = { bytes.begin(), bytes.end() } });
}

void FabricCore::onBalancerDatagram(
    TimePoint now, SessionId session, Endpoint balancer, std::span<const std::uint8_t> bytes)
{
    auto caller = m_callers.find(session);
    if (caller == m_callers.end()) {
        ++m_counters.noPath;
        return;
    }
    // A balancer that was removed from the list may still send replies.
    const FabricPath* known = find(balancer);
    FabricPath path = known ? *known : FabricPath { .balancer = balancer };
    transmit(now, path, SendToCaller { .to = caller->second, .bytes = { bytes.begin(), bytes.end() } });
}

void FabricCore::transmit(TimePoint now, const FabricPath& path, FabricEffect effect)
{
    if (path.isCut) {
        ++m_counters.cut;
        return;
    }
    if (chance(m_settings.dropPerMille)) {
        ++m_counters.dropped;
        return;
    }
    TimePoint at = now + path.delay;
    if (chance(m_settings.reorderPerMille)) {
        ++m_counters.reordered;
        at = at + m_settings.reorderDelay;
    }
    if (chance(m_settings.duplicatePerMille)) {
        ++m_counters.duplicated;
        enqueue(at + m_settings.reorderDelay, effect);
    }
    enqueue(at, std::move(effect));
}

void FabricCore::enqueue(TimePoint at, FabricEffect effect)
{
    if (m_inFlight.size() >= maxFabricDatagramsInFlight) {
        ++m_counters.overflow;
        return;
    }
    m_inFlight.emplace(at, std::move(effect));
}

std::optional<TimePoint> FabricCore::nextTimer() const
{
    if (m_inFlight.empty())
        return std::nullopt;
    return m_inFlight.begin()->first;
}

void FabricCore::onTick(TimePoint now, FabricEffects& effects)
{
    while (!m_inFlight.empty() && m_inFlight.begin()->first <= now) {
        auto item = m_inFlight.extract(m_inFlight.begin());
        ++(std::holds_alternative<SendToCaller>(item.mapped()) ? m_counters.toCallers : m_counters.toBalancers);
        effects.push_back(std::move(item.mapped()));
    }
    closeIdleSessions(now, effects);
}

void FabricCore::closeIdleSessions(TimePoint now, FabricEffects& effects)
{
    constexpr Duration idleCheckInterval = seconds(5);
    if (now - m_lastIdleCheck < idleCheckInterval)
        return;
    m_lastIdleCheck = now;
    std::erase_if(m_sessions, [&](const auto& entry) {
        const Session& session = entry.second;
        bool isIdle = now - session.lastSeen >= fabricSessionTimeout;
        if (isIdle) {
            m_callers.erase(session.id);
            effects.emplace_back(CloseSession { session.id });
        }
        return isIdle;
    });
}

} // namespace hawthorncroft
