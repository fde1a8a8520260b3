/**
 * @file transit_shell.h
 * Runs the core of a process that carries transparent flows and executes its effects: sockets, timers, store calls,
 * logs and metrics. One event loop on one thread, because the processes share a small part of one processor
 * (docs/decisions/0014).
 */
#pragma once

#include "transit_codec_func.h"
#include "transit_core_base.h"
#include "transit_egress_base.h"
#include "transit_http_base.h"
#include "transit_log_base.h"
#include "transit_metrics_base.h"
#include "transit_store_base.h"
#include "udp_base.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace hawthorncroft {

/** Addresses and paths of a process. */
struct TransitShellOptions {
    std::string part; ///< Role of the process, written to each log line.
    std::string vm;
    Endpoint packets; ///< Receives packets of callers (balancer) or of the target (agent).
    Endpoint fleet; ///< Receives messages of other processes.
    Endpoint status; ///< Serves readiness, metrics and the pages of the core over HTTP.
    Endpoint target; ///< Agent only: receives the packets for the target.
    std::int64_t linkBytesPerSecond {}; ///< Balancer only: rate of the VM's link. Zero: datagrams are not held back.
    std::uint16_t callerPort {}; ///< Port to which packets for callers are sent.
    std::string readyPath;
    std::string metricsPath;
    std::function<void()> reload; ///< Called on SIGHUP.
};

/** Event loop around one core. */
class TransitShell {
public:
    TransitShell(TransitShellOptions options, boost::asio::io_context& context, TransitCore& core,
        const PacketFormat& format, StoreClient& store);

    /**
     * Opens all sockets and starts the core.
     * @return Empty on success, otherwise the address that could not be opened and the system's error.
     */
    std::string start();

    /** Writes a log line that does not come from the core. */
    void log(const WriteLog& line);

private:
    void onPacket(std::span<const std::uint8_t> bytes);
    void onDatagram(Endpoint from, std::span<const std::uint8_t> bytes);
    void onSignal(int number);
    void onStoreAnswer(StoreAnswer answer);
    bool isAfterPause(TimePoint now) const;
    void discardStale(TimePoint now);
    void tick();
    void armTimer();
    void applyEffects();
    void sendOrQueue(const EgressDatagram& head, std::span<const std::uint8_t> bytes, TimePoint now);
    void releaseEgress(TimePoint now);
    void armEgressTimer();
    void logEgressDrops(TimePoint now);
    UdpSocket& socketOf(EgressSocket socket);
    void sendMessage(const EgressDatagram& head, const Message& message, TimePoint now);
    void applyEffect(SendMessage& effect);
    void applyEffect(RelayMessage& effect);
    void applyEffect(DeliverToTarget& effect);
    void applyEffect(DeliverToCaller& effect);
    void applyEffect(ResetCaller& effect);
    void applyEffect(ReadStore& effect);
    void applyEffect(WatchStore& effect);
    void applyEffect(ProbeTarget& effect);
    void applyEffect(WriteLog& effect);
    void applyEffect(CountEvent& effect);
    void applyEffect(RecordTime& effect);
    HttpReply answer(std::string_view target);
    HttpReply metricsPage();
    void waitForSignal();
    void onProbed(boost::system::error_code error);

    TransitShellOptions m_options;
    boost::asio::io_context& m_context;
    TransitCore& m_core;
    const PacketFormat& m_format;
    StoreClient& m_store;
    TransitLog m_log;
    TransitMetrics m_metrics;
    UdpSocket m_packetSocket;
    UdpSocket m_fleetSocket;
    FragmentJoiner m_joiner;
    TransitEgress m_egress;
    boost::asio::steady_timer m_egressTimer; ///< Armed while datagrams wait for the link.
    bool m_isEgressTimerArmed {};
    TransitHttpServer m_statusServer;
    boost::asio::steady_timer m_timer;
    boost::asio::signal_set m_signals;
    TransitEffects m_effects;
    std::optional<TimePoint> m_lastTickAt;
    boost::asio::ip::tcp::socket m_probe; ///< At most one connection to the target.
    boost::asio::steady_timer m_probeTimer;
};

} // namespace hawthorncroft
