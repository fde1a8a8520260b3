/**
 * @file transit_demo_world.h
 * Stand-ins for the platform in the demo of transparent flows: the store, targets and callers, all in one process on
 * loopback. Targets do not retransmit; callers retransmit after 200 ms.
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

/** Ports that are the same on every VM of the demo. */
struct DemoPorts {
    std::uint16_t data { 21172 };
    std::uint16_t status { 21167 };
    std::uint16_t outbound { 21162 };
    std::uint16_t target { 21165 };
    std::uint16_t fleet { 21720 };
    std::uint16_t store { 21169 };
};

/** Key-value store with revisions, served over HTTP by range reads and watches. It may come back from a copy. */
class DemoStore {
public:
    DemoStore(boost::asio::io_context& context, Endpoint listen);

    /** @return Empty on success, otherwise what the system reports. */
    std::string start();

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    /** Makes a copy, in place of the one before. */
    void makeCopy() { m_copy = { m_items, m_revision }; }

    /** Refuses all calls until the store comes back. */
    void goAway();

    /** Comes back from the copy: what was written since is gone, and a new era begins. */
    void comeBackFromCopy();

    /** @return Number of range reads and watches. */
    std::size_t calls() const { return m_calls; }

private:
    struct Item {
        std::string value;
        std::uint64_t revision {};
        bool isRemoved {};
    };
    struct Copy {
        std::map<std::string, Item> items;
        std::uint64_t revision {};
    };
    struct Watch {
        std::uint64_t after {};
        std::shared_ptr<boost::asio::steady_timer> timer;
        TransitHttpServer::ReplyCallback reply;
    };

    void answer(const std::string& path, const TransitHttpServer::ReplyCallback& reply);
    void answerWatches();
    void answerWatch(Watch& watch);
    HttpReply replyOf(unsigned status, std::string body = {}) const;
    std::string itemsAfter(std::uint64_t after, bool isRange) const;

    boost::asio::io_context& m_context;
    Endpoint m_listen;
    TransitHttpServer m_server;
    std::map<std::string, Item> m_items;
    std::uint64_t m_revision { 100 };
    std::uint64_t m_era { 1 };
    Copy m_copy;
    bool m_isAway {};
    std::vector<std::shared_ptr<Watch>> m_watches;
    std::size_t m_calls {};
};

/** Target behind an agent: answers health checks, and each request on its flows with 200 bytes. */
class DemoTarget {
public:
    DemoTarget(boost::asio::io_context& context, std::uint32_t address, const DemoPorts& ports, std::string service);

    /** @return Empty on success, otherwise what the system reports. */
    std::string start();

    std::size_t opened() const { return m_opened; } ///< Flows opened.
    const std::string& service() const { return m_service; }

private:
    struct Flow {
        std::uint32_t sequence {}; ///< First sequence number of the target.
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

/** Caller that opens one flow at a time and sends one request at a time. */
class DemoCaller {
public:
    /**
     * @param service Address that the caller opens its flows to.
     * @param requestsPerFlow Answered requests after which the caller closes a flow and opens the next one.
     * @param route Returns the balancer for a packet of a flow; stands in for the platform's routers.
     */
    DemoCaller(boost::asio::io_context& context, std::uint32_t address, const DemoPorts& ports, Endpoint service,
        std::size_t requestsPerFlow, std::function<Endpoint(const FlowTuple&)> route);

    /** Opens the first flow. @return Empty on success, otherwise what the system reports. */
    std::string start();

    /** Sends no further request after the current one. */
    void stop() { m_isStopped = true; }

    /** @return Number of requests. The first one of a flow starts with the opening packet. */
    std::size_t requested() const { return m_requested; }
    std::size_t answered() const { return m_answered; }
    std::size_t late() const { return m_late; } ///< Requests answered after more than 500 ms.
    std::size_t resets() const { return m_resets; } ///< Flows reset.

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
    bool m_isRequestPending {}; ///< A request, or the opening of its flow, is not answered yet.
    bool m_isStopped {};
    std::chrono::steady_clock::time_point m_requestedAt;
    std::size_t m_requested {};
    std::size_t m_answered {};
    std::size_t m_late {};
    std::size_t m_resets {};
};

} // namespace hawthorncroft
