#include "udp_base.h"

#include <boost/asio/buffer.hpp>

namespace hawthorncroft {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

    constexpr int batchSize = 64; ///< Datagrams read before other handlers of the thread can run.
    constexpr std::size_t maxDiscarded = 1 << 20; ///< Bounds the loop; exceeds what a socket buffer holds.
    constexpr int socketBufferBytes = 4 << 20; ///< Buffers several thousand datagrams while the thread is busy.

}

udp::endpoint toUdp(Endpoint endpoint) { return { asio::ip::address_v4(endpoint.address), endpoint.port }; }

Endpoint fromUdp(const udp::endpoint& endpoint)
{
    if (!endpoint.address().is_v4())
        return {};
    return { endpoint.address().to_v4().to_uint(), endpoint.port() };
}

UdpSocket::UdpSocket(asio::io_context& context)
    : m_socket(context)
{
}

std::string UdpSocket::open(Endpoint local)
{
    boost::system::error_code error;
    m_socket.open(udp::v4(), error);
    if (!error)
        m_socket.bind(toUdp(local), error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error)
        return error.message();
    m_socket.set_option(asio::socket_base::receive_buffer_size(socketBufferBytes), error);
    m_socket.set_option(asio::socket_base::send_buffer_size(socketBufferBytes), error);
    return {};
}

void UdpSocket::start(Handler handler)
{
    m_handler = std::move(handler);
    waitReadable();
}

void UdpSocket::waitReadable()
{
    m_socket.async_wait(udp::socket::wait_read, [this](boost::system::error_code error) {
        if (error)
            return;
        receiveBatch();
        waitReadable();
    });
}

void UdpSocket::receiveBatch()
{
    for (int i = 0; i < batchSize; ++i) {
        udp::endpoint from;
        boost::system::error_code error;
        std::size_t size = m_socket.receive_from(asio::buffer(m_buffer), from, 0, error);
        if (error == asio::error::would_block)
            return;
        // A "connection refused" error belongs to an earlier send; the next read may still return data.
        if (!error)
            m_handler(fromUdp(from), std::span<const std::uint8_t>(m_buffer.data(), size));
    }
}

void UdpSocket::send(Endpoint to, std::span<const std::uint8_t> bytes)
{
    boost::system::error_code error;
    m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), toUdp(to), 0, error);
    if (error)
        ++m_dropped;
}

std::size_t UdpSocket::discardWaiting()
{
    std::size_t count = 0;
    boost::system::error_code error;
    udp::endpoint from;
    while (error != asio::error::would_block && count < maxDiscarded) {
        m_socket.receive_from(asio::buffer(m_buffer), from, 0, error);
        if (!error)
            ++count;
    }
    return count;
}

Endpoint UdpSocket::local() const
{
    boost::system::error_code error;
    return fromUdp(m_socket.local_endpoint(error));
}

void UdpSocket::close()
{
    boost::system::error_code error;
    m_socket.close(error);
}

} // namespace hawthorncroft
