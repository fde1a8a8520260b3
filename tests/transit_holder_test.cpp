#include "transit_fixture.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <sstream>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

constexpr std::uint32_t firstAgent = 11;
/** Times after its first transmission at which a caller sends a packet again. */
constexpr std::array retransmissionTimes { milliseconds(200), milliseconds(600), milliseconds(1400), milliseconds(3000),
    milliseconds(4600) };
constexpr std::array openingTimes { milliseconds(0), milliseconds(200), milliseconds(600) };

/** What happens to the messages of one run. */
struct Network {
    int lossPercent {};
    std::int64_t maxDelayMs {};
    std::uint64_t seed {};
};

/** One run of the property. */
struct Scenario {
    std::uint32_t agentCount {};
    std::array<std::size_t, 3> openingBalancers {}; ///< Balancers that get the three transmissions.
    std::vector<std::size_t> dataBalancers; ///< Balancers that the data packets go through, in turn.
    Network opening; ///< Until the caller has chosen a target.
    Network data; ///< During the next 3 s; afterwards nothing is lost.
    std::size_t choice {}; ///< Which of the targets that answered the caller acknowledges.
    std::int64_t chosenAfterMs {}; ///< Time from the first opening packet until the caller acknowledges.
    std::int64_t restartBalancerAtMs {}; ///< Restart of the first balancer after the opening; negative for none.
    std::int64_t restartAgentsAtMs {}; ///< Restart of every third agent after the opening; negative for none.
    bool areAgentsNew {}; ///< Agents started beside running targets 2 s ago and do not know all flows.
    bool areSlotsBusy {}; ///< Requests of other flows keep all slots of some targets busy.
    bool ignoresOthers {}; ///< Targets drop, instead of return, data that acknowledges another target's answer.
};

/** @return The delay of each message, or its loss, by a sequence that the scenario determines. */
std::function<std::optional<Duration>(const MessageBody&)> fateOf(Network network)
{
    return [network, count = std::uint64_t {}](const MessageBody& body) mutable {
        bool isOfFlow = std::holds_alternative<ForwardMessage>(body) || std::holds_alternative<HeldMessage>(body)
            || std::holds_alternative<DeclinedMessage>(body) || std::holds_alternative<NotHeldMessage>(body);
        if (!isOfFlow)
            return std::optional(milliseconds(1));
        std::uint64_t random = mix64(network.seed, ++count);
        if (random % 100 < static_cast<std::uint64_t>(network.lossPercent))
            return std::optional<Duration>();
        auto extra = static_cast<std::int64_t>((random >> 16) % static_cast<std::uint64_t>(network.maxDelayMs + 1));
        // A quarter of the messages waits in a saturated link.
        return std::optional(milliseconds((random >> 8) % 4 ? 1 : 1 + extra));
    };
}

/** A fleet in which one flow is opened and used as a scenario says. */
struct HolderRun {
    explicit HolderRun(const Scenario& scenario)
        : m_scenario(scenario)
    {
    }

    /** Runs the scenario. @return What was wrong; empty when nothing was. */
    std::string run()
    {
        start();
        openFlow();
        if (!m_chosen)
            return {}; // No target answered, as all opening packets were lost.
        sendData();
        return faults();
    }

private:
    void start()
    {
        for (std::uint32_t i = 1; i <= 3; ++i)
            m_balancers.push_back(m_sim.addBalancer(i));
        for (std::uint32_t i = 0; i < m_scenario.agentCount; ++i) {
            m_agents.push_back(m_sim.addAgent(firstAgent + i, "web", "a", !m_scenario.areAgentsNew));
            FakeTransitTarget& target = m_sim.target(firstAgent + i);
            target.checksAcknowledgements = true;
            target.ignoresOtherAcknowledgements = m_scenario.ignoresOthers;
        }
        m_sim.run(seconds(2));
        if (!m_scenario.areSlotsBusy)
            return;
        for (std::uint32_t i = 0; i < m_scenario.agentCount; i += 2)
            m_sim.target(firstAgent + i).serviceTime = milliseconds(1900);
        std::vector<FlowTuple> flows;
        for (std::uint32_t i = 0; i < m_scenario.agentCount * 6; ++i)
            flows.push_back(flowOf(1000 + i));
        for (const auto& flow : flows)
            m_sim.sendOpen(m_balancers[1], flow);
        m_sim.run(milliseconds(20));
        for (const auto& flow : flows)
            m_sim.sendRequest(m_balancers[1], flow);
        m_sim.run(milliseconds(20));
    }

    void setNetwork(Network network)
    {
        m_sim.setMessageFate([this, fate = fateOf(network)](Endpoint, Endpoint to, const MessageBody& body) mutable {
            const auto* forward = std::get_if<ForwardMessage>(&body);
            auto time = fate(body);
            if (time && forward && forward->packet.flow == m_flow && forward->packet.dataSize && !forward->isLocating)
                m_forwarded[to].push_back(m_sim.now() + *time);
            return time;
        });
    }

    void openFlow()
    {
        setNetwork(m_scenario.opening);
        TimePoint startedAt = m_sim.now();
        TimePoint chosenAt = startedAt + milliseconds(m_scenario.chosenAfterMs);
        std::uint32_t copy = 0;
        // The caller stops to retransmit its opening packet when it has an answer, and gives up after 1.4 s.
        while (m_sim.now() < chosenAt || (!m_chosen && m_sim.now() < startedAt + milliseconds(1400))) {
            if (copy < openingTimes.size() && m_sim.now() >= startedAt + openingTimes[copy]) {
                m_sim.sendOpen(m_balancers[m_scenario.openingBalancers[copy]], m_flow, copy);
                ++copy;
            }
            m_sim.run(milliseconds(5));
            if (m_sim.now() >= chosenAt)
                choose();
        }
    }

    /** Lets the caller acknowledge one of the answers that it can have got. */
    void choose()
    {
        std::vector<std::uint32_t> answered;
        for (Endpoint agent : m_agents) {
            if (m_sim.target(agent.address).flows.contains(m_flow) && m_sim.caller(m_flow).openedAt)
                answered.push_back(agent.address);
        }
        if (answered.empty() || m_chosen)
            return;
        m_chosen = answered[m_scenario.choice % answered.size()];
        m_sim.caller(m_flow).targetSequence = initialSequenceOf(m_chosen);
    }

    void sendData()
    {
        setNetwork(m_scenario.data);
        TimePoint startedAt = m_sim.now();
        struct Pending {
            std::uint32_t sequence;
            TimePoint sentAt;
            std::size_t sent;
        };
        std::vector<Pending> pending;
        bool isReliable = false;
        bool areAgentsRestarted = m_scenario.restartAgentsAtMs < 0;
        bool isRestarted = m_scenario.restartBalancerAtMs < 0;
        for (std::uint32_t i = 0; i < m_scenario.dataBalancers.size(); ++i)
            pending.push_back({ 100 + i, startedAt + milliseconds(std::int64_t { 7 } * i), 0 });
        while (m_sim.now() < startedAt + seconds(6)) {
            if (!isRestarted && m_sim.now() >= startedAt + milliseconds(m_scenario.restartBalancerAtMs)) {
                m_sim.restart(m_balancers[0]);
                m_settled.erase(m_balancers[0]);
                isRestarted = true;
            }
            if (!areAgentsRestarted && m_sim.now() >= startedAt + milliseconds(m_scenario.restartAgentsAtMs)) {
                for (std::size_t i = m_scenario.choice % 3; i < m_agents.size(); i += 3)
                    m_sim.restart(m_agents[i]);
                areAgentsRestarted = true;
            }
            if (!isReliable && m_sim.now() >= startedAt + seconds(3)) {
                setNetwork({});
                isReliable = true;
            }
            for (std::size_t i = 0; i < pending.size(); ++i) {
                Pending& each = pending[i];
                bool hasArrived = m_sim.target(m_chosen).receivedRequests.contains({ m_flow, each.sequence });
                Duration after = each.sent ? retransmissionTimes[each.sent - 1] : Duration {};
                if (hasArrived || each.sent > retransmissionTimes.size() || m_sim.now() < each.sentAt + after)
                    continue;
                ++each.sent;
                Endpoint balancer = m_balancers[m_scenario.dataBalancers[i]];
                m_sim.sendRequest(balancer, m_flow, each.sequence);
                if (m_sim.balancer(balancer).holderOf(m_flow) == Endpoint { m_chosen, fleetPort })
                    m_settled.insert(balancer);
            }
            m_sim.run(milliseconds(5));
            checkSettled();
            bool isComplete = std::all_of(pending.begin(), pending.end(), [&](const Pending& each) {
                return m_sim.target(m_chosen).receivedRequests.contains({ m_flow, each.sequence });
            });
            if (isComplete)
                m_completeAt = std::min(m_completeAt, m_sim.now());
        }
    }

    /** Records balancers that sent a data packet to the chosen target before and now send the flow to another one. */
    void checkSettled()
    {
        for (Endpoint balancer : m_settled) {
            auto holder = m_sim.balancer(balancer).holderOf(m_flow);
            if (holder && holder->address != m_chosen)
                m_replaced.insert(balancer);
        }
    }

    std::string faults()
    {
        std::ostringstream text;
        for (Endpoint agent : m_agents) {
            const FakeTransitTarget& target = m_sim.target(agent.address);
            auto accepted = std::count_if(target.receivedRequests.begin(), target.receivedRequests.end(),
                [&](const auto& request) { return request.first == m_flow; });
            if (agent.address != m_chosen && accepted)
                text << "target " << agent.address << " accepted " << accepted << " packets of target " << m_chosen
                     << "; ";
        }
        const CallerState& caller = m_sim.caller(m_flow);
        if (caller.resetAt || caller.forgedResets)
            text << "the flow was reset; ";
        for (std::uint32_t i = 0; i < m_scenario.dataBalancers.size(); ++i) {
            if (!m_sim.target(m_chosen).receivedRequests.contains({ m_flow, 100 + i }))
                text << "packet " << i << " never arrived; ";
        }
        for (Endpoint balancer : m_replaced)
            text << "balancer " << balancer.address << " replaced the chosen holder; ";
        appendStarvation(text);
        return text.str();
    }

    /** Appends a line if another agent or target got three packets while the chosen one got none for 2 s. */
    void appendStarvation(std::ostringstream& text)
    {
        auto arrivalsAt = [&](std::uint32_t address) {
            std::vector<TimePoint> times;
            for (const auto& [time, flow] : m_sim.target(address).arrivals) {
                if (flow == m_flow)
                    times.push_back(time);
            }
            return times;
        };
        std::vector<TimePoint> own = arrivalsAt(m_chosen);
        // Packets that wait in the queue of the chosen agent have reached their holder.
        for (TimePoint time : m_forwarded[{ m_chosen, fleetPort }])
            own.push_back(time);
        for (Endpoint agent : m_agents) {
            if (agent.address == m_chosen)
                continue;
            std::vector<TimePoint> others = arrivalsAt(agent.address);
            // Counts what reaches the agent too, as it may wait there. A packet that goes on to the target counts
            // twice.
            for (TimePoint time : m_forwarded[agent])
                others.push_back(time);
            for (TimePoint begin : others) {
                auto isInWindow = [&](TimePoint time) { return time >= begin && time < begin + seconds(2); };
                if (begin + seconds(2) > m_completeAt || std::any_of(own.begin(), own.end(), isInWindow)
                    || std::count_if(others.begin(), others.end(), isInWindow) < 3)
                    continue;
                text << "target " << agent.address << " got the packets of target " << m_chosen << " for 2 s; ";
                return;
            }
        }
    }

    Scenario m_scenario;
    TransitSim m_sim;
    std::vector<Endpoint> m_balancers;
    std::vector<Endpoint> m_agents;
    FlowTuple m_flow { flowOf(1) };
    std::uint32_t m_chosen {};
    TimePoint m_completeAt { TimePoint {} + seconds(1000000) }; ///< When all packets had reached the chosen target.
    std::map<Endpoint, std::vector<TimePoint>> m_forwarded; ///< Arrivals of data packets that balancers forwarded.
    std::set<Endpoint> m_settled; ///< Balancers that sent a data packet to the chosen target.
    std::set<Endpoint> m_replaced; ///< Those of them that later had another holder for the flow.
};

Network genNetwork(int maxLossPercent)
{
    return { .lossPercent = *rc::gen::inRange(0, maxLossPercent + 1),
        .maxDelayMs = *rc::gen::element<std::int64_t>(0, 40, 300, 700),
        .seed = *rc::gen::arbitrary<std::uint32_t>() };
}

Scenario genScenario()
{
    Scenario scenario;
    scenario.agentCount = *rc::gen::element<std::uint32_t>(4, 12);
    for (auto& balancer : scenario.openingBalancers)
        balancer = *rc::gen::weightedElement<std::size_t>({ { 3, 0 }, { 1, 1 }, { 1, 2 } });
    scenario.dataBalancers = *rc::gen::container<std::vector<std::size_t>>(
        *rc::gen::inRange<std::size_t>(3, 9), rc::gen::weightedElement<std::size_t>({ { 4, 0 }, { 1, 1 }, { 1, 2 } }));
    scenario.opening = genNetwork(30);
    scenario.data = genNetwork(30);
    scenario.choice = *rc::gen::inRange<std::size_t>(0, 5);
    scenario.chosenAfterMs = *rc::gen::element<std::int64_t>(10, 60, 250, 700, 1200);
    scenario.restartBalancerAtMs = *rc::gen::element<std::int64_t>(-1, -1, 0, 5, 100);
    scenario.restartAgentsAtMs = *rc::gen::element<std::int64_t>(-1, -1, 0, 100, 400);
    scenario.areAgentsNew = *rc::gen::arbitrary<bool>();
    scenario.areSlotsBusy = *rc::gen::arbitrary<bool>();
    scenario.ignoresOthers = *rc::gen::arbitrary<bool>();
    return scenario;
}

std::ostream& operator<<(std::ostream& out, const Network& network)
{
    return out << network.lossPercent << "% " << network.maxDelayMs << " ms seed " << network.seed;
}

std::ostream& operator<<(std::ostream& out, const Scenario& scenario)
{
    out << scenario.agentCount << " agents, openings through";
    for (std::size_t each : scenario.openingBalancers)
        out << " " << each;
    out << ", data through";
    for (std::size_t each : scenario.dataBalancers)
        out << " " << each;
    return out << ", opening " << scenario.opening << ", data " << scenario.data << ", choice " << scenario.choice
               << " after " << scenario.chosenAfterMs << " ms, restart " << scenario.restartBalancerAtMs << "/"
               << scenario.restartAgentsAtMs << ", new " << scenario.areAgentsNew << ", busy " << scenario.areSlotsBusy
               << ", ignores " << scenario.ignoresOthers;
}

}

// Load: one flow whose opening packet is sent three times through up to three balancers, while a quarter of the
// messages is late by up to 700 ms and up to 30 % are lost. Guards against packets of an open flow that go to another
// target than the one that the caller chose, and against its reset.
TEST_CASE("Packets of a flow whose opening packet reached several targets go to the chosen one", "[transit][holder]")
{
    CHECK(rc::check("holder of a retransmitted opening packet", [] {
        Scenario scenario = genScenario();
        std::string faults = HolderRun(scenario).run();
        if (!faults.empty()) {
            std::ostringstream text;
            text << scenario << ": " << faults;
            RC_FAIL(text.str());
        }
    }));
}

namespace {

/** Passes an answer to an opening packet, from the agent on a VM, to a balancer. */
void deliverAnswer(
    TransitSim& sim, Endpoint balancer, std::uint32_t address, const FlowTuple& flow, std::uint32_t sequence)
{
    TransitEffects effects;
    HeldMessage held { .flow = flow, .targetSequence = sequence, .isOpening = true, .load = {} };
    sim.balancer(balancer).onMessage({ address, fleetPort }, { sim.lastPosition(), held }, sim.now(), effects);
    sim.applyEffectsFor(balancer, effects);
}

}

// Load: one flow that three targets have answered. Guards against the loss of the second answer when the third arrives.
TEST_CASE("A balancer keeps every agent whose target answered an opening packet", "[transit][holder]")
{
    Fleet fleet(3);
    FlowTuple flow = flowOf(1);
    for (std::uint32_t address : { 11U, 12U, 13U }) {
        fleet.target(address).flows.insert(flow);
        deliverAnswer(fleet, fleet.balancers[0], address, flow, initialSequenceOf(address));
    }
    std::size_t messages = fleet.locateMessages();
    std::uint32_t chosen = GENERATE(11U, 12U, 13U);
    fleet.caller(flow).targetSequence = initialSequenceOf(chosen);
    fleet.sendRequest(fleet.balancers[0], flow);
    CHECK(fleet.balancer(fleet.balancers[0]).holderOf(flow) == Endpoint { chosen, fleetPort });
    CHECK(fleet.locateMessages() == messages);
}

// Load: one flow with a request in progress. Guards against a late answer, with a sequence number close to that of the
// chosen target, that redirects the rest of the flow.
TEST_CASE("A late answer to an opening packet does not replace the holder that the caller chose", "[transit][holder]")
{
    Fleet fleet(3);
    FlowTuple flow = flowOf(1);
    std::uint32_t chosen = fleet.open(fleet.balancers[0], flow);
    REQUIRE(chosen);
    fleet.sendRequest(fleet.balancers[0], flow);
    std::uint32_t other = chosen == 11 ? 12 : 11;
    deliverAnswer(fleet, fleet.balancers[0], other, flow, initialSequenceOf(chosen));
    fleet.sendRequest(fleet.balancers[0], flow, 2);
    CHECK(fleet.balancer(fleet.balancers[0]).holderOf(flow) == Endpoint { chosen, fleetPort });
    fleet.run(milliseconds(100));
    CHECK(fleet.target(chosen).receivedRequests.contains({ flow, 2 }));
}

// Load: one flow whose opening packet reached a second target after 25 ms, since the link to the first is saturated;
// the first target's answer is lost on its way to the balancer. Guards against packets that go on to the second target,
// whose agent has restarted and cannot tell that the caller chose another one (incident
// holder-of-retransmitted-opening).
TEST_CASE("A balancer does not use an agent whose answer the caller did not acknowledge", "[transit][holder]")
{
    Fleet fleet(12);
    FlowTuple flow = flowOf(1);
    Endpoint first;
    fleet.setMessageFate([&](Endpoint from, Endpoint to, const MessageBody& body) -> std::optional<Duration> {
        if (std::holds_alternative<ForwardMessage>(body) && !first.address) {
            first = to;
            return milliseconds(100);
        }
        const auto* held = std::get_if<HeldMessage>(&body);
        if (held && held->isOpening && from == first)
            return std::nullopt;
        return milliseconds(1);
    });
    fleet.sendOpen(fleet.balancers[0], flow);
    fleet.run(milliseconds(150));
    fleet.setMessageFate({});
    auto second = fleet.balancer(fleet.balancers[0]).holderOf(flow);
    REQUIRE(second);
    REQUIRE(*second != first);
    fleet.caller(flow).targetSequence = initialSequenceOf(first.address);
    fleet.target(second->address).ignoresOtherAcknowledgements = true;
    fleet.restart(*second);
    fleet.run(milliseconds(5));

    for (std::uint32_t sequence = 1; sequence <= 3; ++sequence)
        fleet.sendRequest(fleet.balancers[0], flow, sequence);
    fleet.run(milliseconds(100));
    for (std::uint32_t sequence = 1; sequence <= 3; ++sequence)
        CHECK(fleet.target(first.address).receivedRequests.contains({ flow, sequence }));
    CHECK(fleet.balancer(fleet.balancers[0]).holderOf(flow) == first);
    CHECK(!fleet.caller(flow).resetAt);
}

// Load: one flow that its second target has reset before the caller acknowledged anything. Guards against an agent that
// reports such a flow to a balancer that locates the holder.
TEST_CASE("An agent does not report a flow that ended before the caller chose its target", "[transit][holder]")
{
    Fleet fleet(3);
    FlowTuple flow = flowOf(1);
    std::uint32_t address = fleet.open(fleet.balancers[0], flow);
    REQUIRE(address);
    TransitEffects effects;
    TransitAgent& agent = fleet.agent({ address, fleetPort });
    agent.onPacket({ .flow = flow, .flags = { .isReset = true } }, fleet.now(), effects);
    effects.clear();
    ForwardMessage query { .replyTo = fleet.balancers[1], .isLocating = true };
    query.packet = { .flow = flow, .flags = { .hasAcknowledgement = true }, .acknowledged = 77, .dataSize = 100 };
    agent.onMessage(fleet.balancers[1], { fleet.lastPosition(), query }, fleet.now(), effects);
    bool isReported = std::any_of(effects.begin(), effects.end(), [&](const TransitEffect& effect) {
        const auto* send = std::get_if<SendMessage>(&effect);
        const auto* held = send ? std::get_if<HeldMessage>(&send->body) : nullptr;
        return held && held->flow == flow;
    });
    CHECK_FALSE(isReported);
}
