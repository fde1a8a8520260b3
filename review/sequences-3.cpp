// Random sequences of restarts, outages of the store and cuts on simulated time: no open flow of a target that lives
// may be reset. For the findings in REPORT-3.md; not a case. Built against the project's test build in BUILD:
//   g++ -O2 -std=c++20 -w -Itests -Isrc -Iplatform -isystem src/generated review/sequences-3.cpp
//   tests/transit_sim.cpp \
//       BUILD/libhawthorncroft-transit.a BUILD/libhawthorncroft-core.a -lboost_json -lxxhash -lcrypto -o sequences
//   ./sequences 1 50 planned          number of the series, seconds, kind: planned, cuts, planned-nostore, cuts-nostore
//   ./sequences 1 1 planned 1000913   one sequence again
#include "table/transit_limits.h"
#include "transit_sim.h"
#include <chrono>
#include <iostream>
#include <random>
using namespace hawthorncroft;
using namespace hawthorncroft::tests;
FlowTuple flowN(std::uint32_t n) { return { { 0x64000000u + n % 7 + 1, (std::uint16_t)(20000 + n) }, routeAddress }; }
int main(int argc, char** argv)
{
    std::string mode = argv[3];
    auto until = std::chrono::steady_clock::now() + std::chrono::seconds(std::stoi(argv[2]));
    long runs = 0, failures = 0;
    std::uint64_t seed = std::stoull(argv[1]) * 1000000;
    if (argc > 4)
        seed = std::stoull(argv[4]);
    while (std::chrono::steady_clock::now() < until) {
        ++runs;
        std::mt19937_64 r(seed);
        std::vector<std::string> trace;
        auto below = [&](std::size_t n) { return r() % n; };
        TransitSim sim;
        std::vector<Endpoint> balancers, agents;
        const char* domains[] = { "a", "b", "c" };
        for (int i = 0; i < 5; ++i)
            balancers.push_back(sim.addBalancer(1 + i, domains[i % 3]));
        int n = below(2) ? 6 : 12;
        bool first = below(2);
        for (int i = 0; i < n; ++i) {
            agents.push_back(sim.addAgent(11 + i, "web", domains[i % 3], first));
            sim.target(11 + i).checksAcknowledgements = true;
        }
        sim.run(seconds(2));
        int loss = (int[]) { 0, 0, 1, 3 }[below(4)];
        int maxDelayMs = (int[]) { 0, 2, 5 }[below(3)];
        auto lossRandom = std::make_shared<std::mt19937_64>(seed ^ 99);
        sim.setMessageFate([=](Endpoint, Endpoint, const MessageBody&) -> std::optional<Duration> {
            if (loss && (*lossRandom)() % 100 < (unsigned)loss)
                return {};
            return milliseconds(1 + (maxDelayMs ? (*lossRandom)() % maxDelayMs : 0));
        });
        std::map<FlowTuple, std::uint32_t> holder;
        std::map<FlowTuple, std::uint32_t> seq;
        std::map<std::uint32_t, int> life;
        std::map<FlowTuple, int> lifeOfHolder;
        std::uint32_t next = 1;
        int generation = 0;
        auto alive = [&] {
            std::vector<Endpoint> v;
            for (auto b : balancers)
                if (sim.isRunning(b))
                    v.push_back(b);
            return v;
        };
        auto open = [&] {
            auto v = alive();
            if (v.empty())
                return;
            FlowTuple f = flowN(next++);
            std::uint32_t h = sim.open(v[below(v.size())], f);
            if (!h || !sim.caller(f).openedAt)
                return;
            int holders = 0;
            for (auto a : agents)
                holders += sim.target(a.address).flows.contains(f);
            if (holders != 1)
                return;
            sim.caller(f).targetSequence = initialSequenceOf(h);
            holder[f] = h;
            lifeOfHolder[f] = life[h];
            seq[f] = 10;
            sim.sendRequest(v[below(v.size())], f, seq[f]);
        };
        for (int i = 0; i < 12; ++i)
            open();
        sim.run(milliseconds(200));
        std::vector<std::pair<TimePoint, std::function<void()>>> later;
        bool storeDown = false;
        std::set<std::uint32_t> lapsed, down;
        auto begin = sim.now();
        TimePoint nextEvent = sim.now();
        std::string fault;
        auto note = [&](std::string s) { trace.push_back(std::to_string((sim.now() - begin).us / 1000) + " " + s); };
        while (sim.now() < begin + seconds(16) && fault.empty()) {
            for (std::size_t i = 0; i < later.size();)
                if (later[i].first <= sim.now()) {
                    auto f = later[i].second;
                    later.erase(later.begin() + i);
                    f();
                } else
                    ++i;
            if (sim.now() >= nextEvent) {
                nextEvent = sim.now() + milliseconds(50 + below(700));
                int e = below(mode.substr(0, 4) == "cuts" ? 12 : 9);
                if (e == 0 || e == 1) {
                    Endpoint a = agents[below(agents.size())];
                    if (sim.isRunning(a)) {
                        note("stop agent " + std::to_string(a.address));
                        sim.stop(a);
                        later.push_back({ sim.now() + milliseconds(100 + below(600)), [&, a] {
                                             note("restart agent " + std::to_string(a.address));
                                             sim.restart(a);
                                         } });
                    }
                } else if (e == 2) {
                    Endpoint a = agents[below(agents.size())];
                    if (sim.isRunning(a)) {
                        note("kill agent " + std::to_string(a.address));
                        sim.kill(a);
                        later.push_back({ sim.now() + milliseconds(100 + below(900)), [&, a] {
                                             note("restart agent " + std::to_string(a.address));
                                             sim.restart(a);
                                         } });
                    }
                } else if (e == 3 || e == 4) {
                    Endpoint b = balancers[below(balancers.size())];
                    if (sim.isRunning(b) && alive().size() > 2) {
                        note("kill balancer " + std::to_string(b.address));
                        sim.kill(b);
                        later.push_back({ sim.now() + milliseconds(50 + below(900)), [&, b] {
                                             note("restart balancer " + std::to_string(b.address));
                                             sim.restart(b);
                                         } });
                    }
                } else if (e == 5) {
                    std::uint32_t x = agents[below(agents.size())].address;
                    if (!down.contains(x)) {
                        note("crash target " + std::to_string(x));
                        sim.crashTarget(x);
                        ++life[x];
                        down.insert(x);
                        later.push_back({ sim.now() + milliseconds(20 + below(2500)), [&, x] {
                                             note("restart target " + std::to_string(x));
                                             down.erase(x);
                                             lapsed.erase(x);
                                             sim.restartTarget(
                                                 x, "n" + std::to_string(++generation) + "-" + std::to_string(x));
                                             sim.target(x).checksAcknowledgements = true;
                                             if (storeDown) { }
                                         } });
                    }
                } else if (e == 6 && !storeDown && mode.find("nostore") == std::string::npos) {
                    note("store down");
                    storeDown = true;
                    sim.setStoreDown(true);
                    bool lapse = below(2);
                    if (lapse)
                        for (auto a : agents)
                            if (below(2) && !down.contains(a.address)) {
                                lapsed.insert(a.address);
                                note("lapse " + std::to_string(a.address));
                                sim.removeTarget(sim.target(a.address).id);
                            }
                    later.push_back({ sim.now() + milliseconds(300 + below(6000)), [&] {
                                         note("store up");
                                         storeDown = false;
                                         sim.setStoreDown(false);
                                         for (auto x : lapsed)
                                             later.push_back({ sim.now() + milliseconds(below(1900)), [&, x] {
                                                                  if (!down.contains(x) && lapsed.contains(x)) {
                                                                      lapsed.erase(x);
                                                                      sim.writeTarget(targetRecord(x, sim.target(x).id,
                                                                          "web", domains[(x - 11) % 3]));
                                                                      note("reregister " + std::to_string(x));
                                                                  }
                                                              } });
                                     } });
                } else if (e == 7) {
                    if (agents.size() < 16) {
                        std::uint32_t x = 11 + agents.size();
                        note("add agent " + std::to_string(x));
                        agents.push_back(sim.addAgent(x, "web", domains[(x - 11) % 3], false));
                        sim.target(x).checksAcknowledgements = true;
                    }
                } else if (e == 8) {
                    for (int i = 0; i < 4; ++i)
                        open();
                } else if (e == 9) {
                    int d = below(3), other = (d + 1 + below(2)) % 3;
                    note(std::string("cut ") + domains[d] + domains[other]);
                    sim.breakPath(domains[d], domains[other]);
                    bool both = below(2);
                    if (both)
                        sim.breakPath(domains[other], domains[d]);
                    later.push_back({ sim.now() + milliseconds(100 + below(3000)), [&, d, other, both] {
                                         note("heal");
                                         sim.healPath(domains[d], domains[other]);
                                         if (both)
                                             sim.healPath(domains[other], domains[d]);
                                     } });
                } else if (e == 10) {
                    Endpoint a = below(2) ? agents[below(agents.size())] : balancers[below(balancers.size())];
                    if (sim.isRunning(a)) {
                        note("pause " + std::to_string(a.address));
                        sim.pause(a);
                        later.push_back({ sim.now() + milliseconds(100 + below(850)), [&, a] {
                                             note("resume " + std::to_string(a.address));
                                             sim.resume(a);
                                         } });
                    }
                }
            }
            auto v = alive();
            if (!v.empty())
                for (auto& [f, h] : holder)
                    if (below(20) == 0 && lifeOfHolder[f] == life[h]) {
                        if (below(3) == 0)
                            ++seq[f];
                        sim.sendRequest(v[below(v.size())], f, seq[f]);
                    }
            sim.run(milliseconds(10));
            for (auto& [f, h] : holder)
                if (lifeOfHolder[f] == life[h] && sim.caller(f).resetAt && sim.target(h).flows.contains(f)) {
                    fault = "flow " + std::to_string(f.caller.port) + " of " + std::to_string(h) + " reset at "
                        + std::to_string((sim.now() - begin).us / 1000);
                    break;
                }
            for (auto& [f, h] : holder)
                if (sim.caller(f).resetAt)
                    lifeOfHolder[f] = -1;
        }
        if (!fault.empty()) {
            ++failures;
            if (failures <= 4) {
                std::cout << "seed " << seed << " n " << n << " first " << first << " loss " << loss << " delay "
                          << maxDelayMs << ": " << fault << "\n";
                for (std::size_t i = 0; i < trace.size(); ++i)
                    std::cout << "   " << trace[i] << "\n";
                std::cout.flush();
            }
        }
        ++seed;
        if (argc > 4)
            break;
    }
    std::cout << mode << " " << runs << " runs, " << failures << " failures" << std::endl;
}
