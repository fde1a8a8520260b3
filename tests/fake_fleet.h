/**
 * @file fake_fleet.h
 * Balancer, agent and caller cores connected by a seeded simulated network to fake targets, on one simulated clock.
 * Tests and benches inject failures and compare the outcomes that callers received with what the targets executed.
 */
#pragma once

#include "agent_base.h"
#include "balancer_base.h"
#include "caller_base.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace hawthorncroft::fake {

/** How the target of opens and bound packets is selected; all but the first are baselines for comparison. */
enum class Policy : std::uint8_t {
    Product, ///< Bindings and load-aware ranks, as the balancer core decides.
    PlainRendezvous, ///< The eligible target with the highest rank for every packet, without bindings.
    FlowCache, ///< As PlainRendezvous, with a flow table in each balancer.
    RoundRobin, ///< Each balancer sends opens to the targets in turn; bound packets follow their bindings.
    LeastReported, ///< Opens go to the lowest reported load, up to 1 s old; bound packets follow their bindings.
    End,
};

std::string_view nameOf(Policy policy);

/** Size, network faults and limits of a fleet. */
struct FleetOptions {
    std::uint64_t seed { 1 };
    std::uint32_t balancers { 3 };
    std::uint32_t targets { 7 };
    std::uint32_t domains { 3 };
    std::uint32_t callers { 10 };
    std::uint32_t slots { 5 };
    std::uint32_t connections { 2000 };
    Duration serviceTime { milliseconds(20) }; ///< Mean; each value is drawn uniformly from 0.5 to 1.5 times the mean.
    Duration callerDelay { milliseconds(1) }; ///< One-way network delay between callers and balancers.
    Duration domainDelay { microseconds(1500) }; ///< One-way network delay between balancers and agents.
    Duration jitter { microseconds(200) }; ///< Maximum random addition to every delay; reorders packets.
    double loss {}; ///< Fraction of datagrams that are lost.
    double duplicates {}; ///< Fraction of datagrams that are duplicated; the duplicate is delayed by up to 50 ms more.
    Duration maxConfigDelay { milliseconds(300) }; ///< Longest time until a process receives a published document.
    double coldShare { 0.2 }; ///< Fraction of its slots that a cold target can serve at first.
    Duration warmUpTime { seconds(5) }; ///< Time until a cold target can serve all its slots.
    Duration feedInterval {}; ///< Interval between events of a feed; zero disables events.
    bool isWarmAtStart { true }; ///< Whether targets are warm at the start.
    Policy policy { Policy::Product };
    PresetConfig preset; ///< Limits of the preset in force.
    bool hasRetryBudget { true }; ///< Without it callers have a practically unlimited reserve of retries.
};

/** State and counters of a fake target. */
struct FakeTarget {
    Incarnation incarnation { 1 };
    std::uint32_t running {};
    std::uint32_t peak {}; ///< Highest number of concurrent requests.
    std::uint64_t executed {};
    std::uint64_t overloads {}; ///< Requests beyond its current capacity; they fail.
    std::uint64_t packetsWhileOutOfService {}; ///< Work received more than 3 s after the domain left service.
    std::uint64_t newFlowsWhileDraining {}; ///< New flows that started more than 3 s after the target began to drain.
    std::set<FlowKey> feeds;
    std::map<FlowKey, std::set<std::uint32_t>> chunks;
    TimePoint coldSince; ///< Zero when warm.
    std::uint32_t slowdown { 1 }; ///< Factor on the service time.
    TargetState reportedState { TargetState::Warm };
    TimePoint drainingSince;
    TimePoint outOfServiceSince; ///< Zero when in service.
};

/** One flow and its result as reported to its caller. */
struct FlowLog {
    FlowKind kind { FlowKind::Request };
    std::string name;
    std::vector<std::uint8_t> payload;
    TimePoint startedAt;
    TimePoint endedAt; ///< Zero while open.
    Outcome outcome;
    bool isAnswerWrong {}; ///< The answer does not belong to this request.
    TargetId target; ///< Feeds: the target that opened it. Requests: the target that executed it last.
    std::uint32_t events {};
    std::uint32_t eventOrderErrors {}; ///< Events that were delivered out of order or more than once.
};

/** Violations of the system's guarantees, counted over a whole run. All must be zero. */
struct ViolationReport {
    std::uint64_t duplicateExecutions {}; ///< Requests that were executed more than once.
    std::uint64_t falseRefusals {}; ///< Requests and uploads with the verdict "did not run" that were executed.
    std::uint64_t falseDone {}; ///< Requests and uploads with the verdict "done" that were not executed.
    std::uint64_t wrongAnswers {};
    std::uint64_t misrouted {}; ///< Flows that reached a target of another service.
    std::uint64_t packetsWhileOutOfService {};
    std::uint64_t newFlowsWhileDraining {};
    std::uint64_t unfinished {}; ///< Requests without a verdict 10 s after their start.

    bool isClean() const
    {
        return !(duplicateExecutions + falseRefusals + falseDone + wrongAnswers + misrouted + packetsWhileOutOfService
            + newFlowsWhileDraining + unfinished);
    }
};

/** Formats the counts that are not zero. */
std::string toString(const ViolationReport& report);

class Fleet {
public:
    explicit Fleet(FleetOptions options);
    ~Fleet();

    TimePoint now() const { return m_now; }
    void run(Duration duration);

    /**
     * Schedules a function.
     * @param delay Time from now.
     * @param action The function.
     */
    void after(Duration delay, std::function<void()> action);

    // Load generation.
    FlowKey request(std::uint32_t caller, bool isIdempotent = false, Duration deadline = seconds(2));
    FlowKey feed(std::uint32_t caller);
    FlowKey upload(std::uint32_t caller, std::size_t bytes, Duration deadline = seconds(60));
    FlowKey requestNamed(std::uint32_t caller, const std::string& name, Duration deadline = seconds(2));
    /** Starts requests with exponential intervals (Poisson arrivals); the rate is the mean per second. */
    void startRequestLoad(double rate, Duration duration, Duration deadline = seconds(2));

    // Operator actions.
    void publish(const std::string& key, Document document);
    void setOutOfService(std::vector<std::string> domains, std::vector<std::string> vms = {});
    void setPreset(const std::string& name);
    /** Publishes the signing key and the accepted keys; the fleet has the secrets of keys 1 and 2. */
    void rotateKeys(KeyId signing, std::vector<KeyId> accepted);
    std::string domainOf(std::uint32_t target) const { return "domain-" + std::to_string(target % m_options.domains); }

    // Failure injection.
    void killBalancer(std::uint32_t index);
    std::uint32_t addBalancer();
    void pauseBalancer(std::uint32_t index, Duration duration);
    void restartAgent(std::uint32_t target);
    void restartTarget(std::uint32_t target);
    void turnCold(std::uint32_t target, std::uint32_t slowdown = 1);
    void drainTarget(std::uint32_t target);
    void setConfigDelay(std::uint32_t node, Duration delay) { m_configDelays[node] = delay; }
    void setConfigDisconnected(std::uint32_t index, bool isDisconnected);

    // Results.
    const std::map<FlowKey, FlowLog>& flows() const { return m_flows; }
    const FakeTarget& target(std::uint32_t index) const { return m_targets.at(index); }
    BalancerCore& balancer(std::uint32_t index);
    AgentCore& agent(std::uint32_t target);
    std::uint32_t executions(const FlowKey& key) const;
    std::uint64_t brokenFeeds() const { return m_brokenFeeds; }
    std::size_t openFeeds() const;
    /** Ratio of the highest to the mean number of executions, over targets in service. */
    double requestImbalance() const;
    /** Ratio of the highest to the mean number of open feeds, over all targets. */
    double feedImbalance() const;
    ViolationReport check() const;
    FleetOptions& options() { return m_options; }

    static constexpr std::uint32_t firstService = 1;
    static const std::string serviceName;

private:
    struct Balancer;
    struct Agent {
        std::unique_ptr<AgentCore> core;
        AgentEffects effects;
    };
    struct Caller;
    struct Event {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void schedule(TimePoint at, std::function<void()> action);
    void deliver(Duration delay, std::function<void()> action);
    double chance() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    FlowKey recordStart(std::uint32_t caller, FlowId flow, FlowLog log);
    void startBalancer(std::uint32_t index);
    void startAgent(std::uint32_t target);
    void tickBalancer(std::uint32_t index);
    void tickAgent(std::uint32_t target);
    void tickCaller(std::uint32_t index);
    void deliverToBalancer(std::uint32_t index, Endpoint from, Packet packet, bool isFromCaller);
    void applyBalancerEffects(std::uint32_t index);
    void applyAgentEffects(std::uint32_t target);
    void applyCallerEffects(std::uint32_t index);
    void sendToProcess(Endpoint from, Endpoint to, const Packet& packet);
    void confirmLater(std::uint32_t index, std::uint64_t pause);
    void deliverDocuments(std::uint32_t index);
    void distribute(const VersionedDocument& document);
    void recordWork(std::uint32_t target, const FlowKey& key, bool isNew);
    void runAtTarget(std::uint32_t target, const FlowKey& key, ReservationId request, std::vector<std::uint8_t> answer);
    void openFeedAtTarget(std::uint32_t target, const FlowKey& key);
    void sendFeedEvent(std::uint32_t target, const FlowKey& key, Incarnation incarnation);
    std::uint32_t currentCapacity(const FakeTarget& target) const;
    void applyPolicy(std::uint32_t balancer, SendToProcess& effect);
    TargetId baselineTarget(std::uint32_t balancer, const Packet& packet);
    void updateReportedLoads();
    void reportHealth(std::uint32_t target);
    void pollHealth(std::uint32_t target);
    void startRequests(double rate, TimePoint end, Duration deadline);

    FleetOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now { 1000000 };
    std::uint64_t m_order {};
    std::priority_queue<Event> m_events;
    Keyring m_keyring;
    std::vector<std::unique_ptr<Balancer>> m_balancers;
    std::map<std::uint32_t, std::unique_ptr<Agent>> m_agents;
    std::map<std::uint32_t, FakeTarget> m_targets;
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::map<std::string, VersionedDocument> m_documents;
    std::uint64_t m_revision {};
    std::map<std::uint32_t, Duration> m_configDelays; ///< Balancer index to additional configuration delay.
    std::map<FlowKey, FlowLog> m_flows;
    std::map<FlowKey, std::uint32_t> m_executions;
    std::uint64_t m_brokenFeeds {};
    std::uint64_t m_misrouted {};
    std::uint64_t m_incarnations { 100 };
    std::map<std::uint32_t, std::uint32_t> m_reportedLoads; ///< LeastReported: load of each target at the last report.
    std::map<std::uint32_t, std::uint64_t> m_openCounts; ///< RoundRobin: number of opens placed by each balancer.
    std::map<std::pair<std::uint32_t, FlowKey>, TargetId> m_flowCache; ///< FlowCache: targets of known flows.
    OperationsDocument m_operations;
};

} // namespace hawthorncroft::fake
