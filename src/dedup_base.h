/**
 * @file dedup_base.h
 * Records of the flows of one agent: reservations, requests that ran, refusals (tombstones), answers that wait for
 * their acknowledgement, open feeds and uploads. A record is never removed while a binding issued for it may still
 * arrive unexpired, because the absence of a record must not let a request run twice.
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

/** Stage of a flow at the agent. */
enum class FlowState : std::uint8_t {
    Reserved, ///< Admitted; nothing ran.
    Active, ///< Open feed or upload.
    Queued, ///< A request or commit waits for a slot.
    Running, ///< A request or commit is at the target.
    Answering, ///< The outcome is known and is retransmitted until acknowledged.
    Finished, ///< The outcome is known. A tombstone when it is "did not run".
    End,
};

/** An event of a feed that is not acknowledged. */
struct UnackedEvent {
    std::uint32_t number {}; ///< From 1.
    std::vector<std::uint8_t> payload;
};

/** Parts of a flow that an idle feed does not need. */
struct FlowBuffers {
    std::vector<std::uint8_t> payload; ///< Queued: the request. Answering: the answer.
    std::deque<UnackedEvent> events; ///< Oldest first.
    std::vector<std::uint32_t> chunks; ///< Numbers of the chunks on their way to the target.
    bool isPaused {}; ///< The target's feed is not being read.
};

/** One flow. Linked into the timer wheel by its base. */
struct FlowRecord : WheelHook {
    FlowKey key;
    ReservationId reservation; ///< The latest admission; also the request id at the target.
    ReservationId firstReservation; ///< Every admission from this one up to the latest was refused.
    TimePoint expiresAt; ///< Of the latest binding issued.
    TimePoint deadline; ///< Last moment to start; zero when there is none.
    TimePoint startedAt; ///< Running: when it went to the target.
    TimePoint retainUntil; ///< Finished or Answering: when the record is removed.
    TimePoint resendAt; ///< Next retransmission; zero when there is none.
    Endpoint balancer; ///< Sender of the flow's last packet.
    Endpoint caller;
    ServiceId service;
    Outcome outcome;
    std::uint32_t lastEvent {}; ///< Number of the feed's newest event.
    std::uint32_t chunkCount {}; ///< Chunks named by the Close of an upload.
    FlowKind kind { FlowKind::Request };
    FlowState state { FlowState::Reserved };
    std::uint8_t resends {};
    bool holdsPlace : 1 {}; ///< The reservation counts against the limit.
    bool holdsConnection : 1 {}; ///< The flow counts against the connections.
    bool isIdempotent : 1 {};
    bool isCancelled : 1 {}; ///< The caller asked to stop a running request.
    bool hasLostEvents : 1 {}; ///< Events were dropped after the lease lapsed.
    bool isEndedByTarget : 1 {}; ///< The target ended the feed; its last events are still to be acknowledged.
    std::unique_ptr<FlowBuffers> buffers;

    /** @return The parts that an idle flow does not have, made when needed. */
    FlowBuffers& ensureBuffers();
};

/** Bytes of an idle flow with its hash node (key and link), bucket and allocator header. */
inline constexpr std::size_t idleFlowBytes
    = sizeof(FlowRecord) + sizeof(FlowKey) + sizeof(void*) + sizeof(void*) + 2 * sizeof(void*);
static_assert(idleFlowBytes <= 256, "an idle flow must cost at most 256 bytes");

/** The records of one agent, bounded by `maxFlowRecords`. */
class RecordTable {
public:
    RecordTable();
    ~RecordTable();
    RecordTable(const RecordTable&) = delete;
    RecordTable& operator=(const RecordTable&) = delete;

    /** @return The record of a flow, or null. */
    FlowRecord* find(const FlowKey& key);
    const FlowRecord* find(const FlowKey& key) const;

    /**
     * Adds a record in state Reserved for a flow that has none.
     * @param key The flow.
     * @return The record, or null when the table is full.
     */
    FlowRecord* add(const FlowKey& key);

    /** Moves a record to another stage. */
    void setState(FlowRecord& record, FlowState state);

    /** Keeps an answer in a record and counts its bytes. */
    void keepAnswer(FlowRecord& record, std::vector<std::uint8_t> payload);

    /** Releases the payload, events and chunks of a record. */
    void releaseBuffers(FlowRecord& record);

    /** Sets the record's timer. */
    void scheduleTimer(FlowRecord& record, TimePoint at) { m_wheel->schedule(record, at); }

    /** Removes a record. */
    void remove(FlowRecord& record);

    /**
     * Calls `wake(record)` for each record whose timer is due. The call may remove the record.
     * @param now The time.
     * @param wake Receives a `FlowRecord&`.
     */
    template <typename TimerHandler> void advance(TimePoint now, TimerHandler onTimer)
    {
        m_wheel->advance(now, [&](WheelHook& hook) { onTimer(static_cast<FlowRecord&>(hook)); });
    }

    /** Calls `visit(record)` for each record. The call must neither add nor remove records. */
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

    /** @return Number of records in a stage. */
    std::size_t count(FlowState state) const { return m_counts[static_cast<std::size_t>(state)]; }

private:
    std::size_t& countOf(FlowState state) { return m_counts[static_cast<std::size_t>(state)]; }

    std::unique_ptr<TimerWheel> m_wheel; ///< About 100 KB, so it is not a part of the object.
    std::unordered_map<FlowKey, FlowRecord> m_records; ///< Its nodes keep their addresses, as the wheel requires.
    std::array<std::size_t, static_cast<std::size_t>(FlowState::End)> m_counts {};
    std::size_t m_keptAnswerBytes {};
};

} // namespace hawthorncroft
