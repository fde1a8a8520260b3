/**
 * @file packet_names.h
 * Names of packet kinds, flow kinds and target states, in the order of the enumerators.
 */
#pragma once

#include "../name_table_type.h"
#include "../packet_type.h"

#include <array>

namespace hawthorncroft {

inline constexpr NameTable<PacketKind> packetKindNames {
    "invalid",
    "open",
    "opened",
    "refused",
    "execute",
    "answer",
    "answer-ack",
    "cancel",
    "query",
    "data",
    "data-ack",
    "event",
    "event-ack",
    "keep-alive",
    "renewed",
    "close",
    "closed",
    "stamp",
    "stamp-reply",
};

inline constexpr NameTable<FlowKind> flowKindNames {
    "request",
    "feed",
    "upload",
};

inline constexpr NameTable<TargetState> targetStateNames {
    "unknown",
    "cold",
    "warm",
    "draining",
    "out",
    "down",
};

} // namespace hawthorncroft
