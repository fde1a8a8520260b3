/**
 * @file transit_capacity_base.h
 * Learned capacity of a target: the limit on its requests in progress, and its mean service time. The limit is the
 * highest concurrency at which the target still gains throughput, and never so high that a request misses its latency
 * objective where a lower limit would not (docs/design/learned-capacity.md).
 */
#pragma once

#include "transit_capacity_type.h"

#include <optional>
#include <unordered_map>

namespace hawthorncroft {

/** Limit and service time of one target, learned from the requests that it answers. Pure. */
class TargetCapacity {
public:
    explicit TargetCapacity(CapacityOptions options);

    /** Adds a request that the target ended. @return The change of the limit that follows; none in most cases. */
    std::optional<CapacityChange> addSample(const CapacitySample& sample, TimePoint now);

    /** Forgets everything, for a new incarnation of the target or a cold one. Requests started earlier do not count. */
    void reset(TimePoint now);

    /** @return Requests that the target may have in progress; the slots until something is known. */
    std::uint32_t limit(std::uint32_t slots) const;

    /** @return Mean service time in microseconds, weighted by the routes' shares; zero while it is unknown. */
    std::uint32_t serviceTimeUs(TimePoint now) const;

private:
    /** Service times of one route. */
    struct Route {
        double baselineUs {}; ///< Mean at low concurrency; until such a sample was seen, of the first samples.
        double recentUs {};
        double longTermUs {}; ///< Mean of the last minute.
        double share {}; ///< Share of the samples.
        Duration objective; ///< What the latency objective leaves to the target; zero or less when unknown.
        std::uint32_t baselineSamples {};
        std::uint32_t samples {};
        TimePoint firstAt;
        TimePoint lastAt;
    };

    /** Samples taken while the target was as busy as the limit lets it be. */
    struct Batch {
        std::uint32_t count {};
        double inProgress {}; ///< Sum of the requests in progress.
        double relativeTime {}; ///< Sum of the service times, each divided by the baseline of its route.
        double squares {}; ///< Sum of the squares of these.
        TimePoint startedAt;
    };

    /** Means of a batch. */
    struct Measurement {
        Duration age; ///< Since the first sample of the batch.
        std::uint32_t count {};
        double inProgress {};
        double relativeTime {};
        double spread {}; ///< Standard deviation of the relative times, as a share of their mean.
        double error {}; ///< Standard error of relativeTime, as a share of it.
        double objectiveUse {}; ///< See TargetCapacity::objectiveUse.
        bool isLast {}; ///< The batch is full: no further sample makes it more accurate.

        /** @return Answers for each baseline service time (Little's law). */
        double throughput() const { return inProgress / relativeTime; }
    };

    /** A changed limit that is being compared with the one before. */
    struct Trial {
        std::uint32_t limitBefore {};
        Measurement before;
        bool isForObjective {}; ///< Lowered because requests missed their objective.
        bool isBlind {}; ///< Raised although the baselines show no gain, since they may be wrong.
    };

    /** Earliest time of the next trial of one kind; the interval doubles while trials are given up. */
    struct Backoff {
        TimePoint until;
        std::uint32_t failures {};

        void recordFailure(Duration shortest, Duration longest, TimePoint now);
    };

    std::uint32_t minLimit(std::uint32_t slots) const;
    void addToRoute(Route& route, const CapacitySample& sample, double timeUs, TimePoint now);
    void startBatch(TimePoint now);
    void addToBatch(const CapacitySample& sample, const Route& route, double timeUs, TimePoint now);
    Measurement measurement(TimePoint now) const;
    double objectiveUse(TimePoint now) const;
    std::optional<CapacityChange> abandonTrial(TimePoint now);
    std::optional<CapacityChange> evaluate(const Measurement& measured, TimePoint now);
    std::optional<CapacityChange> evaluateLowered(const Measurement& measured, TimePoint now);
    std::optional<CapacityChange> evaluateRaised(const Measurement& measured, TimePoint now);
    CapacityChange changeLimit(std::uint32_t limit, std::string_view reason, const Measurement& measured,
        double throughputBefore, TimePoint now);
    bool isBaselineMeasured() const;
    void scaleBaselines(double factor);

    CapacityOptions m_options;
    std::unordered_map<Endpoint, Route> m_routes;
    std::uint32_t m_slots {}; ///< Slots of the last sample.
    std::uint32_t m_limit {}; ///< Zero until the first sample.
    Batch m_batch;
    std::optional<Trial> m_trial;
    Backoff m_loweringBackoff;
    Backoff m_raisingBackoff;
    Backoff m_blindBackoff;
    TimePoint m_lowAt; ///< Last sample at low concurrency.
    std::uint32_t m_fullLimit {}; ///< Limit at which the target last had the throughput of that many requests.
    TimePoint m_fullAt; ///< When that was measured.
    TimePoint m_changedAt; ///< Last change of the limit; requests that started before do not measure it.
    TimePoint m_resetAt;
    std::uint32_t m_baselineSamples {}; ///< Samples at low concurrency that the baselines are from, up to their window.
};

} // namespace hawthorncroft
