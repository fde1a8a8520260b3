#include "demo_script.h"

#include "clock_func.h"
#include "settings_func.h"
#include "standin_func.h"

#include <algorithm>
#include <csignal>

namespace hawthorncroft {

namespace json = boost::json;

namespace {

    constexpr std::uint32_t loopback = 0x7f000001;
    constexpr Duration callTimeout = seconds(2);
    constexpr std::uint32_t coldMs = 2000; ///< Duration of the cold period of a target; milliseconds.

}

const std::vector<DemoScript::Step> DemoScript::steps {
    { 0, "opening the feeds", &DemoScript::openFeeds },
    { 1000, "starting half of the confirmations, uploads and misspelled names", &DemoScript::startHalfLoad },
    { 8000, "starting all of them", &DemoScript::startLoad },
    { 12000, "steady load", &DemoScript::startSteady },
    { 19000, "switching the preset", &DemoScript::switchPreset },
    { 22000, "killing a balancer", &DemoScript::killBalancer },
    { 23000, "the fabric notices the dead balancer", &DemoScript::removeBalancer },
    { 24000, "starting another balancer", &DemoScript::startBalancer },
    { 27000, "the fabric uses the new balancer", &DemoScript::addBalancer },
    { 29000, "draining a target", &DemoScript::drainTarget },
    { 34000, "the drained target takes work again", &DemoScript::undrainTarget },
    { 37000, "taking a failure domain out of service", &DemoScript::takeDomainOut },
    { 43000, "bringing the failure domain back", &DemoScript::bringDomainBack },
    { 56000, "ending the load", &DemoScript::stopLoad },
    { 58000, "closing the feeds", &DemoScript::closeFeeds },
    { 60000, "reading what the targets saw", &DemoScript::end },
};

DemoScript::DemoScript(const DemoPlan& plan, DemoProcesses& processes, std::uint64_t seed, Progress progress)
    : m_plan(plan)
    , m_processes(processes)
    , m_seed(seed)
    , m_progress(std::move(progress))
    , m_keyring(keyringOf(plan.balancers.front().settings))
    , m_control(m_context, m_keyring, randomNumber)
    , m_fabricSocket(m_context)
    , m_load(m_context, plan, m_records.flows, seed)
{
    parseObject(plan.operations, m_operations);
}

DemoScript::~DemoScript() = default;

std::string DemoScript::run(DemoRecords& records)
{
    std::string fault = startProcesses();
    if (fault.empty())
        fault = m_fabricSocket.open({ loopback, 0 });
    if (fault.empty())
        fault = m_load.open();
    if (fault.empty())
        fault = waitUntilServing();
    if (!fault.empty())
        return fault;
    runSteps();
    records = m_records;
    return "";
}

std::string DemoScript::startProcesses()
{
    Endpoint platform = m_plan.balancers.front().settings.platform;
    std::string fault = m_processes.start(
        "platform", "standin-platform", { "--listen", toString(platform), "--documents", m_plan.documentsDirectory });
    std::vector<std::string> fabric { "--listen", toString(m_plan.fabric), "--control", toString(m_plan.fabricControl),
        "--seed", std::to_string(m_seed) };
    for (std::uint32_t number = 1; number <= m_plan.balancers.size() && fault.empty(); ++number) {
        if (number == m_plan.balancerAdded)
            continue;
        const DemoProcess& process = balancer(number);
        fault = m_processes.start(process.name, "hawthorncroft-balancer", { "--settings", process.settingsFile });
        m_controls[process.name] = process.settings.control;
        fabric.insert(fabric.end(),
            { "--balancer", toString(process.settings.front) + "," + std::to_string(m_plan.callerDelayUs) });
    }
    if (fault.empty())
        fault = m_processes.start("fabric", "standin-fabric", fabric);
    for (const TargetConfig& target : m_plan.targets) {
        if (fault.empty())
            fault = startTarget(target);
    }
    return fault;
}

std::string DemoScript::startTarget(const TargetConfig& target)
{
    const DemoProcess* agent = m_plan.agentOf(target.id);
    if (!agent)
        return "target " + std::to_string(target.id.value) + " has no agent";
    json::object settings { { "service", target.service.value }, { "slots", target.slots },
        { "connections", target.connections }, { "service_ms", m_plan.serviceMs }, { "cold_ms", coldMs },
        { "seed", m_seed + target.id.value } };
    std::string fault = m_processes.start("target-" + std::to_string(target.id.value), "standin-target",
        { "--listen", toString(agent->settings.target), "--settings", json::serialize(settings) });
    if (!fault.empty())
        return fault;
    m_controls[agent->name] = agent->settings.control;
    return m_processes.start(agent->name, "hawthorncroft-agent", { "--settings", agent->settingsFile });
}

std::string DemoScript::waitUntilServing()
{
    m_progress("waiting until a confirmation is answered");
    auto isDone = [](const DemoFlow& flow) { return flow.outcome.verdict == Verdict::Done; };
    constexpr int tries = 60;
    constexpr Duration interval = milliseconds(250);
    for (int i = 0; i < tries; ++i) {
        m_load.probe();
        runFor(interval);
        auto ended = m_processes.unexpectedEnds();
        if (!ended.empty())
            return "process " + ended.front() + " ended; see its log file";
        if (std::any_of(m_records.flows.begin(), m_records.flows.end(), isDone))
            return "";
    }
    return "no confirmation was answered within 15 s";
}

void DemoScript::runSteps()
{
    TimePoint start = monotonicNow();
    for (const Step& step : steps) {
        TimePoint at = start + milliseconds(step.atMs);
        while (monotonicNow() < at) {
            checkPropagation();
            runFor(std::min(milliseconds(50), at - monotonicNow()));
        }
        m_progress(step.text);
        (this->*step.action)();
    }
}

void DemoScript::openFeeds() { m_load.openFeeds(); }

void DemoScript::startHalfLoad()
{
    // All targets are still cold.
    constexpr std::uint32_t half = 50;
    m_load.setRate(half);
}

void DemoScript::startLoad()
{
    constexpr std::uint32_t whole = 100;
    m_load.setRate(whole);
}

void DemoScript::startSteady()
{
    m_records.beforeSteady = readTruth();
    m_records.times.steadyFrom = monotonicNow();
}

void DemoScript::endSteady()
{
    m_records.times.steadyTo = monotonicNow();
    m_records.afterSteady = readTruth();
}

void DemoScript::switchPreset()
{
    endSteady();
    m_operations["inForce"] = m_plan.peakPreset;
    publish("preset");
}

void DemoScript::killBalancer()
{
    const DemoProcess& killed = balancer(m_plan.balancerKilled);
    m_processes.signal(killed.name, SIGKILL);
    m_controls.erase(killed.name);
}

void DemoScript::removeBalancer()
{
    sendToFabric("remove " + toString(balancer(m_plan.balancerKilled).settings.front));
}

void DemoScript::startBalancer()
{
    const DemoProcess& added = balancer(m_plan.balancerAdded);
    m_processes.start(added.name, "hawthorncroft-balancer", { "--settings", added.settingsFile });
    m_controls[added.name] = added.settings.control;
}

void DemoScript::addBalancer()
{
    const DemoProcess& added = balancer(m_plan.balancerAdded);
    sendToFabric("add " + toString(added.settings.front) + " " + std::to_string(m_plan.callerDelayUs));
}

void DemoScript::drainTarget() { callTarget(*m_plan.target(TargetId(m_plan.targetDrained)), "/test/drain"); }

void DemoScript::undrainTarget()
{
    m_records.beforeUndrain = readTruth();
    callTarget(*m_plan.target(TargetId(m_plan.targetDrained)), "/test/undrain");
}

void DemoScript::takeDomainOut()
{
    m_operations["domainsOut"] = json::array { json::string(m_plan.domainOut) };
    publish("failure domain out");
    m_records.times.domainOutAt = monotonicNow();
    for (const TargetConfig& target : m_plan.targets) {
        if (isInDomainOut(target.failureDomain))
            callTarget(target, "/test/out");
    }
    for (const DemoProcess& process : m_plan.balancers) {
        if (isInDomainOut(process.settings.failureDomain))
            sendToFabric("remove " + toString(process.settings.front));
    }
}

void DemoScript::bringDomainBack()
{
    m_records.beforeReturn = readTruth();
    for (const TargetConfig& target : m_plan.targets) {
        if (isInDomainOut(target.failureDomain))
            callTarget(target, "/test/cold", "{\"ms\":" + std::to_string(coldMs) + "}");
    }
    m_records.times.domainBackAt = monotonicNow();
    m_operations["domainsOut"] = json::array();
    publish("failure domain back");
    for (const DemoProcess& process : m_plan.balancers) {
        if (isInDomainOut(process.settings.failureDomain))
            sendToFabric("add " + toString(process.settings.front) + " " + std::to_string(m_plan.callerDelayUs));
    }
}

void DemoScript::stopLoad()
{
    m_load.setRate(0);
    m_records.times.loadEndedAt = monotonicNow();
}

void DemoScript::closeFeeds() { m_load.closeFeeds(); }

void DemoScript::end() { m_records.atEnd = readTruth(); }

void DemoScript::runFor(Duration duration)
{
    m_context.restart();
    m_context.run_for(std::chrono::microseconds(std::max<std::int64_t>(duration.us, 0)));
}

Http2Result DemoScript::call(Endpoint to, const std::string& method, const std::string& path, const std::string& body)
{
    auto& client = m_clients[to];
    if (!client)
        client = std::make_unique<Http2Client>(m_context, to);
    Http2Call request { .request = { .method = method, .path = path, .body = body }, .timeout = callTimeout };
    std::optional<Http2Result> result;
    client->send(std::move(request), [&](Http2Result answer) { result = std::move(answer); });
    m_context.restart();
    while (!result)
        m_context.run_one();
    return *result;
}

ControlResult DemoScript::callControl(Endpoint to, const std::string& path)
{
    std::optional<ControlResult> result;
    m_control.get(to, path, callTimeout, [&](ControlResult answer) { result = std::move(answer); });
    m_context.restart();
    while (!result)
        m_context.run_one();
    return *result;
}

void DemoScript::callTarget(const TargetConfig& target, const std::string& path, const std::string& body)
{
    Http2Result result = call(m_plan.agentOf(target.id)->settings.target, "POST", path, body);
    if (!result.succeeded())
        m_progress("target " + std::to_string(target.id.value) + " does not answer " + path);
}

void DemoScript::sendToFabric(const std::string& command)
{
    m_fabricSocket.send(
        m_plan.fabricControl, { reinterpret_cast<const std::uint8_t*>(command.data()), command.size() });
}

void DemoScript::publish(const std::string& what)
{
    Endpoint platform = m_plan.balancers.front().settings.platform;
    Http2Result result = call(platform, "PUT", "/test/documents/operations", json::serialize(m_operations));
    json::object answer;
    parseObject(result.body, answer);
    const json::value* revision = answer.if_contains("revision");
    m_change = what;
    m_changeRevision = revision ? revision->to_number<std::uint64_t>() : 0;
    m_changedAt = monotonicNow();
}

void DemoScript::checkPropagation()
{
    constexpr Duration propagationTimeout = seconds(5);
    constexpr std::int64_t usPerMs = 1000;
    if (m_change.empty())
        return;
    bool isInForce = lowestRevision() >= m_changeRevision;
    Duration passed = monotonicNow() - m_changedAt;
    if (!isInForce && passed < propagationTimeout)
        return;
    m_records.inForceMs.emplace_back(m_change, isInForce ? passed.us / usPerMs : -1);
    m_change.clear();
}

std::uint64_t DemoScript::lowestRevision()
{
    std::uint64_t lowest = UINT64_MAX;
    for (const auto& [name, control] : m_controls) {
        json::object status;
        parseObject(callControl(control, "/status").body, status);
        const json::value* revision = status.if_contains("revision");
        lowest = std::min(lowest, revision ? revision->to_number<std::uint64_t>() : 0);
    }
    return lowest;
}

DemoTruth DemoScript::readTruth()
{
    DemoTruth truth;
    for (const TargetConfig& target : m_plan.targets) {
        json::object seen;
        parseObject(call(m_plan.agentOf(target.id)->settings.target, "GET", "/test/seen").body, seen);
        DemoTargetTruth& counts = truth[target.id];
        for (const auto& [name, value] : seen) {
            if (value.is_int64() || value.is_uint64())
                counts.counts[name] = value.to_number<std::uint64_t>();
        }
        const json::value* flows = seen.if_contains("flows");
        if (!flows || !flows->is_object())
            continue;
        for (const auto& [flow, runs] : flows->as_object()) {
            counts.flows[flow] = runs.to_number<std::uint64_t>();
            counts.executed += runs.to_number<std::uint64_t>();
        }
    }
    return truth;
}

} // namespace hawthorncroft
