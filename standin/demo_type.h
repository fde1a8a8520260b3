/**
 * @file demo_type.h
 * Plan of the demo (a deployment of examples/) and the records of a run.
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

/** A deployment with its documents, processes and load, read from examples/NAME. */
struct DemoPlan {
    std::string name;
    std::string title; ///< User whose deployment it models.
    std::string documentsDirectory;
    std::vector<TargetConfig> targets;
    std::map<std::string, ServiceId> names; ///< Service ids by name and corrected spelling.
    std::string operations; ///< JSON text of the operations document.
    std::vector<DemoProcess> balancers;
    std::vector<DemoProcess> agents;
    Endpoint fabric;
    Endpoint fabricControl;
    std::string feedName;
    std::string confirmName;
    std::string uploadName;
    std::vector<std::string> spellings; ///< Misspellings that operators have mapped to a service.
    std::vector<std::string> unknownNames; ///< Misspellings that are not mapped to a service.
    std::uint32_t callerDelayUs {}; ///< One-way network delay between callers and balancers; microseconds.
    std::uint32_t serviceMs {}; ///< Mean service time of a request; milliseconds.
    std::uint32_t confirmationsPerSecond {};
    std::uint32_t feeds {}; ///< Number of feeds that stay open during the run.
    std::uint32_t uploadsPerSecond {};
    std::uint32_t uploadKilobytes {};
    std::string peakPreset; ///< Preset to which the demo switches.
    std::string domainOut; ///< Failure domain that is taken out of service and brought back.
    std::uint32_t balancerKilled {}; ///< Number of the balancer that is killed, from 1.
    std::uint32_t balancerAdded {}; ///< Number of the balancer that is started during the run, from 1.
    std::uint32_t targetDrained {}; ///< Id of the target that is drained.

    /** @return The target, or null. */
    const TargetConfig* target(TargetId id) const;

    /** @return The process of the target's agent, or null. */
    const DemoProcess* agentOf(TargetId id) const;
};

/** Kind of a flow. */
enum class DemoWork : std::uint8_t {
    Feed,
    Confirmation,
    Upload,
    Probe, ///< Idempotent confirmation, sent until the deployment is serving.
    Unknown, ///< Confirmation with a misspelling that is not mapped to a service.
    End,
};

/** One flow of the demo's callers. */
struct DemoFlow {
    DemoWork work { DemoWork::Confirmation };
    FlowKey key;
    ServiceId intendedService; ///< Service that the name should resolve to; zero for unknown names.
    std::string payload; ///< Payload of the request, to match it with the answer.
    TimePoint startedAt;
    TimePoint endedAt; ///< Zero while open.
    Outcome outcome;
    TargetId target; ///< Target of the binding when the flow ended, or of the open feed.
    bool hasOwnAnswer { true }; ///< The answer contains the payload.
    bool isBroken {}; ///< The feed ended without being closed by the caller.
    std::uint32_t events {}; ///< Feed events delivered.
};

/** Times of the steps, on the clock of the demo process. */
struct DemoTimes {
    TimePoint steadyFrom; ///< Start of the interval in which the imbalance is measured.
    TimePoint steadyTo;
    TimePoint domainOutAt;
    TimePoint domainBackAt;
    TimePoint loadEndedAt;
};

/** Counters of one target at one time. */
struct DemoTargetTruth {
    std::map<std::string, std::uint64_t> flows; ///< Number of runs, by "CALLER/FLOW".
    std::map<std::string, std::uint64_t> counts; ///< All other counters, by name.
    std::uint64_t executed {}; ///< Total number of started runs.
};

using DemoTruth = std::map<TargetId, DemoTargetTruth>;

/** Records of a run, from which the table is computed. */
struct DemoRecords {
    std::vector<DemoFlow> flows;
    DemoTimes times;
    DemoTruth beforeSteady;
    DemoTruth afterSteady;
    DemoTruth beforeReturn; ///< Read just before the failure domain is brought back.
    DemoTruth beforeUndrain; ///< Read just before the target is undrained.
    DemoTruth atEnd;
    std::vector<std::pair<std::string, std::int64_t>>
        inForceMs; ///< Change and its propagation time in milliseconds; -1 after a timeout.
};

/** One line of the final table. */
struct DemoFinding {
    std::string what;
    std::string value;
    std::string bound; ///< Text of the bound.
    bool isPromise {}; ///< A miss breaks a promise, otherwise only a bound. Both give a non-zero exit status.
    bool isKept { true };
};

/**
 * Reads a deployment.
 * @param directory Such as "examples/sofia".
 * @param[out] plan Set on success.
 * @return Empty on success, otherwise the error message.
 */
std::string loadDemoPlan(const std::string& directory, DemoPlan& plan);

/**
 * Compares the outcomes at the callers with the ground truth of the targets.
 * @param plan The deployment.
 * @param records The records of the run.
 * @return The table.
 */
std::vector<DemoFinding> evaluateRun(const DemoPlan& plan, const DemoRecords& records);

} // namespace hawthorncroft
