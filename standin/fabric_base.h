/**
 * @file fabric_base.h
 * The fabric stand-in without sockets and clocks; deterministic: equal seeds and inputs give equal effects.
 */
#pragma once

#include "fabric_type.h"

#include <map>
#include <optional>
#include <random>
#include <unordered_map>

namespace hawthorncroft {

/** The network between callers and balancers. */
class FabricCore {
public:
    explicit FabricCore(FabricSettings settings);

    /** Handles a datagram from a caller. */
    void onCallerDatagram(TimePoint now, Endpoint caller, std::span<const std::uint8_t> bytes, FabricEffects& effects);

    /** Handles a datagram that a balancer sent to the socket of a session; it goes to the caller of the session. */
    void onBalancerDatagram(TimePoint now, SessionId session, Endpoint balancer, std::span<const std::uint8_t> bytes);

    /** Delivers the datagrams that are due and closes idle sessions. */
    void onTick(TimePoint now, FabricEffects& effects);

    /** @return Time of the next delivery, when onTick must be called; empty when no datagram is in flight. */
    std::optional<TimePoint> nextTimer() const;

    /**
     * Executes a command of the control port.
     * Commands: add EP [DELAY_US], remove EP, delay EP DELAY_US, cut EP, join EP, drop N, duplicate N, reorder N
     * (N per 1000), status. cut drops all datagrams from and to a balancer until join.
     * @param line The command.
     * @return "ok", the status, or the error message.
     */
    std::string command(const std::string& line);

    const FabricCounters& counters() const { return m_counters; }
    const FabricSettings& settings() const { return m_settings; }

private:
    struct Session {
        SessionId id;
        Endpoint caller;
        TimePoint lastSeen;
    };

    using Change = std::string (FabricCore::*)(Endpoint balancer, std::uint32_t number);
    struct Command;

    Session* findOrOpenSession(TimePoint now, Endpoint caller, FabricEffects& effects);
    FabricPath* find(Endpoint balancer);
    bool chance(std::uint32_t perMille);
    void transmit(TimePoint now, const FabricPath& path, FabricEffect effect);
    void enqueue(TimePoint at, FabricEffect effect);
    void closeIdleSessions(TimePoint now, FabricEffects& effects);

    std::string add(Endpoint balancer, std::uint32_t delayUs);
    std::string remove(Endpoint balancer, std::uint32_t);
    std::string setDelay(Endpoint balancer, std::uint32_t delayUs);
    std::string cut(Endpoint balancer, std::uint32_t);
    std::string join(Endpoint balancer, std::uint32_t);
    std::string setDrop(Endpoint, std::uint32_t perMille);
    std::string setDuplicate(Endpoint, std::uint32_t perMille);
    std::string setReorder(Endpoint, std::uint32_t perMille);
    std::string status(Endpoint, std::uint32_t);

    FabricSettings m_settings;
    FabricCounters m_counters;
    std::mt19937_64 m_random;
    std::unordered_map<Endpoint, Session> m_sessions;
    std::unordered_map<SessionId, Endpoint> m_callers;
    std::multimap<TimePoint, FabricEffect> m_inFlight;
    TimePoint m_lastIdleCheck;
    std::uint64_t m_lastSession {};
};

} // namespace hawthorncroft
