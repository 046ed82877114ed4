/* An entry that follows a log through pages that another entry read never skips a record, never takes
 * its view for newer than it is, and never stands behind the end of the log, through a reader that is
 * frozen for any time, replies that come late or to a call that was given up, and a store that comes
 * back from an older copy and gives offsets out again.
 *
 * It stands for: log_page_server (answer, send_page), shared_log (on_reply, on_page) and keyed_follower
 * (on_page, answered).
 *
 * Variants that are broken on purpose, each of which must fail:
 *   NO_AGE         takes a page for as new as the request
 *   ANY_CALL       takes replies to calls that were given up
 *   NO_GENERATION  compares offsets of different generations
 */
#define LONGEST_LOG 2
#define LAST_TIME 3
#define LAST_CALL 2

byte tick;

/* The store. */
byte generation = 1;
byte log_end;
byte copied_end;
byte record_time[LONGEST_LOG];

/* What the reader read last, and when that read began. */
bool is_read;
byte read_generation;
byte read_end;
byte read_began;

/* The follower: all records before `position` are applied, and the log held no others at `bound`. */
byte known_generation = 1;
byte position;
byte bound;
byte call;
byte asked_at;
bool waiting;

chan requests = [1] of { byte, byte, byte };
chan replies = [1] of { byte, byte, byte, byte, byte };

active proctype timer() {
    do
    :: tick < LAST_TIME -> tick++
    :: else -> break
    od
}

active proctype store() {
    do
    :: atomic { log_end < LONGEST_LOG ->
        record_time[log_end] = tick;
        log_end++
    }
    :: atomic { generation == 1 -> copied_end = log_end }
    :: atomic { generation == 1 ->
        generation = 2;
        log_end = copied_end
    }
    od
}

/* Reads the store and answers, in any order and after any time. */
active proctype reader() {
    byte began, c, g, from;
    do
    :: began = tick;
        atomic {
            is_read = true;
            read_generation = generation;
            read_end = log_end;
            read_began = began;
            began = 0
        }
    :: atomic { is_read && nempty(requests) && nfull(replies) ->
        requests ? c, g, from;
        if
#ifndef NO_GENERATION
        :: read_generation > g -> replies ! c, read_generation, from, read_began, tick
        :: read_generation == g && read_end >= from ->
#else
        :: read_end >= from ->
#endif
            replies ! c, read_generation, read_end, read_began, tick
        :: else -> skip
        fi;
        c = 0; g = 0; from = 0
    }
    od
}

/* Reads the store itself. */
inline read_store() {
    known_generation = generation;
    position = log_end;
    bound = tick;
    waiting = false
}

inline check_view() {
    if
    :: known_generation == generation ->
        assert(position <= log_end);
        i = 0;
        do
        :: i < log_end ->
            assert(record_time[i] >= bound || i < position);
            i++
        :: else -> break
        od;
        i = 0
    :: else -> skip
    fi
}

active proctype follower() {
    byte c, g, end, began, sent, age, i;
    do
    :: atomic { !waiting && call < LAST_CALL && nfull(requests) ->
        call++;
        asked_at = tick;
        waiting = true;
        requests ! call, known_generation, position
    }
    /* The reply comes too late. */
    :: atomic { waiting -> waiting = false }
    :: atomic { waiting -> read_store(); check_view() }
    :: atomic { nempty(replies) ->
        replies ? c, g, end, began, sent;
        if
#ifndef ANY_CALL
        :: !waiting || c != call -> skip
#endif
#ifndef NO_GENERATION
        :: waiting && c == call && g > known_generation -> read_store()
#endif
        :: else ->
            waiting = false;
            age = sent - began;
#ifdef NO_AGE
            age = 0;
#endif
            if
            :: end > position -> position = end
            :: else -> skip
            fi;
            if
            :: asked_at >= age -> bound = asked_at - age
            :: else -> bound = 0
            fi
        fi;
        check_view();
        c = 0; g = 0; end = 0; began = 0; sent = 0; age = 0
    }
    od
}
