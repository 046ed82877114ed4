#include "wrenswitch/decision/placement/prefill_model.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

/// An engine with a setup time of 64 ms, 34 ms per 1,000 tokens and 1.2 ms per million
/// pairs.
struct prefill_fixture {
    prefill_model model;

    static double true_ms(tokens prompt_tokens, tokens uncached_tokens) {
        const auto processed = static_cast<double>(uncached_tokens);
        return 64.0 + 0.034 * processed +
               1.2e-6 * processed * (static_cast<double>(prompt_tokens) - processed / 2);
    }

    void observe_prompts(int prompts, double factor = 1.0) {
        for (int index = 0; index < prompts; ++index) {
            const tokens prompt_tokens = 500 + (index * 7919) % 12'000;
            const tokens uncached_tokens = prompt_tokens - (index % 3) * prompt_tokens / 4;
            model.observe(prompt_tokens, uncached_tokens,
                          factor * true_ms(prompt_tokens, uncached_tokens));
        }
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(prefill_model_test, prefill_fixture)

BOOST_AUTO_TEST_CASE(longer_prompt_takes_longer_in_the_initial_model) {
    BOOST_TEST(model.first_event_ms(8000, 8000) > model.first_event_ms(800, 800));
    BOOST_TEST(model.first_event_ms(8000, 800) > model.first_event_ms(800, 800));
}

BOOST_AUTO_TEST_CASE(prediction_after_observations_is_accurate_within_six_percent) {
    observe_prompts(150);
    for (const tokens prompt_tokens : {600, 3000, 9000, 14'000}) {
        BOOST_TEST(model.first_event_ms(prompt_tokens, prompt_tokens) ==
                       true_ms(prompt_tokens, prompt_tokens),
                   boost::test_tools::tolerance(0.06));
    }
}

BOOST_AUTO_TEST_CASE(slower_engine_is_learnt_again) {
    observe_prompts(150);
    observe_prompts(400, 2.0);
    BOOST_TEST(model.first_event_ms(9000, 9000) == 2.0 * true_ms(9000, 9000),
               boost::test_tools::tolerance(0.15));
}

BOOST_AUTO_TEST_CASE(outlier_changes_the_model_little) {
    observe_prompts(150);
    const double before = model.first_event_ms(9000, 9000);
    model.observe(9000, 9000, 60'000.0);
    BOOST_TEST(model.first_event_ms(9000, 9000) < 1.15 * before);
}

BOOST_AUTO_TEST_CASE(extreme_observations_keep_the_model_in_range) {
    for (int index = 0; index < 2000; ++index) {
        model.observe(index % 7 * 1000, index % 7 * 1000, index % 2 == 0 ? 0.0 : 1e6);
    }
    const double predicted_ms = model.first_event_ms(8000, 8000);
    BOOST_TEST(predicted_ms > 0.0);
    BOOST_TEST(predicted_ms < 60'000.0);
}

BOOST_AUTO_TEST_CASE(pause_is_one_chunk_per_token_of_an_event) {
    observe_prompts(150);
    const double pause_ms = model.pause_ms(16'000, 16'000, 3);
    BOOST_TEST(pause_ms < 0.6 * model.prefill_ms(16'000, 16'000));
    BOOST_TEST(pause_ms > model.pause_ms(16'000, 16'000, 1));
    BOOST_TEST(model.pause_ms(900, 900, 3) == model.prefill_ms(900, 900));
}

BOOST_AUTO_TEST_SUITE_END()
