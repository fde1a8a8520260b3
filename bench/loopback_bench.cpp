/**
 * @file loopback_bench.cpp
 * Datagrams per second that a complete balancer forwards over loopback, relative to a plain relay that forwards the
 * same datagrams with the same socket class. The sender offers more than either can forward; a receiver counts the
 * arrivals.
 */
#include "balancer_thread.h"
#include "binding_func.h"
#include "codec_func.h"
#include "settings_func.h"
#include "udp_base.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <thread>

using namespace hawthorncroft;

namespace {

constexpr std::uint32_t loopback = 0x7f000001;
constexpr Endpoint senderEndpoint { loopback, 23001 };
constexpr Endpoint relayEndpoint { loopback, 23002 };
constexpr Endpoint frontEndpoint { loopback, 23003 };
constexpr Endpoint dataEndpoint { loopback, 23004 };
constexpr Endpoint sinkEndpoint { loopback, 23005 };
constexpr std::size_t payloadBytes = 256;
constexpr int rounds = 5;
constexpr auto roundTime = std::chrono::milliseconds(800);

/** A socket on its own thread that counts datagrams and optionally forwards them. */
class SocketThread {
public:
    SocketThread(Endpoint local, Endpoint forwardTo)
        : m_socket(m_context)
    {
        std::string error = m_socket.open(local);
        if (!error.empty()) {
            std::fprintf(stderr, "%s: %s\n", toString(local).c_str(), error.c_str());
            std::exit(2);
        }
        m_socket.start([this, forwardTo](Endpoint, std::span<const std::uint8_t> bytes) {
            m_count.fetch_add(1, std::memory_order_relaxed);
            if (forwardTo)
                m_socket.send(forwardTo, bytes);
        });
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~SocketThread()
    {
        m_context.stop();
        m_thread.join();
    }

    std::uint64_t count() const { return m_count.load(std::memory_order_relaxed); }

private:
    boost::asio::io_context m_context { 1 };
    UdpSocket m_socket;
    std::atomic<std::uint64_t> m_count { 0 };
    std::thread m_thread;
};

ProcessSettings settingsOfBalancer()
{
    ProcessSettings settings;
    settings.vm = "bench";
    settings.front = frontEndpoint;
    settings.data = dataEndpoint;
    settings.keys = { { KeyId(1), MacKey { 9 } } };
    return settings;
}

Bytes boundDatagram(const Keyring& keyring)
{
    Packet packet;
    packet.kind = PacketKind::Execute;
    packet.key = { CallerId(77), FlowId(1) };
    packet.name = "courier-route";
    packet.payload.resize(payloadBytes);
    packet.binding
        = { .service = ServiceId(1), .target = TargetId(3), .agent = sinkEndpoint, .reservation = ReservationId(1) };
    signBinding(keyring, packet.key, packet.binding);
    Bytes bytes;
    encode(packet, bytes);
    return bytes;
}

double ratePerSecond(const SocketThread& sink, Endpoint through, const Bytes& datagram)
{
    boost::asio::io_context context;
    UdpSocket sender(context);
    sender.open(senderEndpoint);
    std::uint64_t before = sink.count();
    auto start = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - start < roundTime) {
        for (int i = 0; i < 64; ++i)
            sender.send(through, datagram);
    }
    std::chrono::duration<double> passed = std::chrono::steady_clock::now() - start;
    return static_cast<double>(sink.count() - before) / passed.count();
}

double medianOf(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

}

int main()
{
    ProcessSettings settings = settingsOfBalancer();
    BalancerThread balancer(settings, NodeId(1));
    if (!balancer.open().path.empty())
        return 2;
    Ring<ConfigInput> toConfig(ringCapacity, [] {});
    Ring<ControlInput> toControl(ringCapacity, [] {});
    balancer.start(toConfig, toControl);
    ServicesDocument services { { { .id = ServiceId(1), .name = "courier-route" } } };
    VersionedDocument document {
        .key = "services/a", .revision = Revision(1), .document = std::make_shared<const Document>(std::move(services))
    };
    balancer.input().push(DocumentsAccepted { { document }, Revision(1) });
    balancer.input().push(ServingChanged { .isReady = true });

    SocketThread sink(sinkEndpoint, {});
    SocketThread relay(relayEndpoint, sinkEndpoint);
    Bytes datagram = boundDatagram(keyringOf(settings));
    std::vector<double> relayRates;
    std::vector<double> balancerRates;
    std::vector<double> ratios;
    for (int i = 0; i < rounds; ++i) {
        relayRates.push_back(ratePerSecond(sink, relayEndpoint, datagram));
        balancerRates.push_back(ratePerSecond(sink, frontEndpoint, datagram));
        ratios.push_back(balancerRates.back() / relayRates.back());
    }
    std::printf(
        "bare relay %.0f datagrams/s, balancer %.0f datagrams/s, ratio %.2f (medians of %d rounds, %zu bytes each)\n",
        medianOf(relayRates), medianOf(balancerRates), medianOf(ratios), rounds, datagram.size());
    balancer.stop();
    return 0;
}
