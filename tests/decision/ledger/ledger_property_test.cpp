#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <numeric>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/ledger/ledger_state.hpp"

namespace {

using namespace wrenswitch;

constexpr std::size_t writers = 4;
constexpr std::size_t batches = 120;
constexpr std::size_t seeds = 60;

/// Makes random streams of batches, mostly sensible ones, with some that must be refused.
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
                    return reclaim_operation{incarnation_id{1 + random.below(writers)}, {}};
                }
                [[fallthrough]];
            default:
                return settle_operation{charge{budget, writer, digest{0, random.below(60)},
                                               ticket_id{1 + random.below(500)}, amount, false}};
        }
    }

    std::vector<ledger_batch> random_stream(random_source& random) const {
        std::vector<ledger_batch> stream;
        std::vector<std::uint64_t> sequences(writers + 1, 0);
        for (std::size_t index = 0; index < batches; ++index) {
            const std::uint64_t number = 1 + random.below(writers);
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

    static ledger_state fold(const std::vector<ledger_batch>& stream) {
        ledger_state ledger(50);
        for (const ledger_batch& batch : stream) {
            ledger.apply(batch);
        }
        return ledger;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ledger_property_test, stream_fixture)

BOOST_AUTO_TEST_CASE(fold_with_second_copies_anywhere_later_equals_the_fold_without) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        random_source random(seed);
        const std::vector<ledger_batch> stream = random_stream(random);
        std::vector<ledger_batch> with_copies;
        for (const ledger_batch& batch : stream) {
            with_copies.push_back(batch);
            if (random.below(2) == 0) {
                with_copies.push_back(with_copies[random.below(with_copies.size())]);
            }
        }
        BOOST_TEST_CONTEXT("seed " << seed) {
            BOOST_TEST((fold(stream) == fold(with_copies)));
        }
    }
}

BOOST_AUTO_TEST_CASE(fold_of_any_stream_never_draws_beyond_a_limit) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        random_source random(seed);
        ledger_state ledger(50);
        for (const ledger_batch& batch : random_stream(random)) {
            ledger.apply(batch);
            for (const auto& [id, budget] : ledger.budgets()) {
                // Only a charge that no grant covers can go beyond the limit, and it is shown.
                BOOST_REQUIRE_GE(budget.available() + budget.unbacked, 0);
                for (const holding& item : budget.holdings) {
                    BOOST_REQUIRE_GT(item.outstanding, 0);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(fold_with_batches_cut_apart_accepts_the_same_operations) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        random_source random(seed);
        const std::vector<ledger_batch> stream = random_stream(random);
        ledger_state whole(50);
        ledger_state cut(50);
        std::unordered_map<incarnation_id, std::uint64_t> sequences;
        for (const ledger_batch& batch : stream) {
            const std::vector<operation_outcome> together = whole.apply(batch);
            std::vector<operation_outcome> apart;
            for (const ledger_operation& operation : batch.operations) {
                const ledger_batch single{batch.writer, ++sequences[batch.writer], {operation}};
                apart.push_back(cut.apply(single).front());
            }
            BOOST_TEST((together == apart));
        }
        BOOST_TEST((whole.budgets() == cut.budgets()));
    }
}

BOOST_AUTO_TEST_SUITE_END()
