#include <boost/test/unit_test.hpp>
#include <csignal>

#include "platform/gateway_fixture.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_live_test, gateway_fixture)

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

BOOST_AUTO_TEST_SUITE_END()
