/*
 * When a new leader may start a task again whose worker it does not reach.
 *
 * One worker runs the task under a lease. Two members may call it, and extend
 * the lease, on behalf of a leader. A leader is replaced at any time, may be
 * paused or cut off, and then goes on to act until it meets the leader's row.
 * A member follows a new term at any time, or never. Time passes in ticks: a
 * lease lasts LEASE ticks after its last extension, and a new leader counts
 * the ticks since a member followed it.
 *
 * A member calls the worker only after the leader has stored it as a caller,
 * in a transaction that checks the leader's row. The new leader reads the
 * callers with its election and waits for each of them until a lease has
 * passed since the member followed. A caller that never follows is waited for
 * without end here; in the program, until the lease of its leader has ended.
 *
 * Invariant (the assertion at the decision): the lease has ended when the
 * leader takes the run for lost.
 *
 * Each mechanism can be switched off to show that it is needed:
 *   STORED=0   a member calls the worker before it is stored as a caller
 *   CHECKED=0  callers are stored without a check of the leader's row
 *   WAITED=0   the lease counts as ended once all callers follow the term
 *   ALL=0      one caller that follows the term stands for all
 *   KEPT=0     a former caller is dropped as soon as another one is stored
 */

#ifndef STORED
#define STORED 1
#endif
#ifndef CHECKED
#define CHECKED 1
#endif
#ifndef WAITED
#define WAITED 1
#endif
#ifndef ALL
#define ALL 1
#endif
#ifndef KEPT
#define KEPT 1
#endif

#define MEMBERS 2
#define TERMS   3
#define LEASE   2

/* The leader's row, and the stored callers of the worker. */
byte row_term = 1;
bool row_caller[MEMBERS];

/* Members: the term that each follows, and the term for which it calls the
 * worker, 0 for none. */
byte follows[MEMBERS];
byte calls[MEMBERS];

/* Ticks that the lease still lasts. */
byte lease = 0;

/* The newest leader: the callers that it read, the ticks since each member
 * followed it, whether it has heard of the worker, and its decision. */
bool caller[MEMBERS];
bool followed[MEMBERS];
byte since[MEMBERS];
bool heard = false;
bool lost = false;

/* Leaders of all terms; none is sure to have ended. */
active [TERMS] proctype Leader() {
    byte term = _pid + 1;
    byte m = 0;
    bool stored = false;

end:
    do
    :: atomic { term <= row_term && !stored ->
        if
        :: m = 0
        :: m = 1
        fi;
        if
        :: CHECKED && term != row_term -> skip
        :: else ->
            if
            :: !KEPT -> row_caller[0] = false; row_caller[1] = false
            :: else -> skip
            fi;
            row_caller[m] = true;
            stored = true
        fi }
    /* An assignment may be on its way for long; a member takes it only from
     * the leader that it follows. */
    :: atomic { term <= row_term && (stored || !STORED) ->
        if
        :: follows[m] == term -> calls[m] = term
        :: else -> skip
        fi;
        stored = false;
        m = (STORED -> m : 1 - m) }
    od
}

active [MEMBERS] proctype Member() {
    byte me = _pid - TERMS;

end:
    do
    /* Hear of the newest leader, and stop calling for an earlier one. */
    :: atomic { follows[me] < row_term ->
        follows[me] = row_term;
        calls[me] = 0;
        followed[me] = true;
        since[me] = 0 }
    /* Reach the worker, which the newest leader then hears of. */
    :: atomic { calls[me] > 0 && calls[me] == follows[me] ->
        lease = LEASE;
        if
        :: calls[me] == row_term -> heard = true
        :: else -> skip
        fi }
    od
}

/* Elections, the passing of time, and the newest leader's decision. */
active proctype Environment() {
    byte m = 0;
    byte ended = 0;
    byte callers = 0;

end:
    do
    :: atomic { row_term < TERMS ->
        row_term++;
        m = 0;
        do
        :: m < MEMBERS ->
            caller[m] = row_caller[m];
            followed[m] = false;
            since[m] = 0;
            m++
        :: else -> break
        od;
        m = 0;
        heard = false;
        lost = false }
    :: atomic { true ->
        lease = (lease > 0 -> lease - 1 : 0);
        m = 0;
        do
        :: m < MEMBERS ->
            since[m] = (followed[m] && since[m] < LEASE -> since[m] + 1
                : since[m]);
            m++
        :: else -> break
        od;
        m = 0 }
    :: atomic { row_term > 1 && !lost && !heard ->
        m = 0;
        do
        :: m < MEMBERS ->
            callers = callers + (caller[m] -> 1 : 0);
            ended = ended + (caller[m] && followed[m]
                && (!WAITED || since[m] == LEASE) -> 1 : 0);
            m++
        :: else -> break
        od;
        if
        :: ended == callers || (!ALL && ended > 0) ->
            assert(lease == 0);
            lost = true
        :: else -> skip
        fi;
        m = 0; ended = 0; callers = 0 }
    od
}
