/*
 * The retry budget of a fleet, spent by each host alone.
 *
 * Two hosts share a slack of retries for one window. A host's share is the slack
 * divided by the hosts that it remembers. Links may be cut and hosts started anew at
 * any time; a host that has started learns of the other from the rows, once it can
 * read them.
 *
 * Each BREAK_ name takes out one guard; the checker must then find a fault.
 */

#define HOSTS 2
#define SLACK 4

bool cut = false;
byte cuts = 0;
byte starts = 0;

bool informed[HOSTS];             /* has learned of all hosts */
bool restarted[HOSTS];            /* began within the window */
byte remembered[HOSTS];           /* hosts, itself included */
byte heard[HOSTS];                /* hosts that are not silent */
byte spent[HOSTS];                /* by the present incarnation */
byte total = 0;                   /* ghost: retries of all hosts in the window */

#ifdef BREAK_LIVE_HOSTS
#define SHARE(h) (SLACK / heard[h])
#else
#define SHARE(h) (SLACK / remembered[h])
#endif

#ifdef BREAK_UNINFORMED
#define MAY_SPEND(h) (!restarted[h])
#else
#ifdef BREAK_RESTART
#define MAY_SPEND(h) (informed[h])
#else
#define MAY_SPEND(h) (informed[h] && !restarted[h])
#endif
#endif

init {
    byte h = 0;
    do
    :: h < HOSTS -> remembered[h] = 1; heard[h] = 1; h++
    :: else -> break
    od;
    run Links();
    run Host(0);
    run Host(1)
}

proctype Links() {
end:
    do
    :: atomic { !cut && cuts < 2 -> cut = true; cuts++; heard[0] = 1; heard[1] = 1 }
    :: atomic { cut -> cut = false }
    od
}

proctype Host(byte me) {
end:
    do
    :: atomic { !informed[me] -> informed[me] = true; remembered[me] = HOSTS }
    :: atomic { !cut && informed[me] -> heard[me] = HOSTS }
    :: atomic { MAY_SPEND(me) && spent[me] < SHARE(me) ->
          spent[me]++; total++;
          assert(total <= SLACK) }
    :: atomic { starts < 2 -> starts++;             /* started anew, knows nothing */
          informed[me] = false; restarted[me] = true;
          remembered[me] = 1; heard[me] = 1; spent[me] = 0 }
    od
}
