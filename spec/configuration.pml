/*
 * Distribution of the configuration.
 *
 * The table accepts changes one at a time, each as a new revision. Three hosts
 * without disks fetch revisions from the table or from each other. They may be
 * replaced at any time, also while the table is unavailable.
 *
 * Each BREAK_ name removes one guard; the checker must then find a violation.
 */

#define HOSTS 3
#define REVISIONS 3
#define REPLACEMENTS 3

/* The table. */
byte revision = 0;  /* fleet-wide; every change increments it */
bool table_unavailable = false;
byte outages = 0;

/* The hosts: whether each is ready, and the revision that it has in force. */
bool ready[HOSTS];
byte in_force[HOSTS];
byte replacements = 0;

byte in_force_on_all = 0;  /* ghost variable: highest revision that was in force on all hosts */
byte lowest;

inline update_in_force_on_all() {
    if
    :: ready[0] && ready[1] && ready[2] ->
        lowest = in_force[0];
        if
        :: in_force[1] < lowest -> lowest = in_force[1]
        :: else
        fi;
        if
        :: in_force[2] < lowest -> lowest = in_force[2]
        :: else
        fi;
        if
        :: lowest > in_force_on_all -> in_force_on_all = lowest
        :: else
        fi;
        lowest = 0
    :: else
    fi
}

/* A ready host never has an older revision than one that was in force on all hosts. */
#define NEVER_REVERTS(h)  assert(!ready[h] || in_force[h] >= in_force_on_all)

active proctype Table() {
end:
    do
    :: atomic { !table_unavailable && outages < 2 -> table_unavailable = true; outages++ }
    :: atomic { table_unavailable -> table_unavailable = false }
    :: atomic { !table_unavailable && revision < REVISIONS -> revision++ }
    od
}

active [HOSTS] proctype Host() {
    byte self = _pid - 1;  /* Table is process 0 */
    byte peer;
    byte received;
end:
    do
    :: atomic { !table_unavailable && revision >= in_force[self] ->  /* read the table */
          in_force[self] = revision; ready[self] = true;
          update_in_force_on_all(); NEVER_REVERTS(self) }
    :: atomic { select(peer : 0 .. 2);
       if
#ifdef BREAK_EMPTY_PEER_ANSWERS
       :: peer != self -> received = in_force[peer]
#else
       :: peer != self && ready[peer] -> received = in_force[peer]
#endif
       :: else -> received = 99
       fi;
       peer = 0 };
       atomic {  /* the response may be late; 99 stands for none */
          if
          :: received == 99 -> skip
          :: received != 99 ->
              if
#ifdef BREAK_REVISION_FALLS
              :: true -> in_force[self] = received
#else
              :: received > in_force[self] -> in_force[self] = received
              :: else -> skip
#endif
              fi;
              ready[self] = true;
              update_in_force_on_all(); NEVER_REVERTS(self)
          fi;
          received = 0 }
    :: atomic { replacements < REPLACEMENTS ->  /* replaced by a new host without a configuration */
          ready[self] = false; in_force[self] = 0; replacements++ }
    od
}
