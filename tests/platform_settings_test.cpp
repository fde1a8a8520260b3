#include "platform_settings.h"
#include "transit_log_base.h"
#include "transit_metrics_base.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <fcntl.h>
#include <unistd.h>

using namespace hawthorncroft;

TEST_CASE("All settings of a process on the platform are validated", "[platform][settings]")
{
    const std::string good
        = R"({"vm":"v","failureDomain":"a","packets":"10.0.0.1:8172","data":"10.0.0.1:8172","status":"10.0.0.1:8167",
        "fleetPort":7720,"store":"10.0.0.2:8169","seeds":["10.0.0.1:8166","10.0.0.3:8166"],"isFirstStart":true,"linkMbps":10,"graceSeconds":6,
        "target":"10.0.0.1:8165","service":"web","warmupExcess":1.5,"warmupSlack":5,"unknown":1})";
    std::vector<std::string> faults;

    SECTION("valid settings have no fault, and unknown fields are ignored")
    {
        PlatformSettings settings = parsePlatformSettings(ProcessRole::Agent, good, faults);
        CHECK(faults.empty());
        CHECK(toString(settings.fleet) == "10.0.0.1:7720");
        CHECK(toString(settings.seeds[1]) == "10.0.0.3:7720");
        CHECK(settings.callerPort == 8172);
    }
    SECTION("each fault is reported with key, value and allowed values")
    {
        parsePlatformSettings(ProcessRole::Balancer,
            R"({"vm":"","packets":"nowhere","fleetPort":0,"seeds":7,"linkMbps":10,"graceSeconds":-1,
            "failureDomain":"a","data":"10.0.0.1:1","status":"10.0.0.1:2","store":"10.0.0.2:3","isFirstStart":"yes"})",
            faults);
        REQUIRE(faults.size() == 6);
        CHECK_THAT(faults[5], Catch::Matchers::StartsWith("graceSeconds: -1"));
        CHECK(faults[0] == "fleetPort: 0; allowed: a number from 1.000000 to 65535.000000");
        CHECK_THAT(faults[1], Catch::Matchers::StartsWith("vm: \"\""));
        CHECK_THAT(faults[2], Catch::Matchers::StartsWith("packets: \"nowhere\""));
    }
    SECTION("the use of relays has a default and can be switched off in both roles")
    {
        for (auto role : { ProcessRole::Balancer, ProcessRole::Agent }) {
            faults.clear();
            CHECK(parsePlatformSettings(role, good, faults).relayPaths);
            std::string text = good;
            text.insert(1, R"("relayPaths":false,)");
            CHECK_FALSE(parsePlatformSettings(role, text, faults).relayPaths);
            CHECK(faults.empty());
            text.replace(text.find("false"), 5, "7");
            parsePlatformSettings(role, text, faults);
            REQUIRE(faults.size() == 1);
            CHECK(faults[0] == "relayPaths: 7; allowed: true or false");
        }
    }
    SECTION("settings of rotation have defaults, so that a file without them works")
    {
        PlatformSettings settings = parsePlatformSettings(ProcessRole::Balancer, good, faults);
        CHECK(faults.empty());
        CHECK(settings.processorShare == 1);
        CHECK(settings.entryRotation);
        CHECK(settings.isFlowHashStable);
    }
    SECTION("settings of rotation are read")
    {
        std::string text = good;
        text.insert(1, R"("processorShare":0.09,"entryRotation":false,"flowHash":"mod",)");
        PlatformSettings settings = parsePlatformSettings(ProcessRole::Balancer, text, faults);
        CHECK(faults.empty());
        CHECK(settings.processorShare == 0.09);
        CHECK_FALSE(settings.entryRotation);
        CHECK_FALSE(settings.isFlowHashStable);
        text.replace(text.find("mod"), 3, "steady");
        CHECK(parsePlatformSettings(ProcessRole::Balancer, text, faults).isFlowHashStable);
    }
    SECTION("faults of the settings of rotation are reported, which guards against a word that is taken for the other")
    {
        std::string text = good;
        text.insert(1, R"("processorShare":0,"entryRotation":"on","flowHash":"Mod",)");
        parsePlatformSettings(ProcessRole::Balancer, text, faults);
        REQUIRE(faults.size() == 3);
        CHECK(faults[0] == "processorShare: 0; allowed: a number from 0.001000 to 1024.000000");
        CHECK(faults[1] == "entryRotation: \"on\"; allowed: true or false");
        CHECK(faults[2] == "flowHash: \"Mod\"; allowed: \"steady\" or \"mod\"");
    }
    SECTION(
        "the release order of an agent has a default and two words, which guards against a rule that nobody asked for")
    {
        CHECK(parsePlatformSettings(ProcessRole::Agent, good, faults).releaseOrder == ReleaseOrder::InTimeFirst);
        std::string text = good;
        text.insert(1, R"("releaseOrder":"within_timeouts",)");
        CHECK(parsePlatformSettings(ProcessRole::Agent, text, faults).releaseOrder == ReleaseOrder::WithinTimeouts);
        CHECK(faults.empty());
        text.replace(text.find("within_timeouts"), 15, "late_first");
        parsePlatformSettings(ProcessRole::Agent, text, faults);
        REQUIRE(faults.size() == 1);
        CHECK(faults[0] == "releaseOrder: \"late_first\"; allowed: \"in_time_first\" or \"within_timeouts\"");
    }
    SECTION("a file that is not JSON is reported as one fault")
    {
        parsePlatformSettings(ProcessRole::Balancer, "NodeName=x", faults);
        CHECK(faults.size() == 1);
    }
}

TEST_CASE("Log writes do not block and are rate limited", "[transit][log]")
{
    int ends[2] {};
    REQUIRE(pipe(ends) == 0);
    TransitLog log(ends[1], "balancer", "v");
    TimePoint now { seconds(5).us };
    auto read = [&] {
        std::string text(1 << 20, '\0');
        ssize_t size = ::read(ends[0], text.data(), text.size());
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    };

    SECTION("a line is one JSON object")
    {
        log.write({ "opened", { { "flow", std::string("a\"b") }, { "age_ms", 5 } } }, now);
        CHECK(read()
            == R"({"t_us":5000000,"part":"balancer","vm":"v","event":"opened","flow":"a\"b","age_ms":5})"
               "\n");
    }
    SECTION("lines of one event beyond the limit are dropped and counted in a separate line")
    {
        for (std::uint32_t i = 0; i < maxLogLinesPerSecond + 7; ++i)
            log.write({ "opened", {} }, now);
        CHECK(log.dropped() == 7);
        log.write({ "opened", {} }, now + seconds(1));
        CHECK_THAT(read(), Catch::Matchers::Contains(R"("event":"lines_left_out","of":"opened","count":7)"));
    }
    SECTION("a full pipe does not block the writer, which guards against a process that hangs on its log")
    {
        for (int i = 0; i < 20000; ++i)
            log.write({ "opened", { { "text", std::string(100, 'x') } } }, now + seconds(i));
        CHECK(log.dropped() > 10000);
        std::string text = read();
        log.write({ "again", {} }, now + seconds(30000));
        // A line that was written in part is completed before the next one starts.
        text += read();
        std::size_t begin = 0;
        for (std::size_t end = text.find('\n'); end != std::string::npos;
             begin = end + 1, end = text.find('\n', begin)) {
            CHECK(text[begin] == '{');
            CHECK(text[end - 1] == '}');
        }
        CHECK(begin == text.size());
    }
    close(ends[0]);
    close(ends[1]);
}

TEST_CASE("Metrics are written in the Prometheus text format", "[transit][metrics]")
{
    TransitMetrics metrics;
    metrics.add(TransitCounter::FlowsOpened, 3);
    metrics.record(TransitDistribution::OpenTime, microseconds(1500));
    metrics.record(TransitDistribution::OpenTime, seconds(100));
    std::string text = metrics.text({ { "view_revision", 7 } });
    CHECK_THAT(text, Catch::Matchers::Contains("hawthorncroft_flows_opened_total 3\n"));
    CHECK_THAT(text, Catch::Matchers::Contains("hawthorncroft_view_revision 7\n"));
    CHECK_THAT(text, Catch::Matchers::Contains("hawthorncroft_open_us_bucket{le=\"+Inf\"} 2\n"));
    CHECK_THAT(text, Catch::Matchers::Contains("hawthorncroft_open_us_count 2\n"));
    CHECK_THAT(text, Catch::Matchers::Contains("hawthorncroft_open_us_sum 100001500\n"));
}
