#include <boost/test/unit_test.hpp>

#include "platform/gateway_fixture.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

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

BOOST_AUTO_TEST_CASE(request_that_may_not_be_repeated_is_sent_once_and_never_refused_after) {
    start_gateway();
    plain.answer = [](const ingress_exchange_pointer& exchange) { exchange->cut(); };
    const std::string answer = answer_to(request("/once/1"));
    BOOST_TEST(status_in(answer) == 502U);
    BOOST_TEST(plain.seen.size() == 1U);
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

BOOST_AUTO_TEST_SUITE_END()
