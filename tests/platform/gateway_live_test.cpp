#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>

#include "platform/store_standin.hpp"
#include "platform/worker_standin.hpp"
#include "support/child_process.hpp"
#include "support/fixed_port.hpp"
#include "support/loop_runner.hpp"
#include "support/loopback_proxy.hpp"
#include "support/raw_socket.hpp"
#include "wrenswitch/core/tokens.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;
using wrenswitch::test::child_process;

/// The real wrengate and wrenrelay between a bare client and stand-ins of the store and of workers.
struct gateway_fixture : loop_runner {
    store_standin store{loop};
    worker_standin engine{loop, "i-engine"};
    worker_standin plain{loop, "i-plain"};
    std::uint16_t listen = free_port();
    std::uint16_t admin = free_port();
    std::uint16_t bus = free_port();
    std::uint16_t relay_bus = free_port();
    std::string settings_file = "/tmp/wrengate_test_" + std::to_string(listen) + ".json";
    std::unique_ptr<child_process> gateway;
    std::unique_ptr<child_process> relay;
    std::string service_address = store.address();
    std::uint64_t version = 1;
    tokens prepaid = 100'000;
    std::string keys = R"(["key-1"])";
    double cold_rate = 0.0;

    gateway_fixture() {
        engine.answer = [this](const ingress_exchange_pointer& exchange) {
            exchange->answer(200, engine.signed_headers(exchange), event(1));
        };
        configure();
        store.put("keyed.servers", engine.id(), engine.list_entry("llm"));
        store.put("keyed.servers", plain.id(), plain.list_entry("app"));
    }

    ~gateway_fixture() {
        gateway.reset();
        relay.reset();
        std::remove(settings_file.c_str());
    }

    static std::uint16_t free_port() { return fixed_port(); }

    void configure() {
        const std::string text = R"({"version":)" + std::to_string(version++) + R"(,"routes":[
            {"name":"stream","host":"h.test","pathPrefix":"/stream/","kind":"streaming",
             "timeoutMs":3000,"service":"llm","maxAttempts":1},
            {"name":"resume","host":"h.test","pathPrefix":"/resume/","kind":"streaming",
             "resumable":true,"timeoutMs":3000,"service":"llm","maxAttempts":2},
            {"name":"once","host":"h.test","pathPrefix":"/once/","kind":"non_idempotent",
             "timeoutMs":1000,"service":"app","maxAttempts":1},
            {"name":"again","host":"h.test","pathPrefix":"/again/","kind":"idempotent",
             "timeoutMs":1000,"service":"app","maxAttempts":2}],
            "services":[{"name":"llm","healthPath":"/health","maxConns":60,"coldStartS":3.0,
              "coldPerS":)" + std::to_string(cold_rate) +
                                 R"(,
              "engine":{"slots":64,"kvCapacity":1000000,"stride":3}},
             {"name":"app","healthPath":"/health","maxConns":60}],
            "limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,"headerTimeoutMs":1000,
              "idleTimeoutMs":10000},
            "tenants":[{"name":"tenant","apiKeys":)" +
                                 keys + R"(,"prepaid":)" + std::to_string(prepaid) + "}]}";
        store.put("keyed.op", "config", text);
    }

    void start_gateway() {
        std::ofstream(settings_file)
            << R"({"host":"front-1","failure_domain":"z1","listen":"127.0.0.1:)" << listen
            << R"(","admin":"127.0.0.1:)" << admin << R"(","service":")" << service_address
            << R"(","bus_endpoint":"tcp://127.0.0.1:)" << bus << R"(","relay_port":)" << relay_bus
            << R"(,"longest_drain_ms":3000,"listen_after_stop_ms":300,"least_ms_per_token":50)"
            << R"(,"retry_share":0.5})";
        gateway = std::make_unique<child_process>(
            std::vector<std::string>{WRENSWITCH_BINARIES "/wrengate", "--settings", settings_file},
            settings_file + ".log");
        BOOST_REQUIRE_MESSAGE(run_until([this] { return is_ready(); }), gateway->output());
    }

    void start_relay() {
        const std::string file = settings_file + ".relay";
        std::ofstream(file) << R"({"host":"side-1","bus_endpoint":"tcp://127.0.0.1:)" << relay_bus
                            << R"(","service":")" << store.address() << R"("})";
        relay = std::make_unique<child_process>(
            std::vector<std::string>{WRENSWITCH_BINARIES "/wrenrelay", "--settings", file},
            file + ".log");
        BOOST_REQUIRE(
            run_until([this] { return !relay->field("relay_started", "endpoint").empty(); }));
        std::remove(file.c_str());
    }

    bool is_ready() {
        raw_socket socket = raw_socket::connect(admin);
        socket.send("GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        run_until([&] { return socket.ended() || !socket.received().empty(); }, milliseconds(200));
        return socket.received().find(" 200 ") != std::string::npos;
    }

    static std::string request(const std::string& path, const std::string& more = "",
                               const std::string& id = "r1") {
        return "POST " + path + " HTTP/1.1\r\nHost: h.test\r\nRequest-Id: " + id +
               "\r\nCredential: key-1\r\nDeadline-Ms: 2000\r\n" + more +
               "Content-Length: 2\r\n\r\nhi";
    }

    raw_socket send(const std::string& text) const {
        raw_socket socket = raw_socket::connect(listen);
        socket.send(text);
        return socket;
    }

    /// The whole of an answer that is given at once.
    std::string answer_to(const std::string& text) {
        raw_socket socket = send(text);
        run_until([&] { return socket.received().find("\r\n\r\n") != std::string::npos; });
        run_for(milliseconds(20));
        return socket.received();
    }

    /// Lets requests on a path that are served well earn so many retries; the targets forget them.
    void earn_retries(std::size_t count, const std::string& path, const std::string& more = "") {
        constexpr std::size_t requests_a_retry = 4;
        for (std::size_t number = 0; number < count * requests_a_retry; ++number) {
            raw_socket caller = send(
                request(path, "Connection: close\r\n" + more, "earn" + std::to_string(number)));
            BOOST_REQUIRE(run_until([&] { return caller.ended(); }));
            BOOST_REQUIRE(status_in(caller.received()) == 200U);
        }
        for (worker_standin* target : {&engine, &plain}) {
            target->seen.clear();
            target->exchanges.clear();
        }
    }

    static unsigned status_in(const std::string& text) {
        return text.size() > 12 ? static_cast<unsigned>(std::stoul(text.substr(9, 3))) : 0;
    }

    static std::string event(int number) {
        return "id: " + std::to_string(number) + "\ndata: e" + std::to_string(number) + "\n\n";
    }

    /// True once something was granted of the account.
    bool account_has_grants() { return !store.records("keyed.grants").empty(); }
};

const std::string usage = "Model: m\r\nToken-Usage: 100,50\r\nPrefix-Hash: a1:60,b2:40\r\n";

}  // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_live_test, gateway_fixture)

BOOST_AUTO_TEST_CASE(plain_request_gets_its_targets_own_answer) {
    start_gateway();
    const std::string answer = answer_to(request("/once/1?q=2", "Tenant: forged\r\n"));
    BOOST_TEST(status_in(answer) == 200U);
    BOOST_TEST(answer.find("Server-Stamp: stamp-i-plain") != std::string::npos);
    BOOST_TEST(answer.ends_with("body of i-plain"));
    BOOST_REQUIRE(plain.seen.size() == 1U);
    BOOST_TEST(plain.seen[0].target == "/once/1?q=2");
    BOOST_TEST(plain.seen[0].header("Tenant") == "tenant");
    BOOST_TEST(plain.seen[0].count("Tenant") == 1U);
    BOOST_TEST(plain.seen[0].header("Credential").empty());
    BOOST_TEST(plain.exchanges[0]->body() == "hi");
}

BOOST_AUTO_TEST_CASE(stream_is_passed_on_as_it_comes) {
    start_gateway();
    engine.answer = [this](const ingress_exchange_pointer& exchange) {
        exchange->begin_answer(200, engine.signed_headers(exchange));
        exchange->send_piece(event(1) + "id: 2\nda");
    };
    raw_socket client = send(request("/stream/1", usage));
    BOOST_REQUIRE(
        run_until([&] { return client.received().find("data: e1") != std::string::npos; }));
    BOOST_TEST(client.received().find("id: 2") == std::string::npos);
    engine.exchanges[0]->send_piece("ta: e2\n\n");
    engine.exchanges[0]->end_answer();
    BOOST_TEST(run_until([&] { return client.received().ends_with("0\r\n\r\n"); }));
    BOOST_TEST(client.received().find("data: e2") != std::string::npos);
    BOOST_TEST(account_has_grants());
}

BOOST_AUTO_TEST_CASE(refusals_say_what_is_wrong) {
    start_gateway();
    BOOST_TEST(status_in(answer_to(request("/nowhere/1"))) == 404U);
    std::string unknown_key = request("/once/1");
    unknown_key.replace(unknown_key.find("key-1"), 5, "key-9");
    BOOST_TEST(status_in(answer_to(unknown_key)) == 401U);
    BOOST_TEST(status_in(answer_to(request("/once/1", "Request-Id: again\r\n"))) == 400U);
    BOOST_TEST(status_in(answer_to(request("/stream/1", "Token-Usage: 200000,50\r\n"))) == 402U);
    BOOST_TEST(plain.seen.empty());
    BOOST_TEST(engine.seen.empty());
}

BOOST_AUTO_TEST_CASE(new_configuration_is_in_force_at_once_and_keys_go) {
    start_gateway();
    BOOST_TEST(status_in(answer_to(request("/once/1"))) == 200U);
    keys = R"(["key-2"])";
    configure();
    run_for(milliseconds(200));
    BOOST_TEST(status_in(answer_to(request("/once/1"))) == 401U);
}

BOOST_AUTO_TEST_CASE(budget_that_is_raised_pays_again) {
    prepaid = 120;
    configure();
    start_gateway();
    BOOST_TEST(status_in(answer_to(request("/stream/1", usage))) == 402U);
    prepaid = 5000;
    configure();
    run_for(milliseconds(200));
    BOOST_TEST(status_in(answer_to(request("/stream/1", usage))) == 200U);
}

BOOST_AUTO_TEST_CASE(request_that_may_not_be_repeated_is_sent_once_and_never_refused_after) {
    start_gateway();
    plain.answer = [](const ingress_exchange_pointer& exchange) { exchange->cut(); };
    const std::string answer = answer_to(request("/once/1"));
    BOOST_TEST(status_in(answer) == 502U);
    BOOST_TEST(plain.seen.size() == 1U);
}

BOOST_AUTO_TEST_CASE(repeatable_request_is_sent_to_another_target) {
    worker_standin other(loop, "i-other");
    store.put("keyed.servers", other.id(), other.list_entry("app"));
    start_gateway();
    earn_retries(5, "/again/1");
    plain.answer = [this](const ingress_exchange_pointer& exchange) {
        exchange->answer(500, plain.signed_headers(exchange), "");
    };
    for (int turn = 0; turn < 5; ++turn) {
        const std::string answer = answer_to(request("/again/1", "", "r" + std::to_string(turn)));
        BOOST_TEST(status_in(answer) == 200U);
        BOOST_TEST(answer.find("stamp-i-other") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(answer_that_promises_too_much_is_not_passed_on) {
    start_gateway();
    plain.answer = [this](const ingress_exchange_pointer& exchange) {
        exchange->answer(503, plain.signed_headers(exchange), "");
    };
    const std::string answer = answer_to(request("/once/1"));
    BOOST_TEST(status_in(answer) == 502U);
    BOOST_TEST(answer.find("Server-Stamp") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(target_that_did_not_run_a_request_makes_a_refusal_with_a_time) {
    start_gateway();
    plain.answer = [this](const ingress_exchange_pointer& exchange) {
        std::vector<http_header> headers = plain.signed_headers(exchange);
        headers.push_back({"Not-Executed", "1"});
        exchange->answer(503, headers, "");
    };
    const std::string answer = answer_to(request("/once/1"));
    BOOST_TEST(status_in(answer) == 503U);
    BOOST_TEST(answer.find("Retry-After: 0.") != std::string::npos);
    BOOST_TEST(answer.find("Server-Stamp") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(emptied_domain_gets_nothing_until_the_operator_takes_it_back) {
    worker_standin other(loop, "i-other");
    store.put("keyed.servers", other.id(), other.list_entry("app", "ready", "z2"));
    start_gateway();
    store.put("keyed.op", "evacuate/z1", "{}");
    run_for(milliseconds(200));
    for (int turn = 0; turn < 10; ++turn) {
        BOOST_TEST(status_in(answer_to(request("/once/1"))) == 200U);
    }
    BOOST_TEST(plain.seen.empty());
    BOOST_TEST(other.seen.size() == 10U);
    // No engine is left elsewhere: the caller is told at once when to come back.
    const std::string refused = answer_to(request("/stream/1", usage));
    BOOST_TEST(status_in(refused) == 503U);
    BOOST_TEST(refused.find("Retry-After: 0.") != std::string::npos);
    store.put("keyed.op", "evacuate/z1", std::nullopt);
    run_for(milliseconds(200));
    for (int turn = 0; turn < 10; ++turn) {
        BOOST_TEST(status_in(answer_to(request("/once/1"))) == 200U);
    }
    BOOST_TEST(!plain.seen.empty());
    BOOST_TEST(engine.seen.empty());
}

BOOST_AUTO_TEST_CASE(gateway_that_starts_later_knows_of_an_emptied_domain) {
    store.put("keyed.op", "evacuate/z1", "{}");
    start_gateway();
    BOOST_TEST(status_in(answer_to(request("/once/1"))) == 503U);
    BOOST_TEST(plain.seen.empty());
}

BOOST_AUTO_TEST_CASE(unreadable_record_of_a_domain_changes_nothing) {
    start_gateway();
    store.put("keyed.op", "evacuate/z1", "{");
    store.put("keyed.op", "evacuate/nowhere", "{}");
    run_for(milliseconds(200));
    BOOST_TEST(status_in(answer_to(request("/once/1"))) == 200U);
    store.put("keyed.op", "evacuate/z1", "{}");
    store.put("keyed.op", "evacuate/z1", "[");
    run_for(milliseconds(200));
    BOOST_TEST(status_in(answer_to(request("/once/1"))) == 503U);
    BOOST_TEST(plain.seen.size() == 1U);
    BOOST_TEST(gateway->field("failure_domain_record_unreadable", "failure_domain") == "z1");
}

BOOST_AUTO_TEST_CASE(cold_engine_gets_no_more_than_its_rate_and_the_rest_is_told_at_once) {
    cold_rate = 10.0;
    configure();
    store.put("keyed.servers", engine.id(), engine.list_entry("llm", "ready", "z1", 60'000));
    start_gateway();
    std::vector<raw_socket> clients;
    for (int turn = 0; turn < 40; ++turn) {
        clients.push_back(send(request("/stream/1", usage, "c" + std::to_string(turn))));
        run_for(milliseconds(25));
    }
    BOOST_TEST(engine.seen.size() >= 4U);
    // In a second and the 300 ms for which a turn is waited.
    BOOST_TEST(engine.seen.size() <= 14U);
    run_for(milliseconds(400));
    const auto refused = std::count_if(clients.begin(), clients.end(), [](raw_socket& client) {
        return client.received().find(" 503 ") != std::string::npos &&
               client.received().find("Retry-After: 0.") != std::string::npos;
    });
    BOOST_TEST(static_cast<std::size_t>(refused) + engine.seen.size() == clients.size());
}

BOOST_AUTO_TEST_CASE(target_that_hangs_costs_one_request_and_none_that_may_be_repeated) {
    worker_standin other(loop, "i-other");
    store.put("keyed.servers", other.id(), other.list_entry("app"));
    start_gateway();
    earn_retries(2, "/again/1");
    plain.answer = [](const ingress_exchange_pointer&) {};
    // Which of two targets that are equally good a request goes to is left to chance: six at least,
    // and until one has met the target that hangs.
    for (int turn = 0; turn < 6 || (plain.seen.empty() && turn < 100); ++turn) {
        const std::string answer = answer_to(request("/again/1", "", "a" + std::to_string(turn)));
        BOOST_TEST(status_in(answer) == 200U);
        BOOST_TEST(answer.find("stamp-i-other") != std::string::npos);
    }
    BOOST_REQUIRE(!plain.seen.empty());
    // Without a target that answers it would wait for its deadline.
    for (int turn = 0; turn < 6; ++turn) {
        const std::string answer = answer_to(request("/once/1", "", "o" + std::to_string(turn)));
        BOOST_TEST(status_in(answer) == 200U);
    }
    BOOST_TEST(plain.seen.size() >= 1U);
    for (const message_head& head : plain.seen) {
        BOOST_TEST(head.target == "/again/1");
    }
}

BOOST_AUTO_TEST_CASE(broken_stream_that_may_be_resumed_goes_on_behind_its_last_event) {
    worker_standin other(loop, "i-other");
    start_gateway();
    earn_retries(1, "/resume/1", usage);
    store.put("keyed.servers", other.id(), other.list_entry("llm"));
    BOOST_REQUIRE(run_until([&] {
        return gateway->output().find("target_listed target=i-other") != std::string::npos;
    }));
    int runs = 0;
    const auto serve = [&](worker_standin& worker) {
        return [&](const ingress_exchange_pointer& exchange) {
            exchange->begin_answer(200, worker.signed_headers(exchange));
            runs += 1;
            if (runs == 1) {
                exchange->send_piece(event(1) + event(2) + "id: 3\nda");
                loop.call_after(milliseconds(20), [exchange] { exchange->cut(); });
                return;
            }
            exchange->send_piece(event(3));
            exchange->end_answer();
        };
    };
    engine.answer = serve(engine);
    other.answer = serve(other);
    raw_socket client = send(request("/resume/1", usage));
    BOOST_REQUIRE(run_until([&] { return client.received().ends_with("0\r\n\r\n"); }));
    BOOST_TEST(runs == 2);
    BOOST_TEST(client.received().find(event(1) + event(2)) != std::string::npos);
    BOOST_TEST(client.received().find("data: e3") != std::string::npos);
    const worker_standin& second =
        engine.seen.size() == 1 && engine.seen[0].count("Last-Event-Id") == 1 ? engine : other;
    BOOST_TEST(second.seen[0].header("Last-Event-Id") == "2");
}

BOOST_AUTO_TEST_CASE(broken_stream_that_may_not_be_resumed_is_cut) {
    start_gateway();
    engine.answer = [this](const ingress_exchange_pointer& exchange) {
        exchange->begin_answer(200, engine.signed_headers(exchange));
        exchange->send_piece(event(1));
        loop.call_after(milliseconds(20), [exchange] { exchange->cut(); });
    };
    raw_socket client = send(request("/stream/1", usage));
    BOOST_REQUIRE(run_until([&] { return client.ended(); }));
    BOOST_TEST(client.received().find("data: e1") != std::string::npos);
    BOOST_TEST(!client.received().ends_with("0\r\n\r\n"));
    BOOST_TEST(engine.seen.size() == 1U);
}

BOOST_AUTO_TEST_CASE(leaving_caller_calls_its_run_off) {
    start_gateway();
    engine.answer = [this](const ingress_exchange_pointer& exchange) {
        exchange->begin_answer(200, engine.signed_headers(exchange));
        exchange->send_piece(event(1));
    };
    raw_socket client = send(request("/stream/1", usage));
    BOOST_REQUIRE(
        run_until([&] { return client.received().find("data: e1") != std::string::npos; }));
    bool called_off = false;
    engine.exchanges[0]->on_closed([&] { called_off = true; });
    client.reset();
    BOOST_TEST(run_until([&] { return called_off; }, milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(planned_stop_cuts_no_stream_and_returns_the_grants) {
    start_gateway();
    engine.answer = [this](const ingress_exchange_pointer& exchange) {
        exchange->begin_answer(200, engine.signed_headers(exchange));
        exchange->send_piece(event(1));
    };
    raw_socket client = send(request("/stream/1", usage));
    BOOST_REQUIRE(
        run_until([&] { return client.received().find("data: e1") != std::string::npos; }));
    gateway->signal(SIGTERM);
    run_for(milliseconds(100));
    BOOST_TEST(!is_ready());
    run_for(milliseconds(500));
    BOOST_TEST(!gateway->ended());
    engine.exchanges[0]->send_piece(event(2));
    engine.exchanges[0]->end_answer();
    BOOST_TEST(run_until([&] { return client.received().ends_with("0\r\n\r\n"); }));
    BOOST_TEST(run_until([&] { return gateway->ended(); }));
    BOOST_TEST(gateway->exit_code() == 0);
}

BOOST_AUTO_TEST_CASE(stopping_gateway_takes_only_what_it_can_end) {
    start_gateway();
    engine.answer = [this](const ingress_exchange_pointer& exchange) {
        exchange->begin_answer(200, engine.signed_headers(exchange));
        exchange->send_piece(event(1));
    };
    raw_socket running = send(request("/stream/1", usage));
    BOOST_REQUIRE(
        run_until([&] { return running.received().find("data: e1") != std::string::npos; }));
    gateway->signal(SIGTERM);
    run_for(milliseconds(600));
    const std::string long_one = answer_to(request("/stream/2", "Token-Usage: 100,500\r\n", "r2"));
    BOOST_TEST(status_in(long_one) == 503U);
    BOOST_TEST(long_one.find("Retry-After: ") != std::string::npos);
    BOOST_TEST(engine.seen.size() == 1U);
    BOOST_TEST(status_in(answer_to(request("/once/1", "", "r3"))) == 200U);
}

BOOST_AUTO_TEST_CASE(hangup_and_changed_settings_end_nothing) {
    start_gateway();
    gateway->signal(SIGHUP);
    run_for(milliseconds(100));
    BOOST_TEST(status_in(answer_to(request("/once/1"))) == 200U);
    BOOST_TEST(!gateway->ended());
    BOOST_TEST(gateway->output().find("settings_unchanged") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(append_whose_answer_is_lost_still_pays) {
    store.lose_append_answers = true;
    start_gateway();
    BOOST_TEST(status_in(answer_to(request("/stream/1", usage))) == 200U);
}

BOOST_AUTO_TEST_CASE(gateway_whose_way_to_the_store_breaks_works_through_a_relay) {
    start_relay();
    // The way is a forwarder that can be silenced: what a cut between the gateway and the store is.
    loopback_proxy way(loop, store.port());
    service_address = "127.0.0.1:" + std::to_string(way.port());
    start_gateway();
    BOOST_TEST(status_in(answer_to(request("/stream/1", usage))) == 200U);
    way.silent = true;
    keys = R"(["key-2"])";
    configure();
    // In force within two seconds, though the direct way says nothing any more.
    run_for(milliseconds(1800));
    BOOST_TEST(status_in(answer_to(request("/once/1"))) == 401U);
    way.silent = false;
    BOOST_TEST(run_until([this] {
        return gateway->output().find("event=service_direct_regained") != std::string::npos;
    }));
}

BOOST_AUTO_TEST_CASE(store_that_is_busy_is_told_as_lost_and_requests_go_on) {
    start_gateway();
    BOOST_TEST(status_in(answer_to(request("/once/1"))) == 200U);
    store.busy = true;
    run_for(seconds(1));
    BOOST_TEST(status_in(answer_to(request("/once/2"))) == 200U);
    BOOST_TEST(gateway->output().find("event=log_lost") != std::string::npos);
    store.busy = false;
    BOOST_TEST(run_until(
        [this] { return gateway->output().find("event=log_regained") != std::string::npos; }));
}

BOOST_AUTO_TEST_CASE(refusal_for_want_of_tokens_while_the_log_is_away_says_so_with_a_longer_time) {
    start_gateway();
    store.busy = true;
    BOOST_REQUIRE(run_until([this] {
        return gateway->output().find("event=log_lost log=grants") != std::string::npos;
    }));
    std::string refusal;
    for (int turn = 0; turn < 12 && refusal.empty(); ++turn) {
        const std::string answer =
            answer_to(request("/stream/1", usage, "r" + std::to_string(turn)));
        refusal = status_in(answer) == 503U ? answer : "";
    }
    BOOST_TEST(refusal.find("Retry-After: 2.000") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(called_off_run_whose_end_is_lost_is_paid_for) {
    raw_socket target = raw_socket::listen();
    store.put("keyed.servers", engine.id(), std::nullopt);
    store.put("keyed.servers", "i-raw",
              R"({"service":"llm","addr":"127.0.0.1:)" + std::to_string(target.port()) +
                  R"(","zone":"z1","slots":6,"state":"ready","seq":1})");
    prepaid = 400;
    configure();
    start_gateway();
    for (int turn = 0; turn < 3; ++turn) {
        raw_socket client = send(request("/stream/1", usage, "r" + std::to_string(turn)));
        raw_socket peer;
        BOOST_REQUIRE(run_until([&] {
            peer = peer.open() ? std::move(peer) : target.accept();
            return peer.open() && peer.received().ends_with("hi");
        }));
        client.reset();
        BOOST_REQUIRE(run_until([&] { return peer.ended(); }));
        // A reset takes with it whatever was on its way, so nobody knows that nothing was.
        peer.reset();
        run_for(milliseconds(100));
    }
    BOOST_TEST(status_in(answer_to(request("/stream/1", usage, "last"))) == 402U);
}

BOOST_AUTO_TEST_CASE(broken_stream_is_charged_once) {
    prepaid = 1000;
    configure();
    engine.answer = [this](const ingress_exchange_pointer& exchange) {
        exchange->begin_answer(200, engine.signed_headers(exchange));
        exchange->send_piece(event(1));
        loop.call_after(milliseconds(10), [exchange] { exchange->cut(); });
    };
    start_gateway();
    // Prompt, the event that came and eight that may have been on their way: 127 of at most 150.
    for (int turn = 0; turn < 7; ++turn) {
        raw_socket client = send(request("/stream/1", usage, "r" + std::to_string(turn)));
        BOOST_REQUIRE(run_until([&] { return client.ended(); }));
        BOOST_TEST(client.received().starts_with("HTTP/1.1 200"));
    }
}

BOOST_AUTO_TEST_CASE(budget_is_not_overspent_across_kills) {
    prepaid = 3000;
    configure();
    std::size_t served = 0;
    for (int life = 0; life < 4; ++life) {
        start_gateway();
        for (int turn = 0; turn < 8; ++turn) {
            const std::string id = "r" + std::to_string(life * 100 + turn);
            served += status_in(answer_to(request("/stream/1", usage, id))) == 200U ? 1 : 0;
        }
        gateway->signal(SIGKILL);
        run_until([this] { return gateway->ended(); });
    }
    BOOST_TEST(engine.seen.size() * 100 <= 3000U);
    BOOST_TEST(served > 5U);
}

BOOST_AUTO_TEST_SUITE_END()
