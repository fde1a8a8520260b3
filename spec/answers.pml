/*
 * Answers: fragments, acknowledgement, expiry, late and misdelivered answers to two requests of one caller.
 *
 * Requests are idempotent here: after "may have run" the caller executes the request again at the other target, so two
 * runs of one request can send fragments with different contents.
 */

#define REQUESTS 2
#define RUNS 2 /* Bindings of a request: run b happens at agent b. */
#define FRAGMENTS 2

#define FRAGMENT(r, b, i) (1 << ((r) * 4 + (b) * 2 + (i)))
#define BIT(i) (1 << (i))

typedef Answer {
    byte binding; /* Binding that the caller uses now. */
    byte ran; /* Bindings under which the request ran. */
    byte kept; /* Bindings whose answer is kept at the agent. */
    bool mayHaveRun; /* The agent reported "may have run" under the current binding. */
    byte received; /* Fragments that the caller accepted, one bit each. */
    byte source[FRAGMENTS]; /* Origin of each fragment: 1 + request * 2 + binding. For the properties only. */
    bool ended;
    bool done;
};

Answer q[REQUESTS];
byte network; /* Set of fragments sent. They can arrive late, in any order and any number of times. */

#define sourceRequest(r, i) ((q[r].source[i] - 1) / 2)
#define isComplete(r) (!q[r].done || (q[r].source[0] != 0 && q[r].source[1] != 0))
#define isOfOwnRequest(r) (!q[r].done || (sourceRequest(r, 0) == r && sourceRequest(r, 1) == r))
#define isOfOneRun(r) (!q[r].done || q[r].source[0] == q[r].source[1])

ltl P5_answer_complete { [] (isComplete(0) && isComplete(1)) }
ltl P5_answer_of_own_request { [] (isOfOwnRequest(0) && isOfOwnRequest(1)) }
ltl P5_answer_of_one_run { [] (isOfOneRun(0) && isOfOneRun(1)) }

/* ---- Agents ---- */

inline requestRuns(r, b)
{
    atomic {
        q[r].binding >= b && !(q[r].ran & BIT(b)) ->
        q[r].ran = q[r].ran | BIT(b);
        q[r].kept = q[r].kept | BIT(b);
        printf("agent %d runs request %d\n", b, r)
    }
}

inline fragmentSent(r, b, i)
{
    atomic {
        (q[r].kept & BIT(b)) && !(network & FRAGMENT(r, b, i)) ->
        network = network | FRAGMENT(r, b, i);
        printf("agent %d sends fragment %d of the answer to request %d\n", b, i, r)
    }
}

/* The answer is dropped once it is acknowledged or expires; the model lets that happen at any time. */
inline answerDropped(r, b)
{
    atomic {
        (q[r].kept & BIT(b)) ->
        q[r].kept = q[r].kept & ~BIT(b);
        printf("agent %d drops the answer to request %d\n", b, r)
    }
}

/* A retransmitted execute or query arrives when the request has run and its answer is no longer kept. */
inline answerDiscarded(r, b)
{
    atomic {
        q[r].binding == b && !q[r].ended && (q[r].ran & BIT(b)) && !(q[r].kept & BIT(b)) && !q[r].mayHaveRun ->
        q[r].mayHaveRun = true;
        printf("agent %d reports request %d: may have run\n", b, r)
    }
}

proctype Agent(byte r; byte b)
{
end:
    do
    :: requestRuns(r, b)
    :: fragmentSent(r, b, 0)
    :: fragmentSent(r, b, 1)
    :: answerDropped(r, b)
    :: answerDiscarded(r, b)
    od
}

/* ---- Caller ---- */

#ifdef ANSWER_MATCHED_BY_CALLER_ONLY
#define MATCHES(r, b, other) true
#else
#ifdef ANSWER_OF_ANY_BINDING
#define MATCHES(r, b, other) (r == other)
#else
#define MATCHES(r, b, other) (r == other && q[r].binding == b)
#endif
#endif

/* Fragment i of the answer to request `other` under binding b reaches request r of the caller. */
inline fragmentAccepted(r, other, b, i)
{
    atomic {
        !q[r].ended && (network & FRAGMENT(other, b, i)) && MATCHES(r, b, other) && !(q[r].received & BIT(i)) ->
        q[r].received = q[r].received | BIT(i);
        q[r].source[i] = 1 + other * 2 + b;
        printf("caller accepts fragment %d of request %d, binding %d, for request %d\n", i, other, b, r)
    }
}

#ifdef ANSWER_TAKEN_INCOMPLETE
#define ALL_FRAGMENTS(r) (q[r].received != 0)
#else
#define ALL_FRAGMENTS(r) (q[r].received == 3)
#endif

inline requestDone(r)
{
    atomic {
        !q[r].ended && ALL_FRAGMENTS(r) ->
        q[r].ended = true;
        q[r].done = true;
        q[r].mayHaveRun = false;
        printf("request %d ends: done\n", r)
    }
}

inline executeAgain(r)
{
    atomic {
        !q[r].ended && q[r].mayHaveRun && q[r].binding + 1 < RUNS ->
        q[r].binding++;
        q[r].mayHaveRun = false;
#ifndef ANSWER_OF_ANY_BINDING
        q[r].received = 0;
        q[r].source[0] = 0;
        q[r].source[1] = 0;
#endif
        printf("caller executes request %d again\n", r)
    }
}

inline giveUp(r)
{
    atomic {
        !q[r].ended && q[r].mayHaveRun && q[r].binding + 1 == RUNS ->
        q[r].ended = true;
        q[r].mayHaveRun = false;
        printf("request %d ends: may have run\n", r)
    }
}

proctype Caller(byte self)
{
    do
    :: fragmentAccepted(self, self, 0, 0)
    :: fragmentAccepted(self, self, 0, 1)
    :: fragmentAccepted(self, self, 1, 0)
    :: fragmentAccepted(self, self, 1, 1)
    :: fragmentAccepted(self, 1 - self, 0, 0)
    :: fragmentAccepted(self, 1 - self, 0, 1)
    :: fragmentAccepted(self, 1 - self, 1, 0)
    :: fragmentAccepted(self, 1 - self, 1, 1)
    :: requestDone(self)
    :: executeAgain(self)
    :: giveUp(self)
    :: q[self].ended -> break
    od
}

init
{
    atomic {
        run Caller(0);
        run Caller(1);
        run Agent(0, 0);
        run Agent(0, 1);
        run Agent(1, 0);
        run Agent(1, 1)
    }
}
