/*
 * Acceptance and spreading of the configuration.
 *
 * Two operators propose a change of one service by compare-and-set on the fleet
 * revision in the table. A write may take effect while its answer is lost; it
 * is then resolved by reading the proposal back. Three diskless hosts learn
 * revisions from the table or from each other, and may be replaced at any time,
 * also while the table is away.
 *
 * Each BREAK_ name takes out one guard; the checker must then find a fault.
 */

#define HOSTS 3
#define OPERATORS 2
#define REVISIONS 2
#define REPLACEMENTS 2

mtype = { OPEN, ACCEPTED, REJECTED, UNDECIDED };

/* The table. */
byte revision = 0;                /* fleet-wide; every change raises it by one */
byte author[3];                   /* which operator's proposal made a revision */
bool table_away = false;
byte outages = 0;

/* The hosts. */
bool ready[HOSTS];
byte have[HOSTS];
byte replaced = 0;

mtype told[OPERATORS] = OPEN;
byte everywhere = 0;              /* ghost: highest revision in force everywhere */
byte lowest;

inline note_everywhere() {
    if
    :: ready[0] && ready[1] && ready[2] ->
        lowest = have[0];
        if
        :: have[1] < lowest -> lowest = have[1]
        :: else
        fi;
        if
        :: have[2] < lowest -> lowest = have[2]
        :: else
        fi;
        if
        :: lowest > everywhere -> everywhere = lowest
        :: else
        fi;
        lowest = 0
    :: else
    fi
}

/* A host never serves an older revision than one that was in force everywhere. */
#define NEVER_REVERTS(h)  assert(!ready[h] || have[h] >= everywhere)

active proctype Table() {
end:
    do
    :: atomic { !table_away && outages < 1 -> table_away = true; outages++ }
    :: atomic { table_away -> table_away = false }
    od
}

/* An operator publishes one change based on the revision it has seen. */
active [OPERATORS] proctype Operator() {
    byte me = _pid - 1;           /* Table is process 0 */
    byte base;
    bool written = false;

    atomic { !table_away -> base = revision };
    if
    :: atomic { !table_away ->
#ifdef BREAK_NO_COMPARE
          if
          :: base < REVISIONS ->
              revision = base + 1; author[revision] = me + 1; written = true; told[me] = ACCEPTED
          :: else -> told[me] = REJECTED
          fi
#else
          if
          :: revision == base && revision < REVISIONS ->
              revision++; author[revision] = me + 1; written = true;
              if
              :: told[me] = ACCEPTED
              :: told[me] = UNDECIDED     /* effect without an answer */
              fi
          :: else -> told[me] = REJECTED
          fi
#endif
       }
    :: told[me] = UNDECIDED               /* neither effect nor answer */
    fi;
    if
    :: told[me] == UNDECIDED ->
#ifdef BREAK_AMBIGUOUS_IS_REJECTED
        told[me] = REJECTED
#else
        atomic { !table_away ->           /* read back by the proposal's id */
            if
            :: author[1] == me + 1 || author[2] == me + 1 -> told[me] = ACCEPTED
            :: else -> told[me] = REJECTED
            fi }
#endif
    :: else -> skip
    fi;
    assert(told[me] != REJECTED || !written);
    /* an accepted change is never lost to another operator's */
    assert(told[me] != ACCEPTED || author[1] == me + 1 || author[2] == me + 1);
    atomic { base = 0; written = false; told[me] = OPEN }
}

active [HOSTS] proctype Host() {
    byte me = _pid - 1 - OPERATORS;
    byte peer;
    byte learnt;
end:
    do
    :: atomic { !table_away && revision >= have[me] ->    /* read the table */
          have[me] = revision; ready[me] = true;
          note_everywhere(); NEVER_REVERTS(me) }
    :: atomic { select(peer : 0 .. 2);
       if
#ifdef BREAK_EMPTY_PEER_ANSWERS
       :: peer != me -> learnt = have[peer]
#else
       :: peer != me && ready[peer] -> learnt = have[peer]
#endif
       :: else -> learnt = 99
       fi;
       peer = 0 };
       atomic {                           /* the answer may be late */
          if
          :: learnt == 99 -> skip
          :: learnt != 99 ->
              if
#ifdef BREAK_REVISION_FALLS
              :: true -> have[me] = learnt
#else
              :: learnt > have[me] -> have[me] = learnt
              :: else -> skip
#endif
              fi;
              ready[me] = true;
              note_everywhere(); NEVER_REVERTS(me)
          fi;
          learnt = 0 }
    :: atomic { replaced < REPLACEMENTS -> /* replaced: a new, empty host */
          ready[me] = false; have[me] = 0; replaced++ }
    od
}
