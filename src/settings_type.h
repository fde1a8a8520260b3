/**
 * @file settings_type.h
 * Settings of one process, read from a JSON file and checked completely before anything starts.
 */
#pragma once

#include "config_type.h"
#include "keyring_type.h"

#include <map>
#include <string>
#include <vector>

namespace hawthorncroft {

/** A secret key with its number. */
struct KeySetting {
    KeyId id;
    MacKey secret {};
};

/** Settings of a balancer or an agent. Fields that a program does not use keep their defaults. */
struct ProcessSettings {
    std::string vm; ///< VM on which the process runs.
    std::string failureDomain; ///< Failure domain of the VM.
    Endpoint front; ///< Balancer: where callers' datagrams arrive.
    Endpoint data; ///< Where datagrams of other processes arrive.
    Endpoint control; ///< Where control streams are accepted.
    Endpoint platform; ///< The platform's configuration service.
    std::vector<Endpoint> peers; ///< Datagram endpoints of some processes, to start from.
    std::vector<KeySetting> keys; ///< Secret keys.
    std::map<std::string, std::string> log; ///< Lowest log level by part.
    Endpoint target; ///< Agent: HTTP/2 endpoint of the target.
    std::uint32_t targetId {}; ///< Agent: number of the target in the configuration.
    std::uint32_t shutdownSeconds { 30 }; ///< Longest graceful shutdown; seconds.
};

/** Program whose settings are checked. */
enum class Program : std::uint8_t {
    Balancer,
    Agent,
    End,
};

} // namespace hawthorncroft
