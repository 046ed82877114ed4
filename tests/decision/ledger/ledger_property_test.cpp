#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <numeric>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/ledger/ledger_state.hpp"

namespace {

using namespace wrenswitch;

constexpr std::size_t writer_count = 4;
constexpr std::size_t batch_count = 120;
constexpr std::size_t seed_count = 60;

/// Generates random streams of batches with mostly valid operations and some that must be refused.
struct stream_fixture {
    std::vector<std::string> names{"a", "b", "c"};

    ledger_operation random_operation(random_source& random, incarnation_id writer) const {
        const budget_id budget = budget_id_of(names[random.below(names.size())]);
        const auto amount = static_cast<tokens>(random.below(200));
        switch (random.below(8)) {
            case 0:
                return set_budget_operation{random.next_id<operation_id>(),
                                            names[random.below(names.size())],
                                            static_cast<tokens>(random.below(5000))};
            case 1:
            case 2:
                return draw_operation{budget, amount,
                                      static_cast<tokens>(random.below(200)) % (amount + 1)};
            case 3:
                return return_operation{budget, amount};
            case 4:
                return claim_key_operation{digest{0, random.below(20)},
                                           ticket_id{1 + random.below(500)}};
            case 5:
                if (random.below(10) == 0) {
                    return reclaim_operation{incarnation_id{1 + random.below(writer_count)}, {}};
                }
                [[fallthrough]];
            default:
                return settle_operation{charge{budget, writer, digest{0, random.below(60)},
                                               ticket_id{1 + random.below(500)}, amount, false}};
        }
    }

    std::vector<ledger_batch> random_stream(random_source& random) const {
        std::vector<ledger_batch> stream;
        std::vector<std::uint64_t> sequences(writer_count + 1, 0);
        for (std::size_t index = 0; index < batch_count; ++index) {
            const std::uint64_t number = 1 + random.below(writer_count);
            const incarnation_id writer{number};
            ledger_batch batch{writer, ++sequences[number], {}};
            const std::uint64_t count = 1 + random.below(4);
            for (std::uint64_t operation = 0; operation < count; ++operation) {
                batch.operations.push_back(random_operation(random, writer));
            }
            stream.push_back(std::move(batch));
        }
        return stream;
    }

    static ledger_state apply_all(const std::vector<ledger_batch>& stream) {
        ledger_state ledger(50);
        for (const ledger_batch& batch : stream) {
            ledger.apply(batch);
        }
        return ledger;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ledger_property_test, stream_fixture)

BOOST_AUTO_TEST_CASE(state_with_duplicates_equals_the_state_without) {
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        random_source random(seed);
        const std::vector<ledger_batch> stream = random_stream(random);
        std::vector<ledger_batch> with_duplicates;
        for (const ledger_batch& batch : stream) {
            with_duplicates.push_back(batch);
            if (random.below(2) == 0) {
                with_duplicates.push_back(with_duplicates[random.below(with_duplicates.size())]);
            }
        }
        BOOST_TEST_CONTEXT("seed " << seed) {
            BOOST_TEST((apply_all(stream) == apply_all(with_duplicates)));
        }
    }
}

BOOST_AUTO_TEST_CASE(state_of_any_stream_never_exceeds_a_limit_by_draws) {
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        random_source random(seed);
        ledger_state ledger(50);
        for (const ledger_batch& batch : random_stream(random)) {
            ledger.apply(batch);
            for (const auto& [id, budget] : ledger.budgets()) {
                // Only charges beyond the grants can exceed the limit, and these count as unbacked.
                BOOST_REQUIRE_GE(budget.available() + budget.unbacked, 0);
                for (const holding& item : budget.holdings) {
                    BOOST_REQUIRE_GT(item.outstanding, 0);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(state_with_batches_split_has_the_same_outcomes) {
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        random_source random(seed);
        const std::vector<ledger_batch> stream = random_stream(random);
        ledger_state whole(50);
        ledger_state split(50);
        std::unordered_map<incarnation_id, std::uint64_t> sequences;
        for (const ledger_batch& batch : stream) {
            const std::vector<operation_outcome> whole_outcomes = whole.apply(batch);
            std::vector<operation_outcome> split_outcomes;
            for (const ledger_operation& operation : batch.operations) {
                const ledger_batch single{batch.writer, ++sequences[batch.writer], {operation}};
                split_outcomes.push_back(split.apply(single).front());
            }
            BOOST_TEST((whole_outcomes == split_outcomes));
        }
        BOOST_TEST((whole.budgets() == split.budgets()));
    }
}

BOOST_AUTO_TEST_SUITE_END()
