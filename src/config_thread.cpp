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
    constexpr Duration reportInterval = seconds(1); ///< Interval between reports for the status page.
    constexpr Duration platformTimeout = seconds(25); ///< The platform responds to a watch within 20 s.
    constexpr Duration platformIdleTimeout = seconds(3); ///< Without a received frame; a ping is sent after half of it.
    constexpr Duration peerTimeout = milliseconds(900); ///< Shorter than the replica's timeout for a fetch.

    /** A pending watch counts as contact with the platform, so a dead connection must be closed within seconds. */
    Http2Bounds platformBounds()
    {
        Http2Bounds bounds = controlHttp2Bounds();
        bounds.idle = platformIdleTimeout;
        return bounds;
    }

    Revision parseSince(const std::string& argument)
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
        , controlRequests(ringCapacity, [this] { asio::post(context, [this] { drainControlRequests(); }); })
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
        applyEffects(effects);
        deliverDocuments();
        reportServingState(now);
        if (now - lastReport >= reportInterval) {
            lastReport = now;
            toData.push(statusReport(now));
        }
    }

    ConfigStatusReport statusReport(TimePoint now) const
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
        reportServingState(monotonicNow());
    }

    void handle(StampArrived& stamp)
    {
        ReplicaEffects effects;
        if (stamp.packet.kind == PacketKind::Stamp)
            replica.onStamp(monotonicNow(), stamp.from, stamp.packet, effects);
        else
            replica.onStampReply(monotonicNow(), stamp.from, stamp.packet, effects);
        applyEffects(effects);
    }

    void handle(PeerContact& contact)
    {
        ReplicaEffects effects;
        replica.onDataContact(monotonicNow(), contact.from, contact.revision, effects);
        applyEffects(effects);
    }

    void handle(PauseDetected& pause)
    {
        // If only the data thread was paused, the ticks of this thread show no gap, so a new confirmation is required
        // here.
        replica.requireConfirmation(monotonicNow());
        unreportedPause = pause.pause;
    }

    void reportServingState(TimePoint now)
    {
        ServingChanged servingState { .isReady = replica.isServing(), .isIsolated = replica.isIsolated(now) };
        bool isSame
            = servingState.isReady == reportedState.isReady && servingState.isIsolated == reportedState.isIsolated;
        if (!isSame && toData.push(servingState)) {
            reportedState = servingState;
            log(LogPart::Config, LogLevel::Info, describe(servingState));
        }
        if (unreportedPause && replica.isConfirmed(now) && toData.push(PauseEnded { unreportedPause }))
            unreportedPause = 0;
    }

    static std::string describe(const ServingChanged& servingState)
    {
        if (!servingState.isReady)
            return "The configuration is not confirmed yet.";
        return servingState.isIsolated ? "No peer, agent or platform can be reached."
                                       : "The configuration is confirmed.";
    }

    void applyEffects(ReplicaEffects& effects)
    {
        for (auto& effect : effects)
            std::visit([this](auto& e) { applyEffect(e); }, effect);
    }

    void applyEffect(SendToProcess& effect) { toData.push(std::move(effect)); }

    void applyEffect(FetchDelta& effect)
    {
        std::string path = "/config?since=" + std::to_string(effect.since.value);
        peers.get(effect.control, path, peerTimeout, [this, effect](const ControlResult& result) {
            ReplicaEffects followUps;
            Delta delta;
            bool isParsed = result.error == ControlError::None && parseDelta(result.body, effect.since, delta).empty();
            if (isParsed)
                publish(replica.applyDelta(monotonicNow(), effect.control, delta, followUps));
            else
                replica.onFetchFailed(monotonicNow(), effect.control, followUps);
            applyEffects(followUps);
        });
    }

    void applyEffect(ReadPlatform& effect)
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
            onPlatformResult(effect.since, result);
        });
    }

    void onPlatformResult(Revision since, const Http2Result& result)
    {
        ReplicaEffects followUps;
        Delta delta;
        std::string fault = result.succeeded() ? parseDelta(result.body, since, delta) : "the request failed";
        if (fault.empty()) {
            publish(replica.applyPlatform(monotonicNow(), delta, followUps));
        } else {
            replica.onPlatformFailed(monotonicNow());
            if (limiter.allow(monotonicNow().us))
                log(LogPart::Config, LogLevel::Warning,
                    "Cannot read the configuration from the platform: " + fault + ".");
        }
        applyEffects(followUps);
        reportServingState(monotonicNow());
    }

    void publish(std::vector<VersionedDocument> documents)
    {
        for (const auto& document : documents)
            applyKeys(document);
        if (!documents.empty())
            log(LogPart::Config, LogLevel::Info,
                "Accepted " + std::to_string(documents.size()) + " documents, complete through revision "
                    + std::to_string(replica.completeThrough().value) + ".");
        undelivered.insert(
            undelivered.end(), std::make_move_iterator(documents.begin()), std::make_move_iterator(documents.end()));
        hasUndelivered = true;
        deliverDocuments();
    }

    void deliverDocuments()
    {
        // Documents are kept for the next tick when the ring is full; dropping them would leave the data thread's view
        // incomplete.
        if (!hasUndelivered || !toData.push(DocumentsAccepted { undelivered, replica.completeThrough() }))
            return;
        undelivered.clear();
        hasUndelivered = false;
    }

    void applyKeys(const VersionedDocument& document)
    {
        const auto* keys = document.document ? std::get_if<KeysDocument>(document.document.get()) : nullptr;
        if (!keys)
            return;
        keyring.setAccepted(keys->accepted);
        keyring.setSigning(keys->signing);
        toControl.push(KeysChanged { keys->signing, keys->accepted });
    }

    void drainControlRequests()
    {
        controlRequests.drain([this](ForwardedRequest& request) {
            Delta delta = replica.store().deltaSince(parseSince(request.argument), maxDeltaBytes);
            toControl.push(ForwardedReply { .id = request.id, .body = toJson(delta) });
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
    Ring<ForwardedRequest> controlRequests;
    Http2CallId platformCall {}; ///< Pending read from the platform; zero when there is none.
    std::uint64_t unreportedPause {}; ///< Number of the pause whose end is not reported yet; zero when there is none.
    TimePoint lastReport; ///< Time of the last ConfigStatusReport.
    ServingChanged reportedState; ///< State last sent to the data thread.
    bool hasUndelivered {}; ///< The data thread has not received the newest revision yet.
    std::vector<VersionedDocument> undelivered; ///< Accepted documents not yet pushed to the data thread's ring.
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

Ring<ForwardedRequest>& ConfigThread::controlRequests() { return m_impl->controlRequests; }

} // namespace hawthorncroft
