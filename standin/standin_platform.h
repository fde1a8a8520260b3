/**
 * @file standin_platform.h
 * Stand-in for the platform's configuration service.
 *
 * `GET /watch?since=R` returns `{revision, changes: [{key, revision, document}]}` at once if a document has a revision
 * above R; otherwise it waits until a document changes, or returns no changes after the poll time. A removed document
 * is `null`.
 *
 * Test paths: `PUT /test/documents/KEY` replaces a document and `DELETE /test/documents/KEY` removes it; both return
 * `{revision}`; `POST /test/state` takes any of `{down, stale_at, delay_ms}`; `GET /test/calls` returns the counters.
 */
#pragma once

#include "standin_func.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <list>

namespace hawthorncroft {

struct StandinPlatformOptions {
    Endpoint listen { 0x7f000001, 0 }; ///< Port zero lets the kernel choose.
    std::string documents; ///< Directory with the documents to load at start; empty for none.
    std::uint32_t pollMs { 20000 }; ///< Maximum time that a watch waits for a change; milliseconds.
    std::uint32_t callsPerSecond { 2000 }; ///< Rate limit; calls above it are refused with 429.
};

class StandinPlatform {
public:
    StandinPlatform(boost::asio::io_context& context, StandinPlatformOptions options);

    /**
     * Loads the documents and listens. A file `KIND-NAME.json` holds the key `KIND/NAME`: the first hyphen of the file
     * name becomes the slash, and a name without a hyphen is the key itself. Files are loaded in the order of their
     * names, and each gets the next revision.
     * @param[out] error Reason of a failure.
     * @return Whether it listens.
     */
    bool start(std::string& error);

    Endpoint endpoint() const { return m_server.endpoint(); }

    /** Closes all connections and the port. */
    void close() { m_server.close(); }

    /**
     * Converts the name of a document file to the document key.
     * @param fileStem File name without directory and ".json".
     * @return The key, such as "targets/sofia" for "targets-sofia".
     */
    static std::string documentKey(std::string fileStem);

    /**
     * Publishes a document.
     * @param key Its key.
     * @param document The new value; null removes it.
     * @return Its revision.
     */
    std::uint64_t publish(const std::string& key, const boost::json::value& document);

private:
    using Clock = std::chrono::steady_clock;

    struct Version {
        std::uint64_t revision {};
        std::string text; ///< JSON.
    };

    struct Watch {
        std::uint64_t since {};
        Http2Responder responder;
        Clock::time_point end;
    };

    bool load(std::string& error);
    void handle(const Http2Request& request, const Http2Responder& responder);
    void handleTest(const Http2Request& request, const UrlPath& path, const Http2Responder& responder);
    void putDocument(const Http2Request& request, const UrlPath& path, const Http2Responder& responder);
    void setState(const Http2Request& request, const Http2Responder& responder);
    void watch(std::uint64_t since, const Http2Responder& responder);
    bool admitCall();
    void armPoll();
    void answerReadyWatches();
    void answer(const Http2Responder& responder, std::uint64_t since);
    std::uint64_t visibleRevision() const;
    bool hasChanges(std::uint64_t since) const;
    std::string changesJson(std::uint64_t since) const;

    boost::asio::io_context& m_context;
    StandinPlatformOptions m_options;
    Http2Server m_server;
    boost::asio::steady_timer m_poll;
    std::map<std::string, std::deque<Version>> m_documents; ///< By key; the newest version last.
    std::list<Watch> m_watches;
    std::uint64_t m_revision {};
    std::uint64_t m_staleAt {}; ///< Newest revision that watches see; zero for no limit.
    std::uint64_t m_delayMs {}; ///< Delay before each response to a watch; milliseconds.
    bool m_down {}; ///< While set, watches are reset instead of answered.
    std::uint64_t m_calls {}; ///< Calls of `/watch`; a waiting one counts once.
    std::uint64_t m_refused {}; ///< Calls refused above the rate limit.
    std::uint64_t m_peakPerSecond {};
    std::uint64_t m_callsThisSecond {};
    Clock::time_point m_second;
};

} // namespace hawthorncroft
