/**
 * @file settings_type.h
 * Settings of one process. They are read from a JSON file and validated completely before the process starts work.
 */
#pragma once

#include "config_type.h"
#include "keyring_type.h"

#include <map>
#include <string>
#include <vector>

namespace hawthorncroft {

/** A secret key with its ID. */
struct KeySetting {
    KeyId id;
    MacKey secret {};
};

/** Settings of a balancer or an agent. Members that the program does not use keep their defaults. */
struct ProcessSettings {
    std::string vm; ///< VM on which the process runs.
    std::string failureDomain; ///< Failure domain of the VM.
    Endpoint front; ///< Balancer: UDP endpoint for datagrams from callers.
    Endpoint data; ///< UDP endpoint for datagrams from other balancers and agents.
    Endpoint control; ///< TCP endpoint of the control port.
    Endpoint platform; ///< Endpoint of the platform's configuration service.
    std::vector<Endpoint> peers; ///< Data endpoints of some balancers and agents, used as initial gossip peers.
    std::vector<KeySetting> keys; ///< Secret keys.
    std::map<std::string, std::string> log; ///< Minimum log level by log part.
    Endpoint target; ///< Agent: HTTP/2 endpoint of the target.
    std::uint32_t targetId {}; ///< Agent: ID of the target in the configuration.
    std::uint32_t shutdownSeconds { 30 }; ///< Maximum duration of a graceful shutdown in seconds.
};

/** Program that the settings are for. */
enum class Program : std::uint8_t {
    Balancer,
    Agent,
    End,
};

} // namespace hawthorncroft
