/**
 * @file replica_fleet.h
 * Simulates a fleet of configuration replicas in one process, with its clock, a lossy network and a platform.
 */
#pragma once

#include "codec_func.h"
#include "config_func.h"
#include "replica_base.h"
#include "replica_func.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace hawthorncroft::bench {

/** The processes that can reach the platform. */
enum class Reach : std::uint8_t { All, None, Half };

/** Bytes sent by all processes, headers included. */
struct Traffic {
    std::uint64_t datagramBytes {}; ///< Packets with 28 bytes of IP and UDP headers and the trailer.
    std::uint64_t streamBytes {}; ///< Deltas and pings, with an estimate for connection set-up and headers.
};

/** Discrete event simulation of the fleet; equal seeds give equal runs. */
class Fleet {
public:
    static constexpr std::size_t streamOverheadBytes = 1200; ///< TCP and HTTP/2 set-up, headers, nonce and MAC.
    static constexpr std::size_t pingBytes = 2 * (17 + 40); ///< One HTTP/2 PING and its acknowledgement over TCP.

    Fleet(std::size_t size, std::uint64_t seed);

    /** Writes a document to the platform and returns its revision. */
    Revision publish(const std::string& key, std::string text);

    /** Sets which processes can reach the platform; the pending reads of the others fail. */
    void setReach(Reach reach);

    /** Runs the simulation for a duration. */
    void run(Duration duration);

    /** Runs the simulation until every process holds the revision, or for `limit`; returns the elapsed time. */
    Duration runUntilReplicated(Revision revision, Duration limit);

    TimePoint now() const { return m_now; }
    std::size_t size() const { return m_replicas.size(); }
    const ConfigReplica& replica(std::size_t i) const { return *m_replicas[i]; }
    const Traffic& traffic() const { return m_traffic; }
    std::uint64_t platformCalls() const { return m_platformCalls; }
    std::size_t pendingReads() const { return m_pending.size(); }
    Duration oldestPlatformAge() const;

private:
    struct Event {
        TimePoint at;
        std::uint64_t order {};
        std::function<void()> action;
        bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    struct PendingRead {
        Revision since;
        std::uint64_t number {};
        TimePoint startedAt;
    };

    void schedule(Duration delay, std::function<void()> action);
    Duration networkDelay();
    Duration reliableNetworkDelay();
    bool reachesPlatform(std::size_t i) const;
    void tick(std::size_t i);
    void applyEffects(std::size_t i, ReplicaEffects& effects);
    void perform(std::size_t i, const SendToProcess& effect);
    void perform(std::size_t i, const FetchDelta& effect);
    void perform(std::size_t i, const ReadPlatform& effect);
    void deliver(std::size_t from, std::size_t to, const Packet& packet);
    void answerReads();
    void answer(std::size_t i, PendingRead read); ///< Takes a copy, because the entry is erased.
    void ping(std::size_t i, std::uint64_t number);
    bool isPending(std::size_t i, std::uint64_t number) const;

    std::vector<std::unique_ptr<ConfigReplica>> m_replicas;
    DocumentStore m_platform;
    ReplicaCounters m_platformCounters;
    Reach m_reach { Reach::All };
    std::map<std::size_t, PendingRead> m_pending; ///< Pending watch of each process.
    std::uint64_t m_nextRead {};
    std::uint64_t m_platformCalls {};
    Traffic m_traffic;
    std::mt19937_64 m_random;
    TimePoint m_now { 1000000 };
    std::uint64_t m_order {};
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
};

} // namespace hawthorncroft::bench
