/**
 * @file transit_names.h
 * Names of enumerators of transparent flows as they appear in logs and metrics, in the order of their values.
 */
#pragma once

#include "../transit_effect_type.h"
#include "../transit_egress_type.h"
#include "../transit_placement_type.h"

namespace hawthorncroft {

inline constexpr NameTable<ProcessRole> processRoleNames = {
    "balancer",
    "agent",
};

/** Kinds of messages, in the order of MessageBody. */
inline constexpr std::array<std::string_view, std::variant_size_v<MessageBody>> messageKindNames = {
    "forward",
    "held",
    "declined",
    "not_held",
    "holder",
    "stamp",
    "delta",
    "leaving",
    "locate",
    "not_held_flows",
    "repeat_notes",
    "vouch",
    "notes_taken",
};

inline constexpr NameTable<DeclineReason> declineReasonNames = {
    "no_view",
    "wrong_service",
    "not_registered",
    "draining",
    "evacuated",
    "cold",
    "full",
    "leaving",
    "returned_by_target",
    "target_silent",
    "target_faulty",
    "overloaded",
};

inline constexpr NameTable<EgressDrop> egressDropNames = {
    "age",
    "bytes",
};

inline constexpr NameTable<StoreFailure> storeFailureNames = {
    "history_gone",
    "refused",
    "unreachable",
    "invalid",
    "other_era",
};

inline constexpr NameTable<TransitCounter> transitCounterNames = {
    "packets_from_callers",
    "packets_from_target",
    "opens_forwarded",
    "opens_repeated",
    "opens_declined",
    "opens_refused",
    "opens_refused_overloaded",
    "opens_refused_attempts_used",
    "opens_refused_no_target",
    "opens_refused_no_service",
    "opens_refused_no_route",
    "refusals_withheld",
    "flows_opened",
    "flows_located",
    "flows_lost",
    "locates_unanswered",
    "packets_dropped",
    "requests_queued",
    "requests_evicted",
    "requests_expired",
    "requests_abandoned",
    "transfers_held",
    "transfers_released",
    "requests_rescued",
    "packets_returned",
    "no_route",
    "malformed",
    "messages_in",
    "messages_out",
    "store_calls",
    "store_failures",
    "store_answers_discarded",
    "log_lines_dropped",
    "entry_changes",
    "messages_relayed",
    "relay_forwarded",
    "relay_over_budget",
};

inline constexpr NameTable<EntryReason> entryReasonNames = {
    "load",
    "start",
    "half",
    "fits",
    "no_reports",
};

inline constexpr NameTable<TargetState> targetStateNames = {
    "draining",
    "evacuated",
    "returned",
    "suspected",
    "overloaded",
    "cold",
    "eligible",
};

inline constexpr NameTable<PlacementBasis> placementBasisNames = {
    "none",
    "lowest_load",
    "only_usable",
    "last_resort",
};

inline constexpr NameTable<TransitDistribution> transitDistributionNames = {
    "open_us",
    "locate_us",
    "queue_us",
    "request_us",
};

} // namespace hawthorncroft
