/* A request that may not be repeated runs at most once, and "not run" is true, through crashes of
 * its home and its guards, dispatches that come late, voids, and a takeover by another home.
 *
 * It stands for: budget_allocator (key grant, release), ledger_state (hold_keys, reclaim), request_handler
 * (void, retry), charge_tracker (begin_charge, void_ticket, charges_of_holder) and control_state (fences, marks). Home
 * 0 holds the key grant and writes nothing to the log in time. Home 1 takes over once home 0 was
 * fenced and every guard incarnation that was there has marked the fence. A guard that restarts has
 * a new incarnation, here a number that grows, and remembers nothing.
 *
 * Variants that are broken on purpose, each of which must fail:
 *   NO_MARKS         home 1 takes over without the guards' marks
 *   ANY_MARK         the mark of a guard's successor counts for the guard
 *   NO_VOID          an entry tries another guard without having the first one void the ticket
 *   EARLY_ANSWER     an entry says "not run" without a void
 *   ANY_INCARNATION  a void counts although a successor of the guard took it
 *   OLD_TICKETS      a guard takes tickets that were issued before it registered
 */
#define GUARDS 2
#define HOMES 2

byte runs;
bool ran[HOMES];
bool told_not_run[HOMES];
bool told_unknown;

/* A dispatch carries its ticket, which is its home's number, and the guard's incarnation when the
 * ticket was issued. It stays in the channel for as long as it likes. */
chan dispatch[GUARDS] = [HOMES] of { byte, byte };
byte incarnation[GUARDS];
bool voided[GUARDS * HOMES];
bool started[GUARDS * HOMES];

/* The fence of home 0 and what the marks say. It waits for the guards' first incarnations, which
 * were there when home 0 began; one that restarted is gone and can give no mark. */
bool fenced;
bool knows_fence[GUARDS];
bool awaited[GUARDS];
bool listed;

proctype guard(byte me) {
    byte ticket, issued;
    do
    :: atomic {
        dispatch[me]?[ticket, issued] -> dispatch[me]?ticket, issued;
        if
        :: voided[me * HOMES + ticket] || started[me * HOMES + ticket] -> skip
        :: ticket == 0 && knows_fence[me] -> skip
#ifndef OLD_TICKETS
        :: issued < incarnation[me] -> skip
#endif
        :: else ->
            started[me * HOMES + ticket] = true;
            assert(!told_not_run[ticket]);
            ran[ticket] = true;
            runs++;
            assert(runs <= 1)
        fi
       }
    :: atomic {
        /* Reads the fence and marks it, with all that this incarnation has started. */
        fenced && !knows_fence[me] ->
        knows_fence[me] = true;
        listed = listed || started[me * HOMES];
        if
#ifndef ANY_MARK
        :: incarnation[me] != 0 -> skip
#endif
        :: else -> awaited[me] = false
        fi
       }
    :: atomic {
        /* Crashes and comes back under a new incarnation. */
        incarnation[me] < 2 ->
        incarnation[me]++;
        voided[me * HOMES] = false;
        voided[me * HOMES + 1] = false;
        started[me * HOMES] = false;
        started[me * HOMES + 1] = false;
        /* It registers anew, which it reads back with every fence before it. */
        knows_fence[me] = fenced
       }
    :: break
    od
}

/* An entry with its home, which have the same number as their ticket. */
proctype flow(byte home) {
    byte at, issued[GUARDS], sent;
    bool granted;
    if
    :: home == 0 -> granted = true
    :: home == 1 ->
        atomic {
            fenced = true;
            awaited[0] = true;
            awaited[1] = true
        }
        atomic {
#ifndef NO_MARKS
            !awaited[0] && !awaited[1] ->
#endif
            granted = !listed
        }
    fi;
    atomic {
        issued[0] = incarnation[0];
        issued[1] = incarnation[1]
    }
    if
    :: !granted -> told_unknown = true
    :: granted ->
        do
        :: at < GUARDS ->
            atomic { sent = incarnation[at]; dispatch[at]!home, issued[at] }
            if
            /* Nothing was heard; the incarnation that it was sent to voids the ticket. */
            :: atomic {
#ifndef NO_VOID
#ifndef ANY_INCARNATION
                incarnation[at] == sent &&
#endif
                !started[at * HOMES + home] -> voided[at * HOMES + home] = true;
#endif
                at++
               }
            /* It started, or nothing is heard of the void either: the outcome is left open. */
            :: told_unknown = true -> goto done
#ifdef EARLY_ANSWER
            :: atomic { !ran[home] -> told_not_run[home] = true } -> goto done
#endif
            /* The entry and its home die. */
            :: goto done
            fi
        :: at == GUARDS ->
            /* Every guard that could have run it has voided the ticket. */
            atomic { told_not_run[home] = true; assert(!ran[home]) }
            break
        od
    fi;
done:
    skip
}

init {
    atomic {
        run guard(0);
        run guard(1);
        run flow(0);
        run flow(1)
    }
}
