/**
 * @file replica_base.h
 * Replica of the configuration in one process: documents, gossip of revisions, choice of platform readers, and whether
 * the process may act on its view. Pure: inputs are events with a time, outputs are effects.
 */
#pragma once

#include "replica_peers.h"
#include "replica_store.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace hawthorncroft {

/**
 * The configuration as one process holds it, and its standing among the processes of the fleet.
 *
 * The shell calls onTick about every 100 ms and carries out the effects in order. It answers FetchDelta with applyDelta
 * or onFetchFailed, and ReadPlatform with applyPlatform or onPlatformFailed. While a read is pending the shell pings
 * the connection every second, reports each acknowledgement by onPlatformAlive, and gives the read up after 3 s without
 * one.
 */
class ConfigReplica {
public:
    explicit ConfigReplica(ReplicaOptions options);

    /**
     * Lets time pass: detects a pause, sends periodic stamps, repeats what got no answer, and starts platform reads.
     * @param now Monotonic time.
     * @param minute Minutes of the wall clock since any common start.
     * @param random Fresh random number.
     * @param[out] effects Receives effects.
     */
    void onTick(TimePoint now, std::uint64_t minute, std::uint64_t random, ReplicaEffects& effects);

    /**
     * Takes a Stamp of another process and answers it.
     * @param now Monotonic time.
     * @param from Source of the datagram.
     * @param packet The Stamp; a nonce of zero asks for an answer only when this process holds something newer.
     * @param[out] effects Receives effects.
     */
    void onStamp(TimePoint now, Endpoint from, const Packet& packet, ReplicaEffects& effects);

    /** Takes the answer to an own Stamp. Parameters as for onStamp. */
    void onStampReply(TimePoint now, Endpoint from, const Packet& packet, ReplicaEffects& effects);

    /**
     * Notes a sign of life from another process on the data path.
     * @param now Monotonic time.
     * @param revision The sender's stamp.
     * @param control The sender's control port, or none when it is not known.
     * @param[out] effects Receives effects.
     */
    void onContact(TimePoint now, Revision revision, Endpoint control, ReplicaEffects& effects);

    /**
     * Notes a sign of life on the data path from a process whose control port is not known. When it holds something
     * newer it is sent a Stamp, whose reply names the port.
     * @param now Monotonic time.
     * @param from The sender's datagram endpoint.
     * @param revision The sender's stamp.
     * @param[out] effects Receives effects.
     */
    void onDataContact(TimePoint now, Endpoint from, Revision revision, ReplicaEffects& effects);

    /**
     * Requires a new confirmation of the view, as after a pause. Called when another thread of the process paused.
     * @param now Monotonic time; only replies to stamps sent from now on confirm the view.
     */
    void requireConfirmation(TimePoint now);

    /**
     * Takes a peer's delta.
     * @param now Monotonic time.
     * @param control The peer's control port, as in FetchDelta.
     * @param delta The delta.
     * @param[out] effects Receives effects.
     * @return The accepted documents, for ConfigView::apply.
     */
    std::vector<VersionedDocument> applyDelta(
        TimePoint now, Endpoint control, const Delta& delta, ReplicaEffects& effects);

    /** Takes the platform's answer to a read. Parameters and return value as for applyDelta. */
    std::vector<VersionedDocument> applyPlatform(TimePoint now, const Delta& delta, ReplicaEffects& effects);

    /** Notes that a peer's delta did not arrive. Parameters as for applyDelta. */
    void onFetchFailed(TimePoint now, Endpoint control, ReplicaEffects& effects);

    /** Notes that the connection of a pending platform read is alive, so that the platform has nothing newer. */
    void onPlatformAlive(TimePoint now);

    /** Notes that a platform read failed. */
    void onPlatformFailed(TimePoint now);

    /** @return For every key the newest accepted revision up to this one is held. */
    Revision completeThrough() const { return m_store.completeThrough(); }

    /** @return Highest revision that any process reported. */
    Revision newestSeen() const { return std::max(m_newestSeen, completeThrough()); }

    /** @return Whether the process has checked its view with enough others since its start. */
    bool isServing() const { return m_isServing; }

    /** @return Whether nothing paused since the view was last checked with another process. */
    bool isConfirmed(TimePoint now) const;

    /** @return Whether no peer, agent or platform gave a sign of life for the isolation time. */
    bool isIsolated(TimePoint now) const;

    /** @return Whether a platform read is pending. */
    bool isReading() const { return m_readStartedAt.has_value(); }

    /** @return Time since the platform confirmed the view, directly or through others; none when it never did. */
    std::optional<Duration> platformAge(TimePoint now) const;

    /** @return Number of known peers. */
    std::size_t peerCount() const { return m_peers.size(); }

    const DocumentStore& store() const { return m_store; }
    const ReplicaCounters& counters() const { return m_counters; }

private:
    struct Source {
        Endpoint control;
        Revision revision;
    };

    struct Fetch {
        Endpoint control;
        TimePoint startedAt;
    };

    // Gossip, in replica_gossip.cpp.
    std::uint64_t nextRandom();
    Packet stampPacket(TimePoint now, PacketKind kind, std::uint64_t nonce) const;
    void sendStamp(TimePoint now, Endpoint to, bool wantsReply, ReplicaEffects& effects);
    void sendUrgentStamps(TimePoint now, ReplicaEffects& effects);
    void sendPeriodicStamps(TimePoint now, ReplicaEffects& effects);
    void startGossipRound(TimePoint now, ReplicaEffects& effects);
    void processStamp(TimePoint now, Endpoint from, const Packet& packet, ReplicaEffects& effects);
    void recordPeer(Endpoint from);
    void onNewerRevision(TimePoint now, Revision revision, Endpoint control, ReplicaEffects& effects);
    void requestDelta(TimePoint now, ReplicaEffects& effects);
    void removeSource(Endpoint control);
    std::vector<VersionedDocument> applyChanges(TimePoint now, const Delta& delta, ReplicaEffects& effects);
    void expireNonces(TimePoint now);

    // Standing of the process, in replica_standing.cpp.
    void detectPause(TimePoint now);
    void setConfirmationRevision(Revision revision);
    void updateServingState(TimePoint now);
    bool isUrgent(TimePoint now) const;
    std::size_t countConfirmations(bool onlyServing) const;
    bool hasEnoughConfirmations(TimePoint now) const;

    // Platform readers, in replica_reader.cpp.
    void tickReader(TimePoint now, std::uint64_t minute, ReplicaEffects& effects);
    bool isReaderTurn(TimePoint now, std::uint64_t minute);
    bool isFallbackTurn(TimePoint now, std::size_t rank) const;
    bool hasReadRecently(TimePoint now) const;
    void queryPermanentReaders(TimePoint now, ReplicaEffects& effects);
    void updatePlatformAge(TimePoint now, Endpoint from, const Packet& packet);
    void startRead(TimePoint now, ReplicaEffects& effects);
    void recordPlatformConfirmation(TimePoint now);

    ReplicaOptions m_options;
    DocumentStore m_store;
    PeerList m_peers;
    ReplicaCounters m_counters;
    std::uint64_t m_random;

    // Gossip.
    std::uint64_t m_lastNonce {};
    std::unordered_map<std::uint64_t, TimePoint> m_nonces; ///< Stamps whose reply is awaited, with sending time.
    std::deque<Endpoint> m_recentPeers; ///< Peers heard of last, newest first.
    std::vector<Source> m_sources; ///< Holders of something newer.
    std::optional<Fetch> m_fetch; ///< Delta asked for.
    Revision m_newestSeen;
    TimePoint m_nextStampAt;
    TimePoint m_nextGossipRoundAt;
    TimePoint m_nextProbeAt; ///< Next Stamp to a process met on the data path.
    bool m_isGossipRoundPending {}; ///< Something newer was learned and not yet announced.

    // Standing.
    std::optional<TimePoint> m_startedAt; ///< First tick.
    std::optional<TimePoint> m_lastTickAt;
    std::optional<TimePoint> m_lastContactAt;
    bool m_isServing {};
    bool m_isConfirmed { true };
    TimePoint
        m_confirmationRequiredAt; ///< End of the last pause; only replies to stamps sent since then confirm the view.
    std::optional<Revision> m_confirmationRevision; ///< The view is confirmed once it is complete up to here.
    struct StartReply {
        Revision revision;
        bool isServing {};
    };
    std::unordered_map<NodeId, StartReply> m_startReplies; ///< Peers that answered since the start.
    bool m_platformAnswered {}; ///< Since the start.

    // Platform readers.
    std::optional<TimePoint> m_readStartedAt; ///< A read is pending since then.
    Revision m_readSince; ///< Revision from which the pending read asked.
    bool m_isReader {}; ///< Reads by its rank, now or until a successor relieves it.
    TimePoint m_nextReadAt;
    Duration m_readBackoff;
    std::optional<TimePoint> m_platformConfirmedAt; ///< By the own clock, from any process.
    std::optional<TimePoint> m_ownConfirmationAt; ///< By an own read.
    TimePoint m_nextReaderQueryAt;
    std::uint64_t m_minute {};
    std::uint64_t m_successorReadsInMinute { UINT64_MAX }; ///< Minute in which a successor proved that it reads.
};

} // namespace hawthorncroft
