#include "standin_target.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace hawthorncroft {

namespace json = boost::json;

namespace {

    constexpr std::size_t maxReports = 4096; ///< History for `report_lag_ms`.
    constexpr std::size_t maxMissing = 16; ///< Limit of the chunks that a 409 response lists as missing.

    Http2Bounds targetBounds()
    {
        Http2Bounds bounds;
        bounds.streams = 8192; // One agent carries all feeds of the target over one connection.
        bounds.outputBytes = bounds.totalBytes;
        return bounds;
    }

}

const std::array<StandinTarget::Route, 9> StandinTarget::routes { {
    { "POST", "requests", 2, &StandinTarget::postRequest },
    { "DELETE", "requests", 2, &StandinTarget::deleteRequest },
    { "PUT", "uploads", 3, &StandinTarget::putChunk },
    { "POST", "uploads", 3, &StandinTarget::commitUpload },
    { "GET", "feeds", 2, &StandinTarget::getFeed },
    { "GET", "health", 1, &StandinTarget::getHealth },
    { "GET", "test", 2, &StandinTarget::getSeen },
    { "POST", "test", 2, &StandinTarget::postTest },
    { "PUT", "test", 2, &StandinTarget::postTest },
} };

StandinTarget::StandinTarget(boost::asio::io_context& context, StandinTargetOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_settings(m_options.settings)
    , m_random(m_settings.seed)
    , m_feedTimer(context)
    , m_server(
          context, [this](const Http2Request& request, const Http2Responder& r) { handle(request, r); }, targetBounds())
{
    while (!m_options.incarnation)
        m_options.incarnation
            = Incarnation((std::uint64_t { std::random_device {}() } << 32) | std::random_device {}());
}

StandinTarget::~StandinTarget() = default;

bool StandinTarget::start(std::string& error)
{
    m_coldUntil = Clock::now() + std::chrono::milliseconds(m_settings.coldMs);
    recordReport();
    armFeeds();
    return m_server.listen(m_options.listen, error);
}

void StandinTarget::die()
{
    m_feedTimer.cancel();
    m_server.close();
    m_running.clear();
    m_feeds.clear();
    if (m_options.die)
        m_options.die();
}

void StandinTarget::handle(const Http2Request& request, const Http2Responder& responder)
{
    UrlPath path = splitPath(request.path);
    for (const Route& route : routes) {
        bool matches = request.method == route.method && path.parts.size() == route.parts;
        if (!matches || path.parts[0] != route.first)
            continue;
        bool work = route.first != "test" && route.first != "health";
        if (work)
            recordPacket();
        (this->*route.handler)(request, path, responder);
        return;
    }
    responder.respond(404);
}

void StandinTarget::recordPacket()
{
    if (!m_outOfService)
        return;
    ++m_truth.packetsSinceOut;
    m_truth.lastPacketAfterOutMs = millisecondsSince(m_outOfServiceSince);
}

void StandinTarget::recordNewWork()
{
    if (!m_draining)
        return;
    ++m_truth.newSinceDrain;
    m_truth.lastNewAfterDrainMs = millisecondsSince(m_drainTime);
}

bool StandinTarget::refuseWrongService(
    const Http2Request& request, const UrlPath& path, const Http2Responder& responder)
{
    std::string_view service = findHeader(request.headers, "service");
    auto query = path.query.find("service");
    if (query != path.query.end())
        service = query->second;
    if (!service.empty() && toNumber(service, 0) != m_settings.service) {
        ++m_truth.wrongService;
        responder.respond(421);
        return true;
    }
    return false;
}

void StandinTarget::refuse(const Http2Responder& responder)
{
    std::uint64_t ms = m_settings.retryAfterMs;
    responder.respond(
        503, {}, { { "retry-after", std::to_string((ms + 999) / 1000) }, { "retry-after-ms", std::to_string(ms) } });
}

void StandinTarget::postRequest(const Http2Request& request, const UrlPath& path, const Http2Responder& responder)
{
    recordNewWork();
    if (refuseWrongService(request, path, responder))
        return;
    if (m_draining) {
        ++m_truth.drainRefused;
        return refuse(responder);
    }
    std::uniform_int_distribution<std::uint64_t> percent(0, 99);
    if (percent(m_random) < m_settings.shedPercent) {
        ++m_truth.shed;
        return refuse(responder);
    }
    std::string_view deadline = findHeader(request.headers, "deadline-ms");
    if (!deadline.empty() && toNumber(deadline, 0) == 0) {
        ++m_truth.deadlinePassed;
        responder.respond(504);
        return;
    }
    if (m_running.size() >= capacity()) {
        ++m_truth.overload;
        responder.respond(500, "overloaded");
        return;
    }
    run(request, path.parts[1], responder);
}

void StandinTarget::run(const Http2Request& request, const std::string& id, const Http2Responder& responder)
{
    ++m_truth.executed[id];
    ++m_truth.flows[std::string(findHeader(request.headers, "caller")) + "/"
        + std::string(findHeader(request.headers, "flow"))];
    std::uint64_t run = ++m_lastRun;
    auto timer = std::make_unique<boost::asio::steady_timer>(m_context, drawServiceTime());
    timer->async_wait([this, run, id](boost::system::error_code error) {
        if (!error)
            finish(run, id);
    });
    m_running.emplace(run, std::pair(id, Running { responder, std::move(timer), request.body }));
    m_truth.highestConcurrency = std::max<std::uint64_t>(m_truth.highestConcurrency, m_running.size());
    recordReport();
}

void StandinTarget::finish(std::uint64_t run, const std::string& id)
{
    auto node = m_running.extract(run);
    if (node.empty())
        return;
    ++m_truth.completed;
    recordReport();
    std::string body = "answer " + id + " " + node.mapped().second.body;
    if (body.size() < m_settings.answerBytes)
        body.resize(m_settings.answerBytes, 'x');
    node.mapped().second.responder.respond(200, std::move(body));
}

void StandinTarget::deleteRequest(const Http2Request&, const UrlPath& path, const Http2Responder& responder)
{
    auto isNamed = [&path](const auto& entry) { return entry.second.first == path.parts[1]; };
    auto found = std::find_if(m_running.begin(), m_running.end(), isNamed);
    if (found == m_running.end()) {
        responder.respond(404);
        return;
    }
    ++m_truth.cancelled;
    found->second.second.responder.respond(499);
    m_running.erase(found);
    recordReport();
    responder.respond(200);
}

std::string StandinTarget::uploadKey(const Http2Request& request, const UrlPath& path)
{
    std::string_view caller = findHeader(request.headers, "caller");
    return caller.empty() ? path.parts[1] : std::string(caller) + "/" + path.parts[1];
}

void StandinTarget::putChunk(const Http2Request& request, const UrlPath& path, const Http2Responder& responder)
{
    std::string key = uploadKey(request, path);
    std::uint64_t sequence = toNumber(path.parts[2], 0);
    bool isNew = !m_uploads.contains(key);
    if (isNew)
        recordNewWork();
    if (refuseWrongService(request, path, responder))
        return;
    if (isNew && openUploads() + m_feeds.size() >= m_settings.connections) {
        ++m_truth.shed;
        return refuse(responder);
    }
    if (!sequence) {
        responder.respond(400, "the sequence is a number from 1");
        return;
    }
    auto [chunk, stored] = m_uploads[key].chunks.try_emplace(sequence, std::hash<std::string> {}(request.body));
    bool same = chunk->second == std::hash<std::string> {}(request.body);
    ++(stored ? m_truth.chunks : same ? m_truth.duplicateChunks : m_truth.conflictingChunks);
    responder.respond(same ? 200 : 409);
}

void StandinTarget::commitUpload(const Http2Request& request, const UrlPath& path, const Http2Responder& responder)
{
    auto chunks = path.query.find("chunks");
    if (path.parts[2] != "commit" || chunks == path.query.end()) {
        responder.respond(404);
        return;
    }
    if (refuseWrongService(request, path, responder))
        return;
    Upload& upload = m_uploads[uploadKey(request, path)];
    json::array missing;
    std::uint64_t count = toNumber(chunks->second, 0);
    for (std::uint64_t sequence = 1; sequence <= count && missing.size() < maxMissing; ++sequence) {
        if (!upload.chunks.contains(sequence))
            missing.emplace_back(sequence);
    }
    if (!missing.empty())
        return respondJson(responder, json::object { { "missing", std::move(missing) } }, 409);
    upload.committed = true;
    respondJson(responder, json::object { { "committed", count } });
}

std::uint64_t StandinTarget::openUploads() const
{
    return static_cast<std::uint64_t>(
        std::count_if(m_uploads.begin(), m_uploads.end(), [](const auto& upload) { return !upload.second.committed; }));
}

void StandinTarget::getFeed(const Http2Request& request, const UrlPath& path, const Http2Responder& responder)
{
    recordNewWork();
    if (refuseWrongService(request, path, responder))
        return;
    if (m_draining) {
        ++m_truth.drainRefused;
        return refuse(responder);
    }
    if (openUploads() + m_feeds.size() >= m_settings.connections) {
        ++m_truth.shed;
        return refuse(responder);
    }
    std::uint64_t number = ++m_lastFeed;
    responder.onAborted([this, number] { m_feeds.erase(number); });
    if (!responder.start(200))
        return;
    ++m_truth.feedsOpened;
    m_feeds.emplace(number, Feed { path.parts[1], responder });
}

void StandinTarget::armFeeds()
{
    m_feedTimer.expires_after(std::chrono::milliseconds(m_settings.feedMs));
    m_feedTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        emitEvents();
        armFeeds();
    });
}

void StandinTarget::emitEvents()
{
    // A write that detects a lost connection removes feeds from the map, so iterate over a copy of the keys.
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, feed] : m_feeds)
        numbers.push_back(number);
    for (std::uint64_t number : numbers) {
        auto found = m_feeds.find(number);
        if (found == m_feeds.end())
            continue;
        Feed& feed = found->second;
        Http2Responder responder = feed.responder;
        std::uint64_t next = ++feed.sequence;
        if (responder.write("event " + std::to_string(next) + " " + feed.flow + "\n")) {
            ++m_truth.feedEvents;
            continue;
        }
        ++m_truth.feedEventsDeferred;
        found = m_feeds.find(number);
        if (found != m_feeds.end())
            --found->second.sequence; // Retry the event at the next interval, so that the stream has no gap.
    }
}

void StandinTarget::recordReport()
{
    std::uint64_t load = m_running.size() * 1000 / std::max<std::uint64_t>(m_settings.slots, 1);
    m_reports.push_back({ Clock::now(), std::string(state()), load });
    if (m_reports.size() > maxReports)
        m_reports.pop_front();
}

void StandinTarget::getHealth(const Http2Request&, const UrlPath&, const Http2Responder& responder)
{
    recordReport();
    auto latest = Clock::now() - std::chrono::milliseconds(m_settings.reportLagMs);
    auto isOldEnough = [latest](const Report& report) { return report.time <= latest; };
    auto shown = std::find_if(m_reports.rbegin(), m_reports.rend(), isOldEnough);
    Report report = shown == m_reports.rend() ? m_reports.front() : *shown;
    if (m_settings.reportLoad)
        report.load = m_settings.reportLoad - 1;
    if (!m_settings.reportState.empty())
        report.state = m_settings.reportState;
    respondJson(responder,
        json::object { { "state", report.state }, { "load", report.load },
            { "incarnation", m_options.incarnation.value }, { "slots", m_settings.slots } });
}

void StandinTarget::getSeen(const Http2Request&, const UrlPath& path, const Http2Responder& responder)
{
    if (path.parts[1] != "seen") {
        responder.respond(404);
        return;
    }
    json::object seen = toJson(m_truth);
    if (path.query.contains("short"))
        seen.erase("executed");
    json::array committed;
    for (const auto& [key, upload] : m_uploads) {
        if (upload.committed)
            committed.emplace_back(key);
    }
    seen["running"] = m_running.size();
    seen["feeds_open"] = m_feeds.size();
    seen["uploads_open"] = openUploads();
    seen["uploads_committed"] = std::move(committed);
    seen["state"] = state();
    respondJson(responder, seen);
}

void StandinTarget::postTest(const Http2Request& request, const UrlPath& path, const Http2Responder& responder)
{
    const std::string& name = path.parts[1];
    json::object body;
    std::string error;
    parseObject(request.body, body);
    if (name == "settings") {
        if (!applySettings(body, m_settings, error)) {
            responder.respond(400, error);
            return;
        }
    } else if (name == "drain" || name == "undrain") {
        m_draining = name == "drain";
        m_drainTime = Clock::now();
        m_truth.newSinceDrain = m_truth.lastNewAfterDrainMs = 0;
    } else if (name == "cold") {
        const json::value* ms = body.if_contains("ms");
        boost::system::error_code code;
        std::uint64_t time = ms ? ms->to_number<std::uint64_t>(code) : m_settings.coldMs;
        m_coldUntil = Clock::now() + std::chrono::milliseconds(time);
    } else if (name == "out") {
        m_outOfService = true;
        m_outOfServiceSince = Clock::now();
        m_truth.packetsSinceOut = m_truth.lastPacketAfterOutMs = 0;
    } else if (name == "die") {
        return die();
    } else {
        responder.respond(404);
        return;
    }
    recordReport();
    respondJson(responder, json::object { { "state", state() } });
}

bool StandinTarget::isCold() const { return Clock::now() < m_coldUntil; }

std::uint64_t StandinTarget::capacity() const
{
    if (!isCold())
        return m_settings.slots;
    return std::max<std::uint64_t>(1, m_settings.slots * m_settings.coldPercent / 100);
}

std::string_view StandinTarget::state() const
{
    if (m_draining)
        return "draining";
    return isCold() ? "cold" : "ready";
}

std::chrono::microseconds StandinTarget::drawServiceTime()
{
    std::uint64_t mean = m_settings.serviceMs * 1000;
    if (isCold())
        mean = mean * m_settings.coldSlowdownPercent / 100;
    std::uint64_t spread = mean * std::min<std::uint64_t>(m_settings.spreadPercent, 100) / 100;
    std::uniform_int_distribution<std::uint64_t> time(mean - spread, mean + spread);
    return std::chrono::microseconds(time(m_random));
}

std::uint64_t StandinTarget::millisecondsSince(Clock::time_point time)
{
    auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - time);
    return static_cast<std::uint64_t>(passed.count());
}

} // namespace hawthorncroft
