/* A roll-out ends once, and once it is completed an entry sends nothing to old targets any more, unless it
 * couldn't be reached; with -DEXPOSURE: an unproved version gets no more than its share. All that through
 * deciders that are lost, doubled or frozen, entries that are cut off or start anew, late appends, lost
 * answers, and words of deciders in any order.
 *
 * It stands for: rollout_decider (claims, silence, completion), rollout_ledger (conditions, proposals),
 * rollout_exchange (whom an entry follows), rollout_gate and exposure_budget.
 *
 * A decider may stop at any point and go on later: then it acts on what it knew. An append that is under
 * way lands at any later time or never, and its answer tells nothing: only reading the log does. A report
 * may cease to be fresh at any time, and a process that isn't fresh may be held for out of touch. One entry
 * stands for all: completion waits for each by itself.
 *
 * Excused from reading the end first are: an entry that the decider held for out of touch, a process that
 * started while the end was written or has reported to nobody, one that was told to stop since the version
 * is bad, and one that hears, after the end, a decider that hasn't read it yet either. They send to old targets until they read the end in the log, which costs a try each.
 *
 * With -DEXPOSURE the words of deciders are arbitrary, and two entries share a service. The share is a half,
 * so that few requests show the bound.
 *
 * Variants that are broken on purpose, each of which must fail:
 *   NO_CONDITION    appends without the condition
 *   NO_REPORTS      completes without having heard that the entry has moved
 *   NO_OWNER        completes though the log says that another decides
 *   WORD_OF_ANY     an entry takes the word of one who doesn't decide by the log that it has read
 *   TURN_BACK       takes a move back while its completion may still land
 *   OLD_MOVES       counts moves that were reported before the present one began
 *   CREDIT          the budget has one request in hand to begin with
 *   KEPT_REACHED    a process that starts anew forgets what it sent and not what it saw reach a target
 */
#ifdef CREDIT
#define EXPOSURE
#endif
#ifdef KEPT_REACHED
#define EXPOSURE
#endif

#define NONE 0
#define RUNNING 1
#define COMPLETED 2
#define ROLLED_BACK 3

#define WAITING 0
#define CANARY 1
#define MOVING 2
#define DONE 3

#ifdef EXPOSURE

#define ENTRIES 2
#define MOST_REACHED 10

byte phase[ENTRIES];
byte reached[ENTRIES];
byte sent[ENTRIES];
byte all_reached;
byte all_sent;

#ifdef CREDIT
#define IN_HAND 2
#else
#define IN_HAND 0
#endif
#define MAY_SEND(e) (2 * (sent[e] + 1) <= reached[e] + IN_HAND)

/* A request reaches a target: of the new version if the entry's phase and budget let it. */
inline send(e) {
    reached[e]++;
    all_reached++;
    if
    :: (phase[e] == CANARY || phase[e] == MOVING) && MAY_SEND(e) ->
        sent[e]++;
        all_sent++;
        assert(2 * all_sent <= all_reached)
    :: true -> skip
    fi
}

inline start_anew(e) {
    phase[e] = WAITING;
    sent[e] = 0;
#ifndef KEPT_REACHED
    reached[e] = 0
#endif
}

inline carry_out(e) {
    if
    :: phase[e] = WAITING
    :: phase[e] = CANARY
    :: phase[e] = MOVING
    :: all_reached < MOST_REACHED -> send(e)
    :: start_anew(e)
    fi
}

active proctype fleet() {
    do
    :: atomic { carry_out(0) }
    :: atomic { carry_out(1) }
    od
}

#else

#ifndef MOST_APPENDS
#define MOST_APPENDS 3
#endif
#define NOBODY 2

/* The log of roll-outs, as every reader folds it. */
byte state = NONE;
byte owner = NOBODY;
byte appends;

/* What each decider has read of it, and whether that is its end. */
byte seen_state[2];
byte seen_owner[2];
bool at_end[2];

/* An append under way: what, whether the log still ends where it must, and whether it holds the entry for
 * out of touch. */
byte under_way[2];
bool still_fits[2];
bool without_entry[2];
/* An append of COMPLETED was begun, and no later end of the log was read. */
bool may_complete[2];

/* It held the version for bad: then it does for good. */
bool found_bad[2];

/* The entry's newest report at each decider. */
bool heard_moved[2];
bool fresh[2];

/* The entry. */
byte phase = WAITING;
byte follows;
bool moved;
bool excused;
bool has_reported;
/* Who decides, as far as it has read the log. */
byte known_owner = NOBODY;

inline read_log(d) {
#ifndef OLD_MOVES
    /* What came before it read that it decides doesn't count as moved. */
    heard_moved[d] = heard_moved[d] && (owner != d || seen_owner[d] == d);
#endif
    seen_state[d] = state;
    seen_owner[d] = owner;
    at_end[d] = true;
    may_complete[d] = may_complete[d] && still_fits[d]
}

inline begin_append(d, what) {
    under_way[d] = what;
    may_complete[d] = may_complete[d] || what == COMPLETED;
    still_fits[d] = at_end[d];
    without_entry[d] = !fresh[d]
}

/* The entry doesn't hold up completion: it has moved, or is out of touch. */
#ifdef NO_REPORTS
#define SETTLED(d) true
#define UNREACHED(d) false
#else
#define SETTLED(d) (!fresh[d] || heard_moved[d])
#define UNREACHED(d) without_entry[d]
#endif

#ifdef NO_OWNER
#define OWNS(d) true
#else
#define OWNS(d) (seen_owner[d] == d)
#endif

#define SPEAKS(d) (seen_state[d] == RUNNING && !found_bad[d] && seen_owner[d] == d)

#ifdef WORD_OF_ANY
#define LISTENS(d) true
#else
#define LISTENS(d) (known_owner == d)
#endif

#ifdef TURN_BACK
#define MAY_TURN_BACK(d) true
#else
#define MAY_TURN_BACK(d) (!may_complete[d])
#endif

inline land(d) {
    if
#ifdef NO_CONDITION
    :: true ->
#else
    :: still_fits[d] ->
#endif
        /* A final state is the last record, and the only one. */
        assert(state == NONE || state == RUNNING);
        state = under_way[d];
        owner = d;
        appends++;
        at_end[0] = false;
        at_end[1] = false;
        still_fits[0] = false;
        still_fits[1] = false;
        excused = excused || (state == COMPLETED && (UNREACHED(d) || !has_reported))
    :: true -> skip
    fi;
    under_way[d] = NONE;
    still_fits[d] = still_fits[d] && may_complete[d];
    without_entry[d] = false
}

inline decide(d) {
    if
    :: read_log(d)
    :: under_way[d] == NONE && appends < MOST_APPENDS && seen_state[d] <= RUNNING ->
        if
        :: seen_owner[d] != d || may_complete[d] -> begin_append(d, RUNNING)
        :: seen_state[d] == RUNNING && !found_bad[d] && OWNS(d) && SETTLED(d) -> begin_append(d, COMPLETED)
        :: seen_state[d] == RUNNING -> begin_append(d, ROLLED_BACK)
        fi
    :: under_way[d] != NONE -> land(d)
    :: fresh[d] -> fresh[d] = false; heard_moved[d] = false
    fi
}

#define COMPLETES (state == COMPLETED || under_way[0] == COMPLETED || under_way[1] == COMPLETED)

/* The entry hears the decider that it follows. After the end nothing that it hears excuses it less. */
inline hear(d) {
    if
    :: SPEAKS(d) && LISTENS(d) && MAY_TURN_BACK(d) ->
        phase = CANARY;
        moved = false;
#ifndef OLD_MOVES
        /* Reports that came before the version is moved to again don't count. */
        heard_moved[d] = false;
#endif
        excused = (excused && COMPLETES) || state == COMPLETED
    :: SPEAKS(d) && LISTENS(d) -> phase = MOVING; excused = excused && COMPLETES
    /* The version is held for bad. */
    :: seen_state[d] <= RUNNING ->
        found_bad[d] = true;
        phase = WAITING;
        moved = false;
        excused = true
    fi
}

inline report() {
    heard_moved[follows] = moved && LISTENS(follows);
    fresh[follows] = true;
    has_reported = true
}

inline start_anew() {
    phase = WAITING;
    moved = false;
    excused = COMPLETES;
    has_reported = false;
    known_owner = NOBODY;
    /* Its predecessor's reports are another process's. */
    heard_moved[0] = false;
    heard_moved[1] = false;
    fresh[0] = false;
    fresh[1] = false
}

inline carry_out() {
    if
    :: phase != DONE -> hear(follows)
    :: phase == MOVING -> moved = true
    :: phase != DONE -> report()
    :: state == COMPLETED -> phase = DONE
    :: known_owner = owner
    /* It hears a decider only in answer to a report. */
    :: phase != DONE -> follows = 1 - follows; report()
    /* A request goes to an old target. */
    :: phase != DONE && !moved -> assert(state != COMPLETED || excused)
    :: start_anew()
    fi
}

active proctype fleet() {
    seen_owner[0] = NOBODY;
    seen_owner[1] = NOBODY;
    do
    /* What follows once the entry has read the end, or a version is rolled back, breaks nothing there. */
    :: atomic { phase != DONE -> decide(0) }
    :: atomic { phase != DONE -> decide(1) }
    :: atomic { phase != DONE && state != ROLLED_BACK -> carry_out() }
    :: phase == DONE -> break
    od
}

#endif
