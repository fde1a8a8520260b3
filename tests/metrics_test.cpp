#include "metrics_base.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

using namespace hawthorncroft;

TEST_CASE("Metrics of a thread", "[metrics]")
{
    Metrics metrics;
    metrics.add(Counter::Opens, 3);
    for (int i = 1; i <= 1000; ++i)
        metrics.record(Distribution::Latency, i * 100);
    metrics.record(Distribution::Hops, 0);
    metrics.record(Distribution::Hops, 1);
    metrics.record(Distribution::QueueDepth, 1e9);

    SECTION("yield quantiles that are accurate to the width of a bin")
    {
        CHECK(metrics.quantile(Distribution::Latency, 0.5) == Approx(50000).epsilon(0.2));
        CHECK(metrics.quantile(Distribution::Latency, 0.99) == Approx(99000).epsilon(0.2));
        CHECK(metrics.quantile(Distribution::Hops, 0.5) == 1);
        CHECK(metrics.quantile(Distribution::QueueDepth, 0.5) == Approx(65536));
        CHECK(metrics.quantile(Distribution::Decision, 0.5) == 0);
    }

    SECTION("are merged with those of another process without losing a count")
    {
        Metrics other;
        REQUIRE(Metrics::parse(metrics.json(), other));
        CHECK(other.json() == metrics.json());
        other.merge(metrics);
        CHECK(other.count(Counter::Opens) == 6);
        CHECK(other.count(Distribution::Latency) == 2000);
        CHECK(other.count(Distribution::Hops) == 4);
        CHECK(other.quantile(Distribution::Latency, 0.9) == metrics.quantile(Distribution::Latency, 0.9));
    }

    SECTION("of another process are rejected as a whole if any part of the text is invalid")
    {
        Metrics other;
        for (const char* text : { "", "[]", R"({"counters":{}})", R"({"counters":{"opens":-1},"histograms":{}})",
                 R"({"counters":{},"histograms":{"hops":{"bins":[[99,1]]}}})",
                 R"({"counters":{"opens":1},"histograms":{"hops":{"bins":[[0]]}}})" }) {
            INFO(text);
            CHECK_FALSE(Metrics::parse(text, other));
        }
        CHECK(other.count(Counter::Opens) == 0);
        CHECK(Metrics::parse(R"({"counters":{"opens":2,"later":1},"histograms":{}})", other));
        CHECK(other.count(Counter::Opens) == 2);
    }

    SECTION("are printed one per line, each counter with a name")
    {
        CHECK(metrics.text().find("\nopens 3\n") != std::string::npos);
        CHECK(metrics.text().find("\nhops count=2 ") != std::string::npos);
        for (std::size_t i = 0; i < static_cast<std::size_t>(Counter::End); ++i)
            CHECK_FALSE(nameOf(static_cast<Counter>(i)).empty());
    }
}

TEST_CASE("Metrics are published to the thread that reads them", "[metrics]")
{
    MetricsChannel channel;
    CHECK(channel.latest().count(Counter::Opens) == 0);

    SECTION("and copies are dropped without blocking while the reader does not read")
    {
        Metrics metrics;
        int published = 0;
        for (int i = 0; i < 100; ++i) {
            metrics.add(Counter::Opens);
            published += channel.publish(metrics);
        }
        CHECK(published <= 4);
        CHECK(channel.latest().count(Counter::Opens) == static_cast<std::uint64_t>(published));
        CHECK(channel.publish(metrics));
        CHECK(channel.latest().count(Counter::Opens) == 100);
    }

    SECTION("and each copy is consistent while the owner keeps counting, which guards against torn reads")
    {
        std::atomic<bool> stop { false };
        std::thread owner([&] {
            Metrics metrics;
            while (!stop) {
                metrics.add(Counter::DatagramsIn);
                metrics.add(Counter::DatagramsOut);
                channel.publish(metrics);
            }
        });
        std::uint64_t last = 0;
        bool isConsistent = true;
        auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (last < 500 && std::chrono::steady_clock::now() < end) {
            const Metrics& seen = channel.latest();
            isConsistent = isConsistent && seen.count(Counter::DatagramsIn) == seen.count(Counter::DatagramsOut);
            isConsistent = isConsistent && seen.count(Counter::DatagramsIn) >= last;
            last = seen.count(Counter::DatagramsIn);
        }
        stop = true;
        owner.join();
        CHECK(isConsistent);
        CHECK(last >= 500);
    }
}
