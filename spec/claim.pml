/*
 * Keys brought by the caller: a request is claimed in the table before it is
 * dispatched, so that any host may take it and none runs it twice.
 *
 * Two hosts receive copies of one keyed request. A copy names the attempt that
 * it belongs to; a caller starts the next attempt only after it was told that
 * the last one was not run. Claims are conditional writes of the table that may
 * take effect without an answer. Hosts may stop at any point and never hold a
 * lease: a claim belongs to one host's one try for good.
 *
 * Each BREAK_ name takes out one guard; the checker must then find a fault.
 */

#define HOSTS 2
#define ATTEMPTS 2
#define COPIES 2          /* copies of each attempt */

mtype = { NONE, CLAIMED, COMPLETED, NOT_RUN };

/* The item of the table: one transactional record. */
mtype state = NONE;
byte  attempt = 0;        /* the attempt that the claim is for, from 1 */
byte  holder = 255;

bool  table_away = false;
byte  outages = 0;

chan  copies = [4] of { byte };      /* copies of the request, by attempt */
byte  sent[3];

byte  runs = 0;
byte  ran_attempt = 0;
byte  told_not_run = 0;              /* ghost: highest attempt told "not run" */

#define SAFE assert(runs <= 1 && (runs == 0 || ran_attempt > told_not_run))
#define CLAIMABLE(a) ((a == 1 && state == NONE) || (state == NOT_RUN && attempt + 1 == a))

inline tell_not_run(a) {
    if
    :: told_not_run < a -> told_not_run = a
    :: else -> skip
    fi;
    SAFE
}

active proctype Caller() {
    byte now = 1;
end:
    do
    :: sent[now] < COPIES && nfull(copies) -> copies!now; sent[now]++
    :: now < ATTEMPTS && told_not_run == now -> now++
    od
}

active proctype Outage() {
end:
    do
    :: !table_away && outages < 1 -> table_away = true; outages++
    :: table_away -> table_away = false
    od
}

active [HOSTS] proctype Host() {
    byte a;
    bool mine;
end:
    do
    :: copies??a -> mine = false;
        /* claim: a conditional write, read back when its answer is lost */
        if
        :: atomic { !table_away &&
#ifdef BREAK_ATTEMPT_UNCHECKED
              (state == NONE || state == NOT_RUN) ->
#else
              CLAIMABLE(a) ->
#endif
              state = CLAIMED; attempt = a; holder = _pid;
              if
              :: mine = true             /* answered, or read back */
              :: skip                    /* cannot be read: unknown */
              fi }
        :: atomic { table_away ->
#ifdef BREAK_DISPATCH_WITHOUT_CLAIM
              mine = true
#else
              skip                       /* refused as the contract says */
#endif
           }
#ifdef BREAK_UNCONDITIONAL_CLAIM
        :: atomic { !table_away -> state = CLAIMED; attempt = a; holder = _pid; mine = true }
#endif
        :: atomic { !table_away && !CLAIMABLE(a) ->
              if
              :: state == NOT_RUN && attempt == a -> tell_not_run(a)
              :: else -> skip            /* completed, pending or unknown */
              fi }
        fi;
        if
        :: !mine -> skip
        :: mine ->
            if
            :: atomic { true -> runs++; ran_attempt = a; SAFE };
                if
                :: atomic { !table_away ->
                      if
                      :: state == CLAIMED && attempt == a && holder == _pid -> state = COMPLETED
                      :: else -> skip
                      fi }
                :: skip                  /* stopped: the claim stays open */
                fi
            :: atomic { !table_away ->   /* certainly not run, and recorded so */
                  state = NOT_RUN; tell_not_run(a) };
#ifdef BREAK_DISPATCH_AFTER_NOT_RUN
                atomic { runs++; ran_attempt = a; SAFE }
#endif
            :: skip                      /* stopped before the dispatch */
            fi
        fi;
        a = 0
    od
}
