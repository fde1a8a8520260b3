/**
 * @file transit_codec_func.h
 * Encoding of the messages between processes that carry transparent flows, by FlatBuffers, and the fragments of those
 * that are longer than a datagram.
 */
#pragma once

#include "transit_message_type.h"

#include <deque>
#include <optional>
#include <span>

namespace hawthorncroft {

/** Format of the packets of callers and targets; the adapter to the platform implements it. */
class PacketFormat {
public:
    PacketFormat() = default;
    PacketFormat(const PacketFormat&) = delete;
    PacketFormat& operator=(const PacketFormat&) = delete;
    virtual ~PacketFormat() = default;

    /**
     * Decodes a packet.
     * @param bytes The datagram.
     * @param isFromTarget Whether a target sent it; otherwise a caller did.
     * @return The packet; none when it is malformed.
     */
    virtual std::optional<TransitPacket> decode(std::span<const std::uint8_t> bytes, bool isFromTarget) const = 0;

    /** Writes a tag into the packet's bytes and clears the mark of a returned packet. */
    virtual void setTag(TransitPacket& packet, std::uint32_t tag) const = 0;

    /** @return A packet that resets a flow towards its caller. */
    virtual std::vector<std::uint8_t> makeReset(const FlowTuple& flow, std::uint32_t sequence) const = 0;
};

/**
 * Encodes a message.
 * @param message The message.
 * @param now Time of the sender, for times that are sent as durations.
 */
std::vector<std::uint8_t> encodeMessage(const Message& message, TimePoint now);

/**
 * Decodes a message.
 * @param bytes The message.
 * @param format Format of the packets inside.
 * @param now Time of the receiver.
 * @return The message; none when it is malformed.
 */
std::optional<Message> decodeMessage(std::span<const std::uint8_t> bytes, const PacketFormat& format, TimePoint now);

/** Splits messages into datagrams and joins them. One object for each socket. */
class FragmentJoiner {
public:
    /**
     * Splits a message.
     * @return Datagrams to send, in order.
     */
    std::vector<std::vector<std::uint8_t>> split(const std::vector<std::uint8_t>& message);

    /**
     * Takes a datagram.
     * @return The whole message when this datagram completes one.
     */
    std::optional<std::vector<std::uint8_t>> join(Endpoint from, std::span<const std::uint8_t> datagram, TimePoint now);

    /** @return Number of messages of which fragments are missing. */
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
