/**
 * @file trace_config_test.cpp
 * Replays counterexample traces against the replica and the balancer. Spin found the traces for mutants of
 * spec/config.pml, and for those mutants of spec/drain.pml that concern confirmation. Each test names its mutant.
 */
#include "balancer_base.h"
#include "binding_func.h"
#include "config_func.h"
#include "replica_base.h"

#include <catch2/catch.hpp>

using namespace hawthorncroft;

namespace {

constexpr std::uint64_t minute = 5;
constexpr std::uint32_t serving = 1; ///< `count` of a stamp whose sender may confirm views.

Endpoint endpointOf(std::uint32_t i) { return { 0x0a000000U + i, 7000 }; }
Endpoint controlOf(std::uint32_t i) { return { 0x0a000000U + i, 7001 }; }

std::string operationsOut(const std::string& domain)
{
    return R"({"presets":{"ordinary":{}},"inForce":"ordinary","domainsOut":[")" + domain + "\"]}";
}

Delta deltaOf(std::uint64_t since, std::uint64_t revision, const std::string& text)
{
    return { Revision(since), Revision(revision), false, { { "operations", Revision(revision), text } } };
}

/** A replica with three peers. */
struct Replica {
    std::uint32_t index;
    ConfigReplica core { { .node = NodeId(index + 1),
        .data = endpointOf(index),
        .control = controlOf(index),
        .seeds = { endpointOf(0), endpointOf(1), endpointOf(2), endpointOf(3) } } };
    ReplicaEffects effects;

    std::vector<SendToProcess> stamps() const
    {
        std::vector<SendToProcess> all;
        for (const auto& effect : effects) {
            const auto* sent = std::get_if<SendToProcess>(&effect);
            if (sent && sent->packet.kind == PacketKind::Stamp && sent->packet.nonce)
                all.push_back(*sent);
        }
        return all;
    }

    /** Ticks until the replica sends a Stamp that requests a reply, and returns the Stamp. */
    Packet awaitStamp(TimePoint& now)
    {
        for (int i = 0; i < 50; ++i) {
            now = now + milliseconds(100);
            effects.clear();
            core.onTick(now, minute, 7 + index, effects);
            if (!stamps().empty())
                return stamps().front().packet;
        }
        FAIL("no stamp was sent");
        return {};
    }

    void receiveDelta(TimePoint now, const Delta& delta)
    {
        effects.clear();
        core.applyDelta(now, controlOf(3), delta, effects);
    }

    Packet replyTo(TimePoint now, const Packet& stamp, std::uint32_t from)
    {
        effects.clear();
        core.onStamp(now, endpointOf(from), stamp, effects);
        for (const auto& effect : effects) {
            const auto* sent = std::get_if<SendToProcess>(&effect);
            if (sent && sent->packet.kind == PacketKind::StampReply)
                return sent->packet;
        }
        FAIL("no reply was sent");
        return {};
    }

    void receive(TimePoint now, const Packet& reply, std::uint32_t from)
    {
        effects.clear();
        core.onStampReply(now, endpointOf(from), reply, effects);
    }

    void startServing(TimePoint& now, std::uint64_t revision)
    {
        receiveDelta(now, deltaOf(0, revision, operationsOut("none")));
        for (std::uint32_t peer : { 2U, 3U }) {
            Packet reply = awaitStamp(now);
            reply.kind = PacketKind::StampReply;
            reply.node = NodeId(100 + peer);
            reply.revision = Revision(revision);
            reply.control = controlOf(peer);
            reply.count = serving;
            receive(now, reply, peer);
        }
        REQUIRE(core.isServing());
        REQUIRE(core.isConfirmed(now));
    }
};

}

TEST_CASE("Traces of revisions: the configuration must not revert to an older revision (P10)", "[trace]")
{
    TimePoint now { 1000000 };
    Replica process { 0 };

    SECTION("a stale delta arrives after a newer one (HIGHEST_REVISION_NOT_KEPT)")
    {
        process.receiveDelta(now, deltaOf(0, 5, operationsOut("new")));
        process.receiveDelta(now, deltaOf(0, 3, operationsOut("old")));
        CHECK(process.core.store().documents().at("operations").revision == Revision(5));
        CHECK(process.core.completeThrough() == Revision(5));
    }
    SECTION("a delta that starts after the known revision does not raise the revision (STAMP_WITHOUT_DOCUMENTS, "
            "REPLY_SURVIVES_RESTART)")
    {
        process.receiveDelta(now, deltaOf(4, 5, operationsOut("new")));
        CHECK(process.core.completeThrough() < Revision(5));
    }
    SECTION("two processes make the same decision on an invalid document (CHECK_DEPENDS_ON_THE_PROCESS)")
    {
        Replica other { 1 };
        other.receiveDelta(now, deltaOf(0, 2, operationsOut("d1")));
        for (Replica* each : { &process, &other }) {
            each->receiveDelta(now, deltaOf(0, 3, "{\"presets\":{}}"));
            CHECK(each->core.counters().refused == 1);
            CHECK(each->core.completeThrough() == Revision(3));
        }
    }
    SECTION("a restarted process first reads stale data from the platform (SERVES_BEFORE_PEERS_REPLY)")
    {
        process.awaitStamp(now);
        process.core.applyPlatform(now, deltaOf(0, 2, operationsOut("old")), process.effects);
        CHECK_FALSE(process.core.isServing());
    }
}

TEST_CASE("Traces of pauses: no packet may go to a failure domain that is out of service (P4)", "[trace]")
{
    TimePoint now { 1000000 };
    Replica process { 0 };
    process.startServing(now, 5);

    SECTION("a process resumes after a pause with an outdated view (PAUSE_NOT_CONFIRMED)")
    {
        now = now + seconds(2);
        CHECK_FALSE(process.core.isConfirmed(now));
    }
    SECTION("a reply to a request from before the pause arrives after it (OLD_REPLY_CONFIRMS)")
    {
        Packet before = process.awaitStamp(now);
        now = now + seconds(2);
        process.core.onTick(now, minute, 1, process.effects);
        before.kind = PacketKind::StampReply;
        before.count = serving;
        process.receive(now, before, 1);
        CHECK_FALSE(process.core.isConfirmed(now));
    }
    SECTION("a process without contact to any other continues to forward (ISOLATION_IGNORED)")
    {
        for (int i = 0; i < 21; ++i) {
            now = now + milliseconds(100);
            process.core.onTick(now, minute, 1, process.effects);
        }
        CHECK(process.core.isIsolated(now));
    }
}

// The next two cases are separate so that KNOWN-RED.txt can name them individually.

TEST_CASE("A reply that was under way for seconds confirms no view", "[trace]")
{
    // Guards P4: the peer may have learned of a change since it sent the reply. Trace OLD_REPLY_CONFIRMS of
    // spec/drain.pml.
    TimePoint now { 1000000 };
    Replica process { 0 };
    process.startServing(now, 5);
    now = now + seconds(2);
    Packet reply = process.awaitStamp(now);
    reply.kind = PacketKind::StampReply;
    reply.count = serving;
    for (int i = 0; i < 30; ++i) {
        now = now + milliseconds(100);
        process.core.onTick(now, minute, 1, process.effects);
    }
    process.receive(now, reply, 1);
    CHECK_FALSE(process.core.isConfirmed(now));
}

TEST_CASE("Two processes that paused together do not confirm each other", "[trace]")
{
    // Guards P4: both views may be outdated. Trace UNCONFIRMED_PEER_CONFIRMS of spec/drain.pml.
    TimePoint now { 1000000 };
    TimePoint peerNow { 1000000 };
    Replica process { 0 };
    Replica peer { 1 };
    process.startServing(now, 5);
    peer.startServing(peerNow, 5);
    now = std::max(now, peerNow) + seconds(2);
    peer.core.onTick(now, minute, 1, peer.effects);
    Packet stamp = process.awaitStamp(now);
    REQUIRE_FALSE(peer.core.isConfirmed(now));
    process.receive(now, peer.replyTo(now, stamp, 0), 1);
    CHECK_FALSE(process.core.isConfirmed(now));
}

TEST_CASE(
    "Trace BALANCER_SENDS_TO_OUT_DOMAIN: a balancer that knows of the change sends nothing to the failure domain (P4)",
    "[trace]")
{
    Keyring keyring;
    keyring.add(KeyId(1), MacKey { 9 });
    BalancerCore balancer({ .node = NodeId(1), .data = endpointOf(1) }, keyring);
    BalancerEffects effects;
    TimePoint now { 1000000 };
    auto publish = [&](const std::string& key, std::uint64_t revision, Document document) {
        auto shared = std::make_shared<const Document>(std::move(document));
        balancer.applyDocument(now, { .key = key, .revision = Revision(revision), .document = shared });
        balancer.setCompleteThrough(Revision(revision));
    };
    publish("services/a", 1, ServicesDocument { { { .id = ServiceId(1), .name = "courier" } } });
    TargetConfig target { .id = TargetId(1), .service = ServiceId(1), .vm = "vm-1", .failureDomain = "fd-1" };
    target.agent = endpointOf(2);
    target.slots = 1;
    publish("targets/a", 2, TargetsDocument { { target } });
    balancer.setServingState({ .isReady = true });

    Packet execute;
    execute.kind = PacketKind::Execute;
    execute.key = { CallerId(5), FlowId(1) };
    execute.name = "courier";
    execute.binding = { .service = ServiceId(1), .target = TargetId(1), .agent = endpointOf(2) };
    execute.binding.reservation = ReservationId(1);
    signBinding(keyring, execute.key, execute.binding);

    auto sendsToAgent = [&](Packet packet) {
        effects.clear();
        balancer.onCallerPacket(now, endpointOf(9), packet, effects);
        return !effects.empty() && std::holds_alternative<SendToProcess>(effects.back());
    };
    REQUIRE(sendsToAgent(execute));
    publish("operations", 3, OperationsDocument { { { "ordinary", {} } }, "ordinary", { "fd-1" }, {} });
    for (int i = 0; i < 300; ++i) {
        now = now + milliseconds(10);
        balancer.onTick(now, effects);
    }
    CHECK_FALSE(sendsToAgent(execute));
    execute.kind = PacketKind::Open;
    execute.binding = {};
    CHECK_FALSE(sendsToAgent(execute));
}
