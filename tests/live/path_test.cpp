#include <boost/test/unit_test.hpp>

#include "support/fleet_fixture.hpp"

using namespace wrenswitch;
using wrenswitch::test::fleet_fixture;

BOOST_FIXTURE_TEST_SUITE(path_test, fleet_fixture)

BOOST_AUTO_TEST_CASE(request_whole_and_streamed_is_answered_and_billed_as_counted) {
    start_usual_fleet(100'000);
    std::vector<std::shared_ptr<test::caller_call>> calls;
    for (int index = 0; index < 20; ++index) {
        const std::string entry = index % 2 == 0 ? "entry1" : "entry2";
        calls.push_back(complete(entry, "question " + std::to_string(index), 20, index % 3 == 0));
    }
    for (const auto& call : calls) {
        wait_for(call, "an answer");
        BOOST_TEST(call->status == 200U);
    }
    BOOST_TEST(calls[0]->body.find("data: [DONE]") != std::string::npos);
    BOOST_TEST(calls[1]->json()["usage"]["total_tokens"].get<long>() > 0);
    wait_for_balance("entry1");
    BOOST_TEST(number("entry2", "show budget", "burnt") == 0);
}

BOOST_AUTO_TEST_CASE(answers_of_many_callers_at_once_are_each_their_own) {
    start_usual_fleet(1'000'000);
    std::vector<std::shared_ptr<test::caller_call>> calls;
    constexpr int callers = 40;
    for (int index = 0; index < callers; ++index) {
        // The stand-in's prompt count tells whose answer it is: each prompt has its own length.
        calls.push_back(
            complete("entry1", std::string(static_cast<std::size_t>(4 * (index + 1)), 'x'), 9));
    }
    for (int index = 0; index < callers; ++index) {
        wait_for(calls[static_cast<std::size_t>(index)], "an answer");
        const auto usage = calls[static_cast<std::size_t>(index)]->json()["usage"];
        BOOST_TEST(usage["prompt_tokens"].get<int>() == index + 1);
    }
}

BOOST_AUTO_TEST_CASE(bad_input_gets_its_clear_error_and_disturbs_nothing) {
    start_usual_fleet(100'000);
    struct bad_case {
        std::string body;
        std::vector<http_header> headers;
        unsigned status;
        std::string code;
    };
    const std::string good =
        R"({"model":"model","max_tokens":5,"messages":[{"role":"user","content":"x"}]})";
    const std::vector<bad_case> cases{
        {"{\"model\":", {}, 400, "bad_json"},
        {"[]", {}, 400, "bad_json"},
        {R"({"model":"none","messages":[]})", {}, 404, "model_not_found"},
        {R"({"model":"plain","messages":[]})", {}, 404, "model_not_found"},
        {R"({"model":"model"})", {}, 400, "bad_messages"},
        {R"({"model":"model","messages":[{"role":"user"}]})", {}, 400, "bad_messages"},
        {R"({"model":"model","max_tokens":-3,"messages":[{"role":"u","content":"x"}]})",
         {},
         400,
         "bad_max_tokens"},
        {good, {{"X-Priority", "urgent"}}, 400, "bad_header"},
        {good, {{"X-Deadline-Ms", "0"}}, 400, "bad_header"},
        {good, {{"Idempotency-Key", std::string(300, 'k')}}, 400, "bad_header"},
    };
    for (const bad_case& item : cases) {
        const auto call = send("entry1", "/v1/chat/completions", item.body, item.headers);
        wait_for(call, "an error");
        BOOST_TEST_CONTEXT(item.body) {
            BOOST_TEST(call->status == item.status);
            BOOST_TEST(call->code() == item.code);
            BOOST_TEST(call->ran() == "not_run");
        }
    }
    const auto large = send("entry1", "/v1/chat/completions", std::string(5'000'000, 'x'));
    wait_for(large, "the refusal of a large body");
    BOOST_TEST((large->status == 413U || large->status == 0U));
    const auto headers =
        send("entry1", "/v1/chat/completions", good, {{"X-Large", std::string(40'000, 'h')}});
    wait_for(headers, "the refusal of large headers");
    BOOST_TEST(headers->status != 200U);
    const auto after = complete("entry1", "still there", 5);
    wait_for(after, "an answer");
    BOOST_TEST(after->status == 200U);
    BOOST_TEST(counted_runs() == 1);
}

BOOST_AUTO_TEST_CASE(caller_that_leaves_mid_stream_is_billed_as_counted_and_disturbs_nobody) {
    start_usual_fleet(100'000);
    const auto gone = complete("entry1", "long", 200, true);
    const auto stays = complete("entry1", "other", 50, true);
    wait_until([&] { return !gone->body.empty(); }, "the first token");
    gone->call.reset();
    wait_for(stays, "the other answer");
    BOOST_TEST(stays->body.find("[DONE]") != std::string::npos);
    wait_for_balance("entry1");
    wait_until(
        [&] {
            const auto answer = script("entry1", "show grant");
            return answer["outcome"] == "done";
        },
        "the entry answers");
}

BOOST_AUTO_TEST_CASE(budget_drawn_on_from_all_entries_at_once_is_never_overspent) {
    constexpr long limit = 3000;
    start_usual_fleet(limit);
    std::vector<std::shared_ptr<test::caller_call>> calls;
    for (int index = 0; index < 200; ++index) {
        const std::string entry = index % 2 == 0 ? "entry1" : "entry2";
        calls.push_back(complete(entry, "cold room " + std::to_string(index), 40));
    }
    int answered = 0;
    for (const auto& call : calls) {
        wait_for(call, "an answer or a refusal");
        answered += call->status == 200 ? 1 : 0;
        if (call->status != 200) {
            BOOST_TEST(call->ran() == "not_run");
        }
    }
    BOOST_TEST(answered > 0);
    wait_for_balance("entry1");
    BOOST_TEST(counted_tokens() <= limit);
    BOOST_TEST(counted_runs() == answered);
}

BOOST_AUTO_TEST_SUITE_END()
