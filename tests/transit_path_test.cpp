/**
 * Detection of broken paths between failure domains, with processes that exchange only reports.
 */
#include "transit_path_base.h"

#include "table/transit_limits.h"
#include "transit_view_type.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <set>

using namespace hawthorncroft;

namespace {

const DomainId a = domainIdOf("a");
const DomainId b = domainIdOf("b");
const DomainId c = domainIdOf("c");

/** Processes that send stamps like those of the fleet, at their own times. */
class PathModel {
public:
    struct Process {
        DomainId domain {};
        TransitPaths paths { 0 };
        bool isRunning { true };
        bool isPaused {};
        bool hasNoReports {}; ///< Of a version without them.
        bool isCutOff {};
        std::vector<std::pair<TimePoint, PathChange>> changes;
    };

    explicit PathModel(std::size_t perDomain, const std::vector<DomainId>& domains = { a, b, c })
    {
        for (DomainId domain : domains) {
            for (std::size_t i = 0; i < perDomain; ++i)
                processes.push_back({ .domain = domain, .paths = TransitPaths(domain) });
        }
        std::map<DomainId, std::size_t> counts;
        for (DomainId domain : domains)
            counts[domain] = perDomain;
        for (Process& process : processes)
            process.paths.setProcesses(counts);
    }

    void run(Duration time)
    {
        for (TimePoint end = now + time; now < end;) {
            now = now + tickInterval;
            auto due = std::exchange(m_arriving, {});
            for (auto& [to, from, reports] : due)
                deliver(processes[to], from, reports);
            for (std::size_t i = 0; i < processes.size(); ++i)
                tick(i);
        }
    }

    /** Drops what one domain sends to another. */
    void breakPath(DomainId from, DomainId to) { m_broken.insert({ from, to }); }
    void healPaths() { m_broken.clear(); }

    /** @return Number of running processes that hold a path to be broken. */
    std::size_t countBroken(DomainId from, DomainId to) const
    {
        return static_cast<std::size_t>(std::count_if(processes.begin(), processes.end(),
            [&](const Process& process) { return process.isRunning && process.paths.isBroken(from, to); }));
    }

    /** @return Number of changes that any process saw. */
    std::size_t changeCount() const
    {
        std::size_t count = 0;
        for (const Process& process : processes)
            count += process.changes.size();
        return count;
    }

    /** @return Processes of a domain. */
    std::vector<Process*> in(DomainId domain)
    {
        std::vector<Process*> found;
        for (Process& process : processes) {
            if (process.domain == domain)
                found.push_back(&process);
        }
        return found;
    }

    std::vector<Process> processes;
    TimePoint now { seconds(100).us };
    std::uint64_t lostPercent {};
    std::function<bool(std::size_t from, std::size_t to)> isLost = [](std::size_t, std::size_t) { return false; };

private:
    struct Delivery {
        std::size_t to;
        DomainId from;
        std::vector<PathReport> reports;
    };

    void tick(std::size_t index)
    {
        Process& process = processes[index];
        if (!process.isRunning || process.isPaused)
            return;
        for (const PathChange& change : process.paths.update(now))
            process.changes.emplace_back(now, change);
        std::size_t ticks = static_cast<std::size_t>(stampInterval.us / tickInterval.us);
        if (static_cast<std::size_t>(now.us / tickInterval.us) % ticks == index * 7 % ticks)
            sendRound(index);
    }

    /** The fan-out of TransitFleet::sendStampRound. */
    void sendRound(std::size_t index)
    {
        std::array<std::vector<std::size_t>, 2> others;
        for (std::size_t i = 0; i < processes.size(); ++i) {
            if (i != index)
                others[processes[i].domain == processes[index].domain ? 0 : 1].push_back(i);
        }
        bool isFull = processes.size() <= maxFullFanout;
        std::array<std::size_t, 2> counts { isFull ? processes.size() : stampFanout - remoteDomainFanout,
            isFull ? processes.size() : remoteDomainFanout };
        for (std::size_t kind = 0; kind < others.size(); ++kind) {
            std::size_t first = random();
            for (std::size_t i = 0; i < std::min(counts[kind], others[kind].size()); ++i)
                send(index, others[kind][(first + i) % others[kind].size()]);
        }
    }

    void send(std::size_t from, std::size_t to)
    {
        const Process& sender = processes[from];
        const Process& receiver = processes[to];
        bool isDropped = sender.isCutOff || receiver.isCutOff || m_broken.contains({ sender.domain, receiver.domain })
            || random() % 100 < lostPercent || isLost(from, to);
        if (isDropped)
            return;
        auto reports = sender.paths.reports(maxPathReports, random(), now);
        if (sender.hasNoReports)
            reports.clear();
        m_arriving.push_back({ to, sender.domain, std::move(reports) });
    }

    void deliver(Process& receiver, DomainId from, const std::vector<PathReport>& reports)
    {
        if (!receiver.isRunning || receiver.isPaused)
            return;
        receiver.paths.recordReceived(from, now);
        if (!receiver.hasNoReports)
            receiver.paths.onReports(from, reports, now);
    }

    std::uint64_t random() { return m_random = mix64(m_random); }

    std::set<std::pair<DomainId, DomainId>> m_broken;
    std::vector<Delivery> m_arriving;
    std::uint64_t m_random { 7 };
};

}

TEST_CASE("A path that lost its messages in one direction is broken for all processes", "[transit][path]")
{
    // Sizes: stamps to all, and stamps to a part of the processes as in deployments with about 100.
    auto perDomain = GENERATE(4U, 33U);
    PathModel model(perDomain);
    model.run(seconds(10));
    REQUIRE(model.changeCount() == 0);
    model.breakPath(a, b);
    TimePoint brokenAt = model.now;

    SECTION("within the time after which a request's third transmission is sent, and in this direction only")
    {
        model.run(milliseconds(1400));
        CHECK(model.countBroken(a, b) == model.processes.size());
        CHECK(model.changeCount() == model.processes.size());
        for (const auto& process : model.processes) {
            REQUIRE_FALSE(process.changes.empty());
            CHECK(process.changes[0].first >= brokenAt + pathSilence - stampInterval);
            CHECK(process.changes[0].second.silence >= pathSilence);
        }
    }
    SECTION("and not before the silence has lasted, which guards against detours after ordinary loss")
    {
        model.run(milliseconds(600));
        CHECK(model.changeCount() == 0);
    }
    SECTION("and both directions are, when both lose their messages")
    {
        model.breakPath(b, a);
        model.run(milliseconds(1400));
        CHECK(model.countBroken(a, b) == model.processes.size());
        CHECK(model.countBroken(b, a) == model.processes.size());
        CHECK(model.in(a)[0]->paths.isBehindBrokenPath(b));
        CHECK_FALSE(model.in(a)[0]->paths.isBehindBrokenPath(c));
    }
    SECTION("and stays broken for as long as it is, and heals after half a second of messages")
    {
        model.run(seconds(60));
        CHECK(model.countBroken(a, b) == model.processes.size());
        model.healPaths();
        model.run(milliseconds(450));
        CHECK(model.countBroken(a, b) == model.processes.size());
        model.run(milliseconds(1500));
        CHECK(model.countBroken(a, b) == 0);
        CHECK(model.changeCount() == 2 * model.processes.size());
    }
    SECTION("and is unknown when no report has come for three seconds")
    {
        model.run(milliseconds(1400));
        for (auto& process : model.processes)
            process.isCutOff = process.domain != a;
        model.run(milliseconds(3700));
        for (auto* process : model.in(a))
            CHECK_FALSE(process->paths.isBroken(a, b));
    }
}

TEST_CASE("Silence that has another cause is no broken path", "[transit][path]")
{
    auto perDomain = GENERATE(1U, 4U, 33U);
    CAPTURE(perDomain);
    PathModel model(perDomain);
    model.run(seconds(10));

    SECTION("a domain that is down as a whole")
    {
        for (auto* process : model.in(b))
            process->isRunning = false;
        model.run(seconds(5));
    }
    SECTION("a domain that receives nothing from anywhere")
    {
        model.breakPath(a, b);
        model.breakPath(c, b);
        model.run(seconds(5));
    }
    SECTION("a domain whose messages reach nobody, for the others")
    {
        model.breakPath(b, a);
        model.breakPath(b, c);
        model.run(seconds(5));
        for (auto* process : model.in(b))
            process->changes.clear(); // Its own processes know that they send.
    }
    SECTION("a single machine that is cut off, and comes back")
    {
        model.in(b)[0]->isCutOff = true;
        model.run(seconds(5));
        model.in(b)[0]->isCutOff = false;
        model.run(seconds(5));
    }
    SECTION("a process that is paused, and goes on with what it knew before")
    {
        for (std::int64_t pause : { 300, 500, 900, 5000 }) {
            model.in(b)[0]->isPaused = true;
            model.run(milliseconds(pause));
            model.in(b)[0]->isPaused = false;
            model.run(seconds(2));
        }
    }
    SECTION("all processes of a domain paused for a while")
    {
        for (std::int64_t pause : { 600, 800, 900, 1000, 1100, 1500 }) {
            for (auto* process : model.in(b))
                process->isPaused = true;
            model.run(milliseconds(pause));
            for (auto* process : model.in(b))
                process->isPaused = false;
            model.run(seconds(3));
        }
    }
    SECTION("a process that starts again")
    {
        model.in(b)[0]->isRunning = false;
        model.run(seconds(3));
        model.in(b)[0]->paths = TransitPaths(b);
        model.in(b)[0]->isRunning = true;
        model.run(seconds(5));
    }
    SECTION("ordinary loss")
    {
        // Of a pair of domains with one process each, two stamps in a row may not be lost: nothing else is sent.
        model.lostPercent = perDomain == 1 ? 0 : 10;
        model.run(seconds(60));
    }
    SECTION("one lost stamp of the only process of a domain")
    {
        if (perDomain == 1) {
            for (int i = 0; i < 20; ++i) {
                model.breakPath(a, b);
                model.run(stampInterval);
                model.healPaths();
                model.run(seconds(2));
            }
        }
    }
    CHECK(model.changeCount() == 0);
}

TEST_CASE("A single machine does not decide for its domain", "[transit][path]")
{
    PathModel model(4);
    model.run(seconds(10));
    SECTION("when it alone receives nothing from another domain")
    {
        model.isLost = [&](std::size_t from, std::size_t to) {
            return model.processes[from].domain == a && &model.processes[to] == model.in(b)[0];
        };
        model.run(seconds(5));
        CHECK(model.changeCount() == 0);
    }
    SECTION("when it is of a version without reports")
    {
        model.in(a)[0]->hasNoReports = true;
        model.in(b)[0]->hasNoReports = true;
        model.run(seconds(5));
        CHECK(model.changeCount() == 0);
        model.breakPath(a, b);
        model.run(milliseconds(1400));
        CHECK(model.countBroken(a, b) >= 10);
    }
    SECTION("and without reports from its whole domain the paths to it are unknown")
    {
        for (auto* process : model.in(b))
            process->hasNoReports = true;
        model.run(seconds(5));
        model.breakPath(a, b);
        model.run(seconds(5));
        CHECK(model.countBroken(a, b) == 0);
    }
}

TEST_CASE("A process decides on a path only by reports that are recent", "[transit][path]")
{
    TimePoint now { seconds(100).us };
    TimePoint heardAt = now; // When b last received a message from a.
    TransitPaths paths(a);
    /** Reports what b knew some time ago, while c exchanges messages with both. */
    auto report = [&](Duration age) {
        auto ageMs = static_cast<std::uint32_t>(age.us / 1000);
        auto silenceMs = static_cast<std::uint32_t>(std::max<std::int64_t>((now - heardAt - age).us / 1000, 20));
        paths.onReports(b, { { a, b, silenceMs, ageMs }, { c, b, 10, ageMs }, { a, c, 10, ageMs } }, now);
    };
    auto tickFor = [&](Duration time) {
        std::size_t changes = 0;
        for (TimePoint end = now + time; now < end; now = now + tickInterval) {
            paths.recordReceived(c, now);
            changes += paths.update(now).size();
        }
        return changes;
    };
    auto runFor = [&](Duration time, Duration reportAge) {
        std::size_t changes = 0;
        for (TimePoint end = now + time; now < end;) {
            report(reportAge);
            changes += tickFor(milliseconds(50));
        }
        return changes;
    };
    runFor(seconds(1), {});
    heardAt = now;

    SECTION("one that is older than 600 ms does not count")
    {
        CHECK(runFor(seconds(2), milliseconds(620)) == 0);
        CHECK(runFor(milliseconds(200), milliseconds(300)) == 1);
        CHECK(paths.isBroken(a, b));
    }
    SECTION("one from before a pause does not count, one that arrives after it does")
    {
        CHECK(runFor(milliseconds(750), {}) == 0);
        now = now + milliseconds(100);
        report({});
        now = now + milliseconds(420);
        CHECK(tickFor(milliseconds(180)) == 0);
        report({});
        CHECK(tickFor(milliseconds(200)) == 1);
    }
    SECTION("one that comes late does not replace a newer one")
    {
        runFor(milliseconds(700), {});
        heardAt = now;
        report({});
        heardAt = now - seconds(2);
        report(milliseconds(200));
        CHECK(tickFor(milliseconds(300)) == 0);
    }
    SECTION("one of a process that received less does not either")
    {
        runFor(milliseconds(700), {});
        heardAt = now;
        report({});
        now = now + milliseconds(100);
        heardAt = now - seconds(2);
        CHECK(runFor(milliseconds(300), {}) == 0);
    }
    SECTION("impossible ones are ignored")
    {
        paths.onReports(
            b, { { a, a, 5000, 0 }, { 0, b, 5000, 0 }, { a, 0, 5000, 0 }, { a, b, 4294967295, 4294967295 } }, now);
        CHECK(tickFor(milliseconds(100)) == 0);
        for (std::uint32_t i = 1; i <= 2000; ++i)
            paths.onReports(b, { { i, i + 1, 4294967295, 0 } }, now);
        CHECK(paths.reports(10000, 0, now).size() <= maxPaths);
    }
}

TEST_CASE("Reports about silent paths are sent first", "[transit][path]")
{
    // Guards against a large number of domains whose usual reports crowd out the ones that matter.
    TimePoint now { seconds(100).us };
    TransitPaths paths(a);
    for (std::uint32_t i = 1; i <= 40; ++i)
        paths.onReports(b, { { i, i + 100, i == 17 ? 900U : 20U, 5 } }, now);
    for (std::uint64_t rotation = 0; rotation < 50; ++rotation) {
        auto reports = paths.reports(4, rotation, now);
        REQUIRE(reports.size() == 4);
        CHECK(reports[0].from == 17);
    }
    // Over several stamps, all of them are sent.
    std::set<DomainId> sent;
    for (std::uint64_t rotation = 0; rotation < 50; ++rotation) {
        for (const auto& report : paths.reports(4, rotation, now))
            sent.insert(report.from);
    }
    CHECK(sent.size() == 40);
}
