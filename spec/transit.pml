/*
 * Transparent flows: opening at one of several targets, locating the holder after a balancer's restart, restarts of
 * agents and targets, and an address that is reassigned to another service.
 *
 * One flow and TARGETS targets with an agent each. Sent messages are kept in sets that only grow: an opening packet, an
 * answer or a "not held" reply can arrive late, in any order and any number of times.
 */

#ifndef TARGETS
#define TARGETS 3
#endif
#ifndef FAULTS
#define FAULTS 3 /* Restarts of agents and targets together. */
#endif
#define NONE TARGETS

mtype:belief = { Unknown, Answered, Open }; /* State of the flow as the agent believes it to be. */
mtype:flowState = { NoFlow, HalfOpen, Established }; /* State of the flow at a target. */

typedef Target {
    mtype:flowState flowState;
    mtype:belief belief; /* The agent's belief about the flow. */
    bool complete; /* The agent has seen every flow of this incarnation of its target. */
    bool isReassigned; /* The address now belongs to another service. */
    bool justStarted; /* Restarted: answers packets of unknown flows with a reset. */
};

Target t[TARGETS];
bool openSent[TARGETS]; /* An opening packet was sent to this agent. */
bool answered[TARGETS]; /* An answer to it was sent to the caller. */
bool notHeld[TARGETS]; /* A "not held" reply was sent to the balancer. */
byte chosen = NONE; /* Target whose answer the caller accepted. */
byte cache = NONE; /* Agent that the balancer believes to hold the flow. */
bool isReset; /* The caller has received a reset. */
byte faults;

/* For the properties only. */
bool wrongReset; /* The caller was reset although its target held the flow. */
/* An agent that knows the flow delivered one of its packets to a target that the caller did not choose. */
bool misdelivered;
bool wrongService; /* A target of another service accepted the opening packet. */

ltl T1_open_flow_is_never_reset { [] !wrongReset }
ltl T2_only_the_chosen_target { [] !misdelivered }
ltl P2_never_another_service { [] !wrongService }

#define IS_OPEN (chosen != NONE && !isReset)
#define HOLDS(i) (t[i].flowState == Established && chosen == i)

#ifdef NO_SERVICE_CHECK
#define SERVES(i) true
#else
#define SERVES(i) (!t[i].isReassigned)
#endif
#ifdef ONE_ANSWER_IS_ENOUGH
#define ALL_NOT_HELD (notHeld[0] || notHeld[1] || notHeld[2])
#else
#define ALL_NOT_HELD (notHeld[0] && notHeld[1] && notHeld[2])
#endif

inline resetCaller()
{
    isReset = true;
    if
    :: HOLDS(chosen) -> wrongReset = true
    :: else
    fi
}

/* ---- Opening ---- */

inline sendOpen(i)
{
    atomic { !openSent[i] && chosen == NONE -> openSent[i] = true; printf("opening packet to agent %d\n", i) }
}

inline answerOpen(i)
{
    atomic {
        openSent[i] && t[i].flowState == NoFlow && !answered[i] && SERVES(i) ->
        t[i].flowState = HalfOpen;
        t[i].belief = Answered;
        answered[i] = true;
        cache = i;
        if
        :: t[i].isReassigned -> wrongService = true
        :: else
        fi;
        printf("target %d answers\n", i)
    }
}

inline choose(i)
{
    atomic { answered[i] && chosen == NONE -> chosen = i; printf("the caller chooses target %d\n", i) }
}

/* ---- Packets of the flow ---- */

inline deliverToTarget(i)
{
    /* The target accepts a packet that acknowledges its own sequence number and rejects any other. */
    if
    :: t[i].flowState != NoFlow && chosen == i -> t[i].flowState = Established; t[i].belief = Open; cache = i
    :: else ->
        t[i].belief = Unknown;
        if
#ifdef RESET_OF_TARGET_FORWARDED
        :: t[i].justStarted -> resetCaller()
#endif
        :: else -> notHeld[i] = true; cache = (cache == i -> NONE : cache)
        fi
    fi
}

inline packetArrives(i)
{
    if
    :: t[i].belief == Open -> deliverToTarget(i)
    :: t[i].belief == Answered ->
        if
#ifdef CHOICE_NOT_CHECKED
        :: true ->
            if
            :: chosen != i -> misdelivered = true
            :: else
            fi;
            deliverToTarget(i)
#else
        :: chosen == i -> deliverToTarget(i)
        :: chosen != i -> notHeld[i] = true; cache = (cache == i -> NONE : cache)
#endif
        fi
    :: t[i].belief == Unknown && t[i].complete -> notHeld[i] = true
    :: t[i].belief == Unknown && !t[i].complete -> deliverToTarget(i)
    fi
}

/* A balancer that knows a holder sends the packet there; otherwise it queries the agents, in any order. */
inline packetToHolder(i)
{
    atomic { IS_OPEN && cache == i -> printf("packet to agent %d\n", i); packetArrives(i) }
}

inline queryAgent(i)
{
    atomic { IS_OPEN && cache == NONE && !notHeld[i] -> printf("query to agent %d\n", i); packetArrives(i) }
}

inline declareLost()
{
    atomic {
        IS_OPEN && cache == NONE && ALL_NOT_HELD -> printf("the balancer declares the flow lost\n"); resetCaller()
    }
}

/* ---- Restarts ---- */

inline restartAgent(i)
{
    atomic {
        faults < FAULTS -> faults++;
        t[i].belief = Unknown;
#ifndef RESTARTED_AGENT_KNOWS_ALL
        t[i].complete = false;
#endif
        printf("agent %d restarts\n", i)
    }
}

inline restartTarget(i)
{
    atomic {
        faults < FAULTS -> faults++;
        t[i].flowState = NoFlow;
        t[i].justStarted = true;
        if
        :: t[i].isReassigned = true
        :: true
        fi;
        printf("target %d restarts\n", i)
    }
}

inline restartBalancer()
{
    atomic { cache != NONE -> cache = NONE; printf("the balancer restarts\n") }
}

#define EACH(step) :: step(0) :: step(1) :: step(2)

init
{
    atomic {
        t[0].flowState = NoFlow; t[0].belief = Unknown; t[0].complete = true;
        t[1].flowState = NoFlow; t[1].belief = Unknown; t[1].complete = true;
        t[2].flowState = NoFlow; t[2].belief = Unknown; t[2].complete = true;
    }
    do
    EACH(sendOpen)
    EACH(answerOpen)
    EACH(choose)
    EACH(packetToHolder)
    EACH(queryAgent)
    EACH(restartAgent)
    EACH(restartTarget)
    :: restartBalancer()
    :: declareLost()
    :: isReset -> break
    od
}
