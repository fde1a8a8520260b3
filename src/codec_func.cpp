#include "codec_func.h"
#include "name_table_type.h"

#include "generated/wire_generated.h"
#include "table/limits.h"

#include <array>
#include <cstring>

namespace hawthorncroft {

namespace {

    constexpr NameTable<DecodeError> decodeErrorNames {
        "none",
        "too large",
        "malformed",
        "bad value",
        "no trailer",
        "bad mac",
    };

    template <typename Enum> bool inRange(std::uint8_t value) { return value < static_cast<std::uint8_t>(Enum::End); }

    bool hasValidRanges(const wire::Header& header)
    {
        return header.kind() && inRange<PacketKind>(header.kind()) && inRange<FlowKind>(header.flow_kind())
            && inRange<TargetState>(header.target_state()) && inRange<Verdict>(header.verdict())
            && inRange<Reason>(header.reason()) && header.idempotent() <= 1;
    }

    wire::Header headerOf(const Packet& p)
    {
        return wire::Header(static_cast<std::uint8_t>(p.kind), static_cast<std::uint8_t>(p.flowKind), p.attempt, p.hops,
            p.idempotent, static_cast<std::uint8_t>(p.targetState), static_cast<std::uint8_t>(p.outcome.verdict),
            static_cast<std::uint8_t>(p.outcome.reason), p.load, p.callerEndpoint.port, p.callerEndpoint.address,
            p.key.caller.value, p.key.flow.value, p.revision.value, p.resolvedAt.value, p.service.value,
            p.target.value);
    }

    wire::Numbers numbersOf(const Packet& p)
    {
        return wire::Numbers(p.sequence, p.count, p.outcome.retryAfterMs, p.control.address, p.agentTime.us,
            p.deadline.us, p.nonce, p.node.value, p.control.port);
    }

    wire::Binding wireBindingOf(const Binding& b)
    {
        return wire::Binding(b.service.value, b.target.value, b.targetIncarnation.value, b.agentIncarnation.value,
            b.reservation.value, b.expiresAt.us, b.revision.value, b.mac, b.key.value, b.agent.address, b.agent.port);
    }

    void readHeader(const wire::Header& h, Packet& p)
    {
        p.kind = static_cast<PacketKind>(h.kind());
        p.flowKind = static_cast<FlowKind>(h.flow_kind());
        p.attempt = h.attempt();
        p.hops = h.hops();
        p.idempotent = h.idempotent();
        p.targetState = static_cast<TargetState>(h.target_state());
        p.outcome.verdict = static_cast<Verdict>(h.verdict());
        p.outcome.reason = static_cast<Reason>(h.reason());
        p.load = h.load();
        p.callerEndpoint = { h.caller_address(), h.caller_port() };
        p.key = { CallerId(h.caller()), FlowId(h.flow()) };
        p.revision = Revision(h.revision());
        p.resolvedAt = Revision(h.resolved_at());
        p.service = ServiceId(h.service());
        p.target = TargetId(h.target());
    }

    void readNumbers(const wire::Numbers* n, Packet& p)
    {
        static const wire::Numbers none;
        const wire::Numbers& numbers = n ? *n : none;
        p.sequence = numbers.sequence();
        p.count = numbers.count();
        p.outcome.retryAfterMs = numbers.retry_after_ms();
        p.control = { numbers.control_address(), numbers.control_port() };
        p.agentTime = { numbers.agent_time() };
        p.deadline = { numbers.deadline() };
        p.nonce = numbers.nonce();
        p.node = NodeId(numbers.node());
    }

    void readBinding(const wire::Binding* b, Packet& p)
    {
        p.binding = {};
        if (!b)
            return;
        p.binding = { .service = ServiceId(b->service()),
            .target = TargetId(b->target()),
            .targetIncarnation = Incarnation(b->target_incarnation()),
            .agentIncarnation = Incarnation(b->agent_incarnation()),
            .agent = { b->agent_address(), b->agent_port() },
            .reservation = ReservationId(b->reservation()),
            .expiresAt = { b->expires_at() },
            .revision = Revision(b->revision()),
            .key = KeyId(b->key()),
            .mac = b->mac() };
    }

    flatbuffers::FlatBufferBuilder& builderOfThread()
    {
        thread_local flatbuffers::FlatBufferBuilder builder(2 * maxDatagramBytes);
        builder.Clear();
        return builder;
    }

}

std::string_view nameOf(DecodeError error) { return lookUpName(decodeErrorNames, error); }

void encode(const Packet& packet, Bytes& bytes)
{
    auto& builder = builderOfThread();
    flatbuffers::Offset<flatbuffers::String> name;
    if (!packet.name.empty())
        name = builder.CreateString(packet.name);
    flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> payload;
    if (!packet.payload.empty())
        payload = builder.CreateVector(packet.payload);
    auto header = headerOf(packet);
    auto numbers = numbersOf(packet);
    auto binding = wireBindingOf(packet.binding);
    auto root
        = wire::CreateDatagram(builder, &header, &numbers, packet.hasBinding() ? &binding : nullptr, name, payload);
    wire::FinishDatagramBuffer(builder, root);
    bytes.assign(builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize());
}

DecodeError decode(std::span<const std::uint8_t> bytes, Packet& packet)
{
    if (bytes.size() > maxDatagramBytes)
        return DecodeError::TooLarge;
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!wire::VerifyDatagramBuffer(verifier))
        return DecodeError::Malformed;
    const auto* datagram = wire::GetDatagram(bytes.data());
    if (!hasValidRanges(*datagram->header()))
        return DecodeError::BadValue;
    if (datagram->name() && datagram->name()->size() > maxNameBytes)
        return DecodeError::BadValue;
    if (datagram->payload() && datagram->payload()->size() > maxPayloadBytes)
        return DecodeError::BadValue;
    readHeader(*datagram->header(), packet);
    readNumbers(datagram->numbers(), packet);
    readBinding(datagram->binding(), packet);
    packet.name.clear();
    if (datagram->name())
        packet.name.assign(datagram->name()->c_str(), datagram->name()->size());
    packet.payload.clear();
    if (datagram->payload())
        packet.payload.assign(datagram->payload()->begin(), datagram->payload()->end());
    return DecodeError::None;
}

void seal(const Keyring& keyring, Bytes& bytes)
{
    const Mac* mac = keyring.find(keyring.signing());
    if (!mac)
        return;
    std::uint32_t id = keyring.signing().value;
    bytes.resize(bytes.size() + sizeof(id));
    std::memcpy(bytes.data() + bytes.size() - sizeof(id), &id, sizeof(id));
    std::uint64_t tag = mac->compute(bytes);
    bytes.resize(bytes.size() + sizeof(tag));
    std::memcpy(bytes.data() + bytes.size() - sizeof(tag), &tag, sizeof(tag));
}

DecodeError unseal(const Keyring& keyring, std::span<const std::uint8_t>& bytes)
{
    if (bytes.size() <= trailerBytes)
        return DecodeError::NoTrailer;
    std::uint32_t id = 0;
    std::uint64_t tag = 0;
    std::memcpy(&id, bytes.data() + bytes.size() - trailerBytes, sizeof(id));
    std::memcpy(&tag, bytes.data() + bytes.size() - sizeof(tag), sizeof(tag));
    const Mac* mac = keyring.find(KeyId(id));
    if (!mac || mac->compute(bytes.first(bytes.size() - sizeof(tag))) != tag)
        return DecodeError::BadMac;
    bytes = bytes.first(bytes.size() - trailerBytes);
    return DecodeError::None;
}

} // namespace hawthorncroft
