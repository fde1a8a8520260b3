#include "burn_func.h"
#include "ctl_func.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

using namespace hawthorncroft;

namespace {

constexpr std::uint64_t start = 29700000; ///< A minute in June 2026.
constexpr std::uint64_t allSeconds = (1ULL << 60) - 1;

/** A month of two services with normal days, a failure domain taken out, an overload and always a few late requests. */
BurnCounts monthOfCounts(const std::string& process, unsigned seed)
{
    std::mt19937 random(seed);
    BurnCounts counts { .sources = { { process, start * 60 } }, .from = start, .until = start + minutesPerMonth };
    counts.events = { { (start + 17880) * 60, 0, "failure domain sofia-2 taken out" },
        { (start + 29400) * 60, 2, "preset ordinary -> peak" } };
    const std::array names { "courier-route", "return-receipt-intake" };
    for (std::uint32_t id = 1; id <= names.size(); ++id) {
        ServiceCounts service { .id = id, .name = names[id - 1] };
        for (std::uint64_t i = 0; i < minutesPerMonth; ++i) {
            bool isDay = i % 1440 > 420 && i % 1440 < 1140;
            MinuteCounts minute { .minute = start + i, .requests = isDay ? 600U : 60U, .flows = isDay ? 120U : 12U };
            std::uint64_t late = random() % 16 == 0 ? 1 : 0;
            minute.secondsWithRequests = minute.secondsWithAnswers = allSeconds;
            if (i >= 17881 && i < 17884) {
                late = 150;
                minute.broken = id == 1 ? 30 : 0;
                minute.secondsWithAnswers &= ~0x3ffULL;
            }
            if (id == 2 && i >= 29402 && i < 29445)
                late = 400;
            minute.inTime = minute.requests - std::min(late, minute.requests);
            service.minutes.push_back(minute);
        }
        counts.services.push_back(std::move(service));
    }
    return counts;
}

const ObjectiveBurn& inTime(const BurnReport& report) { return report.services.at(0).objectives.at(0); }

/** Counts of one service that are the same in every minute. */
BurnCounts steady(std::uint64_t minutes, std::uint64_t requests, std::uint64_t late)
{
    BurnCounts counts { .sources = { { "a", start * 60 } }, .from = start, .until = start + minutes };
    ServiceCounts service { .id = 1, .name = "a", .objectives = { .inTimeRatio = 0.99 } };
    for (std::uint64_t i = 0; i < minutes; ++i)
        service.minutes.push_back({ .minute = start + i, .requests = requests, .inTime = requests - late });
    counts.services.push_back(service);
    return counts;
}

}

TEST_CASE("The burn report of one service", "[burn]")
{
    SECTION("shows a spent budget and a burn rate of 1 in every window if exactly the allowed share is late")
    {
        BurnReport report = computeBurn(steady(1440, 100, 1), minutesPerMonth);
        CHECK(inTime(report).spent == Approx(1));
        CHECK(inTime(report).allowed == Approx(1440));
        REQUIRE(inTime(report).windows.size() == 3);
        for (const auto& window : inTime(report).windows)
            CHECK(window.rate == Approx(1));
        CHECK(inTime(report).episodes.empty());
        CHECK(inTime(report).remaining.back() == Approx(0).margin(1e-9));
    }
    SECTION("lists the minutes that spent the budget and the event of that time, but no unrelated events")
    {
        BurnCounts counts = steady(1440, 100, 0);
        for (std::uint64_t i = 700; i < 710; ++i)
            counts.services[0].minutes[i].inTime = 40;
        counts.events = { { (start + 698) * 60, 0, "d1 taken out" }, { (start + 698) * 60, 2, "of another service" },
            { (start + 600) * 60, 0, "long before" } };
        const ObjectiveBurn burn = inTime(computeBurn(counts, minutesPerMonth));
        REQUIRE(burn.episodes.size() == 1);
        CHECK(burn.episodes[0].from == start + 700);
        CHECK(burn.episodes[0].until == start + 710);
        CHECK(burn.episodes[0].share == Approx(1));
        CHECK(burn.episodes[0].events == std::vector<std::string> { "d1 taken out" });
        CHECK(burn.windows[0].rate == Approx(0));
    }
    SECTION("leaves out minutes before its period, and handles a period without traffic")
    {
        CHECK(inTime(computeBurn(steady(1440, 100, 1), 60)).allowed == Approx(60));
        CHECK(inTime(computeBurn(steady(10, 0, 0), 60)).spent == Approx(0));
        CHECK(computeBurn({}, 60).services.empty());
    }
    SECTION("counts each miss as one full budget if none is allowed")
    {
        BurnCounts counts = steady(60, 100, 1);
        counts.services[0].objectives.inTimeRatio = 1;
        CHECK(inTime(computeBurn(counts, 60)).spent == Approx(60));
    }
}

TEST_CASE("Counts of several processes", "[burn]")
{
    SECTION("are summed, and a second is available if one of them answered a request that arrived in it")
    {
        BurnLog first(start * 60, 100);
        BurnLog second(start * 60, 100);
        ServiceConfig service { .id = ServiceId(1), .name = "a" };
        first.recordRequest(ServiceId(1), start * 60 + 5, false, false);
        first.recordRequest(ServiceId(1), start * 60 + 6, false, false);
        second.recordRequest(ServiceId(1), start * 60 + 5, true, true);
        second.recordFlow(ServiceId(1), start * 60 + 7, true);
        for (BurnLog* log : { &first, &second })
            log->recordEvent({ start * 60, 0, "d1 taken out" });
        BurnCounts sum = merged(
            { first.counts("p1", start * 60 + 50, { &service }), second.counts("p2", start * 60 + 50, { &service }) });
        REQUIRE(sum.services.size() == 1);
        const MinuteCounts& minute = sum.services[0].minutes.at(0);
        CHECK(minute.requests == 3);
        CHECK(minute.unavailableSeconds() == 1);
        CHECK(minute.broken == 1);
        CHECK(sum.sources.size() == 2);
        CHECK(sum.events.size() == 1);
    }
    SECTION("stay bounded: the oldest minutes are discarded, and the start of counting moves with them")
    {
        BurnLog log(start * 60, 10);
        ServiceConfig service { .id = ServiceId(1), .name = "a" };
        for (std::uint64_t i = 0; i < 25; ++i)
            log.recordRequest(ServiceId(1), (start + i) * 60, true, true);
        log.recordRequest(ServiceId(1), start * 60, true, true);
        BurnCounts counts = log.counts("p", (start + 25) * 60, { &service });
        CHECK(counts.services.at(0).minutes.size() == 10);
        CHECK(counts.sources.at(0).since == (start + 15) * 60);
    }
    SECTION("survive conversion to JSON and back, and invalid JSON is rejected")
    {
        BurnCounts counts = monthOfCounts("p", 1);
        BurnCounts read;
        REQUIRE(parseBurnCounts(toJson(counts), read).empty());
        CHECK(toJson(read) == toJson(counts));
        CHECK_FALSE(parseBurnCounts("{}", read).empty());
        CHECK_FALSE(parseBurnCounts(R"({"sources":[],"from":1,"until":2,"events":[],
            "services":[{"minutes":[[1,2]]}]})",
            read)
                        .empty());
    }
}

TEST_CASE("The burn command reports a month from the files of two processes as text and HTML", "[burn]")
{
    auto directory = std::filesystem::temp_directory_path() / ("burn-test-" + std::to_string(::getpid()));
    std::filesystem::create_directories(directory);
    std::vector<std::string> files;
    for (unsigned process = 1; process <= 2; ++process) {
        files.push_back((directory / (std::to_string(process) + ".json")).string());
        std::ofstream(files.back()) << toJson(monthOfCounts("agent 10.0.0." + std::to_string(process), process));
    }
    std::string page = (directory / "burn.html").string();
    std::ostringstream out;
    std::ostringstream err;
    CHECK(runCtl({ "burn", files[0], files[1], "--html", page }, { out, err }) == ctlWarnings);
    std::string text = out.str();
    CHECK(text.find("courier-route (service 1)") != std::string::npos);
    CHECK(text.find("failure domain sofia-2 taken out") != std::string::npos);
    CHECK(text.find("agent 10.0.0.2 since 2026-06-") != std::string::npos);
    std::ifstream file(page);
    std::string html(std::istreambuf_iterator<char>(file), {});
    CHECK(html.find("<svg") != std::string::npos);
    CHECK(html.find("http") == std::string::npos);
    std::filesystem::remove_all(directory);
}

TEST_CASE("Names on the burn page are escaped so that they cannot add markup", "[burn]")
{
    BurnCounts counts = steady(60, 100, 1);
    counts.services[0].name = "<script>";
    CHECK(toHtml(computeBurn(counts, 60)).find("<script>") == std::string::npos);
}

// Writes sample counts from which the report can be viewed: hawthorncroft-tests "[.burn-sample]"
TEST_CASE("Sample counts of a month", "[.burn-sample]")
{
    std::ofstream("burn-sample.json") << toJson(monthOfCounts("agent 10.0.0.1:7001", 1));
}
