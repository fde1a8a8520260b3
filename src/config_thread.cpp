#include "config_thread.h"

#include "clock_func.h"
#include "control_base.h"
#include "http2_base.h"
#include "log_func.h"
#include "replica_base.h"
#include "replica_func.h"
#include "settings_func.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <charconv>
#include <chrono>
#include <random>
#include <thread>

namespace hawthorncroft {

namespace asio = boost::asio;

namespace {

    constexpr Duration tickInterval = milliseconds(100);
    constexpr Duration reportInterval = seconds(1); ///< Between reports for the status page.
    constexpr Duration platformTimeout = seconds(25); ///< The platform answers a watch within 20 s.
    constexpr Duration platformSilence = seconds(3); ///< Without a frame; a ping is sent at half of it.
    constexpr Duration peerTimeout = milliseconds(900); ///< Below the replica's own limit for one fetch.

    /** A pending watch counts as a sign of life, so a silent connection must end within seconds. */
    Http2Bounds platformBounds()
    {
        Http2Bounds bounds = controlHttp2Bounds();
        bounds.idle = platformSilence;
        return bounds;
    }

    Revision revisionIn(const std::string& argument)
    {
        constexpr std::string_view prefix = "since=";
        std::uint64_t number = 0;
        if (argument.starts_with(prefix))
            std::from_chars(argument.data() + prefix.size(), argument.data() + argument.size(), number);
        return Revision(number);
    }

}

struct ConfigThread::Impl {
    Impl(const ConfigThreadOptions& options, Ring<DataInput>& toDataRing, Ring<ControlInput>& toControlRing)
        : toData(toDataRing)
        , toControl(toControlRing)
        , random(options.randomSeed)
        , keyring(keyringOf(options.settings))
        , replica({ .node = options.node,
              .data = options.settings.data,
              .control = options.settings.control,
              .seeds = options.settings.peers,
              .randomSeed = options.randomSeed })
        , platform(context, options.settings.platform, platformBounds())
        , peers(context, keyring, [this] { return random(); })
        , timer(context)
        , input(ringCapacity, [this] { asio::post(context, [this] { drainInput(); }); })
        , questions(ringCapacity, [this] { asio::post(context, [this] { drainQuestions(); }); })
    {
    }

    void run()
    {
        scheduleTick();
        context.run();
    }

    void scheduleTick()
    {
        timer.expires_after(std::chrono::microseconds(tickInterval.us));
        timer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            tick();
            scheduleTick();
        });
    }

    void tick()
    {
        ReplicaEffects effects;
        TimePoint now = monotonicNow();
        replica.onTick(now, wallClockMinutes(), random(), effects);
        if (platformCall)
            replica.onPlatformAlive(now);
        carryOut(effects);
        handOver();
        reportStanding(now);
        if (now - lastReport >= reportInterval) {
            lastReport = now;
            toData.push(standingReport(now));
        }
    }

    ConfigStatusReport standingReport(TimePoint now) const
    {
        ConfigStatusReport report {
            .newestSeen = replica.newestSeen(), .readsPlatform = replica.isReading(), .peers = replica.peerCount()
        };
        if (auto age = replica.platformAge(now))
            report.platformAgeMs = static_cast<std::uint64_t>(age->us / 1000);
        for (const auto& [key, faults] : replica.store().faults()) {
            for (const auto& fault : faults)
                report.refused.push_back(toString(fault));
        }
        return report;
    }

    void drainInput()
    {
        tick();
        input.drain([this](ConfigInput& message) { std::visit([this](auto& m) { handle(m); }, message); });
        reportStanding(monotonicNow());
    }

    void handle(StampArrived& stamp)
    {
        ReplicaEffects effects;
        if (stamp.packet.kind == PacketKind::Stamp)
            replica.onStamp(monotonicNow(), stamp.from, stamp.packet, effects);
        else
            replica.onStampReply(monotonicNow(), stamp.from, stamp.packet, effects);
        carryOut(effects);
    }

    void handle(PeerContact& contact)
    {
        ReplicaEffects effects;
        replica.noteDataContact(monotonicNow(), contact.from, contact.revision, effects);
        carryOut(effects);
    }

    void handle(PauseDetected& pause)
    {
        // Only the data thread may have been paused, so that this thread's ticks show no gap.
        replica.requireConfirmation(monotonicNow());
        openPause = pause.pause;
    }

    void reportStanding(TimePoint now)
    {
        ServingChanged standing { .isReady = replica.isServing(), .isIsolated = replica.isIsolated(now) };
        bool isSame = standing.isReady == reported.isReady && standing.isIsolated == reported.isIsolated;
        if (!isSame && toData.push(standing)) {
            reported = standing;
            log(LogPart::Config, LogLevel::Info, describe(standing));
        }
        if (openPause && replica.isConfirmed(now) && toData.push(PauseEnded { openPause }))
            openPause = 0;
    }

    static std::string describe(const ServingChanged& standing)
    {
        if (!standing.isReady)
            return "The configuration is not confirmed yet.";
        return standing.isIsolated ? "No peer, agent or platform can be reached." : "The configuration is confirmed.";
    }

    void carryOut(ReplicaEffects& effects)
    {
        for (auto& effect : effects)
            std::visit([this](auto& e) { carryOutOne(e); }, effect);
    }

    void carryOutOne(SendToProcess& effect) { toData.push(std::move(effect)); }

    void carryOutOne(FetchDelta& effect)
    {
        std::string path = "/config?since=" + std::to_string(effect.since.value);
        peers.get(effect.control, path, peerTimeout, [this, effect](const ControlResult& result) {
            ReplicaEffects further;
            Delta delta;
            bool isRead = result.error == ControlError::None && parseDelta(result.body, effect.since, delta).empty();
            if (isRead)
                publish(replica.applyDelta(monotonicNow(), effect.control, delta, further));
            else
                replica.onFetchFailed(monotonicNow(), effect.control, further);
            carryOut(further);
        });
    }

    void carryOutOne(ReadPlatform& effect)
    {
        if (platformCall)
            platform.cancel(platformCall);
        Http2Call call;
        call.request.path = "/watch?since=" + std::to_string(effect.since.value);
        call.timeout = platformTimeout;
        platformCall = platform.send(std::move(call), [this, effect](const Http2Result& result) {
            if (result.error == Http2Error::Cancelled)
                return;
            platformCall = 0;
            takePlatform(effect.since, result);
        });
    }

    void takePlatform(Revision since, const Http2Result& result)
    {
        ReplicaEffects further;
        Delta delta;
        std::string fault = result.succeeded() ? parseDelta(result.body, since, delta) : "the read failed";
        if (fault.empty()) {
            publish(replica.applyPlatform(monotonicNow(), delta, further));
        } else {
            replica.onPlatformFailed(monotonicNow());
            if (limiter.allow(monotonicNow().us))
                log(LogPart::Config, LogLevel::Warning, "The platform gives no configuration: " + fault + ".");
        }
        carryOut(further);
        reportStanding(monotonicNow());
    }

    void publish(std::vector<VersionedDocument> documents)
    {
        for (const auto& document : documents)
            useKeys(document);
        if (!documents.empty())
            log(LogPart::Config, LogLevel::Info,
                "Accepted " + std::to_string(documents.size()) + " documents, complete through revision "
                    + std::to_string(replica.completeThrough().value) + ".");
        unsent.insert(
            unsent.end(), std::make_move_iterator(documents.begin()), std::make_move_iterator(documents.end()));
        isBehind = true;
        handOver();
    }

    void handOver()
    {
        // Documents that a full ring did not take must not be lost, or the data thread's view would have a gap.
        if (!isBehind || !toData.push(DocumentsAccepted { unsent, replica.completeThrough() }))
            return;
        unsent.clear();
        isBehind = false;
    }

    void useKeys(const VersionedDocument& document)
    {
        const auto* keys = document.document ? std::get_if<KeysDocument>(document.document.get()) : nullptr;
        if (!keys)
            return;
        keyring.setAccepted(keys->accepted);
        keyring.setSigning(keys->signing);
        toControl.push(KeysChanged { keys->signing, keys->accepted });
    }

    void drainQuestions()
    {
        questions.drain([this](ControlQuestion& question) {
            Delta delta = replica.store().deltaSince(revisionIn(question.argument), maxDeltaBytes);
            toControl.push(ControlAnswer { .id = question.id, .body = toJson(delta) });
        });
    }

    Ring<DataInput>& toData;
    Ring<ControlInput>& toControl;
    std::mt19937_64 random;
    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work { context.get_executor() };
    Keyring keyring;
    ConfigReplica replica;
    Http2Client platform;
    ControlClient peers;
    asio::steady_timer timer;
    Ring<ConfigInput> input;
    Ring<ControlQuestion> questions;
    Http2CallId platformCall {}; ///< Pending read of the platform; zero when there is none.
    std::uint64_t openPause {}; ///< Pause whose end was not reported; zero when there is none.
    TimePoint lastReport; ///< When the last ConfigStatusReport was sent.
    ServingChanged reported; ///< Standing that the data thread knows.
    bool isBehind {}; ///< The data thread does not have the newest revision yet.
    std::vector<VersionedDocument> unsent; ///< Accepted, but not yet taken by the data thread's ring.
    LogLimiter limiter;
    std::thread thread;
};

ConfigThread::ConfigThread(const ConfigThreadOptions& options, Ring<DataInput>& toData, Ring<ControlInput>& toControl)
    : m_impl(std::make_unique<Impl>(options, toData, toControl))
{
    m_impl->thread = std::thread([this] { m_impl->run(); });
}

ConfigThread::~ConfigThread() { stop(); }

void ConfigThread::stop()
{
    if (!m_impl->thread.joinable())
        return;
    asio::post(m_impl->context, [this] { m_impl->context.stop(); });
    m_impl->thread.join();
}

Ring<ConfigInput>& ConfigThread::input() { return m_impl->input; }

Ring<ControlQuestion>& ConfigThread::questions() { return m_impl->questions; }

} // namespace hawthorncroft
