/**
 * @file transit_effect_type.h
 * Effects of the cores that carry transparent flows. A core appends them to a list that its caller owns and clears.
 */
#pragma once

#include "transit_message_type.h"

#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace hawthorncroft {

/** Send a message to another process of the system. */
struct SendMessage {
    Endpoint to;
    MessageBody body;
};

/** Hand a caller's packet to the target of this agent. */
struct DeliverToTarget {
    TransitPacket packet;
    std::uint32_t tag {}; ///< Written into the packet.
};

/** Send a target's packet to its caller, unchanged. */
struct DeliverToCaller {
    TransitPacket packet;
};

/** Reset a flow towards its caller. */
struct ResetCaller {
    FlowTuple flow;
    std::uint32_t sequence {}; ///< Sequence number that the caller accepts.
};

/** Read all keys of the store, or what follows a key. */
struct ReadStore {
    std::string afterKey; ///< Empty for the first page.
    Duration timeout;
};

/** Ask the store for changes after a revision. */
struct WatchStore {
    Revision after;
    Duration wait; ///< The store answers after this time at the latest.
    Duration timeout; ///< The connection is given up when no answer came by then.
};

/** Find out whether a process listens where the target takes health checks; the answer is an event of the core. */
struct ProbeTarget { };

/** Field of a log line. */
struct LogField {
    std::string_view name;
    std::variant<std::int64_t, std::string> value;
};

/** Write a structured log line. */
struct WriteLog {
    std::string_view event; ///< Kind of line; lines are bounded for each kind.
    std::vector<LogField> fields;
};

/** What is counted. Names are in table/transit_names.h. */
enum class TransitCounter : std::uint8_t {
    PacketsFromCallers,
    PacketsFromTarget,
    OpensForwarded,
    OpensRepeated, ///< Sent to another agent because the first did not answer.
    OpensDeclined,
    OpensRefused, ///< Reset because nobody took them.
    FlowsOpened,
    FlowsLocated,
    FlowsLost, ///< No agent holds the flow; reset.
    LocatesUnanswered, ///< Not every agent answered in time; nothing is sent to the caller.
    PacketsDropped, ///< A bounded queue was full or a packet waited too long.
    RequestsQueued, ///< Waited for a slot of the target.
    PacketsReturned, ///< The target returned the packet.
    NoRoute,
    Malformed,
    MessagesIn,
    MessagesOut,
    StoreCalls,
    StoreFailures,
    LogLinesDropped,
    End,
};

/** Count something. */
struct CountEvent {
    TransitCounter counter {};
    std::uint64_t amount { 1 };
};

/** What is measured in microseconds. */
enum class TransitDistribution : std::uint8_t {
    OpenTime, ///< From an opening packet at the balancer to the word of the agent that took it.
    LocateTime, ///< From a packet of an unknown flow to the word of its holder.
    QueueTime, ///< At the agent, from when the caller sent a request until the target got it; queued requests only.
    RequestTime, ///< At the agent, from the first data of a request to the first data of its answer.
    End,
};

/** Record a measured time. */
struct RecordTime {
    TransitDistribution distribution {};
    Duration time;
};

using TransitEffect = std::variant<SendMessage, DeliverToTarget, DeliverToCaller, ResetCaller, ReadStore, WatchStore,
    ProbeTarget, WriteLog, CountEvent, RecordTime>;
using TransitEffects = std::vector<TransitEffect>;

/** Outcome of a store call that brought nothing. */
enum class StoreFailure : std::uint8_t {
    HistoryGone, ///< Changes after the revision are no longer known; everything has to be read.
    Refused, ///< The store turned the call away.
    Unreachable, ///< No answer in time, or the connection broke.
    Invalid, ///< The answer cannot be read.
    End,
};

std::string_view nameOf(StoreFailure failure);
std::string_view nameOf(TransitCounter counter);
std::string_view nameOf(TransitDistribution distribution);

} // namespace hawthorncroft
