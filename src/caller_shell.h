/**
 * @file caller_shell.h
 * Runs a CallerCore over UDP on an Asio io_context. Used by one thread.
 */
#pragma once

#include "caller_base.h"
#include "udp_base.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <random>

namespace hawthorncroft {

/** One caller with its own socket. */
class CallerShell {
public:
    /** Called for each effect except SendToFabric. May call methods of the shell. */
    using Handler = std::function<void(const CallerEffect&)>;

    /**
     * @param context Runs the socket and the timer.
     * @param settings Settings of the core; a zero id is replaced by a random one.
     * @param balancers Addresses of balancers or of the fabric; each packet is sent to a random one. Not empty.
     * @param handler Receives the effects.
     */
    CallerShell(
        boost::asio::io_context& context, CallerSettings settings, std::vector<Endpoint> balancers, Handler handler);

    /**
     * Opens the socket.
     * @param local Address and port; port zero lets the system choose.
     * @return Empty on success, otherwise the error message of the system.
     */
    std::string open(Endpoint local);

    /** Calls the method of the same name of CallerCore and applies its effects; so do the functions below. */
    Started startRequest(RequestOptions options);
    Started openFeed(FeedOptions options);
    Started startUpload(UploadOptions options);
    Started startQuery(const QueryOptions& options);
    bool cancel(FlowId flow);
    bool closeFlow(FlowId flow);

    const CallerCore& core() const { return m_core; }

    /** @return The caller's id, given or random. */
    CallerId id() const { return m_id; }

private:
    void receive(std::span<const std::uint8_t> bytes);
    void applyEffects();
    void send(const Packet& packet);
    void schedule();

    CallerId m_id;
    CallerCore m_core;
    UdpSocket m_socket;
    boost::asio::steady_timer m_timer;
    std::vector<Endpoint> m_balancers;
    Handler m_handler;
    CallerEffects m_effects;
    Packet m_received; ///< Reused to avoid allocations.
    std::vector<std::uint8_t> m_bytes; ///< Send buffer, reused to avoid allocations.
    std::minstd_rand m_random;
};

} // namespace hawthorncroft
