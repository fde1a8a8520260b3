/**
 * @file transit_inventory_base.h
 * What agents tell locators about the flows of their targets, so that a locator can say that a flow exists nowhere.
 * An agent sends each of its locators a stream of notes: first all flows, then each new one before its target can
 * answer the caller. Messages are numbered; the last number is confirmed at intervals, and in quick succession until
 * the locator says that it has everything. A locator vouches for an agent while the stream has no gap and the agent was
 * heard lately. Pure.
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
    HolderMessage body;
};
using InventoryMessages = std::vector<InventoryMessage>;

/** What an agent states about its own knowledge with each message. */
struct InventoryState {
    bool isWhole {}; ///< The agent knows all flows of its target.
    bool isFinal {}; ///< The agent ends, so that its target gets no new flow through this process.
    bool isRegistered {}; ///< The agent's target is registered.
};

/** What a locator can say about a flow that an agent did not tell it of. */
enum class HolderStatus : std::uint8_t {
    Unknown, ///< The agent may hold it.
    Stale, ///< The agent did not hold it when it was heard last, which is a while ago.
    RuledOut, ///< The agent does not hold it.
};

/** Streams of one agent to its locators. */
class InventoryStreams {
public:
    /** @param incarnation Random number of the process. */
    explicit InventoryStreams(std::uint64_t incarnation)
        : m_incarnation(incarnation)
    {
    }

    /** Starts streams to locators that are new or have other shards, and ends those to agents that are none. */
    void assign(const TransitLocators& locators, std::uint32_t self);

    /** Takes the word of a locator that it has everything up to a number. */
    void onAck(std::uint32_t locator, const NotesTakenMessage& ack);

    /** Starts the stream to a locator again, which has lost what it was told. */
    void restart(std::uint32_t locator);

    /** Starts streams again whose notes locators are about to forget. */
    void renew(TimePoint now);

    /** @return Whether a stream has to begin with a list of all flows. */
    bool needsSnapshots() const;

    /** Begins streams with all flows. @param held Flows that the target holds or may hold. */
    InventoryMessages snapshots(const std::vector<FlowTuple>& held, InventoryState state, TimePoint now);

    /** Tells the locators of a new flow. */
    InventoryMessages announce(const FlowTuple& flow, InventoryState state, TimePoint now);

    /** Confirms the last number of each stream whose time has come. */
    InventoryMessages heartbeats(InventoryState state, TimePoint now);

    /** Confirms the last number of every stream, whatever the time. */
    InventoryMessages heartbeatAll(InventoryState state, TimePoint now);

private:
    struct Stream {
        std::uint32_t number {};
        std::uint32_t sequence {}; ///< Of the last message with flows.
        std::uint32_t ackedSequence {}; ///< The locator has everything up to this number.
        TimePoint updatedAt; ///< When the last note was sent.
        TimePoint snapshotAt; ///< When all flows were told.
        std::vector<std::uint32_t> shards;
        TimePoint heartbeatAt;
        bool needsSnapshot { true };
    };

    static Duration heartbeatInterval(const Stream& stream, InventoryState state, TimePoint now);
    bool coversFlow(const Stream& stream, const FlowTuple& flow) const;
    HolderMessage makeMessage(const Stream& stream, std::vector<FlowTuple> flows, InventoryState state) const;

    std::uint64_t m_incarnation;
    std::uint32_t m_shardCount {};
    std::uint32_t m_lastStream {};
    std::map<std::uint32_t, Stream> m_streams;
};

/** What a locator was told by the agents. */
class InventoryRecords {
public:
    /** @return Answer to the agent's message, if it needs one. */
    using Answer = std::variant<std::monostate, NotesTakenMessage, RepeatNotesMessage>;

    /** Takes a message of an agent. */
    Answer apply(Endpoint from, const HolderMessage& message, TimePoint now);

    /** Forgets what an agent told before its process started again. */
    void onAgentRestart(Endpoint agent, std::uint64_t incarnation);

    /** @return Agents that may hold the flow; several when their targets answered copies of one opening packet. */
    std::vector<Endpoint> holdersOf(const FlowTuple& flow) const;

    /** @return What is known about a flow that the agent did not name. */
    HolderStatus statusOf(Endpoint agent, const FlowTuple& flow, TimePoint now) const;

    /** @return Agents that were heard within the time for which a locator vouches. */
    std::vector<Endpoint> liveAgents(TimePoint now) const;

    /** @return Whether the agent was heard within a time. */
    bool wasHeardWithin(Endpoint agent, Duration time, TimePoint now) const;

    /** Forgets old notes and agents that were silent for long. */
    void expire(TimePoint now);

    std::size_t holderCount() const { return m_holders.size(); }

private:
    struct Record {
        std::uint64_t incarnation {};
        std::uint32_t stream {};
        std::uint32_t sequence {}; ///< Of the last message taken; none is missing before it.
        std::uint32_t shardCount {};
        std::vector<std::uint32_t> shards;
        bool hasGap { true };
        InventoryState state;
        TimePoint heardAt;
        TimePoint resyncRequestedAt;
    };
    struct HolderEntry {
        Endpoint agent;
        std::vector<Endpoint> others; ///< Empty for nearly all flows.
        TimePoint updatedAt;
    };

    bool addHolder(const FlowTuple& flow, Endpoint agent, TimePoint now);
    static void trackSequence(Record& record, const HolderMessage& message);

    std::unordered_map<Endpoint, Record> m_records;
    std::unordered_map<FlowTuple, HolderEntry> m_holders;
};

} // namespace hawthorncroft
