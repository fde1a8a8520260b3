/**
 * @file transit_inventory_base.h
 * Replication of the agents' flow inventories to locators, so that a locator can report that no agent holds a flow.
 * An agent sends each of its locators a stream of updates: first a snapshot of all flows, then each new flow before its
 * target can answer the caller. Messages carry sequence numbers. Heartbeats repeat the last sequence number, at shorter
 * intervals until the locator has acknowledged it. A locator rules out an agent as the holder of a flow while the
 * agent's stream has no gap and its lease has not expired. Pure.
 */
#pragma once

#include "transit_locator_base.h"
#include "transit_message_type.h"

#include <optional>
#include <unordered_map>

namespace hawthorncroft {

/** Message to a locator. */
struct InventoryMessage {
    std::uint32_t locator {}; ///< Address of the agent.
    InventoryUpdateMessage body;
};
using InventoryMessages = std::vector<InventoryMessage>;

/** State of the agent that goes with each inventory message. */
struct InventoryState {
    bool isComplete {}; ///< The agent knows all flows of its target.
    bool isFinal {}; ///< The agent shuts down; its target gets no new flow through this process.
    bool isRegistered {}; ///< The agent's target is registered.
};

/** What a locator knows about an agent that has not reported a flow. */
enum class HolderStatus : std::uint8_t {
    Unknown, ///< The agent may hold the flow, as its inventory is incomplete or missing.
    Stale, ///< The agent did not hold the flow when it was last heard, but its lease has expired.
    RuledOut, ///< The agent does not hold the flow.
};

/** Update streams of one agent to its locators. */
class InventoryStreams {
public:
    /** @param incarnation Random number that identifies the process. */
    explicit InventoryStreams(std::uint64_t incarnation)
        : m_incarnation(incarnation)
    {
    }

    /** Starts streams to locators that are new or whose shards changed, and ends those to former locators. */
    void assign(const TransitLocators& locators, std::uint32_t self);

    /** Handles a locator's cumulative acknowledgement. */
    void onAck(std::uint32_t locator, const InventoryAckMessage& ack);

    /** Restarts the stream to a locator that has lost an update. */
    void restart(std::uint32_t locator);

    /** Restarts streams before their holder entries expire at the locators. */
    void renew(TimePoint now);

    /** @return Whether a stream waits for its initial snapshot. */
    bool needsSnapshots() const;

    /**
     * Begins new streams with a snapshot.
     * @param held Flows that the target holds or may hold.
     */
    InventoryMessages snapshots(const std::vector<FlowTuple>& held, InventoryState state, TimePoint now);

    /** Sends an update with a new flow to its locators. */
    InventoryMessages announce(const FlowTuple& flow, InventoryState state, TimePoint now);

    /** Sends a heartbeat on each stream on which one is due. */
    InventoryMessages heartbeats(InventoryState state, TimePoint now);

    /** Sends a heartbeat on every stream, whether one is due or not. */
    InventoryMessages heartbeatAll(InventoryState state, TimePoint now);

private:
    struct Stream {
        std::uint32_t number {};
        std::uint32_t sequence {}; ///< Sequence number of the last message with flows.
        std::uint32_t ackedSequence {}; ///< The locator has all messages up to this sequence number.
        TimePoint updatedAt; ///< When the last update was sent.
        TimePoint snapshotAt; ///< When the last snapshot was sent.
        std::vector<std::uint32_t> shards;
        TimePoint heartbeatAt;
        bool needsSnapshot { true };
    };

    static Duration heartbeatInterval(const Stream& stream, InventoryState state, TimePoint now);
    bool coversFlow(const Stream& stream, const FlowTuple& flow) const;
    InventoryUpdateMessage makeMessage(const Stream& stream, std::vector<FlowTuple> flows, InventoryState state) const;

    std::uint64_t m_incarnation;
    std::uint32_t m_shardCount {};
    std::uint32_t m_lastStream {};
    std::map<std::uint32_t, Stream> m_streams;
};

/** Inventories that a locator received from the agents. */
class InventoryRecords {
public:
    /** Reply to an agent's message: none, an acknowledgement, or a request for a snapshot. */
    using Answer = std::variant<std::monostate, InventoryAckMessage, InventoryResyncMessage>;

    /** Applies a message of an agent. */
    Answer apply(Endpoint from, const InventoryUpdateMessage& message, TimePoint now);

    /** Discards the inventory of an agent whose process has restarted. */
    void onAgentRestart(Endpoint agent, std::uint64_t incarnation);

    /** @return Agents that may hold the flow; several if their targets answered copies of the same opening packet. */
    std::vector<Endpoint> holdersOf(const FlowTuple& flow) const;

    /** @return What is known about an agent that has not reported the flow. */
    HolderStatus statusOf(Endpoint agent, const FlowTuple& flow, TimePoint now) const;

    /** @return Agents whose lease has not expired. */
    std::vector<Endpoint> liveAgents(TimePoint now) const;

    /** @return Whether a message of the agent arrived within the given time. */
    bool wasHeardWithin(Endpoint agent, Duration time, TimePoint now) const;

    /** Removes expired holder entries, and agents from which nothing was received for the same time. */
    void expire(TimePoint now);

    std::size_t holderCount() const { return m_holders.size(); }

private:
    struct Record {
        std::uint64_t incarnation {};
        std::uint32_t stream {};
        std::uint32_t sequence {}; ///< All messages up to this sequence number were received.
        std::uint32_t shardCount {};
        std::vector<std::uint32_t> shards;
        bool hasGap { true };
        InventoryState state;
        TimePoint lastHeardAt;
        TimePoint resyncRequestedAt;
    };
    struct HolderEntry {
        Endpoint agent;
        std::vector<Endpoint> others; ///< Further holders; empty for nearly all flows.
        TimePoint updatedAt;
    };

    bool addHolder(const FlowTuple& flow, Endpoint agent, TimePoint now);
    static void trackSequence(Record& record, const InventoryUpdateMessage& message);

    std::unordered_map<Endpoint, Record> m_records;
    std::unordered_map<FlowTuple, HolderEntry> m_holders;
};

} // namespace hawthorncroft
