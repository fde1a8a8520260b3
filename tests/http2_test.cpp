#include "http2_base.h"
#include "loop_util.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <map>

#ifdef __SANITIZE_ADDRESS__
extern "C" std::size_t
__sanitizer_get_current_allocated_bytes(); // The GCC package does not contain the header that declares it.
#endif

using namespace hawthorncroft;
using namespace std::chrono_literals;

namespace {

Http2Call get(const std::string& path, Duration timeout = seconds(5))
{
    Http2Call call;
    call.request.path = path;
    call.timeout = timeout;
    return call;
}

Http2Bounds shortTimes()
{
    Http2Bounds bounds;
    bounds.idle = milliseconds(400);
    bounds.stall = milliseconds(400);
    bounds.request = milliseconds(200);
    return bounds;
}

/** Server that replies according to the path; keeps the responders of "/later" and "/stream" for the test. */
struct TestServer {
    explicit TestServer(boost::asio::io_context& context, Http2Bounds bounds = {})
        : server(
            context, [this](const Http2Request& request, Http2Responder r) { handle(request, std::move(r)); }, bounds)
    {
        std::string error;
        REQUIRE(server.listen(anyLoopback, error));
    }

    void handle(const Http2Request& request, Http2Responder responder)
    {
        ++seen[request.path];
        if (request.path.starts_with("/later")) {
            responder.onAborted([this] { ++abortedRequests; });
            later.emplace_back(request.path, std::move(responder));
        } else if (request.path == "/stream") {
            responder.start(200, { { "kind", "feed" } });
            later.emplace_back(request.path, std::move(responder));
        } else if (request.path == "/large")
            responder.respond(200, std::string(2000000, 'x'));
        else if (request.path == "/throws")
            throw std::runtime_error("handler");
        else
            responder.respond(200, request.method + " " + request.body, { { "echo", request.path } });
    }

    std::map<std::string, int> seen;
    std::vector<std::pair<std::string, Http2Responder>> later;
    int abortedRequests {};
    Http2Server server;
};

/**
 * Memory use in KiB: the resident set or, with the address sanitizer, the live allocations, because the sanitizer keeps
 * freed memory resident for a while.
 */
std::size_t usedKilobytes()
{
#ifdef __SANITIZE_ADDRESS__
    return __sanitizer_get_current_allocated_bytes() / 1024;
#else
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * 4;
#endif
}

}

TEST_CASE("An HTTP/2 client sends requests to a server", "[http2]")
{
    boost::asio::io_context context;
    TestServer test(context);
    Http2Client client(context, test.server.endpoint());
    std::vector<Http2Result> results;
    auto done = [&results](Http2Result result) { results.push_back(std::move(result)); };
    auto arrived = [&](std::size_t count) { return runUntil(context, [&] { return results.size() >= count; }); };

    SECTION("and gets the complete response with its headers")
    {
        Http2Call call = get("/echo");
        call.request.method = "POST";
        call.request.body = std::string(300000, 'b');
        client.send(call, done);
        CHECK(results.empty());
        REQUIRE(arrived(1));
        CHECK(results[0].succeeded());
        CHECK(results[0].body == "POST " + call.request.body);
        CHECK(findHeader(results[0].headers, "echo") == "/echo");
    }

    SECTION("and concurrent requests share one connection; each gets its own response in any order, which guards P5")
    {
        std::map<int, std::string> bodies;
        for (int i = 0; i < 700; ++i)
            client.send(get("/later/" + std::to_string(i)), [&bodies, i](Http2Result r) { bodies[i] = r.body; });
        auto answerAll = [&] {
            for (auto& [path, responder] : test.later)
                responder.respond(200, path);
            test.later.clear();
            return bodies.size() == 700;
        };
        REQUIRE(runUntil(context, [&] { return test.later.size() == maxHttp2Streams; }));
        std::reverse(test.later.begin(), test.later.end());
        REQUIRE(runUntil(context, answerAll));
        for (auto& [i, body] : bodies)
            CHECK(body == "/later/" + std::to_string(i));
        CHECK(test.server.counters()[Http2Counter::Connections] == 1);
        CHECK(test.server.bufferedBytes() == 0);
    }

    SECTION("and a long poll stays open until the server replies")
    {
        auto id = client.send(get("/later"), done);
        REQUIRE(runUntil(context, [&] { return test.later.size() == 1; }));

        SECTION("or the client cancels it and the server is notified, which guards against useless work")
        {
            client.cancel(id);
            REQUIRE(results.size() == 1);
            CHECK(results[0].error == Http2Error::Cancelled);
            CHECK(results[0].mayHaveRun);
            CHECK(runUntil(context, [&] { return test.abortedRequests == 1; }));
            CHECK_FALSE(test.later[0].second.respond(200));
        }

        SECTION("or the connection is lost: the request may have run, and the next request reconnects")
        {
            test.server.close();
            REQUIRE(arrived(1));
            CHECK(results[0].error == Http2Error::ConnectionLost);
            CHECK(results[0].mayHaveRun);
            CHECK(test.abortedRequests == 1);
            client.send(get("/echo"), done);
            REQUIRE(arrived(2));
            CHECK(results[1].error == Http2Error::ConnectFailed);
            CHECK_FALSE(results[1].mayHaveRun);
        }

        SECTION("or the server drains: the open request succeeds and a new one gets an error, which guards P9")
        {
            test.server.drain();
            client.send(get("/echo"), done);
            runFor(context, 20ms);
            test.later[0].second.respond(200, "late");
            REQUIRE(arrived(2));
            CHECK(results[0].error != Http2Error::None);
            CHECK_FALSE(results[0].mayHaveRun);
            CHECK(results[1].body == "late");
            CHECK(runUntil(context, [&] { return test.server.connectionCount() == 0; }));
        }

        SECTION("or its responder is destroyed, and the error says that the request may have run")
        {
            test.later.clear();
            REQUIRE(arrived(1));
            CHECK(results[0].error == Http2Error::Reset);
            CHECK(results[0].mayHaveRun);
            CHECK(test.server.counters()[Http2Counter::Unanswered] == 1);
        }
    }

    SECTION("and an exception in a handler fails only its own request")
    {
        client.send(get("/throws"), done);
        client.send(get("/echo"), done);
        REQUIRE(arrived(2));
        CHECK(results[0].succeeded() != results[1].succeeded());
        CHECK(test.server.counters()[Http2Counter::HandlerFailures] == 1);
    }

    SECTION("and a request without a timely response ends with a timeout error that says it may have run")
    {
        client.send(get("/later", milliseconds(50)), done);
        REQUIRE(arrived(1));
        CHECK(results[0].error == Http2Error::Timeout);
        CHECK(results[0].mayHaveRun);
    }

    SECTION("and a request that times out while it waits for a stream did not run, which guards P6")
    {
        for (std::size_t i = 0; i < maxHttp2Streams; ++i)
            client.send(get("/later"), [](const Http2Result&) {});
        client.send(get("/waits", milliseconds(50)), done);
        REQUIRE(arrived(1));
        CHECK(results[0].error == Http2Error::Timeout);
        CHECK_FALSE(results[0].mayHaveRun);
        runFor(context, 20ms);
        CHECK(test.seen["/waits"] == 0);
    }

    SECTION("and a streamed response is delivered in pieces")
    {
        std::string data;
        Http2Call call = get("/stream", {});
        call.onData = [&data](std::string_view piece) { data += piece; };
        auto id = client.send(call, done);
        REQUIRE(runUntil(context, [&] { return test.later.size() == 1; }));
        Http2Responder& feed = test.later[0].second;
        feed.write("one\n");
        REQUIRE(runUntil(context, [&] { return data == "one\n"; }));

        SECTION("until the server ends it")
        {
            feed.write("two\n");
            feed.end();
            REQUIRE(arrived(1));
            CHECK(data == "one\ntwo\n");
            CHECK(results[0].succeeded());
            CHECK(findHeader(results[0].headers, "kind") == "feed");
        }

        SECTION(
            "and a paused response buffers at most a window and the output limit, which guards against slow readers")
        {
            client.pause(id);
            std::string piece(100000, 'p');
            std::size_t taken = 0;
            while (feed.write(piece)) {
                taken += piece.size();
                runFor(context, 1ms);
            }
            CHECK(taken <= maxHttp2OutputBytes + 128 * 1024);
            CHECK(test.server.counters()[Http2Counter::OutputFull] == 1);
            CHECK(data.size() == 4);
            client.send(get("/echo"), done);
            REQUIRE(arrived(1)); // Other streams of the connection are not blocked.
            client.resume(id);
            feed.end();
            REQUIRE(arrived(2));
            CHECK(data.size() == 4 + taken);
        }
    }

    SECTION("and a request with a body above the limit gets 413 and is not run")
    {
        Http2Bounds generous;
        generous.bodyBytes = 3 * maxHttp2BodyBytes;
        Http2Client large(context, test.server.endpoint(), generous);
        Http2Call call = get("/echo");
        call.request.body = std::string(maxHttp2BodyBytes + 1, 'b');
        large.send(call, done);
        REQUIRE(arrived(1));
        CHECK(results[0].status == 413);
        CHECK(test.seen["/echo"] == 0);
        CHECK(test.server.bufferedBytes() == 0);
    }
}

TEST_CASE("An HTTP/2 client reports whether a failed request may have run", "[http2]")
{
    boost::asio::io_context context;
    RawServer server(context);
    Http2Bounds bounds = shortTimes();
    Http2Client client(context, server.endpoint(), bounds);
    std::vector<Http2Result> results;
    for (int i = 0; i < 2; ++i)
        client.send(get("/", seconds(3)), [&results](Http2Result result) { results.push_back(std::move(result)); });
    REQUIRE(server.accept([&] { return runUntil(context, [&] { return server.hasInput(); }); }));
    server.send(RawPeer::frame(4, 0, 0, ""));

    SECTION("it did not when the server refuses the stream, but may have when the connection is lost")
    {
        server.send(RawPeer::frame(3, 0, 1, RawPeer::number(7)));
        REQUIRE(runUntil(context, [&] { return results.size() == 1; }));
        CHECK(results[0].error == Http2Error::Refused);
        CHECK_FALSE(results[0].mayHaveRun);
        server.close();
        REQUIRE(runUntil(context, [&] { return results.size() == 2; }));
        CHECK(results[1].error == Http2Error::ConnectionLost);
        CHECK(results[1].mayHaveRun);
    }

    SECTION("it did not when GOAWAY excludes the stream, which guards against lost requests")
    {
        server.send(RawPeer::frame(7, 0, 0, RawPeer::number(1) + RawPeer::number(0)));
        REQUIRE(runUntil(context, [&] { return results.size() == 1; }));
        CHECK(results[0].error == Http2Error::GoAway);
        CHECK_FALSE(results[0].mayHaveRun);
        server.send(RawPeer::frame(1, 5, 1, "\x88"));
        REQUIRE(runUntil(context, [&] { return results.size() == 2; }));
        CHECK(results[1].status == 200);
    }

    SECTION("it may have when the server resets the stream with an error other than REFUSED_STREAM")
    {
        server.send(RawPeer::frame(3, 0, 1, RawPeer::number(2)));
        REQUIRE(runUntil(context, [&] { return results.size() == 1; }));
        CHECK(results[0].error == Http2Error::Reset);
        CHECK(results[0].mayHaveRun);
    }

    SECTION("and the connection to an unresponsive server is closed before the request times out")
    {
        REQUIRE(runUntil(
            context, [&] { return results.size() == 2; }, 2s));
        CHECK(results[0].error == Http2Error::ConnectionLost);
        CHECK(client.counters()[Http2Counter::SilentClosed] == 1);
    }
}

TEST_CASE("An HTTP/2 server keeps serving after a faulty or hostile peer", "[http2]")
{
    boost::asio::io_context context;
    TestServer test(context, shortTimes());
    const Http2Counters& counters = test.server.counters();
    RawPeer peer(context, test.server.endpoint());
    auto counted = [&](Http2Counter counter) { return runUntil(context, [&] { return counters[counter] > 0; }); };

    SECTION("that sends half a frame and stalls")
    {
        peer.send(RawPeer::preface() + RawPeer::get(1).substr(0, 10));
        CHECK(counted(Http2Counter::IdleClosed));
        CHECK(peer.isClosed());
    }

    SECTION("that sends half a request and then nothing more")
    {
        peer.send(RawPeer::preface() + RawPeer::frame(1, 4, 1, RawPeer::headers('\x83', "/")));
        CHECK(counted(Http2Counter::RequestsTooSlow));
        CHECK(counted(Http2Counter::IdleClosed));
    }

    SECTION("that becomes unreachable during a long poll")
    {
        peer.send(RawPeer::preface() + RawPeer::get(1, "/later"));
        CHECK(counted(Http2Counter::SilentClosed));
        CHECK(test.abortedRequests == 1);
    }

    SECTION("that does not speak HTTP/2")
    {
        peer.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK(runUntil(context, [&] { return peer.isClosed(); }));
    }

    SECTION("that sends a flood of PING frames")
    {
        std::string pings;
        for (int i = 0; i < 5000; ++i)
            pings += RawPeer::ping();
        peer.send(RawPeer::preface() + pings);
        CHECK(counted(Http2Counter::FloodedClosed));
    }

    SECTION("that opens and resets streams at a high rate")
    {
        peer.send(RawPeer::preface());
        for (std::uint32_t i = 1; i < 2000; i += 2)
            peer.send(RawPeer::get(i) + RawPeer::reset(i));
        CHECK(counted(Http2Counter::FloodedClosed));
    }

    SECTION("that opens a thousand streams: those above the limit never reach the handler")
    {
        peer.send(RawPeer::preface());
        for (std::uint32_t i = 1; i < 2000; i += 2)
            peer.send(RawPeer::get(i, "/later"));
        CHECK(runUntil(context, [&] { return counters[Http2Counter::StreamsRefused] >= 1000 - maxHttp2Streams; }));
        CHECK(test.later.size() == maxHttp2Streams);
    }

    SECTION("that requests large responses and reads nothing: memory use stays limited")
    {
        std::size_t before = usedKilobytes();
        peer.send(RawPeer::preface());
        for (std::uint32_t i = 1; i < 400; i += 2)
            peer.send(RawPeer::get(i, "/large"));
        CHECK(counted(Http2Counter::OutputFull));
        CHECK(test.server.bufferedBytes() <= maxHttp2OutputBytes);
        CHECK(counted(Http2Counter::SilentClosed));
        CHECK(usedKilobytes() < before + 64 * 1024);
        CHECK(test.server.bufferedBytes() == 0);
    }

    SECTION("that sends headers above the size limit")
    {
        std::string header = std::string("\x00\x01x\x7f\xc1\x3e", 6) + std::string(8128, 'v');
        std::string block = RawPeer::headers('\x82', "/") + header;
        peer.send(RawPeer::preface() + RawPeer::frame(1, 1, 1, block));
        peer.send(RawPeer::frame(9, 0, 1, header) + RawPeer::frame(9, 4, 1, header));
        CHECK(counted(Http2Counter::HeadersTooLarge));
        CHECK(test.seen["/"] == 0);
    }

    SECTION("that opens more connections than allowed")
    {
        std::vector<std::unique_ptr<RawPeer>> peers;
        Http2Bounds few;
        few.connections = 3;
        TestServer small(context, few);
        for (int i = 0; i < 5; ++i)
            peers.push_back(std::make_unique<RawPeer>(context, small.server.endpoint()));
        CHECK(runUntil(context, [&] { return small.server.counters()[Http2Counter::ConnectionsRefused] == 2; }));
        CHECK(small.server.connectionCount() == 3);
    }

    bool answered = false;
    Http2Client client(context, test.server.endpoint());
    client.send(get("/echo"), [&](const Http2Result& result) { answered = result.succeeded(); });
    CHECK(runUntil(context, [&] { return answered; }));
}
