/**
 * @file process_type.h
 * Messages between the threads of a balancer or an agent. They travel through bounded rings.
 */
#pragma once

#include "config_type.h"
#include "effect_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hawthorncroft {

/** A Stamp or StampReply arrived. */
struct StampArrived {
    Endpoint from;
    Packet packet;
};

/** A datagram of another process shows that this process is not cut off. */
struct PeerContact {
    Endpoint from; ///< Datagram endpoint of the other process.
    Revision revision; ///< Revision that the other process holds.
};

/** The data thread noticed a pause and forwards nothing until it ends. */
struct PauseDetected {
    std::uint64_t pause {}; ///< Number of the pause.
};

/** Question that arrived on the control port. */
struct ControlQuestion {
    std::uint64_t id {}; ///< Chosen by the control thread.
    std::string path; ///< Such as "/status".
    std::string argument; ///< Text behind the question mark.
};

/** Answer to a ControlQuestion. */
struct ControlAnswer {
    std::uint64_t id {};
    int status { 200 }; ///< HTTP status.
    std::string body;
};

/** To the configuration thread. */
using ConfigInput = std::variant<StampArrived, PeerContact, PauseDetected>;

/** Accepted documents, in the order in which they have to be applied. */
struct DocumentsAccepted {
    std::vector<VersionedDocument> documents;
    Revision completeThrough; ///< The view is complete up to here once the documents are applied.
};

/** Whether the process may serve. */
struct ServingChanged {
    bool isReady {};
    bool isIsolated {};
};

/** The view is confirmed after a pause; it stands behind all documents that were accepted before. */
struct PauseEnded {
    std::uint64_t pause {};
};

/** How the configuration replica stands, for the status report. */
struct ConfigStatusReport {
    Revision newestSeen; ///< Highest revision that any process reported.
    bool readsPlatform {};
    std::optional<std::uint64_t> platformAgeMs; ///< Since the platform confirmed the view; none when it never did.
    std::uint64_t peers {}; ///< Known processes.
    std::vector<std::string> refused; ///< Faults of refused documents, one line each.
};

/** To the data thread. */
using DataInput = std::variant<DocumentsAccepted, ServingChanged, PauseEnded, SendToProcess, ConfigStatusReport>;

/** The configuration changed the key ids in use. */
struct KeysChanged {
    KeyId signing;
    std::vector<KeyId> accepted;
};

/** To the control thread. */
using ControlInput = std::variant<ControlAnswer, KeysChanged>;

inline constexpr std::size_t ringCapacity = 4096; ///< Messages between two threads.

} // namespace hawthorncroft
