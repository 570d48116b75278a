/*
 * Ejection of targets with delayed evidence and a floor of healthy capacity.
 *
 * One host's control thread decides about four targets of one slot each.
 * Evidence from peers arrives late and may be false. Targets leave or finish
 * warming up at any time, and the operator may raise the floor. No ejection
 * takes the healthy capacity below the floor. While it is below the floor for
 * another reason, no target is ejected.
 *
 * Each BREAK_ name removes one guard; the checker must then find a violation.
 */

mtype = { WARMING, ACTIVE, EJECTED, LEAVING };

mtype state[4];
byte floor = 2;
bool initialized = false;
chan evidence = [2] of { byte };  /* targets reported as suspect */

inline count_healthy(count) {
    count = (state[0] == ACTIVE) + (state[1] == ACTIVE) + (state[2] == ACTIVE) + (state[3] == ACTIVE)
}

/* Peers and own traffic: evidence, true or false, about any target at any time. */
active proctype Evidence() {
    byte target;
end:
    do
    :: nfull(evidence) -> select(target : 0 .. 3); evidence!target; target = 0
    od
}

/* Up to two targets leave, and the operator raises the floor once. */
active proctype Environment() {
    byte target;
    byte leavings = 0;
    bool floor_raised = false;
    initialized;
end:
    do
    :: leavings < 2 -> select(target : 0 .. 3); d_step { state[target] = LEAVING; leavings++; target = 0 }
    :: !floor_raised -> atomic { floor = 3; floor_raised = true }
    od
}

/* The control thread handles each event in one step. */
active proctype Control() {
    byte target;
    byte healthy;
    d_step {
        state[0] = ACTIVE; state[1] = ACTIVE; state[2] = ACTIVE; state[3] = WARMING;
        initialized = true
    }
end:
    do
#ifdef BREAK_STALE_COUNT
    :: d_step { count_healthy(healthy) };
       evidence?target;
#else
    :: evidence?target;
#endif
       d_step {
#ifndef BREAK_STALE_COUNT
           count_healthy(healthy);
#endif
#ifdef BREAK_COUNTS_WARMING
           healthy = healthy + (state[0] == WARMING) + (state[1] == WARMING) + (state[2] == WARMING) + (state[3] == WARMING);
#endif
#ifdef BREAK_NO_FLOOR
           healthy = 4;
#endif
           if
           :: state[target] == ACTIVE && healthy >= floor + 1 ->
               state[target] = EJECTED;
               count_healthy(healthy);
               assert(healthy >= floor)
           :: else
           fi;
           healthy = 0;
           target = 0
       }
    :: select(target : 0 .. 3);  /* the ejection time is over, or the target is warm */
       d_step {
           if
           :: state[target] == EJECTED || state[target] == WARMING -> state[target] = ACTIVE
           :: else
           fi;
           target = 0
       }
    od
}
