/* Entries of one failure domain that step back from an account: fewer than half of them do so at any
 * time, and at least one accepts callers, through entries that decide at the same time, freeze and
 * resume, and wide entries that die. A report arrives at any moment between its sending and the end
 * of the time between an announcement and its step (a tick). An entry that is frozen receives none.
 *
 * It stands for: step_back_policy (next_step, accepting, detect_pause) and neighbour_exchange. Five
 * members: three narrow entries, which may step back, and two wide ones, which never do.
 *
 * Variants that are broken on purpose, each of which must fail:
 *   STALE_TRUSTED    an entry that resumes trusts the reports from before its freeze
 *   NOBODY_LEFT      an entry steps back without counting those that accept callers
 *   NO_ANNOUNCEMENT  an entry steps back without an announcement
 *   NO_ORDER         an entry does not count announcements that precede its own
 */
#define NARROW 3
#define WIDE 2
#define MEMBERS 5

/* Bounds of the search. An entry announces, steps back and returns within three ticks. */
#define LAST_TICK 4
#define LAST_FREEZE 1

#define ACCEPTING 0
#define ANNOUNCED 1
#define BACK 2
#define STALE 3

byte state[NARROW];
/* True once a tick has passed since the announcement. */
bool passed[NARROW];
bool frozen[NARROW];
/* Until the next tick after a withdrawal, a return or a freeze nothing is decided. */
bool held[NARROW];
byte wide = WIDE;
byte seen_wide[NARROW] = WIDE;
byte tick;
byte freezes;
/* What entry i knows of entry j, at i * NARROW + j. */
byte view[9];

#define knows(j) view[i * NARROW + (j)]
#define next1 ((i + 1) % NARROW)
#define next2 ((i + 2) % NARROW)

/* Whether another entry accepts callers if entry i steps back. Lower numbers announce first. */
#ifdef NO_ORDER
#define stays(j) (knows(j) == ACCEPTING || knows(j) == ANNOUNCED)
#else
#define stays(j) (knows(j) == ACCEPTING || (knows(j) == ANNOUNCED && (j) > i))
#endif

#ifdef NOBODY_LEFT
#define enough_accept true
#else
#define enough_accept (2 * (seen_wide[i] + stays(next1) + stays(next2)) > MEMBERS)
#endif

/* No other that has stepped back is to return before entry i. */
#define is_first_to_return                                    \
    ((knows(next1) != BACK || next1 < i) && (knows(next2) != BACK || next2 < i))

inline check_members() {
    assert(2 * ((state[0] == BACK) + (state[1] == BACK) + (state[2] == BACK)) < MEMBERS);
    assert(wide + (state[0] != BACK) + (state[1] != BACK) + (state[2] != BACK) > 0)
}

proctype entry(byte i) {
    do
    /* A report arrives. */
    :: atomic { !frozen[i] && knows(next1) != state[next1] ->
        knows(next1) = state[next1]
    }
    :: atomic { !frozen[i] && knows(next2) != state[next2] ->
        knows(next2) = state[next2]
    }
    /* An account does not fit the link. */
    :: atomic { !frozen[i] && !held[i] && state[i] == ACCEPTING && enough_accept ->
#ifdef NO_ANNOUNCEMENT
        state[i] = BACK;
        check_members()
#else
        state[i] = ANNOUNCED
#endif
    }
    /* The announcement is due. */
    :: atomic { !frozen[i] && state[i] == ANNOUNCED && passed[i] && enough_accept ->
        state[i] = BACK;
        passed[i] = false;
        check_members()
    }
    /* The announcement is withdrawn: its account has gone, or another precedes it. */
    :: atomic { !frozen[i] && state[i] == ANNOUNCED ->
        state[i] = ACCEPTING;
        passed[i] = false;
        held[i] = true
    }
    /* The account has gone, or too few others accept callers. */
    :: atomic { !frozen[i] && !held[i] && state[i] == BACK &&
                (enough_accept || is_first_to_return) ->
        state[i] = ACCEPTING;
        held[i] = true
    }
    :: atomic { !frozen[i] && freezes < LAST_FREEZE ->
        frozen[i] = true;
        freezes++
    }
    :: atomic { frozen[i] ->
        frozen[i] = false;
#ifdef STALE_TRUSTED
        passed[i] = (state[i] == ANNOUNCED)
#else
        held[i] = true;
        passed[i] = false;
        seen_wide[i] = 0;
        knows(next1) = STALE;
        knows(next2) = STALE;
        if
        :: state[i] == ANNOUNCED -> state[i] = ACCEPTING
        :: else -> skip
        fi
#endif
    }
    od
}

/* Periodic reports renew what is known of an entry that runs; that of a frozen one may age out. */
inline renew(j) {
    if
    :: !frozen[j] -> knows(j) = state[j]
    :: frozen[j] -> knows(j) = STALE
    :: frozen[j] -> knows(j) = state[j]
    fi
}

/* A tick passes after all reports that were sent before it have arrived. */
active proctype timer() {
    byte i;
    do
    :: atomic { tick < LAST_TICK ->
        tick++;
        i = 0;
        do
        :: i < NARROW ->
            if
            :: !frozen[i] ->
                renew(next1);
                renew(next2);
                held[i] = false;
                passed[i] = (state[i] == ANNOUNCED);
                if
                :: seen_wide[i] = wide
                :: seen_wide[i] > wide -> skip
                fi
            :: else -> skip
            fi;
            i++
        :: else -> break
        od;
        i = 0
    }
    /* Both wide entries die. */
    :: atomic { wide > 0 -> wide = 0; check_members() }
    od
}

init {
    atomic {
        run entry(0);
        run entry(1);
        run entry(2)
    }
}
