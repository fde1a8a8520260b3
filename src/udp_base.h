/**
 * @file udp_base.h
 * Non-blocking UDP socket on an Asio io_context.
 */
#pragma once

#include "core_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace hawthorncroft {

/** Socket that hands each datagram to a function. Used by one thread. */
class UdpSocket {
public:
    /** Called for each datagram with the sender and the bytes, which are valid during the call only. */
    using Handler = std::function<void(Endpoint from, std::span<const std::uint8_t> bytes)>;

    explicit UdpSocket(boost::asio::io_context& context);

    /**
     * Binds the socket.
     * @param local Address and port.
     * @return Empty on success, otherwise what the system reports.
     */
    std::string open(Endpoint local);

    /**
     * Starts to receive.
     * @param handler Called for each datagram.
     */
    void start(Handler handler);

    /**
     * Sends a datagram; drops and counts it when the socket's buffer is full.
     * @param to Receiver.
     * @param bytes The datagram.
     */
    void send(Endpoint to, std::span<const std::uint8_t> bytes);

    /**
     * Reads and forgets all datagrams that wait, such as after a pause of the process.
     * @return Number of datagrams.
     */
    std::size_t discardWaiting();

    /** @return Address and port in use. */
    Endpoint local() const;

    /** @return Datagrams that the socket did not take. */
    std::uint64_t dropped() const { return m_dropped; }

    void close();

private:
    void waitReadable();
    void receiveBatch();

    boost::asio::ip::udp::socket m_socket;
    Handler m_handler;
    std::array<std::uint8_t, 2048>
        m_buffer {}; ///< Longer than any datagram accepted, so that an oversized one is seen.
    std::uint64_t m_dropped {};
};

/** @return The endpoint in the library's form. */
boost::asio::ip::udp::endpoint toUdp(Endpoint endpoint);

/** @return The library's endpoint as ours; no endpoint for IPv6. */
Endpoint fromUdp(const boost::asio::ip::udp::endpoint& endpoint);

} // namespace hawthorncroft
