/**
 * @file fabric_shell.h
 * Runs a FabricCore over UDP on an Asio io_context. Not thread-safe.
 */
#pragma once

#include "fabric_base.h"
#include "udp_base.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace hawthorncroft {

/** The fabric stand-in with its sockets. */
class FabricShell {
public:
    FabricShell(boost::asio::io_context& context, FabricSettings settings);

    /**
     * Opens the address for callers and the control port.
     * @param front Address to which callers send their datagrams.
     * @param control Address of the control port; takes one text command per datagram and replies to the sender.
     * @return Empty on success, otherwise the system error.
     */
    std::string open(Endpoint front, Endpoint control);

    const FabricCore& core() const { return m_core; }

private:
    void onCommand(Endpoint from, std::span<const std::uint8_t> bytes);
    void openSession(SessionId session);
    void applyEffects();
    void schedule();

    boost::asio::io_context& m_context;
    FabricCore m_core;
    UdpSocket m_front;
    UdpSocket m_control;
    boost::asio::steady_timer m_timer;
    std::optional<TimePoint> m_scheduled; ///< Expiry of the timer; empty when the timer is not set.
    std::unordered_map<SessionId, std::unique_ptr<UdpSocket>> m_sessions;
    FabricEffects m_effects;
};

} // namespace hawthorncroft
