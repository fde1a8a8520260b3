/**
 * @file config_fields.h
 * Integer fields of configuration documents with their JSON names and bounds, used for parsing and serialization.
 */
#pragma once

#include "../config_reader.h"
#include "../name_table_type.h"

#include <array>

namespace hawthorncroft {

/** One integer field of a struct. */
template <typename Struct> struct IntegerField {
    std::string_view name;
    std::uint32_t Struct::*member;
    Range range;
    Need need { Need::Optional };
};

inline constexpr Range idRange { 1, 0xffffffffU };

inline constexpr std::array<IntegerField<TargetConfig>, 2> targetFields { {
    { "slots", &TargetConfig::slots, { 1, 100000 }, Need::Required },
    { "connections", &TargetConfig::connections, { 1, 10000000 }, Need::Required },
} };

inline constexpr std::array<IntegerField<PresetConfig>, 7> presetFields { {
    { "slotPercent", &PresetConfig::slotPercent, { 1, 100 } },
    { "connectionPercent", &PresetConfig::connectionPercent, { 1, 100 } },
    { "uploadPercent", &PresetConfig::uploadPercent, { 1, 100 } },
    { "retryPercent", &PresetConfig::retryPercent, { 0, 100 } },
    { "hopBudget", &PresetConfig::hopBudget, { 0, 4 } }, // At most maxHops of limits.h.
    { "coldStartPercent", &PresetConfig::coldStartPercent, { 1, 100 } },
    { "coldStartSeconds", &PresetConfig::coldStartSeconds, { 0, 3600 } },
} };

inline constexpr std::array<IntegerField<Objectives>, 2> objectiveFields { {
    { "inTimeMs", &Objectives::inTimeMs, { 1, 3600000 } },
    { "unavailableSecondsPerMonth", &Objectives::unavailableSecondsPerMonth, { 0, 2678400 } }, // 31 days.
} };

inline constexpr NameTable<Role> roleNames { "balancer", "agent" };

} // namespace hawthorncroft
