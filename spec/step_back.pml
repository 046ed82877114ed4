/* Entries of one failure domain that step back from an account: fewer than half of them do so at any
 * time, and at least one accepts callers, through entries that decide at the same time, freeze and
 * resume, and wide entries that die. A report arrives at any moment between its sending and the end
 * of the time between an announcement and its step (a tick). An entry that is frozen receives none.
 *
 * Timed shedding takes an entry out at once, without an announcement. With SHEDDING, narrow entries
 * shed callers at any moment, as far as they may: while an entry has stepped back or announces it,
 * no entry begins to shed unless at least half of the members accept callers afterwards. What
 * others did within the time of a report is excepted, since the entry cannot know of it. Without a
 * step back, shedding has no budget.
 *
 * It stands for: step_back_policy (next_step, accepting, detect_pause, conditions_for_shedding),
 * decide_shedding and neighbour_exchange. Five members: three narrow entries, which may step back,
 * and two wide ones, which never do.
 *
 * Variants that are broken on purpose, each of which must fail:
 *   STALE_TRUSTED    an entry that resumes trusts the reports from before its freeze
 *   NOBODY_LEFT      an entry steps back without counting those that accept callers
 *   NO_ANNOUNCEMENT  an entry steps back without an announcement
 *   NO_ORDER         an entry does not count announcements that precede its own
 *   IGNORE_BUDGET    an entry sheds without regard to step backs (with SHEDDING)
 *   SHED_UNINFORMED  an entry sheds after a freeze as if it had no neighbours (with SHEDDING)
 */
#define NARROW 3
#define WIDE 2
#define MEMBERS 5

/* Bounds of the search. An entry announces, steps back and returns within three ticks. */
#ifdef SHEDDING
#define LAST_TICK 2
byte sheds;
#else
#define LAST_TICK 4
#endif
#ifndef LAST_SHED
#define LAST_SHED 1
#endif
#ifndef LAST_FREEZE
#define LAST_FREEZE 1
#endif

#define ACCEPTING 0
#define ANNOUNCED 1
#define BACK 2
#define STALE 3
#define SHED 4

byte state[NARROW];
/* True once a tick has passed since the announcement. */
bool passed[NARROW];
bool frozen[NARROW];
/* Until the next tick after a withdrawal, a return or a freeze nothing is decided. */
bool held[NARROW];
#ifdef SHEDDING
/* True for an entry that resumed since the last tick, so that it trusts no reports yet. */
bool resumed[NARROW];
/* Since the last tick: stepped back or announced without a break; accepting callers at some time. */
bool stood[NARROW];
bool was_open[NARROW] = true;
#endif
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

#ifdef SHEDDING
#define is_step_back(what) ((what) == ANNOUNCED || (what) == BACK)

/* Whether entry i knows of a step back. */
#define knows_step_back \
    (is_step_back(state[i]) || is_step_back(knows(next1)) || is_step_back(knows(next2)))
#define others_accept \
    (seen_wide[i] + (knows(next1) == ACCEPTING) + (knows(next2) == ACCEPTING))

#ifdef IGNORE_BUDGET
#define may_shed true
#else
#ifdef SHED_UNINFORMED
#define may_shed (!knows_step_back || 2 * others_accept >= MEMBERS)
#else
#define may_shed (!resumed[i] && (!knows_step_back || 2 * others_accept >= MEMBERS))
#endif
#endif

/* An entry whose step back the others have heard of. The report of a frozen one may have aged out. */
#define stands_back(j) (!frozen[j] && stood[j])

inline check_shedding() {
    /* An entry that accepted callers within the time of a report counts as accepting, and a wide one
     * until its last report ages out. */
    assert(!(stands_back(next1) || stands_back(next2)) ||
           2 * (seen_wide[i] + was_open[next1] + was_open[next2]) >= MEMBERS)
}

#define opens             \
    stood[i] = false;     \
    was_open[i] = true
#else
#define opens skip
#endif

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
        opens;
        passed[i] = false;
        held[i] = true
    }
    /* The account has gone, or too few others accept callers. */
    :: atomic { !frozen[i] && !held[i] && state[i] == BACK &&
                (enough_accept || is_first_to_return) ->
        state[i] = ACCEPTING;
        opens;
        held[i] = true
    }
#ifdef SHEDDING
    /* The link is saturated. An announcement is withdrawn with it. */
    :: atomic { !frozen[i] && (state[i] == ACCEPTING || state[i] == ANNOUNCED) && may_shed &&
                sheds < LAST_SHED ->
        sheds++;
        check_shedding();
        state[i] = SHED;
        passed[i] = false;
        stood[i] = false;
        check_members()
    }
    /* The time of the shedding has passed. */
    :: atomic { !frozen[i] && state[i] == SHED ->
        state[i] = ACCEPTING;
        opens;
        held[i] = true
    }
#endif
    :: atomic { !frozen[i] && freezes < LAST_FREEZE ->
        frozen[i] = true;
        freezes++
    }
    :: atomic { frozen[i] ->
        frozen[i] = false;
#ifdef SHEDDING
        resumed[i] = true;
        stood[i] = false;
#endif
#ifdef STALE_TRUSTED
        passed[i] = (state[i] == ANNOUNCED)
#else
        held[i] = true;
        passed[i] = false;
        seen_wide[i] = 0;
        knows(next1) = STALE;
        knows(next2) = STALE;
        if
        :: state[i] == ANNOUNCED -> state[i] = ACCEPTING; opens
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
#ifdef SHEDDING
            stood[i] = is_step_back(state[i]);
            was_open[i] = (state[i] == ACCEPTING);
            resumed[i] = false;
#endif
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
