/**
 * @file demo_type.h
 * What the demo runs (a deployment of examples/) and what it records.
 */
#pragma once

#include "config_type.h"
#include "settings_type.h"
#include "verdict_type.h"

#include <map>
#include <string>
#include <vector>

namespace hawthorncroft {

/** A process of the deployment that has a settings file. */
struct DemoProcess {
    std::string name; ///< File name of the settings without ".json".
    std::string settingsFile;
    ProcessSettings settings;
};

/** A deployment: its documents, its processes and the load. Read from examples/NAME. */
struct DemoPlan {
    std::string name;
    std::string title; ///< User for whom the deployment stands.
    std::string documentsDirectory;
    std::vector<TargetConfig> targets;
    std::map<std::string, ServiceId> names; ///< Every name and corrected spelling.
    std::string operations; ///< JSON text of the operations document.
    std::vector<DemoProcess> balancers;
    std::vector<DemoProcess> agents;
    Endpoint fabric;
    Endpoint fabricControl;
    std::string feedName;
    std::string confirmName;
    std::string uploadName;
    std::vector<std::string> spellings; ///< Misspellings that operators corrected.
    std::vector<std::string> unknownNames; ///< Misspellings that nobody corrected.
    std::uint32_t callerDelayUs {}; ///< Between callers and balancers, one way; microseconds.
    std::uint32_t serviceMs {}; ///< Mean time of a request at a target; milliseconds.
    std::uint32_t confirmationsPerSecond {};
    std::uint32_t feeds {}; ///< Open all the while.
    std::uint32_t uploadsPerSecond {};
    std::uint32_t uploadKilobytes {};
    std::string peakPreset; ///< Preset to which the demo switches.
    std::string domainOut; ///< Failure domain that leaves and returns.
    std::uint32_t balancerKilled {}; ///< Number of the balancer, from 1.
    std::uint32_t balancerAdded {}; ///< Number of the balancer that starts late.
    std::uint32_t targetDrained {}; ///< Target id.

    /** @return The target, or null. */
    const TargetConfig* target(TargetId id) const;

    /** @return Process of the target's agent, or null. */
    const DemoProcess* agentOf(TargetId id) const;
};

/** What a flow was started for. */
enum class DemoWork : std::uint8_t {
    Feed,
    Confirmation,
    Upload,
    Probe, ///< Idempotent confirmation sent until the deployment serves.
    Unknown, ///< Confirmation with a name that nobody corrected.
    End,
};

/** One flow of the demo's callers. */
struct DemoFlow {
    DemoWork work { DemoWork::Confirmation };
    FlowKey key;
    ServiceId intendedService; ///< Service that the caller meant; zero for unknown names.
    std::string payload; ///< What was sent, to recognise the answer.
    TimePoint startedAt;
    TimePoint endedAt; ///< Zero while open.
    Outcome outcome;
    TargetId target; ///< Target of the binding when the flow ended, or of the open feed.
    bool hasOwnAnswer { true }; ///< The answer contains the payload.
    bool isBroken {}; ///< A feed that ended without being closed.
    std::uint32_t events {}; ///< Feed events delivered.
};

/** When things happened on the driver's clock. */
struct DemoTimes {
    TimePoint steadyFrom; ///< Window for the imbalance.
    TimePoint steadyTo;
    TimePoint domainOutAt;
    TimePoint domainBackAt;
    TimePoint loadEndedAt;
};

/** Counts of one target at one moment. */
struct DemoTargetTruth {
    std::map<std::string, std::uint64_t> flows; ///< Runs by "caller/flow".
    std::map<std::string, std::uint64_t> counts; ///< All other counts by their name.
    std::uint64_t executed {}; ///< Runs begun.
};

using DemoTruth = std::map<TargetId, DemoTargetTruth>;

/** All that the report needs. */
struct DemoRecords {
    std::vector<DemoFlow> flows;
    DemoTimes times;
    DemoTruth beforeSteady;
    DemoTruth afterSteady;
    DemoTruth beforeReturn; ///< Taken just before the failure domain returns.
    DemoTruth beforeUndrain; ///< Taken just before the drained target takes work again.
    DemoTruth atEnd;
    std::vector<std::pair<std::string, std::int64_t>> inForceMs; ///< Change and milliseconds until in force; -1: late.
};

/** One line of the table at the end. */
struct DemoFinding {
    std::string what;
    std::string value;
    std::string bound; ///< Text of the bound.
    bool isPromise {}; ///< A miss breaks a promise; otherwise it only misses a bound. Both end the demo with a status.
    bool isKept { true };
};

/**
 * Reads a deployment.
 * @param directory Such as "examples/sofia".
 * @param[out] plan Set on success.
 * @return Empty on success, otherwise what is wrong.
 */
std::string loadDemoPlan(const std::string& directory, DemoPlan& plan);

/**
 * Compares what callers were told with what targets saw.
 * @param plan The deployment.
 * @param records The run.
 * @return The table.
 */
std::vector<DemoFinding> evaluateRun(const DemoPlan& plan, const DemoRecords& records);

} // namespace hawthorncroft
