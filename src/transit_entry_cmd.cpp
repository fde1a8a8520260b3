#include "transit_entry_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

EntryLoadMeter::Bucket& EntryLoadMeter::bucketAt(TimePoint now)
{
    std::int64_t index = now.us / entryLoadInterval.us;
    Bucket& bucket = m_buckets[static_cast<std::size_t>(index) % m_buckets.size()];
    if (bucket.index != index)
        bucket = { .index = index };
    return bucket;
}

void EntryLoadMeter::recordReceived(std::size_t bytes, TimePoint now)
{
    Bucket& bucket = bucketAt(now);
    bucket.receivedBytes += static_cast<std::int64_t>(bytes);
    ++bucket.receivedPackets;
}

void EntryLoadMeter::recordSent(std::size_t bytes, TimePoint now)
{
    Bucket& bucket = bucketAt(now);
    bucket.sentBytes += static_cast<std::int64_t>(bytes);
    ++bucket.sentPackets;
}

EntryRotation::EntryRotation(EntryOptions options)
    : m_options(options)
{
}

std::optional<EntryChange> EntryRotation::update(const EntryBalancers& others, bool hasView, TimePoint now)
{
    if (!m_startedAt) {
        m_startedAt = now;
        m_changedAt = now;
    }
    if (m_lastUpdateAt && now > *m_lastUpdateAt + entryReportLifetime)
        m_heldUntil = now + entryHoldTime;
    m_lastUpdateAt = now;
    observe(others, hasView, now);
    // After a pause the reports are old and the own load is that of the pause; neither is a reason to change anything.
    if (now < m_heldUntil)
        return std::nullopt;
    estimateLoad(now);
    if (!m_options.isEnabled) {
        m_hasStarted = true;
        m_isReady = true;
    }
    m_isEven = areAllEven(others, now);
    if (m_stoppedAt || !m_options.isEnabled)
        return std::nullopt;
    auto reason = decide(others, now);
    if (!reason)
        return std::nullopt;
    EntryChange change = changeFor(*reason);
    m_isReady = change.isReady;
    m_fitsSince.reset();
    m_shortSince.reset();
    m_changedAt = now;
    if (!m_isReady)
        m_leftAt = now;
    m_isFirstWait = reason == EntryReason::Start;
    return change;
}

std::optional<EntryReason> EntryRotation::decide(const EntryBalancers& others, TimePoint now)
{
    if (!m_isEven) {
        if (!m_hasStarted)
            return decideStart(others, now);
        return m_isReady ? decideLeave(now) : decideReturn(now);
    }
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_isReady = true;
    }
    return m_isReady ? std::nullopt : std::optional(EntryReason::Fits);
}

void EntryRotation::stop(TimePoint now)
{
    if (!m_stoppedAt)
        m_stoppedAt = now;
}

void EntryRotation::observe(const EntryBalancers& others, bool hasView, TimePoint now)
{
    m_known = others.peers.size() + 1;
    m_oldestReport = {};
    m_order.clear();
    for (const EntryPeer& peer : others.peers) {
        if (!peer.report || peer.age > entryReportLifetime)
            continue;
        m_order.push_back({ peer.endpoint, *peer.report, peer.isReady });
        m_oldestReport = std::max(m_oldestReport, peer.age);
    }
    m_order.push_back({ m_options.self, report(now), m_isReady && hasView });
    std::sort(m_order.begin(), m_order.end(), [](const Candidate& one, const Candidate& other) {
        double oneCapacity = capacityOf(one.report);
        double otherCapacity = capacityOf(other.report);
        return oneCapacity != otherCapacity ? oneCapacity > otherCapacity : one.endpoint < other.endpoint;
    });
    updateReadyTimes(others, now);
}

void EntryRotation::updateReadyTimes(const EntryBalancers& others, TimePoint now)
{
    std::map<Endpoint, TimePoint> readySince;
    for (const EntryPeer& peer : others.peers) {
        // A process of a version without reports is ready by its stamp alone, as it is to the routers.
        if (!peer.isReady || (peer.report && peer.age > entryReportLifetime))
            continue;
        auto known = m_readySince.find(peer.endpoint);
        readySince[peer.endpoint] = known == m_readySince.end() ? now : known->second;
    }
    bool isSame = std::equal(readySince.begin(), readySince.end(), m_readySince.begin(), m_readySince.end(),
        [](const auto& one, const auto& other) { return one.first == other.first; });
    m_readySince = std::move(readySince);
    if (!isSame)
        m_changedAt = now;
}

void EntryRotation::estimateLoad(TimePoint now)
{
    std::vector<const Candidate*> ready;
    std::size_t upperReady = 0;
    for (std::size_t i = 0; i < m_order.size(); ++i) {
        if (!m_order[i].isReady)
            continue;
        ready.push_back(&m_order[i]);
        upperReady += i < (m_order.size() + 1) / 2;
    }
    if (ready.empty()) {
        m_load.reset();
        m_loadSince.reset();
        m_receivers = 0;
        return;
    }
    // A balancer that has returned gets its share only after the next probe of the routers, and its load is a mean of
    // the last second. Until then the load per balancer is still that of the smaller number.
    if (!m_receivers || ready.size() <= m_receivers) {
        m_receivers = ready.size();
        m_receiversRaisedAt = now;
    } else if (now >= m_receiversRaisedAt + entrySpreadTime) {
        m_receivers = ready.size();
    }
    // A saturated link hides demand, so that the lower half of the order does not count.
    std::size_t measured = upperReady ? upperReady : (ready.size() + 1) / 2;
    EntryLoad sum;
    for (std::size_t i = 0; i < measured; ++i) {
        sum.bytesPerSecond += static_cast<double>(ready[i]->report.carriedBytesPerSecond);
        sum.packetsPerSecond += static_cast<double>(ready[i]->report.carriedPacketsPerSecond);
    }
    double factor = static_cast<double>(m_receivers) / static_cast<double>(measured);
    m_load = EntryLoad { sum.bytesPerSecond * factor, sum.packetsPerSecond * factor };
    if (!m_loadSince)
        m_loadSince = now;
    std::int64_t second = now.us / seconds(1).us;
    if (m_peaks.empty() || m_peaks.back().first != second)
        m_peaks.emplace_back(second, EntryLoad {});
    EntryLoad& highest = m_peaks.back().second;
    highest.bytesPerSecond = std::max(highest.bytesPerSecond, m_load->bytesPerSecond);
    highest.packetsPerSecond = std::max(highest.packetsPerSecond, m_load->packetsPerSecond);
    while (m_peaks.front().first < second - returnWait().us / seconds(1).us)
        m_peaks.pop_front();
}

std::optional<EntryReason> EntryRotation::decideStart(const EntryBalancers& others, TimePoint now)
{
    if (!others.isComplete && now < *m_startedAt + entryStartWait)
        return std::nullopt;
    m_hasStarted = true;
    bool hasReports = m_order.size() > 1;
    if (hasReports && !isNeeded() && isSlow())
        return EntryReason::Start;
    m_isReady = true; // As without this part: no change of rotation.
    return std::nullopt;
}

std::optional<EntryReason> EntryRotation::decideLeave(TimePoint now) const
{
    bool hasReports = m_order.size() > 1;
    if (!hasReports || !m_load || now < m_changedAt + settleTime())
        return std::nullopt;
    auto ready = candidates(true);
    bool isLast = !ready.empty() && isSelf(*ready.back());
    if (!isLast || ready.size() <= half())
        return std::nullopt;
    if (wantedCount(ready, *m_load, leaveLimits) >= ready.size())
        return std::nullopt;
    // While others are about to return, the load is shared by fewer than it will be.
    auto all = candidates(false);
    std::size_t position = 0;
    while (!isSelf(*all[position]))
        ++position;
    if (position < wantedCount(all, peak(), returnLimits))
        return std::nullopt;
    return EntryReason::Load;
}

std::optional<EntryReason> EntryRotation::decideReturn(TimePoint now)
{
    bool hasReports = m_order.size() > 1;
    if (!hasReports)
        return EntryReason::NoReports;
    if (isNeeded())
        return EntryReason::Half;
    // Others that are first in the order may be unable to return, for example without a view; each has its time.
    Duration turn = settleTime() * static_cast<std::int64_t>(waitingBefore());
    if (readyPeers() >= half())
        m_shortSince.reset();
    else if (!m_shortSince)
        m_shortSince = now;
    else if (now >= *m_shortSince + turn)
        return EntryReason::Half;
    auto all = candidates(false);
    std::size_t position = 0;
    while (!isSelf(*all[position]))
        ++position;
    if (!m_load || position >= wantedCount(all, peak(), returnLimits)) {
        m_fitsSince.reset();
        return std::nullopt;
    }
    if (!m_fitsSince)
        m_fitsSince = now;
    Duration loadTime = m_options.isFlowHashStable ? entryStartLoadTime : entryStartLoadTime * 2;
    TimePoint allowedAt = m_isFirstWait ? *m_loadSince + loadTime : m_leftAt + returnWait();
    TimePoint turnAt = std::max(*m_fitsSince, m_changedAt + settleTime()) + turn;
    return now >= allowedAt && now >= turnAt ? std::optional(EntryReason::Fits) : std::nullopt;
}

} // namespace hawthorncroft
