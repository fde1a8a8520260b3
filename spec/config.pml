/*
 * Configuration and names: revisions of a key, uneven updates, stale platform, restarts, a name that moves from one
 * service to another, resolution at the balancer and again at the agent.
 *
 * Revisions of the platform:
 *   1  names       the name leads to service 0; the misspelling is unknown
 *   2  operations  some change
 *   3  names       the name leads to service 1; the misspelling leads to service 1
 *   4  names       a document that the check refuses
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
    byte names; /* Revision held of each key. */
    byte operations;
    byte stamp;
    byte snapshot; /* Revision of the platform's reply on its way; 0 when there is none. */
    byte since; /* Revision that this reply starts after. */
    bool askedPeer; /* Since its start. */
    bool askedPlatform;
    bool ready;
    byte floor; /* Stamp that every serving process held at the start of this one; for the properties only. */
};

Process p[PROCESSES];
byte platform; /* Newest revision. */
byte faults;
byte agentService; /* Service of the agent's target. */

/* The packet on its way from a balancer to the agent. */
bool packet;
bool packetName;
byte packetService;
byte packetRevision;

/* For the properties only. */
bool reverted; /* A process replaced a document by an older one. */
bool servedBelowFloor; /* A process that restarted served with a view older than what all others had then. */
bool wrongService; /* The agent accepted a packet whose name leads to another service. */

#define stampTrue(i) ((p[i].stamp < 1 || p[i].names >= 1) && (p[i].stamp < 2 || p[i].operations >= 2) && \
    (p[i].stamp < 3 || p[i].names >= 3))
#define accepted(i) (p[i].names != 4)

ltl P2_never_another_service { [] !wrongService }
ltl P10_never_reverts { [] !reverted }
ltl P10_stamp_is_true { [] (stampTrue(0) && stampTrue(1) && stampTrue(2)) }
ltl P10_same_decision_everywhere { [] (accepted(0) && accepted(1) && accepted(2)) }
ltl P10_restart_does_not_revert { [] !servedBelowFloor }

/* ---- Replicas ---- */

#ifdef HIGHEST_REVISION_NOT_KEPT
#define KEEP(held, offered) offered
#else
#define KEEP(held, offered) MAX(held, offered)
#endif

inline holdNames(i, offered)
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
    :: p[i].askedPlatform -> p[i].ready = true
#else
    :: p[i].askedPeer && p[i].askedPlatform -> p[i].ready = true
#endif
    :: else
    fi;
    if
    :: p[i].ready -> servedBelowFloor = servedBelowFloor || p[i].stamp < p[i].floor; p[i].floor = 0
    :: else
    fi
}

/* The platform may be stale: it replies with its state at any earlier revision. */
inline platformReplies(i, revision)
{
    atomic {
        p[i].snapshot == 0 && platform >= revision && (revision > p[i].stamp || !p[i].askedPlatform) ->
        p[i].snapshot = revision;
        p[i].since = p[i].stamp;
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
        p[i].snapshot != 0 ->
        if
        :: OFFERED_NAMES(i, p[i].snapshot) > p[i].since -> holdNames(i, OFFERED_NAMES(i, p[i].snapshot))
        :: else
        fi;
        if
        :: OPERATIONS_AT(p[i].snapshot) > p[i].since ->
           p[i].operations = MAX(p[i].operations, OPERATIONS_AT(p[i].snapshot))
        :: else
        fi;
        p[i].stamp = MAX(p[i].stamp, p[i].snapshot);
        printf("process %d takes the platform's changes from %d to %d\n", i, p[i].since, p[i].snapshot);
        p[i].snapshot = 0;
        p[i].since = 0;
        p[i].askedPlatform = true;
        becomeReady(i)
    }
}

/* A peer that serves sends what it holds. */
inline peerReplies(i, peer)
{
    atomic {
        p[peer].ready && (p[peer].stamp > p[i].stamp || !p[i].askedPeer) ->
        holdNames(i, p[peer].names);
#ifndef STAMP_WITHOUT_DOCUMENTS
        p[i].operations = MAX(p[i].operations, p[peer].operations);
#endif
        p[i].stamp = MAX(p[i].stamp, p[peer].stamp);
        printf("process %d takes the changes of process %d, stamp %d\n", i, peer, p[i].stamp);
        p[i].askedPeer = true;
        becomeReady(i)
    }
}

#define MIN(x, y) ((x) < (y) -> (x) : (y))

/* A process restarts empty while the others serve. */
inline processRestarts(i)
{
    atomic {
        faults > 0 && p[i].ready && p[(i + 1) % PROCESSES].ready && p[(i + 2) % PROCESSES].ready ->
        faults--;
        p[i].floor = MIN(p[(i + 1) % PROCESSES].stamp, p[(i + 2) % PROCESSES].stamp);
        p[i].ready = false;
        p[i].askedPeer = false;
        p[i].askedPlatform = false;
        p[i].names = 0;
        p[i].operations = 0;
        p[i].stamp = 0;
#ifndef REPLY_SURVIVES_RESTART
        p[i].snapshot = 0;
        p[i].since = 0;
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

inline packetLost()
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
#define MEANT SERVICE(packetName, NAMES_AT(MAX(p[AGENT].stamp, packetRevision)))

inline agentTakes()
{
    atomic {
        packet && p[AGENT].ready ->
        if
        :: RESOLVED_AT_AGENT == agentService ->
           printf("agent accepts the packet for service %d\n", agentService);
           wrongService = (MEANT != agentService)
        :: else -> printf("agent refuses the packet\n")
        fi;
        packetLost()
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
    :: agentTakes()
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
    p[i].askedPeer = true;
    p[i].askedPlatform = true;
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
