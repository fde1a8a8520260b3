/**
 * @file transit_demo_world.h
 * Stand-ins of the platform for the demo of transparent flows: the store, targets and callers, all in one process on
 * loopback. Small on purpose: targets answer each request once, callers send again after 200 ms.
 */
#pragma once

#include "packet_format.h"
#include "transit_http_base.h"
#include "udp_base.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hawthorncroft {

/** Ports that every VM of the demo uses. */
struct DemoPorts {
    std::uint16_t data { 21172 };
    std::uint16_t status { 21167 };
    std::uint16_t outbound { 21162 };
    std::uint16_t target { 21165 };
    std::uint16_t fleet { 21720 };
    std::uint16_t store { 21169 };
};

/** The store: items with revisions, read by range and watch. */
class DemoStore {
public:
    DemoStore(boost::asio::io_context& context, Endpoint listen);

    /** @return Empty on success, otherwise what the system reports. */
    std::string start();

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    std::size_t calls() const { return m_calls; }

private:
    struct Item {
        std::string value;
        std::uint64_t revision {};
        bool isRemoved {};
    };
    struct Watch {
        std::uint64_t after {};
        std::shared_ptr<boost::asio::steady_timer> timer;
        TransitHttpServer::Replier reply;
    };

    void answer(const std::string& path, const TransitHttpServer::Replier& reply);
    void answerWatches();
    std::string itemsAfter(std::uint64_t after, bool isRange) const;

    boost::asio::io_context& m_context;
    Endpoint m_listen;
    TransitHttpServer m_server;
    std::map<std::string, Item> m_items;
    std::uint64_t m_revision { 100 };
    std::vector<std::shared_ptr<Watch>> m_watches;
    std::size_t m_calls {};
};

/** A target behind an agent. */
class DemoTarget {
public:
    DemoTarget(boost::asio::io_context& context, std::uint32_t address, const DemoPorts& ports, std::string service);

    std::string start();

    std::size_t opened() const { return m_opened; } ///< Opening packets taken.
    const std::string& service() const { return m_service; }

private:
    struct Flow {
        std::uint32_t sequence {}; ///< Next of the target's own.
    };

    void onPacket(std::span<const std::uint8_t> bytes);
    void send(const TransitPacket& packet, PacketFlags flags, std::uint32_t sequence, std::uint32_t acknowledged,
        std::size_t data);

    boost::asio::io_context& m_context;
    TransitHttpServer m_health;
    UdpSocket m_socket;
    Endpoint m_self;
    Endpoint m_outbound;
    std::string m_service;
    std::map<FlowTuple, Flow> m_flows;
    std::size_t m_opened {};
};

/** One caller with one flow at a time. */
class DemoCaller {
public:
    /** @param route Where the balancers are reached for a flow; stands for the platform's routers. */
    DemoCaller(boost::asio::io_context& context, std::uint32_t address, const DemoPorts& ports, Endpoint service,
        std::size_t requestsPerFlow, std::function<Endpoint(const FlowTuple&)> route);

    std::string start();
    void stop() { m_isStopped = true; }

    std::size_t requested() const { return m_requested; }
    std::size_t answered() const { return m_answered; }
    std::size_t late() const { return m_late; } ///< Answered after more than half a second.
    std::size_t resets() const { return m_resets; }

private:
    void openFlow();
    void sendRequest();
    void onPacket(std::span<const std::uint8_t> bytes);
    void retransmit();
    void startTimer(std::chrono::milliseconds time, std::function<void()> action);
    std::vector<std::uint8_t> packet(PacketFlags flags, std::uint32_t acknowledged, const std::string& data) const;

    UdpSocket m_socket;
    boost::asio::steady_timer m_timer;
    Endpoint m_self;
    std::uint16_t m_dataPort;
    std::size_t m_requestsPerFlow;
    std::function<Endpoint(const FlowTuple&)> m_route;
    FlowTuple m_flow;
    std::uint32_t m_sequence { 1 };
    std::uint32_t m_targetSequence {};
    std::size_t m_retransmissions {};
    std::size_t m_answeredOnFlow {};
    bool m_isOpen {};
    bool m_isRequestPending {}; ///< A request is under way.
    bool m_isStopped {};
    std::chrono::steady_clock::time_point m_requestedAt;
    std::size_t m_requested {};
    std::size_t m_answered {};
    std::size_t m_late {};
    std::size_t m_resets {};
};

} // namespace hawthorncroft
