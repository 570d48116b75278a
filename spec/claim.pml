/*
 * Idempotency keys of callers: a request with a key is claimed in the table
 * before it is dispatched, so that any host may accept it and it runs at most
 * once.
 *
 * Two hosts receive copies of one request with a key. A copy carries the number
 * of the attempt that it belongs to. The caller starts the next attempt only
 * after a response that the previous one was not run. Claims are conditional
 * writes to the table, which may take effect although the response is lost.
 * Hosts may stop at any point. A claim is no lease: it never expires, and
 * belongs to one try of one host.
 *
 * Each BREAK_ name removes one guard; the checker must then find a violation.
 */

#define HOSTS 2
#define ATTEMPTS 2
#define COPIES 2  /* copies of each attempt */

mtype = { NONE, CLAIMED, COMPLETED, NOT_RUN };

/* The row of the key in the table. Each write to it is atomic. */
mtype state = NONE;
byte  attempt = 0;  /* the attempt that is claimed, from 1 */
byte  claimed_by = 255;

bool  table_unavailable = false;
byte  outages = 0;

chan copies = [4] of { byte };  /* copies of the request, each the number of its attempt */
byte  sent[3];

byte  runs = 0;
byte  ran_attempt = 0;
byte  reported_not_run = 0;  /* ghost variable: last attempt reported as "not run" */

#define SAFE assert(runs <= 1 && (runs == 0 || ran_attempt > reported_not_run))
#define CLAIMABLE(number) ((number == 1 && state == NONE) || (state == NOT_RUN && attempt + 1 == number))

inline report_not_run(number) {
    if
    :: reported_not_run < number -> reported_not_run = number
    :: else -> skip
    fi;
    SAFE
}

active proctype Caller() {
    byte current = 1;
end:
    do
    :: sent[current] < COPIES && nfull(copies) -> copies!current; sent[current]++
    :: current < ATTEMPTS && reported_not_run == current -> current++
    od
}

active proctype Outage() {
end:
    do
    :: !table_unavailable && outages < 1 -> table_unavailable = true; outages++
    :: table_unavailable -> table_unavailable = false
    od
}

active [HOSTS] proctype Host() {
    byte number;
    bool claimed;
end:
    do
    :: copies??number -> claimed = false;
        /* claim the key by a conditional write, read back if the response is lost */
        if
        :: atomic { !table_unavailable &&
#ifdef BREAK_ATTEMPT_UNCHECKED
              (state == NONE || state == NOT_RUN) ->
#else
              CLAIMABLE(number) ->
#endif
              state = CLAIMED; attempt = number; claimed_by = _pid;
              if
              :: claimed = true  /* confirmed by the response or by reading back */
              :: skip            /* can't be read back: the outcome is unknown */
              fi }
        :: atomic { table_unavailable ->
#ifdef BREAK_DISPATCH_WITHOUT_CLAIM
              claimed = true
#else
              skip  /* refused, as the contract says for a key outage */
#endif
           }
#ifdef BREAK_UNCONDITIONAL_CLAIM
        :: atomic { !table_unavailable -> state = CLAIMED; attempt = number; claimed_by = _pid; claimed = true }
#endif
        :: atomic { !table_unavailable && !CLAIMABLE(number) ->
              if
              :: state == NOT_RUN && attempt == number -> report_not_run(number)
              :: else -> skip  /* the response says completed, pending or unknown */
              fi }
        fi;
        if
        :: !claimed -> skip
        :: claimed ->
            if
            :: atomic { true -> runs++; ran_attempt = number; SAFE };
                if
                :: atomic { !table_unavailable ->
                      if
                      :: state == CLAIMED && attempt == number && claimed_by == _pid -> state = COMPLETED
                      :: else -> skip
                      fi }
                :: skip  /* the host stopped: the claim stays without an outcome */
                fi
            :: atomic { !table_unavailable ->  /* certainly not run, and stored as such */
                  state = NOT_RUN; report_not_run(number) };
#ifdef BREAK_DISPATCH_AFTER_NOT_RUN
                atomic { runs++; ran_attempt = number; SAFE }
#endif
            :: skip  /* the host stopped before the dispatch */
            fi
        fi;
        number = 0
    od
}
