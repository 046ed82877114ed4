/* A request that ends every target which runs it reaches no more than MOST of them, sent by entries
 * in touch later than CONTACT ticks after the third end, whatever happens to the log and to the entries.
 *
 * It stands for: suspect_table, suspect_log, suspect_exchange and target_crash_detector. Time goes in ticks of
 * about a second. Ends are numbered, and what is known of them is a set of bits. An entry that sees an end
 * has it in the log within the tick if the log answers, else in hand until it does; so does whoever it told.
 * An entry is in touch if it has run, and the log has answered, for CONTACT ticks. A process that is
 * lost while the log is dark takes along what it has in hand: that is why no more than MOST ends may be
 * enough to know. One that is lost between an end and its write, some 200 ms, isn't modelled but as a variant.
 *
 * Variants that are broken on purpose, each of which must fail:
 *   OWN_MEMORY           what an entry saw stays with it
 *   NO_READ              a process that starts reads only what is written from then on
 *   FOUR                 four ends are needed
 *   LOST_BEFORE_WRITTEN  a process may be lost between an end and its write
 */
#define ENTRIES 2
#define CONTACT 2
#ifdef FOUR
#define LIMIT 4
#else
#define LIMIT 3
#endif
#define MOST 3
#define MOST_ENDS 8

byte known[ENTRIES];
byte in_hand[ENTRIES];
byte age[ENTRIES];
/* What stood in the log when the process started and is never read. */
byte unread[ENTRIES];
byte in_log;
bool dark;
byte steady = CONTACT;
byte ends;
byte since_third;
byte late;

inline count(set, number) {
    number = (set & 1) + ((set >> 1) & 1) + ((set >> 2) & 1) + ((set >> 3) & 1) + ((set >> 4) & 1) +
             ((set >> 5) & 1) + ((set >> 6) & 1) + ((set >> 7) & 1)
}

/* The request comes to an entry, which sends it to a target unless it has seen enough. */
inline ask(me) {
    count(known[me], held);
    if
    :: held < LIMIT && ends < MOST_ENDS ->
        if
        :: ends >= 3 && since_third >= CONTACT && age[me] >= CONTACT && steady >= CONTACT ->
            late++
        :: else -> skip
        fi;
        known[me] = known[me] | (1 << ends);
        in_hand[me] = in_hand[me] | (1 << ends);
        ends++
    :: else -> skip
    fi
}

/* What is in hand goes into the log, and what the log has is read. */
inline meet_log(me) {
    if
    :: !dark ->
#ifndef OWN_MEMORY
        in_log = in_log | in_hand[me];
#endif
        in_hand[me] = 0
    :: else -> skip
    fi
}

inline read_log(me) {
    if
    :: !dark -> known[me] = known[me] | (in_log & ~unread[me])
    :: else -> skip
    fi
}

inline start_anew(me) {
    if
    :: known[me] = 0;
       in_hand[me] = 0;
       age[me] = 0;
#ifdef NO_READ
       unread[me] = in_log
#endif
    :: true -> skip
    fi
}

inline grow_old(me) {
    if
    :: age[me] < CONTACT -> age[me]++
    :: else -> skip
    fi
}

active proctype fleet() {
    byte held;
    age[0] = CONTACT;
    age[1] = CONTACT;
    do
    :: atomic {
        /* One entry is asked, or none, in each tick. */
        if
        :: ask(0)
        :: ask(1)
        :: true -> skip
        fi;
        assert(late <= MOST);
#ifdef LOST_BEFORE_WRITTEN
        start_anew(0);
        start_anew(1);
#endif
        meet_log(0);
        meet_log(1);
        read_log(0);
        read_log(1);
        if
        :: ends >= 3 && since_third < CONTACT -> since_third++
        :: else -> skip
        fi;
        grow_old(0);
        grow_old(1);
        start_anew(0);
        start_anew(1);
        if
        :: dark = true; steady = 0
        :: dark = false;
           if
           :: steady < CONTACT -> steady++
           :: else -> skip
           fi
        :: true -> skip
        fi
       }
    od
}
