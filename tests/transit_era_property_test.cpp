#include "transit_sim.h"
#include "transit_view_util.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

constexpr Endpoint markedRoute { 0x0a630001, 8443 };
constexpr std::size_t viewCount = 5;

/** Value of a key, without the revision at which it was written. */
struct Value {
    std::optional<std::uint64_t> version; ///< Of the configuration.
    std::optional<TargetRecord> target;

    bool operator==(const Value&) const = default;
};

/**
 * Store that may come back from a copy. What was acknowledged last is kept beside it, as the operator and the targets
 * write it again.
 */
struct RestoredStore {
    struct Item {
        Revision revision;
        Value value;
    };
    struct State {
        std::map<std::string, Item> items;
        std::vector<std::pair<Revision, std::string>> history; ///< Keys that were written or removed.
        std::map<Revision, std::map<std::string, Item>> contents; ///< After each of these changes.
        Revision revision;
    };
    struct Answer {
        std::size_t receiver {};
        std::optional<StorePosition> after; ///< Watches only.
        StorePosition asOf;
        std::vector<StoreChange> changes;
    };

    State state;
    StoreEra era { 1 };
    std::optional<State> copy;
    std::map<std::string, Value> acknowledged;
    std::uint64_t lastVersion {};
    std::uint64_t lastStart {};

    StorePosition position() const { return { era, state.revision }; }

    void put(const std::string& key, const Value& value)
    {
        ++state.revision.value;
        state.items[key] = { state.revision, value };
        recordChange(key);
    }

    void remove(const std::string& key)
    {
        if (!state.items.erase(key))
            return;
        ++state.revision.value;
        recordChange(key);
    }

    void recordChange(const std::string& key)
    {
        state.history.emplace_back(state.revision, key);
        state.contents[state.revision] = state.items;
    }

    void write(const std::string& key, std::optional<Value> value)
    {
        if (value) {
            acknowledged[key] = *value;
            put(key, *value);
        } else {
            acknowledged.erase(key);
            remove(key);
        }
    }

    /** Writes one key again that the store has lost. @return Whether there was one. */
    bool writeAgain()
    {
        for (const auto& [key, value] : acknowledged) {
            auto found = state.items.find(key);
            if (found == state.items.end() || found->second.value != value) {
                put(key, value);
                return true;
            }
        }
        for (const auto& [key, item] : state.items) {
            if (!acknowledged.contains(key)) {
                remove(std::string(key));
                return true;
            }
        }
        return false;
    }

    void restore()
    {
        state = *copy;
        ++era.value;
    }

    static StoreChange changeOf(const std::string& key, Revision revision, const Value* value)
    {
        if (key == "configuration") {
            RouteRecord marked = routeTo("web", markedRoute); // The timeout shows which version a view has.
            marked.timeout = milliseconds(static_cast<std::int64_t>(*value->version));
            std::vector<RouteRecord> list { marked };
            if (*value->version % 2)
                list.push_back(routeTo("web"));
            return ConfigurationChange { revision, list, { { .name = "web" } }, *value->version };
        }
        if (key.starts_with("t"))
            return value ? StoreChange(TargetChange { revision, *value->target }) : TargetRemoval { revision, key };
        return value ? StoreChange(EvacuationChange { revision, key }) : EvacuationEnd { revision, key };
    }

    Answer read(std::size_t receiver) const
    {
        Answer answer { .receiver = receiver, .after = {}, .asOf = position(), .changes = {} };
        for (const auto& [key, item] : state.items)
            answer.changes.push_back(changeOf(key, item.revision, &item.value));
        return answer;
    }

    /** @return The answer; none if the store does not have the revision. */
    std::optional<Answer> watch(std::size_t receiver, StorePosition after) const
    {
        if (after.revision > state.revision)
            return std::nullopt;
        Answer answer { .receiver = receiver, .after = after, .asOf = position(), .changes = {} };
        for (const auto& [revision, key] : state.history) {
            if (revision <= after.revision)
                continue;
            const auto& content = state.contents.at(revision);
            auto found = content.find(key);
            answer.changes.push_back(changeOf(key, revision, found == content.end() ? nullptr : &found->second.value));
        }
        return answer;
    }
};

std::uint64_t versionIn(const TransitView& view)
{
    const RouteRecord* marked = view.routeAt(markedRoute);
    return marked ? static_cast<std::uint64_t>(marked->timeout.us / 1000) : 0;
}

/** Store, views and what is under way between them. */
struct World {
    RestoredStore store;
    std::vector<TransitView> views { viewCount };
    std::vector<RestoredStore::Answer> answers;
    std::vector<std::pair<std::size_t, ViewDelta>> deltas;

    void writeTarget(std::size_t which, bool isDraining)
    {
        std::string id = "t" + std::to_string(20 + which);
        auto known = store.acknowledged.find(id);
        if (isDraining && known == store.acknowledged.end())
            return;
        TargetRecord record
            = isDraining ? *known->second.target : targetRecord(static_cast<std::uint32_t>(20 + which), id);
        record.isDraining = isDraining;
        if (!isDraining)
            record.startedAt = ++store.lastStart;
        store.write(id, Value { .version = {}, .target = record });
    }

    void endOrStart(const std::string& domain)
    {
        bool isEvacuated = store.acknowledged.contains(domain);
        store.write(domain, isEvacuated ? std::nullopt : std::optional(Value {}));
    }

    void deliver(const RestoredStore::Answer& answer)
    {
        TransitView& view = views[answer.receiver];
        if (!answer.after)
            view.applySnapshot(answer.changes, answer.asOf, viewStart, viewStart);
        else if (answer.after->era == answer.asOf.era) // TransitFleet discards the others.
            view.applyChanges(answer.changes, answer.asOf, viewStart, viewStart);
    }

    /** Gets the view of another process, as TransitFleet does. */
    void pull(std::size_t to, std::size_t from)
    {
        pullDelta(views[to], views[from]);
        if (views[to].through() == views[from].through()
            && views[from].keptConfigurationVersion() > views[to].configuration().version)
            views[to].applyDelta(views[from].deltaSince(StorePosition()), viewStart);
    }

    void step(int kind, std::size_t which, std::size_t other)
    {
        switch (kind) {
        case 0:
        case 1:
            store.write("configuration", Value { .version = ++store.lastVersion, .target = {} });
            break;
        case 2:
        case 3:
            writeTarget(which % 3, kind == 3);
            break;
        case 4:
            store.write("t" + std::to_string(20 + which % 3), std::nullopt);
            break;
        case 5:
            endOrStart("ends");
            break;
        case 6:
            if (!store.acknowledged.contains("stays"))
                store.write("stays", Value {});
            break;
        case 7:
            store.copy = store.state;
            break;
        case 8:
            if (store.copy)
                store.restore();
            break;
        case 9:
            store.writeAgain();
            break;
        case 10:
        case 11:
            answers.push_back(store.read(which));
            break;
        case 12:
        case 13:
            if (auto answer = store.watch(which, views[which].through()); views[which].through() && answer)
                answers.push_back(*answer);
            break;
        case 14:
        case 15:
        case 16:
            if (!answers.empty())
                deliver(answers[other % answers.size()]);
            break;
        case 17:
        case 18:
            pull(which, other % viewCount);
            break;
        case 19:
            // The process starts again; what was on its way to the former one is lost.
            views[which] = TransitView();
            std::erase_if(answers, [&](const auto& answer) { return answer.receiver == which; });
            break;
        case 20:
            deltas.emplace_back(which, views[other % viewCount].deltaSince(views[which].through()));
            break;
        default:
            if (!deltas.empty()) {
                const auto& [receiver, delta] = deltas[other % deltas.size()];
                views[receiver].applyDelta(delta, viewStart);
            }
        }
    }
};

/** What a process must not forget from one moment to the next. */
struct Knowledge {
    StorePosition through;
    std::uint64_t version {};
    bool isEvacuated {};
    std::map<Endpoint, TargetEntry> targets;

    explicit Knowledge(const TransitView& view)
        : through(view.through())
        , version(view.configuration().version)
        , isEvacuated(view.isEvacuated("stays"))
        , targets(view.targets())
    {
    }

    void check(const TransitView& view) const
    {
        RC_ASSERT(view.through() >= through);
        RC_ASSERT(view.configuration().version >= version);
        RC_ASSERT(view.isEvacuated("stays") || !isEvacuated);
        for (const auto& [address, entry] : targets) {
            const TargetEntry* now = view.targetAt(address);
            if (entry.record.isDraining && now && now->record.startedAt == entry.record.startedAt)
                RC_ASSERT(now->record.isDraining);
        }
    }
};

void checkIsStore(const TransitView& view, const RestoredStore& store)
{
    auto configuration = store.state.items.find("configuration");
    std::uint64_t version = configuration == store.state.items.end() ? 0 : *configuration->second.value.version;
    RC_ASSERT(versionIn(view) == version);
    RC_ASSERT((view.routeAt(routeAddress) != nullptr) == (version % 2 == 1));
    for (const char* domain : { "ends", "stays" })
        RC_ASSERT(view.isEvacuated(domain) == store.state.items.contains(domain));
    std::size_t targets = 0;
    for (const auto& [key, item] : store.state.items) {
        if (!item.value.target)
            continue;
        ++targets;
        const TargetEntry* entry = view.targetAt(item.value.target->address);
        RC_ASSERT(entry != nullptr);
        RC_ASSERT(entry->record.startedAt == item.value.target->startedAt);
        RC_ASSERT(entry->record.isDraining == item.value.target->isDraining);
    }
    RC_ASSERT(view.targets().size() == targets);
}

}

// Guards against views that differ for good, or forget what was acknowledged, after the store came back from copies.
TEST_CASE("Views become the store again however often it comes back from a copy", "[transit][view][era]")
{
    REQUIRE(rc::check("once everything is written again", [] {
        World world;
        auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
            rc::gen::inRange(0, 22), rc::gen::inRange(0, static_cast<int>(viewCount)), rc::gen::inRange(0, 40)));
        for (auto [kind, which, other] : steps) {
            std::vector<Knowledge> before(world.views.begin(), world.views.end());
            world.step(kind, static_cast<std::size_t>(which), static_cast<std::size_t>(other));
            for (std::size_t i = 0; i < viewCount; ++i) {
                if (world.views[i].through())
                    before[i].check(world.views[i]);
            }
        }
        while (world.store.writeAgain()) { }
        bool doAllRead = *rc::gen::arbitrary<bool>();
        for (std::size_t i = 0; i < viewCount; ++i) {
            if (doAllRead || !i)
                world.deliver(world.store.read(i));
            else
                world.pull(i, i - 1);
        }
        for (auto& view : world.views) {
            view.expire(viewStart + evacuationRetention);
            checkIsStore(view, world.store);
        }
    }));
}
