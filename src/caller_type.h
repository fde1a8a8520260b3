/**
 * @file caller_type.h
 * Options, effects and counters of the caller's library. CallerCore in caller_base.h is the state machine.
 */
#pragma once

#include "packet_type.h"
#include "table/limits.h"

#include <variant>

namespace hawthorncroft {

/** Identity, timing and retry limits of one caller. */
struct CallerSettings {
    CallerId id; ///< Random number drawn at start; a restarted caller needs a new one.
    std::uint64_t seed { 1 }; ///< Source of the jitter.
    FlowId firstFlow { 1 }; ///< Number of the first flow.
    Duration hedgeAfter { milliseconds(40) }; ///< An Open without a reply for this long is sent a second time.
    Duration resendAfter { milliseconds(80) }; ///< First retransmission; doubles each time.
    Duration resendMax { milliseconds(200) }; ///< Longest time between two retransmissions, before jitter.
    Duration retryMax { milliseconds(1000) }; ///< Longest time before another Open after a refusal, before jitter.
    std::uint32_t retryPercent { 10 }; ///< Retries and hedges allowed per 100 successes.
    std::uint32_t retryReserve { 10 }; ///< Retries and hedges allowed before the first success.
    Duration lease { flowLease }; ///< A feed or upload without a Renewed for this long is broken.
    Duration keepAlive { keepAliveInterval }; ///< Time between two KeepAlive packets.
};

/** A request that runs at most once and has one answer. */
struct RequestOptions {
    std::string service; ///< Service name, at most maxNameBytes.
    std::vector<std::uint8_t> payload; ///< At most maxPayloadBytes.
    Duration deadline { seconds(2) }; ///< Time from the start until the caller stops waiting.
    bool idempotent {}; ///< The request may run more than once.
};

/** A long-lived stream of events. */
struct FeedOptions {
    std::string service; ///< Service name, at most maxNameBytes.
    std::vector<std::uint8_t> payload; ///< Sent with the Open, such as a subscription; at most maxPayloadBytes.
    Duration deadline { seconds(10) }; ///< Time until the feed must be open.
    bool reopen { true }; ///< Open a new feed when this one breaks.
};

/** A sequence of chunks and their commit. */
struct UploadOptions {
    std::string service; ///< Service name, at most maxNameBytes.
    std::vector<std::uint8_t> content; ///< At most maxUploadChunks chunks of maxPayloadBytes.
    Duration deadline { seconds(60) }; ///< Time from the start until the caller stops waiting.
};

/** A question about the outcome of an earlier request of this caller id. */
struct QueryOptions {
    FlowId flow; ///< The earlier request; must not be open.
    std::string service; ///< Its service name; may be empty while the core still knows the request.
    Binding binding; ///< Its binding; may be absent while the core still knows the request.
    Duration deadline { seconds(2) }; ///< Time from the start until the caller stops waiting.
};

/** Result of a start command. */
struct Started {
    FlowId flow; ///< The new flow; zero when it was refused.
    Reason refused { Reason::None }; ///< TooLarge, Overloaded (table full) or Unknown (Query without a binding).
};

/** Effect: send a packet to any balancer. */
struct SendToFabric {
    Packet packet;
};

/** Effect: a request, upload, query or closed feed ended. Reported once per start. */
struct Finished {
    FlowId flow;
    Outcome outcome;
    std::vector<std::uint8_t> payload; ///< The whole answer. With "done: expired" the agent keeps it no longer.
};

/** Effect: a feed is open at a target. */
struct FeedOpened {
    FlowId flow;
    TargetId target;
};

/** Effect: the next event of a feed; each sequence number once, in order, from 1. */
struct FeedEvent {
    FlowId flow;
    std::uint32_t sequence {};
    std::vector<std::uint8_t> payload;
};

/** Effect: the target holds more chunks of an upload. */
struct UploadProgress {
    FlowId flow;
    std::uint32_t acknowledged {}; ///< Chunks that the target holds.
    std::uint32_t total {}; ///< Chunks of the upload.
};

/** Effect: a feed ended that the caller did not close. */
struct FlowBroken {
    FlowId flow;
    Outcome outcome;
    FlowId reopenedAs; ///< The feed opened in its place; zero when there is none.
};

using CallerEffect
    = std::variant<SendToFabric, Finished, FeedOpened, FeedEvent, UploadProgress, FlowBroken>; ///< One effect.
using CallerEffects = std::vector<CallerEffect>;

/** Counters since the start of the caller. */
struct CallerCounters {
    std::uint64_t sent {}; ///< Packets sent.
    std::uint64_t resent {}; ///< Packets sent again because no reply arrived.
    std::uint64_t hedged {}; ///< Second Opens.
    std::uint64_t retried {}; ///< New bindings after a refusal.
    std::uint64_t strays {}; ///< Packets for another caller, a finished flow or another binding.
    std::uint64_t lateAnswers {}; ///< Answers for finished flows, acknowledged and dropped.
    std::uint64_t duplicateEvents {}; ///< Events that had been delivered before.
    std::uint64_t released {}; ///< Reservations given back because another Opened was used.
};

} // namespace hawthorncroft
