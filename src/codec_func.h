/**
 * @file codec_func.h
 * Encoding and decoding of packets. Every datagram is verified before any field is read.
 * Datagrams between balancers and agents end with a trailer: key ID (4 bytes) and MAC (8 bytes), both little-endian.
 * The MAC covers everything before it.
 */
#pragma once

#include "keyring_type.h"
#include "packet_type.h"

#include <span>

namespace hawthorncroft {

using Bytes = std::vector<std::uint8_t>;

inline constexpr std::size_t trailerBytes = 12; ///< Key ID and MAC.

/** Why a datagram was rejected. */
enum class DecodeError : std::uint8_t {
    None,
    TooLarge, ///< Longer than maxDatagramBytes.
    Malformed, ///< Not a valid FlatBuffers datagram.
    BadValue, ///< A field is out of range.
    NoTrailer, ///< Too short for a trailer.
    BadMac, ///< The key of the trailer is not accepted or the MAC is wrong.
    End,
};

std::string_view nameOf(DecodeError error);

/**
 * Encodes a packet without a trailer, as sent to callers.
 * @param packet The packet.
 * @param[out] bytes Overwritten with the datagram.
 */
void encode(const Packet& packet, Bytes& bytes);

/**
 * Verifies and decodes a datagram without a trailer.
 * @param bytes The datagram.
 * @param[out] packet Overwritten on success; its buffers are reused.
 * @return DecodeError::None on success.
 */
DecodeError decode(std::span<const std::uint8_t> bytes, Packet& packet);

/**
 * Appends a trailer. Does nothing when the keyring has no accepted signing key.
 * @param keyring The keys; the signing key is used.
 * @param[in,out] bytes The datagram.
 */
void seal(const Keyring& keyring, Bytes& bytes);

/**
 * Verifies and removes the trailer.
 * @param keyring The keys.
 * @param[in,out] bytes The datagram; shortened by the trailer on success.
 * @return DecodeError::None on success.
 */
DecodeError unseal(const Keyring& keyring, std::span<const std::uint8_t>& bytes);

} // namespace hawthorncroft
