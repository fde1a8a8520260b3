/*
 * Requests: open, binding, execute, answer, refusal with tombstone, query, relay, reservation lease, restarts.
 *
 * The network is a set of messages. A message that was sent stays in the set, so it can arrive late, in any order and
 * any number of times; a lost message is one that never arrives. A step is enabled only when it changes the state, so
 * every execution ends, and in an end state every message that could still matter has arrived (fair delivery).
 */

#ifndef REQUESTS
#define REQUESTS 1 /* Requests of the caller. */
#endif
#ifndef FAULTS
#define FAULTS 2 /* Restarts of agents and targets together. */
#endif
#ifndef RETRIES
#define RETRIES 1 /* Times that the caller may request another binding for a request. */
#endif
#ifndef AGENTS
#define AGENTS 2 /* Agent a runs beside target a. */
#endif
#define ISSUES 2 /* Bindings that one agent issues for one request. */
#define LIMIT 1 /* Requests that a target handles at a time. */

/* Binding b of a request was issued by agent b / ISSUES. */
#define BIT(b) (1 << (b))
#define HAS(set, b) (((set) >> (b)) & 1)
#define LAST(r, a) ((a) * ISSUES + q[r].issued[a] - 1) /* Newest binding of agent a; defined only if it issued one. */

mtype:phase = { Opening, Executing, Ended };
mtype:verdict = { NoVerdict, Done, DidNotRun, MayHaveRun };
mtype:record = { Absent, Reserved, Running, Ran, Interrupted, Tombstone };

typedef Request {
    /* The caller. */
    mtype:phase phase;
    mtype:verdict verdict;
    byte attempt;
    byte binding;
    /* The agents. */
    mtype:record record[AGENTS];
    byte issued[AGENTS];
    byte expired; /* Expired bindings. */
    byte oldAgent; /* Bindings of an earlier agent incarnation. */
    byte oldTarget; /* Bindings of an earlier target incarnation. */
    /* Messages sent: one bit for each binding or agent. */
    byte opened;
    byte executes;
    byte openAt; /* Agents to which an open was sent. */
    bool openRefused; /* Refusal of the open of the current attempt; the caller ignores those of earlier attempts. */
    /* Replies to an execute or query under the current binding; the caller ignores those under earlier bindings. */
    bool refused;
    bool mayHaveRun;
    bool answer;
    /* For the properties only. */
    byte ran; /* Bindings under which the request ran. */
    byte runs; /* Times it ran, capped at 2. */
    byte reportedDidNotRun; /* Bindings for which the caller received "did not run". */
};

Request q[REQUESTS];
byte slots[AGENTS]; /* Slots held by reservations and running requests. */
byte faults; /* Restarts that may still happen. */
bool balancersRefuse; /* Whether balancers refuse opens in this execution. */

/* ---- Properties ---- */

#define EACH(p) (p(0) && p(REQUESTS - 1))
#define ranOnce(r) (q[r].runs <= 1)
#define refusalsAreTrue(r) ((q[r].reportedDidNotRun & q[r].ran) == 0 && (q[r].verdict != DidNotRun || q[r].ran == 0))
#define doneHasRun(r) (q[r].verdict != Done || q[r].ran != 0)
#if REQUESTS > 1
#define withinLimit(a) ((q[0].record[a] == Running) + (q[1].record[a] == Running) <= LIMIT)
#else
#define withinLimit(a) true
#endif

ltl P7_at_most_once { [] EACH(ranOnce) }
ltl P6_did_not_run_is_true { [] EACH(refusalsAreTrue) }
ltl P5_done_only_after_a_run { [] EACH(doneHasRun) }
ltl P3_no_more_than_the_limit { [] (withinLimit(0) && withinLimit(AGENTS - 1)) }

#define AWAITED(r, b) (q[r].phase == Executing && q[r].binding == (b))
#define NEEDS_REPLY(r, b, reply) (AWAITED(r, b) && !q[r].reply)

/* ---- Balancers ---- */

/* A balancer keeps no state. It sends an open to any agent, because its view is only a hint, or refuses it. It forwards
   an execute by its binding; in this model the execute is already in the set of messages. */
inline balancerSendsOpen(r, a)
{
    atomic {
        !HAS(q[r].openAt, a) ->
        q[r].openAt = q[r].openAt | BIT(a);
        printf("balancer %d sends the open of request %d to agent %d\n", id, r, a)
    }
}

inline balancerRefuses(r)
{
    atomic {
        balancersRefuse && !q[r].openRefused && q[r].phase != Ended ->
        q[r].openRefused = true;
        printf("balancer %d refuses the open of request %d: did not run\n", id, r)
    }
}

inline balancerRefusesExecute(r, b)
{
    atomic {
        NEEDS_REPLY(r, b, refused) ->
        q[r].refused = true;
        printf("balancer %d refuses the execute of request %d under binding %d: did not run\n", id, r, b)
    }
}

proctype Balancer(byte id; byte r)
{
end:
    do
    :: balancerSendsOpen(r, 0)
#if AGENTS > 1
    :: balancerSendsOpen(r, 1)
#endif
    :: balancerRefuses(r)
#ifdef BALANCER_CLAIMS_DID_NOT_RUN
    :: balancerRefusesExecute(r, 0)
    :: balancerRefusesExecute(r, 1)
    :: balancerRefusesExecute(r, 2)
    :: balancerRefusesExecute(r, 3)
#endif
    od
}

/* ---- Agents ---- */

#ifdef NO_AGENT_INCARNATION_CHECK
#define OLD_AGENT(r, b) false
#else
#define OLD_AGENT(r, b) HAS(q[r].oldAgent, b)
#endif
#ifdef NO_TARGET_INCARNATION_CHECK
#define OLD_TARGET(r, b) false
#else
#define OLD_TARGET(r, b) HAS(q[r].oldTarget, b)
#endif
#ifdef EXPIRY_NOT_CHECKED
#define EXPIRED(r, b) false
#else
#define EXPIRED(r, b) HAS(q[r].expired, b)
#endif
#ifdef LEASE_IGNORED
#define FREE_SLOT(a) true /* An execute after the end of its reservation runs without a slot. */
#else
#define FREE_SLOT(a) (slots[a] < LIMIT)
#endif
#define VALID(r, b) (!OLD_AGENT(r, b) && !EXPIRED(r, b))
#define NOT_DECIDED(r, a) (q[r].record[a] == Absent || q[r].record[a] == Reserved)
/* Whether the record holds a slot. Reservations of an earlier target incarnation hold none. */
#define HOLDS_SLOT(r, a) (q[r].record[a] == Reserved && !HAS(q[r].oldTarget, LAST(r, a)))

inline releaseSlot(r, a)
{
    if
    :: HOLDS_SLOT(r, a) || q[r].record[a] == Running -> slots[a] = (slots[a] > 0 -> slots[a] - 1 : 0)
    :: else
    fi
}

/* Open: reserve, or relay to the other agent, or refuse. A duplicate open gets the existing reservation. */
inline openArrives(r, a)
{
    atomic {
        HAS(q[r].openAt, a) && q[r].record[a] == Absent && q[r].issued[a] < ISSUES && slots[a] < LIMIT ->
        q[r].record[a] = Reserved;
        slots[a]++;
        q[r].issued[a]++;
        q[r].opened = q[r].opened | BIT(LAST(r, a));
        printf("agent %d opens request %d with binding %d\n", a, r, LAST(r, a))
    }
}

inline openRelayed(r, a)
{
    atomic {
        HAS(q[r].openAt, a) && q[r].record[a] != Reserved && !HAS(q[r].openAt, 1 - a) ->
        q[r].openAt = q[r].openAt | BIT(1 - a);
        printf("agent %d relays the open of request %d\n", a, r)
    }
}

inline openRefusedByAgent(r, a)
{
    atomic {
        HAS(q[r].openAt, a) && q[r].record[a] != Reserved && !q[r].openRefused && q[r].phase != Ended ->
        q[r].openRefused = true;
        printf("agent %d refuses the open of request %d: did not run\n", a, r)
    }
}

/* Execute under a valid binding of a request that has neither run nor been refused. */
inline executeRuns(r, a, b)
{
    atomic {
        HAS(q[r].executes, b) && VALID(r, b) && !OLD_TARGET(r, b) && NOT_DECIDED(r, a) &&
            (q[r].record[a] == Reserved || FREE_SLOT(a)) ->
        if
        :: q[r].record[a] == Absent -> slots[a]++
        :: else
        fi;
        q[r].record[a] = Running;
        q[r].ran = q[r].ran | BIT(b);
        q[r].runs = (q[r].runs < 2 -> q[r].runs + 1 : 2);
        printf("agent %d runs request %d under binding %d\n", a, r, b)
    }
}

inline refuse(r, b)
{
    if
    :: AWAITED(r, b) -> q[r].refused = true
    :: else
    fi
}

/* The agent refuses an execute or query because of a passed deadline, overload or an old target incarnation. */
inline executeRefused(r, a, b)
{
    atomic {
        HAS(q[r].executes, b) && VALID(r, b) && NOT_DECIDED(r, a) ->
#ifndef NO_TOMBSTONE
        releaseSlot(r, a);
        q[r].record[a] = Tombstone;
#endif
        refuse(r, b);
        printf("agent %d refuses request %d under binding %d: did not run\n", a, r, b)
    }
}

inline queryFindsNothing(r, a, b)
{
    atomic {
        HAS(q[r].executes, b) && VALID(r, b) && NOT_DECIDED(r, a) ->
#ifndef QUERY_WRITES_NO_TOMBSTONE
        releaseSlot(r, a);
        q[r].record[a] = Tombstone;
#endif
        refuse(r, b);
        printf("agent %d answers a query of request %d under binding %d: did not run\n", a, r, b)
    }
}

/* Execute or query of a request with a record: the record determines the reply. */
inline tombstoneAnswers(r, a, b)
{
    atomic {
        NEEDS_REPLY(r, b, refused) && !OLD_AGENT(r, b) && q[r].record[a] == Tombstone ->
        refuse(r, b);
        printf("agent %d refuses request %d under binding %d again: did not run\n", a, r, b)
    }
}

inline answerSent(r, a, b)
{
    atomic {
        NEEDS_REPLY(r, b, answer) && !OLD_AGENT(r, b) && q[r].record[a] == Ran ->
        q[r].answer = true;
        printf("agent %d answers request %d under binding %d\n", a, r, b)
    }
}

inline interruptionReported(r, a, b)
{
    atomic {
        NEEDS_REPLY(r, b, mayHaveRun) && !OLD_AGENT(r, b) && q[r].record[a] == Interrupted ->
        q[r].mayHaveRun = true;
        printf("agent %d reports request %d under binding %d: may have run\n", a, r, b)
    }
}

/* Execute or query without a record, under an expired binding or a binding of an earlier agent incarnation. */
inline noRecordFound(r, a, b)
{
    atomic {
        NEEDS_REPLY(r, b, mayHaveRun) && (OLD_AGENT(r, b) || (EXPIRED(r, b) && NOT_DECIDED(r, a))) ->
#ifdef UNKNOWN_IS_DID_NOT_RUN
        q[r].refused = true;
#else
        q[r].mayHaveRun = true;
#endif
        printf("agent %d has no record of request %d under binding %d\n", a, r, b)
    }
}

inline targetFinishes(r, a)
{
    atomic {
        q[r].record[a] == Running ->
        releaseSlot(r, a);
        q[r].record[a] = Ran;
        printf("target %d finishes request %d\n", a, r)
    }
}

inline leaseEnds(r, a)
{
    atomic {
        q[r].record[a] == Reserved ->
        releaseSlot(r, a);
        q[r].record[a] = Absent;
        printf("agent %d ends the unused reservation of request %d\n", a, r)
    }
}

inline bindingExpires(r, a, b)
{
    atomic {
        HAS(q[r].opened, b) && !HAS(q[r].expired, b) && !HAS(q[r].oldAgent, b) && q[r].record[a] != Reserved ->
        q[r].expired = q[r].expired | BIT(b);
        printf("binding %d of request %d expires\n", b, r)
    }
}

/* A record is dropped once every binding that this agent incarnation issued for the request has expired. */
#define IS_VALID_AT_AGENT(r, b) (HAS(q[r].opened, b) && !HAS(q[r].expired, b) && !HAS(q[r].oldAgent, b))
#ifdef RECORD_DROPPED_EARLY
#define MAY_DROP(r, a) true
#else
#define MAY_DROP(r, a) (!IS_VALID_AT_AGENT(r, ISSUES * a) && !IS_VALID_AT_AGENT(r, ISSUES * a + 1))
#endif

inline recordDropped(r, a)
{
    atomic {
        (q[r].record[a] == Ran || q[r].record[a] == Interrupted || q[r].record[a] == Tombstone) && MAY_DROP(r, a) ->
        q[r].record[a] = Absent;
        printf("agent %d drops the record of request %d\n", a, r)
    }
}

proctype Agent(byte a; byte r)
{
end:
    do
    :: openArrives(r, a)
#if AGENTS > 1
    :: openRelayed(r, a)
#endif
    :: openRefusedByAgent(r, a)
    :: executeRuns(r, a, ISSUES * a)
    :: executeRefused(r, a, ISSUES * a)
    :: queryFindsNothing(r, a, ISSUES * a)
    :: tombstoneAnswers(r, a, ISSUES * a)
    :: answerSent(r, a, ISSUES * a)
    :: interruptionReported(r, a, ISSUES * a)
    :: bindingExpires(r, a, ISSUES * a)
    :: executeRuns(r, a, ISSUES * a + 1)
    :: executeRefused(r, a, ISSUES * a + 1)
    :: queryFindsNothing(r, a, ISSUES * a + 1)
    :: tombstoneAnswers(r, a, ISSUES * a + 1)
    :: answerSent(r, a, ISSUES * a + 1)
    :: interruptionReported(r, a, ISSUES * a + 1)
    :: bindingExpires(r, a, ISSUES * a + 1)
#ifndef SILENT_WITHOUT_RECORD
    :: noRecordFound(r, a, ISSUES * a)
    :: noRecordFound(r, a, ISSUES * a + 1)
#endif
    :: targetFinishes(r, a)
    :: leaseEnds(r, a)
    :: recordDropped(r, a)
    od
}

/* ---- Restarts ---- */

#define OF_AGENT(a) (3 << (ISSUES * (a))) /* All bindings of agent a. */

inline eraseRecord(r, a)
{
    q[r].record[a] = Absent;
#ifndef RESTART_KEEPS_AGENT_INCARNATION
    q[r].oldAgent = q[r].oldAgent | (q[r].opened & OF_AGENT(a))
#endif
}

inline agentRestarts(a)
{
    atomic {
        faults > 0 ->
        faults--;
        slots[a] = 0;
        eraseRecord(0, a);
#if REQUESTS > 1
        eraseRecord(1, a);
#endif
        printf("agent %d restarts\n", a)
    }
}

inline interruptRequest(r, a)
{
    q[r].oldTarget = q[r].oldTarget | (q[r].opened & OF_AGENT(a));
    if
    :: q[r].record[a] == Running -> q[r].record[a] = Interrupted
    :: else
    fi
}

inline targetRestarts(a)
{
    atomic {
        faults > 0 ->
        faults--;
        slots[a] = 0;
        interruptRequest(0, a);
#if REQUESTS > 1
        interruptRequest(1, a);
#endif
        printf("target %d restarts\n", a)
    }
}

proctype Restarts()
{
end:
    do
    :: agentRestarts(0)
    :: targetRestarts(0)
#if AGENTS > 1
    :: agentRestarts(1)
    :: targetRestarts(1)
#endif
    od
}

/* ---- Caller ---- */

inline clearReplies(r)
{
    q[r].binding = 0;
    q[r].openRefused = false;
    q[r].refused = false;
    q[r].mayHaveRun = false;
    q[r].answer = false
}

inline endRequest(r, result)
{
    q[r].verdict = result;
    q[r].phase = Ended;
    clearReplies(r);
    printf("request %d ends: %e\n", r, result)
}

inline openAgain(r)
{
    q[r].attempt++;
    q[r].phase = Opening;
    clearReplies(r);
    printf("caller opens request %d again\n", r)
}

/* After a "did not run" the caller requests another binding or gives up. */
inline bindAgain(r)
{
    if
    :: q[r].attempt < RETRIES -> openAgain(r)
    :: endRequest(r, DidNotRun)
    fi
}

inline acceptBinding(r, b)
{
    atomic {
        q[r].phase == Opening && HAS(q[r].opened, b) && !HAS(q[r].reportedDidNotRun, b) ->
        q[r].binding = b;
        q[r].phase = Executing;
        q[r].executes = q[r].executes | BIT(b);
        printf("caller executes request %d under binding %d\n", r, b)
    }
}

proctype Caller(byte r)
{
    do
    :: acceptBinding(r, 0)
    :: acceptBinding(r, 1)
#if AGENTS > 1
    :: acceptBinding(r, 2)
    :: acceptBinding(r, 3)
#endif
    :: atomic { q[r].phase == Opening && q[r].openRefused -> bindAgain(r) }
    :: atomic { q[r].phase == Executing && q[r].answer -> endRequest(r, Done) }
    :: atomic {
           q[r].phase == Executing && q[r].refused ->
           q[r].reportedDidNotRun = q[r].reportedDidNotRun | BIT(q[r].binding);
           bindAgain(r)
       }
#ifdef BINDS_AGAIN_AFTER_MAY_HAVE_RUN
    :: atomic { q[r].phase == Executing && q[r].mayHaveRun && q[r].attempt < RETRIES -> openAgain(r) }
#endif
    :: atomic { q[r].phase == Executing && q[r].mayHaveRun -> endRequest(r, MayHaveRun) }
#ifdef OPEN_REFUSAL_ENDS_EXECUTE
    :: atomic { q[r].phase == Executing && q[r].openRefused -> bindAgain(r) }
#endif
    :: q[r].phase == Ended -> break
    od
}

inline startRequest(r)
{
    q[r].phase = Opening;
    q[r].verdict = NoVerdict;
    q[r].record[0] = Absent;
#if AGENTS > 1
    q[r].record[1] = Absent;
#endif
    run Caller(r);
    run Balancer(0, r);
    run Balancer(1, r);
    run Agent(0, r)
#if AGENTS > 1
    ; run Agent(1, r)
#endif
}

init
{
    atomic {
        startRequest(0);
#if REQUESTS > 1
        startRequest(1);
#endif
        run Restarts();
        if
        :: balancersRefuse = true
        :: balancersRefuse = false
        fi;
        select(faults : 0 .. FAULTS)
    }
}
