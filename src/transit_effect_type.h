/**
 * @file transit_effect_type.h
 * Effects that the cores of transparent flows request. A core appends them to a list that its caller owns, executes and
 * clears.
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

/** Send the message of another process to its receiver, unchanged. */
struct RelayMessage {
    Endpoint to;
    Message message;
};

/** Send a caller's packet to the target of this agent. */
struct DeliverToTarget {
    TransitPacket packet;
    std::uint32_t tag {}; ///< Written into the packet's header before it is sent.
};

/** Send a target's packet to its caller, unchanged. */
struct DeliverToCaller {
    TransitPacket packet;
};

/** Send a reset of a flow to its caller. */
struct ResetCaller {
    FlowTuple flow;
    std::uint32_t sequence {}; ///< Sequence number that the caller accepts.
};

/** Read a page of the store's keys. */
struct ReadStore {
    std::string afterKey; ///< Last key of the page before; empty for the first page.
    Duration timeout;
};

/** Ask the store for changes after a position. */
struct WatchStore {
    StorePosition after;
    Duration wait; ///< Long-poll time: the store answers after it even without a change.
    Duration timeout; ///< The connection is closed when no answer has arrived by then.
};

/** Check whether a process listens on the target's health check port. The result is passed to the core as an event. */
struct ProbeTarget { };

/** Field of a log line. */
struct LogField {
    std::string_view name;
    std::variant<std::int64_t, std::string> value;
};

/** Write a structured log line. */
struct WriteLog {
    std::string_view event; ///< Name of the event; the rate of lines is limited for each event.
    std::vector<LogField> fields;
};

/** Counters of a process. Their names are in table/transit_names.h. */
enum class TransitCounter : std::uint8_t {
    PacketsFromCallers,
    PacketsFromTarget,
    OpensForwarded,
    OpensRepeated, ///< Retried with another agent because the first did not answer.
    OpensDeclined,
    OpensRefused, ///< Reset because no agent accepted them.
    RefusedOverloaded, ///< Of the refused: an agent is overloaded, and no target is known to have spare capacity.
    RefusedAttemptsUsed, ///< Of the refused: the maximum number of agents declined.
    RefusedNoTarget, ///< Of the refused: no further target may take the flow.
    RefusedNoService, ///< Of the refused: the route has no service.
    RefusedNoRoute, ///< Of the refused: the address has no route.
    RefusalsWithheld, ///< Not accepted by any agent and not reset, as another transmission may have opened the flow.
    FlowsOpened,
    FlowsLocated,
    FlowsLost, ///< No agent holds the flow; reset.
    LocatesUnanswered, ///< Not every agent answered in time; the caller gets no reset.
    PacketsDropped, ///< A bounded queue was full or a packet waited too long.
    RequestsQueued, ///< Requests that waited for a slot of the target.
    RequestsEvicted, ///< Requests removed from a full queue; the caller gets no reset, and may retransmit.
    RequestsExpired, ///< Requests that waited until their timeout.
    RequestsAbandoned, ///< Retransmissions of expired requests, dropped since no answer would arrive in time.
    TransfersHeld, ///< Last packets of transfers that wait for earlier ones.
    TransfersReleased, ///< Such packets delivered at their deadline, before the earlier ones.
    RequestsRescued, ///< Late requests that were released at their latest start time, before requests in time.
    PacketsReturned, ///< Returned by the target.
    NoRoute,
    Malformed,
    MessagesIn,
    MessagesOut,
    StoreCalls,
    StoreFailures,
    StoreAnswersDiscarded, ///< Responses of another era than the call, the view or the pages before.
    LogLinesDropped,
    EntryChanges, ///< A balancer left rotation or returned because of the load.
    MessagesRelayed, ///< Sent through a relay, since the path to the receiver's failure domain is broken.
    RelayForwarded, ///< Messages of other processes that this one forwarded as a relay.
    RelayOverBudget, ///< Not sent through a relay, or dropped by it, since the bytes for it were used up.
    End,
};

/** Increase a counter. */
struct CountEvent {
    TransitCounter counter {};
    std::uint64_t amount { 1 };
};

/** Times that are recorded in histograms, in microseconds. */
enum class TransitDistribution : std::uint8_t {
    OpenTime, ///< From an opening packet at the balancer to the answer of the agent that accepted it.
    LocateTime, ///< From a packet of an unknown flow at the balancer to the answer of its holder.
    QueueTime, ///< At the agent, from a caller's request to its delivery to the target; queued requests only.
    RequestTime, ///< At the agent, from the packet that completes a request to the first data of its response.
    End,
};

/** Record a measured time. */
struct RecordTime {
    TransitDistribution distribution {};
    Duration time;
};

using TransitEffect = std::variant<SendMessage, RelayMessage, DeliverToTarget, DeliverToCaller, ResetCaller, ReadStore,
    WatchStore, ProbeTarget, WriteLog, CountEvent, RecordTime>;
using TransitEffects = std::vector<TransitEffect>;

/** Reason why a store call returned no data. */
enum class StoreFailure : std::uint8_t {
    HistoryGone, ///< The store no longer has the changes after the revision; a full read is needed.
    Refused, ///< The store rejected the call.
    Unreachable, ///< Connection failure or timeout.
    Invalid, ///< The response cannot be decoded.
    OtherEra, ///< The response is of an earlier era than the view, or its pages are of different eras.
    End,
};

std::string_view nameOf(StoreFailure failure);
std::string_view nameOf(TransitCounter counter);
std::string_view nameOf(TransitDistribution distribution);

} // namespace hawthorncroft
