#include "agent_thread.h"

#include "agent_base.h"
#include "agent_report.h"
#include "backlog_type.h"
#include "clock_func.h"
#include "codec_func.h"
#include "log_func.h"
#include "settings_func.h"
#include "table/service_times.h"
#include "target_thread.h"
#include "udp_base.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <thread>

namespace hawthorncroft {

namespace asio = boost::asio;

namespace {

    constexpr Duration tickInterval = milliseconds(10);

    AgentSettings agentSettingsOf(const ProcessSettings& settings)
    {
        return { .target = TargetId(settings.targetId),
            .vm = settings.vm,
            .failureDomain = settings.failureDomain,
            .endpoint = settings.data };
    }

}

struct AgentThread::Impl {
    explicit Impl(const ProcessSettings& processSettings)
        : settings(processSettings)
        , keyring(keyringOf(processSettings))
        , core(agentSettingsOf(processSettings), { Incarnation(randomNumber()), randomNumber() }, keyring, effects)
        , process("agent", processSettings, wallClockSeconds())
        , serviceReport(toString(processSettings.control), wallClockSeconds())
        , target(processSettings.target)
        , data(context)
        , timer(context)
        , input(ringCapacity, [this] { asio::post(context, [this] { drainInput(); }); })
        , controlRequests(ringCapacity, [this] { asio::post(context, [this] { drainControlRequests(); }); })
        , reports(ringCapacity, [this] { asio::post(context, [this] { drainReports(); }); })
    {
        commands.connect(target.commands());
    }

    void onDatagram(Endpoint from, std::span<const std::uint8_t> bytes)
    {
        serviceReport.metrics().add(Counter::DatagramsIn);
        serviceReport.metrics().add(Counter::BytesIn, bytes.size());
        DecodeError error = unseal(keyring, bytes);
        if (error == DecodeError::None)
            error = decode(bytes, packet);
        if (error != DecodeError::None) {
            serviceReport.metrics().add(error == DecodeError::BadMac ? Counter::BadTrailers : Counter::Malformed);
            if (limiter.allow(monotonicNow().us))
                log(LogPart::Data, LogLevel::Warning, "Dropped a datagram: " + std::string(nameOf(error)) + ".");
            return;
        }
        bool isStamp = packet.kind == PacketKind::Stamp || packet.kind == PacketKind::StampReply;
        if (isStamp) {
            toConfig->push(StampArrived { from, packet });
            return;
        }
        TimePoint now = monotonicNow();
        reportContact(now, from);
        core.onPacket(now, from, std::move(packet));
        applyEffects();
    }

    void reportContact(TimePoint now, Endpoint from)
    {
        bool isNewer = packet.revision > core.view().completeThrough();
        if (!isNewer && now - lastContact < contactReportInterval)
            return;
        lastContact = now;
        toConfig->push(PeerContact { from, packet.revision });
    }

    void scheduleTick()
    {
        timer.expires_after(std::chrono::microseconds(tickInterval.us));
        timer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            core.onTick(monotonicNow());
            applyEffects();
            commands.flush();
            publishMetrics(monotonicNow());
            checkShutdown();
            scheduleTick();
        });
    }

    void publishMetrics(TimePoint now)
    {
        if (now - metricsPublishedAt < metricsInterval)
            return;
        metricsPublishedAt = now;
        metricsChannel.publish(serviceReport.metrics());
    }

    void applyEffects()
    {
        for (auto& effect : effects)
            std::visit([this](auto& e) { applyEffect(e); }, effect);
        effects.clear();
        reportPause();
    }

    void applyEffect(SendToProcess& effect)
    {
        encode(effect.packet, buffer);
        seal(keyring, buffer);
        serviceReport.metrics().add(Counter::DatagramsOut);
        serviceReport.metrics().add(Counter::BytesOut, buffer.size());
        data.send(effect.to, buffer);
    }

    void applyEffect(FlowEnded& effect) { serviceReport.countFlowEnd(effect, core.view(), wallClockSeconds()); }

    template <typename Command> void applyEffect(Command& command) { commands.push(std::move(command)); }

    void reportPause()
    {
        std::uint64_t pause = core.counter(AgentCounter::Pauses);
        if (pause == reportedPause || !toConfig->push(PauseDetected { pause }))
            return;
        reportedPause = pause;
        log(LogPart::Data, LogLevel::Warning,
            "The process was paused. It does not serve until its configuration is confirmed again.");
    }

    void drainInput()
    {
        input.drain([this](DataInput& message) { std::visit([this](auto& m) { handle(m); }, message); });
        applyEffects();
    }

    void handle(DocumentsAccepted& accepted)
    {
        core.onConfiguration(monotonicNow(), accepted.documents, accepted.completeThrough);
        serviceReport.recordConfigurationChange(core.view(), wallClockSeconds());
        process.recordRevision(accepted.completeThrough, wallClockSeconds());
    }

    void handle(ServingChanged& serving)
    {
        isReady = serving.isReady;
        confirmIfAllowed();
    }

    void handle(PauseEnded& pause)
    {
        endedPause = pause.pause;
        confirmIfAllowed();
    }

    void handle(SendToProcess& message) { applyEffect(message); }

    void handle(ConfigStatusReport& status) { process.recordConfigStatus(std::move(status)); }

    void confirmIfAllowed()
    {
        // A confirmation from before the latest pause may have waited in a queue during that pause, so only the
        // confirmation for the latest pause is accepted.
        if (!core.isConfirmed() && isReady && endedPause == core.counter(AgentCounter::Pauses))
            core.confirm(monotonicNow());
    }

    void drainReports()
    {
        reports.drain([this](TargetReport& report) { std::visit([this](auto& r) { handle(r); }, report); });
        applyEffects();
    }

    void handle(TargetAnswered& r) { core.onTargetAnswer(monotonicNow(), r.key, r.request, std::move(r.payload)); }
    void handle(TargetFailedRequest& r) { core.onTargetFailed(monotonicNow(), r.key, r.request, r.failure); }
    void handle(TargetFeedOpened& r) { core.onTargetFeedOpened(monotonicNow(), r.key); }
    void handle(TargetEvent& r) { core.onTargetEvent(monotonicNow(), r.key, std::move(r.payload)); }
    void handle(TargetFeedEnded& r) { core.onTargetFeedEnded(monotonicNow(), r.key, r.hasFailed); }
    void handle(TargetChunkResult& r) { core.onChunkStored(monotonicNow(), r.key, r.sequence, r.isStored); }
    void handle(TargetHealth& r) { core.onTargetHealth(monotonicNow(), r.state, r.load, r.incarnation); }

    void drainControlRequests()
    {
        controlRequests.drain([this](ForwardedRequest& request) {
            toControl->push(answerControlRequest(request, core, process, serviceReport, wallClockSeconds()));
        });
    }

    void checkShutdown()
    {
        if (!onShutDown)
            return;
        bool isLate = monotonicNow() >= shutdownEnd;
        if (!core.isIdle() && !isLate)
            return;
        if (isLate)
            log(LogPart::Data, LogLevel::Warning,
                "Requests did not finish before the shutdown timeout. Interrupting them.");
        std::exchange(onShutDown, nullptr)();
    }

    ProcessSettings settings;
    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work { context.get_executor() };
    Keyring keyring;
    AgentEffects effects;
    AgentCore core;
    ProcessReport process;
    ServiceReport serviceReport;
    TargetThread target;
    UdpSocket data;
    asio::steady_timer timer;
    Ring<DataInput> input;
    Ring<ForwardedRequest> controlRequests;
    Ring<TargetReport> reports;
    Backlog<TargetCommand> commands; ///< Commands must not be lost. Their number is bounded by the flows of the core.
    Ring<ConfigInput>* toConfig {};
    Ring<ControlInput>* toControl {};
    Packet packet; ///< Reused for each datagram.
    Bytes buffer; ///< Reused for each datagram.
    TimePoint lastContact;
    bool isReady {};
    std::uint64_t reportedPause {};
    std::uint64_t endedPause {}; ///< Number of the latest pause after which the configuration was confirmed.
    std::function<void()> onShutDown;
    TimePoint shutdownEnd;
    MetricsChannel metricsChannel;
    TimePoint metricsPublishedAt;
    LogLimiter limiter;
    std::thread thread;
};

AgentThread::AgentThread(const ProcessSettings& settings, NodeId)
    : m_impl(std::make_unique<Impl>(settings))
{
}

AgentThread::~AgentThread() { stop(); }

void AgentThread::stop()
{
    m_impl->target.stop();
    if (!m_impl->thread.joinable())
        return;
    asio::post(m_impl->context, [this] { m_impl->context.stop(); });
    m_impl->thread.join();
}

ConfigFault AgentThread::open()
{
    std::string error = m_impl->data.open(m_impl->settings.data);
    if (!error.empty())
        return { .path = "data",
            .value = toString(m_impl->settings.data) + " (" + error + ")",
            .allowed = "a free address of this VM" };
    return {};
}

void AgentThread::start(Ring<ConfigInput>& toConfig, Ring<ControlInput>& toControl)
{
    m_impl->toConfig = &toConfig;
    m_impl->toControl = &toControl;
    m_impl->data.start([this](Endpoint from, auto bytes) { m_impl->onDatagram(from, bytes); });
    m_impl->scheduleTick();
    m_impl->target.start(m_impl->reports);
    m_impl->thread = std::thread([this] { m_impl->context.run(); });
}

void AgentThread::shutDown(std::function<void()> done)
{
    asio::post(m_impl->context, [this, done = std::move(done)] {
        TimePoint now = monotonicNow();
        m_impl->core.beginShutdown(now, false);
        m_impl->shutdownEnd = now + seconds(m_impl->settings.shutdownSeconds);
        m_impl->onShutDown = done;
    });
}

Ring<DataInput>& AgentThread::input() { return m_impl->input; }

Ring<ForwardedRequest>& AgentThread::controlRequests() { return m_impl->controlRequests; }

MetricsChannel& AgentThread::metrics() { return m_impl->metricsChannel; }

} // namespace hawthorncroft
