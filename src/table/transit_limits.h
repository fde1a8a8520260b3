/**
 * @file transit_limits.h
 * Times, counts and weights of transparent flows. Times between processes assume a few milliseconds from one failure
 * domain to another.
 */
#pragma once

#include "../core_type.h"

namespace hawthorncroft {

// Flows.
inline constexpr std::uint32_t initialAckWindow
    = 16; ///< A caller's first packet acknowledges the first sequence number or the next.

// View.
inline constexpr std::size_t maxRemovedItems = 10000; ///< Removed keys remembered for deltas.

// Gossip and the store.
inline constexpr Duration stampInterval = milliseconds(500); ///< Between stamps; half the routers' two probes.
inline constexpr Duration memberLifetime
    = milliseconds(1700); ///< Three stamps may be lost before a process counts as gone.
inline constexpr Duration memberRetention = seconds(30); ///< After this silence a process gets no more stamps.
inline constexpr std::size_t maxFullFanout = 40; ///< Fleets up to this size tell everybody; larger ones some.
inline constexpr std::size_t stampFanout = 12; ///< Processes told at once in larger fleets; two rounds reach 150.
inline constexpr std::size_t remoteDomainFanout
    = 3; ///< Of the fanout, to other failure domains: links between them are narrow and billed.
inline constexpr Duration minGossipRoundInterval
    = milliseconds(20); ///< Between two rounds of news; after an outage targets register one after the other.
inline constexpr std::size_t maxMembers = 4096; ///< Processes remembered; the least recently heard go first.
inline constexpr std::size_t maxBalancersInStamp = 4; ///< Balancers named in one stamp; others in the next.
inline constexpr Duration fetchTimeout
    = milliseconds(120); ///< A delta of some hundred items comes within some tens of ms.
inline constexpr std::size_t permanentStoreReaders
    = 2; ///< Balancers that read the store, so that one may fail unnoticed.
inline constexpr Duration storeReadDelay
    = milliseconds(120); ///< An agent that starts asks others before the store: two rounds of its stamps.
inline constexpr Duration storeReadJitter = milliseconds(200); ///< And a random time more, when all start at once.
inline constexpr Duration watchWait = milliseconds(1500); ///< Half of the time in which a change has to be in force.
inline constexpr Duration watchGrace = milliseconds(400); ///< Beyond the wait before a watch is given up.
inline constexpr Duration readTimeout = milliseconds(1000); ///< A slow store takes some hundreds of milliseconds.
inline constexpr Duration viewAgeLimit = milliseconds(2100); ///< Beyond it another process reads; above watchWait.
inline constexpr Duration viewAgeStep = milliseconds(150); ///< Further ranks start one after the other.
inline constexpr Duration storeBackoffMin = milliseconds(60); ///< After the first failed call.
inline constexpr Duration storeBackoffMax = milliseconds(600); ///< After many; a fifth of the time for a change.
inline constexpr Duration reregistrationTime = milliseconds(2200); ///< Lapsed targets register again by then.

// Balancer.
inline constexpr Duration openRetryTimeout
    = milliseconds(25); ///< Agents answer in a few ms; callers repeat after 200 ms.
inline constexpr std::uint32_t openRetryPercent = 20; ///< Repeated openings allowed for 100 that were answered.
inline constexpr double openRetryReserve
    = 40; ///< Repeated openings at most in one burst, such as for an agent that just ended.
inline constexpr double openRetryRefill = 10; ///< Repeated openings a second that are allowed with no answer at all.
inline constexpr std::int64_t locateLinkShare
    = 8; ///< Questions for lost flows may use one part in so many of the link.
inline constexpr std::size_t maxOpenAttempts = 5; ///< Agents that one opening packet is sent to.
inline constexpr Duration suspicionTime = milliseconds(1000); ///< Agents that left an opening packet unanswered.
inline constexpr Duration returnBackoff = milliseconds(
    200); ///< A target that returned an opening packet is avoided; as long as a caller waits for its copy.
inline constexpr std::uint32_t maxReturnBackoffDoublings = 3; ///< Each further return doubles it, up to 1.6 s.
inline constexpr Duration locateBroadcastDelay = milliseconds(30); ///< Locators answer in a few ms.
inline constexpr Duration lateTickThreshold
    = milliseconds(30); ///< A tick this late means that answers wait in the sockets, unread.
inline constexpr std::size_t maxFlowsPerQuery = 24; ///< Flows in one message to an agent; some datagrams.
inline constexpr Duration locateTimeout = milliseconds(400); ///< After it the caller's next copy starts again.
inline constexpr Duration absenceReportTimeout = milliseconds(
    60); ///< Locators wait for notes under way before they vouch; beyond it a balancer takes one word for both.
inline constexpr Duration queryRetryInterval
    = milliseconds(100); ///< Agents that did not answer a question are asked again; they start within that time.
inline constexpr Duration staleAgentTimeout = milliseconds(
    150); ///< For an agent whose flows its locators knew until it fell silent; agents answer in a few ms.
inline constexpr std::size_t locatorCount = 2; ///< Agents told of a flow that they do not hold.
inline constexpr std::size_t agentsPerShard
    = 128; ///< Agents for each shard of flows; two locators of one get some 600 notes and confirmations a second.
inline constexpr std::size_t maxLocateBroadcast = 256; ///< Agents asked when no locator vouches; hundreds of machines.
inline constexpr std::size_t maxDirectQueries
    = 8; ///< Agents that a balancer asks itself; otherwise locators vouch, and one agent asks the doubtful ones.
inline constexpr std::size_t endpointBytes = 8; ///< Bytes of an endpoint in a message.
inline constexpr std::uint32_t maxImmediateQueries
    = 4; ///< Questions to all agents that are sent at once in a tick; further ones go together with the next.
inline constexpr std::uint32_t maxImmediateReplies = 8; ///< The same for answers of an agent.
inline constexpr std::size_t maxLocates = 4096; ///< Flows that are being located.
inline constexpr std::size_t maxPacketsPerLocate = 16; ///< Callers have at most 16 packets in flight.
inline constexpr std::size_t maxPendingOpens = 8192; ///< Opening packets whose agent has not answered.
inline constexpr std::size_t maxWaitingPackets = 512; ///< Packets that wait for the first view.
inline constexpr Duration maxWaitForView = milliseconds(600); ///< Callers repeat by then.
inline constexpr std::size_t maxCachedFlows = 400000; ///< Flows that one balancer remembers.
inline constexpr Duration flowIdleLimit = seconds(60); ///< Cached and held flows without packets are forgotten.
inline constexpr double flowWeight = 0.03; ///< Share of a slot that an open flow is expected to use.
inline constexpr double remoteWeight = 0.25; ///< Load by which a target of another failure domain seems busier.
inline constexpr double coldWeight = 0.5; ///< Load by which a cold target seems busier.
inline constexpr std::size_t sameDomainCandidates
    = 2; ///< Targets of the own failure domain compared for a flow; comparing all makes balancers herd to one.
inline constexpr std::size_t otherDomainCandidates = 1; ///< Targets of other failure domains compared for a flow.
inline constexpr std::size_t maxDraws = 16; ///< Targets drawn for the candidates of one flow.
inline constexpr std::size_t maxCandidates = 64; ///< Targets looked at when no drawn one may take the flow.
inline constexpr Duration drainTime
    = milliseconds(3000); ///< Routers leave a balancer after two probes a half second apart.
inline constexpr Duration shutdownMargin = milliseconds(500); ///< Kept of the grace for a late tick and the way out.

// Agent.
inline constexpr Duration coldWindow = milliseconds(1100); ///< The limit of a cold target holds in any second.
inline constexpr Duration coldMargin
    = milliseconds(500); ///< A record's remaining cold time may be understated by its way here.
inline constexpr Duration targetAnswerTime
    = milliseconds(60); ///< The target is on the same machine and answers at once.
inline constexpr Duration firstRequestTimeout
    = milliseconds(60); ///< A flow that opened brings its first request by then.
inline constexpr Duration loadReportInterval = milliseconds(150); ///< Between two reports to one balancer.
inline constexpr Duration loadSubscriptionLifetime
    = seconds(2); ///< Balancers that sent nothing for this time get no reports.
inline constexpr Duration inventoryHeartbeatInterval
    = milliseconds(250); ///< Between confirmations of the notes to a locator; two may be lost within inventoryLease.
inline constexpr Duration unregisteredHeartbeatInterval
    = milliseconds(50); ///< The same while the agent's target is not registered: such a VM ends without a word.
inline constexpr Duration unregisteredLease
    = milliseconds(170); ///< Silence after which such an agent is not asked; two confirmations may be lost.
inline constexpr Duration unackedHeartbeatInterval
    = milliseconds(20); ///< Between confirmations until the locator has everything; a lost note is noticed by then.
inline constexpr Duration inventoryLease
    = milliseconds(700); ///< Silence after which a locator does not vouch; below
                         ///< stalePacketAge, so that a pause that drops notes ends it.
inline constexpr Duration absenceReportDelay
    = milliseconds(30); ///< Before a locator vouches: a note and its confirmation after 20 ms, and 10 ms of way.
inline constexpr Duration finalUpdateTime
    = milliseconds(100); ///< An agent that ends probes its target and confirms its last notes until then.
inline constexpr Duration resyncRequestInterval
    = milliseconds(100); ///< Between two requests for all notes of an agent.
inline constexpr Duration targetProbeDelay
    = milliseconds(150); ///< After a packet with data, before the target is probed; twice a usual service time.
inline constexpr Duration probeInterval
    = milliseconds(250); ///< Between probes of a silent target; each is a connection.
inline constexpr Duration refusedProbeInterval = milliseconds(30); ///< After a refused probe; refused ones cost little.
inline constexpr std::uint32_t goneTargetRefusals
    = 2; ///< Refused in a row before the process counts as gone; the first may meet one that is about to listen.
inline constexpr Duration probeTimeout = milliseconds(200); ///< A process that hangs takes no connection; it runs.
inline constexpr Duration flowQueryLifetime = seconds(1); ///< Time for which a flow's asker is remembered.
inline constexpr Duration endedFlowTime = seconds(10); ///< Ended flows are remembered while late packets may come.
inline constexpr std::size_t maxHeldFlows = 20000; ///< Flows that one agent remembers.
inline constexpr Duration holderEntryLifetime
    = seconds(60); ///< A locator forgets notes after it; agents tell all flows again after half of it.
inline constexpr std::size_t maxHoldersOfFlow
    = 10; ///< Agents noted for one flow beside the first: those of an opening packet and its two copies.
inline constexpr std::size_t maxHolderEntries = 100000; ///< Flows of other agents that one agent remembers.
inline constexpr Duration flowLifetime = seconds(60); ///< Flows older than this may be discarded.
inline constexpr std::size_t maxQueuedRequests
    = 512; ///< Requests that wait for a slot; far above what is answered in time.
inline constexpr std::uint32_t faultyTargetResets
    = 3; ///< Requests reset in a row; single ones come from flows that were idle too long.
inline constexpr Duration faultyProbeInterval
    = milliseconds(300); ///< Between two flows that a faulty target gets; its return is seen by then.
inline constexpr std::uint32_t slotOversubscription
    = 1; ///< Requests handed over beyond the slots, to keep all slots busy.
inline constexpr Duration initialServiceTime
    = milliseconds(30); ///< Before the target has answered; the users' sheets name 5 to 39 ms.
inline constexpr std::size_t maxServiceTimes = 256; ///< Routes with a service time of their own; a service has a few.
inline constexpr Duration callerNetworkDelay
    = milliseconds(10); ///< Of the objective for the ways from and to the caller; 3 ms each and two hops.
inline constexpr Duration copyInterval = milliseconds(200); ///< Age of the first copy of a caller's opening packet.
inline constexpr Duration secondCopyInterval = milliseconds(600); ///< Age of the second.
inline constexpr Duration slotAnswerTimeout
    = milliseconds(400); ///< Without any answer for this time, slots are not believed to be busy.
inline constexpr Duration requestDrainTimeout
    = milliseconds(1500); ///< Longest wait for running requests when an agent ends.

// Shell.
inline constexpr Duration tickInterval = milliseconds(10); ///< Resolution of the cores' timers.
inline constexpr Duration stalePacketAge
    = milliseconds(1000); ///< Callers send a copy after 200 ms and give up after 1.4 s.
inline constexpr std::size_t fragmentSize = 1400; ///< Bytes of a datagram between processes; fits common links.
inline constexpr Duration fragmentLifetime = seconds(1); ///< Incomplete messages are dropped after it.
inline constexpr std::size_t maxFragments = 2048; ///< Fragments of one message.
inline constexpr std::size_t maxPartialMessages = 64; ///< Incomplete messages.
inline constexpr std::uint32_t maxLogLinesPerSecond = 40; ///< Lines of one kind that a process writes in a second.

} // namespace hawthorncroft
