/**
 * @file agent_type.h
 * Inputs and effects of the agent core that are not packets.
 */
#pragma once

#include "effect_type.h"

#include <variant>

namespace hawthorncroft {

/** What an agent knows from its settings. The configuration takes precedence once it names the target. */
struct AgentSettings {
    TargetId target;
    ServiceId service;
    std::string vm;
    std::string failureDomain;
    Endpoint endpoint; ///< Where this agent receives datagrams; part of every binding.
    std::uint32_t slots { 1 }; ///< Requests that the target runs at a time.
    std::uint32_t connections { 1 }; ///< Feeds and uploads that the target holds.
};

/** Random numbers drawn once at start. */
struct AgentSeeds {
    Incarnation incarnation; ///< Of this agent process.
    std::uint64_t seed {}; ///< First reservation id and jitter.
};

/** How a request or commit failed at the target. */
enum class TargetFailure : std::uint8_t {
    NotSent, ///< No byte of it reached the target, for example because the connection was refused.
    TooLate, ///< The deadline passed before it was sent.
    Shed, ///< The target refused it and says that it did not run.
    Refused, ///< The target refused it for what it is, such as an incomplete upload, and says that it did not run.
    Cancelled, ///< The target stopped it on request.
    Failed, ///< Anything else: it may have run.
    End,
};

/** Run a request at the target. The shell checks the deadline again before it sends the first byte. */
struct RunRequest {
    FlowKey key;
    ReservationId request; ///< Request id at the target; unique for each admission.
    ServiceId service; ///< For the target's own check.
    std::vector<std::uint8_t> payload;
    TimePoint deadline; ///< Zero when there is none.
    bool idempotent {};
};

/** Ask the target to stop a request. */
struct CancelRequest {
    FlowKey key;
    ReservationId request;
};

/** Open a feed at the target. */
struct OpenFeed {
    FlowKey key;
    ServiceId service; ///< For the target's own check.
    std::uint32_t after {}; ///< Number of the last event that the caller holds; zero for a new feed.
    std::vector<std::uint8_t> subscription; ///< From the caller's KeepAlive.
};

/** Close a feed at the target. */
struct CloseFeed {
    FlowKey key;
};

/** Stop reading a feed from the target until ResumeFeed. */
struct PauseFeed {
    FlowKey key;
};

/** Read a paused feed again. */
struct ResumeFeed {
    FlowKey key;
};

/** Store a chunk of an upload, or deliver a caller's message on a feed. May be repeated with the same number. */
struct StoreChunk {
    FlowKey key;
    ServiceId service; ///< For the target's own check.
    FlowKind kind { FlowKind::Upload };
    std::uint32_t sequence {}; ///< From 1.
    std::vector<std::uint8_t> payload;
};

/** Commit an upload at the target. Reported like a request. */
struct CommitUpload {
    FlowKey key;
    ReservationId request;
    ServiceId service; ///< For the target's own check.
    std::uint32_t chunks {}; ///< Number of chunks that the upload must have.
    TimePoint deadline; ///< Zero when there is none.
};

/** Report that a flow ended, for the burn report and metrics. */
struct FlowEnded {
    ServiceId service;
    FlowKind kind { FlowKind::Request };
    Outcome outcome;
    Duration serviceTime; ///< At the target; zero when the flow never started there.
};

using AgentEffect = std::variant<SendToProcess, RunRequest, CancelRequest, OpenFeed, CloseFeed, PauseFeed, ResumeFeed,
    StoreChunk, CommitUpload, FlowEnded>;
using AgentEffects = std::vector<AgentEffect>;

/** What an agent counts. Names are in table/agent_counters.h. */
enum class AgentCounter : std::uint8_t {
    Accepted, ///< Opens that got a reservation.
    RefusedOpens,
    RelayedOpens,
    DuplicateOpens,
    Started, ///< Requests and commits handed to the target.
    Answered, ///< Requests and commits that the target answered.
    Failed, ///< Requests and commits that the target failed or shed.
    DuplicateExecutes, ///< Copies of an Execute or Close whose first copy was taken.
    Tombstones, ///< Refusals recorded so that a delayed copy cannot run.
    RefusedBound, ///< Packets with a binding that does not hold here.
    LapsedReservations,
    LapsedStreams, ///< Feeds and uploads that ended because their lease was not renewed.
    Adopted, ///< Feeds and uploads taken over from an earlier agent process.
    GivenUp, ///< Flows that ended because the failure domain or VM was taken out.
    Resends, ///< Retransmitted answers and events.
    ExpiredAnswers, ///< Answers that were never acknowledged.
    DroppedEvents, ///< Events of feeds with a lapsed lease that did not fit into the window.
    OverflowedFeeds, ///< Feeds closed because the target sent on while its feed was paused.
    DroppedChunks, ///< Chunks beyond the number in flight; the caller sends them again.
    LateTargetReports, ///< Reports for requests that are no longer at the target.
    DroppedUnconfirmed, ///< Packets dropped because the configuration is not confirmed.
    DroppedOther, ///< Packets of a kind that an agent does not take, or without effect.
    FullTables, ///< Opens that met a full record table or too many kept answers.
    Pauses, ///< Gaps between ticks above one second.
    ColdStarts, ///< Cold starts after the first one.
    End,
};

std::string_view nameOf(AgentCounter counter);

} // namespace hawthorncroft
