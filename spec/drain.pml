/*
 * Drain, a failure domain taken out, pauses, partitions and isolation.
 *
 * One change of the operations document concerns the target beside agent 2: it drains, or its failure domain is taken
 * out. Time passes in ticks of about one second. News reaches every process that runs and has contact within a tick, so
 * LIMIT ticks after the change stand for the 3 s of P4 and P8.
 */

#define PROCESSES 4 /* Balancers 0 and 1; agents 2 and 3. */
#define LEAVING 2 /* The agent of the leaving target. */
#define LIMIT 2 /* Ticks until the change must have effect. */
#ifndef FAULTS
#define FAULTS 2 /* Pauses, restarts and changes of the network together. */
#endif

mtype:change = { Drain, Out };
mtype:network = { Whole, Split, Cut }; /* Split: even and odd processes apart. Cut: balancer 0 alone. */
mtype:reply = { NoReply, SameView, NewerView };

typedef Process {
    bool knows; /* Holds the change. */
    bool paused;
    bool longPause; /* A tick passed during the pause. */
    bool unconfirmed; /* Forwards nothing until its view is confirmed. */
    mtype:reply reply; /* Reply to its stamp, on its way. */
    bool replyFresh; /* The stamp was sent after the last pause and less than a tick ago. */
};

Process p[PROCESSES];
mtype:change change;
mtype:network network;
byte age; /* Ticks since the change, 0 before it; only ticks without a split count. */
byte faults;
bool flow; /* A flow that the leaving agent admitted and that has not ended. */
bool agentGone; /* The leaving agent has shut down. */

/* For the properties only. */
bool newWorkLate; /* The leaving target got new work although it was too late. */
bool newWorkKnown; /* The leaving target got new work although its agent knew. */
bool sentLate; /* A balancer sent a packet to the failure domain although it was too late. */
bool deliveredKnown; /* The agent delivered a packet to the target although it knew. */
bool interrupted; /* The agent shut down with an open flow. */

ltl P8_no_new_work_once_known { [] !newWorkKnown }
ltl P8_no_new_work_after_the_limit { [] !newWorkLate }
ltl P4_nothing_delivered_once_known { [] !deliveredKnown }
ltl P4_nothing_sent_after_the_limit { [] !sentLate }
ltl P9_shutdown_interrupts_nothing { [] !interrupted }

#define SIDE(i) ((i) % 2)
#define CONTACT(i, j) (network == Whole || (network == Split && SIDE(i) == SIDE(j)) || (network == Cut && i != 0 && j != 0))
#define PLATFORM(i) (network == Whole || (network == Split && SIDE(i) == 1) || (network == Cut && i != 0))
#define RUNS(i) (!p[i].paused && !(i == LEAVING && agentGone))
#define LATE (age >= LIMIT && network != Split)

#ifdef PAUSE_NOT_CONFIRMED
#define SERVES(i) RUNS(i)
#else
#define SERVES(i) (RUNS(i) && !p[i].unconfirmed)
#endif

/* ---- Propagation and time ---- */

#define KNOWN_TO(i, j) (p[j].knows && RUNS(j) && CONTACT(i, j))
#define CAN_LEARN(i) (RUNS(i) && !p[i].knows && age > 0 && \
    (PLATFORM(i) || KNOWN_TO(i, 0) || KNOWN_TO(i, 1) || KNOWN_TO(i, 2) || KNOWN_TO(i, 3)))
/* A process that waits for a confirmation gets its news with the reply. */
#define MUST_LEARN(i) (CAN_LEARN(i) && !p[i].unconfirmed)

inline newsArrives(i)
{
    atomic { CAN_LEARN(i) && !p[i].unconfirmed -> p[i].knows = true; printf("process %d learns of the change\n", i) }
}

inline tickOf(i)
{
    if
    :: p[i].paused -> p[i].longPause = true
    :: else
    fi;
    p[i].replyFresh = false
}

inline tick()
{
    atomic {
        (age > 0 || p[0].paused || p[1].paused || p[2].paused || p[3].paused || network == Cut) &&
        !MUST_LEARN(0) && !MUST_LEARN(1) && !MUST_LEARN(2) && !MUST_LEARN(3) ->
        if
        :: age > 0 && age < LIMIT && network != Split -> age++
        :: else
        fi;
        tickOf(0);
        tickOf(1);
        tickOf(2);
        tickOf(3);
#ifndef ISOLATION_IGNORED
        if
        :: network == Cut -> p[0].unconfirmed = true; p[0].reply = NoReply; p[0].replyFresh = false
        :: else
        fi;
#endif
        printf("a tick passes\n")
    }
}

inline operatorChanges()
{
    atomic { age == 0 -> age = 1; printf("operators make the change\n") }
}

/* ---- Pause and confirmation ---- */

inline processPauses(i)
{
    atomic { faults > 0 && RUNS(i) -> faults--; p[i].paused = true; printf("process %d pauses\n", i) }
}

inline processResumes(i)
{
    atomic {
        p[i].paused ->
        p[i].paused = false;
        if
        :: p[i].longPause -> p[i].unconfirmed = true; p[i].replyFresh = false
        :: else
        fi;
        p[i].longPause = false;
        printf("process %d resumes\n", i)
    }
}

#ifdef UNCONFIRMED_PEER_CONFIRMS
#define CONFIRMS(j) RUNS(j)
#else
#define CONFIRMS(j) (RUNS(j) && !p[j].unconfirmed)
#endif

/* Peer j replies to a stamp of process i; the reply reports the peer's view at this moment. */
inline peerReplies(i, j)
{
    atomic {
        RUNS(i) && (p[i].reply == NoReply || (p[i].unconfirmed && !p[i].replyFresh)) && CONFIRMS(j) && CONTACT(i, j) ->
        p[i].reply = (p[j].knows -> NewerView : SameView);
        p[i].replyFresh = true;
        printf("process %d replies to the stamp of process %d\n", j, i)
    }
}

inline replyArrives(i)
{
    atomic {
        RUNS(i) && p[i].reply != NoReply ->
        printf("the reply arrives at process %d\n", i);
        if
        :: p[i].reply == NewerView -> p[i].knows = true
        :: else
        fi;
        if
#ifdef OLD_REPLY_CONFIRMS
        :: true -> p[i].unconfirmed = false
#else
        :: p[i].replyFresh -> p[i].unconfirmed = false
        :: else
#endif
        fi;
        p[i].reply = NoReply;
        p[i].replyFresh = false
    }
}

proctype Member(byte i)
{
end:
    do
    :: newsArrives(i)
    :: processPauses(i)
    :: processResumes(i)
    :: peerReplies(i, (i + 1) % PROCESSES)
    :: peerReplies(i, (i + 2) % PROCESSES)
    :: peerReplies(i, (i + 3) % PROCESSES)
    :: replyArrives(i)
    od
}

/* ---- Packets to the leaving target ---- */

#ifdef BALANCER_SENDS_TO_OUT_DOMAIN
#define SENDS(i) SERVES(i)
#else
#define SENDS(i) (SERVES(i) && !(change == Out && p[i].knows))
#endif
#ifdef DRAIN_NOT_CHECKED
#define ADMITS (SERVES(LEAVING) && !flow)
#else
#define ADMITS (SERVES(LEAVING) && !flow && !p[LEAVING].knows)
#endif
#ifdef OUT_NOT_CHECKED
#define DELIVERS (SERVES(LEAVING) && flow)
#else
#define DELIVERS (SERVES(LEAVING) && flow && !(change == Out && p[LEAVING].knows))
#endif

inline openSent(i)
{
    atomic {
        SENDS(i) && ADMITS ->
        flow = true;
        sentLate = sentLate || (change == Out && LATE);
        newWorkKnown = newWorkKnown || p[LEAVING].knows;
        newWorkLate = newWorkLate || LATE;
        printf("balancer %d sends an open and the leaving agent admits it\n", i)
    }
}

/* A packet of an admitted flow; only packets that the properties could object to change the state. */
inline boundPacketSent(i)
{
    atomic {
        SENDS(i) && change == Out && LATE && !sentLate ->
        sentLate = true;
        printf("balancer %d sends a packet to the failure domain that is out\n", i)
    }
}

inline boundPacketDelivered()
{
    atomic {
        DELIVERS && change == Out && p[LEAVING].knows && !deliveredKnown ->
        deliveredKnown = true;
        printf("the agent delivers a packet to the target that is out\n")
    }
}

inline flowEnds()
{
    atomic { RUNS(LEAVING) && flow -> flow = false; printf("the flow ends\n") }
}

#ifdef SHUTDOWN_DOES_NOT_WAIT
#define MAY_SHUT_DOWN true
#else
#define MAY_SHUT_DOWN (!flow)
#endif

inline agentShutsDown()
{
    atomic {
        RUNS(LEAVING) && change == Drain && p[LEAVING].knows && MAY_SHUT_DOWN ->
        interrupted = flow;
        agentGone = true;
        printf("the leaving agent shuts down\n")
    }
}

proctype Packets()
{
end:
    do
    :: openSent(0)
    :: openSent(1)
    :: boundPacketSent(0)
    :: boundPacketSent(1)
    :: boundPacketDelivered()
    :: flowEnds()
    :: agentShutsDown()
    od
}

/* ---- Faults ---- */

/* The agent's flows end with it here; a feed that its successor adopts is work from before the change. */
inline agentRestarts()
{
    atomic {
        faults > 0 && RUNS(LEAVING) ->
        faults--;
        flow = false;
        p[LEAVING].knows = false;
        p[LEAVING].reply = NoReply;
        p[LEAVING].replyFresh = false;
#ifdef RESTART_SERVES_AT_ONCE
        p[LEAVING].unconfirmed = false;
#else
        p[LEAVING].unconfirmed = true;
#endif
        printf("the leaving agent restarts\n")
    }
}

inline networkBecomes(state)
{
    atomic { faults > 0 && network == Whole -> faults--; network = state; printf("the network becomes %e\n", state) }
}

/* After a split, P4 and P8 hold from its end on. */
inline networkHeals()
{
    atomic {
        network != Whole ->
        if
        :: network == Split && age > 0 -> age = 1
        :: else
        fi;
        network = Whole;
        printf("the network becomes whole\n")
    }
}

proctype Faults()
{
end:
    do
    :: agentRestarts()
    :: networkBecomes(Split)
    :: networkBecomes(Cut)
    :: networkHeals()
    :: tick()
    :: operatorChanges()
    od
}

inline startProcess(i)
{
    p[i].reply = NoReply;
    run Member(i)
}

init
{
    atomic {
        network = Whole;
        if
        :: change = Drain
        :: change = Out
        fi;
        select(faults : 0 .. FAULTS);
        startProcess(0);
        startProcess(1);
        startProcess(2);
        startProcess(3);
        run Packets();
        run Faults()
    }
}
