/*
 * Lost flows of transparent callers: inventory updates of an agent to the two locators of a flow, the locators' absence
 * reports, and the decision of a balancer that does not know the flow.
 *
 * One flow, one agent with its target, two locators. An inventory update can be lost or delayed by a disconnected link.
 * At most once in a run, either one link of the agent (to a locator or to the balancer) is disconnected, or its whole
 * failure domain is partitioned; in the latter case the locators receive nothing from that domain.
 *
 * Time is abstract except for what SETTLED states, which the times of table/transit_limits.h ensure:
 * - Over a working link, an inventory update or the heartbeat that shows its loss arrives before a locator sends an
 *   absence report.
 * - An inventory update that is not lost arrives before the caller's answer to the target.
 * - A flow that opens within a partitioned domain reaches no balancer outside of it before the locators' leases on the
 *   agent expire.
 */

#ifndef FAULTS
#define FAULTS 2 /* Process ends, disconnects and lost updates together. */
#endif

mtype:flowState = { NoFlow, HalfOpen, Established }; /* State of the flow at the target. */
mtype:status = { NoReport, Unknown, Stale, RuledOut }; /* The agent's status in a locator's absence report. */

typedef Locator {
    bool up;
    bool hasEntry; /* It has a holder entry for the flow. */
    bool gap; /* A gap in the sequence of inventory updates was detected. */
    bool complete; /* The last snapshot came from an agent that knew every flow of its target. */
    bool live; /* The agent's lease has not expired. */
    bool finalReceived; /* The agent's final update has arrived: its process has ended. */
    bool disconnected; /* The link from the agent is disconnected. */
    bool inFlight; /* An inventory update is in flight. */
    bool outOfSync; /* An update was lost, or the agent restarted, since the last snapshot. */
    mtype:status status;
};

Locator l[2];
mtype:flowState target = NoFlow;
bool agentUp = true;
bool agentKnowsFlow;
bool agentComplete = true; /* The agent has seen every flow of its target. */
bool agentUnreachable; /* The balancer cannot reach the agent. */
bool domainPartitioned; /* The agent's failure domain is partitioned from the others. */
bool notHeld; /* The agent replied that its target does not hold the flow. */
bool hadDisconnect; /* A link or domain was disconnected; at most once in a run. */
bool isOpened; /* The flow has been opened; at most once in a run. */
bool isReset; /* The balancer has reset the flow at the caller. */
byte faults;

bool wrongReset; /* For the property: the flow was reset although the target held it. */

ltl L1_open_flow_is_never_reset { [] !wrongReset }

#define FAULT (faults < FAULTS)
#define UPDATE_ARRIVED(i) (!l[i].inFlight || l[i].disconnected || !l[i].up)
/* A new agent process sends its snapshot before it admits flows. */
#define SNAPSHOT_ARRIVED(i) (!l[i].outOfSync || l[i].disconnected || !l[i].up)
#define IS_LOCATING (isOpened && !isReset)
#ifdef WORD_BEFORE_NOTES_SETTLE
#define SETTLED(i) true
#else
#define SETTLED(i) (!(domainPartitioned && l[i].live) && \
    (l[i].disconnected || (!l[i].inFlight && (!agentUp || !l[i].outOfSync))))
#endif

/* ---- The flow ---- */

inline admitOpening()
{
    atomic {
        agentUp && target == NoFlow && !isOpened && SNAPSHOT_ARRIVED(0) && SNAPSHOT_ARRIVED(1) ->
        target = HalfOpen;
        agentKnowsFlow = true;
#ifndef NOTE_AFTER_OPENING
        l[0].inFlight = true;
        l[1].inFlight = true;
#endif
        printf("the agent admits the opening packet\n")
    }
}

inline openFlow()
{
    atomic {
        target == HalfOpen && UPDATE_ARRIVED(0) && UPDATE_ARRIVED(1) ->
        target = Established;
        isOpened = true;
        printf("the flow opens\n")
    }
}

#ifdef NOTE_AFTER_OPENING
inline announceLate(i)
{
    atomic { agentUp && agentKnowsFlow && isOpened && !l[i].hasEntry && !l[i].inFlight -> l[i].inFlight = true }
}
#endif

/* ---- Inventory updates ---- */

inline deliverUpdate(i)
{
    atomic {
        l[i].inFlight && !l[i].disconnected && l[i].up ->
        l[i].inFlight = false;
        l[i].hasEntry = true;
        printf("locator %d adds a holder entry\n", i)
    }
}

inline loseUpdate(i)
{
    atomic {
        l[i].inFlight && FAULT ->
        faults++;
        l[i].inFlight = false;
        l[i].outOfSync = true;
        printf("the inventory update to locator %d is lost\n", i)
    }
}

inline heartbeat(i)
{
    atomic {
        agentUp && l[i].up && !l[i].disconnected && (!l[i].live || (l[i].outOfSync && !l[i].gap)) ->
        l[i].live = true;
        if
#ifdef GAP_IGNORED
        :: l[i].outOfSync -> l[i].outOfSync = false
#else
        :: l[i].outOfSync -> l[i].gap = true; l[i].finalReceived = false
#endif
        :: else
        fi;
        printf("locator %d receives a heartbeat of the agent\n", i)
    }
}

inline snapshot(i)
{
    atomic {
        agentUp && l[i].up && !l[i].disconnected && l[i].gap ->
        l[i].gap = false;
        l[i].outOfSync = false;
        l[i].inFlight = false;
        l[i].finalReceived = false;
        l[i].live = true;
        l[i].complete = agentComplete;
        l[i].hasEntry = (l[i].hasEntry || agentKnowsFlow);
        printf("locator %d receives a snapshot\n", i)
    }
}

inline leaseExpires(i)
{
    atomic {
        l[i].live && (l[i].disconnected || !agentUp) ->
        l[i].live = false;
        printf("the agent's lease at locator %d expires\n", i)
    }
}

/* ---- Absence reports and decision ---- */

inline reportAbsence(i)
{
    atomic {
        IS_LOCATING && l[i].up && l[i].status == NoReport && SETTLED(i) ->
        if
        :: l[i].gap || l[i].hasEntry || !l[i].complete -> l[i].status = Unknown
        :: else ->
            if
#ifndef CUT_DOMAIN_IS_SILENT
            :: !l[i].live && domainPartitioned -> l[i].status = Unknown
            :: l[i].live || (l[i].finalReceived && !domainPartitioned) -> l[i].status = RuledOut
#else
            :: l[i].live || l[i].finalReceived -> l[i].status = RuledOut
#endif
            :: else -> l[i].status = Stale
            fi
        fi;
        printf("locator %d reports the agent as %e\n", i, l[i].status)
    }
}

inline queryAgent()
{
    atomic {
        IS_LOCATING && agentUp && !agentUnreachable && !notHeld && !agentKnowsFlow ->
        if
        :: agentComplete -> notHeld = true
        :: !agentComplete && target == NoFlow -> notHeld = true
        :: !agentComplete && target != NoFlow -> agentKnowsFlow = true
        fi;
        printf("the agent is queried\n")
    }
}

#define BOTH_REPORTED (l[0].status != NoReport && l[1].status != NoReport)
#define BOTH_RULED_OUT (l[0].status == RuledOut && l[1].status == RuledOut)
#define ANY_UNKNOWN (l[0].status == Unknown || l[1].status == Unknown)
#define ONE_REPORTED_OTHER_DOWN ((l[0].status != NoReport && !l[1].up) || (l[1].status != NoReport && !l[0].up))
#define CANNOT_QUERY (!agentUp || agentUnreachable)
#ifdef LESSER_DOUBT_COUNTS
#define IS_LOST ((l[0].status == RuledOut || l[1].status == RuledOut) || notHeld)
#else
#ifdef SILENCE_IS_ENOUGH
#define IS_LOST (notHeld || BOTH_RULED_OUT || ((BOTH_REPORTED || ONE_REPORTED_OTHER_DOWN) && CANNOT_QUERY))
#else
#define IS_LOST (notHeld || BOTH_RULED_OUT || \
    ((BOTH_REPORTED || ONE_REPORTED_OTHER_DOWN) && !ANY_UNKNOWN && CANNOT_QUERY))
#endif
#endif

inline declareLost()
{
    atomic {
        IS_LOCATING && IS_LOST ->
        isReset = true;
        if
        :: target == Established -> wrongReset = true
        :: else
        fi;
        printf("the balancer declares the flow lost\n")
    }
}

inline locateAgain()
{
    atomic {
        IS_LOCATING && (l[0].status != NoReport || l[1].status != NoReport || notHeld) ->
        l[0].status = NoReport;
        l[1].status = NoReport;
        notHeld = false
    }
}

/* ---- Faults ---- */

inline agentEnds(isPlanned)
{
    atomic {
        agentUp && FAULT -> faults++;
        if
        :: isPlanned && agentComplete && !l[0].disconnected && !l[0].gap && !l[0].outOfSync && !l[0].inFlight &&
            l[0].up -> l[0].finalReceived = true
        :: else
        fi;
        if
        :: isPlanned && agentComplete && !l[1].disconnected && !l[1].gap && !l[1].outOfSync && !l[1].inFlight &&
            l[1].up -> l[1].finalReceived = true
        :: else
        fi;
        agentUp = false;
        agentKnowsFlow = false;
        if
        /* The answer to the opening packet passes through the agent, so it is lost too. */
        :: target == HalfOpen -> target = NoFlow
        :: else
        fi;
        printf("the agent ends\n")
    }
}

inline agentStarts()
{
    atomic {
        !agentUp -> agentUp = true;
#ifndef RESTARTED_AGENT_IS_WHOLE
        agentComplete = false;
#endif
        /* The locators do not know this incarnation yet. */
        l[0].outOfSync = true;
        l[1].outOfSync = true;
        printf("the agent starts\n")
    }
}

#ifdef REGISTRATION_SHOWS_START
/* The target registers, possibly long after it started. */
inline targetRegisters()
{
    atomic { agentUp && !agentComplete -> agentComplete = true; printf("the target registers\n") }
}
#endif

inline locatorEnds(i)
{
    atomic { l[i].up && FAULT -> faults++; l[i].up = false; l[i].status = NoReport; printf("locator %d ends\n", i) }
}

inline locatorStarts(i)
{
    atomic {
        !l[i].up -> l[i].up = true;
        l[i].hasEntry = false;
        l[i].finalReceived = false;
        l[i].live = false;
        l[i].inFlight = false;
#ifndef RESTARTED_LOCATOR_VOUCHES
        l[i].gap = true;
#else
        l[i].gap = false;
        l[i].outOfSync = false;
#endif
        printf("locator %d starts\n", i)
    }
}

inline disconnectLink(i)
{
    atomic {
        FAULT && !hadDisconnect ->
        faults++;
        hadDisconnect = true;
        l[i].disconnected = true;
        printf("the link to locator %d is disconnected\n", i)
    }
}

inline reconnectLink(i)
{
    atomic {
        l[i].disconnected && !domainPartitioned ->
        l[i].disconnected = false;
        printf("the link to locator %d is reconnected\n", i)
    }
}

inline targetCrashes()
{
    atomic { target == Established && FAULT -> faults++; target = NoFlow; printf("the target crashes\n") }
}

inline disconnectBalancer()
{
    atomic {
        FAULT && !hadDisconnect ->
        faults++;
        hadDisconnect = true;
        agentUnreachable = true;
        printf("the balancer is disconnected from the agent\n")
    }
}

inline partitionDomain()
{
    atomic {
        FAULT && !hadDisconnect -> faults++; hadDisconnect = true;
        domainPartitioned = true;
        agentUnreachable = true;
        l[0].disconnected = true;
        l[1].disconnected = true;
        printf("the failure domain is partitioned\n")
    }
}

inline reconnectAll()
{
    atomic {
        domainPartitioned || agentUnreachable -> domainPartitioned = false;
        agentUnreachable = false;
        l[0].disconnected = false;
        l[1].disconnected = false;
        printf("the partition ends\n")
    }
}

#define EACH(step) :: step(0) :: step(1)

init
{
    atomic {
        l[0].up = true; l[0].complete = true; l[0].live = true; l[0].status = NoReport;
        l[1].up = true; l[1].complete = true; l[1].live = true; l[1].status = NoReport;
    }
    do
    :: admitOpening()
    :: openFlow()
#ifdef NOTE_AFTER_OPENING
    EACH(announceLate)
#endif
    EACH(deliverUpdate)
    EACH(loseUpdate)
    EACH(heartbeat)
    EACH(snapshot)
    EACH(leaseExpires)
    EACH(reportAbsence)
    :: queryAgent()
    :: declareLost()
    :: locateAgain()
    :: agentEnds(true)
    :: agentEnds(false)
    :: agentStarts()
#ifdef REGISTRATION_SHOWS_START
    :: targetRegisters()
#endif
    EACH(locatorEnds)
    EACH(locatorStarts)
    EACH(disconnectLink)
    EACH(reconnectLink)
    :: targetCrashes()
    :: disconnectBalancer()
    :: partitionDomain()
    :: reconnectAll()
    :: isReset -> break
    od
}
