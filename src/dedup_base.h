/**
 * @file dedup_base.h
 * Flow records of one agent: reservations, executed requests, refusals (tombstones), unacknowledged answers, open feeds
 * and uploads. A record is kept for as long as an unexpired binding issued for it may arrive, because a request whose
 * record is missing could run twice.
 */
#pragma once

#include "packet_type.h"
#include "table/limits.h"
#include "wheel_type.h"

#include <array>
#include <deque>
#include <memory>
#include <unordered_map>

namespace hawthorncroft {

/** State of a flow at the agent. */
enum class FlowState : std::uint8_t {
    Reserved, ///< Admitted; nothing has run.
    Active, ///< Open feed or upload.
    Queued, ///< Request or commit that waits for a slot.
    Running, ///< Request or commit that was sent to the target.
    Answering, ///< The outcome is known and is retransmitted until it is acknowledged.
    Finished, ///< The outcome is known. The record is a tombstone if the verdict is "did not run".
    End,
};

/** Event of a feed that the caller has not acknowledged. */
struct UnackedEvent {
    std::uint32_t number {}; ///< Starts at 1.
    std::vector<std::uint8_t> payload;
};

/** Buffers of a flow. Allocated on demand, because an idle feed needs none. */
struct FlowBuffers {
    std::vector<std::uint8_t> payload; ///< The request in state Queued, the answer in state Answering.
    std::deque<UnackedEvent> events; ///< Oldest first.
    std::vector<std::uint32_t> chunks; ///< Numbers of the chunks in flight to the target.
    bool isPaused {}; ///< Reading of the feed from the target is paused.
};

/** Record of one flow. Its base class links it into the timer wheel. */
struct FlowRecord : WheelHook {
    FlowKey key;
    ReservationId reservation; ///< Latest reservation; also the request id at the target.
    ReservationId firstReservation; ///< Earliest reservation; all reservations but the latest were refused.
    TimePoint expiresAt; ///< Expiry of the latest binding issued.
    TimePoint deadline; ///< Latest time to start; zero if there is none.
    TimePoint startedAt; ///< Time at which the request was sent to the target; valid in state Running.
    TimePoint retainUntil; ///< Time at which the record is removed; valid in states Finished and Answering.
    TimePoint resendAt; ///< Time of the next retransmission; zero if there is none.
    Endpoint balancer; ///< Balancer through which the caller is reached.
    Endpoint caller;
    ServiceId service;
    Outcome outcome;
    std::uint32_t lastEvent {}; ///< Number of the newest event of the feed.
    std::uint32_t chunkCount {}; ///< Number of chunks that the Close of an upload states.
    FlowKind kind { FlowKind::Request };
    FlowState state { FlowState::Reserved };
    std::uint8_t resends {};
    bool holdsPlace : 1 {}; ///< The reservation counts against the concurrency limit.
    bool holdsConnection : 1 {}; ///< The flow counts against the connection limit.
    bool isIdempotent : 1 {};
    bool isCancelled : 1 {}; ///< The caller cancelled the request while it was running.
    bool hasLostEvents : 1 {}; ///< Events were dropped after the lease expired.
    bool isEndedByTarget : 1 {}; ///< The target ended the feed, but some events are not acknowledged yet.
    std::unique_ptr<FlowBuffers> buffers;

    /** @return The buffers, allocated if the flow had none. */
    FlowBuffers& ensureBuffers();
};

/** Memory of an idle flow in bytes, including its hash node (key and link), bucket and allocator header. */
inline constexpr std::size_t idleFlowBytes
    = sizeof(FlowRecord) + sizeof(FlowKey) + sizeof(void*) + sizeof(void*) + 2 * sizeof(void*);
static_assert(idleFlowBytes <= 256, "an idle flow must cost at most 256 bytes");

/** Flow records of one agent, at most `maxFlowRecords`. */
class RecordTable {
public:
    RecordTable();
    ~RecordTable();
    RecordTable(const RecordTable&) = delete;
    RecordTable& operator=(const RecordTable&) = delete;

    /** @return The record of a flow, or null if there is none. */
    FlowRecord* find(const FlowKey& key);
    const FlowRecord* find(const FlowKey& key) const;

    /**
     * Adds a record in state Reserved for a flow without a record.
     * @param key The flow.
     * @return The record, or null if the table is full.
     */
    FlowRecord* add(const FlowKey& key);

    /** Changes the state of a record and updates the count of records in each state. */
    void setState(FlowRecord& record, FlowState state);

    /** Stores an answer in a record, sets its state to Answering and counts the bytes of the answer. */
    void keepAnswer(FlowRecord& record, std::vector<std::uint8_t> payload);

    /** Frees the payload, events and chunks of a record. */
    void releaseBuffers(FlowRecord& record);

    /** Schedules the timer of a record. */
    void scheduleTimer(FlowRecord& record, TimePoint at) { m_wheel->schedule(record, at); }

    /** Removes a record. */
    void remove(FlowRecord& record);

    /**
     * Calls `onTimer(record)` for each record whose timer is due. The function may remove the record.
     * @param now Current time.
     * @param onTimer Function that takes a `FlowRecord&`.
     */
    template <typename TimerHandler> void advance(TimePoint now, TimerHandler onTimer)
    {
        m_wheel->advance(now, [&](WheelHook& hook) { onTimer(static_cast<FlowRecord&>(hook)); });
    }

    /** Calls `visit(record)` for each record. The function must neither add nor remove records. */
    template <typename Visit> void forEach(Visit visit)
    {
        for (auto& [key, record] : m_records)
            visit(record);
    }
    template <typename Visit> void forEach(Visit visit) const
    {
        for (const auto& [key, record] : m_records)
            visit(record);
    }

    std::size_t size() const { return m_records.size(); }
    bool isFull() const { return m_records.size() >= maxFlowRecords; }
    std::size_t keptAnswerBytes() const { return m_keptAnswerBytes; }

    /** @return Number of records in the given state. */
    std::size_t count(FlowState state) const { return m_counts[static_cast<std::size_t>(state)]; }

private:
    std::size_t& countOf(FlowState state) { return m_counts[static_cast<std::size_t>(state)]; }

    std::unique_ptr<TimerWheel> m_wheel; ///< Allocated separately, because it takes about 100 KB.
    std::unordered_map<FlowKey, FlowRecord>
        m_records; ///< The wheel links the records, which requires stable addresses.
    std::array<std::size_t, static_cast<std::size_t>(FlowState::End)> m_counts {};
    std::size_t m_keptAnswerBytes {};
};

} // namespace hawthorncroft
