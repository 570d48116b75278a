/*
 * Leaving: a target that leaves gets no new work later than BOUND after its
 * first sign, and a host that shuts down cuts no request in flight.
 *
 * Time passes in ticks. Two hosts send work to one target and probe it every
 * PROBE ticks. The target shows its sign on probes and answers; the host list
 * shows it LAG ticks later; the hosts tell each other, unless the link between
 * them is cut. One host may shut down: it leaves the directory, accepts for as
 * long as an answer of the directory is kept, and exits when its work is done.
 *
 * Each BREAK_ name takes out one guard; the checker must then find a fault.
 */

#define PROBE 2
#define LAG   6
#define BOUND 3
#define KEEP  2     /* ticks that a caller keeps a directory answer */
#define END   8

byte now = 0;
byte left_at = 255;       /* when the target began to leave */
bool knows[2];
byte next_probe[2];
byte in_flight[2];
bool exited = false;      /* host 1 only */
byte leaves_at = 255;     /* when host 1 left the directory */
byte answer_at = 0;       /* when the caller last asked the directory */
byte answer_host = 1;     /* the host that the directory named */
bool cut = false;         /* between the hosts */

#define LEAVING (left_at != 255)

/* Time passes only when no probe is due and no caller's answer is stale. */
active proctype Time() {
    do
    :: d_step { (now < END
#ifndef BREAK_NO_PROBES
           && next_probe[0] > now && (next_probe[1] > now || exited)
#endif
           ) -> now++ }
    :: now == END -> break
    od
}

active proctype World() {
end:
    do
    :: d_step { !LEAVING && now < END -> left_at = now }
    :: d_step { !cut -> cut = true }
    od
}

inline learn(h) {
    knows[h] = true;
    if
    :: !cut -> knows[1 - h] = true
    :: else
    fi
}

active [2] proctype Host() {
    byte me = _pid - 2;
end:
    do
#ifndef BREAK_NO_PROBES
    :: d_step { next_probe[me] <= now && !(me == 1 && exited) ->
           next_probe[me] = now + PROBE;
           if
           :: LEAVING -> learn(me)
           :: else
           fi }
#endif
    :: d_step { LEAVING && now >= left_at + LAG && !knows[me] -> knows[me] = true }
    :: d_step { in_flight[me] > 0 ->           /* an answer, with the sign */
           in_flight[me]--;
           if
           :: LEAVING -> learn(me)
           :: else
           fi }
    /* new work from a caller */
    :: d_step { in_flight[me] == 0 && now < END && answer_host == me && now <= answer_at + KEEP ->
           assert(!(me == 1 && exited));       /* the caller is not refused */
           if
           :: !knows[me] ->
               in_flight[me]++;
               assert(!LEAVING || now <= left_at + BOUND)
           :: else
           fi }
    /* host 1 shuts down */
    :: d_step { me == 1 && leaves_at == 255 -> leaves_at = now }
    :: d_step { (me == 1 && leaves_at != 255 && !exited
#ifndef BREAK_EXITS_AT_ONCE
           && now > leaves_at + KEEP
#endif
#ifndef BREAK_CUTS_WORK
           && in_flight[1] == 0
#endif
           ) -> exited = true; assert(in_flight[1] == 0) }
    od
}

active proctype Caller() {
end:
    do
    :: d_step { now < END && (answer_at != now || answer_host == 1) ->
           answer_at = now;
           if
           :: leaves_at == 255 -> answer_host = 1
           :: else -> answer_host = 0
           fi }
    od
}
