/**
 * @file packet_util.h
 * Packets of the platform for tests.
 */
#pragma once

#include "packet_format.h"

#include <vector>

namespace hawthorncroft::tests {

inline const PlatformPacketFormat format;

inline std::vector<std::uint8_t> bytesOf(std::initializer_list<int> values) { return { values.begin(), values.end() }; }

/** @return Opening packet from 100.64.0.7:40001 to 198.18.0.1:443 with sequence 0x11223344. */
inline std::vector<std::uint8_t> openingPacket()
{
    return bytesOf({ 0, 0, 0, 0, 0, 0, 0x44, 0x33, 0x22, 0x11, 0, 0, 0, 0, 8, 0, 0xd5, 0xc3, 0xb2, 0xa1, 7, 0, 0x40,
        0x64, 1, 0, 0x12, 0xc6, 0x41, 0x9c, 0xbb, 1 });
}

} // namespace hawthorncroft::tests
