/* No budget is overspent by hosts that draw grants from a keyed log with conditional appends, through
 * appends that are lost, done late or done although they seemed to fail, hosts that lose their process,
 * a predecessor that was only frozen and goes on, a limit that is raised meanwhile, and tokens that
 * move between processes in messages that may be lost or come late to anyone.
 *
 * It stands for: grant_table, grant_holder (compose_records, on_append_resolved, reserve, transfer_out,
 * transfer_in), grant_ledger and token_exchange.
 *
 * Variants that are broken on purpose, each of which must fail:
 *   NO_CONDITION   appends wherever the log ends
 *   INHERIT        a successor goes on with what its predecessor was granted
 *   SPEND_RETURN   spends tokens whose return is under way
 *   SPEND_EARLY    spends a draw before its record was read
 *   KEEP_GIVEN     goes on to count what it gave away as its own
 *   RETURN_GIVEN   gives back to the log what it has given to another process
 */
#define HOSTS 2
#define PROCESSES 3
#define LONGEST_LOG 4
#define FIRST_LIMIT 1
#define RAISED_LIMIT 2
#define NOBODY 255

/* The log. */
byte log_end;
byte record_process[LONGEST_LOG];
byte record_base[LONGEST_LOG];
byte record_granted[LONGEST_LOG];

/* Tokens on their way from one process to another, one a message. That a message is lost needs no step
 * of its own: nothing that can go wrong differs from a receiver that never spends the token. */
chan transfers = [1] of { byte };

/* Appends under way: the end that they want, who wrote them, and what they say. */
chan appends = [2] of { byte, byte, byte, byte };

byte limit_in_force = FIRST_LIMIT;
byte spent;
bool started[PROCESSES];

/* Process 2 succeeds process 0 on host 0. */
#define HOST_OF(p) ((p) % 2)

/* The store: each append is done, now or late, if its condition holds; or it is lost. */
active proctype store() {
    byte at, writer, base, granted;
    do
    :: atomic {
        appends ?? at, writer, base, granted ->
        if
#ifdef NO_CONDITION
        :: log_end < LONGEST_LOG ->
#else
        :: at == log_end && log_end < LONGEST_LOG ->
#endif
            record_process[log_end] = writer;
            record_base[log_end] = base;
            record_granted[log_end] = granted;
            log_end++
        :: true -> skip
        fi;
        at = 0; writer = 0; base = 0; granted = 0
       }
    od
}

/* The operator raises the limit once, at any time. */
active proctype operator() {
    limit_in_force = RAISED_LIMIT
}

/* What a process has: of its own grants, while its record is the newest, and of others'. */
#define IN_HAND (received + (newest[HOST_OF(me)] == me -> \
                             granted[HOST_OF(me)] - base[HOST_OF(me)] : 0))

proctype holder(byte me) {
    byte position;
    byte granted[HOSTS];
    byte base[HOSTS];
    byte newest[HOSTS];
    byte own_spent, returning, limit;
    byte open_at = NOBODY;
    byte next_base;
    /* Moved here by other processes, less what was moved to them. */
    short received;
    newest[0] = NOBODY;
    newest[1] = NOBODY;
    limit = FIRST_LIMIT;

    do
    /* Learns the limit, at any time after it is in force. */
    :: limit != limit_in_force -> limit = limit_in_force

    /* Reads the next record. */
    :: atomic {
        position < log_end ->
        newest[HOST_OF(record_process[position])] = record_process[position];
        granted[HOST_OF(record_process[position])] = record_granted[position];
        base[HOST_OF(record_process[position])] = record_base[position];
        position++;
        if
        :: open_at != NOBODY && position > open_at -> open_at = NOBODY; returning = 0
        :: else -> skip
        fi
       }

    /* Draws one token, or gives one back. */
    :: atomic {
        nfull(appends) && position < LONGEST_LOG && granted[0] + granted[1] < limit ->
        next_base = (newest[HOST_OF(me)] == me -> base[HOST_OF(me)] : granted[HOST_OF(me)]);
#ifdef INHERIT
        next_base = base[HOST_OF(me)];
#endif
        appends ! position, me, next_base, granted[HOST_OF(me)] + 1;
        open_at = position;
#ifdef SPEND_EARLY
        granted[HOST_OF(me)]++;
        base[HOST_OF(me)] = next_base;
        newest[HOST_OF(me)] = me;
#endif
        next_base = 0
       }
    :: atomic {
        nfull(appends) && position < LONGEST_LOG && newest[HOST_OF(me)] == me &&
        granted[HOST_OF(me)] > base[HOST_OF(me)] &&
#ifdef RETURN_GIVEN
        granted[HOST_OF(me)] - base[HOST_OF(me)] > own_spent ->
#else
        IN_HAND > own_spent ->
#endif
        appends ! position, me, base[HOST_OF(me)], granted[HOST_OF(me)] - 1;
        open_at = position;
#ifndef SPEND_RETURN
        returning = 1
#endif
       }

    /* Moves one token to another process. */
    :: atomic {
        nfull(transfers) && IN_HAND > own_spent + returning ->
        transfers ! 1;
#ifndef KEEP_GIVEN
        received--
#endif
       }

    /* Takes in a token that was moved, whoever it was meant for. */
    :: atomic { received <= RAISED_LIMIT && nempty(transfers) -> transfers ? 1; received++ }

    /* Spends one token of what is in hand. */
    :: atomic {
        IN_HAND > own_spent + returning ->
        own_spent++;
        spent++;
        assert(spent <= limit_in_force)
       }

    /* The process of host 0 is lost, or frozen and taken for lost: a successor starts, and this one
     * may go on at any time. */
    :: atomic {
        me == 0 && !started[2] ->
        started[2] = true;
        run holder(2)
       }
    od
}

init {
    atomic {
        started[0] = true;
        run holder(0);
        run holder(1)
    }
}
