/*
 * Drain, a failure domain taken out of service, pauses, partitions and isolation.
 *
 * One change of the operations document concerns the target beside agent 2: it drains, or its failure domain is taken
 * out of service. Time passes in ticks of about one second. A change reaches every running, connected process within a
 * tick, so LIMIT ticks after the change represent the 3 s of P4 and P8.
 */

#define PROCESSES 4 /* Balancers 0 and 1; agents 2 and 3. */
#define LEAVING 2 /* The agent of the target that is drained or out of service (the leaving target). */
#define LIMIT 2 /* Ticks until the change must take effect. */
#ifndef FAULTS
#define FAULTS 2 /* Pauses, restarts and changes of the network together. */
#endif

mtype:change = { Drain, OutOfService };
/* Split: even and odd processes cannot reach each other. Isolated: balancer 0 reaches no other process. */
mtype:network = { Connected, Split, Isolated };
mtype:reply = { NoReply, SameView, NewerView };

typedef Process {
    bool knowsChange; /* Has received the change. */
    bool paused;
    bool longPause; /* A tick passed during the pause. */
    bool unconfirmed; /* Its view needs confirmation; it forwards nothing until then. */
    mtype:reply reply; /* Reply to its stamp, in flight. */
    bool replyFresh; /* The stamp was sent after the last pause and less than a tick ago. */
};

Process p[PROCESSES];
mtype:change change;
mtype:network network;
byte age; /* Ticks since the change, 0 before it. Ticks during a split do not count. */
byte faults;
bool flow; /* The leaving agent has an admitted flow that has not ended. */
bool hasShutDown; /* The leaving agent has shut down. */

/* For the properties only. */
bool newFlowAfterLimit; /* The leaving target got a new flow after the limit. */
bool newFlowOnceKnown; /* The leaving target got a new flow although its agent knew the change. */
bool sentAfterLimit; /* A balancer sent a packet to the failure domain after the limit. */
bool deliveredOnceKnown; /* The agent delivered a packet to the target although it knew the change. */
bool interrupted; /* The agent shut down with an open flow. */

ltl P8_no_new_work_once_known { [] !newFlowOnceKnown }
ltl P8_no_new_work_after_the_limit { [] !newFlowAfterLimit }
ltl P4_nothing_delivered_once_known { [] !deliveredOnceKnown }
ltl P4_nothing_sent_after_the_limit { [] !sentAfterLimit }
ltl P9_shutdown_interrupts_nothing { [] !interrupted }

#define SIDE(i) ((i) % 2)
#define CONTACT(i, j) (network == Connected || (network == Split && SIDE(i) == SIDE(j)) || \
    (network == Isolated && i != 0 && j != 0))
#define REACHES_PLATFORM(i) (network == Connected || (network == Split && SIDE(i) == 1) || \
    (network == Isolated && i != 0))
#define RUNS(i) (!p[i].paused && !(i == LEAVING && hasShutDown))
#define IS_PAST_LIMIT (age >= LIMIT && network != Split)

#ifdef PAUSE_NOT_CONFIRMED
#define SERVES(i) RUNS(i)
#else
#define SERVES(i) (RUNS(i) && !p[i].unconfirmed)
#endif

/* ---- Propagation and time ---- */

#define KNOWN_TO(i, j) (p[j].knowsChange && RUNS(j) && CONTACT(i, j))
#define CAN_LEARN(i) (RUNS(i) && !p[i].knowsChange && age > 0 && \
    (REACHES_PLATFORM(i) || KNOWN_TO(i, 0) || KNOWN_TO(i, 1) || KNOWN_TO(i, 2) || KNOWN_TO(i, 3)))
/* A process that waits for a confirmation learns the change from the reply. */
#define MUST_LEARN(i) (CAN_LEARN(i) && !p[i].unconfirmed)

inline changeArrives(i)
{
    atomic {
        CAN_LEARN(i) && !p[i].unconfirmed ->
        p[i].knowsChange = true;
        printf("process %d learns of the change\n", i)
    }
}

inline tickProcess(i)
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
        (age > 0 || p[0].paused || p[1].paused || p[2].paused || p[3].paused || network == Isolated) &&
        !MUST_LEARN(0) && !MUST_LEARN(1) && !MUST_LEARN(2) && !MUST_LEARN(3) ->
        if
        :: age > 0 && age < LIMIT && network != Split -> age++
        :: else
        fi;
        tickProcess(0);
        tickProcess(1);
        tickProcess(2);
        tickProcess(3);
#ifndef ISOLATION_IGNORED
        if
        :: network == Isolated -> p[0].unconfirmed = true; p[0].reply = NoReply; p[0].replyFresh = false
        :: else
        fi;
#endif
        printf("a tick passes\n")
    }
}

inline operatorChanges()
{
    atomic { age == 0 -> age = 1; printf("an operator makes the change\n") }
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
        p[i].reply = (p[j].knowsChange -> NewerView : SameView);
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
        :: p[i].reply == NewerView -> p[i].knowsChange = true
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
    :: changeArrives(i)
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
#define SENDS(i) (SERVES(i) && !(change == OutOfService && p[i].knowsChange))
#endif
#ifdef DRAIN_NOT_CHECKED
#define ADMITS (SERVES(LEAVING) && !flow)
#else
#define ADMITS (SERVES(LEAVING) && !flow && !p[LEAVING].knowsChange)
#endif
#ifdef OUT_NOT_CHECKED
#define DELIVERS (SERVES(LEAVING) && flow)
#else
#define DELIVERS (SERVES(LEAVING) && flow && !(change == OutOfService && p[LEAVING].knowsChange))
#endif

inline openSent(i)
{
    atomic {
        SENDS(i) && ADMITS ->
        flow = true;
        sentAfterLimit = sentAfterLimit || (change == OutOfService && IS_PAST_LIMIT);
        newFlowOnceKnown = newFlowOnceKnown || p[LEAVING].knowsChange;
        newFlowAfterLimit = newFlowAfterLimit || IS_PAST_LIMIT;
        printf("balancer %d sends an open and the leaving agent admits it\n", i)
    }
}

/* A packet of an admitted flow. Only packets that can violate a property change the state. */
inline boundPacketSent(i)
{
    atomic {
        SENDS(i) && change == OutOfService && IS_PAST_LIMIT && !sentAfterLimit ->
        sentAfterLimit = true;
        printf("balancer %d sends a packet to the failure domain that is out of service\n", i)
    }
}

inline boundPacketDelivered()
{
    atomic {
        DELIVERS && change == OutOfService && p[LEAVING].knowsChange && !deliveredOnceKnown ->
        deliveredOnceKnown = true;
        printf("the agent delivers a packet to the target that is out of service\n")
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
        RUNS(LEAVING) && change == Drain && p[LEAVING].knowsChange && MAY_SHUT_DOWN ->
        interrupted = flow;
        hasShutDown = true;
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

/* In this model the agent's flows end with it. A feed that its successor adopts was started before the change. */
inline agentRestarts()
{
    atomic {
        faults > 0 && RUNS(LEAVING) ->
        faults--;
        flow = false;
        p[LEAVING].knowsChange = false;
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
    atomic {
        faults > 0 && network == Connected ->
        faults--;
        network = state;
        printf("the network becomes %e\n", state)
    }
}

/* The limit of P4 and P8 starts again at the end of a split. */
inline networkReconnects()
{
    atomic {
        network != Connected ->
        if
        :: network == Split && age > 0 -> age = 1
        :: else
        fi;
        network = Connected;
        printf("the network is connected again\n")
    }
}

proctype Faults()
{
end:
    do
    :: agentRestarts()
    :: networkBecomes(Split)
    :: networkBecomes(Isolated)
    :: networkReconnects()
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
        network = Connected;
        if
        :: change = Drain
        :: change = OutOfService
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
