#include "standin_platform.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace hawthorncroft {

namespace json = boost::json;

namespace {

    constexpr std::size_t maxVersions = 256; ///< Versions kept per document for `stale_at`.
    constexpr std::chrono::milliseconds pollTick {
        20
    }; ///< Interval between checks for watches whose poll time has passed.

    Http2Bounds platformBounds()
    {
        Http2Bounds bounds;
        bounds.outputBytes = 64 * maxDocumentBytes;
        bounds.totalBytes = 512 * maxDocumentBytes;
        return bounds;
    }

}

StandinPlatform::StandinPlatform(boost::asio::io_context& context, StandinPlatformOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_server(
          context, [this](const Http2Request& request, const Http2Responder& r) { handle(request, r); },
          platformBounds())
    , m_poll(context)
{
}

bool StandinPlatform::start(std::string& error)
{
    if (!m_options.documents.empty() && !load(error))
        return false;
    armPoll();
    return m_server.listen(m_options.listen, error);
}

std::string StandinPlatform::documentKey(std::string fileStem)
{
    std::size_t hyphen = fileStem.find('-');
    if (hyphen != std::string::npos)
        fileStem[hyphen] = '/';
    return fileStem;
}

bool StandinPlatform::load(std::string& error)
{
    std::error_code code;
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(m_options.documents, code)) {
        if (entry.path().extension() == ".json")
            files.push_back(entry.path());
    }
    if (code) {
        error = m_options.documents + ": " + code.message();
        return false;
    }
    std::sort(files.begin(), files.end());
    for (const auto& path : files) {
        std::ifstream file(path);
        std::string text { std::istreambuf_iterator<char>(file), {} };
        json::object object;
        if (!parseObject(text, object)) {
            error = path.string() + ": not a JSON object";
            return false;
        }
        publish(documentKey(path.stem().string()), object);
    }
    return true;
}

std::uint64_t StandinPlatform::publish(const std::string& key, const json::value& document)
{
    auto& versions = m_documents[key];
    versions.push_back({ ++m_revision, json::serialize(document) });
    if (versions.size() > maxVersions)
        versions.pop_front();
    answerReadyWatches();
    return m_revision;
}

void StandinPlatform::handle(const Http2Request& request, const Http2Responder& responder)
{
    UrlPath path = splitPath(request.path);
    if (path.parts.empty()) {
        responder.respond(404);
        return;
    }
    if (path.parts[0] == "test")
        return handleTest(request, path, responder);
    if (request.method != "GET" || path.parts[0] != "watch") {
        responder.respond(404);
        return;
    }
    if (!admitCall()) {
        responder.respond(429);
        return;
    }
    watch(toNumber(path.query["since"], 0), responder);
}

bool StandinPlatform::admitCall()
{
    ++m_calls;
    if (Clock::now() - m_second >= std::chrono::seconds(1)) {
        m_second = Clock::now();
        m_callsThisSecond = 0;
    }
    m_peakPerSecond = std::max(m_peakPerSecond, ++m_callsThisSecond);
    if (m_callsThisSecond <= m_options.callsPerSecond)
        return true;
    ++m_refused;
    return false;
}

void StandinPlatform::watch(std::uint64_t since, const Http2Responder& responder)
{
    if (m_down)
        return responder.reset();
    if (hasChanges(since))
        return answer(responder, since);
    m_watches.push_back({ since, responder, Clock::now() + std::chrono::milliseconds(m_options.pollMs) });
}

void StandinPlatform::handleTest(const Http2Request& request, const UrlPath& path, const Http2Responder& responder)
{
    std::string name = path.parts.size() > 1 ? path.parts[1] : "";
    if (name == "documents" && path.parts.size() > 2)
        return putDocument(request, path, responder);
    if (name == "state" && request.method == "POST")
        return setState(request, responder);
    if (name == "calls")
        return respondJson(responder,
            json::object { { "calls", m_calls }, { "waiting", m_watches.size() }, { "refused", m_refused },
                { "peak_per_second", m_peakPerSecond }, { "revision", m_revision } });
    responder.respond(404);
}

void StandinPlatform::putDocument(const Http2Request& request, const UrlPath& path, const Http2Responder& responder)
{
    std::string key = path.parts[2];
    for (std::size_t i = 3; i < path.parts.size(); ++i)
        key += "/" + path.parts[i];
    json::object document;
    if (request.body.size() > maxDocumentBytes) {
        responder.respond(413);
        return;
    }
    if (request.method == "DELETE")
        return respondJson(responder, json::object { { "revision", publish(key, nullptr) } });
    if (request.method != "PUT" || !parseObject(request.body, document)) {
        responder.respond(400, "expected PUT with a JSON object");
        return;
    }
    respondJson(responder, json::object { { "revision", publish(key, document) } });
}

void StandinPlatform::setState(const Http2Request& request, const Http2Responder& responder)
{
    json::object state;
    if (!parseObject(request.body, state)) {
        responder.respond(400, "expected a JSON object");
        return;
    }
    auto number = [&state](const char* name, std::uint64_t& value) {
        const json::value* found = state.if_contains(name);
        if (!found)
            return;
        boost::system::error_code error;
        auto read = found->to_number<std::uint64_t>(error);
        value = error ? 0 : read; // null and false disable the setting.
    };
    number("stale_at", m_staleAt);
    number("delay_ms", m_delayMs);
    if (const json::value* down = state.if_contains("down"))
        m_down = down->is_bool() && down->get_bool();
    if (m_down) {
        for (const Watch& watch : std::exchange(m_watches, {}))
            watch.responder.reset();
    }
    answerReadyWatches();
    respondJson(responder, json::object { { "down", m_down }, { "stale_at", m_staleAt }, { "delay_ms", m_delayMs } });
}

void StandinPlatform::armPoll()
{
    m_poll.expires_after(pollTick);
    m_poll.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        answerReadyWatches();
        armPoll();
    });
}

void StandinPlatform::answerReadyWatches()
{
    Clock::time_point now = Clock::now();
    std::vector<Watch> ready;
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        bool gone = !watch->responder.isOpen();
        if (!gone && (now >= watch->end || hasChanges(watch->since)))
            ready.push_back(*watch);
        else if (!gone) {
            ++watch;
            continue;
        }
        watch = m_watches.erase(watch);
    }
    for (const Watch& watch : ready)
        answer(watch.responder, watch.since);
}

void StandinPlatform::answer(const Http2Responder& responder, std::uint64_t since)
{
    if (!m_delayMs) {
        responder.respond(200, changesJson(since), { { "content-type", "application/json" } });
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::milliseconds(m_delayMs));
    timer->async_wait([this, timer, responder, since](boost::system::error_code error) {
        if (!error)
            responder.respond(200, changesJson(since), { { "content-type", "application/json" } });
    });
}

std::uint64_t StandinPlatform::visibleRevision() const
{
    return m_staleAt ? std::min(m_staleAt, m_revision) : m_revision;
}

bool StandinPlatform::hasChanges(std::uint64_t since) const { return visibleRevision() > since; }

std::string StandinPlatform::changesJson(std::uint64_t since) const
{
    std::uint64_t visible = visibleRevision();
    std::string text = "{\"revision\":" + std::to_string(visible) + ",\"changes\":[";
    bool first = true;
    for (const auto& [key, versions] : m_documents) {
        auto isVisible = [visible](const Version& version) { return version.revision <= visible; };
        auto newest = std::find_if(versions.rbegin(), versions.rend(), isVisible);
        if (newest == versions.rend() || newest->revision <= since)
            continue;
        text += first ? "" : ",";
        text += "{\"key\":" + json::serialize(json::value(key)) + ",\"revision\":" + std::to_string(newest->revision)
            + ",\"document\":" + newest->text + "}";
        first = false;
    }
    return text + "]}";
}

} // namespace hawthorncroft
