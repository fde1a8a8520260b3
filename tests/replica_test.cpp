#include "config_base.h"
#include "replica_base.h"
#include "replica_fleet.h"
#include "replica_func.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hawthorncroft;

namespace {

constexpr std::uint64_t minute = 5;

Endpoint endpointOf(std::uint32_t i) { return { 0x0a000000U + i, 7000 }; }
Endpoint controlOf(std::uint32_t i) { return { 0x0a000000U + i, 7001 }; }

std::string operationsOut(const std::string& domain)
{
    return R"({"presets":{"ordinary":{}},"inForce":"ordinary","domainsOut":[")" + domain + "\"]}";
}

Delta deltaOf(
    std::uint64_t since, std::uint64_t revision, const std::string& text, const std::string& key = "operations")
{
    return { Revision(since), Revision(revision), false, { { key, Revision(revision), text } } };
}

template <typename Effect> std::vector<Effect> allOf(const ReplicaEffects& effects)
{
    std::vector<Effect> found;
    for (const auto& effect : effects) {
        if (const auto* one = std::get_if<Effect>(&effect))
            found.push_back(*one);
    }
    return found;
}

/** A replica with three seeds, and the effects of its last event. */
struct Process {
    ConfigReplica replica { { .node = NodeId(1),
        .data = endpointOf(0),
        .control = controlOf(0),
        .seeds = { endpointOf(1), endpointOf(2), endpointOf(3) } } };
    TimePoint now { 1000000 };
    ReplicaEffects effects;

    void tick(Duration step)
    {
        now = now + step;
        effects.clear();
        replica.onTick(now, minute, 7, effects);
    }

    /** Ticks until the replica sends a Stamp with a nonce, which requests a reply, and returns it. */
    Packet tickUntilStamp()
    {
        for (int i = 0; i < 50; ++i) {
            tick(milliseconds(100));
            for (const auto& sent : allOf<SendToProcess>(effects)) {
                if (sent.packet.nonce)
                    return sent.packet;
            }
        }
        FAIL("no stamp that requests a reply was sent within 5 s");
        return {};
    }

    void replyFrom(std::uint32_t peer, std::uint64_t nonce, std::uint64_t revision, bool serving = true)
    {
        Packet packet;
        packet.kind = PacketKind::StampReply;
        packet.nonce = nonce;
        packet.revision = Revision(revision);
        packet.node = NodeId(100 + peer);
        packet.control = controlOf(peer);
        packet.count = serving;
        packet.sequence = neverConfirmed;
        effects.clear();
        replica.onStampReply(now, endpointOf(peer), packet, effects);
    }

    void learn(const Delta& delta, std::uint32_t peer = 1)
    {
        effects.clear();
        replica.applyDelta(now, controlOf(peer), delta, effects);
    }

    void startServing(std::uint64_t revision)
    {
        learn(deltaOf(0, revision, operationsOut("d1")));
        replyFrom(1, tickUntilStamp().nonce, revision);
        replyFrom(2, tickUntilStamp().nonce, revision);
        REQUIRE(replica.isServing());
    }
};

}

TEST_CASE("The document store of a replica", "[replica]")
{
    DocumentStore store;
    ReplicaCounters counters;
    REQUIRE(store.apply(deltaOf(0, 5, operationsOut("d1")), counters).size() == 1);
    CHECK(store.completeThrough() == Revision(5));

    SECTION("never reverts to a lower revision, so a late delta cannot bring a failure domain back into service")
    {
        CHECK(store.apply(deltaOf(0, 4, operationsOut("d0")), counters).empty());
        CHECK(counters.older == 1);
        CHECK(store.documents().at("operations").revision == Revision(5));
        CHECK(store.completeThrough() == Revision(5));
    }
    SECTION("reports a conflict for different content with a stored revision, but not for another spelling of the same")
    {
        CHECK(store.apply(deltaOf(0, 5, operationsOut("d2")), counters).empty());
        CHECK(counters.conflicts == 1);
        CHECK(store.apply(deltaOf(0, 5, operationsOut("d1") + " "), counters).empty());
        CHECK(counters.conflicts == 1);
    }
    SECTION("refuses an invalid document, keeps the previous one, and is still complete up to the delta's revision")
    {
        CHECK(store.apply(deltaOf(5, 6, R"({"presets":{},"inForce":"none"})"), counters).empty());
        CHECK(counters.refused == 1);
        CHECK(store.faults().at("operations").size() == 1);
        CHECK(store.documents().at("operations").revision == Revision(5));
        CHECK(store.completeThrough() == Revision(6));
    }
    SECTION("is not complete after a delta with a gap before it, so stamps do not report a revision that is missing")
    {
        CHECK(store.apply(deltaOf(8, 9, operationsOut("d2")), counters).size() == 1);
        CHECK(store.completeThrough() == Revision(5));
    }
    SECTION("truncates deltas so that each is complete up to its own revision")
    {
        store.apply(deltaOf(5, 6, R"({"signing":1,"accepted":[1]})", "keys"), counters);
        Delta first = store.deltaSince(Revision(0), 1);
        CHECK(first.changes.size() == 1);
        CHECK(first.completeThrough == Revision(5));
        Delta second = store.deltaSince(first.completeThrough, 1);
        CHECK(second.changes.size() == 1);
        CHECK(second.completeThrough == Revision(6));
    }
    SECTION("is copied by deltas in JSON, and malformed deltas are rejected")
    {
        Delta read;
        REQUIRE(parseDelta(toJson(store.deltaSince(Revision(0), 1000)), Revision(0), read).empty());
        DocumentStore other;
        CHECK(other.apply(read, counters).size() == 1);
        CHECK(toJson(*other.documents().at("operations").document)
            == toJson(*store.documents().at("operations").document));
        CHECK_FALSE(parseDelta(R"({"revision":1,"changes":[{"key":"a"}]})", Revision(0), read).empty());
        CHECK_FALSE(parseDelta(R"({"revision":-1,"changes":[]})", Revision(0), read).empty());
    }
    SECTION("evicts old tombstones; a full delta then removes unlisted documents from a process that missed them")
    {
        DocumentStore late;
        const std::string text = R"({"targets":[]})";
        store.apply(deltaOf(5, 6, text, "targets/gone"), counters);
        late.apply(store.deltaSince(Revision(0), 1000), counters);
        std::uint64_t revision = 7;
        store.apply(deltaOf(6, revision, "", "targets/gone"), counters);
        for (std::size_t i = 0; i <= maxTombstones; ++i, ++revision)
            store.apply(deltaOf(revision, revision + 1, "", "targets/" + std::to_string(i)), counters);
        Delta full = store.deltaSince(late.completeThrough(), 1000);
        REQUIRE(full.isFull);
        auto accepted = late.apply(full, counters);
        auto gone = std::find_if(accepted.begin(), accepted.end(), [](auto& d) { return d.key == "targets/gone"; });
        REQUIRE(gone != accepted.end());
        CHECK(std::holds_alternative<RemovedDocument>(*gone->document));
        CHECK(late.documents().at("operations").revision == Revision(5));
    }
}

TEST_CASE("Deltas in any order result in the same documents", "[replica]")
{
    REQUIRE(rc::check("order does not matter", [] {
        auto order = *rc::gen::container<std::vector<int>>(20, rc::gen::inRange(1, 9));
        DocumentStore forward;
        DocumentStore backward;
        ReplicaCounters counters;
        for (int r : order)
            forward.apply(deltaOf(0, static_cast<std::uint64_t>(r), operationsOut(std::to_string(r))), counters);
        std::reverse(order.begin(), order.end());
        for (int r : order)
            backward.apply(deltaOf(0, static_cast<std::uint64_t>(r), operationsOut(std::to_string(r))), counters);
        RC_ASSERT(forward.documents().at("operations").text == backward.documents().at("operations").text);
        RC_ASSERT(forward.completeThrough() == backward.completeThrough());
    }));
}

TEST_CASE("A process starts", "[replica]")
{
    Process process;
    process.tick(Duration());
    CHECK_FALSE(process.replica.isServing());

    SECTION("it fetches the documents of its peers and serves once two of them confirm its view")
    {
        process.replyFrom(1, process.tickUntilStamp().nonce, 9);
        auto fetches = allOf<FetchDelta>(process.effects);
        REQUIRE(fetches.size() == 1);
        CHECK(fetches[0].control == controlOf(1));
        process.learn(deltaOf(0, 9, operationsOut("d1")));
        CHECK_FALSE(process.replica.isServing());
        process.replyFrom(2, process.tickUntilStamp().nonce, 8);
        CHECK(process.replica.isServing());
    }
    SECTION("peers that are not serving do not confirm its view, so starting processes cannot just confirm each other")
    {
        process.learn(deltaOf(0, 9, operationsOut("d1")));
        process.replyFrom(1, process.tickUntilStamp().nonce, 9, false);
        process.replyFrom(2, process.tickUntilStamp().nonce, 9, false);
        CHECK_FALSE(process.replica.isServing());
        SECTION("until the start limit has passed without a serving peer")
        {
            for (int i = 0; i < 60; ++i)
                process.tick(milliseconds(100));
            CHECK(process.replica.isServing());
        }
    }
    SECTION("it does not serve a stale platform's answer while a peer reports a newer revision")
    {
        process.replyFrom(1, process.tickUntilStamp().nonce, 9);
        process.replica.applyPlatform(process.now, deltaOf(0, 5, operationsOut("d0")), process.effects);
        CHECK_FALSE(process.replica.isServing());
    }
    SECTION("it requests the delta from another peer when a request fails")
    {
        process.replyFrom(1, process.tickUntilStamp().nonce, 9);
        process.replyFrom(2, process.tickUntilStamp().nonce, 9);
        process.effects.clear();
        process.replica.onFetchFailed(process.now, controlOf(1), process.effects);
        auto fetches = allOf<FetchDelta>(process.effects);
        REQUIRE(fetches.size() == 1);
        CHECK(fetches[0].control == controlOf(2));
    }
}

TEST_CASE("A serving process", "[replica]")
{
    Process process;
    process.tick(Duration());
    process.startServing(9);

    SECTION("starts a gossip round at once when it receives a newer revision")
    {
        process.tick(milliseconds(300));
        process.learn(deltaOf(9, 10, operationsOut("d2")));
        auto sent = allOf<SendToProcess>(process.effects);
        CHECK(sent.size() == ReplicaTuning().gossipRoundFanout);
        CHECK(sent.at(0).packet.revision == Revision(10));
    }
    SECTION("fetches a newer revision that it learns of on the data path")
    {
        process.effects.clear();
        process.replica.onContact(process.now, Revision(11), controlOf(3), process.effects);
        CHECK(allOf<FetchDelta>(process.effects).size() == 1);
    }
    SECTION("queries the control port of a process that reports a newer revision on the data path")
    {
        process.effects.clear();
        process.replica.onDataContact(process.now, endpointOf(2), Revision(11), process.effects);
        auto sent = allOf<SendToProcess>(process.effects);
        REQUIRE(sent.size() == 1);
        CHECK(sent[0].to == endpointOf(2));
        process.replyFrom(2, sent[0].packet.nonce, 11);
        CHECK(allOf<FetchDelta>(process.effects).size() == 1);
    }
    SECTION("needs a new confirmation of its view after another of its threads paused")
    {
        std::uint64_t before = process.tickUntilStamp().nonce;
        process.tick(milliseconds(1));
        process.replica.requireConfirmation(process.now);
        process.replyFrom(1, before, 9);
        CHECK_FALSE(process.replica.isConfirmed(process.now));
        process.replyFrom(1, process.tickUntilStamp().nonce, 9);
        CHECK(process.replica.isConfirmed(process.now));
    }
    SECTION("is isolated after 2 s without contact, but not after contact on the data path")
    {
        for (int i = 0; i < 21; ++i)
            process.tick(milliseconds(100));
        CHECK(process.replica.isIsolated(process.now));
        process.replica.onContact(process.now, Revision(9), {}, process.effects);
        CHECK_FALSE(process.replica.isIsolated(process.now));
    }
    SECTION("needs a new confirmation of its view after it paused for more than a second")
    {
        std::uint64_t before = process.tickUntilStamp().nonce;
        process.now = process.now + seconds(3);
        CHECK_FALSE(process.replica.isConfirmed(process.now));
        process.tick(Duration());
        CHECK_FALSE(process.replica.isConfirmed(process.now));
        std::uint64_t after = process.tickUntilStamp().nonce;

        SECTION("a reply to a stamp from before the pause does not confirm the view")
        {
            process.replyFrom(1, before, 9);
            CHECK_FALSE(process.replica.isConfirmed(process.now));
        }
        SECTION("a reply to a stamp from after the pause confirms the view")
        {
            process.replyFrom(1, after, 9);
            CHECK(process.replica.isConfirmed(process.now));
        }
        SECTION("a reply with a newer revision confirms the view only once that revision has been received")
        {
            process.replyFrom(1, after, 12);
            CHECK_FALSE(process.replica.isConfirmed(process.now));
            process.learn(deltaOf(9, 12, operationsOut("d3")));
            CHECK(process.replica.isConfirmed(process.now));
        }
        SECTION("a late answer of the platform to a read from before the pause does not confirm the view")
        {
            process.replica.applyPlatform(process.now, deltaOf(9, 9, operationsOut("d1")), process.effects);
            CHECK_FALSE(process.replica.isConfirmed(process.now));
        }
    }
}

TEST_CASE("A fleet of a hundred processes", "[replica]")
{
    bench::Fleet fleet(100, 11);
    fleet.run(seconds(40));
    for (std::size_t i = 0; i < fleet.size(); ++i)
        REQUIRE(fleet.replica(i).isServing());

    SECTION("replicates a change to every process within 3 s")
    {
        auto revision = fleet.publish("operations", operationsOut("d1"));
        CHECK(fleet.runUntilReplicated(revision, seconds(10)) < seconds(3));
    }
    SECTION("replicates a change within 3 s when half of the processes cannot reach the platform")
    {
        fleet.setReach(bench::Reach::Half);
        fleet.run(seconds(60));
        auto revision = fleet.publish("operations", operationsOut("d1"));
        CHECK(fleet.runUntilReplicated(revision, seconds(10)) < seconds(3));
    }
    SECTION("reads an unreachable platform at most ten times a second, and no process is isolated")
    {
        fleet.setReach(bench::Reach::None);
        fleet.run(seconds(120));
        auto calls = fleet.platformCalls();
        fleet.run(seconds(60));
        CHECK(fleet.platformCalls() - calls < 60 * 10);
        for (std::size_t i = 0; i < fleet.size(); ++i)
            CHECK_FALSE(fleet.replica(i).isIsolated(fleet.now()));
    }
}
