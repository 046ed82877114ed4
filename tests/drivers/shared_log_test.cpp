#include "wrenswitch/drivers/shared_log.hpp"

#include <bus.pb.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>

#include "support/fake_keyed_log.hpp"
#include "support/loop_runner.hpp"
#include "wrenswitch/drivers/keyed_follower.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

constexpr const char* log_name = "configuration";
constexpr microseconds hold = milliseconds(150);
constexpr microseconds call_timeout = milliseconds(100);

constexpr microseconds usual_reply_slack = milliseconds(100);

/// Readers may fail in any way, and every entry still knows a record within this time.
constexpr microseconds longest_delay = seconds(2);

/// How one process reaches the store.
enum class store_link_state { open, refusing, silent };

/// One process's way to the store, which may fail while others' work.
class store_link final : public keyed_log {
public:
    store_link(event_loop& loop, fake_keyed_log& store) : loop_(loop), store_(store) {}

    store_link_state state = store_link_state::open;

    std::uint64_t generation() const override { return heard_generation_; }

    void newest(std::string_view log, page_hook done) override {
        if (!fails(call_timeout, done)) {
            store_.newest(log, guarded(std::move(done), call_timeout));
        }
    }

    void read(std::string_view log, std::uint64_t from, microseconds wait,
              page_hook done) override {
        if (!fails(wait + call_timeout, done)) {
            store_.read(log, from, wait, guarded(std::move(done), wait + call_timeout));
        }
    }

    void append(std::string_view log, std::optional<std::uint64_t> at,
                std::span<const keyed_record> records, append_hook done) override {
        store_.append(log, at, records, std::move(done));
    }

private:
    bool fails(microseconds timeout, const page_hook& done) {
        if (state == store_link_state::open) {
            return false;
        }
        const microseconds delay = state == store_link_state::silent ? timeout : microseconds(0);
        loop_.call_after(delay, [done] { done(failed(error_code::unavailable, "cut off")); });
        return true;
    }

    /// A read that is held when the link falls silent isn't answered either.
    page_hook guarded(page_hook done, microseconds timeout) {
        return [this, done = std::move(done),
                until = monotonic_now() + timeout](const result<keyed_page>& page) {
            if (state == store_link_state::open) {
                heard_generation_ = store_.generation();
                done(page);
                return;
            }
            loop_.call_after(std::max(microseconds(0), until - monotonic_now()),
                             [done] { done(failed(error_code::unavailable, "cut off")); });
        };
    }

    event_loop& loop_;
    fake_keyed_log& store_;
    /// The generation named by the last reply over this link.
    std::uint64_t heard_generation_ = 0;
};

/// A process that follows one log.
class following_process {
public:
    following_process(event_loop& loop, fake_keyed_log& store, int number,
                      microseconds reply_slack = usual_reply_slack)
        : host("h" + std::to_string(number)),
          link(loop, store),
          bus(message_bus::open(loop, {"tcp://127.0.0.1:0", {}, {}}).value()),
          members(host, {}),
          shared(loop, link, *bus, members, counters, settings_of(host, reply_slack)),
          follower(loop, shared, {.log = log_name, .hold = hold},
                   {[this](const keyed_record& record) {
                        values.push_back(record.value.value_or("gone"));
                    },
                    [] {}, [](bool) {}}) {
        bus->on_message([this](const message_origin& origin, const wire::Envelope& message) {
            if (!is_cut_off) {
                shared.on_message(origin, message);
            }
        });
    }

    static shared_log_settings settings_of(const std::string& host, microseconds reply_slack) {
        shared_log_settings settings;
        settings.own_host = host;
        settings.failure_domain = "d1";
        settings.reply_slack = reply_slack;
        settings.members_timeout = milliseconds(10);
        settings.newest_wait = milliseconds(100);
        settings.server.newest_page_bytes = 200;
        settings.server.age_slack = milliseconds(150);
        return settings;
    }

    cluster_member self() const {
        cluster_member member;
        member.host = host;
        member.process = incarnation_id{1};
        member.endpoint = bus->endpoint();
        member.failure_domain = "d1";
        member.shares_reads = shares_reads;
        return member;
    }

    bool knows(const std::string& value) const {
        return std::find(values.begin(), values.end(), value) != values.end();
    }

    std::string host;
    bool shares_reads = true;
    /// Drops all messages of other processes.
    bool is_cut_off = false;
    metrics counters;
    store_link link;
    std::unique_ptr<message_bus> bus;
    token_allocator_selector members;
    shared_log shared;
    std::vector<std::string> values;
    keyed_follower follower;
};

/// One failure domain whose entries all follow the same log.
struct shared_log_fixture : loop_runner {
    fake_keyed_log store{loop};
    std::vector<std::unique_ptr<following_process>> processes;
    microseconds reply_slack = usual_reply_slack;

    void start(int count, int earlier_releases = 0) {
        for (int number = 0; number < count; ++number) {
            processes.push_back(
                std::make_unique<following_process>(loop, store, number, reply_slack));
            processes.back()->shares_reads = number >= earlier_releases;
        }
        for (const auto& each : processes) {
            for (const auto& other : processes) {
                each->members.apply(other->self());
            }
        }
        for (const auto& each : processes) {
            each->follower.start();
        }
        store.put(log_name, "k", "first");
        BOOST_REQUIRE(run_until([this] { return all_know("first"); }));
        // Until each has a read open at its reader.
        run_for(2 * hold);
    }

    bool all_know(const std::string& value) const {
        return std::all_of(processes.begin(), processes.end(),
                           [&value](const auto& each) { return each->knows(value); });
    }

    std::vector<following_process*> readers() {
        std::vector<following_process*> found;
        for (const auto& each : processes) {
            log_reader_selector selector(each->host, {});
            selector.set_members(each->members.members_in("d1"));
            if (selector.is_reader()) {
                found.push_back(each.get());
            }
        }
        return found;
    }

    /// Writes a record and checks that all processes know it in time.
    void check_record_reaches_all(const std::string& value) {
        store.put(log_name, "k", value);
        BOOST_TEST(run_until([this, &value] { return all_know(value); }, longest_delay));
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(shared_log_test, shared_log_fixture)

/// Each process reading each log for itself costs calls that grow with processes times logs.
BOOST_AUTO_TEST_CASE(entries_of_one_failure_domain_few_of_them_read_the_store) {
    start(30);
    const std::size_t before = store.read_calls;
    for (int number = 0; number < 10; ++number) {
        check_record_reaches_all("v" + std::to_string(number));
        run_for(milliseconds(20));
    }
    // Two readers, each with a read for a record, and reads that end without one.
    BOOST_TEST(store.read_calls - before <= 60U);
}

/// After a loss of all processes, each reads all logs. Read from the store by each process, that
/// takes as many bytes as there are processes times keys.
BOOST_AUTO_TEST_CASE(entries_that_start_together_read_the_newest_records_from_readers) {
    for (int number = 0; number < 40; ++number) {
        store.put(log_name, "key" + std::to_string(number), "value" + std::to_string(number));
    }
    start(30);
    BOOST_TEST(store.newest_calls <= 6U);
    for (const auto& each : processes) {
        BOOST_TEST(each->knows("value0"));
        BOOST_TEST(each->knows("value39"));
    }
}

BOOST_AUTO_TEST_CASE(entry_whose_readers_are_gone_starts_from_the_store) {
    start(14);
    const std::vector<following_process*> all_readers = readers();
    following_process late(loop, store, 99);
    for (const auto& each : processes) {
        late.members.apply(each->self());
    }
    for (following_process* reader : all_readers) {
        reader->is_cut_off = true;
    }
    late.follower.start();
    BOOST_TEST(run_until([&late] { return late.knows("first"); }, longest_delay));
}

/// After a loss of power an entry that doesn't reach the store knows nothing, not even its peers.
BOOST_AUTO_TEST_CASE(entry_that_starts_without_the_store_is_told_of_a_reader) {
    following_process stranded(loop, store, 99);
    stranded.link.state = store_link_state::refusing;
    stranded.follower.start();
    for (int number = 0; number < 14; ++number) {
        processes.push_back(std::make_unique<following_process>(loop, store, number));
    }
    for (const auto& each : processes) {
        each->members.apply(stranded.self());
    }
    start(0);
    BOOST_TEST(run_until([&stranded] { return stranded.knows("first"); }, longest_delay));
    check_record_reaches_all("second");
    BOOST_TEST(run_until([&stranded] { return stranded.knows("second"); }, longest_delay));
}

BOOST_AUTO_TEST_CASE(reader_that_stops_is_passed_over) {
    start(14);
    following_process* const reader = readers().front();
    std::erase_if(processes, [reader](const auto& each) { return each.get() == reader; });
    check_record_reaches_all("second");
    check_record_reaches_all("third");
}

BOOST_AUTO_TEST_CASE(reader_cut_off_from_the_others_is_passed_over_and_asked_again) {
    start(14);
    following_process* const reader = readers().front();
    reader->is_cut_off = true;
    check_record_reaches_all("second");
    reader->is_cut_off = false;
    check_record_reaches_all("third");
    run_for(seconds(3));
    const std::uint64_t before = reader->counters.counter("shared_reads_answered_total");
    check_record_reaches_all("fourth");
    BOOST_TEST(reader->counters.counter("shared_reads_answered_total") > before);
}

BOOST_AUTO_TEST_CASE(reader_whose_store_is_silent_is_passed_over) {
    start(14);
    readers().front()->link.state = store_link_state::silent;
    store.put(log_name, "k", "second");
    BOOST_TEST(run_until(
        [this] {
            return std::all_of(processes.begin(), processes.end(), [](const auto& each) {
                return each->link.state != store_link_state::open || each->knows("second");
            });
        },
        longest_delay));
}

BOOST_AUTO_TEST_CASE(reader_that_the_store_refuses_is_passed_over) {
    start(14);
    readers().front()->link.state = store_link_state::refusing;
    store.put(log_name, "k", "second");
    BOOST_TEST(run_until(
        [this] {
            return std::all_of(processes.begin(), processes.end(), [](const auto& each) {
                return each->link.state != store_link_state::open || each->knows("second");
            });
        },
        longest_delay));
}

BOOST_AUTO_TEST_CASE(entry_cut_off_from_the_store_reads_through_its_reader) {
    start(14);
    const std::vector<following_process*> all_readers = readers();
    for (const auto& each : processes) {
        if (std::find(all_readers.begin(), all_readers.end(), each.get()) == all_readers.end()) {
            each->link.state = store_link_state::silent;
        }
    }
    check_record_reaches_all("second");
}

BOOST_AUTO_TEST_CASE(all_readers_lost_at_once_entries_read_the_store) {
    start(14);
    const std::vector<following_process*> all_readers = readers();
    std::erase_if(processes, [&all_readers](const auto& each) {
        return std::find(all_readers.begin(), all_readers.end(), each.get()) != all_readers.end();
    });
    check_record_reaches_all("second");
    check_record_reaches_all("third");
}

BOOST_AUTO_TEST_CASE(store_restored_from_a_copy_while_reads_are_shared_is_followed) {
    start(14);
    store.take_copy();
    check_record_reaches_all("lost");
    store.restore_copy();
    check_record_reaches_all("written since");
    check_record_reaches_all("and then");
    for (const auto& each : processes) {
        BOOST_TEST(each->values.back() == "and then");
    }
    const auto asked = [this] {
        std::uint64_t sum = 0;
        for (const auto& each : processes) {
            sum += each->counters.counter("shared_reads_asked_total");
        }
        return sum;
    };
    const std::uint64_t before = asked();
    run_for(4 * hold);
    BOOST_TEST(asked() - before <= 6 * processes.size());
}

/// A peer that names a generation that the store doesn't have must not make an entry drop its view.
BOOST_AUTO_TEST_CASE(generation_named_by_a_reader_alone_is_not_believed) {
    start(14);
    for (following_process* reader : readers()) {
        reader->bus->on_message(
            [reader](const message_origin& origin, const wire::Envelope& message) {
                wire::Envelope forged;
                wire::LogReadReply& reply = *forged.mutable_log_read_reply();
                reply.set_call(message.log_read_request().call());
                reply.set_outcome(wire::LOG_READ_PAGE);
                reply.set_generation(1'000);
                reply.set_end(message.log_read_request().from());
                reader->bus->answer(origin, forged);
            });
    }
    check_record_reaches_all("second");
    check_record_reaches_all("third");
    for (const auto& each : processes) {
        BOOST_TEST(each->follower.generation() == store.store_generation);
    }
}

BOOST_AUTO_TEST_CASE(entries_of_an_earlier_release_are_not_asked) {
    start(16, 3);
    check_record_reaches_all("second");
    for (const auto& each : processes) {
        BOOST_TEST(each->counters.counter("shared_reads_failed_total") == 0U);
    }
}

BOOST_AUTO_TEST_CASE(late_reply_does_not_replace_a_newer_record) {
    start(14);
    check_record_reaches_all("second");
    following_process& process = *processes.front();
    wire::Envelope late;
    wire::LogReadReply& reply = *late.mutable_log_read_reply();
    reply.set_call(12345);
    reply.set_outcome(wire::LOG_READ_PAGE);
    reply.set_generation(store.store_generation);
    reply.set_end(1);
    wire::SharedRecord& record = *reply.add_records();
    record.set_key("k");
    record.set_value("first");
    process.shared.on_message({}, late);
    run_for(hold);
    BOOST_TEST(process.values.back() == "second");
}

BOOST_AUTO_TEST_CASE(newest_records_out_of_order_are_counted_and_the_store_is_read) {
    start(14);
    for (following_process* reader : readers()) {
        reader->bus->on_message(
            [this, reader](const message_origin& origin, const wire::Envelope& message) {
                wire::Envelope damaged;
                wire::LogReadReply& reply = *damaged.mutable_log_read_reply();
                reply.set_call(message.log_read_request().call());
                reply.set_outcome(wire::LOG_READ_PAGE);
                reply.set_generation(store.store_generation);
                reply.set_end(1);
                for (const char* key : {"k", "a"}) {
                    wire::SharedRecord& record = *reply.add_records();
                    record.set_key(key);
                    record.set_value("forged");
                }
                reader->bus->answer(origin, damaged);
            });
    }
    following_process late(loop, store, 99);
    for (const auto& each : processes) {
        late.members.apply(each->self());
    }
    late.follower.start();
    BOOST_TEST(run_until([&late] { return late.knows("first"); }, longest_delay));
    BOOST_TEST(!late.knows("forged"));
    BOOST_TEST(late.counters.counter("shared_reads_damaged_total") > 0U);
}

/// A damaged page that isn't counted hides a reader's fault; one after which nothing is read leaves
/// its receiver without new records.
BOOST_AUTO_TEST_CASE(damaged_page_is_counted_and_the_store_is_read) {
    // A read that times out isn't counted as damaged, so that none may time out here.
    reply_slack = longest_delay;
    start(14);
    following_process* const reader = readers().front();
    bool forges = true;
    std::size_t forged = 0;
    reader->bus->on_message([&](const message_origin& origin, const wire::Envelope& message) {
        if (!forges || !message.has_log_read_request()) {
            reader->shared.on_message(origin, message);
            return;
        }
        wire::Envelope damaged;
        wire::LogReadReply& reply = *damaged.mutable_log_read_reply();
        reply.set_call(message.log_read_request().call());
        reply.set_outcome(wire::LOG_READ_PAGE);
        reply.set_generation(store.store_generation);
        reply.set_end(1'000'000);
        reader->bus->answer(origin, damaged);
        forged += 1;
    });
    const auto counted = [this] {
        std::uint64_t sum = 0;
        for (const auto& each : processes) {
            sum += each->counters.counter("shared_reads_damaged_total");
        }
        return sum;
    };
    // The reads that are open are answered with this record; those that follow get damaged pages.
    check_record_reaches_all("second");
    BOOST_TEST(run_until([&] { return counted() > 0; }, longest_delay));
    check_record_reaches_all("third");
    forges = false;
    // The last damaged pages may still be on their way. No more are sent, so that the number that
    // is reached can't pass.
    run_until([&] { return counted() >= forged; }, longest_delay);
    run_for(2 * hold);
    BOOST_TEST(counted() == forged);
}

/// A page of many bytes would fill a narrow link before its receiver can tell that it is coming.
BOOST_AUTO_TEST_CASE(page_that_is_too_long_is_read_from_the_store) {
    start(14);
    check_record_reaches_all(std::string(300U * 1024U, 'x'));
    std::uint64_t missing = 0;
    for (const auto& each : processes) {
        missing += each->counters.counter("shared_reads_missing_total");
    }
    BOOST_TEST(missing > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
