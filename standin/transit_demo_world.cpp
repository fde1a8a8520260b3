#include "transit_demo_world.h"

#include "standin_func.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

namespace hawthorncroft {

namespace json = boost::json;

namespace {

    constexpr PacketFlags opening { .isOpening = true };
    constexpr PacketFlags acknowledging { .hasAcknowledgement = true };
    constexpr PacketFlags openingAnswer { .isOpening = true, .hasAcknowledgement = true };
    constexpr PacketFlags closing { .hasAcknowledgement = true, .isFinal = true };
    constexpr std::chrono::milliseconds retransmitInterval { 200 };
    constexpr std::chrono::milliseconds pauseBetweenRequests { 60 };
    constexpr std::chrono::milliseconds lateThreshold { 500 };
    constexpr std::size_t maxRetransmissions = 8; ///< Afterwards the caller gives up and opens another flow.

    std::string base64(const std::string& text)
    {
        std::string encoded(boost::beast::detail::base64::encoded_size(text.size()), '\0');
        encoded.resize(boost::beast::detail::base64::encode(encoded.data(), text.data(), text.size()));
        return encoded;
    }

}

DemoStore::DemoStore(boost::asio::io_context& context, Endpoint listen)
    : m_context(context)
    , m_listen(listen)
{
}

std::string DemoStore::start()
{
    return m_server.open(m_context, m_listen,
        [this](const std::string& path, const TransitHttpServer::ReplyCallback& reply) { answer(path, reply); });
}

void DemoStore::put(const std::string& key, const std::string& value)
{
    m_items[key] = { value, ++m_revision, false };
    answerWatches();
}

void DemoStore::remove(const std::string& key)
{
    m_items[key] = { {}, ++m_revision, true };
    answerWatches();
}

void DemoStore::answer(const std::string& path, const TransitHttpServer::ReplyCallback& reply)
{
    ++m_calls;
    UrlPath url = splitPath(path);
    if (m_isAway) {
        reply(replyOf(503));
        return;
    }
    if (path.starts_with("/kv-range")) {
        reply(replyOf(200, itemsAfter(0, true)));
        return;
    }
    auto watch = std::make_shared<Watch>();
    watch->after = toNumber(url.query["after"], 0);
    watch->reply = reply;
    watch->timer = std::make_shared<boost::asio::steady_timer>(
        m_context, std::chrono::milliseconds(toNumber(url.query["WaitMs"], 1000)));
    watch->timer->async_wait([this, watch](boost::system::error_code) {
        if (!watch->reply)
            return;
        answerWatch(*watch);
        watch->reply = nullptr;
        std::erase(m_watches, watch);
    });
    m_watches.push_back(watch);
    answerWatches();
}

void DemoStore::goAway()
{
    m_isAway = true;
    answerWatches();
}

void DemoStore::comeBackFromCopy()
{
    m_items = m_copy.items;
    m_revision = m_copy.revision;
    ++m_era;
    m_isAway = false;
}

HttpReply DemoStore::replyOf(unsigned status, std::string body) const
{
    return { .status = status, .body = std::move(body), .headers = { { "Store-Era", std::to_string(m_era) } } };
}

void DemoStore::answerWatch(Watch& watch)
{
    if (m_isAway)
        watch.reply(replyOf(503));
    else if (watch.after > m_revision)
        watch.reply(replyOf(410));
    else
        watch.reply(replyOf(200, itemsAfter(watch.after, false)));
}

void DemoStore::answerWatches()
{
    for (const auto& watch : m_watches) {
        if (m_isAway || watch->after != m_revision)
            watch->timer->cancel(); // The handler of the timer answers the watch.
    }
}

std::string DemoStore::itemsAfter(std::uint64_t after, bool isRange) const
{
    json::array items;
    for (const auto& [key, item] : m_items) {
        if (item.revision <= after || (isRange && item.isRemoved))
            continue;
        if (item.isRemoved)
            items.push_back({ { "Key", key }, { "Revision", item.revision }, { "Deleted", true } });
        else
            items.push_back({ { "Key", key }, { "Value", base64(item.value) }, { "Revision", item.revision } });
    }
    if (isRange)
        return json::serialize(json::object { { "items", items }, { "Truncated", false }, { "AsOf", m_revision } });
    return json::serialize(json::object { { "events", items }, { "AsOf", m_revision } });
}

DemoTarget::DemoTarget(
    boost::asio::io_context& context, std::uint32_t address, const DemoPorts& ports, std::string service)
    : m_context(context)
    , m_socket(context)
    , m_self { address, ports.target }
    , m_outbound { address, ports.outbound }
    , m_service(std::move(service))
{
}

std::string DemoTarget::start()
{
    std::string error
        = m_health.open(m_context, m_self, [](const std::string&, const TransitHttpServer::ReplyCallback& reply) {
              reply({ 200, "healthy\n" });
          });
    if (error.empty())
        error = m_socket.open(m_self);
    if (error.empty())
        m_socket.start([this](Endpoint, std::span<const std::uint8_t> bytes) { onPacket(bytes); });
    return error;
}

void DemoTarget::onPacket(std::span<const std::uint8_t> bytes)
{
    auto packet = PlatformPacketFormat().decode(bytes, false);
    if (!packet)
        return;
    auto found = m_flows.find(packet->flow);
    if (packet->flags.isOpening) {
        if (found == m_flows.end()) {
            ++m_opened;
            found
                = m_flows
                      .emplace(packet->flow, Flow { static_cast<std::uint32_t>(hashOf(packet->flow) ^ m_self.address) })
                      .first;
        }
        send(*packet, openingAnswer, found->second.sequence, packet->sequence + 1, 0);
        return;
    }
    if (found == m_flows.end()) {
        packet->flags.isReturned = true;
        PacketHeader head { packet->flow.caller, packet->flow.service, packet->flags, packet->sequence,
            packet->acknowledged, packet->tag };
        std::string data(packet->bytes.end() - packet->dataSize, packet->bytes.end());
        m_socket.send(m_outbound, encodePacket(head, data));
        return;
    }
    if (packet->flags.isFinal) {
        m_flows.erase(found);
        return;
    }
    if (!packet->dataSize)
        return;
    send(*packet, acknowledging, found->second.sequence + 1, packet->sequence + packet->dataSize, 200);
}

void DemoTarget::send(const TransitPacket& packet, PacketFlags flags, std::uint32_t sequence,
    std::uint32_t acknowledged, std::size_t data)
{
    m_socket.send(m_outbound,
        encodePacket(
            { packet.flow.service, packet.flow.caller, flags, sequence, acknowledged }, std::string(data, 'a')));
}

DemoCaller::DemoCaller(boost::asio::io_context& context, std::uint32_t address, const DemoPorts& ports,
    Endpoint service, std::size_t requestsPerFlow, std::function<Endpoint(const FlowTuple&)> route)
    : m_socket(context)
    , m_timer(context)
    , m_self { address, ports.data }
    , m_dataPort(ports.data)
    , m_requestsPerFlow(requestsPerFlow)
    , m_route(std::move(route))
    , m_flow { { address, 30000 }, service }
{
}

std::string DemoCaller::start()
{
    std::string error = m_socket.open(m_self);
    if (!error.empty())
        return error;
    m_socket.start([this](Endpoint, std::span<const std::uint8_t> bytes) { onPacket(bytes); });
    openFlow();
    return {};
}

void DemoCaller::openFlow()
{
    if (m_isStopped)
        return;
    ++m_flow.caller.port;
    m_isOpen = false;
    m_answeredOnFlow = 0;
    m_retransmissions = 0;
    if (!m_isRequestPending) {
        m_isRequestPending = true;
        ++m_requested;
        m_requestedAt = std::chrono::steady_clock::now();
    }
    m_socket.send(m_route(m_flow), packet(opening, 0, {}));
    startTimer(retransmitInterval, [this] { retransmit(); });
}

void DemoCaller::sendRequest()
{
    if (!m_isRequestPending) {
        m_isRequestPending = true;
        ++m_requested;
        m_requestedAt = std::chrono::steady_clock::now();
        m_retransmissions = 0;
    }
    m_socket.send(m_route(m_flow), packet(acknowledging, m_targetSequence + 1, "GET / HTTP/1.1\r\n\r\n"));
    startTimer(retransmitInterval, [this] { retransmit(); });
}

void DemoCaller::retransmit()
{
    if (++m_retransmissions > maxRetransmissions) {
        m_isRequestPending = false;
        openFlow();
        return;
    }
    if (m_isOpen) {
        sendRequest();
        return;
    }
    m_socket.send(m_route(m_flow), packet(opening, static_cast<std::uint32_t>(m_retransmissions), {}));
    startTimer(retransmitInterval, [this] { retransmit(); });
}

void DemoCaller::onPacket(std::span<const std::uint8_t> bytes)
{
    auto received = PlatformPacketFormat().decode(bytes, true);
    if (!received || received->flow != m_flow)
        return;
    if (received->flags.isReset) {
        ++m_resets;
        startTimer(std::chrono::milliseconds(5), [this] { openFlow(); });
        return;
    }
    if (received->flags.isOpening) {
        if (m_isOpen)
            return;
        m_isOpen = true;
        m_targetSequence = received->sequence;
        sendRequest();
        return;
    }
    if (!received->dataSize || !m_isRequestPending)
        return;
    m_isRequestPending = false;
    ++m_answered;
    m_late += std::chrono::steady_clock::now() - m_requestedAt > lateThreshold;
    m_sequence += 18;
    if (m_isStopped) {
        m_timer.cancel();
        return;
    }
    if (++m_answeredOnFlow < m_requestsPerFlow) {
        startTimer(pauseBetweenRequests, [this] { sendRequest(); });
        return;
    }
    m_socket.send(m_route(m_flow), packet(closing, m_targetSequence + 1, {}));
    startTimer(pauseBetweenRequests, [this] { openFlow(); });
}

void DemoCaller::startTimer(std::chrono::milliseconds time, std::function<void()> action)
{
    m_timer.expires_after(time);
    m_timer.async_wait([action = std::move(action)](boost::system::error_code error) {
        if (!error)
            action();
    });
}

std::vector<std::uint8_t> DemoCaller::packet(
    PacketFlags flags, std::uint32_t acknowledged, const std::string& data) const
{
    return encodePacket({ m_flow.caller, m_flow.service, flags, m_sequence, acknowledged }, data);
}

} // namespace hawthorncroft
