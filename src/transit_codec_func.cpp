#include "transit_codec_func.h"

#include "generated/transit_generated.h"

#include "table/transit_limits.h"

#include <algorithm>
#include <limits>

namespace hawthorncroft {

namespace wire = transit_wire;

namespace {

    /** Kind of a message on the wire: the index of its type in MessageBody. */
    enum class Kind : std::uint8_t {
        Forward,
        Held,
        Declined,
        NotHeld,
        InventoryUpdate,
        Stamp,
        Delta,
        Leaving,
        Locate,
        NotHeldFlows,
        InventoryResync,
        AbsenceReport,
        InventoryAck,
    };

    constexpr std::uint8_t flagLocating = 1;
    constexpr std::uint8_t flagOpening = 2;
    constexpr std::uint8_t flagWantsReply = 4;
    constexpr std::uint8_t flagKeys = 8;
    constexpr std::uint8_t flagWantsFullDelta = 16;
    constexpr std::uint8_t flagReady = 32; ///< Of a StampMessage.
    constexpr std::uint8_t flagHeartbeat = 32; ///< Of an InventoryUpdateMessage.
    constexpr std::uint8_t flagComplete = 64;
    constexpr std::uint8_t flagTakesRelayed = 64; ///< Of a StampMessage.
    constexpr std::uint8_t flagFinal = 128;
    constexpr std::uint8_t flagRegistered = 1; ///< Of an InventoryUpdateMessage, which does not use flagLocating.

    std::uint64_t numberOf(std::int64_t rate) { return static_cast<std::uint64_t>(std::max<std::int64_t>(rate, 0)); }

    /** @return A rate of a message, at most the highest that the type can hold. */
    std::int64_t rateOf(std::uint64_t number)
    {
        constexpr std::uint64_t highest = std::numeric_limits<std::int64_t>::max();
        return static_cast<std::int64_t>(std::min(number, highest));
    }

    wire::Node nodeOf(Endpoint endpoint) { return { endpoint.address, endpoint.port }; }

    Endpoint endpointOf(const wire::Node& node) { return { node.address(), node.port() }; }

    template <typename Pointer> Endpoint endpointOf(const Pointer& node)
    {
        return node ? endpointOf(*node) : Endpoint {};
    }

    wire::Flow flowOf(const FlowTuple& flow) { return { nodeOf(flow.caller), nodeOf(flow.service) }; }

    FlowTuple tupleOf(const wire::Flow& flow) { return { endpointOf(flow.caller()), endpointOf(flow.service()) }; }

    void putLoad(wire::MessageT& out, const LoadReport& load)
    {
        out.load = std::make_unique<wire::Load>(load.busy, load.slots, load.flows);
        out.limit = load.limit;
        out.service_time_us = load.serviceTimeUs;
    }

    LoadReport loadOf(const wire::MessageT& in)
    {
        if (!in.load)
            return {};
        return { in.load->busy(), in.load->slots(), in.load->flows(), in.limit, in.service_time_us };
    }

    void putNodes(wire::MessageT& out, const std::vector<Endpoint>& endpoints)
    {
        for (Endpoint endpoint : endpoints)
            out.nodes.push_back(nodeOf(endpoint));
    }

    std::vector<Endpoint> endpointsOf(const wire::MessageT& in)
    {
        std::vector<Endpoint> endpoints;
        for (const auto& node : in.nodes)
            endpoints.push_back(endpointOf(node));
        return endpoints;
    }

    void putValue(wire::ItemT& out, const RouteRecord& route)
    {
        out.route = std::make_unique<wire::RouteT>();
        out.route->address = std::make_unique<wire::Node>(nodeOf(route.address));
        for (const auto& share : route.shares) {
            auto item = std::make_unique<wire::ShareT>();
            item->service = share.service;
            item->weight = share.weight;
            out.route->shares.push_back(std::move(item));
        }
        out.route->is_idempotent = route.isIdempotent;
        out.route->priority = route.priority;
        out.route->timeout_us = route.timeout.us;
        out.route->objective_us = route.latencyObjective.us;
    }

    void putValue(wire::ItemT& out, const ServiceRecord& service)
    {
        out.service = std::make_unique<wire::ServiceT>();
        out.service->name = service.name;
        out.service->flow_limit = service.flowLimit;
        out.service->warmup_us = service.warmup.us;
        out.service->warmup_per_second = service.warmupPerSecond;
    }

    void putValue(wire::ItemT& out, const TargetRecord& target)
    {
        out.target = std::make_unique<wire::TargetT>();
        out.target->id = target.id;
        out.target->service = target.service;
        out.target->address = std::make_unique<wire::Node>(nodeOf(target.address));
        out.target->failure_domain = target.failureDomain;
        out.target->slots = target.slots;
        out.target->is_draining = target.isDraining;
        out.target->cold_us = target.coldLeft.us;
        out.target->started_at = target.startedAt;
    }

    void putValue(wire::ItemT& out, const EvacuationRecord& evacuation)
    {
        out.evacuated_domain = evacuation.failureDomain;
    }

    std::unique_ptr<wire::ItemT> wireItemOf(const ViewItem& item, TimePoint now)
    {
        auto out = std::make_unique<wire::ItemT>();
        out->key = item.key;
        out->revision = item.position.revision.value;
        out->era = item.position.era.value;
        out->is_removed = item.isRemoved;
        out->is_missing = item.isMissing;
        out->carried_from = item.carriedFrom.value;
        out->hold_us = std::max<std::int64_t>((item.retainedUntil - now).us, 0);
        out->age_us = std::max<std::int64_t>((now - item.receivedAt).us, 0);
        if (item.value)
            std::visit([&](const auto& value) { putValue(*out, value); }, *item.value);
        return out;
    }

    RouteRecord routeOf(const wire::RouteT& in)
    {
        RouteRecord route {
            .address = endpointOf(in.address),
            .shares = {},
            .isIdempotent = in.is_idempotent,
            .priority = in.priority,
            .timeout = { in.timeout_us },
            .latencyObjective = { in.objective_us },
        };
        for (const auto& share : in.shares)
            route.shares.push_back({ share->service, share->weight });
        return route;
    }

    TargetRecord targetOf(const wire::TargetT& in)
    {
        return {
            .id = in.id,
            .service = in.service,
            .address = endpointOf(in.address),
            .failureDomain = in.failure_domain,
            .slots = in.slots,
            .isDraining = in.is_draining,
            .coldLeft = { in.cold_us },
            .startedAt = in.started_at,
        };
    }

    ViewItem itemOf(const wire::ItemT& in, TimePoint now)
    {
        ViewItem item {
            .key = in.key,
            .position = StorePosition(in.revision, in.era),
            .isRemoved = in.is_removed,
            .value = {},
            .retainedUntil = now + Duration { in.hold_us },
            .receivedAt = now,
            .isMissing = in.is_missing,
            .carriedFrom = Revision(in.carried_from),
        };
        if (in.route)
            item.value = routeOf(*in.route);
        else if (in.service)
            item.value = ServiceRecord { in.service->name, in.service->flow_limit, { in.service->warmup_us },
                in.service->warmup_per_second };
        else if (in.target) {
            TargetRecord target = targetOf(*in.target);
            // Warm-up time that has passed since the sender received the item.
            target.coldLeft = std::max(target.coldLeft - Duration { in.age_us }, Duration {});
            item.value = std::move(target);
        } else if (!in.evacuated_domain.empty())
            item.value = EvacuationRecord { in.evacuated_domain };
        return item;
    }

    void putForward(wire::MessageT& out, const ForwardMessage& body)
    {
        out.reply_to = std::make_unique<wire::Node>(nodeOf(body.replyTo));
        out.service = body.service;
        out.route_revision = body.routePosition.revision.value;
        out.route_era = body.routePosition.era.value;
        out.flags |= body.isLocating ? flagLocating : 0;
        out.hops = body.hops;
        putNodes(out, body.tried);
        out.packet = body.packet.bytes;
    }

    void putBody(wire::MessageT& out, const ForwardMessage& body, TimePoint) { putForward(out, body); }

    void putBody(wire::MessageT& out, const HeldMessage& body, TimePoint)
    {
        out.flow = std::make_unique<wire::Flow>(flowOf(body.flow));
        out.target_sequence = body.targetSequence;
        out.flags |= body.isOpening ? flagOpening : 0;
        putLoad(out, body.load);
    }

    void putBody(wire::MessageT& out, const DeclinedMessage& body, TimePoint)
    {
        putForward(out, body.forward);
        out.reason = static_cast<std::uint8_t>(body.reason);
        putLoad(out, body.load);
    }

    void putBody(wire::MessageT& out, const NotHeldMessage& body, TimePoint) { out.packet = body.packet.bytes; }

    void putFlows(wire::MessageT& out, const std::vector<FlowTuple>& flows)
    {
        for (const auto& flow : flows)
            out.flows.push_back(flowOf(flow));
    }

    void putBody(wire::MessageT& out, const InventoryUpdateMessage& body, TimePoint)
    {
        putFlows(out, body.flows);
        out.incarnation = body.incarnation;
        out.stream = body.stream;
        out.sequence = body.sequence;
        out.shard_count = body.shardCount;
        out.shards = body.shards;
        out.flags |= body.isHeartbeat ? flagHeartbeat : 0;
        out.flags |= body.wantsAck ? flagWantsReply : 0;
        out.flags |= body.isComplete ? flagComplete : 0;
        out.flags |= body.isFinal ? flagFinal : 0;
        out.flags |= body.isRegistered ? flagRegistered : 0;
    }

    wire::EntryT wireEntryOf(const EntryReport& report)
    {
        wire::EntryT entry;
        entry.link_bytes_per_second = numberOf(report.linkBytesPerSecond);
        entry.processor_millis = report.processorMillis;
        entry.carried_bytes_per_second = numberOf(report.carriedBytesPerSecond);
        entry.carried_packets_per_second = numberOf(report.carriedPacketsPerSecond);
        entry.is_stopping = report.isStopping;
        return entry;
    }

    std::optional<EntryReport> entryOf(const wire::MessageT& in)
    {
        if (!in.entry)
            return std::nullopt;
        return EntryReport { .linkBytesPerSecond = rateOf(in.entry->link_bytes_per_second),
            .processorMillis = in.entry->processor_millis,
            .carriedBytesPerSecond = rateOf(in.entry->carried_bytes_per_second),
            .carriedPacketsPerSecond = rateOf(in.entry->carried_packets_per_second),
            .isStopping = in.entry->is_stopping };
    }

    std::vector<PathReport> pathsOf(const wire::MessageT& in)
    {
        std::vector<PathReport> reports;
        for (const auto& path : std::span(in.paths).first(std::min(in.paths.size(), maxPathReports)))
            reports.push_back({ path.from(), path.to(), path.heard_age_ms(), path.report_age_ms() });
        return reports;
    }

    void putBody(wire::MessageT& out, const StampMessage& body, TimePoint)
    {
        out.role = static_cast<std::uint8_t>(body.role);
        out.incarnation = body.incarnation;
        out.age_us = body.age.us;
        out.flags |= body.wantsReply ? flagWantsReply : 0;
        out.flags |= body.wantsFullDelta ? flagWantsFullDelta : 0;
        putLoad(out, body.load);
        putNodes(out, body.balancers);
        out.failure_domain = body.failureDomain;
        out.flags |= body.isReady ? flagReady : 0;
        out.flags |= body.takesRelayed ? flagTakesRelayed : 0;
        out.configuration_version = body.keptConfigurationVersion;
        if (body.entry)
            out.entry = std::make_unique<wire::EntryT>(wireEntryOf(*body.entry));
        for (const auto& path : body.paths)
            out.paths.push_back({ path.from, path.to, path.heardAgeMs, path.reportAgeMs });
    }

    void putConfiguration(wire::MessageT& out, const ViewDelta& delta)
    {
        const ConfigurationStamp& stamp = delta.configuration;
        out.configuration_era = stamp.writtenAt.era.value;
        out.configuration_revision = stamp.writtenAt.revision.value;
        out.configuration_version = stamp.version;
        // Processes of earlier versions compare the revision up to which the configuration is complete.
        out.configuration_through = std::max(stamp.writtenAt, delta.through).revision.value;
    }

    ConfigurationStamp configurationOf(const wire::MessageT& in)
    {
        if (in.configuration_revision)
            return { StorePosition(in.configuration_revision, in.configuration_era), in.configuration_version };
        // From a process of an earlier version.
        return { StorePosition(std::max(in.configuration_through, in.through), in.era), 0 };
    }

    void putBody(wire::MessageT& out, const DeltaMessage& body, TimePoint now)
    {
        out.age_us = body.age.us;
        out.since = body.delta.since.revision.value;
        out.since_era = body.delta.since.era.value;
        out.flags |= body.delta.hasKeys ? flagKeys : 0;
        out.keys = body.delta.keys;
        out.digest = body.delta.digest;
        putConfiguration(out, body.delta);
        for (const auto& item : body.delta.items)
            out.items.push_back(wireItemOf(item, now));
    }

    void putBody(wire::MessageT& out, const LeavingMessage& body, TimePoint)
    {
        out.role = static_cast<std::uint8_t>(body.role);
    }

    void putBody(wire::MessageT& out, const LocateMessage& body, TimePoint)
    {
        out.reply_to = std::make_unique<wire::Node>(nodeOf(body.replyTo));
        for (const auto& packet : body.packets) {
            auto item = std::make_unique<wire::PacketT>();
            item->bytes = packet.bytes;
            out.packets.push_back(std::move(item));
        }
        putNodes(out, body.relayTo);
    }

    void putBody(wire::MessageT& out, const NotHeldFlowsMessage& body, TimePoint) { putFlows(out, body.flows); }

    void putBody(wire::MessageT&, const InventoryResyncMessage&, TimePoint) { }

    void putBody(wire::MessageT& out, const InventoryAckMessage& body, TimePoint)
    {
        out.stream = body.stream;
        out.sequence = body.sequence;
    }

    void putBody(wire::MessageT& out, const AbsenceReportMessage& body, TimePoint)
    {
        putFlows(out, body.flows);
        out.digest = body.agentsDigest;
        putNodes(out, body.unknownAgents);
        for (Endpoint agent : body.staleAgents)
            out.silent_nodes.push_back(nodeOf(agent));
    }

    std::vector<FlowTuple> flowsOf(const wire::MessageT& in)
    {
        std::vector<FlowTuple> flows;
        for (const auto& flow : in.flows)
            flows.push_back(tupleOf(flow));
        return flows;
    }

    AbsenceReportMessage absenceReportOf(const wire::MessageT& in)
    {
        AbsenceReportMessage report {
            .flows = flowsOf(in), .agentsDigest = in.digest, .unknownAgents = endpointsOf(in), .staleAgents = {}
        };
        for (const auto& node : in.silent_nodes)
            report.staleAgents.push_back(endpointOf(node));
        return report;
    }

    std::optional<LocateMessage> locateOf(const wire::MessageT& in, const PacketFormat& format)
    {
        if (!in.reply_to)
            return std::nullopt;
        LocateMessage locate { .replyTo = endpointOf(in.reply_to), .packets = {}, .relayTo = endpointsOf(in) };
        for (const auto& item : in.packets) {
            auto packet = format.decode(item->bytes, false);
            if (!packet)
                return std::nullopt;
            locate.packets.push_back(std::move(*packet));
        }
        return locate;
    }

    std::optional<ForwardMessage> forwardOf(const wire::MessageT& in, const PacketFormat& format)
    {
        auto packet = format.decode(in.packet, false);
        if (!packet || !in.reply_to)
            return std::nullopt;
        return ForwardMessage {
            .replyTo = endpointOf(in.reply_to),
            .service = in.service,
            .routePosition = StorePosition(in.route_revision, in.route_era),
            .isLocating = (in.flags & flagLocating) != 0,
            .hops = in.hops,
            .tried = endpointsOf(in),
            .packet = std::move(*packet),
        };
    }

    std::optional<MessageBody> bodyOf(const wire::MessageT& in, const PacketFormat& format, TimePoint now)
    {
        switch (static_cast<Kind>(in.kind)) {
        case Kind::Forward: {
            auto forward = forwardOf(in, format);
            return forward ? std::optional<MessageBody>(std::move(*forward)) : std::nullopt;
        }
        case Kind::Held:
            return HeldMessage { in.flow ? tupleOf(*in.flow) : FlowTuple {}, in.target_sequence,
                (in.flags & flagOpening) != 0, loadOf(in) };
        case Kind::Declined: {
            auto forward = forwardOf(in, format);
            if (!forward || in.reason >= static_cast<std::uint8_t>(DeclineReason::End))
                return std::nullopt;
            return DeclinedMessage { static_cast<DeclineReason>(in.reason), std::move(*forward), loadOf(in) };
        }
        case Kind::NotHeld: {
            auto packet = format.decode(in.packet, false);
            if (!packet)
                return std::nullopt;
            return NotHeldMessage { std::move(*packet) };
        }
        case Kind::InventoryUpdate:
            return InventoryUpdateMessage {
                .flows = flowsOf(in),
                .incarnation = in.incarnation,
                .stream = in.stream,
                .sequence = in.sequence,
                .shardCount = in.shard_count,
                .shards = in.shards,
                .isHeartbeat = (in.flags & flagHeartbeat) != 0,
                .wantsAck = (in.flags & flagWantsReply) != 0,
                .isComplete = (in.flags & flagComplete) != 0,
                .isFinal = (in.flags & flagFinal) != 0,
                .isRegistered = (in.flags & flagRegistered) != 0,
            };
        case Kind::Stamp:
            if (in.role >= static_cast<std::uint8_t>(ProcessRole::End))
                return std::nullopt;
            return StampMessage { static_cast<ProcessRole>(in.role), in.incarnation, { in.age_us },
                (in.flags & flagWantsReply) != 0, (in.flags & flagWantsFullDelta) != 0, loadOf(in), endpointsOf(in),
                in.failure_domain, (in.flags & flagReady) != 0, entryOf(in), pathsOf(in),
                (in.flags & flagTakesRelayed) != 0, in.configuration_version };
        case Kind::Delta: {
            DeltaMessage message { { in.age_us },
                { StorePosition(in.since, in.since_era), StorePosition(in.through, in.era), (in.flags & flagKeys) != 0,
                    in.keys, {} } };
            message.delta.digest = in.digest;
            message.delta.configuration = configurationOf(in);
            for (const auto& item : in.items)
                message.delta.items.push_back(itemOf(*item, now));
            return message;
        }
        case Kind::Leaving:
            if (in.role >= static_cast<std::uint8_t>(ProcessRole::End))
                return std::nullopt;
            return LeavingMessage { static_cast<ProcessRole>(in.role) };
        case Kind::Locate: {
            auto locate = locateOf(in, format);
            return locate ? std::optional<MessageBody>(std::move(*locate)) : std::nullopt;
        }
        case Kind::NotHeldFlows:
            return NotHeldFlowsMessage { flowsOf(in) };
        case Kind::InventoryResync:
            return InventoryResyncMessage {};
        case Kind::AbsenceReport:
            return absenceReportOf(in);
        case Kind::InventoryAck:
            return InventoryAckMessage { in.stream, in.sequence };
        }
        return std::nullopt;
    }

}

std::vector<std::uint8_t> encodeMessage(const Message& message, TimePoint now)
{
    wire::MessageT out;
    out.kind = static_cast<std::uint8_t>(message.body.index());
    out.through = message.through.revision.value;
    out.era = message.through.era.value;
    if (message.relayTo) {
        out.relay_to = std::make_unique<wire::Node>(nodeOf(message.relayTo));
        out.origin = std::make_unique<wire::Node>(nodeOf(message.origin));
    }
    std::visit([&](const auto& body) { putBody(out, body, now); }, message.body);
    flatbuffers::FlatBufferBuilder builder(256);
    builder.Finish(wire::Message::Pack(builder, &out));
    return { builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize() };
}

std::optional<Message> decodeMessage(std::span<const std::uint8_t> bytes, const PacketFormat& format, TimePoint now)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!wire::VerifyMessageBuffer(verifier))
        return std::nullopt;
    wire::MessageT in;
    wire::GetMessage(bytes.data())->UnPackTo(&in);
    auto body = bodyOf(in, format, now);
    if (!body)
        return std::nullopt;
    return Message { StorePosition(in.through, in.era), std::move(*body), endpointOf(in.relay_to),
        endpointOf(in.origin) };
}

} // namespace hawthorncroft
