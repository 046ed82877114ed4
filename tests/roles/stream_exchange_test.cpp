#include "roles/gateway/stream_exchange.hpp"

#include <bus.pb.h>

#include <boost/test/unit_test.hpp>
#include <optional>

#include "roles/relay/stream_record_service.hpp"
#include "support/loop_runner.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

constexpr std::uint64_t account = 5;

/// The exchange of one entry, over a real bus.
class entry_process {
public:
    entry_process(event_loop& loop, int number)
        : host("h" + std::to_string(number)),
          bus(message_bus::open(loop, {"tcp://127.0.0.1:0", {}, {}}).value()),
          members(host, {}),
          exchange(
              loop, *bus, members, "z1", "", counters,
              {[this](std::string_view) { return versions; }, [this] { return list_current; },
               [this](std::string_view) { return knows_earlier; }, [this] { return relays; }}) {
        bus->on_message([this](const message_origin& origin, const wire::Envelope& message) {
            if (answers) {
                exchange.on_message(origin, message);
            }
        });
    }

    cluster_member self(std::uint64_t process = 1) const {
        return {host, incarnation_id{process}, bus->endpoint(), 1.0, "z1", {}, {}, true};
    }

    std::uint64_t sent(std::string_view kind) {
        return counters.counter(
            labelled("gateway_stream_messages_total", {{"kind", kind}, {"direction", "sent"}}));
    }

    double held() {
        exchange.tick(monotonic_now());
        return counters.gauge("gateway_stream_records");
    }

    std::string host;
    metrics counters;
    std::unique_ptr<message_bus> bus;
    token_allocator_selector members;
    recent_values::value_set versions{"v1"};
    bool list_current = true;
    bool knows_earlier = false;
    bool answers = true;
    std::vector<record_relay> relays;
    stream_exchange exchange;
};

/// Four entries of one failure domain that know each other.
struct stream_exchange_fixture : loop_runner {
    entry_process first{loop, 1};
    entry_process second{loop, 2};
    entry_process third{loop, 3};
    entry_process fourth{loop, 4};
    std::vector<entry_process*> all{&first, &second, &third, &fourth};

    stream_exchange_fixture() {
        for (entry_process* each : all) {
            for (const entry_process* other : all) {
                each->members.apply(other->self());
            }
        }
    }

    static stream_record record(const std::string& request, const std::string& version = "v1",
                                std::uint32_t attempt = 1) {
        return {request, "llm", version, account, attempt, monotonic_now() + seconds(10)};
    }

    /// Asks at an entry and waits for what it finds out.
    stream_exchange::resolution ask(entry_process& at, const std::string& request,
                                    const std::string& service = "llm",
                                    std::uint64_t of = account) {
        std::optional<stream_exchange::resolution> found;
        const auto question = at.exchange.ask({request, of, service, milliseconds(50)},
                                              [&found](const auto& result) { found = result; });
        BOOST_TEST(!found);
        BOOST_REQUIRE(run_until([&found] { return found.has_value(); }));
        return *found;
    }

    double held_by_all() {
        double sum = 0.0;
        for (entry_process* each : all) {
            sum += each->held();
        }
        return sum;
    }

    /// Lets all lists of targets have been known for as long as is asked for.
    void read_lists() {
        for (entry_process* each : all) {
            each->exchange.note_list_read(monotonic_now());
        }
        run_for(milliseconds(60));
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(stream_exchange_test, stream_exchange_fixture)

BOOST_AUTO_TEST_CASE(stream_begun_at_one_entry_is_known_at_the_others_for_two_messages) {
    first.exchange.begin_stream(record("r1"));
    BOOST_TEST(run_until([this] { return held_by_all() == 3.0; }));
    BOOST_TEST(first.sent("records") == 2U);
    for (entry_process* each : {&second, &third, &fourth}) {
        const auto found = ask(*each, "r1");
        BOOST_TEST(name_of(found.origin.source) == "record");
        BOOST_TEST(found.origin.version == "v1");
        BOOST_TEST(found.origin.service == "llm");
        BOOST_TEST((found.elapsed < milliseconds(50)));
    }
}

BOOST_AUTO_TEST_CASE(stream_is_known_after_the_entry_that_began_it_and_one_holder_are_gone) {
    first.exchange.begin_stream(record("r1"));
    BOOST_REQUIRE(run_until([this] { return held_by_all() == 3.0; }));
    first.answers = false;
    entry_process* asker = nullptr;
    for (entry_process* each : {&second, &third, &fourth}) {
        if (each->held() == 0.0) {
            asker = each;
        }
    }
    BOOST_REQUIRE(asker != nullptr);
    entry_process* gone = asker == &second ? &third : &second;
    gone->answers = false;
    const auto found = ask(*asker, "r1");
    BOOST_TEST(found.origin.version == "v1");
    // Another holder's answer is enough.
    BOOST_TEST((found.elapsed < milliseconds(50)));
}

BOOST_AUTO_TEST_CASE(later_attempt_decides_where_the_stream_continues) {
    first.exchange.begin_stream(record("r1", "v1", 1));
    first.exchange.begin_stream(record("r1", "v2", 2));
    run_for(milliseconds(20));
    for (entry_process* each : all) {
        BOOST_TEST(ask(*each, "r1").origin.version == "v2");
    }
}

BOOST_AUTO_TEST_CASE(stream_of_another_account_is_unknown) {
    first.exchange.begin_stream(record("r1"));
    run_for(milliseconds(20));
    for (entry_process* each : all) {
        each->versions = {"v1", "v2"};
    }
    const auto other = ask(second, "r1", "llm", account + 1);
    const auto none = ask(second, "r2", "llm", account);
    BOOST_TEST(name_of(other.origin.source) == "unknown");
    BOOST_TEST(name_of(none.origin.source) == "unknown");
    BOOST_TEST(other.origin.version.empty());
}

BOOST_AUTO_TEST_CASE(unknown_stream_has_the_only_version_once_lists_are_known_for_long) {
    BOOST_TEST(name_of(ask(second, "r1").origin.source) == "unknown");
    read_lists();
    BOOST_TEST(name_of(ask(second, "r1").origin.source) == "only_version");
    BOOST_TEST(name_of(ask(second, "r1", "").origin.source) == "unknown");
    third.versions = {"v2"};
    fourth.versions = {"v2"};
    BOOST_TEST(name_of(ask(second, "r1").origin.source) == "unknown");
}

BOOST_AUTO_TEST_CASE(version_that_has_just_left_is_not_forgotten) {
    read_lists();
    second.exchange.note_version(monotonic_now(), "llm", "v0");
    BOOST_TEST(name_of(ask(second, "r1").origin.source) == "unknown");
    run_for(milliseconds(80));
    BOOST_TEST(name_of(ask(second, "r1").origin.source) == "only_version");
}

BOOST_AUTO_TEST_CASE(entry_that_hears_of_nobody_trusts_no_list) {
    read_lists();
    for (entry_process* each : {&first, &third, &fourth}) {
        each->answers = false;
    }
    const auto found = ask(second, "r1");
    BOOST_TEST(name_of(found.origin.source) == "unknown");
    BOOST_TEST(found.answered == 0U);
    BOOST_TEST((found.elapsed < milliseconds(150)));
}

BOOST_AUTO_TEST_CASE(entry_that_knows_earlier_versions_need_not_have_seen_them) {
    second.knows_earlier = true;
    // Its own list must have been read.
    BOOST_TEST(name_of(ask(second, "r1").origin.source) == "unknown");
    second.exchange.note_list_read(monotonic_now());
    BOOST_TEST(name_of(ask(second, "r1").origin.source) == "only_version");
    second.exchange.note_version(monotonic_now(), "llm", "v0");
    BOOST_TEST(name_of(ask(second, "r1").origin.source) == "unknown");
}

/// A relay that holds records beside the entries, over a real bus.
struct record_relay_fixture : stream_exchange_fixture {
    std::unique_ptr<message_bus> bus =
        message_bus::open(loop, {"tcp://127.0.0.1:0", {}, {}}).value();
    stream_record_service service{loop, *bus, "side-1"};
    std::size_t records = 0;

    record_relay_fixture() {
        bus->on_message([this](const message_origin& origin, const wire::Envelope& message) {
            records += static_cast<std::size_t>(message.stream_records().records_size());
            service.on_message(origin, message);
        });
        for (entry_process* each : all) {
            each->relays = {{bus->endpoint(), "z1"}};
            each->versions = {"v1", "v2"};
            each->exchange.tick(monotonic_now());
        }
    }

    /// Lets an entry hold a stream's record that no other entry has.
    void begin_alone(const std::string& request, bool binds) {
        for (entry_process* each : {&second, &third, &fourth}) {
            each->answers = false;
        }
        first.exchange.begin_stream(record(request));
        if (binds) {
            first.exchange.bind_stream(request, account);
        }
        run_for(milliseconds(60));
        for (entry_process* each : {&second, &third, &fourth}) {
            each->answers = true;
        }
        first.answers = false;
    }
};

BOOST_FIXTURE_TEST_CASE(stream_is_known_from_a_relay_after_all_its_entries_are_gone,
                        record_relay_fixture) {
    begin_alone("r1", true);
    const auto found = ask(second, "r1");
    BOOST_TEST(name_of(found.origin.source) == "record");
    BOOST_TEST(found.origin.version == "v1");
    BOOST_TEST(found.origin.host == "side-1");
    BOOST_TEST(name_of(ask(second, "r1", "llm", account + 1).origin.source) == "unknown");
}

/// Until its first event is passed on, a stream may yet begin at another version.
BOOST_FIXTURE_TEST_CASE(relay_gets_no_record_of_a_stream_that_has_no_event, record_relay_fixture) {
    begin_alone("r1", false);
    BOOST_TEST(records == 0U);
    BOOST_TEST(name_of(ask(second, "r1").origin.source) == "unknown");
}

BOOST_FIXTURE_TEST_CASE(stream_that_ends_at_once_is_not_sent_to_relays, record_relay_fixture) {
    first.exchange.begin_stream(record("r1"));
    first.exchange.bind_stream("r1", account);
    first.exchange.end_stream("r1", account);
    run_for(milliseconds(60));
    BOOST_TEST(records == 0U);
    BOOST_TEST(first.sent("relay_records") == 0U);
}

BOOST_FIXTURE_TEST_CASE(streams_that_begin_together_reach_a_relay_in_one_message,
                        record_relay_fixture) {
    for (int number = 0; number < 20; ++number) {
        const std::string request = "r" + std::to_string(number);
        first.exchange.begin_stream(record(request));
        first.exchange.bind_stream(request, account);
        first.exchange.bind_stream(request, account);
    }
    BOOST_TEST(run_until([this] { return records == 20U; }));
    BOOST_TEST(first.sent("relay_records") == 1U);
}

/// What a relay answers doesn't show that this entry's list is up to date.
BOOST_FIXTURE_TEST_CASE(entry_that_hears_of_a_relay_alone_trusts_no_list, record_relay_fixture) {
    read_lists();
    for (entry_process* each : all) {
        each->versions = {"v1"};
        each->answers = each == &second;
    }
    const auto found = ask(second, "r9");
    BOOST_TEST(found.answered == 1U);
    BOOST_TEST(name_of(found.origin.source) == "unknown");
}

/// All entries have started anew and know one version; a relay has seen streams of another one.
BOOST_FIXTURE_TEST_CASE(version_that_only_a_relay_has_seen_counts, record_relay_fixture) {
    begin_alone("r1", true);
    read_lists();
    for (entry_process* each : all) {
        each->versions = {"v2"};
        each->knows_earlier = true;
    }
    const auto found = ask(second, "r9");
    BOOST_TEST(name_of(found.origin.source) == "only_version");
    const auto window = seconds(10);
    std::optional<stream_exchange::resolution> known;
    const auto question = second.exchange.ask({"r9", account, "llm", window},
                                              [&known](const auto& result) { known = result; });
    BOOST_REQUIRE(run_until([&known] { return known.has_value(); }));
    BOOST_TEST(name_of(known->origin.source) == "unknown");
}

BOOST_AUTO_TEST_CASE(lists_that_are_not_up_to_date_are_not_trusted) {
    read_lists();
    for (entry_process* each : all) {
        each->list_current = false;
    }
    BOOST_TEST(name_of(ask(second, "r1").origin.source) == "unknown");
}

BOOST_AUTO_TEST_CASE(replaced_holder_gets_the_records_of_running_streams_again) {
    first.exchange.begin_stream(record("r1"));
    run_for(milliseconds(20));
    first.exchange.tick(monotonic_now());
    BOOST_TEST(first.sent("records") == 2U);
    for (entry_process* each : all) {
        first.members.apply(each->self(2));
    }
    first.exchange.tick(monotonic_now());
    first.exchange.tick(monotonic_now());
    BOOST_TEST(first.sent("records") == 4U);
}

BOOST_AUTO_TEST_CASE(entry_that_stops_hands_over_what_it_holds) {
    first.exchange.begin_stream(record("r1"));
    run_for(milliseconds(20));
    entry_process* stopping = second.held() > 0.0 ? &second : &third;
    stopping->exchange.hand_over();
    run_for(milliseconds(20));
    first.answers = false;
    stopping->answers = false;
    for (entry_process* each : {&second, &third, &fourth}) {
        if (each != stopping) {
            BOOST_TEST(ask(*each, "r1").origin.version == "v1");
        }
    }
}

BOOST_AUTO_TEST_CASE(stream_that_was_received_whole_is_forgotten_where_it_began) {
    first.exchange.begin_stream(record("r1"));
    BOOST_TEST(first.held() == 1.0);
    first.exchange.end_stream("r1", account);
    BOOST_TEST(first.held() == 0.0);
}

BOOST_AUTO_TEST_CASE(callers_that_wait_forever_leave_no_more_records_than_the_table_holds) {
    entry_process alone(loop, 5);
    for (int number = 0; number < 20'000; ++number) {
        stream_record patient = record("r" + std::to_string(number));
        patient.expires = monotonic_now() + std::chrono::hours(24);
        alone.exchange.begin_stream(patient);
    }
    BOOST_TEST(alone.held() == 16'384.0);
    BOOST_TEST(alone.counters.gauge("gateway_streams_begun") == 16'384.0);
    const auto found = ask(alone, "r19999");
    BOOST_TEST((found.origin.expires <= monotonic_now() + stream_record::max_life));
}

BOOST_AUTO_TEST_CASE(damaged_messages_are_refused) {
    wire::Envelope message;
    message.mutable_stream_records()->add_records()->set_request("");
    for (int number = 0; number < 1000; ++number) {
        message.mutable_stream_records()->add_records()->set_request("r" + std::to_string(number));
    }
    second.bus->send(first.bus->endpoint(), message);
    wire::Envelope question;
    question.mutable_stream_question()->set_request(std::string(10'000, 'x'));
    second.bus->send(first.bus->endpoint(), question);
    wire::Envelope answer;
    answer.mutable_stream_answer()->set_number(77);
    second.bus->send(first.bus->endpoint(), answer);
    run_for(milliseconds(50));
    BOOST_TEST(first.held() == 0.0);
    BOOST_TEST(first.counters.counter("gateway_stream_records_refused_total") == 1U);
    BOOST_TEST(first.counters.counter("gateway_stream_questions_refused_total") == 1U);
    BOOST_TEST(first.sent("answer") == 0U);
}

BOOST_AUTO_TEST_CASE(question_that_is_dropped_calls_nothing) {
    bool called = false;
    first.exchange.ask({"r1", account, "llm", milliseconds(50)},
                       [&called](const auto&) { called = true; });
    run_for(milliseconds(100));
    BOOST_TEST(!called);
}

BOOST_AUTO_TEST_SUITE_END()
