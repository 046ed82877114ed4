/* No budget is overspent and no request is billed twice, through a holder that pauses and wakes, a
 * guard that crashes and is replaced, late tickets, lost answers and repeated requests.
 *
 * It stands for: ledger_state (draw, settle, reclaim), budget_allocator (reserve, charge_reported),
 * charge_tracker (begin_charge, charges_of_holder) and control_state (fences and marks).
 *
 * The log is one order of atomic steps; what lags is what each process has read of it. Home 0 may
 * stop at any point and go on later: it never reads its own fence here, the worst case.
 *
 * Variants that are broken on purpose, each of which must fail:
 *   NO_MARKS       reclaims without waiting for the guards' marks
 *   VOUCH          a successor's mark counts for the guard that died
 *   EARLY_WORK     a successor works before its registration was read back
 *   NO_KEYS        settles without looking at the request key
 *   NO_SECOND_COPY settles without knowing a second copy of a settlement
 *   SETTLE_TWICE   a home frees a charge's tokens each time that it is reported
 */
#define LIMIT 2
#ifndef TICKETS
#define TICKETS 4
#endif
#define HOMES 2
#define GUARDS 2
#define NOBODY 255

/* The ledger, as every reader folds it. */
byte held[HOMES];
byte settled;
bool closed[HOMES];
bool seen[TICKETS];
bool billed_key[2];
byte bills[2];

/* The control stream. */
bool fenced;
bool registered[GUARDS];
bool awaited[GUARDS];
bool marked[TICKETS];

/* What really happens at the targets. */
byte spent;

/* Tickets: who issued each, and the next free number. Tickets 0 and 1 carry key 0: a repeat. */
byte holder_of[TICKETS];
byte next_ticket;
#define KEY_OF(t) ((t) / 2)

/* Messages. Tickets may come late, also to a guard's successor at the same address. */
chan to_guard = [TICKETS] of { byte };
chan report[HOMES] = [2] of { byte };

bool alive[GUARDS];
bool knows_fence[GUARDS];
bool charged[GUARDS * TICKETS];

inline free_tokens(result) {
    result = LIMIT - settled - held[0] - held[1]
}

/* A settlement as the fold takes it. */
inline fold_settle(t) {
    if
#ifndef NO_SECOND_COPY
    :: seen[t] -> skip
#endif
    :: else ->
        seen[t] = true;
        assert(held[holder_of[t]] > 0);
        held[holder_of[t]]--;
        settled++;
        if
#ifndef NO_KEYS
        :: billed_key[KEY_OF(t)] -> skip
#endif
        :: else ->
            billed_key[KEY_OF(t)] = true;
            bills[KEY_OF(t)]++;
            assert(bills[KEY_OF(t)] <= 1)
        fi
    fi
}

proctype home(byte me) {
    byte own_held, reserved, unsettled, left, t;
    bool counted[TICKETS];
    bool pending[TICKETS];
    do
    :: atomic {
        /* Draws one token. A closed holder is refused, and a draw of another grant shows at once. */
        !closed[me] -> free_tokens(left);
        if
        :: left > 0 -> held[me]++; own_held++
        :: else -> skip
        fi
       }
    :: atomic {
        own_held - reserved - unsettled > 0 && next_ticket < TICKETS ->
        t = next_ticket;
        next_ticket++;
        holder_of[t] = me;
        reserved++;
        to_guard!t
       }
    :: atomic {
        report[me]?t ->
        if
        :: counted[t] ->
#ifdef SETTLE_TWICE
            pending[t] = true
#else
            skip
#endif
        :: else ->
            counted[t] = true;
            pending[t] = true;
            reserved--;
            unsettled++
        fi
       }
    :: atomic {
        /* Appends a settlement. Its answer may be lost, so that it is appended again. */
        pending[0] || pending[1] || pending[2] || pending[3] ->
        if
        :: pending[0] -> t = 0
        :: pending[1] -> t = 1
        :: pending[2] -> t = 2
        :: pending[3] -> t = 3
        fi;
        if
        :: closed[me] -> pending[t] = false
        :: else ->
            if
            :: !seen[t] -> own_held--; unsettled--
            :: else ->
#ifdef SETTLE_TWICE
                if
                :: unsettled > 0 -> unsettled--
                :: else -> skip
                fi
#else
                skip
#endif
            fi;
            fold_settle(t);
            if
            :: true -> pending[t] = false
            :: true -> skip
            fi
        fi
       }
    :: break
    od
}

proctype guard(byte me) {
    byte t;
#ifdef EARLY_WORK
    atomic { registered[me] = true; alive[me] = true; knows_fence[me] = false }
#else
    /* The registration was read back, and with it every fence before it. */
    atomic { registered[me] = true; alive[me] = true; knows_fence[me] = fenced }
#endif
    do
    :: atomic {
        alive[me] && to_guard?[t] -> to_guard?t;
        if
        :: knows_fence[me] && holder_of[t] == 0 -> skip
        :: else ->
            charged[me * TICKETS + t] = true;
            spent++;
            assert(spent <= LIMIT)
        fi
       }
    :: atomic {
        /* Reports a charge; until it is acknowledged it may do so again. */
        alive[me] && (charged[me * TICKETS] || charged[me * TICKETS + 1] ||
                      charged[me * TICKETS + 2] || charged[me * TICKETS + 3]) ->
        if
        :: charged[me * TICKETS] -> t = 0
        :: charged[me * TICKETS + 1] -> t = 1
        :: charged[me * TICKETS + 2] -> t = 2
        :: charged[me * TICKETS + 3] -> t = 3
        fi;
        if
        :: len(report[holder_of[t]]) < 2 -> report[holder_of[t]]!t
        :: len(report[holder_of[t]]) >= 2 -> skip
        fi
       }
    :: atomic {
        /* Reads the fence and marks it, in one step with all that was started before. */
        alive[me] && fenced && !knows_fence[me] ->
        knows_fence[me] = true;
        awaited[me] = false;
        t = 0;
        do
        :: t < TICKETS ->
            if
            :: charged[me * TICKETS + t] && holder_of[t] == 0 -> marked[t] = true
            :: else -> skip
            fi;
            t++
        :: else -> break
        od
#ifdef VOUCH
        ; awaited[0] = false
#endif
       }
    :: atomic {
        me == 0 && alive[me] ->
        /* Crashes with all that it knew; a successor takes its place. */
        alive[me] = false;
        t = 0;
        do
        :: t < TICKETS -> charged[me * TICKETS + t] = false; t++
        :: else -> break
        od;
        run guard(1)
       } -> break
    :: break
    od
}

proctype successor() {
    byte t;
    atomic {
        !fenced -> fenced = true;
        awaited[0] = registered[0];
        awaited[1] = registered[1];
#ifdef VOUCH
        awaited[0] = registered[0] && alive[0]
#endif
    }
    atomic {
#ifndef NO_MARKS
        !awaited[0] && !awaited[1] ->
#endif
        t = 0;
        do
        :: t < TICKETS ->
            if
            :: marked[t] && !seen[t] -> fold_settle(t)
            :: else -> skip
            fi;
            t++
        :: else -> break
        od;
        held[0] = 0;
        closed[0] = true
    }
}

init {
    byte index;
    atomic {
        do
        :: index < TICKETS -> holder_of[index] = NOBODY; index++
        :: else -> break
        od;
        run guard(0);
        run home(0);
        run home(1);
        run successor()
    }
}
