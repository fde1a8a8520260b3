/*
 * Configuration and names: revisions of a key, updates that reach processes at different times, a stale platform,
 * restarts, a name that moves from one service to another, resolution at the balancer and again at the agent.
 *
 * Revisions of the platform:
 *   1  names       the name resolves to service 0; the misspelling is unknown
 *   2  operations  any change
 *   3  names       the name and the misspelling resolve to service 1
 *   4  names       a document that validation rejects
 */

#define PROCESSES 3 /* Balancers 0 and 1; process 2 is an agent. */
#define AGENT 2
#define LAST_REVISION 4
#define UNKNOWN 2 /* No service. */
#ifndef FAULTS
#define FAULTS 2 /* Restarts of processes together. */
#endif

/* Newest accepted revision of each key up to a revision. */
#define NAMES_AT(revision) (revision >= 3 -> 3 : (revision >= 1 -> 1 : 0))
#define OPERATIONS_AT(revision) (revision >= 2 -> 2 : 0)
#define MAX(x, y) ((x) > (y) -> (x) : (y))
/* Service of a name (0) or of its misspelling (1) under a revision of the names. */
#define SERVICE(name, names) (names >= 3 -> 1 : (names >= 1 && name == 0 -> 0 : UNKNOWN))

typedef Process {
    byte names; /* Revision of each key that the process has. */
    byte operations;
    byte stamp;
    byte replyRevision; /* Revision of the platform's reply in flight; 0 if there is none. */
    byte replySince; /* Stamp at the request: the reply is a delta since this revision. */
    bool peerReplied; /* A peer has replied since the start of this process. */
    bool platformReplied;
    bool ready;
    byte minStamp; /* Lowest stamp of the other processes at the start of this one. For the properties only. */
};

Process p[PROCESSES];
byte platform; /* Newest revision. */
byte faults;
byte agentService; /* Service of the agent's target. */

/* The packet in flight from a balancer to the agent. */
bool packet;
bool packetName;
byte packetService;
byte packetRevision;

/* For the properties only. */
bool reverted; /* A process replaced a document by an older one. */
bool servedBelowMinStamp; /* A restarted process served with a view older than those of all others at its start. */
bool wrongService; /* The agent accepted a packet whose name resolves to another service. */

#define isStampTrue(i) ((p[i].stamp < 1 || p[i].names >= 1) && (p[i].stamp < 2 || p[i].operations >= 2) && \
    (p[i].stamp < 3 || p[i].names >= 3))
#define isNamesAccepted(i) (p[i].names != 4)

ltl P2_never_another_service { [] !wrongService }
ltl P10_never_reverts { [] !reverted }
ltl P10_stamp_is_true { [] (isStampTrue(0) && isStampTrue(1) && isStampTrue(2)) }
ltl P10_same_decision_everywhere { [] (isNamesAccepted(0) && isNamesAccepted(1) && isNamesAccepted(2)) }
ltl P10_restart_does_not_revert { [] !servedBelowMinStamp }

/* ---- Replicas ---- */

#ifdef HIGHEST_REVISION_NOT_KEPT
#define KEEP(current, offered) offered
#else
#define KEEP(current, offered) MAX(current, offered)
#endif

inline mergeNames(i, offered)
{
    if
    :: offered != 0 && offered < p[i].names && KEEP(p[i].names, offered) == offered -> reverted = true
    :: else
    fi;
    if
    :: offered != 0 -> p[i].names = KEEP(p[i].names, offered)
    :: else
    fi
}

inline becomeReady(i)
{
    if
#ifdef SERVES_BEFORE_PEERS_REPLY
    :: p[i].platformReplied -> p[i].ready = true
#else
    :: p[i].peerReplied && p[i].platformReplied -> p[i].ready = true
#endif
    :: else
    fi;
    if
    :: p[i].ready -> servedBelowMinStamp = servedBelowMinStamp || p[i].stamp < p[i].minStamp; p[i].minStamp = 0
    :: else
    fi
}

/* The platform may be stale: it can reply with its state at any earlier revision. */
inline platformReplies(i, revision)
{
    atomic {
        p[i].replyRevision == 0 && platform >= revision && (revision > p[i].stamp || !p[i].platformReplied) ->
        p[i].replyRevision = revision;
        p[i].replySince = p[i].stamp;
        printf("platform replies to process %d with its state at revision %d\n", i, revision)
    }
}

#ifdef CHECK_DEPENDS_ON_THE_PROCESS
#define OFFERED_NAMES(i, revision) (i == 0 && revision == 4 -> 4 : NAMES_AT(revision))
#else
#define OFFERED_NAMES(i, revision) NAMES_AT(revision)
#endif

inline platformReplyArrives(i)
{
    atomic {
        p[i].replyRevision != 0 ->
        if
        :: OFFERED_NAMES(i, p[i].replyRevision) > p[i].replySince -> mergeNames(i, OFFERED_NAMES(i, p[i].replyRevision))
        :: else
        fi;
        if
        :: OPERATIONS_AT(p[i].replyRevision) > p[i].replySince ->
           p[i].operations = MAX(p[i].operations, OPERATIONS_AT(p[i].replyRevision))
        :: else
        fi;
        p[i].stamp = MAX(p[i].stamp, p[i].replyRevision);
        printf("process %d applies the platform's changes from %d to %d\n", i, p[i].replySince, p[i].replyRevision);
        p[i].replyRevision = 0;
        p[i].replySince = 0;
        p[i].platformReplied = true;
        becomeReady(i)
    }
}

/* A serving peer replies with its documents and its stamp. */
inline peerReplies(i, peer)
{
    atomic {
        p[peer].ready && (p[peer].stamp > p[i].stamp || !p[i].peerReplied) ->
        mergeNames(i, p[peer].names);
#ifndef STAMP_WITHOUT_DOCUMENTS
        p[i].operations = MAX(p[i].operations, p[peer].operations);
#endif
        p[i].stamp = MAX(p[i].stamp, p[peer].stamp);
        printf("process %d applies the changes of process %d, stamp %d\n", i, peer, p[i].stamp);
        p[i].peerReplied = true;
        becomeReady(i)
    }
}

#define MIN(x, y) ((x) < (y) -> (x) : (y))

/* A process restarts without documents while the others serve. */
inline processRestarts(i)
{
    atomic {
        faults > 0 && p[i].ready && p[(i + 1) % PROCESSES].ready && p[(i + 2) % PROCESSES].ready ->
        faults--;
        p[i].minStamp = MIN(p[(i + 1) % PROCESSES].stamp, p[(i + 2) % PROCESSES].stamp);
        p[i].ready = false;
        p[i].peerReplied = false;
        p[i].platformReplied = false;
        p[i].names = 0;
        p[i].operations = 0;
        p[i].stamp = 0;
#ifndef REPLY_SURVIVES_RESTART
        p[i].replyRevision = 0;
        p[i].replySince = 0;
#endif
        printf("process %d restarts\n", i)
    }
}

proctype Replica(byte i)
{
end:
    do
    :: platformReplies(i, 1)
    :: platformReplies(i, 2)
    :: platformReplies(i, 3)
    :: platformReplies(i, 4)
    :: platformReplyArrives(i)
    :: peerReplies(i, (i + 1) % PROCESSES)
    :: peerReplies(i, (i + 2) % PROCESSES)
    :: processRestarts(i)
    od
}

/* ---- Names ---- */

#ifdef GUESSES_NAMES
#define RESOLVE(name, names) (SERVICE(name, names) == UNKNOWN -> 0 : SERVICE(name, names))
#else
#define RESOLVE(name, names) SERVICE(name, names)
#endif

/* The fabric may deliver the packet to an agent of any service: hints and addresses may be out of date. */
inline balancerSends(i, name)
{
    atomic {
        p[i].ready && !packet && RESOLVE(name, p[i].names) != UNKNOWN ->
        packet = true;
        packetName = name;
        packetService = RESOLVE(name, p[i].names);
        packetRevision = p[i].stamp;
        printf("balancer %d resolves name %d to service %d at revision %d\n", i, name, packetService, packetRevision)
    }
}

inline clearPacket()
{
    packet = false;
    packetName = 0;
    packetService = 0;
    packetRevision = 0
}

#ifdef NAME_NOT_RESOLVED_AGAIN
#define RESOLVED_AT_AGENT packetService
#else
#ifdef RESOLVED_UNDER_OWN_REVISION_ONLY
#define RESOLVED_AT_AGENT RESOLVE(packetName, p[AGENT].names)
#else
#define RESOLVED_AT_AGENT (p[AGENT].stamp > packetRevision -> RESOLVE(packetName, p[AGENT].names) : packetService)
#endif
#endif
#define INTENDED_SERVICE SERVICE(packetName, NAMES_AT(MAX(p[AGENT].stamp, packetRevision)))

inline packetArrives()
{
    atomic {
        packet && p[AGENT].ready ->
        if
        :: RESOLVED_AT_AGENT == agentService ->
           printf("agent accepts the packet for service %d\n", agentService);
           wrongService = (INTENDED_SERVICE != agentService)
        :: else -> printf("agent refuses the packet\n")
        fi;
        clearPacket()
    }
}

#ifdef PACKETS
proctype Packets()
{
end:
    do
    :: balancerSends(0, 0)
    :: balancerSends(1, 0)
    :: balancerSends(0, 1)
    :: balancerSends(1, 1)
    :: packetArrives()
    od
}
#endif

proctype Platform()
{
end:
    do
    :: atomic { platform < LAST_REVISION -> platform++; printf("the platform publishes revision %d\n", platform) }
    od
}

#ifndef PACKETS
/* Waits until the newest configuration is in force everywhere. */
proctype InForce()
{
    p[0].ready && p[1].ready && p[2].ready && p[0].stamp == LAST_REVISION && p[1].stamp == LAST_REVISION &&
        p[2].stamp == LAST_REVISION
}
#endif

inline startProcess(i)
{
    p[i].names = 1;
    p[i].stamp = 1;
    p[i].ready = true;
    p[i].peerReplied = true;
    p[i].platformReplied = true;
    run Replica(i)
}

init
{
    atomic {
        platform = 1;
        startProcess(0);
        startProcess(1);
        startProcess(2);
        run Platform();
#ifdef PACKETS
        run Packets();
#else
        run InForce();
#endif
        if
        :: agentService = 0
        :: agentService = 1
        fi;
        select(faults : 0 .. FAULTS)
    }
}
