/**
 * @file loop_util.h
 * Functions that run an io_context for a bounded time, and raw TCP peers that send malformed or incomplete data.
 */
#pragma once

#include "core_type.h"

#include <boost/asio.hpp>
#include <chrono>
#include <string>

namespace hawthorncroft {

inline constexpr Endpoint anyLoopback { 0x7f000001, 0 }; ///< 127.0.0.1 with a port assigned by the kernel.

/**
 * Runs handlers until a condition holds.
 * @return Whether the condition held before the time limit.
 */
template <typename Condition>
bool runUntil(boost::asio::io_context& context, Condition condition,
    std::chrono::milliseconds limit = std::chrono::milliseconds(5000))
{
    auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        context.restart();
        context.run_one_for(std::chrono::milliseconds(5));
    }
    return true;
}

inline void runFor(boost::asio::io_context& context, std::chrono::milliseconds time)
{
    runUntil(
        context, [] { return false; }, time);
}

/** A TCP client that sends arbitrary bytes and reads only on request. */
class RawPeer {
public:
    RawPeer(boost::asio::io_context& context, Endpoint endpoint)
        : m_socket(context)
    {
        m_socket.connect({ boost::asio::ip::address_v4(endpoint.address), endpoint.port });
        m_socket.non_blocking(true);
    }

    static std::string preface()
    {
        using namespace std::string_literals;
        return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"s + frame(4, 0, 0, "");
    }

    static std::string number(std::uint32_t value)
    {
        std::string bytes;
        for (int shift = 24; shift >= 0; shift -= 8)
            bytes += static_cast<char>(value >> shift);
        return bytes;
    }

    static std::string frame(int type, int flags, std::uint32_t stream, const std::string& payload)
    {
        std::string bytes = number(static_cast<std::uint32_t>(payload.size())).substr(1);
        bytes += static_cast<char>(type);
        bytes += static_cast<char>(flags);
        return bytes + number(stream) + payload;
    }

    /** HPACK header block of a request: method as an index into the static table, scheme, authority and path. */
    static std::string headers(char method, const std::string& path)
    {
        return method + std::string("\x86\x01\x01h\x04") + static_cast<char>(path.size()) + path;
    }

    /** A HEADERS frame with a GET request and the flags END_STREAM and END_HEADERS. */
    static std::string get(std::uint32_t stream, const std::string& path = "/")
    {
        return frame(1, 5, stream, headers('\x82', path));
    }

    static std::string ping() { return frame(6, 0, 0, "12345678"); }
    static std::string reset(std::uint32_t stream) { return frame(3, 0, stream, number(8)); }

    /** Sends until the socket buffer is full. @return Whether the connection is still usable. */
    bool send(const std::string& bytes)
    {
        boost::system::error_code error;
        std::size_t sent = 0;
        while (sent < bytes.size() && !error)
            sent += m_socket.write_some(boost::asio::buffer(bytes.data() + sent, bytes.size() - sent), error);
        return !error || error == boost::asio::error::would_block;
    }

    /** Reads all available bytes. @return Whether the server closed the connection. */
    bool isClosed()
    {
        std::array<char, 65536> buffer;
        boost::system::error_code error;
        while (!error)
            received += m_socket.read_some(boost::asio::buffer(buffer), error);
        return error != boost::asio::error::would_block;
    }

    std::size_t received {};

private:
    boost::asio::ip::tcp::socket m_socket;
};

/** A TCP server for one connection that sends arbitrary bytes. */
class RawServer {
public:
    explicit RawServer(boost::asio::io_context& context)
        : m_acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 })
        , m_socket(context)
    {
    }

    Endpoint endpoint() const { return { anyLoopback.address, m_acceptor.local_endpoint().port() }; }

    /** Starts to accept a connection and calls a wait function. @return Whether the wait succeeded. */
    template <typename Wait> bool accept(Wait wait)
    {
        m_acceptor.async_accept(m_socket, [](boost::system::error_code) {});
        return wait();
    }

    /** @return Whether unread bytes from the client are available. */
    bool hasInput() { return m_socket.is_open() && m_socket.available() > 0; }

    void send(const std::string& bytes) { boost::asio::write(m_socket, boost::asio::buffer(bytes)); }
    void close() { m_socket.close(); }

private:
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::socket m_socket;
};

} // namespace hawthorncroft
