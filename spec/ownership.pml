/*
 * Who may give work to a worker.
 *
 * One worker with one slot, one owner row with compare-and-set, two entries.
 * Any entry may pause between two steps, time out and go on while its message
 * is still on its way, lose the answer to a write that took effect, or restart
 * with a new incarnation. The worker may restart and forget its fence token.
 *
 * Invariant: the worker never runs more than it holds (the assertion in
 * Worker). The worker itself does not check its slot, so the assertion rests
 * on the owners alone.
 *
 * Each mechanism can be switched off to show that it is needed:
 *   FENCE=0       the worker accepts every token
 *   EXACT=0       the worker accepts tokens above the fenced one too
 *   INHERIT=0     a new owner ignores what the worker runs
 *   GENERATION=0  a lost answer frees its slot without another fence
 */

#ifndef FENCE
#define FENCE 1
#endif
#ifndef EXACT
#define EXACT 1
#endif
#ifndef INHERIT
#define INHERIT 1
#endif
#ifndef GENERATION
#define GENERATION 1
#endif

#define ENTRIES      2
#define MAX_EPOCH    3
#define GENERATIONS  3   /* per epoch */
#define DISPATCHES   2   /* per entry and run of the model */
#define RESTARTS     1   /* of the worker */

#define TOKEN(epoch, generation) ((epoch) * GENERATIONS + (generation))

mtype = { dispatch, fence };

/* Row owners/{worker}: epoch and owner; the epoch is its version. */
byte row_epoch = 0;
byte row_entry = 0;

/* The worker: token of the last fence, id of the execution in its slot. */
byte fenced_token = 0;
byte running = 0;

byte next_id = 1;

/* kind, token, execution id, answer channel index */
chan to_worker = [2] of { mtype, byte, byte, byte };
/*
 * token, execution id, accepted, running execution. Token and id match an
 * answer to its call, as the connection does in HTTP.
 */
chan answer[ENTRIES + 1] = [1] of { byte, byte, bool, byte };

inline reply(entry, token, id, accepted, value)
{
    /* An answer to a call that was given up is lost. */
    if
    :: nfull(answer[entry]) -> answer[entry]!token, id, accepted, value
    :: full(answer[entry]) -> answer[entry]?_, _, _, _;
                              answer[entry]!token, id, accepted, value
    fi
}

proctype Worker()
{
    byte token, id, entry;
    byte restarts = 0;
end:
    do
    :: atomic { to_worker?dispatch, token, id, entry ->
        if
        :: FENCE && (fenced_token == 0 || token < fenced_token ||
                     (EXACT && token != fenced_token)) ->
            reply(entry, token, id, false, 0)
        :: else ->
            assert(running == 0);
            running = id;
            reply(entry, token, id, true, 0)
        fi;
        token = 0; id = 0; entry = 0 }
    :: atomic { to_worker?fence, token, id, entry ->
        if
        :: token >= fenced_token ->
            fenced_token = token;
            reply(entry, token, id, true, running)
        :: else ->
            reply(entry, token, id, false, 0)
        fi;
        token = 0; id = 0; entry = 0 }
    /* An execution ends. */
    :: atomic { running != 0 -> running = 0 }
    /* A restart ends what runs and forgets the token. */
    :: atomic { restarts < RESTARTS ->
        restarts++; running = 0; fenced_token = 0 }
    od
}

proctype Entry(byte me)
{
    byte epoch = 0;       /* 0: not the owner */
    byte generation = 0;
    bool confirmed = false;
    byte reserved = 0;    /* execution that holds the slot */
    byte dispatches = 0;
    byte seen, value, id;
    bool accepted;
end:
    do
    /* Takes the worker over, or itself again after a restart. */
    :: epoch == 0 && row_epoch < MAX_EPOCH ->
        seen = row_epoch;
        atomic {
            if
            :: row_epoch == seen ->
                row_epoch = seen + 1; row_entry = me;
                /* The answer may be lost; the row is then read back. */
                epoch = seen + 1; generation = 0;
                confirmed = false; reserved = 0
            :: else -> skip
            fi;
            seen = 0
        }

    /* Fences with the next generation and inherits what runs. */
    :: epoch > 0 && !confirmed ->
        if
        :: generation + 1 < GENERATIONS ->
            generation++;
            to_worker!fence, TOKEN(epoch, generation), 0, me;
            if
            :: answer[me]?eval(TOKEN(epoch, generation)), 0, accepted, value ->
                atomic {
                    if
                    :: accepted ->
                        confirmed = true;
                        reserved = (INHERIT -> value : 0)
                    :: else -> epoch = 0
                    fi;
                    accepted = false; value = 0
                }
            :: skip /* no answer in time; fences again */
            fi
        :: else -> epoch = 0
        fi

    /* Dispatches into the free slot. */
    :: epoch > 0 && confirmed && reserved == 0 && dispatches < DISPATCHES ->
        atomic {
            dispatches++; id = next_id; next_id++; reserved = id
        };
        to_worker!dispatch, TOKEN(epoch, generation), id, me;
        if
        :: answer[me]?eval(TOKEN(epoch, generation)), eval(id), accepted, _ ->
            atomic {
                if
                :: accepted -> skip
                :: else -> reserved = 0; confirmed = false
                fi;
                accepted = false
            }
        :: /* The answer is lost: the slot is in doubt. */
            atomic {
                if
                :: GENERATION -> confirmed = false
                :: else -> reserved = 0
                fi
            }
        fi;
        id = 0

    /* Learns from a report that the execution in its slot has ended. It was
       seen to run, by its answer or by the fence, so its absence is its end. */
    :: atomic { epoch > 0 && confirmed && reserved != 0 &&
                running != reserved -> reserved = 0 }

    /* Restarts and forgets everything. */
    :: atomic { epoch > 0 -> epoch = 0; confirmed = false; reserved = 0 }
    od
}

init
{
    atomic { run Worker(); run Entry(1); run Entry(2) }
}
