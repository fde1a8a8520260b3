/**
 * @file agent_counters.h
 * Names of the agent's counters, in the order of their enumeration.
 */
#pragma once

#include "../agent_type.h"
#include "../name_table_type.h"

#include <array>

namespace hawthorncroft {

inline constexpr NameTable<AgentCounter> agentCounterNames {
    "accepted",
    "refused-opens",
    "relayed-opens",
    "duplicate-opens",
    "started",
    "answered",
    "failed",
    "duplicate-executes",
    "tombstones",
    "refused-bound",
    "lapsed-reservations",
    "lapsed-streams",
    "adopted",
    "given-up",
    "resends",
    "expired-answers",
    "dropped-events",
    "overflowed-feeds",
    "dropped-chunks",
    "late-target-reports",
    "dropped-unconfirmed",
    "dropped-other",
    "full-tables",
    "pauses",
    "cold-starts",
};

} // namespace hawthorncroft
