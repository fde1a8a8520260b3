#include "udp_base.h"

#include <catch2/catch.hpp>

#include <array>

using namespace hawthorncroft;

TEST_CASE("Datagrams received during a pause of the process can be discarded", "[udp]")
{
    boost::asio::io_context context;
    UdpSocket receiver(context);
    UdpSocket sender(context);
    REQUIRE(receiver.open({ 0x7f000001, 0 }).empty());
    REQUIRE(sender.open({ 0x7f000001, 0 }).empty());
    std::size_t received = 0;
    receiver.start([&](Endpoint, std::span<const std::uint8_t>) { ++received; });
    std::array<std::uint8_t, 4> bytes {};
    for (int i = 0; i < 100; ++i)
        sender.send(receiver.local(), bytes);

    // Guards against a process that forwards, after a pause, requests whose callers have already given up.
    CHECK(receiver.discardWaiting() == 100);
    sender.send(receiver.local(), bytes);
    while (!received)
        context.run_one();
    CHECK(received == 1);
}
