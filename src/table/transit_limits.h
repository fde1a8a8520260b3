/**
 * @file transit_limits.h
 * Timeouts, limits and weights of transparent flows. Timeouts between processes assume a network delay of a few
 * milliseconds between failure domains.
 */
#pragma once

#include "../core_type.h"

namespace hawthorncroft {

// Flows.

/** Distance from a target's first sequence number within which an acknowledgement shows that the caller chose this
 * target; the caller's first packet acknowledges that number or the next one. */
inline constexpr std::uint32_t initialAckWindow = 16;

// View.
inline constexpr std::size_t maxRemovedItems = 10000; ///< Keys of removed items that are kept for deltas.

// Gossip and the store.

/** Interval between stamps; half of the time that the routers need for two probes. */
inline constexpr Duration stampInterval = milliseconds(500);
/** Time from a process's first view until it has heard the agents that send stamps to all processes: the longest time
 * between two stamps, as each process keeps its own phase. */
inline constexpr Duration agentDiscoveryTime = milliseconds(750);
/** Silence after which a process counts as failed; up to three stamps in a row may be lost. */
inline constexpr Duration memberLifetime = milliseconds(1700);
inline constexpr Duration memberRetention = seconds(30); ///< Silence after which no more stamps are sent to a process.
/** In fleets of up to this size a stamp goes to every process, in larger ones to `stampFanout` of them. */
inline constexpr std::size_t maxFullFanout = 40;
/** Processes that get a stamp at once in larger fleets; two rounds of gossip reach 150 processes. */
inline constexpr std::size_t stampFanout = 12;
/** Part of the fan-out that goes to other failure domains. It is small because links between domains are narrow and
 * billed by traffic. */
inline constexpr std::size_t remoteDomainFanout = 3;
/** Minimum interval between two gossip rounds after changes of the view. After an outage targets register one after the
 * other, and one round covers several of them. */
inline constexpr Duration minGossipRoundInterval = milliseconds(20);
/** Processes in the member list. While it is full, messages from other processes do not add a member. */
inline constexpr std::size_t maxMembers = 4096;
/** Balancers listed in one stamp; the others follow in later stamps. */
inline constexpr std::size_t maxBalancersInStamp = 4;
/** Timeout of a request for a delta. A delta of some hundred items arrives within some tens of milliseconds. */
inline constexpr Duration fetchTimeout = milliseconds(120);
/** Balancers that always read the store; with two, one may fail without effect. */
inline constexpr std::size_t permanentStoreReaders = 2;
/** Delay of an agent's first read of the store after its start; two rounds of its stamps, so that it can get the view
 * from other processes. */
inline constexpr Duration storeReadDelay = milliseconds(120);
/** Upper bound of a random delay added to `storeReadDelay`, which spreads the load when all agents start at once. */
inline constexpr Duration storeReadJitter = milliseconds(200);
/** Time that the store may hold a watch open; half of the time within which a change has to be in force. */
inline constexpr Duration watchWait = milliseconds(1500);
inline constexpr Duration watchGrace = milliseconds(400); ///< Time beyond `watchWait` after which a watch is cancelled.
/** Timeout of a read from the store. A slow store answers within some hundred milliseconds. */
inline constexpr Duration readTimeout = milliseconds(1000);
/** Age of the view above which a fallback reader reads the store; longer than `watchWait`. */
inline constexpr Duration viewAgeLimit = milliseconds(2100);
/** Added to `viewAgeLimit` for each rank, so that fallback readers start one after the other. */
inline constexpr Duration viewAgeStep = milliseconds(150);
inline constexpr Duration storeBackoffMin = milliseconds(60); ///< Delay after the first failed call to the store.
/** Maximum delay after repeated failed calls; a fifth of the time within which a change has to be in force. */
inline constexpr Duration storeBackoffMax = milliseconds(600);
/** Time after a store outage within which targets whose registration lapsed register again. */
inline constexpr Duration reregistrationTime = milliseconds(2200);
/** Time for which an evacuation stays in force that the store lacks after it came back from a copy. The operator writes
 * it again; until then a false evacuation costs less than requests to targets that are about to lose power. */
inline constexpr Duration evacuationRetention = seconds(10);

// Balancer.

/** Time after which an opening packet that was not answered is retried. Agents answer within a few milliseconds,
 * callers retransmit after 200 ms. */
inline constexpr Duration openRetryTimeout = milliseconds(25);
/** Retries of opening packets allowed for every 100 that were answered. */
inline constexpr std::uint32_t openRetryPercent = 20;
inline constexpr double openRetryReserve = 40; ///< Maximum burst of retries, such as after an agent ended.
/** Retries per second that are allowed even if no opening packet is answered. */
inline constexpr double openRetryRefill = 10;
/** Queries for unknown flows may use one part in this many of the link's bandwidth. */
inline constexpr std::int64_t locateLinkShare = 8;
inline constexpr std::size_t maxOpenAttempts = 5; ///< Maximum number of agents that one opening packet is sent to.
/** An agent that declined as overloaded has spare capacity again when its load has dropped to this share. It declines
 * with a full queue, in which one free place is not worth a message. */
inline constexpr double spareLoadShare = 0.75;
/** Time for which an agent that did not answer an opening packet is avoided. */
inline constexpr Duration suspicionTime = milliseconds(1000);
/** Time for which a target that returned an opening packet is avoided; the caller retransmits after this time. */
inline constexpr Duration returnBackoff = milliseconds(200);
/** Each further return doubles `returnBackoff`, up to 1.6 s. */
inline constexpr std::uint32_t maxReturnBackoffDoublings = 3;
/** Time after which all agents are queried if the locators have not answered; they answer within a few milliseconds. */
inline constexpr Duration locateBroadcastDelay = milliseconds(30);
/** Delay of a tick from which answers are assumed to wait unread in the sockets. */
inline constexpr Duration lateTickThreshold = milliseconds(30);
/** Maximum number of flows in one message to an agent; such a message takes several datagrams. */
inline constexpr std::size_t maxFlowsPerQuery = 24;
/** Time after which a search is given up; the caller's next retransmission starts a new one. */
inline constexpr Duration locateTimeout = milliseconds(400);
/** Time after which a balancer decides with the absence report of a single locator. Locators delay their reports by
 * `absenceReportDelay`. */
inline constexpr Duration absenceReportTimeout = milliseconds(60);
/** Time after which agents that did not answer a query are queried again; an agent that restarts is up within that
 * time. */
inline constexpr Duration queryRetryInterval = milliseconds(100);
/** Time that a balancer waits for the answer of an agent whose flows the locators knew until its lease expired; agents
 * answer within a few milliseconds. */
inline constexpr Duration staleAgentTimeout = milliseconds(150);
inline constexpr std::size_t locatorCount = 2; ///< Locators of each shard; each flow is reported to them.
/** Agents for each shard of flows. At this size the two locators of a shard get some 600 updates and heartbeats per
 * second. */
inline constexpr std::size_t agentsPerShard = 128;
/** Maximum number of agents that are queried when no locator answers; enough for hundreds of machines. */
inline constexpr std::size_t maxLocateBroadcast = 256;
/** Maximum number of agents that a balancer queries itself. With more of them it waits for absence reports and lets one
 * agent relay the queries. */
inline constexpr std::size_t maxDirectQueries = 8;
inline constexpr std::size_t endpointBytes = 8; ///< Size of an endpoint in a message.
/** Queries to several agents that are sent at once between two ticks; further ones are batched with the next tick. */
inline constexpr std::uint32_t maxImmediateQueries = 4;
/** Replies of an agent that are sent at once between two ticks; further ones are batched with the next tick. */
inline constexpr std::uint32_t maxImmediateReplies = 8;
inline constexpr std::size_t maxLocates = 4096; ///< Maximum number of concurrent searches for flows.
/** Packets buffered for one search; callers have at most 16 packets in flight. */
inline constexpr std::size_t maxPacketsPerLocate = 16;
inline constexpr std::size_t maxPendingOpens = 8192; ///< Opening packets that wait for the answer of an agent.
inline constexpr std::size_t maxWaitingPackets = 512; ///< Packets buffered until the first view arrives.
/** Time after which a buffered packet is dropped; callers retransmit by then. */
inline constexpr Duration maxWaitForView = milliseconds(600);
inline constexpr std::size_t maxCachedFlows = 400000; ///< Capacity of a balancer's flow cache.
inline constexpr Duration flowIdleLimit = seconds(60); ///< Idle time after which cached and held flows are removed.
/** Load added to targets of other failure domains when targets are compared. */
inline constexpr double remoteWeight = 0.25;
/** Load added to targets behind a broken path: that of a target whose slots are all in use. */
inline constexpr double brokenPathWeight = 1.0;
inline constexpr double coldWeight = 0.5; ///< Load added to cold targets when targets are compared.
/** Ratio of service times up to which targets count as alike. The error of a known service time is an eighth. */
inline constexpr double speedDeadZone = 1.25;
/** Ratio to which the difference of service times is bounded. Errors that a target answers quickly attract no more. */
inline constexpr double maxSpeedRatio = 4;
/** Targets of a service whose service times are compared, which bounds the time of one choice. */
inline constexpr std::size_t maxComparedSpeeds = 64;
/** Utilisation of a service's target from which flows may go to another service of their route. */
inline constexpr double saturatedUtilisation = 1.5;
inline constexpr double spareUtilisation = 0.8; ///< Utilisation below which a target takes flows of another service.
/** Targets of the balancer's failure domain that are compared for a flow. If all were compared, all balancers would
 * choose the same target at once. */
inline constexpr std::size_t sameDomainCandidates = 2;
/** Targets of other failure domains that are compared for a flow. */
inline constexpr std::size_t otherDomainCandidates = 1;
inline constexpr std::size_t maxDraws = 16; ///< Random draws for the candidates of one flow.
/** Targets that are tried in turn when no drawn one can take the flow. */
inline constexpr std::size_t maxCandidates = 64;
/** Candidates, and shares of a route, in the explanation of a placement. Packets wait while it is built. */
inline constexpr std::size_t maxExplainedItems = 64;
/** Query string of the explanation in bytes. The longest service name of 200 bytes takes 600 when all are encoded. */
inline constexpr std::size_t maxPlaceQueryBytes = 1024;
/** Time for which a balancer still forwards packets after it left rotation. Routers stop using it after two failed
 * probes, half a second apart. */
inline constexpr Duration drainTime = milliseconds(3000);
/** Time from the arrival of an opening packet within which its refusal reaches the caller before a retransmission, sent
 * after 200 ms, can open the flow. */
inline constexpr Duration openRefusalLimit = milliseconds(150);
/** Part of the grace period kept in reserve for a late tick and the network delay. */
inline constexpr Duration shutdownMargin = milliseconds(500);

// Rotation of balancers (docs/design/entry-capacity.md).

/** Interval of the load measurement; ten of them make up the last second. */
inline constexpr Duration entryLoadInterval = milliseconds(100);
/** Interval between two decisions on rotation; a tenth of the routers' probe interval. */
inline constexpr Duration entryUpdateInterval = milliseconds(50);
/** Interval between stamps to the balancers of the own failure domain; half of the routers' probe interval. */
inline constexpr Duration entryStampInterval = milliseconds(250);
/** The same while all balancers of the domain have about the same capacity, so that none of them leaves rotation. */
inline constexpr Duration evenEntryStampInterval = seconds(5);
/** Balancers of the own failure domain that get each of these stamps; a larger failure domain uses
 * `entrySampleSize`. */
inline constexpr std::size_t maxEntryPeers = 16;
/** Balancers that get each of these stamps in failure domains of more than `maxEntryPeers` others. Such a stamp has 220
 * bytes on the link, a usual one 204; with five of these together they are 9.3 of the 10 KB/s that a process may use.
 */
inline constexpr std::size_t entrySampleSize = 5;
/** Age from which a report no longer counts; two in a row may be lost. */
inline constexpr Duration entryReportLifetime = milliseconds(800);
/** Time after a pause of the process during which rotation does not change. All balancers report within it, and the
 * measured load covers it. */
inline constexpr Duration entryHoldTime = seconds(1);
/** Maximum time that a balancer waits after its start for the first reports; peers answer its first stamp at once. */
inline constexpr Duration entryStartWait = milliseconds(100);
/** Time for which the load has to be known before a slow balancer joins after its start. */
inline constexpr Duration entryStartLoadTime = seconds(2);
/** Time after a change of rotation before the next one: the routers' probe interval. */
inline constexpr Duration entrySettleTime = milliseconds(500);
/** Time until the measured load shows that another balancer joined: two probes, and the second of the measurement. */
inline constexpr Duration entrySpreadTime = seconds(2);
/** Minimum time out of rotation, and age of the highest load that counts for a return. Loads swing with periods of up
 * to 15 s. */
inline constexpr Duration entryReturnWait = seconds(20);
/** Share of its capacity above which a balancer leaves. A link has bursts of several times its mean rate. */
inline constexpr double entryLeaveLimit = 0.35;
/** Share of its capacity below which a balancer returns. A domain that doubles its balancers halves their load, so that
 * the two limits are far enough apart. */
inline constexpr double entryReturnLimit = 0.2;
/** While every number of balancers exceeds its limit: part of the utilisation below which fewer balancers have to bring
 * it for one to leave. Without the difference to `entryReturnGain`, a balancer left and returned every 20 s where both
 * numbers were equally good. */
inline constexpr double entryLeaveGain = 0.75;
inline constexpr double entryReturnGain = 0.9; ///< The same part, above which a balancer returns.
/** A balancer is slow if this many of its kind have less capacity than one of the needed ones on average. */
inline constexpr double entrySlowFactor = 2;
/** Processor time of one forwarded packet, with its system calls. */
inline constexpr Duration entryPacketTime = microseconds(12);
/** Mean size of a packet for the forwarding rate of a processor, in bytes. */
inline constexpr double entryPacketBytes = 600;
/** Headers of a datagram on the wire: IP (20 bytes) and UDP (8 bytes). */
inline constexpr std::int64_t datagramHeaderBytes = 28;
/** Bytes that a forwarded packet needs beyond its own: the message around it, the fragment header, IP and UDP. */
inline constexpr std::size_t forwardOverheadBytes = 120;

// Agent.

/** Window in which the admissions of a cold target are counted, so that its limit holds in any second. */
inline constexpr Duration coldWindow = milliseconds(1100);
/** Tolerance on a record's remaining cold time, which can be too short by the time that the record took to arrive. */
inline constexpr Duration coldMargin = milliseconds(500);
/** Time within which a target answers an opening packet; it runs on the same machine and answers at once. */
inline constexpr Duration targetAnswerTime = milliseconds(60);
/** Time within which the first request of an opened flow is expected. */
inline constexpr Duration firstRequestTimeout = milliseconds(60);
/** Minimum interval between two load reports to one balancer. */
inline constexpr Duration loadReportInterval = milliseconds(150);
/** Time after its last packet for which a balancer gets load reports. */
inline constexpr Duration loadSubscriptionLifetime = seconds(2);
/** Interval between inventory heartbeats to a locator; two in a row may be lost within `inventoryLease`. */
inline constexpr Duration inventoryHeartbeatInterval = milliseconds(250);
/** Interval between inventory heartbeats while the agent's target is not registered. It is shorter because such a VM
 * may be removed without notice. */
inline constexpr Duration unregisteredHeartbeatInterval = milliseconds(50);
/** Silence after which an agent whose target is not registered is no longer queried; two heartbeats in a row may be
 * lost. */
inline constexpr Duration unregisteredLease = milliseconds(170);
/** Interval between inventory heartbeats until the locator has acknowledged the last update; a lost update is detected
 * within this time. */
inline constexpr Duration unackedHeartbeatInterval = milliseconds(20);
/** Silence after which a locator no longer rules out an agent as the holder of a flow. Shorter than `stalePacketAge`,
 * so that the lease has expired after any pause that is long enough for updates to be discarded. */
inline constexpr Duration inventoryLease = milliseconds(700);
/** Delay of an absence report. If an update is lost, the heartbeat sent 20 ms after it reveals the loss; 10 ms are
 * added for the network delay. */
inline constexpr Duration absenceReportDelay = milliseconds(30);
/** Time for which an agent that ends probes its target and repeats its last inventory heartbeats. */
inline constexpr Duration finalUpdateTime = milliseconds(100);
/** Minimum interval between two requests to one agent for a snapshot of its flows. */
inline constexpr Duration resyncRequestInterval = milliseconds(100);
/** Time that a packet with data may stay unanswered before the target is probed; twice a usual service time. */
inline constexpr Duration targetProbeDelay = milliseconds(150);
/** Interval between probes of a target that does not answer; each probe is a connection. */
inline constexpr Duration probeInterval = milliseconds(250);
/** Interval between probes after a refused one; a refused connection costs little. */
inline constexpr Duration refusedProbeInterval = milliseconds(30);
/** Consecutive refused probes after which the target's process counts as ended. A single one may reach a process that
 * does not listen yet. */
inline constexpr std::uint32_t goneTargetRefusals = 2;
/** Timeout of a probe. A process that hangs accepts no connection but is still running. */
inline constexpr Duration probeTimeout = milliseconds(200);
/** Time for which the balancer that queried for a flow is remembered. */
inline constexpr Duration flowQueryLifetime = seconds(1);
/** Time for which an ended flow is remembered, as packets may still arrive late. */
inline constexpr Duration endedFlowTime = seconds(10);
inline constexpr std::size_t maxHeldFlows = 20000; ///< Flows in the table of one agent.
/** Lifetime of a holder entry at a locator; agents send a new snapshot after half of it. */
inline constexpr Duration holderEntryLifetime = seconds(60);
/** Agents in a holder entry beside the first: those that the opening packet and its two retransmissions reached. */
inline constexpr std::size_t maxHoldersOfFlow = 10;
inline constexpr std::size_t maxHolderEntries = 100000; ///< Flows of other agents that one locator remembers.
inline constexpr Duration flowLifetime = seconds(60); ///< Age from which a flow may be discarded.
/** Bounds of the number of requests that wait for a slot, which follows from what a target answers within the timeout.
 * The upper one bounds the memory of an agent; a waiting request is one packet in most cases. */
inline constexpr std::size_t minQueueCapacity = 16;
inline constexpr std::size_t maxQueueCapacity = 4096;
/** A late request is released before requests in time from this part of its timeout ahead of its latest start time.
 * Service times vary, and after a burst many requests reach their latest start times at once. */
inline constexpr std::int64_t rescueMarginShare = 8;
/** Time constant of the rate at which requests are queued; some 30 requests at the capacity of a target. */
inline constexpr Duration arrivalRateWindow = milliseconds(300);
/** Requests queued for each one that the target can start: above the first figure there is an overload, and below the
 * second one it has ended. The distance exceeds the deviation of the rates that are compared. */
inline constexpr double overloadEntryRatio = 1.0;
inline constexpr double overloadExitRatio = 0.8;
/** Requests queued for each one that the target can start, above which late requests are not released early. A burst at
 * twice the capacity that lasts for a timeout leaves as much work as the target does within a timeout, so that it
 * cannot be answered beside new requests. */
inline constexpr double heavyOverloadRatio = 1.75;
/** Inverse weight of a sample in the mean start interval that the rate is compared with. */
inline constexpr double startIntervalShare = 32;
/** Flows that only the target knows, with data that waits for a slot. Their callers and balancers repeat the data. */
inline constexpr std::size_t maxUnknownRequests = 256;
/** Consecutive reset requests after which a target counts as faulty. Single resets come from flows that were idle for
 * too long. */
inline constexpr std::uint32_t faultyTargetResets = 3;
/** Interval between flows that are sent to a faulty target as probes; its recovery is detected within this time. */
inline constexpr Duration faultyProbeInterval = milliseconds(300);
/** Requests delivered to the target beyond its slots, so that no slot is idle between two requests. */
inline constexpr std::uint32_t slotOversubscription = 1;
/** Service time that is assumed before the target has answered. The users' specifications list service times of 5 to 39
 * ms. */
inline constexpr Duration initialServiceTime = milliseconds(30);
/** Share of a route's mean service time of the last minute below which a target does not count as faster. A target that
 * answers errors quickly would attract more of them. */
inline constexpr double lowestSpeedShare = 0.5;
inline constexpr Duration longTermSpeed = seconds(60); ///< Memory of that mean.
/** Samples from which the service time is known. With a spread of half of the mean its error is an eighth. */
inline constexpr std::uint32_t minSpeedSamples = 16;
inline constexpr Duration speedLifetime = seconds(10); ///< Age at which a service time is unknown again.
/** Samples at low concurrency from which the baselines count as measured; their error is taken into account. */
inline constexpr std::uint32_t minBaselineSamples = 12;
/** Samples of a trial of a lower limit. The baselines may follow from them; with a spread of half of the mean their
 * error is a twelfth. */
inline constexpr std::uint32_t minTrialSamples = 36;
/** Inverse of the share of the slots up to which concurrency is low. */
inline constexpr std::uint32_t lowConcurrencyShare = 3;
/** Samples at the limit from which they are evaluated. With a spread of half of the mean the error is a twelfth. */
inline constexpr std::uint32_t minCapacityBatch = 36;
inline constexpr std::uint32_t capacityBatchStep = 12; ///< Samples between two evaluations.
inline constexpr std::uint32_t maxCapacityBatch = 192; ///< With the same spread the error is 4 %.
/** Samples at the limit, and time without a change, after which a lower limit is tried because no baseline was
 * measured: the target was busy since it was first seen. A burst at the start is no reason for a trial. */
inline constexpr std::uint32_t unmeasuredTrialSamples = 96;
inline constexpr Duration unmeasuredTrialDelay = seconds(10);
/** Time after which an incomplete batch is dropped, since its samples no longer describe the same target. */
inline constexpr Duration capacityBatchLifetime = seconds(5);
/** Throughput at a limit, as a share of the one without slowdown, from which the limit is not lowered. Smaller
 * differences cannot be told from the spread of the service times. */
inline constexpr double capacityDeadZone = 0.85;
/** Time after full throughput at a limit for which no lower one is tried. When a whole service slows down, each of its
 * targets would lose up to half of its throughput in a trial; slowdowns of some seconds end before it. */
inline constexpr Duration fullLimitLifetime = seconds(10);
/** Time after which a trial that did not end is given up, because the target was seldom busy. */
inline constexpr Duration maxTrialTime = seconds(10);
/** Interval after a trial of a lower limit that gave less throughput, which doubles up to the longest one. A trial
 * takes about a second at two thirds of the throughput, so that the longest one bounds its cost to 2 %. */
inline constexpr Duration minTrialInterval = seconds(1);
inline constexpr Duration maxTrialInterval = seconds(16);
/** Interval between two probes of a higher limit, which doubles up to the longest one while none gains throughput. A
 * limit of one returns to eight within some seconds. */
inline constexpr Duration minProbeInterval = milliseconds(500);
inline constexpr Duration maxProbeInterval = seconds(8);
/** Time without a change after which one request more is tried although the baselines show no gain. They may be wrong;
 * the interval doubles while no probe gains, so that the cost stays below 1 %. */
inline constexpr Duration minBlindProbeInterval = seconds(8);
inline constexpr Duration maxBlindProbeInterval = seconds(32);
/** Age up to which a baseline is trusted more than a single trial. */
inline constexpr Duration baselineFreshness = seconds(3);
inline constexpr std::size_t maxServiceTimes = 256; ///< Routes for which a service time is kept; a service has a few.
/** Part of the latency objective reserved for the network between caller and agent in both directions: 3 ms each way
 * and two hops. */
inline constexpr Duration callerNetworkDelay = milliseconds(10);
/** Time from a caller's opening packet to its first retransmission. */
inline constexpr Duration firstRetransmissionAge = milliseconds(200);
/** Time from a caller's opening packet to its second retransmission. */
inline constexpr Duration secondRetransmissionAge = milliseconds(600);
/** Time without any answer after which slots no longer count as busy. */
inline constexpr Duration slotAnswerTimeout = milliseconds(400);
/** Distance in bytes above which no earlier byte of a caller can be missing: callers have at most 16 packets of 1,200
 * bytes in flight, counted twice for callers that count only what the target has not received. */
inline constexpr std::int64_t maxTransferGap = std::int64_t { 2 } * 16 * 1200;
/** Separate ranges of bytes that are remembered for one transfer; as many as a caller has packets in flight. */
inline constexpr std::size_t maxTransferRanges = 16;
/** Requests of at most this size in bytes wait for a slot as a whole: 16 packets of 1,200 bytes, which callers send
 * without an acknowledgement. */
inline constexpr std::uint64_t maxWholeRequestSize = std::uint64_t { 16 } * 1200;
/** Time for which the last packet of a transfer waits for earlier ones. Callers retransmit a missing packet after 200
 * and 600 ms; 100 ms are added for a narrow link. */
inline constexpr Duration transferHoldLimit = milliseconds(700);
/** Silence after which a transfer no longer counts as in progress; two of the callers' longest retransmission interval
 * (1.6 s). */
inline constexpr Duration transferIdleLimit = milliseconds(3200);
/** Maximum time that an agent that ends waits for running requests and transfers. */
inline constexpr Duration requestDrainTimeout = milliseconds(1500);

// Queue in front of a balancer's link.

/** Bytes that leave without waiting after the link was idle; 13 ms at 10 Mbit/s, so that a tick fills such a link. */
inline constexpr std::int64_t egressBurstBytes = 16384;
/** Bytes that a flow sends in one turn, at least one datagram of `fragmentSize`. */
inline constexpr std::int64_t egressQuantumBytes = 1500;
/** Time that the link takes for a full queue. Callers retransmit after 200 ms, so that more would be sent twice. */
inline constexpr Duration egressQueueTime = milliseconds(200);
/** Age at which a waiting datagram is dropped; its sender retransmits it by then. */
inline constexpr Duration egressMaxAge = milliseconds(200);
/** Data bytes of a packet up to which it is small: most requests, and all acknowledgements. */
inline constexpr std::uint16_t smallPacketBytes = 300;

// Paths between failure domains (docs/design/broken-paths.md).

/** Interval between two evaluations of the paths; short against the callers' first retransmission after 200 ms. */
inline constexpr Duration pathUpdateInterval = milliseconds(50);
/** Time without messages after which a path is broken; a caller whose request was lost retransmits it after 600 and
 * 1,400 ms, and the second of these goes through a relay. */
inline constexpr Duration pathSilence = milliseconds(800);
/** Time by which the sender's and the receiver's domain must have had other messages later than those of a broken path;
 * larger than the delay between two reports on a pair. */
inline constexpr Duration pathActivityLead = milliseconds(400);
/** Age of a report up to which it counts for a decision; a stamp to the third domain and one from there. */
inline constexpr Duration pathReportMaxAge = milliseconds(600);
inline constexpr Duration pathReportLifetime = seconds(3); ///< Age from which the state of a path is unknown again.
/** Time for which messages arrive again before a path counts as healed, and longest gap in that time. */
inline constexpr Duration pathHealTime = milliseconds(500);
/** Delay of a tick from which the process was paused: half of `pathSilence`. */
inline constexpr Duration pathPause = milliseconds(400);
/** Assumed delay of a report on its way, from its sender's tick to its receiver. */
inline constexpr Duration pathReportDelay = milliseconds(5);
/** Difference up to which the times in two reports are the same. Delays of messages vary, by the queue of a busy
 * process or link. */
inline constexpr Duration pathReportTolerance = milliseconds(50);
/** A path is broken only after this many times its usual silence. If all processes send their stamps at the same times,
 * silence varies between zero and twice the mean. */
inline constexpr std::int64_t usualSilenceFactor = 3;
/** The same for a path with few stamps. If a single process sends a single one in each round, the loss of one is a
 * silence of four times the mean. */
inline constexpr std::int64_t sparseSilenceFactor = 5;
/** Successive updates at which a path has to look broken. All processes may send their stamps at about the same time,
 * and the first of them to arrive can be one that heard less than the others. */
inline constexpr std::uint32_t pathConfirmations = 2;
/** Stamps in one round of all processes below which a path has few. With ten, it is unlikely that all of them are lost
 * or went to other domains. */
inline constexpr std::size_t minRoundStamps = 10;
/** Inverse weight of a sample in the usual silence, taken at each evaluation: a mean over 6 s. */
inline constexpr std::int64_t usualSilenceWeight = 128;
/** Usual silence above which the state of a path is unknown; its messages are too rare to tell in `pathSilence`. */
inline constexpr Duration maxUsualSilence = milliseconds(300);
inline constexpr std::size_t maxPathReports = 16; ///< Reports in one stamp; 256 bytes.
inline constexpr std::size_t maxPaths = 1024; ///< Pairs of domains that are tracked; 32 domains.
/** Members up to which each stamp carries `maxPathReports`. In larger fleets the stamps of every second round carry
 * `largeFleetReports`: with the stamps about rotation, that is 10.1 of the 10.24 KB/s that a process may use. */
inline constexpr std::size_t maxFullReports = 1000;
inline constexpr std::size_t largeFleetReports = 3;
/** Minimum interval between two rounds of stamps because a path broke. */
inline constexpr Duration pathRoundInterval = milliseconds(100);
/** Time after which the relay of a receiver changes; a retransmission, after 200 ms at the earliest, takes the other.
 */
inline constexpr Duration relayTurn = milliseconds(200);
inline constexpr std::size_t maxRelayCandidates = 32; ///< Agents that are compared as relays of a receiver.
/** Relayed messages may use one part in this many of the link's bandwidth, at the sender and at the relay. */
inline constexpr std::int64_t relayLinkShare = 8;
inline constexpr std::size_t flowBytes = 16; ///< Size of a flow in a message.
inline constexpr std::size_t viewItemBytes = 200; ///< Approximate size of an item of the view in a message.
inline constexpr Duration maxPathAge = seconds(3600); ///< Longest time in a report, so that it fits into 32 bits.

// Shell.
inline constexpr Duration tickInterval = milliseconds(10); ///< Resolution of the cores' timers.
/** Length of a pause of the process after which the packets that wait in its sockets are discarded. Callers retransmit
 * after 200 ms and give up after 1.4 s. */
inline constexpr Duration stalePacketAge = milliseconds(1000);
/** Bytes of a datagram between processes; fits the MTU of common links. */
inline constexpr std::size_t fragmentSize = 1400;
/** Time after which the fragments of an incomplete message are dropped. */
inline constexpr Duration fragmentLifetime = seconds(1);
inline constexpr std::size_t maxFragments = 2048; ///< Maximum number of fragments of one message.
inline constexpr std::size_t maxPartialMessages = 64; ///< Maximum number of incomplete messages.
inline constexpr std::uint32_t maxLogLinesPerSecond = 40; ///< Log lines of one kind that a process writes per second.

} // namespace hawthorncroft
