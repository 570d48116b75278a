/*
 * The retry budget of a fleet, divided among hosts that don't coordinate.
 *
 * Two hosts share the slack of the budget, a number of retries, in one window. The
 * share of a host is the slack divided by the number of hosts that it remembers. The
 * link between the hosts may be cut and hosts may be restarted at any time. A
 * restarted host learns of the other one from the rows of the store, once it can read
 * them. Budget shares are computed by budgetShare and openBudget of package fleet.
 *
 * Each BREAK_ name removes one guard; the checker must then find a violation.
 */

#define HOSTS 2
#define SLACK 4

bool link_cut = false;
byte cuts = 0;
byte restarts = 0;

bool membership_known[HOSTS];  /* has learned of all hosts from the store */
bool restarted[HOSTS];         /* started within the window */
byte remembered[HOSTS];        /* number of hosts known, including itself and lost ones */
byte live[HOSTS];              /* number of hosts taken to be alive, including itself */
byte spent[HOSTS];             /* retries by the current incarnation */
byte total = 0;                /* ghost variable: retries of all hosts in the window */

#ifdef BREAK_LIVE_HOSTS
#define SHARE(h) (SLACK / live[h])
#else
#define SHARE(h) (SLACK / remembered[h])
#endif

#ifdef BREAK_UNINFORMED
#define MAY_SPEND(h) (!restarted[h])
#else
#ifdef BREAK_RESTART
#define MAY_SPEND(h) (membership_known[h])
#else
#define MAY_SPEND(h) (membership_known[h] && !restarted[h])
#endif
#endif

init {
    byte h = 0;
    do
    :: h < HOSTS -> remembered[h] = 1; live[h] = 1; h++
    :: else -> break
    od;
    run Link();
    run Host(0);
    run Host(1)
}

proctype Link() {
end:
    do
    :: atomic { !link_cut && cuts < 2 -> link_cut = true; cuts++; live[0] = 1; live[1] = 1 }
    :: atomic { link_cut -> link_cut = false }
    od
}

proctype Host(byte self) {
end:
    do
    :: atomic { !membership_known[self] -> membership_known[self] = true; remembered[self] = HOSTS }
    :: atomic { !link_cut && membership_known[self] -> live[self] = HOSTS }
    :: atomic { MAY_SPEND(self) && spent[self] < SHARE(self) ->
          spent[self]++; total++;
          assert(total <= SLACK) }
    :: atomic { restarts < 2 -> restarts++;  /* restarted with no knowledge */
          membership_known[self] = false; restarted[self] = true;
          remembered[self] = 1; live[self] = 1; spent[self] = 0 }
    od
}
