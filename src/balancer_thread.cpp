#include "balancer_thread.h"

#include "balancer_base.h"
#include "balancer_report.h"
#include "clock_func.h"
#include "codec_func.h"
#include "log_func.h"
#include "settings_func.h"
#include "table/service_times.h"
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

    constexpr Duration tickInterval = milliseconds(20);
    constexpr Duration shutdownGrace
        = milliseconds(1500); ///< Time for datagrams that the fabric still sends to this balancer.

}

struct BalancerThread::Impl {
    Impl(const ProcessSettings& processSettings, NodeId node)
        : settings(processSettings)
        , keyring(keyringOf(processSettings))
        , core({ .node = node, .data = processSettings.data }, keyring)
        , reports(processSettings, wallClockSeconds())
        , front(context)
        , data(context)
        , timer(context)
        , graceTimer(context)
        , input(ringCapacity, [this] { asio::post(context, [this] { drainInput(); }); })
        , controlRequests(ringCapacity, [this] { asio::post(context, [this] { drainControlRequests(); }); })
    {
    }

    void onFrontDatagram(Endpoint from, std::span<const std::uint8_t> bytes)
    {
        countReceived(bytes);
        DecodeError error = decode(bytes, packet);
        if (error != DecodeError::None) {
            recordRejected(error);
            return;
        }
        core.onCallerPacket(monotonicNow(), from, packet, effects);
        applyEffects();
    }

    void onDataDatagram(Endpoint from, std::span<const std::uint8_t> bytes)
    {
        countReceived(bytes);
        DecodeError error = unseal(keyring, bytes);
        if (error == DecodeError::None)
            error = decode(bytes, packet);
        if (error != DecodeError::None) {
            recordRejected(error);
            return;
        }
        // A stamp reply with a target carries an agent's hint; all other stamps are for the configuration thread.
        bool isStamp = packet.kind == PacketKind::Stamp || (packet.kind == PacketKind::StampReply && !packet.target);
        if (isStamp) {
            toConfig->push(StampArrived { from, packet });
            return;
        }
        core.onProcessPacket(monotonicNow(), from, packet, effects);
        applyEffects();
    }

    void countReceived(std::span<const std::uint8_t> bytes)
    {
        reports.metrics().add(Counter::DatagramsIn);
        reports.metrics().add(Counter::BytesIn, bytes.size());
    }

    void countSent()
    {
        reports.metrics().add(Counter::DatagramsOut);
        reports.metrics().add(Counter::BytesOut, buffer.size());
    }

    void recordRejected(DecodeError error)
    {
        reports.metrics().add(error == DecodeError::BadMac ? Counter::BadTrailers : Counter::Malformed);
        if (limiter.allow(monotonicNow().us))
            log(LogPart::Data, LogLevel::Warning, "Dropped a datagram: " + std::string(nameOf(error)) + ".");
    }

    void scheduleTick()
    {
        timer.expires_after(std::chrono::microseconds(tickInterval.us));
        timer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            core.onTick(monotonicNow(), effects);
            applyEffects();
            publishMetrics(monotonicNow());
            scheduleTick();
        });
    }

    void publishMetrics(TimePoint now)
    {
        if (now - metricsPublishedAt < metricsInterval)
            return;
        metricsPublishedAt = now;
        metricsChannel.publish(reports.metrics());
    }

    void applyEffects()
    {
        for (auto& effect : effects)
            std::visit([this](auto& e) { applyEffect(e); }, effect);
        effects.clear();
    }

    void applyEffect(SendToProcess& effect)
    {
        encode(effect.packet, buffer);
        seal(keyring, buffer);
        data.send(effect.to, buffer);
        countSent();
    }

    void applyEffect(SendToCaller& effect)
    {
        encode(effect.packet, buffer);
        front.send(effect.to, buffer);
        countSent();
    }

    void applyEffect(UnknownNameSeen& effect) { reports.countUnknownName(effect.name, wallClockSeconds()); }

    void applyEffect(ConfirmView& effect)
    {
        log(LogPart::Data, LogLevel::Warning,
            "Detected a pause of the process; forwarding stops until the configuration view is confirmed.");
        toConfig->push(PauseDetected { effect.pause });
    }

    void applyEffect(ContactSeen& effect) { toConfig->push(PeerContact { effect.from, effect.revision }); }

    void drainInput()
    {
        input.drain([this](DataInput& message) { std::visit([this](auto& m) { handle(m); }, message); });
    }

    void handle(DocumentsAccepted& accepted)
    {
        for (const auto& document : accepted.documents)
            core.applyDocument(monotonicNow(), document);
        core.setCompleteThrough(accepted.completeThrough);
        if (const KeysDocument* keys = core.view().keys()) {
            keyring.setAccepted(keys->accepted);
            keyring.setSigning(keys->signing);
        }
        reports.process().recordRevision(accepted.completeThrough, wallClockSeconds());
    }

    void handle(ServingChanged& serving)
    {
        core.setServingState({ .isReady = serving.isReady, .isIsolated = serving.isIsolated });
    }

    void handle(PauseEnded& pause) { core.confirmView(pause.pause); }

    void handle(SendToProcess& message) { applyEffect(message); }

    void handle(ConfigStatusReport& status) { reports.process().recordConfigStatus(std::move(status)); }

    void drainControlRequests()
    {
        controlRequests.drain(
            [this](ForwardedRequest& request) { toControl->push(reports.answer(request, core, monotonicNow())); });
    }

    ProcessSettings settings;
    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work { context.get_executor() };
    Keyring keyring;
    BalancerCore core;
    BalancerReport reports;
    UdpSocket front;
    UdpSocket data;
    asio::steady_timer timer;
    asio::steady_timer graceTimer;
    Ring<DataInput> input;
    Ring<ForwardedRequest> controlRequests;
    Ring<ConfigInput>* toConfig {};
    Ring<ControlInput>* toControl {};
    Packet packet; ///< Decoded datagram; reused to avoid allocations.
    Bytes buffer; ///< Encoded datagram; reused to avoid allocations.
    BalancerEffects effects;
    MetricsChannel metricsChannel;
    TimePoint metricsPublishedAt;
    LogLimiter limiter;
    std::thread thread;
};

BalancerThread::BalancerThread(const ProcessSettings& settings, NodeId node)
    : m_impl(std::make_unique<Impl>(settings, node))
{
}

BalancerThread::~BalancerThread() { stop(); }

void BalancerThread::stop()
{
    if (!m_impl->thread.joinable())
        return;
    asio::post(m_impl->context, [this] { m_impl->context.stop(); });
    m_impl->thread.join();
}

ConfigFault BalancerThread::open()
{
    std::string error = m_impl->front.open(m_impl->settings.front);
    if (!error.empty())
        return { .path = "front",
            .value = toString(m_impl->settings.front) + " (" + error + ")",
            .allowed = "a free address of this VM" };
    error = m_impl->data.open(m_impl->settings.data);
    if (!error.empty())
        return { .path = "data",
            .value = toString(m_impl->settings.data) + " (" + error + ")",
            .allowed = "a free address of this VM" };
    return {};
}

void BalancerThread::start(Ring<ConfigInput>& toConfig, Ring<ControlInput>& toControl)
{
    m_impl->toConfig = &toConfig;
    m_impl->toControl = &toControl;
    m_impl->front.start([this](Endpoint from, auto bytes) { m_impl->onFrontDatagram(from, bytes); });
    m_impl->data.start([this](Endpoint from, auto bytes) { m_impl->onDataDatagram(from, bytes); });
    m_impl->scheduleTick();
    m_impl->thread = std::thread([this] { m_impl->context.run(); });
}

void BalancerThread::shutDown(std::function<void()> done)
{
    asio::post(m_impl->context, [this, done = std::move(done)] {
        m_impl->core.beginShutdown();
        m_impl->graceTimer.expires_after(std::chrono::microseconds(shutdownGrace.us));
        m_impl->graceTimer.async_wait([done](boost::system::error_code) { done(); });
    });
}

Ring<DataInput>& BalancerThread::input() { return m_impl->input; }

Ring<ForwardedRequest>& BalancerThread::controlRequests() { return m_impl->controlRequests; }

MetricsChannel& BalancerThread::metrics() { return m_impl->metricsChannel; }

} // namespace hawthorncroft
