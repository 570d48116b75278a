/*
 * Acceptance of configuration changes.
 *
 * Two operators propose a change of one service by compare-and-set on the
 * fleet-wide revision in the table. If the response to a write is lost, the
 * write may still take effect, at once or later. Such a proposal is decided by
 * reading it back. If it isn't found, it is abandoned: a row for its id makes a
 * delayed write fail.
 *
 * Each BREAK_ name removes one guard; the checker must then find a violation.
 */

#define OPERATORS 2
#define REVISIONS 2

mtype = { OPEN, ACCEPTED, REJECTED, UNDECIDED };

/* The table. */
byte revision = 0;          /* fleet-wide; every change increments it */
byte author[3];             /* operator whose proposal made a revision, from 1; 0 for none */
bool abandoned[OPERATORS];  /* a row marks the proposal as abandoned */
bool table_unavailable = false;
byte outages = 0;

/* Delayed writes, and the revision on which each write is based. */
bool delayed[OPERATORS];
byte base[OPERATORS];

mtype result[OPERATORS] = OPEN;

active proctype Table() {
end:
    do
    :: atomic { !table_unavailable && outages < 1 -> table_unavailable = true; outages++ }
    :: atomic { table_unavailable -> table_unavailable = false }
    od
}

/* Whether the table applies the write of a proposal. */
#define CONDITIONS_HOLD(proposer)  (revision == base[proposer] && revision < REVISIONS && !abandoned[proposer])

inline apply(proposer) {
    revision++;
    author[revision] = proposer + 1
}

/* Writes whose response was lost arrive late or never. */
active proctype Network() {
    byte proposer;
end:
    do
    :: atomic { !table_unavailable && (delayed[0] || delayed[1]) ->
           if
           :: delayed[0] -> proposer = 0
           :: delayed[1] -> proposer = 1
           fi;
           delayed[proposer] = false;
           if
           :: CONDITIONS_HOLD(proposer) -> assert(result[proposer] != REJECTED); apply(proposer)
           :: else -> skip
           fi;
           base[proposer] = 0; proposer = 0 }
    od
}

/* An operator proposes one change, based on the revision that it has read. */
active [OPERATORS] proctype Operator() {
    byte self = _pid - 2;  /* Table is process 0, Network process 1 */

    atomic { !table_unavailable -> base[self] = revision };
    if
    :: atomic { !table_unavailable ->
#ifdef BREAK_NO_COMPARE
          if
          :: base[self] < REVISIONS -> revision = base[self]; apply(self); result[self] = ACCEPTED
          :: else -> result[self] = REJECTED
          fi
#else
          if
          :: CONDITIONS_HOLD(self) ->
              apply(self);
              if
              :: result[self] = ACCEPTED
              :: result[self] = UNDECIDED  /* applied, but the response is lost */
              fi
          :: else -> result[self] = REJECTED
          fi
#endif
       }
    :: atomic { delayed[self] = true; result[self] = UNDECIDED }
    fi;
    if
    :: result[self] == UNDECIDED ->
#ifdef BREAK_AMBIGUOUS_IS_REJECTED
        result[self] = REJECTED
#else
        atomic { !table_unavailable ->  /* read back by the id of the proposal */
            if
            :: author[1] == self + 1 || author[2] == self + 1 -> result[self] = ACCEPTED
            :: else ->
#ifndef BREAK_SETTLE_BY_READING
                abandoned[self] = true;
#endif
                result[self] = REJECTED
            fi }
#endif
    :: else -> skip
    fi;
    /* a rejected change never takes effect; an accepted one is never lost */
    assert(result[self] != REJECTED || (author[1] != self + 1 && author[2] != self + 1));
    assert(result[self] != ACCEPTED || author[1] == self + 1 || author[2] == self + 1)
}
