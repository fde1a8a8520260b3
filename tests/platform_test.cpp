#include "packet_util.h"
#include "store_client.h"
#include "store_decoder.h"
#include "transit_sim.h"

#include "table/transit_limits.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <chrono>
#include <map>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

std::string base64(const std::string& text)
{
    std::string encoded(boost::beast::detail::base64::encoded_size(text.size()), '\0');
    encoded.resize(boost::beast::detail::base64::encode(encoded.data(), text.data(), text.size()));
    return encoded;
}

std::string item(const std::string& key, int revision, const std::string& value)
{
    return R"({"Key":")" + key + R"(","Value":")" + base64(value) + R"(","Revision":)" + std::to_string(revision)
        + R"(,"Created":1,"Lease":0})";
}

std::string range(const std::string& items) { return R"({"items":[)" + items + R"(],"Truncated":false,"AsOf":40})"; }

const std::string goodTarget
    = R"({"Service":"web","Addr":"10.0.0.9:8080","Zone":"a","Version":"v1","MaxConcurrency":4,"State":"ready","WarmupLeftMs":0,"Seq":4,"born":1790449014666})";

/** The fields of a target's registration, each as JSON. */
const std::map<std::string, std::string> registrationFields { { "Service", R"("web")" },
    { "Addr", R"("10.0.0.9:8080")" }, { "Zone", R"("a")" }, { "Version", R"("v1")" }, { "MaxConcurrency", "4" },
    { "State", R"("ready")" }, { "WarmupLeftMs", "0" }, { "Seq", "4" }, { "born", "7" } };

std::string jsonOf(const std::map<std::string, std::string>& fields)
{
    std::string text;
    for (const auto& [name, value] : fields)
        text += (text.empty() ? "{\"" : ",\"") + name + "\":" + value;
    return text + "}";
}

struct Faults {
    std::vector<std::string> lines;
    StoreFaultHandler handler()
    {
        return [this](const std::string& key, const std::string& fault) { lines.push_back(key + ": " + fault); };
    }
};

}

TEST_CASE("Packets of the platform are decoded and encoded", "[platform]")
{
    auto packet = format.decode(openingPacket(), false);
    REQUIRE(packet);
    CHECK(toString(packet->flow.caller) == "100.64.0.7:40001");
    CHECK(toString(packet->flow.service) == "198.18.0.1:443");
    CHECK(packet->flags.isOpening);
    CHECK(packet->sequence == 0x11223344);

    SECTION("a target's packet, with source and destination exchanged, belongs to the same flow")
    {
        auto bytes = openingPacket();
        std::swap_ranges(bytes.begin() + 20, bytes.begin() + 24, bytes.begin() + 24);
        std::swap_ranges(bytes.begin() + 28, bytes.begin() + 30, bytes.begin() + 30);
        CHECK(format.decode(bytes, true)->flow == packet->flow);
    }
    SECTION("a returned packet keeps the caller's direction, and only its tag and its returned flag differ")
    {
        auto bytes = openingPacket();
        bytes[14] |= 128;
        auto returned = format.decode(bytes, true);
        REQUIRE(returned);
        CHECK(returned->flow == packet->flow);
        CHECK(returned->flags.isReturned);
        format.setTag(*returned, 0);
        CHECK(returned->bytes == openingPacket());
    }
    SECTION("a reset has the layout that callers accept")
    {
        CHECK(format.makeReset(packet->flow, 0)
            == bytesOf({ 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0, 0, 0, 1, 0, 0x12, 0xc6, 7, 0, 0x40, 0x64,
                0xbb, 1, 0x41, 0x9c }));
    }
    SECTION("packets of a wrong length are rejected")
    {
        auto bytes = openingPacket();
        for (std::size_t size = 0; size < 32; ++size)
            CHECK_FALSE(format.decode(std::span(bytes).first(size), false));
        bytes[4] = 1;
        CHECK_FALSE(format.decode(bytes, false));
        bytes.push_back(0);
        CHECK(format.decode(bytes, false));
        bytes[4] = 0xb1; // 1201 bytes of data.
        bytes[5] = 4;
        bytes.resize(32 + 1201);
        CHECK_FALSE(format.decode(bytes, false));
    }
    SECTION("the id of a request is read only from a packet that starts with a request line")
    {
        std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: ab12\r\n\r\n";
        auto bytes = openingPacket();
        bytes[14] = 32;
        bytes[4] = static_cast<std::uint8_t>(head.size());
        bytes.insert(bytes.end(), head.begin(), head.end());
        CHECK(format.decode(bytes, false)->requestId == "ab12");
        bytes[32] = 'X';
        CHECK(format.decode(bytes, false)->requestId.empty());
    }
}

TEST_CASE("The size of a request is read from its head", "[platform][transfer]")
{
    const std::string line = "POST /x HTTP/1.1\r\n";
    auto packetWith = [](const std::string& data, bool isFromTarget = false) {
        PacketHeader header { .flags = { .hasAcknowledgement = true } };
        return format.decode(encodePacket(header, data), isFromTarget);
    };
    auto sizeWith = [&](const std::string& headers, const std::string& body = "") {
        return packetWith(line + headers + "\r\n" + body)->requestSize;
    };
    auto headBytes = [&](const std::string& headers) { return line.size() + headers.size() + 2; };

    SECTION(
        "head and content length, in any case and with blanks, which guards against uploads that are not recognised")
    {
        for (const std::string& header : { std::string("Content-Length: 80000\r\n"),
                 std::string("CONTENT-LENGTH:80000\r\n"), std::string("content-length: \t 80000 \r\n"),
                 std::string("Host: h\r\ncOnTeNt-LeNgTh: 80000\r\nA: b\r\n"),
                 std::string("Content-Length: 80000\r\nContent-Length: 80000\r\n"),
                 std::string("X-Content-Length: 7\r\nContent-Length: 80000\r\n") }) {
            INFO(header);
            CHECK(sizeWith(header, "body") == headBytes(header) + 80000);
        }
    }
    SECTION("a request without a body ends with its head")
    {
        CHECK(sizeWith("Host: h\r\n") == headBytes("Host: h\r\n"));
        CHECK(sizeWith("") == headBytes(""));
        CHECK(packetWith("GET / HTTP/1.1\r\n\r\n")->requestSize == 18);
        CHECK(sizeWith("Content-Length: 0\r\n") == headBytes("Content-Length: 0\r\n"));
    }
    SECTION("an odd length gives none, which guards against a wrong end of the request")
    {
        for (const char* header :
            { "Content-Length: abc\r\n", "Content-Length: 12x\r\n", "Content-Length:\r\n", "Content-Length: -5\r\n",
                "Content-Length: +5\r\n", "Content-Length: 5, 5\r\n", "Content-Length: 0x10\r\n",
                "Content-Length: 9223372036854775809\r\n", "Content-Length: 18446744073709551616\r\n",
                "Content-Length: 99999999999999999999999999\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n",
                "Content-Length : 5\r\n", "Content-Length: 5\r\n 7\r\n", "Content-Length\r\n",
                "Transfer-Encoding: chunked\r\n", "TRANSFER-ENCODING: chunked\r\nContent-Length: 5\r\n" }) {
            INFO(header);
            CHECK_FALSE(sizeWith(header));
        }
        std::string largest = "Content-Length: 9223372036854775808\r\n";
        CHECK(sizeWith(largest) == headBytes(largest) + (std::uint64_t { 1 } << 63));
    }
    SECTION("a packet that starts no request, or not the whole head, gives none")
    {
        CHECK_FALSE(packetWith("")->requestSize);
        CHECK_FALSE(packetWith(line + "Content-Length: 5\r\n")->requestSize);
        CHECK_FALSE(packetWith("x" + line + "\r\n")->requestSize);
        CHECK_FALSE(packetWith("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true)->requestSize);
        CHECK_FALSE(packetWith(line + "\r\n", true)->requestSize);
        CHECK_FALSE(format.decode(openingPacket(), false)->requestSize);
    }
    SECTION("a packet is full with 1,200 bytes of data")
    {
        CHECK(packetWith(std::string(1200, 'x'))->isFull);
        CHECK_FALSE(packetWith(std::string(1199, 'x'))->isFull);
        CHECK_FALSE(packetWith("")->isFull);
    }
    SECTION("bytes of any kind after a request line are read within the packet")
    {
        REQUIRE(rc::check("no size is below the head", [&](const std::vector<std::uint8_t>& noise) {
            std::string data = line + std::string(noise.begin(), noise.end()) + "\r\n\r\n";
            data.resize(std::min<std::size_t>(data.size(), 1200));
            auto size = packetWith(data)->requestSize;
            RC_ASSERT(!size || *size > line.size());
        }));
    }
}

TEST_CASE("Items of the store are decoded into typed changes", "[platform]")
{
    Faults faults;
    auto page
        = [&](const std::string& items) { return std::get<StorePage>(decodeRange(range(items), faults.handler())); };

    SECTION("a target")
    {
        auto changes = page(item("servers/i-1", 12, goodTarget)).changes;
        REQUIRE(changes.size() == 1);
        const auto& change = std::get<TargetChange>(changes.front());
        CHECK(change.revision == Revision(12));
        CHECK(change.target.id == "i-1");
        CHECK(change.target.slots == 4);
        CHECK(change.target.startedAt == 1790449014666);
    }
    SECTION("a malformed target is removed and reported with key and field, and the other items are decoded")
    {
        std::string noService
            = R"({"Addr":"10.0.0.9:8080","Zone":"a","MaxConcurrency":4,"State":"ready","WarmupLeftMs":0})";
        std::string badState
            = R"({"Service":"web","Addr":"10.0.0.9:8080","Zone":"a","MaxConcurrency":4,"State":"odd","WarmupLeftMs":0})";
        std::string badType
            = R"({"Service":"web","Addr":17,"Zone":"a","MaxConcurrency":"4","State":"ready","WarmupLeftMs":0})";
        auto changes = page(item("servers/a", 1, noService) + "," + item("servers/b", 2, badState) + ","
            + item("servers/c", 3, badType) + "," + item("servers/d", 4, "\x01\x02") + ","
            + item("servers/e", 5, goodTarget))
                           .changes;
        REQUIRE(changes.size() == 5);
        for (std::size_t i = 0; i < 4; ++i)
            CHECK(std::holds_alternative<TargetRemoval>(changes[i]));
        CHECK(std::holds_alternative<TargetChange>(changes[4]));
        REQUIRE(faults.lines.size() == 4);
        CHECK(faults.lines[0] == "servers/a: Service: missing");
        CHECK_THAT(faults.lines[1], Catch::Matchers::Contains("State"));
        CHECK_THAT(faults.lines[2], Catch::Matchers::Contains("Addr"));
    }
    SECTION("a configuration with routes, shares and services")
    {
        std::string text
            = R"({"Version":7,"Routes":[{"Name":"r","Host":"198.18.0.1","Prefix":"/8443/","Kind":"safe","TimeoutMs":2000,
            "TargetLatencyMs":120,"Priority":2,"Backends":[{"Service":"web","Weight":90},{"Service":"mail","Weight":10}]},
            {"Name":"s","Host":"198.18.0.2","Prefix":"/80/","Kind":"unsafe","TimeoutMs":2000,"TargetLatencyMs":120,"Priority":1,"Service":"web"}],
            "Services":[{"Name":"web","HealthPath":"/h","MaxConns":2000,"WarmupS":2.5,"WarmupPerS":4.0}],"Limits":{}})";
        auto changes = page(item("op/config", 9, text)).changes;
        REQUIRE(changes.size() == 1);
        const auto& change = std::get<ConfigurationChange>(changes.front());
        REQUIRE(change.routes.size() == 2);
        CHECK(change.version == 7);
        CHECK(toString(change.routes[0].address) == "198.18.0.1:8443");
        CHECK(change.routes[0].shares.size() == 2);
        CHECK(change.routes[0].isIdempotent);
        CHECK_FALSE(change.routes[1].isIdempotent);
        CHECK(change.services.front().warmup == milliseconds(2500));
    }
    SECTION("a configuration with an unreadable version is reported, and comes into force")
    {
        for (const char* version : { "\"7\"", "-7", "7.5", "null" }) {
            faults.lines.clear();
            std::string text = std::string(R"({"Version":)") + version + R"(,"Routes":[],"Services":[]})";
            auto changes = page(item("op/config", 9, text)).changes;
            REQUIRE(changes.size() == 1);
            CHECK(std::get<ConfigurationChange>(changes.front()).version == 0);
            REQUIRE(faults.lines.size() == 1);
            CHECK_THAT(faults.lines.front(), Catch::Matchers::StartsWith("op/config: Version"));
        }
    }
    SECTION("numbers of a configuration that are too large are capped, so that it comes into force")
    {
        std::string text
            = R"({"Routes":[{"Name":"r","Host":"198.18.0.1","Prefix":"/8443/","Kind":"safe","TimeoutMs":9223372036854775807,
            "TargetLatencyMs":9223372036854775807,"Priority":9223372036854775807,
            "Backends":[{"Service":"web","Weight":4294967296}]}],
            "Services":[{"Name":"web","MaxConns":9007199254740991,"WarmupS":1e300,"WarmupPerS":1e300}]})";
        auto changes = page(item("op/config", 9, text)).changes;
        REQUIRE(changes.size() == 1);
        const auto& change = std::get<ConfigurationChange>(changes.front());
        CHECK(change.routes.front().timeout > seconds(3600));
        CHECK(change.routes.front().latencyObjective > seconds(3600));
        CHECK(change.routes.front().shares.front().weight == 4294967295);
        CHECK(change.services.front().flowLimit == 4294967295);
        CHECK(change.services.front().warmup > seconds(3600));
        CHECK(change.services.front().warmupPerSecond > 1e6);
        CHECK(faults.lines.empty());
    }
    SECTION("a malformed configuration is reported and ignored, so that the previous one stays in force")
    {
        CHECK(page(item("op/config", 9, R"({"Routes":7})")).changes.empty());
        CHECK(faults.lines.size() == 1);
    }
    SECTION("an evacuation and its end are decoded, and unrelated keys are ignored")
    {
        auto outcome = decodeWatch(R"({"events":[)" + item("op/evacuate/a", 3, "{}")
                + R"(,{"Key":"op/evacuate/a","Revision":4,"Deleted":true},)" + item("else/x", 5, "1")
                + R"(,{"Key":"servers/i","Revision":6,"Deleted":true}],"AsOf":6})",
            faults.handler());
        const auto& changes = std::get<StoreChanges>(outcome).changes;
        REQUIRE(changes.size() == 3);
        CHECK(std::get<EvacuationChange>(changes[0]).failureDomain == "a");
        CHECK(std::get<EvacuationEnd>(changes[1]).revision == Revision(4));
        CHECK(std::get<TargetRemoval>(changes[2]).id == "i");
    }
    SECTION("a truncated page has the key after which the next page starts")
    {
        auto outcome
            = decodeRange(R"({"items":[)" + item("servers/i-1", 12, goodTarget) + R"(],"Truncated":true,"AsOf":40})",
                faults.handler());
        CHECK(std::get<StorePage>(outcome).nextAfter == "servers/i-1");
    }
    SECTION("the entry that the odd ones below are made from is a registration")
    {
        auto changes = page(item("servers/i-1", 12, jsonOf(registrationFields))).changes;
        REQUIRE(changes.size() == 1);
        CHECK(std::get<TargetChange>(changes.front()).target.startedAt == 7);
        auto unversioned = registrationFields;
        unversioned["Version"] = R"("")"; // Any text, as nothing depends on it.
        CHECK(std::holds_alternative<TargetChange>(page(item("servers/i-1", 12, jsonOf(unversioned))).changes.front()));
        CHECK(faults.lines.empty());
    }
    // Guards against processes that end or stop following the store because of one odd entry, and against entries of
    // another writer that pass for registrations (incident review-8).
    SECTION("an odd entry of another writer is reported, and the entries around it are decoded")
    {
        std::string deep = std::string(200000, '[') + std::string(200000, ']');
        std::string deepField = R"({"Service":)" + deep + "}";
        auto with = [](const std::string& name, const std::string& value) {
            auto fields = registrationFields;
            fields[name] = value;
            return jsonOf(fields);
        };
        auto without = [](const std::string& name) {
            auto fields = registrationFields;
            fields.erase(name);
            return jsonOf(fields);
        };
        std::string longName = '"' + std::string(1000000, 'x') + '"';
        std::vector<std::string> odd { deep, deepField, "", "{", "\xff\xfe", std::string(10, '\0'), "17", "null",
            R"("text")", "[1e999]", with("Addr", R"("10.0.0.9:65536")"), with("Addr", R"("10.0.0.9:0")"),
            with("Addr", R"("10.0.0.9:99999999999999999999")"), with("Addr", R"("10.0.0.9:-1")"),
            with("Addr", R"("10.0.0.9")"), with("Addr", R"("10.0.0.256:80")"), with("Addr", deep),
            with("MaxConcurrency", "1e400"), with("MaxConcurrency", "4294967296"), with("MaxConcurrency", "-1"),
            with("MaxConcurrency", "1.5"), with("MaxConcurrency", "9223372036854775808"),
            with("WarmupLeftMs", "9223372036854775807"), with("WarmupLeftMs", "1e18"),
            with("WarmupLeftMs", std::string(5000, '9')), with("born", "1e300"), with("born", "\"7\""),
            with("Service", longName), with("Zone", longName), with("State", "true"), with("Service", "{}"),
            with("State", R"("leaving")"), with("Version", "1"), with("Version", "null"), with("Seq", "\"1\""),
            with("Seq", "-1"), with("Seq", "1.5"), with("born", "-1"), with("born", "null"), with("Zone", "7"),
            with("MaxConcurrency", "\"4\""), with("WarmupLeftMs", "false") };
        for (const auto& [name, value] : registrationFields)
            odd.push_back(without(name));
        for (const std::string& text : odd) {
            faults.lines.clear();
            auto changes = page(item("servers/a", 1, goodTarget) + "," + item("servers/odd", 2, text) + ","
                + item("servers/z", 3, goodTarget))
                               .changes;
            REQUIRE(changes.size() == 3);
            CHECK(std::holds_alternative<TargetChange>(changes[0]));
            CHECK(std::holds_alternative<TargetRemoval>(changes[1]));
            CHECK(std::holds_alternative<TargetChange>(changes[2]));
            CHECK(faults.lines.size() == 1);

            auto outcome
                = decodeWatch(R"({"events":[)" + item("servers/odd", 4, text) + R"(],"AsOf":4})", faults.handler());
            CHECK(std::holds_alternative<TargetRemoval>(std::get<StoreChanges>(outcome).changes.front()));
        }
    }
    SECTION("an item without a readable key or revision is skipped by a full read, and makes a watch invalid")
    {
        for (const std::string& text : { std::string("7"), std::string(R"({"Revision":4,"Value":"e30="})"),
                 std::string(R"({"Key":"servers/x","Revision":99999999999999999999,"Value":"e30="})") }) {
            CHECK(page(text + "," + item("servers/z", 3, goodTarget)).changes.size() == 1);
            auto outcome = decodeWatch(R"({"events":[)" + text + R"(],"AsOf":4})", faults.handler());
            CHECK(std::get<StoreFailure>(outcome) == StoreFailure::Invalid);
        }
    }
    SECTION("a malformed response counts as a failed call")
    {
        for (const char* body :
            { "", "[]", "{}", R"({"items":7,"AsOf":1,"Truncated":false})", R"({"items":[],"Truncated":false})" })
            CHECK(std::get<StoreFailure>(decodeRange(body, faults.handler())) == StoreFailure::Invalid);
        CHECK(faults.lines.size() == 5);
    }
}

namespace {

rc::Gen<std::string> oddValue()
{
    return rc::gen::oneOf(rc::gen::element<std::string>("0", "-1", "1.5", "1e300", "1e999", "9223372036854775807",
                              "9223372036854775808", "18446744073709551616", "4294967296", "null", "true", "[]", "{}",
                              "\"\"", "\"ready\"", "\"10.0.0.1:65536\"", "\"255.255.255.255:65535\"", "\"0.0.0.0:1\""),
        rc::gen::map(rc::gen::arbitrary<std::int64_t>(), [](std::int64_t n) { return std::to_string(n); }),
        rc::gen::map(rc::gen::inRange(1, 5000),
            [](int depth) {
                auto size = static_cast<std::size_t>(depth);
                return std::string(size, '[') + std::string(size, ']');
            }),
        rc::gen::map(rc::gen::inRange(1, 2000),
            [](int size) { return '"' + std::string(static_cast<std::size_t>(size), 'x') + '"'; }));
}

/** An entry of a target in which some fields have another value or are missing, or which is cut off. */
rc::Gen<std::string> oddEntry()
{
    return rc::gen::exec([] {
        std::string text = "{";
        for (const auto& [name, value] : registrationFields) {
            int change = *rc::gen::inRange(0, 6);
            if (!change)
                continue;
            text += (text.size() > 1 ? ",\"" : "\"") + name + "\":" + (change == 1 ? *oddValue() : value);
        }
        text += "}";
        if (!*rc::gen::inRange(0, 8))
            text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
        return text;
    });
}

}

// Guards against processes that end because of an entry that passes the decoder.
TEST_CASE("Generated entries of the store end no process", "[platform][transit]")
{
    REQUIRE(rc::check("a view and an agent take whatever the decoder lets through", [] {
        TimePoint now { seconds(9).us };
        auto entries = *rc::gen::container<std::vector<std::string>>(oddEntry());
        std::string items = item(
            "op/config", 1, R"({"Routes":[],"Services":[{"Name":"web","MaxConns":9,"WarmupS":2.5,"WarmupPerS":4.0}]})");
        for (std::size_t i = 0; i < entries.size(); ++i)
            items += "," + item("servers/" + std::to_string(i), i + 2, entries[i]);
        Faults faults;
        auto page = std::get<StorePage>(decodeRange(range(items), faults.handler()));
        RC_ASSERT(page.changes.size() == entries.size() + 1);
        TransitAgent agent({ .fleet = { .self = { 0x0a000009, 7000 }, .role = ProcessRole::Agent, .incarnation = 5 },
            .admission = { .service = "web", .target = { 0x0a000009, 8080 }, .failureDomain = "a" },
            .fleetPort = 7000 });
        TransitEffects effects;
        agent.onTick(now, effects);
        agent.onStorePage(page.changes, StorePosition(entries.size() + 2), {}, now, effects);
        ForwardMessage forward { .replyTo = { 1, 7000 }, .service = "web", .packet = { .flow = flowOf(9) } };
        forward.packet.flags.isOpening = true;
        agent.onMessage({ 1, 7000 }, { StorePosition(1), forward }, now, effects);
        agent.onTick(now + seconds(1), effects);
        DeltaMessage delta { milliseconds(1), agent.fleet().view().deltaSince(StorePosition()) };
        auto bytes = encodeMessage({ StorePosition(1), delta }, now + seconds(1));
        RC_ASSERT(decodeMessage(bytes, PlatformPacketFormat(), now).has_value());
    }));
}

// Guards against a watch with a long response that is repeated for ever.
TEST_CASE("A response of the store that is too long is no failure of the connection", "[platform]")
{
    boost::asio::io_context context;
    using boost::asio::ip::tcp;
    tcp::acceptor acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
    tcp::socket peer(context);
    std::string response;
    acceptor.async_accept(peer, [&](boost::system::error_code) {
        boost::asio::write(peer, boost::asio::buffer(response));
        peer.shutdown(tcp::socket::shutdown_send);
    });
    auto outcomeOfWatch = [&] {
        Faults faults;
        PlatformStoreClient client(context, { 0x7f000001, acceptor.local_endpoint().port() }, faults.handler());
        std::optional<StoreOutcome> outcome;
        client.watch({ StorePosition(1), milliseconds(10), seconds(5) }, [&](StoreAnswer result) {
            outcome = std::move(result.outcome);
            context.stop();
        });
        context.run_for(std::chrono::seconds(5));
        REQUIRE(outcome);
        return std::get<StoreFailure>(*outcome);
    };

    SECTION("one that is longer than any page or watch")
    {
        response = "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n{";
        CHECK(outcomeOfWatch() == StoreFailure::Invalid);
    }
    SECTION("one that is no HTTP response")
    {
        response = "SSH-2.0-server, which speaks another protocol\r\n\r\n";
        CHECK(outcomeOfWatch() == StoreFailure::Invalid);
    }
    SECTION("one that breaks off is")
    {
        response = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{";
        CHECK(outcomeOfWatch() == StoreFailure::Unreachable);
    }
    SECTION("a connection that closes without a response is") { CHECK(outcomeOfWatch() == StoreFailure::Unreachable); }
}

namespace {

/** Client of a server on loopback that answers each connection with the next of some responses. */
struct AnsweredClient {
    using tcp = boost::asio::ip::tcp;

    boost::asio::io_context context;
    tcp::acceptor acceptor { context, { boost::asio::ip::address_v4::loopback(), 0 } };
    std::vector<std::string> responses;
    Faults faults;
    PlatformStoreClient client { context, { 0x7f000001, acceptor.local_endpoint().port() }, faults.handler() };

    /** @return Answer to a watch whose response has this status and, if there is one, this header line. */
    StoreAnswer watch(const std::string& status, const std::string& header = {})
    {
        std::string body = status == "200 OK" ? R"({"events":[],"AsOf":5})" : "";
        std::string response = "HTTP/1.1 " + status + "\r\n" + header + (header.empty() ? "" : "\r\n")
            + "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        tcp::socket peer(context);
        acceptor.async_accept(
            peer, [&](boost::system::error_code) { boost::asio::write(peer, boost::asio::buffer(response)); });
        std::optional<StoreAnswer> answer;
        client.watch({ StorePosition(1), milliseconds(10), seconds(5) }, [&](StoreAnswer result) {
            answer = std::move(result);
            context.stop();
        });
        context.restart();
        context.run_for(std::chrono::seconds(5));
        REQUIRE(answer);
        return *answer;
    }
};

}

// Guards against a store that came back from a copy without any process noticing it (incident review-11).
TEST_CASE("Each answer of the store tells its era", "[platform][era]")
{
    AnsweredClient store;

    SECTION("an answer with data, and a refusal")
    {
        CHECK(store.watch("200 OK", "Store-Era: 3").era == StoreEra(3));
        for (const char* status : { "410 Gone", "429 Too Many Requests", "503 Service Unavailable" })
            CHECK(store.watch(status, "Store-Era: 4").era == StoreEra(4));
        CHECK(std::get<StoreFailure>(store.watch("410 Gone", "store-era: 5").outcome) == StoreFailure::HistoryGone);
    }
    SECTION("a store that tells none has none")
    {
        CHECK_FALSE(store.watch("200 OK").era);
        CHECK(store.faults.lines.empty());
    }
    SECTION("without a readable one it is the last, and what cannot be read is reported")
    {
        CHECK(store.watch("200 OK", "Store-Era: 3").era == StoreEra(3));
        CHECK(store.watch("200 OK").era == StoreEra(3));
        REQUIRE(store.faults.lines.empty());
        std::size_t faults = 0;
        for (const char* era : { "", "x", "4x", "0", "-4", "4.0", "9223372036854775808" }) {
            CHECK(store.watch("200 OK", std::string("Store-Era: ") + era).era == StoreEra(3));
            CHECK(store.faults.lines.size() == ++faults);
        }
    }
}
