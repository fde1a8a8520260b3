/**
 * @file effect_type.h
 * Effects that several cores share. A core appends effects to a list that its caller owns and clears. The shell or a
 * test executes them in order.
 */
#pragma once

#include "packet_type.h"

namespace hawthorncroft {

/** Send a packet to another balancer or agent, authenticated by a trailer. */
struct SendToProcess {
    Endpoint to;
    Packet packet;
};

/** Send a packet to a caller, without a trailer. */
struct SendToCaller {
    Endpoint to;
    Packet packet;
};

/** Fetch the configuration changes after a revision from a peer. */
struct FetchDelta {
    Endpoint control; ///< Control port of the peer.
    Revision since; ///< Only changes with a higher revision are returned.
};

} // namespace hawthorncroft
