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

/** UDP socket that passes each datagram to a handler. Not thread-safe. */
class UdpSocket {
public:
    /** Called with the sender and the bytes of a datagram; the bytes are valid only during the call. */
    using Handler = std::function<void(Endpoint from, std::span<const std::uint8_t> bytes)>;

    explicit UdpSocket(boost::asio::io_context& context);

    /**
     * Opens and binds the socket.
     * @param local Local address and port; port 0 lets the system choose one.
     * @return Empty on success, otherwise the system's error message.
     */
    std::string open(Endpoint local);

    /**
     * Starts receiving.
     * @param handler Called for each datagram.
     */
    void start(Handler handler);

    /**
     * Sends a datagram. When the system does not accept it, such as with a full send buffer, it is dropped and counted.
     * @param to Receiver.
     * @param bytes The datagram.
     */
    void send(Endpoint to, std::span<const std::uint8_t> bytes);

    /**
     * Discards the datagrams in the receive buffer, such as after the process was paused.
     * @return Number of discarded datagrams.
     */
    std::size_t discardWaiting();

    /** @return Address and port that the socket is bound to. */
    Endpoint local() const;

    /** @return Number of datagrams that could not be sent. */
    std::uint64_t dropped() const { return m_dropped; }

    void close();

private:
    void waitReadable();
    void receiveBatch();

    boost::asio::ip::udp::socket m_socket;
    Handler m_handler;
    std::array<std::uint8_t, 2048>
        m_buffer {}; ///< Larger than maxDatagramBytes, so that an oversized datagram is detected.
    std::uint64_t m_dropped {};
};

/** Converts an endpoint to Asio's type. */
boost::asio::ip::udp::endpoint toUdp(Endpoint endpoint);

/** Converts an endpoint from Asio's type. An IPv6 endpoint gives an empty endpoint (port 0). */
Endpoint fromUdp(const boost::asio::ip::udp::endpoint& endpoint);

} // namespace hawthorncroft
