#include "loop_util.h"
#include "standin_platform.h"
#include "standin_target.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

using namespace hawthorncroft;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

/** A client that waits for each response. */
struct Session {
    Session(boost::asio::io_context& loop, Endpoint endpoint)
        : context(loop)
        , client(loop, endpoint)
    {
    }

    Http2CallId begin(const std::string& method, const std::string& path, std::string body, Http2Headers headers,
        Http2Client::Done done)
    {
        Http2Call call { { method, path, std::move(headers), std::move(body), {} }, seconds(5), {}, {} };
        return client.send(std::move(call), std::move(done));
    }

    Http2Result sendAndWait(
        const std::string& method, const std::string& path, std::string body = {}, Http2Headers headers = {})
    {
        std::optional<Http2Result> result;
        begin(method, path, std::move(body), std::move(headers), [&result](Http2Result r) { result = std::move(r); });
        REQUIRE(runUntil(
            context, [&] { return result.has_value(); }, 6s));
        return *result;
    }

    json::value requestJson(const std::string& method, const std::string& path, std::string body = {})
    {
        Http2Result result = sendAndWait(method, path, std::move(body));
        INFO(path << " " << result.status << " " << nameOf(result.error) << " " << result.body);
        REQUIRE(result.succeeded());
        return json::parse(result.body);
    }

    boost::asio::io_context& context;
    Http2Client client;
};

}

TEST_CASE("The platform stand-in", "[standin]")
{
    CHECK(StandinPlatform::documentKey("targets-sofia") == "targets/sofia");
    CHECK(StandinPlatform::documentKey("targets-sofia-1") == "targets/sofia-1");
    CHECK(StandinPlatform::documentKey("operations") == "operations");

    auto directory = std::filesystem::temp_directory_path() / ("standin-" + std::to_string(std::random_device {}()));
    std::filesystem::create_directory(directory);
    std::ofstream(directory / "operations.json") << R"({"in_force":"day"})";
    std::ofstream(directory / "targets-sofia.json") << R"({"targets":[]})";
    boost::asio::io_context context;
    StandinPlatform platform(context, { .documents = directory.string(), .pollMs = 100, .callsPerSecond = 20 });
    std::string error;
    bool started = platform.start(error);
    std::filesystem::remove_all(directory);
    INFO(error);
    REQUIRE(started);
    Session session(context, platform.endpoint());

    SECTION("returns all documents with their revisions to a reader at revision zero")
    {
        json::value all = session.requestJson("GET", "/watch?since=0");
        CHECK(all.at("revision") == 2);
        CHECK(all.at("changes").at(1).at("key") == "targets/sofia");
        CHECK(all.at("changes").at(1).at("document").at("targets").is_array());
        CHECK(session.requestJson("GET", "/watch?since=2").at("changes").as_array().empty());
        CHECK(session.requestJson("GET", "/test/calls").at("calls") == 2);
    }

    SECTION("answers a waiting watch with only the changed documents")
    {
        std::string body;
        session.begin("GET", "/watch?since=2", {}, {}, [&](Http2Result result) { body = std::move(result.body); });
        CHECK(session.requestJson("GET", "/test/calls").at("waiting") == 1);
        CHECK(session.requestJson("PUT", "/test/documents/operations", R"({"in_force":"peak"})").at("revision") == 3);
        REQUIRE(runUntil(context, [&] { return !body.empty(); }));
        json::value delta = json::parse(body);
        CHECK(delta.at("changes").as_array().size() == 1);
        CHECK(delta.at("changes").at(0).at("document").at("in_force") == "peak");

        SECTION("and returns an old revision while stale, on which tests of a lagging platform rely")
        {
            session.requestJson("POST", "/test/state", R"({"stale_at":2})");
            json::value old = session.requestJson("GET", "/watch?since=0");
            CHECK(old.at("revision") == 2);
            CHECK(old.at("changes").at(0).at("document").at("in_force") == "day");
            session.requestJson("POST", "/test/state", R"({"stale_at":null})");
            CHECK(session.requestJson("GET", "/watch?since=0").at("revision") == 3);
        }
    }

    SECTION("resets watches while down, delays answers when configured, and enforces the rate limit")
    {
        session.requestJson("POST", "/test/state", R"({"down":true})");
        CHECK(session.sendAndWait("GET", "/watch?since=0").error == Http2Error::Reset);
        session.requestJson("POST", "/test/state", R"({"down":false,"delay_ms":80})");
        auto begin = std::chrono::steady_clock::now();
        session.requestJson("GET", "/watch?since=0");
        CHECK(std::chrono::steady_clock::now() - begin >= 80ms);
        session.requestJson("POST", "/test/state", R"({"delay_ms":0})");
        int refused = 0;
        for (int i = 0; i < 30; ++i)
            refused += session.sendAndWait("GET", "/watch?since=0").status == 429;
        CHECK(refused >= 10);
    }

    SECTION("refuses a document above the size limit and one that is not JSON")
    {
        CHECK(session.sendAndWait("PUT", "/test/documents/a/b", std::string(maxDocumentBytes + 1, ' ')).status == 413);
        CHECK(session.sendAndWait("PUT", "/test/documents/a/b", "{").status == 400);
        CHECK(session.requestJson("GET", "/test/calls").at("revision") == 2);
    }
}

TEST_CASE("The target stand-in", "[standin]")
{
    boost::asio::io_context context;
    StandinTargetSettings settings { .service = 7, .slots = 2, .serviceMs = 30, .spreadPercent = 0, .feedMs = 10 };
    bool died = false;
    StandinTarget target(context, { .settings = settings, .die = [&died] { died = true; } });
    std::string error;
    REQUIRE(target.start(error));
    Session session(context, target.endpoint());
    const StandinTargetTruth& truth = target.truth();
    auto changeSettings = [&](const std::string& text) { session.requestJson("POST", "/test/settings", text); };

    SECTION("runs a request and reports one that ran twice, on which the tests of P7 rely")
    {
        Http2Result result = session.sendAndWait("POST", "/requests/a", "letter 5", { { "service", "7" } });
        CHECK(result.body == "answer a letter 5");
        CHECK(session.requestJson("GET", "/test/seen").at("doubled").as_array().empty());
        session.sendAndWait("POST", "/requests/a", "letter 5");
        json::value seen = session.requestJson("GET", "/test/seen");
        CHECK(seen.at("executed").at("a") == 2);
        CHECK(seen.at("doubled").at(0) == "a");
    }

    SECTION("refuses requests of another service, expired requests and shed requests without running them")
    {
        CHECK(session.sendAndWait("POST", "/requests/b", {}, { { "service", "8" } }).status == 421);
        CHECK(session.sendAndWait("POST", "/requests/b", {}, { { "deadline-ms", "0" } }).status == 504);
        changeSettings(R"({"shed_percent":100,"retry_after_ms":1500})");
        Http2Result shed = session.sendAndWait("POST", "/requests/b");
        CHECK(shed.status == 503);
        CHECK(findHeader(shed.headers, "retry-after") == "2");
        CHECK(truth.wrongService == 1);
        CHECK(truth.executed.empty());
    }

    SECTION("fails requests above its slots, and above its reduced capacity while cold, on which the tests of P3 rely")
    {
        std::map<int, int> statuses;
        auto burst = [&] {
            statuses.clear();
            int answers = 0;
            for (int i = 0; i < 4; ++i)
                session.begin("POST", "/requests/c" + std::to_string(i), {}, {}, [&](const Http2Result& result) {
                    ++statuses[result.status];
                    ++answers;
                });
            REQUIRE(runUntil(context, [&] { return answers == 4; }));
        };
        burst();
        CHECK(statuses == std::map<int, int> { { 200, 2 }, { 500, 2 } });
        session.requestJson("POST", "/test/cold", R"({"ms":60000})");
        CHECK(session.requestJson("GET", "/health").at("state") == "cold");
        burst();
        CHECK(statuses == std::map<int, int> { { 200, 1 }, { 500, 3 } });
        CHECK(truth.overload == 5);
        CHECK(truth.highestConcurrency == 2);
    }

    SECTION("stops a cancelled request")
    {
        int status = 0;
        session.begin("POST", "/requests/d", {}, {}, [&](const Http2Result& result) { status = result.status; });
        REQUIRE(runUntil(context, [&] { return truth.executed.contains("d"); }));
        CHECK(session.sendAndWait("DELETE", "/requests/d").status == 200);
        CHECK(runUntil(context, [&] { return status == 499; }));
        CHECK(session.sendAndWait("DELETE", "/requests/d").status == 404);
        CHECK(truth.cancelled == 1);
    }

    SECTION("stores each chunk of an upload once and commits the upload when all chunks are present")
    {
        CHECK(session.sendAndWait("PUT", "/uploads/5/1", "one").status == 200);
        CHECK(session.sendAndWait("PUT", "/uploads/5/1", "one").status == 200);
        CHECK(session.sendAndWait("PUT", "/uploads/5/1", "other").status == 409);
        CHECK(session.sendAndWait("POST", "/uploads/5/commit?chunks=2").body == R"({"missing":[2]})");
        CHECK(session.sendAndWait("PUT", "/uploads/5/2", "two").status == 200);
        CHECK(session.sendAndWait("POST", "/uploads/5/commit?chunks=2").status == 200);
        CHECK(session.requestJson("GET", "/test/seen").at("uploads_committed").at(0) == "5");
        CHECK(truth.duplicateChunks == 1);
    }

    SECTION("streams feed events in order, also while it drains and refuses new work")
    {
        std::string events;
        Http2Call call;
        call.request.path = "/feeds/9?service=7";
        call.onData = [&events](std::string_view data) { events += data; };
        auto id = session.client.send(call, [](const Http2Result&) {});
        REQUIRE(runUntil(context, [&] { return events.starts_with("event 1 9\nevent 2 9\n"); }));
        CHECK(session.requestJson("POST", "/test/drain").at("state") == "draining");
        CHECK(session.sendAndWait("POST", "/requests/e").status == 503);
        CHECK(truth.newSinceDrain == 1);
        std::size_t before = events.size();
        CHECK(runUntil(context, [&] { return events.size() > before + 20; }));
        session.client.cancel(id);
        runFor(context, 20ms);
        CHECK(session.requestJson("GET", "/test/seen?short=1").at("feeds_open") == 0);
    }

    SECTION("reports a delayed or false state when configured")
    {
        changeSettings(R"({"report_lag_ms":60000})");
        session.requestJson("POST", "/test/drain");
        CHECK(session.requestJson("GET", "/health").at("state") == "ready");
        changeSettings(R"({"report_lag_ms":0,"report_load":1,"report_state":"cold"})");
        CHECK(session.requestJson("GET", "/health").at("state") == "cold");
        CHECK(session.sendAndWait("POST", "/test/settings", R"({"slotz":1})").status == 400);
    }

    SECTION("counts calls received while out of service, and closes its connections when it dies")
    {
        session.requestJson("POST", "/test/out");
        session.sendAndWait("GET", "/health");
        CHECK(truth.packetsSinceOut == 0);
        session.sendAndWait("POST", "/requests/f");
        CHECK(truth.packetsSinceOut == 1);
        CHECK(session.sendAndWait("POST", "/test/die").error == Http2Error::ConnectionLost);
        CHECK(died);
    }
}
