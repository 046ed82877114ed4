#include <array>
#include <boost/test/unit_test.hpp>
#include <zmq.hpp>

#include "support/fleet_fixture.hpp"

namespace {

using namespace wrenswitch;

/// A fleet whose processes must prove that they hold the fleet's key pair.
struct secured_fleet : wrenswitch::test::fleet_fixture {
    static std::string new_keys() {
        constexpr std::size_t key_letters = 41;
        std::array<char, key_letters> public_key{};
        std::array<char, key_letters> secret_key{};
        zmq_curve_keypair(public_key.data(), secret_key.data());
        return std::string(", \"curve_public_key\": \"") + public_key.data() +
               "\", \"curve_secret_key\": \"" + secret_key.data() + "\"";
    }

    std::string keys = new_keys();
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(security_test, secured_fleet)

BOOST_AUTO_TEST_CASE(processes_with_the_fleets_keys_serve_and_one_with_others_gets_no_work) {
    start_log();
    start_engine("engine1");
    start_engine("engine2");
    start_entry("entry1", keys);
    start_guard("guard1", "model", "engine1", keys);
    start_guard("stranger", "model", "engine2", new_keys());
    wait_for_event("entry1", "entry_active");
    wait_for_event("guard1", "guard_active");
    wait_for_event("stranger", "guard_active");
    configure("entry1", 100'000);
    for (int index = 0; index < 6; ++index) {
        const auto call = complete("entry1", "question " + std::to_string(index), 5);
        wait_for(call, "an answer");
        BOOST_TEST(call->status == 200U);
    }
    BOOST_TEST(get("engine1", "/counts")["runs"].get<long>() == 6);
    BOOST_TEST(get("engine2", "/counts")["runs"].get<long>() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
