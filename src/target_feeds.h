/**
 * @file target_feeds.h
 * Feeds that are open at the target. Each is one HTTP/2 stream on a pool of connections; each line of it is one event.
 */
#pragma once

#include "http2_base.h"
#include "target_type.h"

#include <functional>
#include <unordered_map>

namespace hawthorncroft {

/** The feeds of one agent. Used only by the thread that runs the io_context. */
class TargetFeeds {
public:
    using Report = std::function<void(TargetReport)>;

    /**
     * @param context Runs the connections.
     * @param target HTTP/2 endpoint of the target.
     * @param report Called when a feed is opened, delivers an event or ends.
     */
    TargetFeeds(boost::asio::io_context& context, Endpoint target, Report report);

    void open(const OpenFeed& feed);
    void close(const FlowKey& key);
    void pause(const FlowKey& key);
    void resume(const FlowKey& key);

    /** @return Number of open feeds. */
    std::size_t size() const { return m_feeds.size(); }

private:
    struct Feed {
        Http2Client* client {};
        Http2CallId call {};
        std::uint64_t generation {}; ///< Distinguishes a feed from an earlier one of the same flow.
        std::string line; ///< Incomplete line: the start of the next event.
    };

    Http2Client& clientWithRoom();
    Feed* find(const FlowKey& key, std::uint64_t generation);
    void onData(const FlowKey& key, std::uint64_t generation, std::string_view data);
    void onEnd(const FlowKey& key, std::uint64_t generation, const Http2Result& result);

    boost::asio::io_context& m_context;
    Endpoint m_target;
    Report m_report;
    std::vector<std::unique_ptr<Http2Client>> m_clients;
    std::unordered_map<FlowKey, Feed> m_feeds;
    std::uint64_t m_lastGeneration {};
};

/** @return HTTP headers that identify a flow and its service to the target. */
Http2Headers headersOf(const FlowKey& key, ServiceId service);

} // namespace hawthorncroft
