/*
 * Views of what the store says, read by few and believed by all.
 *
 * Time passes in ticks. Three hosts hold a copy of the targets, each with the
 * store's time at which it was last confirmed. The first reads at every tick, the
 * others when their copy is older than a limit that grows with their rank. A host
 * that hears of a later confirmation takes it over for its own copy if both say
 * the same, and fetches the copy if not. What it hears was said a tick before. A
 * target begins to leave at some tick; the first two hosts may be lost.
 *
 * Each BREAK_ name takes out one guard; the checker must then find a fault.
 */

#define HOSTS 3
#define TICKS 12
#define WAIT  2                   /* age at which the second host reads */
#define BOUND 4                   /* ticks after which no host may use the target */

byte now = 0;
bool leaves = false;
byte left_at = 0;

bool lost[HOSTS];
byte confirmed[HOSTS];            /* the store's time of the copy */
bool knows[HOSTS];                /* the copy says that the target leaves */

/* What the hosts said at the last tick. */
byte said[HOSTS];
bool said_knows[HOSTS];

byte h, peer;

inline read_store() {
    confirmed[h] = now;
    knows[h] = leaves
}

/* The n-th host reads when its copy is older than its limit. */
inline read_if_due() {
    if
#ifdef BREAK_NO_SUCCESSOR
    :: h == 0 -> read_store()
#else
    :: h == 0 || now - confirmed[h] >= WAIT + h - 1 -> read_store()
#endif
    :: else
    fi
}

/* A host hears one of the others, or none. */
inline hear() {
    select(peer : 0 .. HOSTS);
    if
    :: peer < HOSTS && peer != h && !lost[peer] && said[peer] > confirmed[h] ->
        if
#ifdef BREAK_CONFIRMS_OTHER_COPY
        :: true ->
#else
        :: said_knows[peer] == knows[h] ->
#endif
#ifdef BREAK_AGES
            /* An age of the last tick, counted from now. */
            confirmed[h] = said[peer] + 1
#else
            confirmed[h] = said[peer]
#endif
#ifndef BREAK_CONFIRMS_OTHER_COPY
        :: else ->
            knows[h] = said_knows[peer];
            confirmed[h] = said[peer]
#endif
        fi
    :: else
    fi;
    peer = 0
}

inline say() {
    said[h] = confirmed[h];
    said_knows[h] = knows[h]
}

inline each_host_says() {
    h = 0;
    do
    :: h < HOSTS -> say(); h++
    :: else -> break
    od;
    h = 0
}

active proctype Time() {
    do
    :: now < TICKS ->
        atomic {
            now++;
            if
            :: !leaves -> leaves = true; left_at = now
            :: true
            fi;
            if
            :: !lost[0] -> lost[0] = true
            :: !lost[1] -> lost[1] = true
            :: true
            fi;
            h = 0
        };
        do
        :: atomic { h < HOSTS ->
            if
            :: !lost[h] -> hear(); read_if_due();
                assert(!leaves || now - left_at < BOUND || knows[h])
            :: else
            fi;
            h++ }
        :: atomic { h >= HOSTS -> each_host_says(); break }
        od
    :: else -> break
    od
}
