/**
 * @file http2_names.h
 * Names of Http2Error and Http2Counter values, in the order of the enumerations.
 */
#pragma once

#include "../http2_type.h"
#include "../name_table_type.h"

namespace hawthorncroft {

inline constexpr NameTable<Http2Error> http2ErrorNames = {
    "none",
    "connect failed",
    "too many requests",
    "refused",
    "go away",
    "reset",
    "connection lost",
    "timeout",
    "cancelled",
    "response too large",
};

inline constexpr NameTable<Http2Counter> http2CounterNames = {
    "connections",
    "connections_refused",
    "connect_failures",
    "peer_closed",
    "idle_closed",
    "silent_closed",
    "stalled_closed",
    "flooded_closed",
    "protocol_errors",
    "local_closed",
    "requests",
    "streams_refused",
    "headers_too_large",
    "bodies_too_large",
    "output_full",
    "requests_too_slow",
    "streams_reset",
    "unanswered",
    "handler_failures",
};

} // namespace hawthorncroft
