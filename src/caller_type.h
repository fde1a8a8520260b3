/**
 * @file caller_type.h
 * Options, effects and counters of the caller library. CallerCore in caller_base.h is the state machine.
 */
#pragma once

#include "packet_type.h"
#include "table/limits.h"

#include <variant>

namespace hawthorncroft {

/** Identity, timing and retry limits of one caller. */
struct CallerSettings {
    CallerId id; ///< Random number generated at start; a restarted caller needs a new one.
    std::uint64_t seed { 1 }; ///< Seed of the jitter and the nonces.
    FlowId firstFlow { 1 }; ///< Id of the first flow; later ids count up.
    Duration hedgeAfter { milliseconds(40) }; ///< Time without a reply until a second Open is sent, before jitter.
    Duration resendAfter { milliseconds(80) }; ///< Time until the first retransmission; doubles each time.
    Duration resendMax { milliseconds(200) }; ///< Longest time between two retransmissions, before jitter.
    Duration retryMax { milliseconds(1000) }; ///< Longest backoff before a retry after a refusal, before jitter.
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

/** A query for the outcome of an earlier request of the same caller id. */
struct QueryOptions {
    FlowId flow; ///< Flow of the earlier request; must not be open.
    std::string service; ///< Service name of the request; may be empty while the core remembers it.
    Binding binding; ///< Binding of the request; may be absent while the core remembers it.
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
    std::vector<std::uint8_t> payload; ///< The complete answer. With "done: expired" the agent no longer stores it.
};

/** Effect: a feed is open at a target. */
struct FeedOpened {
    FlowId flow;
    TargetId target;
};

/** Effect: the next event of a feed; each sequence number is reported once, in order, starting at 1. */
struct FeedEvent {
    FlowId flow;
    std::uint32_t sequence {};
    std::vector<std::uint8_t> payload;
};

/** Effect: another chunk of an upload was acknowledged. */
struct UploadProgress {
    FlowId flow;
    std::uint32_t acknowledged {}; ///< Chunks acknowledged so far.
    std::uint32_t total {}; ///< Total number of chunks.
};

/** Effect: a feed ended without being closed by the caller. */
struct FlowBroken {
    FlowId flow;
    Outcome outcome;
    FlowId reopenedAs; ///< The feed opened as its replacement; zero if none.
};

using CallerEffect
    = std::variant<SendToFabric, Finished, FeedOpened, FeedEvent, UploadProgress, FlowBroken>; ///< One effect.
using CallerEffects = std::vector<CallerEffect>;

/** Counters since the start of the caller. */
struct CallerCounters {
    std::uint64_t sent {}; ///< Packets sent.
    std::uint64_t resent {}; ///< Retransmissions because no reply arrived.
    std::uint64_t hedged {}; ///< Hedges: second Opens sent while the first has no reply.
    std::uint64_t retried {}; ///< Retries scheduled after a refusal.
    std::uint64_t strays {}; ///< Unexpected packets, such as for another caller, a finished flow or another binding.
    std::uint64_t lateAnswers {}; ///< Answers for finished flows; acknowledged and dropped.
    std::uint64_t duplicateEvents {}; ///< Events that had already been delivered.
    std::uint64_t released {}; ///< Unused reservations cancelled because the flow uses another one.
};

} // namespace hawthorncroft
