/*
 * Where one task of a workflow runs, across leaders.
 *
 * One task, two workers, two processes that lead in turn. A leader's term is
 * the version of its row and the fencing token. It stores where the task runs
 * before it sends the start, and every write checks the leader's row. Starts
 * and stops arrive late and in any order, or never. A leader may be deposed
 * between any two steps and go on until a write or a worker refuses it. A run
 * that is stopped ends some time after the stop was confirmed.
 *
 * Invariants (the assertions in begin): the task never runs on two workers at
 * once, and never begins after its end was stored.
 *
 * Each mechanism can be switched off to show that it is needed:
 *   FENCE=0    workers accept starts and stops with lower tokens
 *   STORED=0   the start is sent before its place is stored
 *   CHECKED=0  writes do not check the leader's row
 *   HEARD=0    a new leader places the task without hearing its worker
 *   LOOKED=0   the confirmation of a stop counts as the end of the run
 */

#ifndef FENCE
#define FENCE 1
#endif
#ifndef STORED
#define STORED 1
#endif
#ifndef CHECKED
#define CHECKED 1
#endif
#ifndef HEARD
#define HEARD 1
#endif
#ifndef LOOKED
#define LOOKED 1
#endif

#define WORKERS  2
#define LEADERS  2
#define TERMS    3
#define RUNS     3
#define NOWHERE  WORKERS

mtype = { start, stop };

/* Rows of the store: the leader's version, and the task's progress. */
byte row_term = 0;
byte row_place = NOWHERE;
byte row_run = 0;
bool row_done = false;

/* Workers: highest token, highest run begun or refused, present run, last
 * run that ended as done, and whether the present run is stopping. */
byte token[WORKERS];
byte highest[WORKERS];
byte running[WORKERS];
byte ended[WORKERS];
bool stopping[WORKERS];

/* Orders on their way: kind, worker, run, token. */
chan orders = [2] of { mtype, byte, byte, byte };

inline accept(w, t) {
    token[w] = (t > token[w] -> t : token[w])
}

active [WORKERS] proctype Worker() {
    byte me = _pid;
    byte number;
    byte t;

end:
    do
    :: atomic { orders??start, eval(me), number, t ->
        if
        :: FENCE && t < token[me] -> skip
        :: else ->
            accept(me, t);
            if
            :: number > highest[me] ->
                assert(running[1 - me] == 0);
                assert(!row_done);
                highest[me] = number;
                running[me] = number;
                stopping[me] = false
            :: else -> skip
            fi
        fi;
        number = 0; t = 0 }
    :: atomic { orders??stop, eval(me), number, t ->
        if
        :: FENCE && t < token[me] -> skip
        :: else ->
            accept(me, t);
            highest[me] = (number > highest[me] -> number : highest[me]);
            if
            :: running[me] == number && number > 0 -> stopping[me] = true
            :: else -> skip
            fi
        fi;
        number = 0; t = 0 }
    /* The run ends by itself, or as stopped. */
    :: atomic { running[me] > 0 && !stopping[me] ->
        ended[me] = running[me]; running[me] = 0 }
    :: atomic { running[me] > 0 && stopping[me] ->
        running[me] = 0; stopping[me] = false }
    od
}

active [LEADERS] proctype Leader() {
    byte term = 0;
    byte place;
    byte number;
    bool done;
    bool known;       /* whether the place was heard under this term */
    bool confirmed;   /* whether a stop of the present run was confirmed */
    byte looks;       /* looks without the run since that confirmation */

end:
    do
    /* Elected: everything is read with the row that it writes. */
    :: atomic { row_term < TERMS ->
        row_term++;
        term = row_term;
        place = row_place; number = row_run; done = row_done;
        known = (place == NOWHERE || !HEARD);
        if
        :: !HEARD && place != NOWHERE -> place = NOWHERE
        :: else -> skip
        fi;
        confirmed = false; looks = 0 }

    /* Deposed as soon as a write is refused. */
    :: atomic { term > 0 && CHECKED && term != row_term -> term = 0 }

    /* Place the task and send its start, in either order. */
    :: term > 0 && !done && place == NOWHERE && known && number < RUNS ->
        if
        :: place = 0
        :: place = 1
        fi;
        number++;
        if
        :: STORED ->
            atomic {
                if
                :: CHECKED && term != row_term -> term = 0
                :: else -> row_place = place; row_run = number
                fi };
            if
            :: term > 0 && nfull(orders) -> orders!start(place, number, term)
            :: skip   /* lost before or on the way */
            fi
        :: else ->
            if
            :: nfull(orders) -> orders!start(place, number, term)
            :: skip
            fi;
            atomic {
                if
                :: CHECKED && term != row_term -> term = 0
                :: else -> row_place = place; row_run = number
                fi }
        fi;
        confirmed = false; looks = 0

    /* Order a stop that may arrive late, or have it confirmed at once. */
    :: term > 0 && place != NOWHERE && nfull(orders) ->
        orders!stop(place, number, term)
    :: atomic { term > 0 && place != NOWHERE && known && !confirmed ->
        if
        :: FENCE && term < token[place] -> term = 0
        :: else ->
            accept(place, term);
            highest[place] = (number > highest[place] -> number : highest[place]);
            if
            :: running[place] == number && number > 0 -> stopping[place] = true
            :: else -> skip
            fi;
            confirmed = true; looks = 0
        fi }
    :: atomic { !LOOKED && term > 0 && confirmed && term == row_term ->
        row_place = NOWHERE; place = NOWHERE; confirmed = false }

    /* Look at the worker of the place under this term's token. */
    :: atomic { term > 0 && place != NOWHERE ->
        if
        :: FENCE && term < token[place] -> term = 0
        :: else ->
            accept(place, term);
            if
            :: ended[place] == number && number > 0 ->
                if
                :: CHECKED && term != row_term -> term = 0
                :: else -> row_done = true; done = true;
                    row_place = NOWHERE; place = NOWHERE
                fi
            :: running[place] == number -> looks = 0
            :: else ->
                if
                /* Earlier tokens are refused now: it will never begin. */
                :: !known || (confirmed && looks > 0) ->
                    if
                    :: CHECKED && term != row_term -> term = 0
                    :: else -> row_place = NOWHERE; place = NOWHERE
                    fi
                :: else -> looks = (confirmed -> 1 : 0)
                fi
            fi;
            known = true
        fi }
    od
}
