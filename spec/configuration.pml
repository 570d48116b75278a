/*
 * Spreading of the configuration.
 *
 * Changes are accepted in the table, one revision after the other. Three
 * diskless hosts learn revisions from the table or from each other, and may be
 * replaced at any time, also while the table is away.
 *
 * Each BREAK_ name takes out one guard; the checker must then find a fault.
 */

#define HOSTS 3
#define REVISIONS 3
#define REPLACEMENTS 3

/* The table. */
byte revision = 0;                /* fleet-wide; every change raises it by one */
bool table_away = false;
byte outages = 0;

/* The hosts. */
bool ready[HOSTS];
byte have[HOSTS];
byte replaced = 0;

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
    :: atomic { !table_away && outages < 2 -> table_away = true; outages++ }
    :: atomic { table_away -> table_away = false }
    :: atomic { !table_away && revision < REVISIONS -> revision++ }
    od
}

active [HOSTS] proctype Host() {
    byte me = _pid - 1;           /* Table is process 0 */
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
