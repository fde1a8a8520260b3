/**
 * @file standin_target.h
 * Stand-in for a target, with the URLs that an agent uses:
 *
 * - `POST /requests/ID` runs a request. Headers: `caller`, `flow`, `service`, `deadline-ms` (time left), `idempotent`.
 *   200 with "answer ID BODY"; 421 for another service; 499 when cancelled; 500 when overloaded; 503 with `retry-after`
 *   (seconds) and `retry-after-ms` when shedding or draining; 504 without time left. Only 200 and 499 ran.
 * - `DELETE /requests/ID` cancels it: 200, or 404 when it does not run.
 * - `PUT /uploads/FLOW/SEQ` stores a chunk, idempotent by caller, flow and sequence: 200; 409 when the content differs.
 * - `POST /uploads/FLOW/commit?chunks=N` ends the upload: 200, or 409 with `{missing}`; may be repeated.
 * - `GET /feeds/FLOW?service=S` streams one line per event, "event N FLOW", until the peer ends it.
 * - `GET /health` returns `{state: cold|ready|draining, load, incarnation, slots}` with the load in 1/1000 of the
 * slots.
 *
 * Test paths: `POST /test/settings` (standin_target_type.h), `POST /test/drain`, `POST /test/undrain`,
 * `POST /test/cold` with `{ms}`, `POST /test/out`, `POST /test/die`, and `GET /test/seen` for the ground truth, without
 * the list of executed ids as `/test/seen?short=1`.
 */
#pragma once

#include "standin_func.h"
#include "standin_target_type.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <random>
#include <set>

namespace hawthorncroft {

struct StandinTargetOptions {
    Endpoint listen { 0x7f000001, 0 }; ///< Port zero lets the kernel choose.
    StandinTargetSettings settings;
    Incarnation incarnation; ///< Zero draws one at random.
    std::function<void()> die; ///< Called by `POST /test/die` after everything is closed; optional.
};

class StandinTarget {
public:
    StandinTarget(boost::asio::io_context& context, StandinTargetOptions options);
    ~StandinTarget();
    StandinTarget(const StandinTarget&) = delete;
    StandinTarget& operator=(const StandinTarget&) = delete;

    /**
     * Listens and begins the cold start.
     * @param[out] error Text of the system error on failure.
     * @return Whether it listens.
     */
    bool start(std::string& error);

    Endpoint endpoint() const { return m_server.endpoint(); }
    Incarnation incarnation() const { return m_options.incarnation; }
    const StandinTargetTruth& truth() const { return m_truth; }

    /** Closes the port and all connections at once, as when the process dies. */
    void die();

private:
    using Clock = std::chrono::steady_clock;
    using Parts = std::vector<std::string>;

    struct Running {
        Http2Responder responder;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::string body;
    };

    struct Feed {
        std::string flow;
        Http2Responder responder;
        std::uint64_t sequence {};
    };

    struct Upload {
        std::map<std::uint64_t, std::uint64_t> chunks; ///< Hash of the content by sequence.
        bool committed {};
    };

    struct Report {
        Clock::time_point time;
        std::string state;
        std::uint64_t load {};
    };

    /** One row of the table of paths; the path begins with `first`. */
    struct Route {
        std::string_view method;
        std::string_view first;
        std::size_t parts;
        void (StandinTarget::*handler)(const Http2Request&, const UrlPath&, const Http2Responder&);
    };

    static const std::array<Route, 9> routes;

    void handle(const Http2Request& request, const Http2Responder& responder);
    void postRequest(const Http2Request& request, const UrlPath& path, const Http2Responder& responder);
    void deleteRequest(const Http2Request& request, const UrlPath& path, const Http2Responder& responder);
    void putChunk(const Http2Request& request, const UrlPath& path, const Http2Responder& responder);
    void commitUpload(const Http2Request& request, const UrlPath& path, const Http2Responder& responder);
    void getFeed(const Http2Request& request, const UrlPath& path, const Http2Responder& responder);
    void getHealth(const Http2Request& request, const UrlPath& path, const Http2Responder& responder);
    void getSeen(const Http2Request& request, const UrlPath& path, const Http2Responder& responder);
    void postTest(const Http2Request& request, const UrlPath& path, const Http2Responder& responder);

    bool refuseWrongService(const Http2Request& request, const UrlPath& path, const Http2Responder& responder);
    void refuse(const Http2Responder& responder);
    void run(const Http2Request& request, const std::string& id, const Http2Responder& responder);
    void finish(std::uint64_t run, const std::string& id);
    void recordNewWork();
    void recordPacket();
    void armFeeds();
    void emitEvents();
    void recordReport();
    bool isCold() const;
    std::uint64_t capacity() const;
    std::uint64_t openUploads() const;
    std::string_view state() const;
    std::chrono::microseconds drawServiceTime();
    static std::uint64_t millisecondsSince(Clock::time_point time);
    static std::string uploadKey(const Http2Request& request, const UrlPath& path);

    boost::asio::io_context& m_context;
    StandinTargetOptions m_options;
    StandinTargetSettings& m_settings;
    StandinTargetTruth m_truth;
    std::mt19937_64 m_random;
    boost::asio::steady_timer m_feedTimer;
    std::map<std::uint64_t, std::pair<std::string, Running>> m_running; ///< By number of the run.
    std::uint64_t m_lastRun {};
    std::map<std::uint64_t, Feed> m_feeds; ///< By number, because two callers may use one flow id.
    std::uint64_t m_lastFeed {};
    std::map<std::string, Upload> m_uploads; ///< By caller and flow.
    std::deque<Report> m_reports; ///< Recent states, the newest last; for reports that lag.
    Clock::time_point m_coldUntil;
    bool m_draining {};
    bool m_outOfService {};
    Clock::time_point m_drainTime;
    Clock::time_point m_outOfServiceSince;
    Http2Server m_server; ///< Last, so that it is closed before what its handlers use.
};

} // namespace hawthorncroft
