/**
 * @file standin_target.h
 * Stand-in for a target, with the HTTP paths that an agent uses:
 *
 * - `POST /requests/ID` runs a request. Headers: `caller`, `flow`, `service`, `deadline-ms` (remaining time),
 * `idempotent`. 200 with "answer ID BODY"; 421 for another service; 499 when cancelled; 500 when overloaded; 503 with
 * `retry-after` (seconds) and `retry-after-ms` when shedding or draining; 504 when no time remains. Only requests
 * answered with 200 or 499 ran.
 * - `DELETE /requests/ID` cancels it: 200, or 404 when it is not running.
 * - `PUT /uploads/FLOW/SEQ` stores a chunk, idempotent by caller, flow and sequence: 200; 409 when the content differs.
 * - `POST /uploads/FLOW/commit?chunks=N` commits the upload: 200, or 409 with `{missing}`; idempotent.
 * - `GET /feeds/FLOW?service=S` streams one line per event, "event N FLOW", until the peer closes the stream.
 * - `GET /health` returns `{state: cold|ready|draining, load, incarnation, slots}` with the load in 1/1000 of the
 * slots.
 *
 * Test paths: `POST /test/settings` (standin_target_type.h), `POST /test/drain`, `POST /test/undrain`,
 * `POST /test/cold` with `{ms}`, `POST /test/out`, `POST /test/die`, and `GET /test/seen` for the ground truth;
 * `/test/seen?short=1` leaves out the list of executed ids.
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
    Incarnation incarnation; ///< Zero selects a random one.
    std::function<void()> die; ///< Called by `POST /test/die` after the sockets are closed; optional.
};

class StandinTarget {
public:
    StandinTarget(boost::asio::io_context& context, StandinTargetOptions options);
    ~StandinTarget();
    StandinTarget(const StandinTarget&) = delete;
    StandinTarget& operator=(const StandinTarget&) = delete;

    /**
     * Listens and starts the cold period.
     * @param[out] error Text of the system error on failure.
     * @return Whether it listens.
     */
    bool start(std::string& error);

    Endpoint endpoint() const { return m_server.endpoint(); }
    Incarnation incarnation() const { return m_options.incarnation; }
    const StandinTargetTruth& truth() const { return m_truth; }

    /** Closes the port and all connections immediately, as a crash of the process does. */
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

    /** Entry of the routing table; matches paths whose first segment is `first`. */
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
    std::map<std::uint64_t, std::pair<std::string, Running>> m_running; ///< Keyed by run number.
    std::uint64_t m_lastRun {};
    std::map<std::uint64_t, Feed> m_feeds; ///< Keyed by a local number, because two callers may use the same flow id.
    std::uint64_t m_lastFeed {};
    std::map<std::string, Upload> m_uploads; ///< Keyed by caller and flow.
    std::deque<Report> m_reports; ///< Recent states, newest last; source of delayed health reports.
    Clock::time_point m_coldUntil;
    bool m_draining {};
    bool m_outOfService {};
    Clock::time_point m_drainTime;
    Clock::time_point m_outOfServiceSince;
    Http2Server m_server; ///< Declared last, so that it is destroyed before the members that its handlers use.
};

} // namespace hawthorncroft
