#include "transit_shell.h"

#include "clock_func.h"
#include "table/transit_limits.h"

#include <algorithm>
#include <csignal>
#include <limits>
#include <unistd.h>

namespace hawthorncroft {

TransitShell::TransitShell(TransitShellOptions options, boost::asio::io_context& context, TransitCore& core,
    const PacketFormat& format, StoreClient& store)
    : m_options(std::move(options))
    , m_context(context)
    , m_core(core)
    , m_format(format)
    , m_store(store)
    , m_log(STDOUT_FILENO, m_options.part, m_options.vm)
    , m_packetSocket(context)
    , m_fleetSocket(context)
    , m_egress(m_options.linkBytesPerSecond)
    , m_egressTimer(context)
    , m_timer(context)
    , m_signals(context, SIGTERM, SIGINT, SIGHUP)
    , m_probe(context)
    , m_probeTimer(context)
{
}

std::string TransitShell::start()
{
    std::string error = m_packetSocket.open(m_options.packets);
    if (!error.empty())
        return toString(m_options.packets) + ": " + error;
    error = m_fleetSocket.open(m_options.fleet);
    if (!error.empty())
        return toString(m_options.fleet) + ": " + error;
    error = m_statusServer.open(m_context, m_options.status,
        [this](const std::string& target, const TransitHttpServer::ReplyCallback& reply) { reply(answer(target)); });
    if (!error.empty())
        return toString(m_options.status) + ": " + error;
    m_packetSocket.start([this](Endpoint, std::span<const std::uint8_t> bytes) { onPacket(bytes); });
    m_fleetSocket.start([this](Endpoint from, std::span<const std::uint8_t> bytes) { onDatagram(from, bytes); });
    waitForSignal();
    log({ "started",
        { { "packets", toString(m_options.packets) }, { "fleet", toString(m_options.fleet) },
            { "status", toString(m_options.status) } } });
    tick();
    return {};
}

void TransitShell::log(const WriteLog& line) { m_log.write(line, monotonicNow()); }

void TransitShell::onPacket(std::span<const std::uint8_t> bytes)
{
    if (isAfterPause(monotonicNow())) {
        m_metrics.add(TransitCounter::PacketsDropped);
        return; // The next tick logs the pause and discards what the sockets still hold.
    }
    bool isFromTarget = static_cast<bool>(m_options.target);
    auto packet = m_format.decode(bytes, isFromTarget);
    if (!packet) {
        m_metrics.add(TransitCounter::Malformed);
        log({ "malformed_packet", { { "size", static_cast<std::int64_t>(bytes.size()) } } });
        return;
    }
    m_core.onPacket(std::move(*packet), monotonicNow(), m_effects);
    applyEffects();
}

void TransitShell::onDatagram(Endpoint from, std::span<const std::uint8_t> bytes)
{
    TimePoint now = monotonicNow();
    if (isAfterPause(now)) {
        m_metrics.add(TransitCounter::PacketsDropped);
        return;
    }
    auto reassembled = m_joiner.join(from, bytes, now);
    if (!reassembled)
        return;
    auto message = decodeMessage(*reassembled, m_format, now);
    if (!message) {
        m_metrics.add(TransitCounter::Malformed);
        log({ "malformed_message",
            { { "peer", toString(from) }, { "size", static_cast<std::int64_t>(reassembled->size()) } } });
        return;
    }
    m_core.receive(from, std::move(*message), now, m_effects);
    applyEffects();
}

void TransitShell::onSignal(int number)
{
    if (number == SIGHUP) {
        m_options.reload();
        return;
    }
    m_core.onStop(monotonicNow(), m_effects);
    applyEffects();
}

void TransitShell::onStoreAnswer(StoreAnswer answer)
{
    TimePoint now = monotonicNow();
    StoreEra era = answer.era;
    if (auto* page = std::get_if<StorePage>(&answer.outcome))
        m_core.onStorePage(std::move(page->changes), { era, page->asOf }, page->nextAfter, now, m_effects);
    else if (auto* changes = std::get_if<StoreChanges>(&answer.outcome))
        m_core.onStoreChanges(changes->changes, { era, changes->asOf }, now, m_effects);
    else
        m_core.onStoreFailure(std::get<StoreFailure>(answer.outcome), era, now, m_effects);
    applyEffects();
}

bool TransitShell::isAfterPause(TimePoint now) const { return m_lastTickAt && now >= *m_lastTickAt + stalePacketAge; }

void TransitShell::discardStale(TimePoint now)
{
    std::size_t count = m_packetSocket.discardWaiting() + m_fleetSocket.discardWaiting();
    m_metrics.add(TransitCounter::PacketsDropped, count);
    log({ "pause",
        { { "paused_ms", (now - *m_lastTickAt).us / 1000 }, { "packets_dropped", static_cast<std::int64_t>(count) },
            { "revision", static_cast<std::int64_t>(m_core.fleet().view().through().revision.value) } } });
}

void TransitShell::tick()
{
    TimePoint now = monotonicNow();
    // After a pause, callers have abandoned or retransmitted the waiting packets. A request must not run after its
    // caller has given up.
    if (isAfterPause(now))
        discardStale(now);
    m_lastTickAt = now;
    if (m_options.linkBytesPerSecond)
        m_core.onEgressState(m_egress.state(now));
    m_core.onTick(now, m_effects);
    applyEffects();
    logEgressDrops(now);
    if (m_core.isFinished(now)) {
        log({ "stopped", {} });
        m_context.stop();
        return;
    }
    armTimer();
}

void TransitShell::armTimer()
{
    m_timer.expires_after(std::chrono::microseconds(tickInterval.us));
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            tick();
    });
}

void TransitShell::applyEffects()
{
    // Executing an effect never calls the core synchronously, so the list does not grow during this loop.
    for (auto& effect : m_effects)
        std::visit([this](auto& kind) { applyEffect(kind); }, effect);
    m_effects.clear();
    if (!m_egress.empty())
        releaseEgress(monotonicNow());
}

UdpSocket& TransitShell::socketOf(EgressSocket socket)
{
    return socket == EgressSocket::Fleet ? m_fleetSocket : m_packetSocket;
}

void TransitShell::sendOrQueue(const EgressDatagram& head, std::span<const std::uint8_t> bytes, TimePoint now)
{
    if (m_egress.trySend(bytes.size(), now)) {
        socketOf(head.socket).send(head.to, bytes);
        return;
    }
    EgressDatagram datagram = head;
    datagram.bytes.assign(bytes.begin(), bytes.end());
    m_egress.push(std::move(datagram), now);
}

void TransitShell::releaseEgress(TimePoint now)
{
    while (auto datagram = m_egress.pop(now))
        socketOf(datagram->socket).send(datagram->to, datagram->bytes);
    armEgressTimer();
}

void TransitShell::armEgressTimer()
{
    // A fast link sends more than the burst between two ticks.
    auto releaseAt = m_egress.releaseAt();
    if (!releaseAt || m_isEgressTimerArmed)
        return;
    m_isEgressTimerArmed = true;
    m_egressTimer.expires_after(std::chrono::microseconds((*releaseAt - monotonicNow()).us));
    m_egressTimer.async_wait([this](boost::system::error_code error) {
        m_isEgressTimerArmed = false;
        if (!error)
            releaseEgress(monotonicNow());
    });
}

void TransitShell::logEgressDrops(TimePoint now)
{
    auto reports = m_egress.takeDrops();
    for (std::size_t i = 0; i < reports.size(); ++i) {
        const TransitEgress::DropReport& report = reports[i];
        if (!report.drops.datagrams)
            continue;
        log({ "egress_dropped",
            { { "reason", std::string(nameOf(static_cast<EgressDrop>(i))) },
                { "datagrams", static_cast<std::int64_t>(report.drops.datagrams) },
                { "bytes", static_cast<std::int64_t>(report.drops.bytes) }, { "flow", toString(report.flow.caller) },
                { "to", toString(report.flow.service) }, { "class", static_cast<std::int64_t>(report.order.rank) },
                { "age_ms", report.age.us / 1000 }, { "waiting_bytes", m_egress.state(now).waitingBytes },
                { "link_bytes_per_s", m_options.linkBytesPerSecond } } });
    }
}

void TransitShell::applyEffect(SendMessage& effect)
{
    m_metrics.add(TransitCounter::MessagesOut);
    EgressDatagram head { .socket = EgressSocket::Fleet, .to = effect.to };
    head.flowHash = std::hash<Endpoint> {}(effect.to);
    if (const FlowTuple* flow = forwardedFlowOf(effect.body); flow && m_options.linkBytesPerSecond) {
        const RouteRecord* route = m_core.fleet().view().routeAt(flow->service);
        head.order = egressClassOf(effect.body, route ? route->priority : std::numeric_limits<std::uint8_t>::max());
        head.flowHash = hashOf(*flow);
        head.flow = *flow;
    }
    TimePoint now = monotonicNow();
    auto outgoing = m_core.outgoing(std::move(effect), now);
    if (outgoing.counter)
        m_metrics.add(*outgoing.counter);
    head.to = outgoing.to;
    sendMessage(head, outgoing.message, now);
}

void TransitShell::applyEffect(RelayMessage& effect)
{
    EgressDatagram head {
        .flowHash = std::hash<Endpoint> {}(effect.to), .socket = EgressSocket::Fleet, .to = effect.to
    };
    sendMessage(head, effect.message, monotonicNow());
}

void TransitShell::sendMessage(const EgressDatagram& head, const Message& message, TimePoint now)
{
    auto datagrams = m_joiner.split(encodeMessage(message, now));
    if (datagrams.empty())
        log({ "message_too_long", { { "peer", toString(head.to) } } });
    bool isInSameDomain = m_core.fleet().isInSameDomain(head.to);
    for (const auto& datagram : datagrams) {
        m_metrics.countSent(message.body.index(), isInSameDomain, datagram.size());
        sendOrQueue(head, datagram, now);
    }
}

void TransitShell::applyEffect(DeliverToTarget& effect)
{
    m_format.setTag(effect.packet, effect.tag);
    m_packetSocket.send(m_options.target, effect.packet.bytes);
}

void TransitShell::applyEffect(DeliverToCaller& effect)
{
    m_packetSocket.send({ effect.packet.flow.caller.address, m_options.callerPort }, effect.packet.bytes);
}

void TransitShell::applyEffect(ResetCaller& effect)
{
    EgressDatagram head { .flowHash = hashOf(effect.flow), .flow = effect.flow, .socket = EgressSocket::Packets };
    head.to = { effect.flow.caller.address, m_options.callerPort };
    sendOrQueue(head, m_format.makeReset(effect.flow, effect.sequence), monotonicNow());
}

void TransitShell::applyEffect(ReadStore& effect)
{
    m_store.read(effect, [this](StoreAnswer answer) { onStoreAnswer(std::move(answer)); });
}

void TransitShell::applyEffect(WatchStore& effect)
{
    m_store.watch(effect, [this](StoreAnswer answer) { onStoreAnswer(std::move(answer)); });
}

void TransitShell::applyEffect(ProbeTarget&)
{
    if (m_probe.is_open())
        return; // A probe is already in progress.
    boost::system::error_code openError;
    m_probe.open(boost::asio::ip::tcp::v4(), openError);
    if (openError) {
        log({ "target_probed", { { "outcome", openError.message() } } });
        return;
    }
    m_probeTimer.expires_after(std::chrono::microseconds(probeTimeout.us));
    m_probeTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            m_probe.close();
    });
    boost::asio::ip::tcp::endpoint target(boost::asio::ip::address_v4(m_options.target.address), m_options.target.port);
    m_probe.async_connect(target, [this](boost::system::error_code error) { onProbed(error); });
}

void TransitShell::onProbed(boost::system::error_code error)
{
    m_probeTimer.cancel();
    boost::system::error_code ignored; // A failed close needs no handling: the probe's result is already known.
    m_probe.close(ignored);
    bool isRefused = error == boost::asio::error::connection_refused;
    log({ "target_probed", { { "outcome", error ? error.message() : std::string("connected") } } });
    if (error && !isRefused)
        return; // Other errors do not tell whether the target's process is running.
    m_core.onTargetProbe(!isRefused, monotonicNow(), m_effects);
    applyEffects();
}

void TransitShell::applyEffect(WriteLog& effect) { log(effect); }

void TransitShell::applyEffect(CountEvent& effect) { m_metrics.add(effect.counter, effect.amount); }

void TransitShell::applyEffect(RecordTime& effect) { m_metrics.record(effect.distribution, effect.time); }

HttpReply TransitShell::answer(std::string_view target)
{
    if (target == m_options.readyPath)
        return m_core.isReady() ? HttpReply { 200, "ready\n" } : HttpReply { 503, "not ready\n" };
    if (target == m_options.metricsPath)
        return metricsPage();
    std::string_view path = target.substr(0, target.find('?'));
    target.remove_prefix(std::min(path.size() + 1, target.size()));
    return m_core.page(path, target, monotonicNow());
}

HttpReply TransitShell::metricsPage()
{
    const TransitFleet& fleet = m_core.fleet();
    TimePoint now = monotonicNow();
    auto age = fleet.viewAge(now);
    EgressState egress = m_egress.state(now);
    std::vector<TransitGauge> gauges {
        { "view_revision", static_cast<std::int64_t>(fleet.view().through().revision.value) },
        { "view_age_us", age ? age->us : -1 },
        { "store_era", static_cast<std::int64_t>(fleet.view().through().era.value) },
        { "configuration_version", static_cast<std::int64_t>(fleet.view().configuration().version) },
        { "retained_entries", static_cast<std::int64_t>(fleet.view().retainedCount()) },
        { "members", static_cast<std::int64_t>(fleet.members().size()) },
        { "targets", static_cast<std::int64_t>(fleet.view().targets().size()) },
        { "unknown_service_addresses", static_cast<std::int64_t>(fleet.view().unknownServiceCount()) },
        { "broken_paths", static_cast<std::int64_t>(fleet.paths().brokenCount()) },
        { "datagrams_not_taken", static_cast<std::int64_t>(m_packetSocket.dropped() + m_fleetSocket.dropped()) },
        { "egress_waiting_bytes", egress.waitingBytes },
        { "egress_dropped_total{reason=\"age\"}",
            static_cast<std::int64_t>(egress.droppedBy(EgressDrop::Age).datagrams) },
        { "egress_dropped_total{reason=\"bytes\"}",
            static_cast<std::int64_t>(egress.droppedBy(EgressDrop::Bytes).datagrams) },
        { "log_lines_left_out", static_cast<std::int64_t>(m_log.dropped()) },
    };
    auto ofCore = m_core.gauges(now);
    gauges.insert(gauges.end(), ofCore.begin(), ofCore.end());
    return { 200, m_metrics.text(gauges) };
}

void TransitShell::waitForSignal()
{
    m_signals.async_wait([this](boost::system::error_code error, int number) {
        if (error)
            return;
        onSignal(number);
        waitForSignal();
    });
}

} // namespace hawthorncroft
