/**
 * @file process_type.h
 * Messages between the threads of a balancer or an agent, passed through bounded rings.
 */
#pragma once

#include "config_type.h"
#include "effect_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hawthorncroft {

/** A Stamp or StampReply was received. */
struct StampArrived {
    Endpoint from;
    Packet packet;
};

/** A datagram from another process was received, which shows that this process is not isolated. */
struct PeerContact {
    Endpoint from; ///< Datagram endpoint of the other process.
    Revision revision; ///< Revision that the other process holds.
};

/** The data thread detected a pause and forwards nothing until PauseEnded. */
struct PauseDetected {
    std::uint64_t pause {}; ///< Number of the pause.
};

/** Request from the control port, forwarded to the thread that owns the requested state. */
struct ForwardedRequest {
    std::uint64_t id {}; ///< Assigned by the control thread and repeated in the reply.
    std::string path; ///< Such as "/status".
    std::string argument; ///< Query string without the question mark.
};

/** Reply to a forwarded request. */
struct ForwardedReply {
    std::uint64_t id {};
    int status { 200 }; ///< HTTP status.
    std::string body;
};

/** Messages to the configuration thread. */
using ConfigInput = std::variant<StampArrived, PeerContact, PauseDetected>;

/** Accepted documents, in the order in which they have to be applied. */
struct DocumentsAccepted {
    std::vector<VersionedDocument> documents;
    Revision completeThrough; ///< The view is complete up to this revision once the documents are applied.
};

/** Change of whether the process may serve. */
struct ServingChanged {
    bool isReady {};
    bool isIsolated {};
};

/** The view was confirmed after a pause. Follows all documents that were accepted before it. */
struct PauseEnded {
    std::uint64_t pause {};
};

/** State of the configuration replica, for the status report. */
struct ConfigStatusReport {
    Revision newestSeen; ///< Highest revision that any process reported.
    bool readsPlatform {};
    std::optional<std::uint64_t> platformAgeMs; ///< Time since the platform confirmed the view; none if it never did.
    std::uint64_t peers {}; ///< Known processes.
    std::vector<std::string> refused; ///< Errors in rejected documents, one line each.
};

/** Messages to the data thread. */
using DataInput = std::variant<DocumentsAccepted, ServingChanged, PauseEnded, SendToProcess, ConfigStatusReport>;

/** The configuration changed the key ids in use. */
struct KeysChanged {
    KeyId signing;
    std::vector<KeyId> accepted;
};

/** Messages to the control thread. */
using ControlInput = std::variant<ForwardedReply, KeysChanged>;

inline constexpr std::size_t ringCapacity = 4096; ///< Messages that a ring between two threads can contain.

} // namespace hawthorncroft
