/* A cold target gets no more than half as much again as its rate in any window, through changes of its
 * keeper, keepers that are lost and start anew, and a target that turns cold again.
 *
 * It stands for: warmup_pacer, warmup_limiter (mark_cold, defer_permits) and placement_coordinator. Time goes in ticks. A
 * keeper gives a turn each SPACING ticks, so that a WINDOW holds two of them. Members change once in a
 * WINDOW at the most, and every entry hears of it within a tick. What entries send that can't ask a
 * keeper isn't modelled: it is a fixed small part of the rate.
 *
 * Variants that are broken on purpose, each of which must fail:
 *   SHARE_KEPT_BY_TWO  an entry that takes the keeper for lost gives the engine's turns too
 *   TURN_USED_TWICE    a request that gets a turn doesn't take it
 *   FULL_SUCCESSOR     a new keeper, or a new process, has a turn in hand
 */
#define ENTRIES 2
#define SPACING 2
#define WINDOW 4
#define MOST 3

byte keeper;
byte view[ENTRIES];
bool behind[ENTRIES];
byte wait[ENTRIES];
byte since_change = WINDOW;
/* What was sent in the last ticks, the latest first. */
byte sent[WINDOW];

#ifdef FULL_SUCCESSOR
#define FIRST_WAIT 0
#else
#define FIRST_WAIT SPACING
#endif

/* An entry that is the keeper by its own view may send a request in this tick. */
inline send(me) {
    if
    :: view[me] == me && wait[me] == 0 ->
        sent[0]++;
#ifndef TURN_USED_TWICE
        wait[me] = SPACING
#endif
    :: true -> skip
    fi
}

inline wait_a_tick(me) {
    if
    :: wait[me] > 0 -> wait[me]--
    :: else -> skip
    fi
}

/* An entry hears who the keeper is, in this tick or the next. */
inline hear(me) {
    if
    :: view[me] != keeper ->
        if
        :: view[me] = keeper;
           behind[me] = false;
           if
           :: keeper == me -> wait[me] = FIRST_WAIT
           :: else -> skip
           fi
        :: !behind[me] -> behind[me] = true
        fi
    :: else -> behind[me] = false
    fi
}

/* An entry's process is lost and starts anew, or the target turns cold again: no turn is in hand. */
inline start_anew(me) {
    if
    :: wait[me] = FIRST_WAIT
    :: true -> skip
    fi
}

active proctype fleet() {
    wait[0] = SPACING;
    do
    :: atomic {
        send(0);
        send(1);
        assert(sent[0] + sent[1] + sent[2] + sent[3] <= MOST);
        sent[3] = sent[2];
        sent[2] = sent[1];
        sent[1] = sent[0];
        sent[0] = 0;
        wait_a_tick(0);
        wait_a_tick(1);
        if
        :: since_change == WINDOW -> keeper = 1 - keeper; since_change = 0
        :: since_change < WINDOW -> since_change++
        :: true -> skip
        fi;
        hear(0);
        hear(1);
#ifdef SHARE_KEPT_BY_TWO
        if
        :: view[1] = 1
        :: view[0] = 0
        :: true -> skip
        fi;
#endif
        start_anew(0);
        start_anew(1)
       }
    od
}
