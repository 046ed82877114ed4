#include "platform/stream_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

constexpr std::size_t streams = 12;

/// Two versions of both services that serve side by side without an order.
struct two_versions : stream_fleet {
    two_versions() {
        for (const char* service : {"app", "llm"}) {
            add_targets(service, "v1", 3);
            add_targets(service, "v2", 3);
        }
        start_all();
        // Targets of two versions get requests once an entry has read the rollout orders.
        run_for(milliseconds(1000));
    }

    /// Starts streams at the first entry and ends one target of each version under them.
    void break_streams_at_targets(const std::string& path, const std::string& service) {
        earn_retries(path, entries[0], 2 * streams);
        begin_streams(path, entries[0], streams);
        target("i-" + service + "-v1-1").crash();
        target("i-" + service + "-v2-1").crash();
        finish_attempts();
    }

    /// Starts streams at the first entry, which is killed under them.
    void break_streams_at_entry(const std::string& path) {
        begin_streams(path, entries[0], streams);
        entries[0].process->signal(SIGKILL);
        finish_attempts();
        BOOST_REQUIRE(whole() == 0U);
    }

    /// Lets streams last for some seconds.
    void slow_down() {
        for (const auto& each : targets) {
            each->event_interval = milliseconds(150);
        }
    }

    /// Stops an entry as planned and starts its successor.
    void restart_as_planned(entry& each) {
        each.process->signal(SIGTERM);
        BOOST_REQUIRE(run_until([&each] { return each.process->ended(); }));
        launch(each);
        until_ready(each);
    }

    /// The requests with such identifiers that targets ran.
    std::size_t seen_with(std::string_view prefix) const {
        std::size_t seen = 0;
        for (const auto& each : targets) {
            for (const message_head& head : each->worker.seen) {
                seen += head.header("Request-Id").starts_with(prefix) ? 1 : 0;
            }
        }
        return seen;
    }

    /// The services that ran attempts of each stream.
    std::map<std::string, std::set<std::string>> services_that_ran() const {
        std::map<std::string, std::set<std::string>> services;
        for (const resumable_call& call : calls) {
            for (const auto& each : targets) {
                for (const message_head& head : each->worker.seen) {
                    const std::string_view id = head.header("Request-Id");
                    if (std::find(call.attempts.begin(), call.attempts.end(), id) !=
                        call.attempts.end()) {
                        services[call.begun_by].insert(each->service);
                    }
                }
            }
        }
        return services;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(stream_version_live_test, two_versions)

BOOST_AUTO_TEST_CASE(stream_continued_in_one_response_joins_no_two_versions) {
    for (const char* service : {"app", "llm"}) {
        BOOST_TEST_CONTEXT(service) {
            const std::string path = std::string(service) == "app" ? "/plain/" : "/engine/";
            break_streams_at_targets(path, service);
            BOOST_TEST(mixed() == 0U);
            BOOST_TEST(whole() >= streams / 2);
            calls.clear();
        }
    }
    BOOST_TEST(sum_of(R"(gateway_streams_continued_total{versions="same"})") > 0.0);
}

BOOST_AUTO_TEST_CASE(plain_stream_resumed_at_another_entry_joins_no_two_versions) {
    break_streams_at_entry("/plain/");
    resume_broken(entries[1]);
    BOOST_TEST(mixed() == 0U);
    BOOST_TEST(whole() == streams);
}

BOOST_AUTO_TEST_CASE(engine_stream_resumed_at_another_entry_joins_no_two_versions) {
    break_streams_at_entry("/engine/");
    resume_broken(entries[1]);
    BOOST_TEST(mixed() == 0U);
    BOOST_TEST(whole() == streams);
}

BOOST_AUTO_TEST_CASE(holders_that_stop_in_turn_get_records_of_running_streams_again) {
    slow_down();
    begin_streams("/plain/", entries[0], streams);
    restart_as_planned(entries[1]);
    restart_as_planned(entries[2]);
    run_for(milliseconds(300));
    entries[0].process->signal(SIGKILL);
    finish_attempts();
    BOOST_REQUIRE(whole() == 0U);
    resume_broken(entries[1]);
    BOOST_TEST(mixed() == 0U);
    BOOST_TEST(whole() == streams);
}

BOOST_AUTO_TEST_CASE(holders_that_stop_in_turn_hand_over_records_of_a_lost_entry) {
    slow_down();
    begin_streams("/plain/", entries[0], streams);
    entries[0].process->signal(SIGKILL);
    finish_attempts();
    restart_as_planned(entries[1]);
    restart_as_planned(entries[2]);
    resume_broken(entries[1]);
    BOOST_TEST(mixed() == 0U);
    BOOST_TEST(whole() == streams);
}

BOOST_AUTO_TEST_CASE(stream_whose_entry_and_one_holder_are_killed_is_resumed_at_its_version) {
    begin_streams("/plain/", entries[0], streams);
    entries[0].process->signal(SIGKILL);
    entries[1].process->signal(SIGKILL);
    finish_attempts();
    resume_broken(entries[2]);
    BOOST_TEST(mixed() == 0U);
    BOOST_TEST(whole() == streams);
}

BOOST_AUTO_TEST_CASE(stream_that_is_resumed_twice_stays_at_its_version) {
    break_streams_at_entry("/engine/");
    for (resumable_call& call : calls) {
        send(call, entries[1]);
    }
    run_for(milliseconds(150));
    launch(entries[0]);
    until_ready(entries[0]);
    entries[1].process->signal(SIGKILL);
    finish_attempts();
    resume_broken(entries[2]);
    BOOST_TEST(mixed() == 0U);
    BOOST_TEST(whole() == streams);
}

BOOST_AUTO_TEST_CASE(stream_of_a_frozen_entry_is_resumed_at_its_version) {
    begin_streams("/plain/", entries[0], streams);
    entries[0].process->signal(SIGSTOP);
    for (resumable_call& call : calls) {
        call.read();
        send(call, entries[1]);
    }
    finish_attempts();
    entries[0].process->signal(SIGCONT);
    BOOST_TEST(mixed() == 0U);
    BOOST_TEST(whole() == streams);
}

BOOST_AUTO_TEST_CASE(stream_that_nobody_knows_is_refused_at_once) {
    const std::vector<std::string> resumptions{
        "Resumes: unheard-of\r\nLast-Event-Id: 3\r\n", "Last-Event-Id: 3\r\n",
        "Resumes: unheard-of\r\n",
        "Resumes: " + std::string(200, 'x') + "\r\nLast-Event-Id: 3\r\n"};
    for (const std::string& resumption : resumptions) {
        const instant sent = monotonic_now();
        resumable_call& call = calls.emplace_back();
        call.path = "/plain/";
        send_as(call, entries[1], "n" + std::to_string(calls.size()), resumption);
        finish_attempts();
        BOOST_TEST_CONTEXT(resumption) {
            BOOST_TEST(call.status == 503U);
            BOOST_TEST(call.socket.received().find("Retry-After: ") != std::string::npos);
            BOOST_TEST(call.socket.received().find("stream_version_unknown") != std::string::npos);
            BOOST_TEST((monotonic_now() - sent < milliseconds(200)));
        }
    }
    BOOST_TEST(seen_with("n") == 0U);
}

BOOST_AUTO_TEST_CASE(stream_of_another_account_is_refused_like_an_unknown_one) {
    break_streams_at_entry("/plain/");
    for (resumable_call& call : calls) {
        call.key = "key-2";
    }
    resume_broken(entries[1]);
    for (const resumable_call& call : calls) {
        BOOST_TEST(call.status == 503U);
    }
    BOOST_TEST(mixed() + whole() == 0U);
}

BOOST_AUTO_TEST_CASE(repeated_header_about_the_resumed_stream_is_refused) {
    resumable_call& call = calls.emplace_back();
    call.path = "/plain/";
    send_as(call, entries[1], "n1", "Resumes: r1\r\nResumes: r2\r\nLast-Event-Id: 3\r\n");
    finish_attempts();
    BOOST_TEST(call.status == 400U);
}

BOOST_AUTO_TEST_CASE(stream_whose_version_has_no_target_left_is_refused_at_once) {
    break_streams_at_entry("/plain/");
    for (const auto& each : targets) {
        if (each->worker.version == "v1") {
            each->crash();
            store.put("keyed.servers", each->worker.id(), std::nullopt);
        }
    }
    run_for(milliseconds(500));
    const instant resumed = monotonic_now();
    resume_broken(entries[1]);
    for (const resumable_call& call : calls) {
        const bool is_at_lost_version = call.versions.contains("v1");
        BOOST_TEST(call.complete == !is_at_lost_version);
        BOOST_TEST(call.status == (is_at_lost_version ? 503U : 200U));
    }
    BOOST_TEST(mixed() == 0U);
    BOOST_TEST((monotonic_now() - resumed < seconds(2)));
}

BOOST_AUTO_TEST_CASE(stream_of_a_split_route_is_resumed_at_the_service_that_began_it) {
    plain_services = R"("split":[{"service":"app","weight":50},{"service":"other","weight":50}])";
    add_targets("other", "v1", 2);
    add_targets("other", "v2", 2);
    configure();
    run_for(milliseconds(1500));
    begin_streams("/plain/", entries[0], 2 * streams);
    entries[0].process->signal(SIGKILL);
    finish_attempts();
    const auto begun_at = services_that_ran();
    resume_broken(entries[1]);
    BOOST_TEST(whole() == 2 * streams);
    BOOST_TEST(mixed() == 0U);
    for (const auto& [call, services] : services_that_ran()) {
        BOOST_TEST(services.size() == 1U);
    }
    BOOST_TEST(begun_at.size() == 2 * streams);
}

BOOST_AUTO_TEST_CASE(stream_of_a_route_that_moved_to_another_service_is_refused) {
    break_streams_at_entry("/plain/");
    add_targets("other", "v1", 2);
    plain_services = R"("service":"other")";
    configure();
    run_for(milliseconds(1500));
    resume_broken(entries[1]);
    for (resumable_call& call : calls) {
        BOOST_TEST(call.status == 503U);
        BOOST_TEST(call.socket.received().find("stream_service_withdrawn") != std::string::npos);
    }
    BOOST_TEST(whole() == 0U);
}

BOOST_AUTO_TEST_CASE(new_stream_costs_two_messages_and_asks_nobody) {
    begin_streams("/plain/", entries[0], streams);
    finish_attempts();
    const std::string sent = R"(gateway_stream_messages_total{kind="records",direction="sent"})";
    BOOST_TEST(figure_of(entries[0], sent) == 2.0 * streams);
    BOOST_TEST(sum_of(R"(gateway_stream_messages_total{kind="question",direction="sent"})") == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
