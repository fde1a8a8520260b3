#include "config_base.h"
#include "config_func.h"
#include "table/limits.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>

using namespace hawthorncroft;

namespace {

// RapidCheck reads its seed from the environment. A fixed seed makes failures reproducible.
[[maybe_unused]] const int seeded = setenv("RC_PARAMS", "seed=17", 0);

const std::string serviceText = R"({"services":[{"id":1,"name":"courier-route","addresses":["10.0.0.1"],
    "names":["route"],"spellings":["curier-route"],"objectives":{"inTimeMs":500,"inTimeRatio":0.99}}]})";

const std::string operationsText = R"({"presets":{"ordinary":{},"peak":{"slotPercent":90}},"inForce":"peak",
    "domainsOut":["d1"],"vmsOut":[]})";

std::vector<std::string> pathsOf(const CheckedDocument& checked)
{
    std::vector<std::string> paths;
    for (const auto& fault : checked.faults)
        paths.push_back(fault.path);
    return paths;
}

}

TEST_CASE("Documents are parsed and validated", "[config]")
{
    SECTION("a valid document is parsed into typed values and round-trips through JSON")
    {
        auto checked = parseDocument("services/sofia", serviceText);
        REQUIRE(checked.isAccepted());
        const auto& service = std::get<ServicesDocument>(*checked.document).services.at(0);
        CHECK(service.id == ServiceId(1));
        CHECK(service.spellings == std::vector<std::string> { "curier-route" });
        CHECK(service.objectives.inTimeMs == 500);
        auto again = parseDocument("services/sofia", toJson(*checked.document));
        REQUIRE(again.isAccepted());
        CHECK(toJson(*again.document) == toJson(*checked.document));
    }
    SECTION("all faults are reported at once, so that operators need not correct them one by one")
    {
        auto checked = parseDocument("targets/sofia",
            R"({"targets":[{"id":0,"service":1,"vm":"v","failureDomain":"d","agent":"nowhere","slots":"5","extra":1},
                {"id":7,"service":1,"vm":"v","failureDomain":"d","agent":"10.0.0.1:7","slots":5,"connections":9},
                {"id":7,"service":1,"vm":"v","failureDomain":"d","agent":"10.0.0.2:7","slots":5,"connections":9}]})");
        CHECK_FALSE(checked.isAccepted());
        CHECK(pathsOf(checked)
            == std::vector<std::string> { "targets[0].id", "targets[0].agent", "targets[0].slots",
                "targets[0].connections", "targets[0].extra", "targets[2].id" });
        CHECK(
            toString(checked.faults[0]) == "targets/sofia: targets[0].id: 0 is not allowed: expected 1 to 4294967295.");
    }
    SECTION("a name used by two services of the document is refused, since resolving it would be a guess")
    {
        auto checked = parseDocument(
            "services/a", R"({"services":[{"id":1,"name":"a","spellings":["c"]},{"id":2,"name":"b","names":["c"]}]})");
        CHECK(pathsOf(checked) == std::vector<std::string> { "services[1].names[0]" });
    }
    SECTION("the preset in force must exist, since the fleet would have no configured limits otherwise")
    {
        CHECK(parseDocument("operations", operationsText).isAccepted());
        auto checked = parseDocument("operations", R"({"presets":{"ordinary":{}},"inForce":"paek"})");
        REQUIRE(checked.faults.size() == 1);
        CHECK(toString(checked.faults[0]) == "operations: inForce: paek is not allowed: expected one of ordinary.");
    }
    SECTION("a repeated key is refused, since the parser would silently keep one of two presets")
    {
        auto checked
            = parseDocument("operations", R"({"presets":{"peak":{"slotPercent":50},"peak":{}},"inForce":"peak"})");
        CHECK(pathsOf(checked) == std::vector<std::string> { "peak" });
    }
    SECTION("the signing key must be an accepted key, since no process would accept its bindings otherwise")
    {
        CHECK(parseDocument("keys", R"({"signing":2,"accepted":[1,2]})").isAccepted());
        CHECK_FALSE(parseDocument("keys", R"({"signing":3,"accepted":[1,2]})").isAccepted());
    }
    SECTION("member role and endpoints are parsed")
    {
        const std::string text = R"({"members":[{"vm":"v1","failureDomain":"d1","role":"agent","data":"10.0.0.1:1",
            "control":"10.0.0.1:2","leaving":true}]})";
        auto checked = parseDocument("members/1", text);
        REQUIRE(checked.isAccepted());
        CHECK(std::get<MembersDocument>(*checked.document).members.at(0).role == Role::Agent);
        CHECK(parseDocument("members/1", toJson(*checked.document)).isAccepted());
    }
    SECTION("invalid keys, invalid JSON and oversized documents are refused; an empty text is a removal")
    {
        CHECK_FALSE(parseDocument("service/a", serviceText).isAccepted());
        CHECK_FALSE(parseDocument("services/", serviceText).isAccepted());
        CHECK_FALSE(parseDocument("services/a", serviceText.substr(1)).isAccepted());
        CHECK_FALSE(parseDocument("services/a", "[]").isAccepted());
        CHECK_FALSE(parseDocument("services/a", serviceText + std::string(maxDocumentBytes, ' ')).isAccepted());
        auto removed = parseDocument("services/a", "");
        REQUIRE(removed.isAccepted());
        CHECK(std::holds_alternative<RemovedDocument>(*removed.document));
    }
}

TEST_CASE("Two documents use the same id", "[config]")
{
    auto versioned = [](const std::string& key, std::uint64_t revision, const std::string& text) {
        return VersionedDocument { key, Revision(revision), text, parseDocument(key, text).document };
    };
    auto first = versioned("services/a", 1, R"({"services":[{"id":1,"name":"a"}]})");
    auto second = versioned("services/b", 2, R"({"services":[{"id":1,"name":"b"}]})");
    ConfigView view;
    view.apply(first);
    CHECK(view.resolve("a").service == ServiceId(1));

    SECTION("neither name of two services with the same id resolves, since targets cannot be assigned to one of them")
    {
        view.apply(second);
        CHECK_FALSE(view.resolve("a").service);
        CHECK_FALSE(view.resolve("b").service);
        SECTION("both names resolve after one of the documents is corrected")
        {
            view.apply(versioned("services/b", 3, R"({"services":[{"id":2,"name":"b"}]})"));
            CHECK(view.resolve("a").service == ServiceId(1));
            CHECK(view.resolve("b").service == ServiceId(2));
        }
    }
    SECTION("the document with the lower key takes precedence, regardless of the order of arrival")
    {
        auto text = [](const std::string& service) {
            return R"({"targets":[{"id":7,"service":)" + service
                + R"(,"vm":"v","failureDomain":"d","agent":"10.0.0.1:1","slots":5,"connections":9}]})";
        };
        auto low = versioned("targets/a", 3, text("1"));
        auto high = versioned("targets/b", 4, text("2"));
        ConfigView other;
        view.apply(low);
        view.apply(high);
        other.apply(high);
        other.apply(low);
        for (ConfigView* each : { &view, &other }) {
            CHECK(each->target(TargetId(7))->service == ServiceId(1));
            CHECK(each->ranksOf(ServiceId(1)).size() == 1);
            CHECK(each->ranksOf(ServiceId(2)).size() == 0);
            each->apply(versioned("targets/a", 5, ""));
            CHECK(each->target(TargetId(7))->service == ServiceId(2));
            CHECK(each->ranksOf(ServiceId(2)).size() == 1);
        }
    }
}

TEST_CASE("A mutated document does not crash the parser and is refused when it has a fault", "[config]")
{
    REQUIRE(rc::check("mutated documents", [] {
        std::string text = operationsText;
        auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        text[position] = *rc::gen::arbitrary<char>();
        auto checked = parseDocument("operations", text);
        RC_ASSERT(checked.isAccepted() == checked.faults.empty());
    }));
}

TEST_CASE("Edit distance counts insertions, deletions, substitutions and transpositions", "[config]")
{
    CHECK(editDistance("route", "route", 3) == 0);
    CHECK(editDistance("route", "roote", 3) == 1);
    CHECK(editDistance("route", "ruote", 3) == 1);
    CHECK(editDistance("route", "rout", 3) == 1);
    CHECK(editDistance("", "ab", 3) == 2);
    CHECK(editDistance("route", "intake", 3) == 3);
}
