#include "control_base.h"
#include "loop_util.h"

#include <catch2/catch.hpp>

using namespace hawthorncroft;
using namespace std::chrono_literals;

namespace {

Keyring keyringOf(KeyId id, std::uint8_t secret)
{
    Keyring keyring;
    keyring.add(id, MacKey { secret });
    return keyring;
}

}

TEST_CASE("A control server replies to authenticated requests", "[control]")
{
    boost::asio::io_context context;
    Keyring keyring = keyringOf(KeyId(1), 1);
    ControlBounds bounds { .requestsPerSecond = 20 };
    ControlServer server(context, keyring, bounds);
    server.add("/status", [](const ControlRequest& request) {
        auto since = request.query.find("since");
        return ControlReply { 200, "revision " + (since == request.query.end() ? "none" : since->second) };
    });
    server.add("/fails", [](const ControlRequest&) { return ControlReply { 503, "starting" }; });
    std::string error;
    REQUIRE(server.listen(anyLoopback, error));
    const ControlCounters& counters = server.counters();

    std::uint64_t nonce = 100;
    ControlClient client(context, keyring, [&nonce] { return ++nonce; });
    auto get = [&](ControlClient& from, Endpoint endpoint, const std::string& path) {
        std::optional<ControlResult> result;
        from.get(endpoint, path, seconds(2), [&result](ControlResult r) { result = std::move(r); });
        REQUIRE_FALSE(result);
        REQUIRE(runUntil(context, [&] { return result.has_value(); }));
        return *result;
    };

    SECTION("with the body that the handler of the path returns")
    {
        ControlResult result = get(client, server.endpoint(), "/status?since=44&x");
        CHECK(result.error == ControlError::None);
        CHECK(result.body == "revision 44");
        CHECK(get(client, server.endpoint(), "/status").body == "revision none");
        CHECK(counters[ControlCounter::Served] == 2);
    }

    SECTION("and the client reports the kind of each failure")
    {
        CHECK(get(client, server.endpoint(), "/other").error == ControlError::NotFound);
        ControlResult failed = get(client, server.endpoint(), "/fails");
        CHECK(failed.error == ControlError::Failed);
        CHECK(failed.status == 503);
        CHECK(get(client, { 0x7f000001, 1 }, "/status").error == ControlError::Unreachable);
        Keyring none;
        ControlClient keyless(context, none, [] { return 1; });
        CHECK(get(keyless, server.endpoint(), "/status").error == ControlError::NoKey);
    }

    SECTION("but rejects a request signed with another key or key id, which guards against unauthorized clients")
    {
        Keyring otherSecret = keyringOf(KeyId(1), 2);
        ControlClient stranger(context, otherSecret, [] { return 1; });
        CHECK(get(stranger, server.endpoint(), "/status").error == ControlError::Unauthorized);
        Keyring otherId = keyringOf(KeyId(9), 1);
        ControlClient unknown(context, otherId, [] { return 1; });
        CHECK(get(unknown, server.endpoint(), "/status").error == ControlError::Unauthorized);
        CHECK(counters[ControlCounter::Unauthorized] == 2);
    }

    SECTION("and rejects a nonce that was already used, which guards against replayed requests")
    {
        ControlClient repeats(context, keyring, [] { return 7; });
        CHECK(get(repeats, server.endpoint(), "/status").error == ControlError::None);
        CHECK(get(repeats, server.endpoint(), "/status").error == ControlError::Replayed);
        CHECK(counters[ControlCounter::Replayed] == 1);
    }

    SECTION("and rejects requests above the rate limit of a peer, which guards against floods")
    {
        int refused = 0;
        for (int i = 0; i < 30; ++i)
            refused += get(client, server.endpoint(), "/status").error == ControlError::RateLimited;
        CHECK(refused >= 9);
        CHECK(counters[ControlCounter::RateLimited] == static_cast<std::uint64_t>(refused));
        runFor(context, 1100ms);
        CHECK(get(client, server.endpoint(), "/status").error == ControlError::None);
    }

    SECTION("and the client keeps a limited number of connections")
    {
        for (std::uint16_t port = 1; port <= maxControlClients + 5; ++port)
            get(client, { 0x7f000001, port }, "/status");
        CHECK(client.endpointCount() == maxControlClients);
    }
}

TEST_CASE("A control client rejects a reply without a valid MAC", "[control]")
{
    boost::asio::io_context context;
    Keyring keyring = keyringOf(KeyId(1), 1);
    std::string tag;
    Http2Server impostor(context, [&tag](const Http2Request&, const Http2Responder& responder) {
        responder.respond(200, "forged", { { std::string(controlMacHeader), tag } });
    });
    std::string error;
    REQUIRE(impostor.listen(anyLoopback, error));
    std::uint64_t nonce = 5;
    ControlClient client(context, keyring, [&nonce] { return nonce; });
    auto errorOfGet = [&] {
        std::optional<ControlError> result;
        client.get(impostor.endpoint(), "/status", seconds(2), [&result](const ControlResult& r) { result = r.error; });
        REQUIRE(runUntil(context, [&] { return result.has_value(); }));
        return *result;
    };

    const Mac* mac = keyring.find(KeyId(1));
    CHECK(errorOfGet() == ControlError::BadReply);
    tag = toHex(controlRequestMac(*mac, "GET", "/status", nonce));
    CHECK(errorOfGet() == ControlError::BadReply);
    tag = toHex(controlReplyMac(*mac, nonce, 200, "forged"));
    CHECK(errorOfGet() == ControlError::None);

    SECTION("and a reply to an earlier request, which guards against replayed old configuration")
    {
        ++nonce;
        CHECK(errorOfGet() == ControlError::BadReply);
    }
}

TEST_CASE("NonceMemory holds a limited number of nonces and at least the latest half of them", "[control]")
{
    NonceMemory memory(100);
    for (std::uint64_t nonce = 1; nonce <= 1000; ++nonce)
        REQUIRE(memory.add(nonce));
    CHECK(memory.size() <= 100);
    for (std::uint64_t nonce = 951; nonce <= 1000; ++nonce)
        CHECK_FALSE(memory.add(nonce));
    CHECK(fromHex("00000000000000ff") == 255u);
    CHECK_FALSE(fromHex("ff"));
    CHECK_FALSE(fromHex("00000000000000FF"));
}
