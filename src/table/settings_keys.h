/**
 * @file settings_keys.h
 * All settings keys with their types, ranges, and the programs that accept them.
 */
#pragma once

#include "../settings_type.h"

#include <array>
#include <string_view>
#include <variant>

namespace hawthorncroft {

/** Member of ProcessSettings that a key sets; its type selects the parser of the value. */
using SettingMember = std::variant<std::string ProcessSettings::*, Endpoint ProcessSettings::*,
    std::vector<Endpoint> ProcessSettings::*, std::vector<KeySetting> ProcessSettings::*,
    std::map<std::string, std::string> ProcessSettings::*, std::uint32_t ProcessSettings::*>;

/** One settings key. */
struct SettingKey {
    std::string_view key; ///< Name in the file; the name of a quantity ends with its unit.
    SettingMember member; ///< Where the value is stored.
    bool forBalancer {}; ///< Accepted by balancers.
    bool forAgent {}; ///< Accepted by agents.
    bool isRequired {}; ///< The key must be present.
    std::uint32_t lowest {}; ///< Minimum of a number.
    std::uint32_t highest {}; ///< Maximum of a number.
    std::string_view allowed; ///< Description of the accepted values for error messages.
};

inline constexpr std::array settingKeys {
    SettingKey { .key = "vm",
        .member = &ProcessSettings::vm,
        .forBalancer = true,
        .forAgent = true,
        .isRequired = true,
        .allowed = "a name of 1 to 128 characters" },
    SettingKey { .key = "failureDomain",
        .member = &ProcessSettings::failureDomain,
        .forBalancer = true,
        .forAgent = true,
        .isRequired = true,
        .allowed = "a name of 1 to 128 characters" },
    SettingKey { .key = "front",
        .member = &ProcessSettings::front,
        .forBalancer = true,
        .isRequired = true,
        .allowed = "an IPv4 address with a port, such as 127.0.0.1:7000" },
    SettingKey { .key = "data",
        .member = &ProcessSettings::data,
        .forBalancer = true,
        .forAgent = true,
        .isRequired = true,
        .allowed = "an IPv4 address with a port, such as 127.0.0.1:7001" },
    SettingKey { .key = "control",
        .member = &ProcessSettings::control,
        .forBalancer = true,
        .forAgent = true,
        .isRequired = true,
        .allowed = "an IPv4 address with a port, such as 127.0.0.1:7002" },
    SettingKey { .key = "platform",
        .member = &ProcessSettings::platform,
        .forBalancer = true,
        .forAgent = true,
        .isRequired = true,
        .allowed = "an IPv4 address with a port, such as 127.0.0.1:6000" },
    SettingKey { .key = "peers",
        .member = &ProcessSettings::peers,
        .forBalancer = true,
        .forAgent = true,
        .allowed = "a list of at most 64 IPv4 addresses with ports" },
    SettingKey { .key = "keys",
        .member = &ProcessSettings::keys,
        .forBalancer = true,
        .forAgent = true,
        .isRequired = true,
        .allowed = "a list of 1 to 8 objects {\"id\": 1 to 4294967295, \"secret\": 32 hexadecimal digits}" },
    SettingKey { .key = "log",
        .member = &ProcessSettings::log,
        .forBalancer = true,
        .forAgent = true,
        .allowed
        = "an object from main, data, control, config, target or metrics to debug, info, warning, error or off" },
    SettingKey { .key = "target",
        .member = &ProcessSettings::target,
        .forAgent = true,
        .isRequired = true,
        .allowed = "an IPv4 address with a port, such as 127.0.0.1:8000" },
    SettingKey { .key = "targetId",
        .member = &ProcessSettings::targetId,
        .forAgent = true,
        .isRequired = true,
        .lowest = 1,
        .highest = 4294967295,
        .allowed = "a whole number from 1 to 4294967295" },
    SettingKey { .key = "shutdownSeconds",
        .member = &ProcessSettings::shutdownSeconds,
        .forBalancer = true,
        .forAgent = true,
        .lowest = 1,
        .highest = 3600,
        .allowed = "a whole number of seconds from 1 to 3600" },
};

} // namespace hawthorncroft
