/* A request that may not be repeated runs at most once, and "not run" is true, through crashes of
 * its home and its guards, dispatches that come late, voids, and a repeat at another home.
 *
 * It stands for: budget_home (claims, release), request_flow (void, retry) and charge_book (start,
 * void_ticket). The claim is a record of the ledger stream: the first one wins. A guard that
 * restarts has a new incarnation, here a number that grows, and remembers nothing.
 *
 * Variants that are broken on purpose, each of which must fail:
 *   NO_CLAIM         a home runs the request without a claim in the log
 *   NO_VOID          an entry tries another guard without having the first one void the ticket
 *   EARLY_ANSWER     an entry says "not run" without a void
 *   ANY_INCARNATION  a void counts although a successor of the guard took it
 *   OLD_TICKETS      a guard takes tickets that were issued before it registered
 */
#define GUARDS 2
#define HOMES 2
#define NOBODY 255

byte claimed_by = NOBODY;
byte runs;
bool told_not_run;
bool told_unknown;

/* A dispatch carries its ticket, which is its home's number, and the guard's incarnation when the
 * ticket was issued. It stays in the channel for as long as it likes. */
chan dispatch[GUARDS] = [HOMES] of { byte, byte };
byte incarnation[GUARDS];
bool voided[GUARDS * HOMES];
bool started[GUARDS * HOMES];

proctype guard(byte me) {
    byte ticket, issued;
    do
    :: atomic {
        dispatch[me]?[ticket, issued] -> dispatch[me]?ticket, issued;
        if
        :: voided[me * HOMES + ticket] || started[me * HOMES + ticket] -> skip
#ifndef OLD_TICKETS
        :: issued < incarnation[me] -> skip
#endif
        :: else ->
            started[me * HOMES + ticket] = true;
            assert(!told_not_run);
            runs++;
            assert(runs <= 1)
        fi
       }
    :: atomic {
        /* Crashes and comes back under a new incarnation. */
        incarnation[me] < 2 ->
        incarnation[me]++;
        voided[me * HOMES] = false;
        voided[me * HOMES + 1] = false;
        started[me * HOMES] = false;
        started[me * HOMES + 1] = false
       }
    :: break
    od
}

/* An entry with its home, which have the same number as their ticket. */
proctype flow(byte home) {
    byte at, issued[GUARDS], sent;
    bool granted;
    atomic {
        if
#ifdef NO_CLAIM
        :: true -> granted = true
#else
        :: claimed_by == NOBODY -> claimed_by = home; granted = true
        :: claimed_by != NOBODY -> granted = false
#endif
        fi;
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
            :: atomic { runs == 0 -> told_not_run = true } -> goto done
#endif
            /* The entry and its home die. */
            :: goto done
            fi
        :: at == GUARDS ->
            /* Every guard that could have run it has voided the ticket. */
            atomic { told_not_run = true; assert(runs == 0) }
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
