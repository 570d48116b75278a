/*
 * Responses: what a caller receives as a success is the complete response to its
 * own request, although responses may be late, truncated or to another request.
 *
 * One host sends two requests to a target, one after the other. The response to
 * a request that timed out may still be in transit. The target may truncate a
 * response. A target that echoes request ids may also send the response to the
 * other request.
 *
 * Each BREAK_ name removes one guard; the checker must then find a violation.
 */

#define REQUESTS 2

chan requests  = [2] of { byte, byte };        /* connection, request */
chan responses = [2] of { byte, byte, bool };  /* connection, request, complete */

byte connection = 0;
bool echoes_ids;  /* the target echoes request ids */

active proctype Host() {
    byte request = 1;
    byte response_to;
    byte received_on;
    bool complete;
end:
    do
    :: request <= REQUESTS ->
        requests!connection, request;
        if
        :: responses?received_on, response_to, complete ->
            if
#ifndef BREAK_READS_OTHER_CONNECTION
            :: received_on != connection -> skip  /* response on a closed connection: never read */
            :: received_on == connection ->
#else
            :: true ->
#endif
                if
#ifndef BREAK_ECHO_UNCHECKED
                :: echoes_ids && response_to != request -> skip  /* to another request: an error for the caller */
#endif
#ifndef BREAK_LENGTH_UNCHECKED
                :: !complete -> skip  /* truncated: an error for the caller */
#endif
                :: else -> assert(response_to == request && complete)
                fi
            fi
        :: true -> skip  /* the deadline passed */
        fi;
        request++;
        /* A host reuses a connection only after a complete response to the last
         * request on it. The model uses a new connection for every request. */
        atomic { connection++; response_to = 0; received_on = 0; complete = false }
    :: else -> break
    od
}

active proctype Target() {
    byte received_on;
    byte request;
    if
    :: echoes_ids = true
    :: echoes_ids = false
    fi;
end:
    do
    :: requests?received_on, request ->
        if
        :: responses!received_on, request, true
        :: responses!received_on, request, false                   /* truncated */
        :: echoes_ids -> responses!received_on, 3 - request, true  /* to the other request */
        fi
    od
}
