/**
 * @file target_type.h
 * Messages between an agent's data thread and its target thread, passed through bounded rings.
 */
#pragma once

#include "agent_type.h"

namespace hawthorncroft {

/** Message to the target thread: an effect of the agent core that concerns the target. */
using TargetCommand
    = std::variant<RunRequest, CancelRequest, OpenFeed, CloseFeed, PauseFeed, ResumeFeed, StoreChunk, CommitUpload>;

/** The target answered a request or commit. */
struct TargetAnswered {
    FlowKey key;
    ReservationId request;
    std::vector<std::uint8_t> payload;
};

/** A request or commit failed. */
struct TargetFailedRequest {
    FlowKey key;
    ReservationId request;
    TargetFailure failure { TargetFailure::Failed };
};

/** The target accepted a feed. */
struct TargetFeedOpened {
    FlowKey key;
};

/** The target sent an event. */
struct TargetEvent {
    FlowKey key;
    std::vector<std::uint8_t> payload;
};

/** A feed ended at the target. */
struct TargetFeedEnded {
    FlowKey key;
    bool hasFailed {};
};

/** Result of storing a chunk. */
struct TargetChunkResult {
    FlowKey key;
    std::uint32_t sequence {};
    bool isStored {};
};

/** Result of a health check of the target. */
struct TargetHealth {
    TargetState state { TargetState::Down };
    std::uint16_t load {}; ///< Utilization in 1/1000.
    Incarnation incarnation;
};

/** Message to the data thread. */
using TargetReport = std::variant<TargetAnswered, TargetFailedRequest, TargetFeedOpened, TargetEvent, TargetFeedEnded,
    TargetChunkResult, TargetHealth>;

} // namespace hawthorncroft
