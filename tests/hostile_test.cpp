/**
 * @file hostile_test.cpp
 * Feeds a bounded amount of random and mutated input, with fixed seeds, to every decoder: datagrams, configuration
 * documents, settings and control streams. Guards against crashes and against modified datagrams that are accepted.
 */
#include "binding_func.h"
#include "codec_func.h"
#include "config_func.h"
#include "control_base.h"
#include "loop_util.h"
#include "settings_func.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck.h>

using namespace hawthorncroft;
using namespace std::chrono_literals;
namespace leaf = boost::leaf;

namespace {

constexpr int mutationRuns = 20000;
constexpr int documentRuns = 5000;
constexpr int streamRuns = 60;

Keyring keyringWithTwoKeys()
{
    Keyring keyring;
    keyring.add(KeyId(1), MacKey { 1, 2, 3 });
    keyring.add(KeyId(2), MacKey { 4, 5, 6 });
    return keyring;
}

/** Returns a valid packet of a random kind. */
Packet randomPacket(std::mt19937_64& random)
{
    Packet packet;
    packet.kind = static_cast<PacketKind>(1 + random() % (static_cast<unsigned>(PacketKind::End) - 1));
    packet.flowKind = static_cast<FlowKind>(random() % static_cast<unsigned>(FlowKind::End));
    packet.key = { CallerId(random()), FlowId(random()) };
    packet.revision = Revision(random());
    packet.callerEndpoint = { static_cast<std::uint32_t>(random()), static_cast<std::uint16_t>(random() | 1) };
    packet.nonce = random();
    packet.binding.reservation = ReservationId(random());
    packet.binding.key = KeyId(1);
    packet.binding.mac = random();
    packet.name = std::string(random() % 40, 'n');
    packet.payload.assign(random() % 300, 7);
    return packet;
}

/** Changes a few random bytes and sometimes the length. */
void mutate(std::mt19937_64& random, auto& bytes)
{
    if (random() % 4 == 0)
        bytes.resize(random() % (bytes.size() + 16));
    for (std::size_t i = 0; i < 1 + random() % 4 && !bytes.empty(); ++i)
        bytes[random() % bytes.size()] ^= static_cast<char>(1 + random() % 255);
}

}

TEST_CASE("A mutated datagram", "[hostile][codec]")
{
    std::mt19937_64 random(20);
    Keyring keyring = keyringWithTwoKeys();

    SECTION("is never accepted when it was sealed, which guards against forged packets between processes")
    {
        int accepted = 0;
        for (int run = 0; run < mutationRuns; ++run) {
            Bytes sealed;
            encode(randomPacket(random), sealed);
            seal(keyring, sealed);
            Bytes changed = sealed;
            mutate(random, changed);
            std::span<const std::uint8_t> view(changed);
            accepted += changed != sealed && unseal(keyring, view) == DecodeError::None;
        }
        CHECK(accepted == 0);
    }
    SECTION("from a caller is decoded without a crash, and the result survives encoding and decoding")
    {
        int decoded = 0;
        for (int run = 0; run < mutationRuns; ++run) {
            Bytes bytes;
            encode(randomPacket(random), bytes);
            mutate(random, bytes);
            Packet read;
            if (decode(bytes, read) != DecodeError::None)
                continue;
            ++decoded;
            // A binding without a reservation counts as absent, so its other fields are not encoded.
            if (!read.hasBinding())
                read.binding = {};
            Bytes again;
            encode(read, again);
            Packet readAgain;
            REQUIRE(decode(again, readAgain) == DecodeError::None);
            REQUIRE(readAgain == read);
        }
        CHECK(decoded > 0);
    }
    SECTION("of random bytes is rejected")
    {
        CHECK(rc::check("random bytes", [&keyring](const Bytes& bytes) {
            Packet packet;
            decode(bytes, packet);
            std::span<const std::uint8_t> view(bytes);
            RC_ASSERT(unseal(keyring, view) != DecodeError::None);
        }));
    }
}

TEST_CASE("A mutated text", "[hostile]")
{
    std::mt19937_64 random(21);

    SECTION("of a configuration document is accepted or rejected as a whole, without a crash")
    {
        const std::vector<std::pair<std::string, std::string>> documents {
            { "operations", R"({"presets":{"ordinary":{}},"inForce":"ordinary","domainsOut":["d1"]})" },
            { "services/a", R"({"services":[{"id":1,"name":"courier","spellings":["kourier"]}]})" },
            { "targets/a", R"({"targets":[{"id":1,"service":1,"vm":"v","failureDomain":"d","agent":"127.0.0.1:1"}]})" },
            { "members/a", R"({"members":[{"vm":"v","leaving":true}]})" },
            { "keys", R"({"signing":1,"accepted":[1,2]})" },
        };
        for (int run = 0; run < documentRuns; ++run) {
            auto [key, text] = documents[static_cast<std::size_t>(run) % documents.size()];
            mutate(random, text);
            CheckedDocument checked = parseDocument(key, text);
            REQUIRE(checked.isAccepted() == checked.faults.empty());
        }
    }
    SECTION("of a settings file is accepted or rejected without a crash")
    {
        const std::string valid = R"({"vm":"entry-1","failureDomain":"sofia-a","front":"127.0.0.1:7000",
            "data":"127.0.0.1:7001","control":"127.0.0.1:7002","platform":"127.0.0.1:6000",
            "peers":["127.0.0.1:7101"],"keys":[{"id":1,"secret":"000102030405060708090a0b0c0d0e0f"}]})";
        for (int run = 0; run < documentRuns; ++run) {
            std::string text = valid;
            mutate(random, text);
            auto program = static_cast<Program>(run % 2);
            leaf::try_handle_all(
                [&]() -> leaf::result<void> {
                    BOOST_LEAF_CHECK(parseSettings(program, "entry.json", text));
                    return {};
                },
                [](const SettingsError& error) { REQUIRE_FALSE(error.faults.empty()); },
                [] { FAIL("settings were rejected without a SettingsError"); });
        }
    }
}

TEST_CASE(
    "A control server survives random bytes on its connections and still serves valid requests", "[hostile][control]")
{
    boost::asio::io_context context;
    Keyring keyring = keyringWithTwoKeys();
    ControlServer server(context, keyring, {});
    int served = 0;
    server.add("/status", [&served](const ControlRequest&) {
        ++served;
        return ControlReply { 200, "ok" };
    });
    std::string error;
    REQUIRE(server.listen(anyLoopback, error));
    boost::asio::ip::tcp::endpoint address(
        boost::asio::ip::address_v4(server.endpoint().address), server.endpoint().port);

    std::mt19937_64 random(22);
    for (int run = 0; run < streamRuns; ++run) {
        boost::asio::ip::tcp::socket socket(context);
        socket.connect(address);
        std::string bytes = run % 4 == 0 ? "" : RawPeer::preface();
        for (std::size_t i = 0; i < random() % 400; ++i)
            bytes.push_back(static_cast<char>(random()));
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
        context.run_for(2ms);
    }
    CHECK(served == 0);

    ControlClient client(context, keyring, [] { return 7; });
    std::optional<ControlResult> result;
    client.get(server.endpoint(), "/status", seconds(2), [&result](ControlResult r) { result = std::move(r); });
    REQUIRE(runUntil(context, [&] { return result.has_value(); }));
    CHECK(result->error == ControlError::None);
    CHECK(served == 1);
}
