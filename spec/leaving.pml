/*
 * Leaving: a target gets no new requests later than BOUND ticks after it began
 * to leave and show its leave signal, and a host that shuts down breaks off no
 * request in flight.
 *
 * Time passes in ticks. Two hosts send requests to one target and probe it every
 * PROBE_PERIOD ticks. A leaving target shows the leave signal in its responses to
 * probes and requests, and the host list shows it HOST_LIST_LAG ticks later. The
 * hosts report it to each other unless the link between them is cut. Host 1 may
 * shut down: it is removed from the directory, accepts requests until cached
 * responses of the directory have expired, and exits when no request is in
 * flight.
 *
 * Each BREAK_ name removes one guard; the checker must then find a violation.
 */

#define PROBE_PERIOD  2
#define HOST_LIST_LAG 6
#define BOUND         3
#define DIRECTORY_TTL 2  /* ticks for which a caller caches a response of the directory */
#define LAST_TICK     8

byte now = 0;
byte leaving_since = 255;  /* when the target began to leave; 255 for not yet */
bool knows_leaving[2];
byte next_probe[2];
byte in_flight[2];
bool host_exited = false;   /* host 1 has exited; host 0 never does */
byte unlisted_since = 255;  /* when host 1 was removed from the directory; 255 for not yet */
byte resolved_at = 0;       /* when the caller last queried the directory */
byte resolved_host = 1;     /* the host that the directory returned */
bool link_cut = false;      /* the link between the hosts */

#define LEAVING (leaving_since != 255)

/* Time passes only when no probe is due. */
active proctype Time() {
    do
    :: d_step { (now < LAST_TICK
#ifndef BREAK_NO_PROBES
           && next_probe[0] > now && (next_probe[1] > now || host_exited)
#endif
           ) -> now++ }
    :: now == LAST_TICK -> break
    od
}

active proctype Environment() {
end:
    do
    :: d_step { !LEAVING && now < LAST_TICK -> leaving_since = now }
    :: d_step { !link_cut -> link_cut = true }
    od
}

inline learn_leaving(host) {
    knows_leaving[host] = true;
    if
    :: !link_cut -> knows_leaving[1 - host] = true
    :: else
    fi
}

active [2] proctype Host() {
    byte self = _pid - 2;
end:
    do
#ifndef BREAK_NO_PROBES
    :: d_step { next_probe[self] <= now && !(self == 1 && host_exited) ->
           next_probe[self] = now + PROBE_PERIOD;
           if
           :: LEAVING -> learn_leaving(self)
           :: else
           fi }
#endif
    :: d_step { LEAVING && now >= leaving_since + HOST_LIST_LAG && !knows_leaving[self] -> knows_leaving[self] = true }
    :: d_step { in_flight[self] > 0 ->  /* a response, with the leave signal if the target is leaving */
           in_flight[self]--;
           if
           :: LEAVING -> learn_leaving(self)
           :: else
           fi }
    /* a new request from the caller */
    :: d_step { in_flight[self] == 0 && now < LAST_TICK && resolved_host == self && now <= resolved_at + DIRECTORY_TTL ->
           assert(!(self == 1 && host_exited));  /* the caller finds the host running */
           if
           :: !knows_leaving[self] ->
               in_flight[self]++;
               assert(!LEAVING || now <= leaving_since + BOUND)
           :: else
           fi }
    /* host 1 shuts down */
    :: d_step { self == 1 && unlisted_since == 255 -> unlisted_since = now }
    :: d_step { (self == 1 && unlisted_since != 255 && !host_exited
#ifndef BREAK_EXITS_AT_ONCE
           && now > unlisted_since + DIRECTORY_TTL
#endif
#ifndef BREAK_CUTS_WORK
           && in_flight[1] == 0
#endif
           ) -> host_exited = true; assert(in_flight[1] == 0) }
    od
}

active proctype Caller() {
end:
    do
    :: d_step { now < LAST_TICK && (resolved_at != now || resolved_host == 1) ->
           resolved_at = now;
           if
           :: unlisted_since == 255 -> resolved_host = 1
           :: else -> resolved_host = 0
           fi }
    od
}
