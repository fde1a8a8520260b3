#include "binding_func.h"
#include "codec_func.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hawthorncroft;

namespace {

Packet samplePacket()
{
    Packet packet;
    packet.kind = PacketKind::Execute;
    packet.key = { CallerId(7), FlowId(9) };
    packet.revision = Revision(44);
    packet.callerEndpoint = { 0x7f000001, 4000 };
    packet.idempotent = true;
    packet.deadline = { 123456 };
    packet.binding = { .service = ServiceId(1),
        .target = TargetId(2),
        .targetIncarnation = Incarnation(3),
        .agentIncarnation = Incarnation(4),
        .agent = { 0x7f000001, 5000 },
        .reservation = ReservationId(5),
        .expiresAt = { 1000 } };
    packet.name = "courier-route";
    packet.payload = { 1, 2, 3 };
    return packet;
}

Keyring sampleKeyring()
{
    Keyring keyring;
    keyring.add(KeyId(1), MacKey { 1, 2, 3 });
    keyring.add(KeyId(2), MacKey { 4, 5, 6 });
    return keyring;
}

}

TEST_CASE("A datagram between balancers and agents", "[codec]")
{
    Keyring keyring = sampleKeyring();
    Packet packet = samplePacket();
    signBinding(keyring, packet.key, packet.binding);
    Bytes bytes;
    encode(packet, bytes);

    SECTION("decodes to the encoded packet")
    {
        Packet read;
        REQUIRE(decode(bytes, read) == DecodeError::None);
        CHECK(read == packet);
        CHECK(isAuthentic(keyring, read.key, read.binding));

        SECTION("and its binding is invalid for any other flow, which guards against use by another caller")
        {
            CHECK_FALSE(isAuthentic(keyring, { CallerId(8), FlowId(9) }, read.binding));
            CHECK_FALSE(isAuthentic(keyring, { CallerId(7), FlowId(10) }, read.binding));
        }
        SECTION("and its binding is rejected when a field is changed")
        {
            Binding changed = read.binding;
            changed.agent.port = 5001;
            CHECK_FALSE(isAuthentic(keyring, read.key, changed));
            changed = read.binding;
            changed.service = ServiceId(2);
            CHECK_FALSE(isAuthentic(keyring, read.key, changed));
        }
        SECTION("and a binding signed with the previous key is accepted until that key is withdrawn")
        {
            keyring.setSigning(KeyId(2));
            CHECK(isAuthentic(keyring, read.key, read.binding));
            keyring.setAccepted({ KeyId(2) });
            CHECK_FALSE(isAuthentic(keyring, read.key, read.binding));
        }
    }
    SECTION("is rejected when any byte of the sealed datagram is changed")
    {
        seal(keyring, bytes);
        std::span<const std::uint8_t> sealedBytes(bytes);
        REQUIRE(unseal(keyring, sealedBytes) == DecodeError::None);
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            Bytes changed = bytes;
            changed[i] ^= 0x20;
            std::span<const std::uint8_t> view(changed);
            CHECK(unseal(keyring, view) == DecodeError::BadMac);
        }
    }
    SECTION("is rejected when truncated, unless only trailing padding is missing")
    {
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            Packet read;
            bool isRefused = decode(std::span<const std::uint8_t>(bytes).first(size), read) != DecodeError::None;
            CHECK((isRefused || read == packet));
            CHECK((isRefused || bytes.size() - size < sizeof(std::uint64_t)));
        }
    }
}
