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

/** One caller with a socket of its own. */
class CallerShell {
public:
    /** Called for each effect but SendToFabric. May call the shell again. */
    using Handler = std::function<void(const CallerEffect&)>;

    /**
     * @param context Runs the socket and the timer.
     * @param settings Settings of the core; an absent id is drawn at random.
     * @param balancers Where packets go; each packet to one of them at random. Not empty.
     * @param handler Receives the effects.
     */
    CallerShell(
        boost::asio::io_context& context, CallerSettings settings, std::vector<Endpoint> balancers, Handler handler);

    /**
     * Opens the socket.
     * @param local Address and port; port zero lets the system choose.
     * @return Empty on success, otherwise what the system reports.
     */
    std::string open(Endpoint local);

    /** Starts a flow. @see CallerCore */
    Started startRequest(RequestOptions options);
    Started openFeed(FeedOptions options);
    Started startUpload(UploadOptions options);
    Started startQuery(const QueryOptions& options);
    bool cancel(FlowId flow);
    bool closeFlow(FlowId flow);

    const CallerCore& core() const { return m_core; }

    /** @return The caller's id, drawn or given. */
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
    Packet m_received; ///< Reused, so that its buffers are.
    std::vector<std::uint8_t> m_bytes; ///< Reused for sending.
    std::minstd_rand m_random;
};

} // namespace hawthorncroft
