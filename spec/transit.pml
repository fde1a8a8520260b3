/*
 * Transparent flows: opening at one of several targets, location after a balancer's restart, restarts of agents and
 * targets, and an address that is used again by another service.
 *
 * One flow and TARGETS targets with an agent each. Messages are sets that only grow: an opening packet, an answer or a
 * "not held" can arrive late, in any order and any number of times.
 */

#ifndef TARGETS
#define TARGETS 3
#endif
#ifndef FAULTS
#define FAULTS 3 /* Restarts of agents and targets together. */
#endif
#define NONE TARGETS

mtype:known = { Unknown, Answered, Open }; /* What an agent believes of the flow. */
mtype:held = { Nothing, Half, Whole }; /* What a target holds of the flow. */

typedef Target {
    mtype:held held;
    mtype:known known; /* Of its agent. */
    bool complete; /* The agent saw every flow of this lifetime of its target. */
    bool other; /* The address belongs to another service now. */
    bool young; /* Just started: resets what it does not hold. */
};

Target t[TARGETS];
bool openSent[TARGETS]; /* An opening packet is on its way to this agent. */
bool answered[TARGETS]; /* An answer to it is on its way to the caller. */
bool notHeld[TARGETS]; /* "Not held" is on its way to the balancer. */
byte chosen = NONE; /* Target whose answer the caller took. */
byte cache = NONE; /* Agent that the balancer believes to hold the flow. */
bool over; /* The caller was told that the flow is gone. */
byte faults;

/* For the properties only. */
bool wrongReset; /* The caller was told so although its target held the flow. */
bool strayed; /* A packet of the open flow was handed over as known to a target that the caller did not choose. */
bool wrongService; /* A target of another service took the opening packet. */

ltl T1_open_flow_is_never_reset { [] !wrongReset }
ltl T2_only_the_chosen_target { [] !strayed }
ltl P2_never_another_service { [] !wrongService }

#define IS_OPEN (chosen != NONE && !over)
#define HOLDS(i) (t[i].held == Whole && chosen == i)

#ifdef NO_SERVICE_CHECK
#define SERVES(i) true
#else
#define SERVES(i) (!t[i].other)
#endif
#ifdef ONE_ANSWER_IS_ENOUGH
#define NOBODY_HOLDS (notHeld[0] || notHeld[1] || notHeld[2])
#else
#define NOBODY_HOLDS (notHeld[0] && notHeld[1] && notHeld[2])
#endif

inline tellCaller()
{
    over = true;
    if
    :: HOLDS(chosen) -> wrongReset = true
    :: else
    fi
}

/* ---- Opening ---- */

inline place(i)
{
    atomic { !openSent[i] && chosen == NONE -> openSent[i] = true; printf("opening packet to agent %d\n", i) }
}

inline take(i)
{
    atomic {
        openSent[i] && t[i].held == Nothing && !answered[i] && SERVES(i) ->
        t[i].held = Half;
        t[i].known = Answered;
        answered[i] = true;
        cache = i;
        if
        :: t[i].other -> wrongService = true
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

inline handOver(i)
{
    /* The target takes what acknowledges its own number, and returns everything else. */
    if
    :: t[i].held != Nothing && chosen == i -> t[i].held = Whole; t[i].known = Open; cache = i
    :: else ->
        t[i].known = Unknown;
        if
#ifdef RESET_OF_TARGET_FORWARDED
        :: t[i].young -> tellCaller()
#endif
        :: else -> notHeld[i] = true; cache = (cache == i -> NONE : cache)
        fi
    fi
}

inline packetAt(i)
{
    if
    :: t[i].known == Open -> handOver(i)
    :: t[i].known == Answered ->
        if
#ifdef CHOICE_NOT_CHECKED
        :: true ->
            if
            :: chosen != i -> strayed = true
            :: else
            fi;
            handOver(i)
#else
        :: chosen == i -> handOver(i)
        :: chosen != i -> notHeld[i] = true; cache = (cache == i -> NONE : cache)
#endif
        fi
    :: t[i].known == Unknown && t[i].complete -> notHeld[i] = true
    :: t[i].known == Unknown && !t[i].complete -> handOver(i)
    fi
}

/* A balancer that knows a holder sends the packet there; otherwise it asks any agent. */
inline packetToHolder(i)
{
    atomic { IS_OPEN && cache == i -> printf("packet to agent %d\n", i); packetAt(i) }
}

inline question(i)
{
    atomic { IS_OPEN && cache == NONE && !notHeld[i] -> printf("question to agent %d\n", i); packetAt(i) }
}

inline declareLost()
{
    atomic {
        IS_OPEN && cache == NONE && NOBODY_HOLDS -> printf("the flow is lost\n"); tellCaller()
    }
}

/* ---- Restarts ---- */

inline restartAgent(i)
{
    atomic {
        faults < FAULTS -> faults++;
        t[i].known = Unknown;
#ifndef RESTARTED_AGENT_KNOWS_ALL
        t[i].complete = false;
#endif
        printf("agent %d starts again\n", i)
    }
}

inline restartTarget(i)
{
    atomic {
        faults < FAULTS -> faults++;
        t[i].held = Nothing;
        t[i].young = true;
        if
        :: t[i].other = true
        :: true
        fi;
        printf("target %d starts again\n", i)
    }
}

inline restartBalancer()
{
    atomic { cache != NONE -> cache = NONE; printf("the balancer forgets\n") }
}

#define EACH(step) :: step(0) :: step(1) :: step(2)

init
{
    atomic {
        t[0].held = Nothing; t[0].known = Unknown; t[0].complete = true;
        t[1].held = Nothing; t[1].known = Unknown; t[1].complete = true;
        t[2].held = Nothing; t[2].known = Unknown; t[2].complete = true;
    }
    do
    EACH(place)
    EACH(take)
    EACH(choose)
    EACH(packetToHolder)
    EACH(question)
    EACH(restartAgent)
    EACH(restartTarget)
    :: restartBalancer()
    :: declareLost()
    :: over -> break
    od
}
