/**
 * @file transit_codec_func.h
 * FlatBuffers encoding of the messages between processes that carry transparent flows, and fragmentation of messages
 * that do not fit into one datagram.
 */
#pragma once

#include "transit_message_type.h"

#include <deque>
#include <optional>
#include <span>

namespace hawthorncroft {

/** Format of the packets of callers and targets, implemented by the platform adapter. */
class PacketFormat {
public:
    PacketFormat() = default;
    PacketFormat(const PacketFormat&) = delete;
    PacketFormat& operator=(const PacketFormat&) = delete;
    virtual ~PacketFormat() = default;

    /**
     * Decodes a packet.
     * @param bytes The datagram.
     * @param isFromTarget Whether the sender is a target; otherwise it is a caller.
     * @return The packet; empty when it is malformed.
     */
    virtual std::optional<TransitPacket> decode(std::span<const std::uint8_t> bytes, bool isFromTarget) const = 0;

    /** Writes a tag into the packet's bytes and clears its flag for returned packets. */
    virtual void setTag(TransitPacket& packet, std::uint32_t tag) const = 0;

    /** @return A packet that tells the caller that its flow is reset. */
    virtual std::vector<std::uint8_t> makeReset(const FlowTuple& flow, std::uint32_t sequence) const = 0;
};

/**
 * Encodes a message.
 * @param message The message.
 * @param now Current time. Points in time are sent as durations relative to it.
 */
std::vector<std::uint8_t> encodeMessage(const Message& message, TimePoint now);

/**
 * Decodes a message.
 * @param bytes The message.
 * @param format Format of packets inside the message.
 * @param now Current time; durations in the message are relative to it.
 * @return The message; empty when it is malformed.
 */
std::optional<Message> decodeMessage(std::span<const std::uint8_t> bytes, const PacketFormat& format, TimePoint now);

/** Splits messages into datagrams and reassembles them. One object for each socket. */
class FragmentJoiner {
public:
    /**
     * Splits a message.
     * @return Datagrams to send, in order; empty when the message needs more than maxFragments.
     */
    std::vector<std::vector<std::uint8_t>> split(const std::vector<std::uint8_t>& message);

    /**
     * Processes a received datagram.
     * @return The message if this datagram completes one.
     */
    std::optional<std::vector<std::uint8_t>> join(Endpoint from, std::span<const std::uint8_t> datagram, TimePoint now);

    /** @return Number of incomplete messages. */
    std::size_t partialCount() const { return m_partials.size(); }

private:
    struct Partial {
        Endpoint from;
        std::uint32_t number {};
        TimePoint startedAt;
        std::size_t missing {};
        std::vector<std::vector<std::uint8_t>> parts;
    };

    std::uint32_t m_lastNumber {};
    std::deque<Partial> m_partials; ///< Oldest first.
};

} // namespace hawthorncroft
