/*
 * Request ids and dispatch: a non-idempotent request runs at most once, and a
 * caller that is told "not run" was told the truth.
 *
 * One caller sends up to COPIES copies of one request to the home host of its
 * id and to another host, in any order. Copies and answers may be delayed, lost
 * or overtaken. The home host may be replaced by a new incarnation at any time,
 * which forgets its ledger. Pauses need no action of their own: a process that
 * takes no step is paused.
 *
 * Each BREAK_ name takes out one guard; the checker must then find a fault.
 */

#define COPIES 3

mtype = { FREE, PENDING, COMPLETED, NOT_RUN, UNKNOWN };

chan to_home   = [COPIES] of { bit };    /* copies on their way to the home host */
chan to_other  = [COPIES] of { bit };    /* copies on their way to another host */
chan to_target = [COPIES] of { byte };   /* dispatched copies, by incarnation */
chan to_caller = [COPIES] of { mtype };  /* answers */
chan done      = [COPIES] of { byte };   /* the target's answers to the home host */

byte incarnation = 0;      /* of the home host; the id names incarnation 0 */
mtype ledger = FREE;       /* the home host's entry for the id */

byte runs = 0;             /* ghost: how often the target ran the request */
bool told_not_run = false; /* ghost: a caller was told "not run" */
bool told_done = false;    /* ghost: a caller was told "completed" */

#define SAFE  assert(runs <= 1 && !(told_not_run && runs > 0) && (!told_done || runs == 1))

inline tell(outcome) {
    if
    :: nfull(to_caller) -> to_caller!outcome
    :: true -> skip                      /* the answer is lost */
    fi
}

/* The caller sends copies and hears answers. */
active proctype Caller() {
    byte sent = 0;
    mtype outcome;
end:
    do
    :: sent < COPIES && nfull(to_home)  -> to_home!1;  sent++
    :: sent < COPIES && nfull(to_other) -> to_other!1; sent++
    :: atomic { to_caller?outcome ->
            if
            :: outcome == NOT_RUN   -> told_not_run = true
            :: outcome == COMPLETED -> told_done = true
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

/* Another host forwards to the home host; it never dispatches the id. */
active proctype OtherHost() {
    bit copy;
end:
    do
    :: to_other?copy ->
        if
        :: nfull(to_home) -> to_home!copy
        :: true ->                       /* the home host is not reachable */
#ifdef BREAK_OTHER_DISPATCHES
            if
            :: nfull(to_target) -> to_target!incarnation
            :: full(to_target) -> skip
            fi;
#endif
#ifdef BREAK_OTHER_SAYS_NOT_RUN
            tell(NOT_RUN)
#else
            tell(UNKNOWN)
#endif
        fi
    od
}

/* The home host admits, dispatches once, and remembers the outcome. */
active proctype HomeHost() {
    bit copy;
    byte answered;
end:
    do
    :: atomic { to_home?copy ->
        if
#ifndef BREAK_INCARNATION
        :: incarnation != 0 -> tell(UNKNOWN)
        :: incarnation == 0 && ledger == FREE ->
#else
        :: ledger == FREE ->
#endif
            if
            :: nfull(to_target) ->       /* admitted */
#ifndef BREAK_LEDGER
                ledger = PENDING;
#endif
                to_target!incarnation
            :: true ->                   /* refused: no slot, queue full */
#ifndef BREAK_NOT_RUN_IS_NOT_FINAL
                ledger = NOT_RUN;
#endif
                tell(NOT_RUN)
            fi
#ifndef BREAK_INCARNATION
        :: incarnation == 0 && ledger != FREE ->
#else
        :: ledger != FREE ->
#endif
            if
            :: ledger == PENDING -> tell(UNKNOWN)
            :: else -> tell(ledger)
            fi
        fi }
    :: atomic { done?answered ->
        if
        :: answered == incarnation -> ledger = COMPLETED; tell(COMPLETED)
        :: else -> skip                  /* the connection died with its host */
        fi }
    :: atomic { ledger == PENDING ->     /* deadline, or the connection broke */
#ifdef BREAK_NOT_RUN_AFTER_DISPATCH
        ledger = NOT_RUN; tell(NOT_RUN)
#else
        ledger = UNKNOWN; tell(UNKNOWN)
#endif
        }
    :: atomic { incarnation == 0 ->      /* the host is replaced */
        incarnation = 1; ledger = FREE }
    od
}

/* The target runs what reaches it, also late, and its answer may be lost. */
active proctype Target() {
    byte from;
end:
    do
    :: atomic { to_target?from -> runs++; SAFE };
        if
        :: nfull(done) -> done!from
        :: true -> skip
        fi
    :: to_target?from                    /* lost before the target */
    od
}
