/*
 * When a new leader may conclude that no earlier one gives grants any more.
 *
 * A leader renews the grant of a member on a heartbeat of the member, once its
 * term was confirmed after that heartbeat arrived: by the store, whose row has
 * the term, or by a majority of the stored voters, which follow the term. A
 * leader may be paused, cut off and replaced at any time, and goes on.
 *
 * The newest leader reads the stored sets of voters after its election. It
 * concludes that the earlier leaders have stopped once so many voters of each
 * set follow it that the rest is no majority.
 *
 * Invariant (the assertion at the renewal): no earlier leader renews a grant on
 * a heartbeat that the member sent after that conclusion.
 *
 * Each mechanism can be switched off to show that it is needed:
 *   CONFIRMED=0    grants need no confirmation
 *   AFTER=0        a confirmation from before the heartbeat counts
 *   STORED=0       a leader counts on voters before they are stored
 *   EARLIER=0      the voters of earlier leaders are not kept
 *   INCARNATION=0  a voter that forgot its term in a restart still counts
 */

#ifndef CONFIRMED
#define CONFIRMED 1
#endif
#ifndef AFTER
#define AFTER 1
#endif
#ifndef STORED
#define STORED 1
#endif
#ifndef EARLIER
#define EARLIER 1
#endif
#ifndef INCARNATION
#define INCARNATION 1
#endif

#define VOTERS   3
#define TERMS    3
#define ALL      7
#define RESTARTS 1

#define HAS(mask, v) (((mask) >> (v)) & 1)
#define COUNT(mask) (HAS(mask, 0) + HAS(mask, 1) + HAS(mask, 2))
#define IS_MAJORITY(part, set) ((set) && COUNT((part) & (set)) * 2 > COUNT(set))

/* The leader's row, and the stored sets of voters: the last one, and one that
 * an earlier leader may count on; 0 for none. */
byte row_term = 0;
byte row_last = ALL;
byte row_earlier = 0;
/* Stored voters whose processes still run. */
byte row_alive = ALL;

/* The term that each voter follows. */
byte follows[VOTERS];

/* One leader is watched. The set that it counts on, another one whose write has
 * no answer yet, voters that have not restarted since they were stored, the
 * voters that have answered since the last heartbeat of the member, and whether
 * the store has confirmed the term since then. */
byte watched;
byte used = 0;
byte doubtful = 0;
byte alive = 0;
byte answered = 0;
bool store_confirmed = false;

/* Highest term whose leader has concluded that the earlier ones stopped, and
 * whether the last heartbeat to the watched leader was sent after that of a
 * later leader. */
byte concluded = 0;
bool sent_after = false;

byte restarts = 0;

active [TERMS] proctype Leader() {
    byte term = _pid + 1;
    byte earlier_a = 0;
    byte earlier_b = 0;
    byte followers = 0;
    byte wanted = 0;
    byte v = 0;
    bool begun = false;
    bool done = false;

end:
    do
    /* The election; the first leader counts on the voters in the row. */
    :: atomic { !begun && row_term == term - 1 ->
        row_term = term;
        earlier_a = (term == 1 -> 0 : row_last);
        earlier_b = row_earlier;
        if
        :: term == 1 && watched == 0 -> watched = 1
        :: term == 1 && watched == 0 -> watched = 2
        :: else -> skip
        fi;
        if
        :: term == watched -> used = row_last; alive = row_alive
        :: else -> skip
        fi;
        done = (term == 1);
        begun = true }
    /* The member's heartbeat arrives at the watched leader. */
    :: atomic { begun && term == watched ->
        sent_after = (concluded > term);
        if
        :: AFTER -> answered = 0; store_confirmed = false
        :: else -> skip
        fi }
    :: atomic { begun && term == watched && row_term == term ->
        store_confirmed = true }
    /* A voter gets a heartbeat and answers if it knows no higher term. */
    :: atomic { begun ->
        if
        :: v = 0
        :: v = 1
        :: v = 2
        fi;
        if
        :: follows[v] <= term ->
            follows[v] = term;
            followers = (done -> 0 : followers | (1 << v));
            answered = (term == watched -> answered | (1 << v) : answered)
        :: else -> skip
        fi;
        v = 0 }
    /* Renew the grant. */
    :: atomic { (begun && term == watched
            && (!CONFIRMED || store_confirmed
            || (IS_MAJORITY(answered & alive, used)
                && (!doubtful || IS_MAJORITY(answered & alive, doubtful))))) ->
        assert(!sent_after) }
    /* Conclude that the earlier leaders have stopped. */
    :: atomic { (begun && !done && row_term == term
            && !IS_MAJORITY(ALL & ~followers, earlier_a)
            && !IS_MAJORITY(ALL & ~followers, earlier_b)) ->
        done = true;
        followers = 0;
        earlier_a = 0;
        earlier_b = 0;
        concluded = term }
    /* Write another set of voters; the answer comes later or never. */
    :: atomic { begun && term < TERMS && !wanted ->
        if
        :: wanted = 3
        :: wanted = 6
        fi;
        if
        :: term == watched && STORED -> doubtful = wanted
        :: term == watched && !STORED -> used = wanted
        :: else -> skip
        fi }
    :: atomic { wanted && row_term == term && row_last != wanted ->
        row_earlier = (EARLIER -> earlier_a : 0);
        row_last = wanted }
    :: atomic { (term == watched && doubtful && row_term == term
            && row_last == doubtful) ->
        used = doubtful;
        doubtful = 0 }
    od
}

/* A voter restarts and forgets which term it followed. Leaders count on its
 * new process only when that is stored, which is left out here. */
active proctype Restarts() {
    byte v = 0;

end:
    do
    :: atomic { restarts < RESTARTS ->
        if
        :: v = 0
        :: v = 1
        :: v = 2
        fi;
        restarts++;
        follows[v] = 0;
        if
        :: INCARNATION ->
            row_alive = row_alive & (ALL - (1 << v));
            alive = alive & (ALL - (1 << v))
        :: else -> skip
        fi;
        v = 0 }
    od
}
