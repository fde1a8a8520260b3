/**
 * @file replica_base.h
 * Replica of the configuration in one process: stores the documents, gossips their revision, and decides whether the
 * process reads the platform and whether it may act on its view. Does no I/O: inputs are events with a time, outputs
 * are effects.
 */
#pragma once

#include "replica_peers.h"
#include "replica_store.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace hawthorncroft {

/**
 * The view of the configuration in one process, and the state that allows the process to act on it.
 *
 * The shell calls onTick about every 100 ms and applies the effects in order. It answers FetchDelta with applyDelta or
 * onFetchFailed, and ReadPlatform with applyPlatform or onPlatformFailed. While a read is pending, the shell pings the
 * connection every second, reports each acknowledgement with onPlatformAlive, and abandons the read after 3 s without
 * an acknowledgement.
 */
class ConfigReplica {
public:
    explicit ConfigReplica(ReplicaOptions options);

    /**
     * Detects pauses, sends due stamps, expires and retries delta requests, and starts due platform reads.
     * @param now Monotonic time.
     * @param minute Minutes of the wall clock since an epoch that all processes share.
     * @param random Fresh random number.
     * @param[out] effects Receives effects.
     */
    void onTick(TimePoint now, std::uint64_t minute, std::uint64_t random, ReplicaEffects& effects);

    /**
     * Processes a Stamp from another process and answers it.
     * @param now Monotonic time.
     * @param from Source of the datagram.
     * @param packet The Stamp. One with a nonce of zero is answered only if this process holds a newer revision.
     * @param[out] effects Receives effects.
     */
    void onStamp(TimePoint now, Endpoint from, const Packet& packet, ReplicaEffects& effects);

    /** Processes a StampReply. Parameters as for onStamp. */
    void onStampReply(TimePoint now, Endpoint from, const Packet& packet, ReplicaEffects& effects);

    /**
     * Processes the stamp in a packet that another process sent on the data path.
     * @param now Monotonic time.
     * @param revision Revision in the stamp.
     * @param control The sender's control port, or none when it is not known.
     * @param[out] effects Receives effects.
     */
    void onContact(TimePoint now, Revision revision, Endpoint control, ReplicaEffects& effects);

    /**
     * Processes the stamp in a data path packet from a process whose control port is not known. If its revision is
     * newer, sends a Stamp to the process; the reply contains the port.
     * @param now Monotonic time.
     * @param from The sender's datagram endpoint.
     * @param revision Revision in the stamp.
     * @param[out] effects Receives effects.
     */
    void onDataContact(TimePoint now, Endpoint from, Revision revision, ReplicaEffects& effects);

    /**
     * Marks the view as unconfirmed, as after a pause. Called when another thread of the process paused.
     * @param now Monotonic time; only replies to stamps sent from this time on confirm the view.
     */
    void requireConfirmation(TimePoint now);

    /**
     * Applies a delta from a peer.
     * @param now Monotonic time.
     * @param control The peer's control endpoint, as in FetchDelta.
     * @param delta The delta.
     * @param[out] effects Receives effects.
     * @return The accepted documents, for ConfigView::apply.
     */
    std::vector<VersionedDocument> applyDelta(
        TimePoint now, Endpoint control, const Delta& delta, ReplicaEffects& effects);

    /** Applies the platform's answer to a read. Parameters and return value as for applyDelta. */
    std::vector<VersionedDocument> applyPlatform(TimePoint now, const Delta& delta, ReplicaEffects& effects);

    /** Drops the source of a failed delta request and queries another. Parameters as for applyDelta. */
    void onFetchFailed(TimePoint now, Endpoint control, ReplicaEffects& effects);

    /** Records an acknowledged ping on the connection of the pending read: the platform has no newer revision. */
    void onPlatformAlive(TimePoint now);

    /** Ends the pending platform read and schedules the next with exponential backoff. */
    void onPlatformFailed(TimePoint now);

    /** @return Revision up to which the newest accepted document of every key is stored. */
    Revision completeThrough() const { return m_store.completeThrough(); }

    /** @return Highest revision that this process holds or that another process reported. */
    Revision newestSeen() const { return std::max(m_newestSeen, completeThrough()); }

    /** @return Whether enough peers or the platform have confirmed the view since the start of the process. */
    bool isServing() const { return m_isServing; }

    /** @return Whether the process has not paused since another process or the platform last confirmed the view. */
    bool isConfirmed(TimePoint now) const;

    /** @return Whether there was no contact with a peer, an agent or the platform within the isolation time. */
    bool isIsolated(TimePoint now) const;

    /** @return Whether a platform read is pending. */
    bool isReading() const { return m_readStartedAt.has_value(); }

    /** @return Time since the platform confirmed the view to this or another process; none if it never did. */
    std::optional<Duration> platformAge(TimePoint now) const;

    std::size_t peerCount() const { return m_peers.size(); }

    const DocumentStore& store() const { return m_store; }
    const ReplicaCounters& counters() const { return m_counters; }

private:
    /** Peer that reported a newer revision. */
    struct Source {
        Endpoint control;
        Revision revision;
    };

    /** Pending delta request. */
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

    // Serving and confirmation state, in replica_standing.cpp.
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
    std::unordered_map<std::uint64_t, TimePoint> m_nonces; ///< Sending times of stamps whose reply is awaited.
    std::deque<Endpoint> m_recentPeers; ///< Peers whose stamps arrived last, newest first.
    std::vector<Source> m_sources; ///< Peers with a newer revision, oldest report first.
    std::optional<Fetch> m_fetch; ///< None if no delta request is pending.
    Revision m_newestSeen;
    TimePoint m_nextStampAt;
    TimePoint m_nextGossipRoundAt;
    TimePoint m_nextProbeAt; ///< Earliest time of the next Stamp sent because of a data path packet.
    bool m_isGossipRoundPending {}; ///< The view changed after the last gossip round.

    // Serving and confirmation.
    std::optional<TimePoint> m_startedAt; ///< First tick.
    std::optional<TimePoint> m_lastTickAt;
    std::optional<TimePoint> m_lastContactAt;
    bool m_isServing {};
    bool m_isConfirmed { true };
    /** Time of the last requireConfirmation; only replies to stamps sent since then confirm the view. */
    TimePoint m_confirmationRequiredAt;
    std::optional<Revision> m_confirmationRevision; ///< The view is confirmed once it is complete up to this revision.
    /** Content of a peer's last StampReply while this process starts. */
    struct StartReply {
        Revision revision;
        bool isServing {};
    };
    std::unordered_map<NodeId, StartReply> m_startReplies; ///< By peer; cleared once the process serves.
    bool m_platformAnswered {}; ///< Whether a read has succeeded since the start.

    // Platform readers.
    std::optional<TimePoint> m_readStartedAt; ///< None if no read is pending.
    Revision m_readSince; ///< Revision in the request of the pending read.
    bool m_isReader {}; ///< Reads because of its rank, or of its earlier rank until a successor reads.
    TimePoint m_nextReadAt;
    Duration m_readBackoff;
    std::optional<TimePoint> m_platformConfirmedAt; ///< By any process; in time of the own clock.
    std::optional<TimePoint> m_ownConfirmationAt; ///< By an own read of the platform.
    TimePoint m_nextReaderQueryAt;
    std::uint64_t m_minute {};
    std::uint64_t m_successorReadsInMinute { UINT64_MAX }; ///< Last minute in which a successor proved that it reads.
};

} // namespace hawthorncroft
