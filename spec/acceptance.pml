/*
 * Acceptance of changes of the configuration.
 *
 * Two operators propose a change of one service by compare-and-set on the fleet
 * revision in the table. A write may take effect while its answer is lost, at
 * once or later. It is resolved by reading the proposal back; one that is not
 * there is abandoned by a record under its id, which a late write then finds.
 *
 * Each BREAK_ name takes out one guard; the checker must then find a fault.
 */

#define OPERATORS 2
#define REVISIONS 2

mtype = { OPEN, ACCEPTED, REJECTED, UNDECIDED };

/* The table. */
byte revision = 0;                /* fleet-wide; every change raises it by one */
byte author[3];                   /* which operator's proposal made a revision */
bool abandoned[OPERATORS];        /* a record that ends the proposal */
bool table_away = false;
byte outages = 0;

/* Writes on their way, with the revision that they were based on. */
bool late[OPERATORS];
byte base[OPERATORS];

mtype told[OPERATORS] = OPEN;

active proctype Table() {
end:
    do
    :: atomic { !table_away && outages < 1 -> table_away = true; outages++ }
    :: atomic { table_away -> table_away = false }
    od
}

/* takes_effect applies a proposal if its conditions hold. */
#define CONDITION(me)  (revision == base[me] && revision < REVISIONS && !abandoned[me])

inline take_effect(me) {
    revision++;
    author[revision] = me + 1
}

/* Writes whose answers were lost arrive late, or never. */
active proctype Network() {
    byte me;
end:
    do
    :: atomic { !table_away && (late[0] || late[1]) ->
           if
           :: late[0] -> me = 0
           :: late[1] -> me = 1
           fi;
           late[me] = false;
           if
           :: CONDITION(me) -> assert(told[me] != REJECTED); take_effect(me)
           :: else -> skip
           fi;
           base[me] = 0; me = 0 }
    od
}

/* An operator publishes one change based on the revision it has seen. */
active [OPERATORS] proctype Operator() {
    byte me = _pid - 2;           /* Table is process 0, Network process 1 */

    atomic { !table_away -> base[me] = revision };
    if
    :: atomic { !table_away ->
#ifdef BREAK_NO_COMPARE
          if
          :: base[me] < REVISIONS -> revision = base[me]; take_effect(me); told[me] = ACCEPTED
          :: else -> told[me] = REJECTED
          fi
#else
          if
          :: CONDITION(me) ->
              take_effect(me);
              if
              :: told[me] = ACCEPTED
              :: told[me] = UNDECIDED     /* effect without an answer */
              fi
          :: else -> told[me] = REJECTED
          fi
#endif
       }
    :: atomic { late[me] = true; told[me] = UNDECIDED }
    fi;
    if
    :: told[me] == UNDECIDED ->
#ifdef BREAK_AMBIGUOUS_IS_REJECTED
        told[me] = REJECTED
#else
        atomic { !table_away ->           /* read back by the proposal's id */
            if
            :: author[1] == me + 1 || author[2] == me + 1 -> told[me] = ACCEPTED
            :: else ->
#ifndef BREAK_SETTLE_BY_READING
                abandoned[me] = true;
#endif
                told[me] = REJECTED
            fi }
#endif
    :: else -> skip
    fi;
    /* a rejected change has no effect; an accepted one is never lost */
    assert(told[me] != REJECTED || (author[1] != me + 1 && author[2] != me + 1));
    assert(told[me] != ACCEPTED || author[1] == me + 1 || author[2] == me + 1)
}
