#include "wrenswitch/decision/placement/prefix_cache_model.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

/// A prefix cache with a capacity of 3,000 tokens.
struct cache_fixture {
    prefix_cache_model cache{3000};

    static prompt_profile prompt(std::vector<prompt_part> parts) {
        prompt_profile profile;
        for (const prompt_part& part : parts) {
            profile.prompt_tokens += part.length;
        }
        profile.parts = std::move(parts);
        return profile;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(prefix_cache_model_test, cache_fixture)

BOOST_AUTO_TEST_CASE(inserted_parts_are_cached) {
    cache.insert(prompt({{1, 500}, {2, 300}}));
    BOOST_TEST(cache.cached_tokens(prompt({{1, 500}, {2, 300}, {3, 100}})) == 800);
    BOOST_TEST(cache.size() == 800);
}

BOOST_AUTO_TEST_CASE(part_after_an_uncached_one_does_not_count) {
    cache.insert(prompt({{1, 500}, {2, 300}}));
    BOOST_TEST(cache.cached_tokens(prompt({{9, 500}, {2, 300}})) == 0);
}

BOOST_AUTO_TEST_CASE(part_inserted_again_is_counted_once) {
    cache.insert(prompt({{1, 500}, {2, 300}}));
    cache.insert(prompt({{1, 500}, {3, 300}}));
    BOOST_TEST(cache.size() == 1100);
}

BOOST_AUTO_TEST_CASE(full_cache_evicts_the_least_recently_used_part) {
    cache.insert(prompt({{1, 1000}}));
    cache.insert(prompt({{2, 1000}}));
    cache.insert(prompt({{3, 1000}}));
    cache.insert(prompt({{1, 1000}}));
    cache.insert(prompt({{4, 1000}}));
    BOOST_TEST(cache.cached_tokens(prompt({{1, 1000}})) == 1000);
    BOOST_TEST(cache.cached_tokens(prompt({{2, 1000}})) == 0);
    BOOST_TEST(cache.size() == 3000);
}

BOOST_AUTO_TEST_CASE(smaller_capacity_evicts_at_once) {
    cache.insert(prompt({{1, 1000}}));
    cache.insert(prompt({{2, 1000}}));
    cache.set_capacity(1500);
    BOOST_TEST(cache.cached_tokens(prompt({{1, 1000}})) == 0);
    BOOST_TEST(cache.cached_tokens(prompt({{2, 1000}})) == 1000);
}

BOOST_AUTO_TEST_SUITE_END()
