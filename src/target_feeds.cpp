#include "target_feeds.h"

#include "table/limits.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    constexpr std::size_t feedsPerConnection
        = 200; ///< Below the number of concurrent streams that HTTP/2 servers commonly allow.

}

Http2Headers headersOf(const FlowKey& key, ServiceId service)
{
    return { { "caller", std::to_string(key.caller.value) }, { "flow", std::to_string(key.flow.value) },
        { "service", std::to_string(service.value) } };
}

TargetFeeds::TargetFeeds(boost::asio::io_context& context, Endpoint target, Report report)
    : m_context(context)
    , m_target(target)
    , m_report(std::move(report))
{
}

Http2Client& TargetFeeds::clientWithRoom()
{
    auto hasRoom = [](const auto& client) { return client->openCalls() < feedsPerConnection; };
    auto client = std::find_if(m_clients.begin(), m_clients.end(), hasRoom);
    if (client != m_clients.end())
        return **client;
    return *m_clients.emplace_back(std::make_unique<Http2Client>(m_context, m_target));
}

void TargetFeeds::open(const OpenFeed& effect)
{
    close(effect.key);
    Http2Call call;
    call.request.path = "/feeds/" + std::to_string(effect.key.flow.value)
        + "?service=" + std::to_string(effect.service.value) + "&after=" + std::to_string(effect.after);
    call.request.headers = headersOf(effect.key, effect.service);
    call.request.body.assign(effect.subscription.begin(), effect.subscription.end());
    std::uint64_t generation = ++m_lastGeneration;
    FlowKey key = effect.key;
    call.onHeaders = [this, key](int status, const Http2Headers&) {
        if (status == 200)
            m_report(TargetFeedOpened { key });
    };
    call.onData = [this, key, generation](std::string_view data) { onData(key, generation, data); };
    Http2Client& client = clientWithRoom();
    Http2CallId id = client.send(
        std::move(call), [this, key, generation](const Http2Result& result) { onEnd(key, generation, result); });
    m_feeds[key] = { .client = &client, .call = id, .generation = generation };
}

TargetFeeds::Feed* TargetFeeds::find(const FlowKey& key, std::uint64_t generation)
{
    auto feed = m_feeds.find(key);
    return feed != m_feeds.end() && feed->second.generation == generation ? &feed->second : nullptr;
}

void TargetFeeds::onData(const FlowKey& key, std::uint64_t generation, std::string_view data)
{
    Feed* feed = find(key, generation);
    if (!feed)
        return;
    for (char c : data) {
        if (c != '\n') {
            // The buffer holds one byte more than the limit, so that the agent core detects an oversized event and ends
            // the feed.
            if (feed->line.size() <= maxPayloadBytes)
                feed->line += c;
            continue;
        }
        m_report(TargetEvent { key, std::vector<std::uint8_t>(feed->line.begin(), feed->line.end()) });
        feed->line.clear();
    }
}

void TargetFeeds::onEnd(const FlowKey& key, std::uint64_t generation, const Http2Result& result)
{
    // close() removes the feed before its stream ends, so there is nothing to report for it.
    if (!find(key, generation))
        return;
    m_feeds.erase(key);
    m_report(TargetFeedEnded { key, !result.succeeded() });
}

void TargetFeeds::close(const FlowKey& key)
{
    auto found = m_feeds.find(key);
    if (found == m_feeds.end())
        return;
    Feed feed = std::move(found->second);
    m_feeds.erase(found);
    feed.client->cancel(feed.call);
}

void TargetFeeds::pause(const FlowKey& key)
{
    auto feed = m_feeds.find(key);
    if (feed != m_feeds.end())
        feed->second.client->pause(feed->second.call);
}

void TargetFeeds::resume(const FlowKey& key)
{
    auto feed = m_feeds.find(key);
    if (feed != m_feeds.end())
        feed->second.client->resume(feed->second.call);
}

} // namespace hawthorncroft
