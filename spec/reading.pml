/*
 * Copies of the targets in the store: few hosts read the store, and the others
 * rely on their reports.
 *
 * Time passes in ticks. Each of three hosts holds a copy of the targets with a
 * stamp, the store's time at which the copy was last confirmed. The first host
 * reads the store at every tick. The others read it when their copy is older than
 * a limit that grows with their rank. A host that receives a later stamp adopts it
 * for its own copy if both copies are equal, and otherwise fetches the copy.
 * Reports arrive one tick after they were sent. A target begins to leave at some
 * tick, and the first two hosts may be lost. See readDue and mergeStamps of
 * package fleet.
 *
 * Each BREAK_ name removes one guard; the checker must then find a violation.
 */

#define HOSTS    3
#define TICKS    12
#define READ_AGE 2  /* age of the copy at which the second host reads the store */
#define BOUND    4  /* ticks after which every host knows that the target is leaving */

byte now = 0;
bool leaving = false;
byte leaving_since = 0;

bool lost[HOSTS];
byte confirmed[HOSTS];      /* stamp: the store's time of the last confirmation */
bool knows_leaving[HOSTS];  /* the copy shows the target as leaving */

/* The reports that the hosts sent at the last tick. */
byte reported[HOSTS];
bool reported_leaving[HOSTS];

byte host, peer;

inline read_store() {
    confirmed[host] = now;
    knows_leaving[host] = leaving
}

/* The first host reads the store at every tick, the others when their copy is too old. */
inline read_if_due() {
    if
#ifdef BREAK_NO_SUCCESSOR
    :: host == 0 -> read_store()
#else
    :: host == 0 || now - confirmed[host] >= READ_AGE + host - 1 -> read_store()
#endif
    :: else
    fi
}

/* A host receives the report of one of the others, or none. */
inline receive_report() {
    select(peer : 0 .. HOSTS);
    if
    :: peer < HOSTS && peer != host && !lost[peer] && reported[peer] > confirmed[host] ->
        if
#ifdef BREAK_CONFIRMS_OTHER_COPY
        :: true ->
#else
        :: reported_leaving[peer] == knows_leaving[host] ->
#endif
#ifdef BREAK_AGES
            /* The age in the report, wrongly counted from the time of receipt. */
            confirmed[host] = reported[peer] + 1
#else
            confirmed[host] = reported[peer]
#endif
#ifndef BREAK_CONFIRMS_OTHER_COPY
        :: else ->
            knows_leaving[host] = reported_leaving[peer];
            confirmed[host] = reported[peer]
#endif
        fi
    :: else
    fi;
    peer = 0
}

inline send_report() {
    reported[host] = confirmed[host];
    reported_leaving[host] = knows_leaving[host]
}

inline send_reports() {
    host = 0;
    do
    :: host < HOSTS -> send_report(); host++
    :: else -> break
    od;
    host = 0
}

active proctype Time() {
    do
    :: now < TICKS ->
        atomic {
            now++;
            if
            :: !leaving -> leaving = true; leaving_since = now
            :: true
            fi;
            if
            :: !lost[0] -> lost[0] = true
            :: !lost[1] -> lost[1] = true
            :: true
            fi;
            host = 0
        };
        do
        :: atomic { host < HOSTS ->
            if
            :: !lost[host] -> receive_report(); read_if_due();
                assert(!leaving || now - leaving_since < BOUND || knows_leaving[host])
            :: else
            fi;
            host++ }
        :: atomic { host >= HOSTS -> send_reports(); break }
        od
    :: else -> break
    od
}
