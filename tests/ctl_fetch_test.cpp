#include "config_func.h"
#include "control_base.h"
#include "ctl_func.h"
#include "metrics_base.h"
#include "name_sketch_type.h"
#include "report_type.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

using namespace hawthorncroft;

namespace {

/** Control port that answers each path with the response of a handler. */
class FakeProcess {
public:
    using Answer = std::function<std::string(const std::string& query)>;

    explicit FakeProcess(const std::map<std::string, Answer>& answers)
        : m_server(m_context, m_keyring)
    {
        MacKey secret {};
        secret[15] = 7;
        m_keyring.add(KeyId(1), secret);
        for (const auto& [path, answer] : answers)
            m_server.add(path, [answer = answer](const ControlRequest& request) {
                return ControlReply { .body = answer(request.queryText) };
            });
        std::string error;
        REQUIRE(m_server.listen({ 0x7f000001, 0 }, error));
        m_endpoint = toString(m_server.endpoint());
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~FakeProcess()
    {
        m_context.stop();
        m_thread.join();
    }
    FakeProcess(const FakeProcess&) = delete;
    FakeProcess& operator=(const FakeProcess&) = delete;

    const std::string& endpoint() const { return m_endpoint; }

private:
    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work { m_context.get_executor() };
    Keyring m_keyring;
    ControlServer m_server;
    std::string m_endpoint;
    std::thread m_thread;
};

/** Writes a settings file with one key, whose secret ends in the given hexadecimal digit. */
std::string settingsFile(const std::string& lastDigit)
{
    auto path = std::filesystem::temp_directory_path()
        / ("ctl-settings-" + std::to_string(::getpid()) + "-" + lastDigit + ".json");
    std::ofstream(path) << R"({"vm":"v","failureDomain":"d","front":"127.0.0.1:1","data":"127.0.0.1:2",
        "control":"127.0.0.1:3","platform":"127.0.0.1:4","peers":["127.0.0.1:5"],
        "keys":[{"id":1,"secret":"0000000000000000000000000000000)"
            + lastDigit + "\"}]}";
    return path.string();
}

struct Run {
    explicit Run(const CtlArguments& arguments)
        : status(runCtl(arguments, { out, err }))
    {
    }

    bool outputContains(const std::string& text) const { return out.str().find(text) != std::string::npos; }

    std::ostringstream out;
    std::ostringstream err;
    int status;
};

}

TEST_CASE("Unknown names are counted in bounded memory", "[names]")
{
    SECTION("no count exceeds the exact one by more than its stated error, and frequent names are always kept")
    {
        REQUIRE(rc::check("bounds of the sketch", [] {
            auto names = *rc::gen::container<std::vector<std::string>>(
                rc::gen::container<std::string>(1, rc::gen::inRange('a', 'p')));
            NameSketch sketch(5);
            std::map<std::string, std::uint64_t> exactCounts;
            for (const auto& name : names) {
                sketch.add(name, 1);
                ++exactCounts[name];
            }
            RC_ASSERT(sketch.size() <= 5U);
            std::map<std::string, CountedName> kept;
            for (const auto& entry : sketch.top(5))
                kept[entry.name] = entry;
            for (const auto& [name, entry] : kept) {
                RC_ASSERT(entry.count >= exactCounts[name]);
                RC_ASSERT(entry.count - entry.error <= exactCounts[name]);
                RC_ASSERT(entry.error <= sketch.errorBound());
            }
            for (const auto& [name, count] : exactCounts)
                RC_ASSERT(count <= sketch.errorBound() || kept.count(name));
        }));
    }
    SECTION("the most frequent names come first, and a corrected name is removed")
    {
        NameSketch sketch(3);
        for (const char* name : { "a", "b", "b", "c", "c" })
            sketch.add(name, 7);
        auto top = sketch.top(2);
        REQUIRE(top.size() == 2);
        CHECK(top[0].name == "b");
        CHECK(top[1].name == "c");
        sketch.remove("b");
        CHECK(sketch.top(1).at(0).name == "c");
    }
    SECTION("the closest known names are suggested, closest first, within the largest edit distance")
    {
        std::unordered_map<std::string, ServiceId> known { { "courier-route", ServiceId(1) },
            { "courier-routes", ServiceId(2) }, { "intake", ServiceId(3) } };
        auto similar = closestNames("curier-route", known, 3, 5);
        REQUIRE(similar.size() == 2);
        CHECK(similar[0] == SimilarName { "courier-route", ServiceId(1), 1 });
        CHECK(similar[1] == SimilarName { "courier-routes", ServiceId(2), 2 });
    }
}

TEST_CASE("Commands query running processes", "[ctl]")
{
    std::atomic<std::uint64_t> revision { 4 };
    NamesReport names { .total = 9,
        .names = { { .name = "curier", .count = 5, .similar = { { "courier", 1, "courier", 1 } } },
            { .name = "cat", .count = 4, .similar = { { "car", 1, "car", 1 }, { "bat", 2, "bat", 1 } } } } };
    ExplainReport explain { .name = "a b",
        .revision = 4,
        .service = 7,
        .serviceName = "ab",
        .match = "corrected spelling",
        .serving = true,
        .ranks = { { .target = 3, .vm = "v", .eligibility = "eligible", .load = 500, .chosen = true } } };
    FakeProcess process({
        { "/status",
            [&](const std::string&) {
                return toJson(StatusReport { .role = "balancer", .serving = true, .revision = revision });
            } },
        { "/names", [&](const std::string&) { return toJson(names); } },
        { "/explain", [&](const std::string& query) { return query == "name=a%20b&flow=9" ? toJson(explain) : "?"; } },
    });
    const std::string at = process.endpoint();
    const std::string settings = settingsFile("7");

    SECTION("a request signed with a key that the process does not accept is not answered")
    {
        Run run({ "status", "--settings", settingsFile("8"), "--at", at });
        CHECK(run.status == ctlWarnings);
        CHECK(run.err.str().find("no answer from " + at) != std::string::npos);
        CHECK(Run({ "status", "--settings", settings, "--key", "5", "--at", at }).status == ctlRefused);
        CHECK(Run({ "status", "--at", at }).status == ctlRefused);
    }
    SECTION("status shows which processes serve, and exits with status 1 if one does not answer")
    {
        CHECK(Run({ "status", "--settings", settings, "--at", at }).outputContains("serving, revision 4"));
        Run unreachable({ "status", "--settings", settings, "--at", at, "127.0.0.1:1" });
        CHECK(unreachable.status == ctlWarnings);
        CHECK(unreachable.outputContains("serving, revision 4"));
        CHECK(Run({ "status" }).status == ctlRefused);
        CHECK(Run({ "status", "--settings", settings, "--at", "nowhere" }).status == ctlRefused);
    }
    SECTION("names sums the counts of all processes and emits only unambiguous spellings")
    {
        CHECK(Run({ "names", "--settings", settings, "--at", at, at }).outputContains("10  curier"));
        Run emitted({ "names", "--settings", settings, "--at", at, "--emit" });
        CHECK(emitted.outputContains(R"({"id":1,"name":"courier","spellings":["curier"]})"));
        CHECK(emitted.outputContains(R"("undecided":["cat"])"));
    }
    SECTION("explain shows the ranked targets of a flow")
    {
        Run run({ "explain", "a b", "--flow", "9", "--settings", settings, "--at", at });
        CHECK(run.status == ctlOk);
        CHECK(run.outputContains("leads to service 7 ab by its corrected spelling"));
        CHECK(run.outputContains("load 50 percent"));
    }
    SECTION("wait-in-force waits for the last process, and lists those without the revision")
    {
        Run late({ "wait-in-force", "5", "--settings", settings, "--at", at, "--timeout", "0.3" });
        CHECK(late.status == ctlWarnings);
        CHECK(late.outputContains("has revision 4"));
        std::thread change([&] {
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
            revision = 5;
        });
        CHECK(Run({ "wait-in-force", "5", "--settings", settings, "--at", at, "--timeout", "5" }).status == ctlOk);
        change.join();
    }
}

TEST_CASE("metrics sums the metrics of running processes", "[ctl]")
{
    Metrics counted;
    counted.add(Counter::DatagramsIn, 21);
    FakeProcess first({ { "/metrics", [&](const std::string&) { return counted.json(); } } });
    FakeProcess second({ { "/metrics", [&](const std::string&) { return counted.json(); } } });
    std::string settings = settingsFile("7");

    SECTION("over all that answer, so that the figures of one process are not reported as the total")
    {
        Run run({ "metrics", "--settings", settings, "--at", first.endpoint(), "--at", second.endpoint() });
        CHECK(run.status == 0);
        CHECK(run.outputContains(std::string(nameOf(Counter::DatagramsIn)) + " 42"));
    }
    SECTION("and exits with status 1 if one does not answer")
    {
        Run run({ "metrics", "--settings", settings, "--at", first.endpoint(), "--at", "127.0.0.1:1" });
        CHECK(run.status == 1);
        CHECK(run.outputContains(std::string(nameOf(Counter::DatagramsIn)) + " 21"));
    }
}

TEST_CASE("Reports are unchanged after serialization to JSON and parsing", "[ctl]")
{
    StatusReport status { .role = "agent",
        .platformAgeMs = 12,
        .target = TargetStatus { .id = 3, .state = "warm" },
        .counters = { { "opens", 5 } } };
    StatusReport read;
    REQUIRE(parseReport(toJson(status), read).empty());
    CHECK(read.platformAgeMs == 12);
    CHECK(read.target->state == "warm");
    CHECK(read.counters.at("opens") == 5);
    CHECK_FALSE(parseReport("{\"serving\":1}", read).empty());
    CHECK_FALSE(parseReport("{", read).empty());
    CHECK(queryValue("name=" + encodeQueryValue("a&b=ö") + "&flow=7", "name") == "a&b=ö");
    CHECK(queryValue("name=a&flow=7", "flow") == "7");
    CHECK_FALSE(queryValue("name=%4", "name"));
    CHECK_FALSE(queryValue("name=a", "flow"));
}
