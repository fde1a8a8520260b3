/**
 * @file target_type.h
 * Messages between an agent's data thread and its target thread. They travel through bounded rings.
 */
#pragma once

#include "agent_type.h"

namespace hawthorncroft {

/** To the target thread: the effects of the agent core that concern the target. */
using TargetCommand
    = std::variant<RunRequest, CancelRequest, OpenFeed, CloseFeed, PauseFeed, ResumeFeed, StoreChunk, CommitUpload>;

/** A request or commit was answered. */
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

/** A chunk was stored or not. */
struct TargetChunkResult {
    FlowKey key;
    std::uint32_t sequence {};
    bool isStored {};
};

/** The target's health was read. */
struct TargetHealth {
    TargetState state { TargetState::Down };
    std::uint16_t load {}; ///< In 1/1000.
    Incarnation incarnation;
};

/** To the data thread. */
using TargetReport = std::variant<TargetAnswered, TargetFailedRequest, TargetFeedOpened, TargetEvent, TargetFeedEnded,
    TargetChunkResult, TargetHealth>;

} // namespace hawthorncroft
