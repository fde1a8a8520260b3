#include "demo_load.h"

#include "clock_func.h"

#include <algorithm>
#include <sstream>

namespace hawthorncroft {

namespace {

    constexpr std::size_t callers = 16;
    constexpr std::uint32_t loopback = 0x7f000001;
    constexpr std::chrono::milliseconds tickInterval { 5 };
    constexpr Duration confirmDeadline = seconds(1);
    constexpr Duration uploadDeadline = seconds(20);
    constexpr double microsecondsPerSecond = 1e6;
    constexpr std::size_t bytesPerKilobyte = 1024;

    /** Payload of a confirmation with the signature of the person who confirms. */
    std::string signedConfirmation(const Mac& signature, std::uint64_t number)
    {
        std::string text = "letter " + std::to_string(number) + " handed over";
        std::uint64_t tag = signature.compute({ reinterpret_cast<const std::uint8_t*>(text.data()), text.size() });
        std::ostringstream whole;
        whole << text << " signature " << std::hex << tag;
        return whole.str();
    }

    std::vector<std::uint8_t> bytesOf(const std::string& text) { return { text.begin(), text.end() }; }

}

DemoLoad::DemoLoad(
    boost::asio::io_context& context, const DemoPlan& plan, std::vector<DemoFlow>& flows, std::uint64_t seed)
    : m_plan(plan)
    , m_signature(MacKey { 's', 'i', 'g', 'n', 'e', 'd' })
    , m_flows(flows)
    , m_timer(context)
{
    for (std::size_t i = 0; i < callers; ++i) {
        m_callers.push_back(std::make_unique<CallerShell>(context, CallerSettings { .seed = seed + i },
            std::vector { plan.fabric }, [this, i](const CallerEffect& effect) { onEffect(i, effect); }));
    }
    constexpr double misspelledPerSecond = 10;
    constexpr double unknownPerSecond = 2;
    m_streams = { { static_cast<double>(plan.confirmationsPerSecond), 0, &DemoLoad::confirm },
        { static_cast<double>(plan.uploadsPerSecond), 0, &DemoLoad::upload },
        { misspelledPerSecond, 0, &DemoLoad::confirmMisspelled }, { unknownPerSecond, 0, &DemoLoad::confirmUnknown } };
}

std::string DemoLoad::open()
{
    for (const auto& caller : m_callers) {
        std::string error = caller->open({ loopback, 0 });
        if (!error.empty())
            return error;
    }
    m_lastTick = monotonicNow();
    onTick();
    return "";
}

CallerShell& DemoLoad::nextCaller()
{
    m_lastCaller = (m_lastCaller + 1) % m_callers.size();
    return *m_callers[m_lastCaller];
}

void DemoLoad::onTick()
{
    TimePoint now = monotonicNow();
    double passed = static_cast<double>((now - m_lastTick).us) / microsecondsPerSecond;
    m_lastTick = now;
    for (Stream& stream : m_streams) {
        stream.due += stream.perSecond * passed * m_percent / 100;
        for (; stream.due >= 1; stream.due -= 1)
            (this->*stream.start)();
    }
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            onTick();
    });
}

void DemoLoad::confirmAs(const std::string& name, DemoWork work, bool idempotent)
{
    CallerShell& caller = nextCaller();
    DemoFlow flow { .work = work, .startedAt = monotonicNow() };
    auto service = m_plan.names.find(name);
    flow.intendedService = service == m_plan.names.end() ? ServiceId() : service->second;
    flow.payload = signedConfirmation(m_signature, ++m_lastNumber);
    Started started = caller.startRequest(
        { .service = name, .payload = bytesOf(flow.payload), .deadline = confirmDeadline, .idempotent = idempotent });
    flow.key = { caller.id(), started.flow };
    record(std::move(flow));
}

void DemoLoad::confirm() { confirmAs(m_plan.confirmName, DemoWork::Confirmation, false); }

void DemoLoad::probe() { confirmAs(m_plan.confirmName, DemoWork::Probe, true); }

void DemoLoad::confirmMisspelled()
{
    confirmAs(m_plan.spellings[m_lastNumber % m_plan.spellings.size()], DemoWork::Confirmation, false);
}

void DemoLoad::confirmUnknown()
{
    confirmAs(m_plan.unknownNames[m_lastNumber % m_plan.unknownNames.size()], DemoWork::Unknown, false);
}

void DemoLoad::upload()
{
    CallerShell& caller = nextCaller();
    std::vector<std::uint8_t> content(m_plan.uploadKilobytes * bytesPerKilobyte);
    for (std::size_t i = 0; i < content.size(); ++i)
        content[i] = static_cast<std::uint8_t>(mix64(m_lastNumber, i));
    ++m_lastNumber;
    DemoFlow flow {
        .work = DemoWork::Upload, .intendedService = m_plan.names.at(m_plan.uploadName), .startedAt = monotonicNow()
    };
    Started started = caller.startUpload(
        { .service = m_plan.uploadName, .content = std::move(content), .deadline = uploadDeadline });
    flow.key = { caller.id(), started.flow };
    record(std::move(flow));
}

void DemoLoad::openFeeds()
{
    for (std::uint32_t i = 0; i < m_plan.feeds; ++i) {
        CallerShell& caller = nextCaller();
        DemoFlow flow {
            .work = DemoWork::Feed, .intendedService = m_plan.names.at(m_plan.feedName), .startedAt = monotonicNow()
        };
        flow.key = { caller.id(), caller.openFeed({ .service = m_plan.feedName }).flow };
        record(std::move(flow));
    }
}

void DemoLoad::closeFeeds()
{
    for (std::size_t place = 0; place < m_flows.size(); ++place) {
        const DemoFlow& flow = m_flows[place];
        if (flow.work != DemoWork::Feed || flow.endedAt.us)
            continue;
        for (const auto& caller : m_callers) {
            if (caller->id() == flow.key.caller)
                caller->closeFlow(flow.key.flow);
        }
    }
}

std::size_t DemoLoad::openFlows() const
{
    return static_cast<std::size_t>(
        std::count_if(m_flows.begin(), m_flows.end(), [](const DemoFlow& flow) { return !flow.endedAt.us; }));
}

void DemoLoad::record(DemoFlow flow)
{
    if (!flow.key.flow)
        return;
    m_index[flow.key] = m_flows.size();
    m_flows.push_back(std::move(flow));
}

DemoFlow* DemoLoad::find(std::size_t caller, FlowId flow)
{
    auto found = m_index.find({ m_callers[caller]->id(), flow });
    return found == m_index.end() ? nullptr : &m_flows[found->second];
}

void DemoLoad::onEffect(std::size_t caller, const CallerEffect& effect)
{
    if (const auto* finished = std::get_if<Finished>(&effect)) {
        onFinished(caller, *finished);
    } else if (const auto* broken = std::get_if<FlowBroken>(&effect)) {
        onBroken(caller, *broken);
    } else if (const auto* opened = std::get_if<FeedOpened>(&effect)) {
        if (DemoFlow* flow = find(caller, opened->flow))
            flow->target = opened->target;
    } else if (const auto* event = std::get_if<FeedEvent>(&effect)) {
        if (DemoFlow* flow = find(caller, event->flow))
            ++flow->events;
    }
}

void DemoLoad::onFinished(std::size_t caller, const Finished& finished)
{
    DemoFlow* flow = find(caller, finished.flow);
    if (!flow)
        return;
    flow->endedAt = monotonicNow();
    flow->outcome = finished.outcome;
    TargetId target = m_callers[caller]->core().bindingOf(finished.flow).target;
    if (target)
        flow->target = target;
    bool hasAnswer = flow->work == DemoWork::Confirmation && finished.outcome.verdict == Verdict::Done;
    std::string answer(finished.payload.begin(), finished.payload.end());
    flow->hasOwnAnswer = !hasAnswer || answer.find(flow->payload) != std::string::npos;
}

void DemoLoad::onBroken(std::size_t caller, const FlowBroken& broken)
{
    DemoFlow* flow = find(caller, broken.flow);
    if (!flow)
        return;
    flow->endedAt = monotonicNow();
    flow->outcome = broken.outcome;
    flow->isBroken = true;
    if (!broken.reopenedAs)
        return;
    record({ .work = DemoWork::Feed,
        .key = { m_callers[caller]->id(), broken.reopenedAs },
        .intendedService = m_plan.names.at(m_plan.feedName),
        .startedAt = monotonicNow() });
}

} // namespace hawthorncroft
