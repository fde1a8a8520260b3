/**
 * @file agent_type.h
 * Settings, effects and counters of the agent core.
 */
#pragma once

#include "effect_type.h"

#include <variant>

namespace hawthorncroft {

/** Settings of an agent. The configuration takes precedence once it contains the target. */
struct AgentSettings {
    TargetId target;
    ServiceId service;
    std::string vm;
    std::string failureDomain;
    Endpoint endpoint; ///< Address at which this agent receives datagrams; part of every binding.
    std::uint32_t slots { 1 }; ///< Maximum number of concurrent requests at the target.
    std::uint32_t connections { 1 }; ///< Maximum number of open feeds and uploads at the target.
};

/** Random numbers that are generated once at start. */
struct AgentSeeds {
    Incarnation incarnation; ///< Incarnation of this agent process.
    std::uint64_t seed {}; ///< Seed of the first reservation id and of jitter.
};

/** Ways in which a request or commit fails at the target. */
enum class TargetFailure : std::uint8_t {
    NotSent, ///< No byte reached the target, for example because the connection was refused.
    TooLate, ///< The deadline passed before the request was sent, or before the target started it.
    Shed, ///< The target refused the request because of overload and states that it did not run.
    Refused, ///< The target refused an invalid request, such as an incomplete upload, and states that it did not run.
    Cancelled, ///< The target stopped the request after it was cancelled.
    Failed, ///< Any other failure; the request may have run.
    End,
};

/** Sends a request to the target. The target thread checks the deadline again before it sends the first byte. */
struct RunRequest {
    FlowKey key;
    ReservationId request; ///< Request id at the target; unique for each reservation.
    ServiceId service; ///< Lets the target check that it serves the request's service.
    std::vector<std::uint8_t> payload;
    TimePoint deadline; ///< Zero if there is none.
    bool idempotent {};
};

/** Asks the target to cancel a request. */
struct CancelRequest {
    FlowKey key;
    ReservationId request;
};

/** Opens a feed at the target. */
struct OpenFeed {
    FlowKey key;
    ServiceId service; ///< Lets the target check that it serves the feed's service.
    std::uint32_t after {}; ///< Number of the last event that the caller received; zero for a new feed.
    std::vector<std::uint8_t> subscription; ///< Payload of the caller's KeepAlive.
};

/** Closes a feed at the target. */
struct CloseFeed {
    FlowKey key;
};

/** Stops reading a feed from the target until ResumeFeed. */
struct PauseFeed {
    FlowKey key;
};

/** Resumes reading a paused feed. */
struct ResumeFeed {
    FlowKey key;
};

/** Stores a chunk of an upload, or delivers a caller's message on a feed. May be sent again with the same number. */
struct StoreChunk {
    FlowKey key;
    ServiceId service; ///< Lets the target check that it serves the flow's service.
    FlowKind kind { FlowKind::Upload };
    std::uint32_t sequence {}; ///< Starts at 1.
    std::vector<std::uint8_t> payload;
};

/** Commits an upload at the target. Its outcome is reported in the same way as that of a request. */
struct CommitUpload {
    FlowKey key;
    ReservationId request;
    ServiceId service; ///< Lets the target check that it serves the upload's service.
    std::uint32_t chunks {}; ///< Number of chunks that the upload must have.
    TimePoint deadline; ///< Zero if there is none.
};

/** Reports the end of a flow for the burn rate report and the metrics. */
struct FlowEnded {
    ServiceId service;
    FlowKind kind { FlowKind::Request };
    Outcome outcome;
    Duration serviceTime; ///< Time from the start at the target to the end; zero if the flow was not running there.
};

using AgentEffect = std::variant<SendToProcess, RunRequest, CancelRequest, OpenFeed, CloseFeed, PauseFeed, ResumeFeed,
    StoreChunk, CommitUpload, FlowEnded>;
using AgentEffects = std::vector<AgentEffect>;

/** Counters of an agent. Their names are in table/agent_counters.h. */
enum class AgentCounter : std::uint8_t {
    Accepted, ///< Opens that were granted a reservation.
    RefusedOpens,
    RelayedOpens,
    DuplicateOpens,
    Started, ///< Requests and commits sent to the target.
    Answered, ///< Requests and commits that the target answered.
    Failed, ///< Requests and commits that failed at the target or were shed by it.
    DuplicateExecutes, ///< Retransmissions of an Execute or Close that was already accepted.
    Tombstones, ///< Refusals recorded so that a delayed retransmission cannot run.
    RefusedBound, ///< Packets refused because their binding is not valid at this agent.
    LapsedReservations, ///< Reservations that expired unused.
    LapsedStreams, ///< Feeds and uploads that ended because their lease was not renewed.
    Adopted, ///< Feeds and uploads taken over from an earlier agent process.
    GivenUp, ///< Flows that ended because the failure domain or VM was taken out of service.
    Resends, ///< Retransmitted answers and events.
    ExpiredAnswers, ///< Answers that were not acknowledged before their retention ended.
    DroppedEvents, ///< Events of feeds with an expired lease that did not fit into the window.
    OverflowedFeeds, ///< Feeds closed because the target continued to send while its feed was paused.
    DroppedChunks, ///< Chunks that are already in flight or exceed their limit; the caller retransmits them.
    LateTargetReports, ///< Reports of the target for flows that are no longer active or running.
    DroppedUnconfirmed, ///< Packets dropped because the configuration is not confirmed.
    DroppedOther, ///< Packets of a kind that an agent does not handle, or without effect.
    FullTables, ///< Opens refused because the record table was full or unacknowledged answers took too much memory.
    Pauses, ///< Intervals between ticks longer than one second.
    ColdStarts, ///< Cold starts except the first one.
    End,
};

std::string_view nameOf(AgentCounter counter);

} // namespace hawthorncroft
