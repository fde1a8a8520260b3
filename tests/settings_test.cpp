#include "ring_type.h"
#include "settings_func.h"

#include <catch2/catch.hpp>

using namespace hawthorncroft;
namespace leaf = boost::leaf;

namespace {

const std::string validText = R"({"vm": "entry-1", "failureDomain": "sofia-a", "front": "127.0.0.1:7000",
    "data": "127.0.0.1:7001", "control": "127.0.0.1:7002", "platform": "127.0.0.1:6000",
    "peers": ["127.0.0.1:7101"], "keys": [{"id": 1, "secret": "000102030405060708090a0b0c0d0e0f"}],
    "log": {"data": "warning"}})";

std::string validTextWith(const std::string& from, const std::string& to)
{
    std::string text = validText;
    return text.replace(text.find(from), from.size(), to);
}

std::vector<ConfigFault> faultsOf(const std::string& text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::vector<ConfigFault>> {
            BOOST_LEAF_CHECK(parseSettings(Program::Balancer, "entry.json", text));
            return std::vector<ConfigFault> {};
        },
        [](const SettingsError& error) { return error.faults; }, [] { return std::vector<ConfigFault> { {} }; });
}

}

TEST_CASE("Settings of a balancer", "[settings]")
{
    SECTION("are parsed completely")
    {
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(settings, parseSettings(Program::Balancer, "entry.json", validText));
                CHECK(settings.vm == "entry-1");
                CHECK(settings.front == Endpoint { 0x7f000001, 7000 });
                CHECK(settings.peers.size() == 1);
                REQUIRE(settings.keys.size() == 1);
                CHECK(settings.keys[0].secret[15] == 15);
                CHECK(settings.log.at("data") == "warning");
                return {};
            },
            [] { FAIL("valid settings were rejected"); });
    }
    SECTION("are rejected with file, key, value and allowed values, which guards against a process that starts with "
            "incomplete settings")
    {
        struct Case {
            const char* from;
            const char* to;
            const char* path;
        };
        for (const Case& c : { Case { "\"vm\"", "\"wm\"", "wm" }, Case { "127.0.0.1:7000", "127.0.0.1", "front" },
                 Case { "127.0.0.1:7000", "127.0.0.1:70000", "front" }, Case { "\"id\": 1", "\"id\": 0", "keys" },
                 Case { "0c0d0e0f", "0c0d0e0g", "keys" }, Case { "warning", "loud", "log" },
                 Case { "\"127.0.0.1:7002\"", "7002", "control" } }) {
            auto faults = faultsOf(validTextWith(c.from, c.to));
            REQUIRE_FALSE(faults.empty());
            CHECK(faults[0].path == c.path);
            CHECK(toString(faults[0]).find("entry.json") != std::string::npos);
            CHECK_FALSE(faults[0].allowed.empty());
        }
    }
    SECTION("are rejected with all faults at once")
    {
        CHECK(faultsOf("{}").size() == 7);
        CHECK(faultsOf("[1").size() == 1);
    }
    SECTION("are rejected when they contain a key for agents")
    {
        CHECK(faultsOf(validTextWith("\"log\"", "\"targetId\": 4, \"log\"")).size() == 1);
    }
}

TEST_CASE("A ring between two threads", "[ring]")
{
    int wakes = 0;
    Ring<int> ring(2, [&] { ++wakes; });
    SECTION("drops and counts items when full, which guards against a blocked producer")
    {
        CHECK(ring.push(1));
        CHECK(ring.push(2));
        CHECK_FALSE(ring.push(3));
        CHECK(ring.dropped() == 1);
        CHECK(wakes == 1);
        std::vector<int> items;
        ring.drain([&](int item) { items.push_back(item); });
        CHECK(items == std::vector<int> { 1, 2 });
        ring.push(4);
        CHECK(wakes == 2);
    }
}
