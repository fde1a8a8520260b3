#include "config_diff.h"
#include "config_func.h"
#include "ctl_func.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace hawthorncroft;

namespace {

/** Temporary directory with documents, removed by the destructor. */
class Documents {
public:
    Documents()
        : m_directory(std::filesystem::temp_directory_path() / ("ctl-test-" + std::to_string(::getpid())))
    {
        for (const char* kind : { "services", "targets" })
            std::filesystem::create_directories(m_directory / kind);
    }
    ~Documents() { std::filesystem::remove_all(m_directory); }
    Documents(const Documents&) = delete;
    Documents& operator=(const Documents&) = delete;

    std::string write(const std::string& name, const std::string& text)
    {
        std::ofstream(m_directory / name) << text;
        return (m_directory / name).string();
    }

private:
    std::filesystem::path m_directory;
};

/** Exit status and output of one command. */
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

const std::string targetsText = R"({"targets":[
    {"id":1,"service":1,"vm":"v1","failureDomain":"d1","agent":"10.0.0.1:1","slots":5,"connections":9},
    {"id":2,"service":1,"vm":"v2","failureDomain":"d2","agent":"10.0.0.2:1","slots":5,"connections":9}]})";

std::string operationsWithout(const std::string& domains)
{
    return R"({"presets":{"ordinary":{},"peak":{"slotPercent":80}},"inForce":"ordinary","domainsOut":[)" + domains
        + "]}";
}

std::vector<std::string> effectsOf(const std::string& key, const std::string& before, const std::string& after)
{
    std::vector<std::string> lines;
    for (const auto& change :
        describeChanges(*parseDocument(key, before).document, *parseDocument(key, after).document))
        lines.push_back(change.subject + ": " + change.effect);
    return lines;
}

}

TEST_CASE("An operator checks documents before publishing them", "[ctl]")
{
    Documents documents;
    auto services = documents.write("services/sofia.json", R"({"services":[{"id":1,"name":"courier-route"}]})");
    auto targets = documents.write("targets/sofia.json", targetsText);

    SECTION("valid documents are accepted, with the key taken from the path")
    {
        Run run({ "check", services, targets });
        CHECK(run.status == ctlOk);
        CHECK(run.outputContains("services/sofia: accepted."));
        CHECK(run.outputContains("targets/sofia: accepted."));
    }
    SECTION("a refused document and a missing file end with status 2")
    {
        CHECK(Run({ "check", documents.write("operations.json", R"({"presets":{},"inForce":"x"})") }).status
            == ctlRefused);
        CHECK(Run({ "check", services + ".missing" }).status == ctlRefused);
        CHECK(Run({ "check", documents.write("keys.json", "") }).status == ctlRefused);
        CHECK(Run({ "check", services, services }).status == ctlRefused);
    }
    SECTION("a spelling that resolves to two services of different documents is a warning")
    {
        auto other = documents.write(
            "services/other.json", R"({"services":[{"id":2,"name":"return-receipt","spellings":["courier-route"]}]})");
        Run run({ "check", services, other });
        CHECK(run.status == ctlWarnings);
        CHECK(run.outputContains("leads to two services"));
    }
    SECTION("a spelling one edit away from another service's name is a warning")
    {
        auto other = documents.write(
            "services/other.json", R"({"services":[{"id":2,"name":"return-receipt","spellings":["curier-route"]}]})");
        Run run({ "check", services, other });
        CHECK(run.status == ctlWarnings);
        CHECK(run.outputContains("one edit away from courier-route"));
    }
    SECTION("an id used by two services is a warning, because callers of one would reach the other")
    {
        auto other = documents.write("services/other.json", R"({"services":[{"id":1,"name":"return-receipt"}]})");
        CHECK(Run({ "check", services, other }).outputContains("is also the id of courier-route"));
    }
    SECTION("taking a failure domain out of service warns if the remaining domains lack capacity")
    {
        auto oneOut = documents.write("operations.json", operationsWithout(R"("d1")"));
        CHECK(Run({ "check", services, targets, oneOut, "--load", "50" }).status == ctlOk);
        Run tooMuch({ "check", services, targets, oneOut, "--load", "60" });
        CHECK(tooMuch.status == ctlWarnings);
        CHECK(tooMuch.outputContains("it needs 6 slots, but preset ordinary offers 5"));
        auto allOut = documents.write("operations.json", operationsWithout(R"("d1","d2")"));
        CHECK(Run({ "check", services, targets, allOut }).outputContains("no failure domain that serves it is left"));
    }
    SECTION("--json prints the result as JSON")
    {
        Run run({ "check", "--json", services });
        CHECK(run.out.str()
            == "{\"accepted\":true,\"documents\":[{\"key\":\"services/sofia\",\"accepted\":true}],\"faults\":[]}\n");
    }
}

TEST_CASE("diff describes what a change means for callers", "[ctl]")
{
    SECTION("names that are added, removed or moved to another service")
    {
        auto lines
            = effectsOf("services/a", R"({"services":[{"id":1,"name":"a","spellings":["x","y"]},{"id":2,"name":"b"}]})",
                R"({"services":[{"id":1,"name":"a","spellings":["z"]},{"id":2,"name":"b","spellings":["y"]}]})");
        CHECK(lines
            == std::vector<std::string> { "name x: is refused; it reached a (service 1)",
                "name y: reaches b (service 2) instead of a (service 1)",
                "name z: reaches a (service 1); this document refused it before" });
    }
    SECTION("targets that are removed or change their slots")
    {
        auto lines = effectsOf("targets/a", targetsText, R"({"targets":[{"id":2,"service":1,"vm":"v2",
            "failureDomain":"d2","agent":"10.0.0.2:1","slots":8,"connections":9}]})");
        REQUIRE(lines.size() == 3);
        CHECK(lines[0] == "target 1: is removed from service 1 on VM v1 in d1; no new flow goes to it");
        CHECK(lines[2] == "service 1: slots in this document 10 -> 8");
    }
    SECTION("a preset put in force and a failure domain that returns")
    {
        auto lines = effectsOf("operations", operationsWithout(R"("d1")"),
            R"({"presets":{"ordinary":{},"peak":{"slotPercent":80}},"inForce":"peak"})");
        CHECK(lines
            == std::vector<std::string> { "preset in force: ordinary -> peak; slotPercent 100 -> 80",
                "failure domain d1: returns to service; its targets start cold" });
    }
    SECTION("keys that are no longer accepted")
    {
        auto lines = effectsOf("keys", R"({"signing":1,"accepted":[1,2]})", R"({"signing":2,"accepted":[2]})");
        CHECK(lines.size() == 2);
    }
    SECTION("on the command line")
    {
        Documents documents;
        auto before = documents.write("before.json", operationsWithout(""));
        auto after = documents.write("after.json", operationsWithout(R"("d1")"));
        CHECK(Run({ "diff", before, after }).outputContains("failure domain d1: is taken out of service"));
        CHECK(Run({ "diff", before, before }).outputContains("Nothing changes for callers."));
        CHECK(Run({ "diff", before }).status == ctlRefused);
    }
}

TEST_CASE("Help and version are printed and invalid arguments are refused", "[ctl]")
{
    CHECK(Run({ "version" }).outputContains("hawthorncroft 0."));
    CHECK(Run({ "check", "--help" }).outputContains("--load"));
    CHECK(Run({ "--help" }).outputContains("check"));
    CHECK(Run(CtlArguments { "chek" }).status == ctlRefused);
    CHECK(Run(CtlArguments {}).status == ctlRefused);
    CHECK(Run({ "check", "--lod", "5" }).status == ctlRefused);
}

TEST_CASE("explain --log finds the logged decisions about a request", "[ctl]")
{
    Documents files;
    // Output of a log collector, which prefixes the time and the VM, with lines of other flows and a truncated line.
    std::string log = files.write("run.log",
        R"(  9.9000 e1 {"t_us":5,"part":"balancer","vm":"e1","event":"open_placed","flow":"100.64.0.1:1000","to":"198.18.0.1:443","agent":"10.0.0.9:7000"}
  10.1000 s1 {"t_us":9,"part":"agent","vm":"s1","event":"request_started","request":"ab","flow":"100.64.0.1:1000","to":"198.18.0.1:443"}
  10.2000 e2 {"t_us":1,"part":"balancer","vm":"e2","event":"flow_lost","flow":"100.64.0.1:1000","to":"198.18.0.1:443","asked":3}
  10.0000 e1 {"t_us":5,"part":"balancer","vm":"e1","event":"open_placed","flow":"100.64.0.2:1000","to":"198.18.0.1:443"}
  10.3000 e1 {"t_us":5,"part":"bala
)");

    SECTION("the lines are printed in order of time, with the cause at the end")
    {
        Run run({ "explain", "--log", log, "--request", "ab" });
        CHECK(run.status == ctlOk);
        CHECK(run.out.str().find("open_placed") < run.out.str().find("request_started"));
        CHECK(run.outputContains("cause: no agent's target holds the flow"));
        CHECK_FALSE(run.outputContains("100.64.0.2"));
    }
    SECTION("a flow whose request no target received is found by the address of the caller")
    {
        Run run({ "explain", "--log", log, "--flow", "100.64.0.2:1000" });
        CHECK(run.outputContains("cause: the opening packet was sent to an agent that never answered"));
    }
    SECTION("only the given request of a flow with several requests is explained")
    {
        std::string later = files.write("later.log",
            R"(1.0 s1 {"t_us":9,"vm":"s1","event":"request_answered","request":"ab","flow":"1.0.0.1:1","to":"2.0.0.1:1"}
2.0 s1 {"t_us":9,"vm":"s1","event":"request_expired","request":"cd","flow":"1.0.0.1:1","to":"2.0.0.1:1"}
)");
        CHECK(Run({ "explain", "--log", later, "--request", "ab" }).outputContains("cause: the target answered"));
        CHECK(Run({ "explain", "--log", later, "--request", "cd" })
                  .outputContains("cause: the request waited for a slot"));
        std::string reset = files.write("reset.log",
            R"(1.0 s1 {"t_us":9,"vm":"s1","event":"request_started","request":"ef","flow":"1.0.0.2:1","to":"2.0.0.1:1"}
2.0 s1 {"t_us":9,"vm":"s1","event":"request_reset","request":"ef","flow":"1.0.0.2:1","to":"2.0.0.1:1"}
)");
        CHECK(Run({ "explain", "--log", reset, "--request", "ef" }).outputContains("cause: the target reset the flow"));
        std::string withheld = files.write("withheld.log",
            R"(1.0 f1 {"t_us":9,"vm":"f1","event":"open_declined","flow":"1.0.0.3:1","to":"2.0.0.1:1","reason":"full"}
2.0 f1 {"t_us":9,"vm":"f1","event":"refusal_withheld","flow":"1.0.0.3:1","to":"2.0.0.1:1","copy":1}
)");
        CHECK(Run({ "explain", "--log", withheld, "--flow", "1.0.0.3:1" })
                  .outputContains("cause: no agent took the flow, and it was not refused"));
    }
    SECTION("an unknown id gives status 1, missing arguments and unreadable files give status 2")
    {
        CHECK(Run({ "explain", "--log", log, "--request", "zz" }).status == ctlWarnings);
        CHECK(Run({ "explain", "--log", log }).status == ctlRefused);
        CHECK(Run({ "explain", "--log", "missing.log", "--request", "ab" }).status == ctlRefused);
    }
}
