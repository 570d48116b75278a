/*
 * Ejection under the floor with delayed evidence.
 *
 * One host's control thread judges four targets of one slot each. Evidence from
 * peers comes late and may be false; targets leave or warm up at any time; the
 * operator may raise the floor. No ejection takes the healthy capacity below
 * the floor; when something else does, no target is ejected.
 *
 * Each BREAK_ name takes out one guard; the checker must then find a fault.
 */

mtype = { WARMING, ACTIVE, EJECTED, LEAVING };

mtype state[4];
byte floor = 2;
bool started = false;
chan evidence = [2] of { byte };  /* targets that somebody calls gray */

inline count_healthy(n) {
    n = (state[0] == ACTIVE) + (state[1] == ACTIVE) + (state[2] == ACTIVE) + (state[3] == ACTIVE)
}

/* Peers and traffic: true or false evidence, at any time. */
active proctype Evidence() {
    byte t;
end:
    do
    :: nfull(evidence) -> select(t : 0 .. 3); evidence!t; t = 0
    od
}

/* The platform: targets leave; the operator raises the floor once. */
active proctype World() {
    byte t;
    byte left = 0;
    bool raised = false;
    started;
end:
    do
    :: left < 2 -> select(t : 0 .. 3); d_step { state[t] = LEAVING; left++; t = 0 }
    :: !raised -> atomic { floor = 3; raised = true }
    od
}

/* The control thread: each event is one step. */
active proctype Control() {
    byte t;
    byte counted;
    d_step {
        state[0] = ACTIVE; state[1] = ACTIVE; state[2] = ACTIVE; state[3] = WARMING;
        started = true
    }
end:
    do
#ifdef BREAK_STALE_COUNT
    :: d_step { count_healthy(counted) };
       evidence?t;
#else
    :: evidence?t;
#endif
       d_step {
#ifndef BREAK_STALE_COUNT
           count_healthy(counted);
#endif
#ifdef BREAK_COUNTS_WARMING
           counted = counted + (state[0] == WARMING) + (state[1] == WARMING) + (state[2] == WARMING) + (state[3] == WARMING);
#endif
#ifdef BREAK_NO_FLOOR
           counted = 4;
#endif
           if
           :: state[t] == ACTIVE && counted >= floor + 1 ->
               state[t] = EJECTED;
               count_healthy(counted);
               assert(counted >= floor)
           :: else
           fi;
           counted = 0;
           t = 0
       }
    :: select(t : 0 .. 3);               /* ejection time over, or warmed up */
       d_step {
           if
           :: state[t] == EJECTED || state[t] == WARMING -> state[t] = ACTIVE
           :: else
           fi;
           t = 0
       }
    od
}
