/**
 * @file transit_demo_main.cpp
 * standin-transit-demo: runs balancers and agents for the platform as processes on loopback, with stand-ins for the
 * store, targets and callers. Meanwhile balancers and an agent are restarted, a target drains, a failure domain is
 * evacuated, and the store comes back from a copy. Exit status: 0 all promises kept, 1 a promise was broken, 2 wrong
 * command line or a process did not start.
 */
#include "demo_process.h"
#include "transit_demo_world.h"

#include <boost/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

using namespace hawthorncroft;

namespace {

constexpr std::uint32_t balancerBase = 0x7f000100; ///< 127.0.1.x
constexpr std::uint32_t agentBase = 0x7f000200; ///< 127.0.2.x
constexpr std::uint32_t callerBase = 0x7f000300; ///< 127.0.3.x
constexpr Endpoint storeEndpoint { 0x7f000401, 21169 };
constexpr Endpoint feedAddress { 0xc6120001, 443 };
constexpr Endpoint confirmAddress { 0xc6120001, 8443 };
constexpr std::uint32_t balancerCount = 3;
constexpr std::uint32_t agentCount = 5; ///< The target of the last one runs another service.
constexpr std::uint32_t callerCount = 24;
constexpr std::size_t requestsPerFeed = 1000000;
constexpr double minAnsweredShare = 0.99; ///< Share of requests that must be answered.
constexpr double maxLateShare = 0.05; ///< Share of requests that may be answered after more than 500 ms.
constexpr std::size_t maxCallsAfterReturn = 100; ///< Calls to the store in the 7 s after it came back from a copy.
constexpr std::chrono::seconds drainLimit { 3 }; ///< Afterwards a draining target must get no new flow.

std::string domainOf(std::uint32_t agent) { return agent % 2 ? "zone-a" : "zone-b"; }

/** Runs the processes and stand-ins and their scheduled events, then checks the promises. */
class Demo {
public:
    Demo(const std::string& programs, std::string workDirectory)
        : m_workDirectory(std::move(workDirectory))
        , m_processes(programs, m_workDirectory)
        , m_store(m_context, storeEndpoint)
    {
    }

    int run()
    {
        std::string error = startAll();
        if (!error.empty()) {
            std::cerr << "standin-transit-demo: " << error << "\n";
            return 2;
        }
        scheduleEvents();
        m_context.run();
        return checkPromises();
    }

private:
    std::string startAll()
    {
        std::string error = m_store.start();
        writeConfiguration();
        for (std::uint32_t i = 1; i <= agentCount && error.empty(); ++i) {
            m_targets.push_back(
                std::make_unique<DemoTarget>(m_context, agentBase + i, m_ports, i == agentCount ? "other" : "web"));
            error = m_targets.back()->start();
            registerTarget(i, "ready");
        }
        for (std::uint32_t i = 1; i <= balancerCount && error.empty(); ++i)
            error = startBalancer(i);
        for (std::uint32_t i = 1; i <= agentCount && error.empty(); ++i)
            error = startAgent(i);
        return error;
    }

    /** Writes the configuration with the next version. */
    void writeNextConfiguration()
    {
        ++m_configurationVersion;
        writeConfiguration();
    }

    void writeConfiguration()
    {
        auto route = [](Endpoint address, const char* kind) {
            std::string host = toString(address).substr(0, toString(address).find(':'));
            return boost::json::object { { "Name", "r" }, { "Host", host },
                { "Prefix", "/" + std::to_string(address.port) + "/" }, { "Kind", kind }, { "TimeoutMs", 2000 },
                { "TargetLatencyMs", 150 }, { "Priority", 1 }, { "Service", "web" } };
        };
        auto service = [](const char* name) {
            return boost::json::object { { "Name", name }, { "MaxConns", 2000 }, { "WarmupS", 2.0 },
                { "WarmupPerS", 0.0 } };
        };
        m_store.put("op/config",
            boost::json::serialize(boost::json::object { { "Version", m_configurationVersion },
                { "Routes", boost::json::array { route(feedAddress, "safe"), route(confirmAddress, "unsafe") } },
                { "Services", boost::json::array { service("web"), service("other") } } }));
    }

    void registerTarget(std::uint32_t agent, const char* state)
    {
        m_store.put("servers/t" + std::to_string(agent),
            boost::json::serialize(boost::json::object { { "Service", agent == agentCount ? "other" : "web" },
                { "Addr", toString({ agentBase + agent, m_ports.target }) }, { "Zone", domainOf(agent) },
                { "Version", "v1" }, { "MaxConcurrency", 4 }, { "State", state }, { "WarmupLeftMs", 0 },
                { "Seq", ++m_registrations }, { "born", 1000 + agent } }));
    }

    boost::json::object settings(const std::string& vm, std::uint32_t address, const std::string& domain) const
    {
        boost::json::array seeds;
        for (std::uint32_t i = 1; i <= balancerCount; ++i)
            seeds.emplace_back(toString({ balancerBase + i, m_ports.fleet }));
        return { { "vm", vm }, { "failureDomain", domain }, { "data", toString({ address, m_ports.data }) },
            { "status", toString({ address, m_ports.status }) }, { "fleetPort", m_ports.fleet },
            { "store", toString(storeEndpoint) }, { "seeds", seeds }, { "isFirstStart", false } };
    }

    std::string startProcess(const std::string& name, const std::string& program, const boost::json::object& values)
    {
        std::string file = m_workDirectory + "/" + name + ".json";
        std::ofstream(file) << boost::json::serialize(values);
        return m_processes.start(name, program, { "--settings", file });
    }

    std::string startBalancer(std::uint32_t i)
    {
        auto values = settings("balancer-" + std::to_string(i), balancerBase + i, i % 2 ? "zone-a" : "zone-b");
        values["packets"] = toString({ balancerBase + i, m_ports.data });
        values["linkMbps"] = 1000;
        values["graceSeconds"] = 6;
        return startProcess("balancer-" + std::to_string(i), "hawthorncroft-platform-balancer", values);
    }

    std::string startAgent(std::uint32_t i)
    {
        auto values = settings("agent-" + std::to_string(i), agentBase + i, domainOf(i));
        values["packets"] = toString({ agentBase + i, m_ports.outbound });
        values["target"] = toString({ agentBase + i, m_ports.target });
        values["service"] = i == agentCount ? "other" : "web";
        values["warmupExcess"] = 1.5;
        values["warmupSlack"] = 5;
        return startProcess("agent-" + std::to_string(i), "hawthorncroft-platform-agent", values);
    }

    /** Stands in for the routers: rendezvous hashing of the flow over the balancers in rotation. */
    Endpoint balancerFor(const FlowTuple& flow) const
    {
        std::uint32_t best = 1;
        std::uint64_t bestHash = 0;
        for (std::uint32_t i = 1; i <= balancerCount; ++i) {
            std::uint64_t hash = mix64(hashOf(flow), i);
            if (!m_outOfRotation.contains(i) && hash > bestHash) {
                best = i;
                bestHash = hash;
            }
        }
        return { balancerBase + best, m_ports.data };
    }

    void schedule(double seconds, const std::string& description, std::function<void()> action)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(
            m_context, std::chrono::milliseconds(static_cast<int>(seconds * 1000)));
        timer->async_wait([timer, description, action = std::move(action)](boost::system::error_code) {
            std::cout << description << std::endl;
            action();
        });
    }

    void scheduleEvents()
    {
        schedule(1.5, "callers start", [this] { startCallers(); });
        schedule(4.0, "balancer 1 gets SIGTERM", [this] { m_processes.signal("balancer-1", SIGTERM); });
        schedule(5.0, "the routers stop using balancer 1", [this] { m_outOfRotation.insert(1); });
        schedule(8.0, "balancer 1 starts again", [this] { startBalancer(1); });
        schedule(8.7, "the routers use balancer 1 again", [this] { m_outOfRotation.erase(1); });
        schedule(10.0, "balancer 2 is killed", [this] {
            m_processes.signal("balancer-2", SIGKILL);
            m_outOfRotation.insert(2);
        });
        schedule(11.0, "balancer 2 starts again", [this] { startBalancer(2); });
        schedule(11.7, "the routers use balancer 2 again", [this] { m_outOfRotation.erase(2); });
        schedule(13.0, "target 1 drains", [this] { registerTarget(1, "draining"); });
        schedule(13.0 + drainLimit.count(), "target 1 must get no new flow from now on",
            [this] { m_drainedOpensAtLimit = target(1).opened(); });
        schedule(14.0, "zone-b is evacuated", [this] { m_store.put("op/evacuate/zone-b", "{}"); });
        schedule(
            17.0, "zone-b must get no new flow from now on", [this] { m_evacuatedOpensAtLimit = openedIn("zone-b"); });
        schedule(20.0, "the evacuation of zone-b ends and target 1 is ready again", [this] {
            m_evacuatedOpensAtReturn = openedIn("zone-b");
            m_drainedOpensAtReturn = target(1).opened();
            m_store.remove("op/evacuate/zone-b");
            registerTarget(1, "ready");
        });
        schedule(22.0, "agent 3 is killed while its target runs", [this] { m_processes.signal("agent-3", SIGKILL); });
        schedule(22.3, "agent 3 starts again", [this] { startAgent(3); });
        scheduleDrill();
        schedule(34.0, "callers stop", [this] {
            for (auto& caller : m_callers)
                caller->stop();
        });
        schedule(35.0, "demo ends", [this] { m_context.stop(); });
    }

    /** The store comes back from a copy that lacks five configurations. */
    void scheduleDrill()
    {
        schedule(24.0, "a copy of the store is made", [this] { m_store.makeCopy(); });
        for (int i = 1; i <= 5; ++i)
            schedule(24.0 + 0.4 * i, "the configuration changes", [this] { writeNextConfiguration(); });
        schedule(26.5, "the store is away", [this] { m_store.goAway(); });
        schedule(27.0, "the store comes back from the copy", [this] {
            m_store.comeBackFromCopy();
            m_callsAtReturn = m_store.calls();
        });
        schedule(27.3, "the last configuration is written again", [this] { writeConfiguration(); });
        schedule(28.0, "zone-b is evacuated again", [this] { m_store.put("op/evacuate/zone-b", "{}"); });
        schedule(31.0, "zone-b must get no new flow from now on", [this] { m_drillOpensAtLimit = openedIn("zone-b"); });
        schedule(33.9, "the evacuation is checked", [this] {
            m_drillOpensAtEnd = openedIn("zone-b");
            m_callsAfterReturn = m_store.calls() - m_callsAtReturn;
        });
    }

    void startCallers()
    {
        for (std::uint32_t i = 1; i <= callerCount; ++i) {
            bool isFeed = i % 2;
            m_callers.push_back(
                std::make_unique<DemoCaller>(m_context, callerBase + i, m_ports, isFeed ? feedAddress : confirmAddress,
                    isFeed ? requestsPerFeed : 1, [this](const FlowTuple& flow) { return balancerFor(flow); }));
            std::string error = m_callers.back()->start();
            if (!error.empty())
                std::cerr << "standin-transit-demo: caller: " << error << "\n";
        }
    }

    DemoTarget& target(std::uint32_t agent) { return *m_targets[agent - 1]; }

    std::size_t openedIn(const std::string& domain)
    {
        std::size_t count = 0;
        for (std::uint32_t i = 1; i < agentCount; ++i)
            count += domainOf(i) == domain ? target(i).opened() : 0;
        return count;
    }

    /** Prints the result of one promise. @return isKept. */
    static bool printPromise(const std::string& promise, bool isKept, const std::string& figures)
    {
        std::cout << (isKept ? "kept    " : "BROKEN  ") << promise << ": " << figures << "\n";
        return isKept;
    }

    int checkPromises()
    {
        std::size_t requested = 0;
        std::size_t answered = 0;
        std::size_t late = 0;
        std::size_t feedResets = 0;
        for (std::size_t i = 0; i < m_callers.size(); ++i) {
            requested += m_callers[i]->requested();
            answered += m_callers[i]->answered();
            late += m_callers[i]->late();
            feedResets += i % 2 ? 0 : m_callers[i]->resets();
        }
        auto count = [](std::size_t n) { return std::to_string(n); };
        bool isKept = printPromise("requests are answered",
            requested > 1000 && static_cast<double>(answered) >= minAnsweredShare * static_cast<double>(requested),
            count(answered) + " of " + count(requested));
        isKept &= printPromise(
            "few are late", static_cast<double>(late) <= maxLateShare * static_cast<double>(requested), count(late));
        isKept &= printPromise("no open feed is reset", feedResets == 0, count(feedResets));
        isKept &= printPromise(
            "no packet reaches another service", target(agentCount).opened() == 0, count(target(agentCount).opened()));
        isKept &= printPromise("a draining target gets nothing new after 3 s",
            m_drainedOpensAtReturn == m_drainedOpensAtLimit, count(m_drainedOpensAtReturn - m_drainedOpensAtLimit));
        isKept &= printPromise("an emptied failure domain gets nothing new after 3 s",
            m_evacuatedOpensAtReturn == m_evacuatedOpensAtLimit,
            count(m_evacuatedOpensAtReturn - m_evacuatedOpensAtLimit));
        isKept &= printPromise("so does one that is emptied after the store came back from a copy",
            m_drillOpensAtEnd == m_drillOpensAtLimit, count(m_drillOpensAtEnd - m_drillOpensAtLimit));
        isKept &= printPromise("the store is not read in a loop then", m_callsAfterReturn < maxCallsAfterReturn,
            count(m_callsAfterReturn) + " calls");
        auto ends = m_processes.unexpectedEnds();
        isKept &= printPromise("no process ends by itself", ends.empty(), count(ends.size()));
        std::cout << m_store.calls() << " calls to the store\n"
                  << (isKept ? "All promises were kept.\n" : "A promise was broken.\n");
        return isKept ? 0 : 1;
    }

    boost::asio::io_context m_context;
    std::string m_workDirectory;
    DemoProcesses m_processes;
    DemoPorts m_ports;
    DemoStore m_store;
    int m_registrations {}; ///< Registrations written so far.
    std::vector<std::unique_ptr<DemoTarget>> m_targets;
    std::vector<std::unique_ptr<DemoCaller>> m_callers;
    std::set<std::uint32_t> m_outOfRotation; ///< Numbers of balancers that the routers do not use.
    std::size_t m_drainedOpensAtLimit {};
    std::size_t m_drainedOpensAtReturn {};
    std::size_t m_evacuatedOpensAtLimit {};
    std::size_t m_evacuatedOpensAtReturn {};
    int m_configurationVersion { 1 };
    std::size_t m_callsAtReturn {};
    std::size_t m_callsAfterReturn {};
    std::size_t m_drillOpensAtLimit {};
    std::size_t m_drillOpensAtEnd {};
};

}

int main(int argc, char** argv)
{
    if (argc > 2 || (argc == 2 && std::string(argv[1]) == "--help")) {
        std::cout << "standin-transit-demo [DIRECTORY for log files]\n";
        return argc > 2 ? 2 : 0;
    }
    std::string workDirectory = argc == 2 ? argv[1] : "demo-run/platform";
    std::filesystem::create_directories(workDirectory);
    return Demo(std::filesystem::path(argv[0]).parent_path().string(), workDirectory).run();
}
