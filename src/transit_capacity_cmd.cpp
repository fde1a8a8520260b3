#include "transit_capacity_base.h"

#include "table/transit_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthorncroft {

namespace {

    constexpr double outlierFactor = 4; ///< Longer samples are clamped to this multiple of the mean.
    constexpr double decisionErrors = 1.5; ///< Standard errors between a measurement and the threshold that decides.
    constexpr double minKneeShare = 0.7; ///< A knee above this share of the limit cannot be told from the limit itself.
    constexpr double shortestRelativeTime = 1e-6; ///< Keeps quotients finite.
    constexpr std::uint32_t baselineWindow = 256; ///< Inverse weight of a sample in the baseline of a route.
    constexpr std::uint32_t recentWindow = 64; ///< Inverse weight of a sample in the mean service time.
    constexpr double shareWindow = 256; ///< Inverse weight of a sample in the shares of the routes.

    /** Adds a value to a mean that weights the first values alike and then the last ones of a window. */
    void addToMean(double& mean, double value, std::uint32_t earlier, std::uint32_t window)
    {
        mean += (value - mean) / std::min(earlier + 1, window);
    }

}

TargetCapacity::TargetCapacity(CapacityOptions options)
    : m_options(options)
{
}

void TargetCapacity::reset(TimePoint now)
{
    *this = TargetCapacity(m_options);
    m_resetAt = now;
    m_changedAt = now;
}

std::optional<CapacityChange> TargetCapacity::addSample(const CapacitySample& sample, TimePoint now)
{
    TimePoint startedAt = now - sample.serviceTime;
    if (!m_options.isEnabled || !sample.isSuccess || !sample.slots || startedAt < m_resetAt)
        return std::nullopt;
    if (sample.slots != m_slots) {
        m_slots = sample.slots;
        m_limit = sample.slots;
        m_trial.reset();
        m_loweringBackoff = {};
        m_raisingBackoff = {};
        m_blindBackoff = {};
        m_changedAt = startedAt;
        startBatch(now);
    }
    auto found = m_routes.find(sample.route);
    if (found == m_routes.end()) {
        if (m_routes.size() >= maxServiceTimes)
            return std::nullopt;
        found = m_routes.emplace(sample.route, Route { .firstAt = now, .lastAt = now }).first;
    }
    Route& route = found->second;
    // An answer that was lost and retransmitted must not count as a slow target.
    double upperBound = route.samples ? outlierFactor * route.recentUs : static_cast<double>(initialServiceTime.us);
    double timeUs = std::clamp(static_cast<double>(sample.serviceTime.us), 1.0, std::max(upperBound, 1.0));
    addToRoute(route, sample, timeUs, now);
    if (m_trial && now >= m_changedAt + maxTrialTime)
        return abandonTrial(now);
    // While a queue builds up or ends, the concurrency at the start does not say how busy the target was.
    bool wasBusy = sample.inProgress >= m_limit && (!sample.inProgressAtEnd || sample.inProgressAtEnd >= m_limit);
    if (m_slots < 2 || startedAt < m_changedAt || !wasBusy)
        return std::nullopt;
    addToBatch(sample, route, timeUs, now);
    if (m_batch.count < minCapacityBatch || m_batch.count % capacityBatchStep)
        return std::nullopt;
    Measurement measured = measurement(now);
    if (measured.isLast)
        startBatch(now);
    if (!m_trial)
        return evaluate(measured, now);
    return m_limit < m_trial->limitBefore ? evaluateLowered(measured, now) : evaluateRaised(measured, now);
}

void TargetCapacity::addToRoute(Route& route, const CapacitySample& sample, double timeUs, TimePoint now)
{
    bool isLow = sample.inProgress * lowConcurrencyShare <= m_slots + lowConcurrencyShare - 1;
    if (isLow && !m_trial) { // Both limits of a trial are compared by the same baselines.
        addToMean(route.baselineUs, timeUs, route.baselineSamples, baselineWindow);
        ++route.baselineSamples;
        m_baselineSamples = std::min(m_baselineSamples + 1, baselineWindow);
        m_lowAt = now;
    } else if (!route.baselineSamples && !m_trial) {
        addToMean(route.baselineUs, timeUs, route.samples, baselineWindow);
    }
    addToMean(route.recentUs, timeUs, route.samples, recentWindow);
    // Over time instead of samples, so that a target that answers errors quickly does not reach it sooner.
    auto memory = static_cast<double>(std::clamp(now - route.firstAt, milliseconds(1), longTermSpeed).us);
    double weight = route.samples ? static_cast<double>((now - route.lastAt).us) / memory : 1;
    route.longTermUs += (timeUs - route.longTermUs) * std::min(weight, 1.0);
    ++route.samples;
    route.lastAt = now;
    route.objective = sample.latencyObjective - callerNetworkDelay;
    for (auto& [address, other] : m_routes)
        other.share -= other.share / shareWindow;
    route.share += 1 / shareWindow;
}

void TargetCapacity::startBatch(TimePoint now) { m_batch = { .startedAt = now }; }

void TargetCapacity::addToBatch(const CapacitySample& sample, const Route& route, double timeUs, TimePoint now)
{
    if (now >= m_batch.startedAt + capacityBatchLifetime)
        startBatch(now);
    double relativeTime = timeUs / std::max(route.baselineUs, 1.0);
    ++m_batch.count;
    m_batch.inProgress += sample.inProgress;
    m_batch.relativeTime += relativeTime;
    m_batch.squares += relativeTime * relativeTime;
}

TargetCapacity::Measurement TargetCapacity::measurement(TimePoint now) const
{
    double count = m_batch.count;
    double mean = std::max(m_batch.relativeTime / count, shortestRelativeTime);
    double spread = std::sqrt(std::max(m_batch.squares / count - mean * mean, 0.0)) / mean;
    return { .age = now - m_batch.startedAt,
        .count = m_batch.count,
        .inProgress = m_batch.inProgress / count,
        .relativeTime = mean,
        .spread = spread,
        .error = spread / std::sqrt(count),
        .objectiveUse = objectiveUse(now),
        .isLast = m_batch.count >= maxCapacityBatch };
}

std::optional<CapacityChange> TargetCapacity::evaluate(const Measurement& measured, TimePoint now)
{
    double limit = m_limit;
    double throughput = measured.throughput();
    double baselineError = measured.spread / std::sqrt(std::max(m_baselineSamples, 1U));
    double error = throughput * std::hypot(measured.error, baselineError);
    if (throughput - error > measured.inProgress / capacityDeadZone) {
        // The target is faster now than it was at low concurrency, so the baselines are too long.
        scaleBaselines(measured.relativeTime);
        startBatch(now);
        return std::nullopt;
    }
    std::uint32_t lowest = minLimit(m_slots);
    bool isObjectiveMissed = measured.objectiveUse * (1 - measured.error) > 1;
    double fullThroughput = limit * capacityDeadZone; // From there on, a knee cannot be told from the limit.
    if (isBaselineMeasured() && throughput - decisionErrors * error >= fullThroughput) {
        m_fullLimit = m_limit;
        m_fullAt = now;
    }
    // A target that took this limit well a moment ago has most likely turned slow at every concurrency: knees seldom
    // move.
    bool wasFull = m_fullLimit >= m_limit && now < m_fullAt + fullLimitLifetime;
    bool isKneeBelow = isBaselineMeasured() && !wasFull && throughput + 2 * error < fullThroughput;
    bool isUnknown = !isBaselineMeasured() && measured.count >= unmeasuredTrialSamples
        && now >= m_changedAt + unmeasuredTrialDelay;
    if ((isObjectiveMissed || isKneeBelow || isUnknown) && m_limit > lowest && now >= m_loweringBackoff.until) {
        double wanted = limit / 2;
        if (!isUnknown)
            wanted = std::max(wanted, isKneeBelow ? throughput : limit / measured.objectiveUse);
        auto next
            = static_cast<std::uint32_t>(std::clamp(std::floor(wanted + 0.5), static_cast<double>(lowest), limit - 1));
        m_trial = Trial { .limitBefore = m_limit, .before = measured, .isForObjective = isObjectiveMissed };
        return changeLimit(next, isObjectiveMissed ? "objective" : "trial", measured, throughput, now);
    }
    // Up to limit + slotOversubscription requests are in progress. When all of them gain throughput, the limit may
    // rise.
    bool isGaining = throughput - (measured.isLast ? 0 : decisionErrors * error) >= limit + 0.5;
    bool isWithinObjective = measured.objectiveUse * (measured.inProgress + 1) < measured.inProgress;
    bool isBlind = !isGaining && now >= m_changedAt + minBlindProbeInterval && now >= m_blindBackoff.until;
    bool mayRaise = isGaining ? now >= m_raisingBackoff.until : isBlind;
    if (mayRaise && isWithinObjective && m_limit < m_slots) {
        m_trial = Trial { .limitBefore = m_limit, .before = measured, .isBlind = isBlind };
        return changeLimit(m_limit + 1, "probe", measured, throughput, now);
    }
    return std::nullopt;
}

std::optional<CapacityChange> TargetCapacity::evaluateLowered(const Measurement& measured, TimePoint now)
{
    const Measurement& before = m_trial->before;
    double busyBefore = std::min<double>(before.inProgress, m_trial->limitBefore);
    double proportional = measured.inProgress / std::max(busyBefore, measured.inProgress);
    double share = measured.throughput() / before.throughput();
    double error = share * std::hypot(measured.error, before.error);
    // Half way between a target that gained nothing from the higher limit and one that gained in proportion.
    double threshold = (1 + proportional) / 2;
    bool isClear = measured.count >= minTrialSamples && std::abs(share - threshold) >= decisionErrors * error;
    if (!isClear && !measured.isLast)
        return std::nullopt;
    // For an objective it is enough that requests take less time.
    double timeShare = measured.relativeTime / before.relativeTime;
    bool isQuicker = timeShare <= 1 - (1 - proportional) / 4;
    bool isAsGood = share >= threshold || (m_trial->isForObjective && isQuicker);
    Trial trial = *std::exchange(m_trial, std::nullopt);
    startBatch(now);
    if (isAsGood) {
        m_loweringBackoff = {};
        return std::nullopt;
    }
    m_loweringBackoff.recordFailure(minTrialInterval, maxTrialInterval, now);
    bool isBaselineFresh = isBaselineMeasured() && now < m_lowAt + baselineFreshness;
    if (!isBaselineFresh) {
        // The target is slower at all concurrencies than the baselines say, or they were not measured yet.
        scaleBaselines(measured.relativeTime);
        m_baselineSamples = measured.count;
    }
    double knee = trial.before.inProgress * measured.relativeTime / trial.before.relativeTime;
    if (knee > trial.limitBefore * minKneeShare)
        knee = trial.limitBefore;
    auto next = static_cast<std::uint32_t>(
        std::clamp(std::floor(knee + 0.5), static_cast<double>(m_limit), static_cast<double>(trial.limitBefore)));
    if (next == m_limit)
        return std::nullopt;
    return changeLimit(next, "trial_ended", measured, trial.before.throughput(), now);
}

std::optional<CapacityChange> TargetCapacity::evaluateRaised(const Measurement& measured, TimePoint now)
{
    const Measurement& before = m_trial->before;
    double share = measured.throughput() / before.throughput();
    double error = share * std::hypot(measured.error, before.error);
    // A blind probe has to show at least half of what one request more can gain.
    double threshold = m_trial->isBlind ? 1 + 0.5 / m_trial->limitBefore : 1;
    bool isLosing = share + (measured.isLast ? 0 : error) < threshold;
    bool isBlind = m_trial->isBlind;
    if (!isLosing && !measured.isLast && share - error < threshold)
        return std::nullopt;
    double throughputBefore = before.throughput();
    m_trial.reset();
    startBatch(now);
    if (!isLosing) {
        m_raisingBackoff = { .until = now + minProbeInterval };
        m_blindBackoff = {};
        return std::nullopt;
    }
    if (isBlind)
        m_blindBackoff.recordFailure(minBlindProbeInterval, maxBlindProbeInterval, now);
    else
        m_raisingBackoff.recordFailure(minProbeInterval, maxProbeInterval, now);
    return changeLimit(m_limit - 1, "probe_ended", measured, throughputBefore, now);
}

std::optional<CapacityChange> TargetCapacity::abandonTrial(TimePoint now)
{
    // The target was not busy enough since the limit changed, so what was measured before is too old.
    Trial trial = *std::exchange(m_trial, std::nullopt);
    return changeLimit(trial.limitBefore, "trial_abandoned", trial.before, trial.before.throughput(), now);
}

void TargetCapacity::Backoff::recordFailure(Duration shortest, Duration longest, TimePoint now)
{
    constexpr std::uint32_t maxDoublings = 8;
    until = now + std::min(longest, shortest * (std::int64_t { 1 } << std::min(failures, maxDoublings)));
    ++failures;
}

CapacityChange TargetCapacity::changeLimit(
    std::uint32_t limit, std::string_view reason, const Measurement& measured, double throughputBefore, TimePoint now)
{
    CapacityChange change { .before = m_limit,
        .after = limit,
        .reason = reason,
        .age = measured.age,
        .throughputBefore = throughputBefore,
        .throughput = measured.throughput() };
    m_limit = limit;
    m_changedAt = now;
    startBatch(now);
    return change;
}

void TargetCapacity::scaleBaselines(double factor)
{
    for (auto& [address, route] : m_routes)
        route.baselineUs *= factor;
}

} // namespace hawthorncroft
