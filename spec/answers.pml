/*
 * Whole and own answers: what reaches a caller as a success is the whole answer
 * to its own request, although answers come late, crossed or cut short.
 *
 * One host sends two requests to a target, one after the other, over a
 * connection that is used again. A request that times out leaves its answer on
 * the way. The target may cut an answer; one that echoes request ids may also
 * answer another request than the one it was asked.
 *
 * Each BREAK_ name takes out one guard; the checker must then find a fault.
 */

#define REQUESTS 2

chan asked   = [2] of { byte, byte };        /* connection, request */
chan answers = [2] of { byte, byte, bool };  /* connection, request, whole */

byte connection = 0;
bool echoes;              /* whether the target echoes request ids */

active proctype Host() {
    byte request = 1;
    byte got;
    byte on;
    bool whole;
end:
    do
    :: request <= REQUESTS ->
        asked!connection, request;
        if
        :: answers?on, got, whole ->
            if
#ifndef BREAK_READS_OTHER_CONNECTION
            :: on != connection -> skip      /* a closed connection's answer */
            :: on == connection ->
#else
            :: true ->
#endif
                if
#ifndef BREAK_ECHO_UNCHECKED
                :: echoes && got != request -> skip    /* crossed: an error for the caller */
#endif
#ifndef BREAK_LENGTH_UNCHECKED
                :: !whole -> skip            /* short: an error for the caller */
#endif
                :: else -> assert(got == request && whole)
                fi
            fi
        :: true -> skip                      /* the deadline passed */
        fi;
        request++;
        /* A connection is used again only after a whole answer to the request
         * that was sent last; the model gives it up after every request. */
        atomic { connection++; got = 0; on = 0; whole = false }
    :: else -> break
    od
}

active proctype Target() {
    byte on;
    byte request;
    if
    :: echoes = true
    :: echoes = false
    fi;
end:
    do
    :: asked?on, request ->
        if
        :: answers!on, request, true
        :: answers!on, request, false        /* cut short */
        :: echoes -> answers!on, 3 - request, true /* crossed */
        fi
    od
}
