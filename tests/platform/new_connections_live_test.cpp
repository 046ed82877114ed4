#include <csignal>

#include "platform/prompt_crash_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// Entries with a small processor: each runs for a fifth of the time. Nothing crashes.
struct small_processor_fleet : prompt_crash_fleet {
    static constexpr microseconds period = milliseconds(50);
    static constexpr microseconds running = milliseconds(10);
    /// The share of first attempts that must still be served, of that before.
    static constexpr double kept_share = 0.75;

    std::unique_ptr<timer> ticker;

    small_processor_fleet() {
        start_all();
        run_for(milliseconds(500));
        ticker = loop.call_every(period, [this] {
            signal_all(SIGCONT);
            loop.call_after(running, [this] { signal_all(SIGSTOP); });
        });
    }
    ~small_processor_fleet() {
        ticker.reset();
        run_for(period);
        signal_all(SIGCONT);
    }

    void signal_all(int number) {
        for (entry& each : entries) {
            each.process->signal(number);
        }
    }

    /// New connections with one request each, so many a second, of which one entry gets a share
    /// and the others the rest.
    void connect(microseconds length, double per_second, double share_of_first) {
        const instant start = monotonic_now();
        const instant end = start + length;
        std::size_t others = 0;
        double to_first = 0.0;
        for (double sent = 0.0; monotonic_now() < end; run_for(milliseconds(2))) {
            for (; sent < per_second * as_seconds(monotonic_now() - start); sent += 1.0) {
                to_first += share_of_first;
                const bool first = to_first >= 1.0;
                to_first -= first ? 1.0 : 0.0;
                send_sound(entries[first ? 0 : 1 + others++ % 2]);
            }
        }
    }

    /// The share of the requests sent in a span and read by an entry that were served. A connection
    /// that was closed without a byte leaves its caller free to try elsewhere.
    double share_served(instant from, instant until) {
        std::size_t read = 0;
        std::size_t served = 0;
        for (call& each : calls) {
            if (each.sent < from || each.sent >= until) {
                continue;
            }
            const bool unread = each.socket.ended() && each.socket.received().empty();
            read += unread ? 0 : 1;
            served += each.is_served() ? 1 : 0;
        }
        BOOST_TEST_MESSAGE("served " << served << " of " << read);
        return read == 0 ? 0.0 : static_cast<double>(served) / static_cast<double>(read);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(new_connections_live, small_processor_fleet)

BOOST_AUTO_TEST_CASE(entry_that_gets_ten_times_the_new_connections_serves_what_it_reads) {
    constexpr double per_second = 60.0;
    constexpr double times_more_often = 10.0;
    const instant start = monotonic_now();
    connect(seconds(4), per_second, 1.0 / 3.0);
    const instant begun = monotonic_now();
    connect(seconds(8), times_more_often * per_second, 0.9);
    const instant ended = monotonic_now();
    run_until([this] {
        return std::all_of(calls.begin(), calls.end(),
                           [](call& each) { return each.socket.ended(); });
    });
    const double before = share_served(start, begun);
    const double after = share_served(begun + contact, ended);
    BOOST_TEST(before > 0.9);
    BOOST_TEST(after >= kept_share * before);
}

BOOST_AUTO_TEST_SUITE_END()
