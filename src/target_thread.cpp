#include "target_thread.h"

#include "backlog_type.h"
#include "clock_func.h"
#include "log_func.h"
#include "process_type.h"
#include "target_feeds.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <thread>

namespace hawthorncroft {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr Duration tickInterval
        = milliseconds(100); ///< Interval of health checks and of retries to push to a full ring.
    constexpr Duration healthTimeout = milliseconds(500);
    constexpr Duration requestTimeout = seconds(60); ///< A request that times out may have run.
    constexpr unsigned healthFailuresUntilDown
        = 3; ///< Consecutive failed health checks; after a failed connection one is enough.

    TargetFailure failureOf(const Http2Result& result, bool isCommit)
    {
        if (result.error != Http2Error::None)
            return result.mayHaveRun ? TargetFailure::Failed : TargetFailure::NotSent;
        switch (result.status) {
        case 409:
            return isCommit ? TargetFailure::Refused : TargetFailure::Failed;
        case 421:
            return TargetFailure::Refused;
        case 429:
        case 503:
            return TargetFailure::Shed;
        case 499:
            return TargetFailure::Cancelled;
        case 504:
            return TargetFailure::TooLate;
        default:
            return TargetFailure::Failed;
        }
    }

    TargetState stateOf(std::string_view name)
    {
        if (name == "cold")
            return TargetState::Cold;
        return name == "draining" ? TargetState::Draining : TargetState::Warm;
    }

    /** @return The parsed health report; its state is Down if the text is not a valid one. */
    TargetHealth parseHealth(const std::string& text)
    {
        boost::system::error_code error;
        json::value value = json::parse(text, error);
        if (error || !value.is_object())
            return {};
        const json::object& object = value.get_object();
        const json::value* state = object.if_contains("state");
        const json::value* load = object.if_contains("load");
        const json::value* incarnation = object.if_contains("incarnation");
        if (!state || !state->is_string() || !incarnation || !incarnation->is_number())
            return {};
        TargetHealth health { .state = stateOf(state->get_string()) };
        health.incarnation = Incarnation(incarnation->to_number<std::uint64_t>(error));
        if (load && load->is_number())
            health.load = load->to_number<std::uint16_t>(error);
        return health;
    }

    std::string textOf(const std::vector<std::uint8_t>& bytes) { return { bytes.begin(), bytes.end() }; }

}

struct TargetThread::Impl {
    explicit Impl(Endpoint target)
        : requests(context, target)
        , health(context, target)
        , feeds(context, target, [this](TargetReport report) { reports.push(std::move(report)); })
        , timer(context)
        , commands(ringCapacity, [this] { asio::post(context, [this] { drainCommands(); }); })
    {
    }

    void drainCommands()
    {
        commands.drain([this](TargetCommand& command) { std::visit([this](auto& c) { handle(c); }, command); });
    }

    void handle(RunRequest& run)
    {
        Http2Call call;
        call.request.method = "POST";
        call.request.path = "/requests/" + std::to_string(run.request.value);
        call.request.headers = headersOf(run.key, run.service);
        call.request.headers.emplace_back("idempotent", run.idempotent ? "1" : "0");
        call.request.body = textOf(run.payload);
        send(std::move(call), run.key, run.request, run.deadline, false);
    }

    void handle(CommitUpload& commit)
    {
        Http2Call call;
        call.request.method = "POST";
        call.request.path
            = "/uploads/" + std::to_string(commit.key.flow.value) + "/commit?chunks=" + std::to_string(commit.chunks);
        call.request.headers = headersOf(commit.key, commit.service);
        send(std::move(call), commit.key, commit.request, commit.deadline, true);
    }

    void send(Http2Call call, FlowKey key, ReservationId request, TimePoint deadline, bool isCommit)
    {
        TimePoint now = monotonicNow();
        // The deadline is checked again because the command may have waited in the ring.
        if (deadline.us && now > deadline) {
            reports.push(TargetFailedRequest { key, request, TargetFailure::TooLate });
            return;
        }
        if (deadline.us)
            call.request.headers.emplace_back("deadline-ms", std::to_string((deadline - now).us / 1000));
        call.timeout = requestTimeout;
        requests.send(std::move(call), [this, key, request, isCommit](const Http2Result& result) {
            if (result.succeeded())
                reports.push(
                    TargetAnswered { key, request, std::vector<std::uint8_t>(result.body.begin(), result.body.end()) });
            else
                reports.push(TargetFailedRequest { key, request, failureOf(result, isCommit) });
        });
    }

    void handle(CancelRequest& cancel)
    {
        // The answer to the DELETE is ignored: whether the request ran is known only from the target's answer to the
        // request itself.
        Http2Call call;
        call.request.method = "DELETE";
        call.request.path = "/requests/" + std::to_string(cancel.request.value);
        call.timeout = requestTimeout;
        requests.send(std::move(call), [](const Http2Result&) {});
    }

    void handle(StoreChunk& chunk)
    {
        std::string first = chunk.kind == FlowKind::Feed ? "/feeds/" : "/uploads/";
        Http2Call call;
        call.request.method = "PUT";
        call.request.path = first + std::to_string(chunk.key.flow.value) + "/" + std::to_string(chunk.sequence);
        call.request.headers = headersOf(chunk.key, chunk.service);
        call.request.body = textOf(chunk.payload);
        call.timeout = requestTimeout;
        FlowKey key = chunk.key;
        std::uint32_t sequence = chunk.sequence;
        requests.send(std::move(call), [this, key, sequence](const Http2Result& result) {
            reports.push(TargetChunkResult { key, sequence, result.succeeded() });
        });
    }

    void handle(OpenFeed& feed) { feeds.open(feed); }
    void handle(CloseFeed& feed) { feeds.close(feed.key); }
    void handle(PauseFeed& feed) { feeds.pause(feed.key); }
    void handle(ResumeFeed& feed) { feeds.resume(feed.key); }

    void scheduleTick()
    {
        timer.expires_after(std::chrono::microseconds(tickInterval.us));
        timer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            reports.flush();
            readHealth();
            scheduleTick();
        });
    }

    void readHealth()
    {
        if (isReadingHealth)
            return;
        isReadingHealth = true;
        Http2Call call;
        call.request.path = "/health";
        call.timeout = healthTimeout;
        health.send(std::move(call), [this](const Http2Result& result) {
            isReadingHealth = false;
            TargetHealth report = result.succeeded() ? parseHealth(result.body) : TargetHealth {};
            healthFailures = report.state == TargetState::Down ? healthFailures + 1 : 0;
            bool hasConnectFailed = result.error == Http2Error::ConnectFailed;
            if (healthFailures && healthFailures < healthFailuresUntilDown && !hasConnectFailed)
                return;
            logStateChange(report.state);
            reports.push(report);
        });
    }

    void logStateChange(TargetState state)
    {
        if (state == lastState)
            return;
        lastState = state;
        log(LogPart::Target, state == TargetState::Down ? LogLevel::Warning : LogLevel::Info,
            "The target is " + std::string(nameOf(state)) + ".");
    }

    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work { context.get_executor() };
    Backlog<TargetReport> reports;
    Http2Client requests;
    Http2Client health; ///< A separate connection, so that requests do not delay health checks.
    TargetFeeds feeds;
    asio::steady_timer timer;
    Ring<TargetCommand> commands;
    bool isReadingHealth {};
    unsigned healthFailures {};
    TargetState lastState { TargetState::Unknown };
    std::thread thread;
};

TargetThread::TargetThread(Endpoint target)
    : m_impl(std::make_unique<Impl>(target))
{
}

TargetThread::~TargetThread() { stop(); }

void TargetThread::start(Ring<TargetReport>& toData)
{
    m_impl->reports.connect(toData);
    m_impl->readHealth();
    m_impl->scheduleTick();
    m_impl->thread = std::thread([this] { m_impl->context.run(); });
}

void TargetThread::stop()
{
    if (!m_impl->thread.joinable())
        return;
    asio::post(m_impl->context, [this] { m_impl->context.stop(); });
    m_impl->thread.join();
}

Ring<TargetCommand>& TargetThread::commands() { return m_impl->commands; }

} // namespace hawthorncroft
