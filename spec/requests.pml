/*
 * Request ids and dispatch: a non-idempotent request runs at most once, and a
 * request that is reported to the caller as "not run" has not run.
 *
 * One caller sends up to COPIES copies of one request to the home host of its
 * id and to another host, in any order. Copies and responses may be delayed,
 * lost or reordered. The home host may be replaced at any time by a new
 * incarnation with an empty ledger. Pauses of processes are covered without a
 * transition for them: the checker also explores runs in which a process takes
 * no step for any time.
 *
 * Each BREAK_ name removes one guard; the checker must then find a violation.
 */

#define COPIES 3

mtype = { FREE, PENDING, COMPLETED, NOT_RUN, UNKNOWN };

chan to_home     = [COPIES] of { bit };    /* copies in transit to the home host */
chan to_other    = [COPIES] of { bit };    /* copies in transit to another host */
chan to_target   = [COPIES] of { byte };   /* dispatched copies, each the dispatching incarnation */
chan to_caller   = [COPIES] of { mtype };  /* responses to the caller */
chan from_target = [COPIES] of { byte };   /* the target's responses, each the dispatching incarnation */

byte incarnation = 0;  /* of the home host; the id names incarnation 0 */
mtype ledger = FREE;   /* state of the id in the home host's ledger */

byte runs = 0;                    /* ghost variable: how often the target ran the request */
bool reported_not_run = false;    /* ghost variable: the caller got the result "not run" */
bool reported_completed = false;  /* ghost variable: the caller got the result "completed" */

#define SAFE  assert(runs <= 1 && !(reported_not_run && runs > 0) && (!reported_completed || runs == 1))

inline respond(outcome) {
    if
    :: nfull(to_caller) -> to_caller!outcome
    :: true -> skip  /* the response is lost */
    fi
}

/* The caller sends copies and receives responses. */
active proctype Caller() {
    byte sent = 0;
    mtype outcome;
end:
    do
    :: sent < COPIES && nfull(to_home)  -> to_home!1;  sent++
    :: sent < COPIES && nfull(to_other) -> to_other!1; sent++
    :: atomic { to_caller?outcome ->
            if
            :: outcome == NOT_RUN   -> reported_not_run = true
            :: outcome == COMPLETED -> reported_completed = true
            :: else -> skip
            fi;
            SAFE }
    od
}

/* The network loses copies. */
active proctype Network() {
    bit copy;
end:
    do
    :: to_home?copy
    :: to_other?copy
    od
}

/* Another host forwards copies to the home host; it never dispatches them itself. */
active proctype OtherHost() {
    bit copy;
end:
    do
    :: to_other?copy ->
        if
        :: nfull(to_home) -> to_home!copy
        :: true ->  /* the home host is unreachable */
#ifdef BREAK_OTHER_DISPATCHES
            if
            :: nfull(to_target) -> to_target!incarnation
            :: full(to_target) -> skip
            fi;
#endif
#ifdef BREAK_OTHER_SAYS_NOT_RUN
            respond(NOT_RUN)
#else
            respond(UNKNOWN)
#endif
        fi
    od
}

/* The home host admits a copy, dispatches it once, and records the outcome. */
active proctype HomeHost() {
    bit copy;
    byte dispatched_by;
end:
    do
    :: atomic { to_home?copy ->
        if
#ifndef BREAK_INCARNATION
        :: incarnation != 0 -> respond(UNKNOWN)
        :: incarnation == 0 && ledger == FREE ->
#else
        :: ledger == FREE ->
#endif
            if
            :: nfull(to_target) ->  /* admitted */
#ifndef BREAK_LEDGER
                ledger = PENDING;
#endif
                to_target!incarnation
            :: true ->  /* refused: no slot, queue full */
#ifndef BREAK_NOT_RUN_IS_NOT_FINAL
                ledger = NOT_RUN;
#endif
                respond(NOT_RUN)
            fi
#ifndef BREAK_INCARNATION
        :: incarnation == 0 && ledger != FREE ->
#else
        :: ledger != FREE ->
#endif
            if
            :: ledger == PENDING -> respond(UNKNOWN)
            :: else -> respond(ledger)
            fi
        fi }
    :: atomic { from_target?dispatched_by ->
        if
        :: dispatched_by == incarnation -> ledger = COMPLETED; respond(COMPLETED)
        :: else -> skip  /* the connection broke with the earlier incarnation */
        fi }
    :: atomic { ledger == PENDING ->  /* the deadline passed or the connection broke */
#ifdef BREAK_NOT_RUN_AFTER_DISPATCH
        ledger = NOT_RUN; respond(NOT_RUN)
#else
        ledger = UNKNOWN; respond(UNKNOWN)
#endif
        }
    :: atomic { incarnation == 0 ->  /* replaced by a new incarnation */
        incarnation = 1; ledger = FREE }
    od
}

/* The target runs every copy that arrives, however late. Its response may be lost. */
active proctype Target() {
    byte dispatched_by;
end:
    do
    :: atomic { to_target?dispatched_by -> runs++; SAFE };
        if
        :: nfull(from_target) -> from_target!dispatched_by
        :: true -> skip
        fi
    :: to_target?dispatched_by  /* lost on the way to the target */
    od
}
