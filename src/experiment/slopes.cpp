#include "experiment/slopes.hpp"

#include <malloc.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/control/control_state.hpp"
#include "wrenswitch/decision/home/budget_allocator.hpp"
#include "wrenswitch/decision/ledger/ledger_state.hpp"
#include "wrenswitch/decision/routing/target_picker.hpp"
#include "wrenswitch/drivers/control_codec.hpp"
#include "wrenswitch/drivers/ledger_codec.hpp"

namespace wrenswitch::experiment {
namespace {

using nlohmann::json;

constexpr incarnation_id own{1};
constexpr std::size_t small_size = 1000;
constexpr std::size_t large_size = 11'000;

double heap_bytes() {
    return static_cast<double>(mallinfo2().uordblks);
}

/// Bytes of heap that one more item takes, from two sizes.
template <typename Made>
double bytes_an_item(const std::function<std::unique_ptr<Made>(std::size_t)>& make) {
    const auto bytes_of = [&make](std::size_t count) {
        const double before = heap_bytes();
        const std::unique_ptr<Made> made = make(count);
        return heap_bytes() - before;
    };
    const double small = bytes_of(small_size);
    const double large = bytes_of(large_size);
    return (large - small) / static_cast<double>(large_size - small_size);
}

/// Microseconds of one call.
double microseconds_a_call(std::size_t calls, const std::function<void(std::size_t)>& action) {
    const instant begin = monotonic_now();
    for (std::size_t index = 0; index < calls; ++index) {
        action(index);
    }
    constexpr double microseconds_a_second = 1e6;
    return as_seconds(monotonic_now() - begin) * microseconds_a_second / static_cast<double>(calls);
}

std::string budget_name(std::size_t index) {
    return "account-" + std::to_string(index / 10) + "/budget-" + std::to_string(index);
}

std::unique_ptr<ledger_state> ledger_with(std::size_t budgets, unsigned homes) {
    auto ledger = std::make_unique<ledger_state>();
    std::uint64_t sequence = 0;
    for (std::size_t index = 0; index < budgets; ++index) {
        const std::string name = budget_name(index);
        ledger->apply({own,
                       ++sequence,
                       {set_budget_operation{operation_id{1 + index}, name, 1'000'000'000}}});
        for (unsigned home = 1; home <= homes; ++home) {
            ledger->apply({incarnation_id{home},
                           ledger->last_sequence_of(incarnation_id{home}) + 1,
                           {draw_operation{budget_id_of(name), 1'000'000, 0}}});
        }
        sequence = ledger->last_sequence_of(own);
    }
    return ledger;
}

settle_operation settle_of(random_source& random, std::size_t budgets) {
    charge value;
    value.budget = budget_id_of(budget_name(random.below(budgets)));
    value.holder = own;
    value.key = digest{random.next_id<std::uint64_t>(), random.next_id<std::uint64_t>()};
    value.ticket = random.next_id<ticket_id>();
    value.amount = static_cast<tokens>(100 + random.below(1000));
    return {value};
}

json ledger_slopes(random_source& random) {
    json figures;
    figures["ledger_bytes_a_budget"] =
        bytes_an_item<ledger_state>([](std::size_t count) { return ledger_with(count, 3); });

    const auto ledger = ledger_with(small_size, 3);
    std::vector<ledger_operation> settles;
    for (std::size_t index = 0; index < large_size; ++index) {
        settles.emplace_back(settle_of(random, small_size));
    }
    const double before = heap_bytes();
    std::uint64_t sequence = ledger->last_sequence_of(own);
    figures["fold_us_a_settlement"] = microseconds_a_call(large_size, [&](std::size_t index) {
        ledger->apply({own, ++sequence, {settles[index]}});
    });
    figures["ledger_bytes_a_remembered_settlement"] =
        (heap_bytes() - before) / static_cast<double>(large_size);

    const ledger_batch one{own, 1, {settles.begin(), settles.begin() + 1}};
    const ledger_batch many{own, 1, {settles.begin(), settles.begin() + 101}};
    figures["record_bytes_a_settlement"] =
        static_cast<double>(encode_ledger_batch(many).size() - encode_ledger_batch(one).size()) /
        100.0;
    figures["record_bytes_of_an_empty_batch"] = encode_ledger_batch({own, 1, {}}).size();
    const std::string encoded = encode_ledger_batch(many);
    figures["decode_us_a_settlement"] =
        microseconds_a_call(1000, [&](std::size_t) { (void)decode_ledger_record(encoded); }) /
        101.0;

    const auto plain = ledger_with(small_size, 3);
    const auto larger = ledger_with(2 * small_size, 3);
    const auto size_of = [](const ledger_state& state) {
        return static_cast<double>(encode_ledger_snapshot(state, log_offset{1}).size());
    };
    figures["snapshot_bytes_a_budget"] =
        (size_of(*larger) - size_of(*plain)) / static_cast<double>(small_size);
    figures["snapshot_bytes_a_remembered_settlement"] =
        (size_of(*ledger) - size_of(*plain)) / static_cast<double>(large_size);
    return figures;
}

json home_slopes(random_source& random) {
    json figures;
    const auto ledger = ledger_with(small_size, 3);
    allocator_settings settings;
    settings.incarnation = own;
    settings.policy = shared_reserve_policy({});
    settings.allocator_count = 3;
    const auto make_home = [&] {
        return std::make_unique<budget_allocator>(settings, *ledger, random,
                                                  [](std::uint64_t, const reservation_reply&) {});
    };
    const auto home = make_home();
    const double before = heap_bytes();
    home->tick(instant{});
    figures["home_bytes_a_budget"] = (heap_bytes() - before) / static_cast<double>(small_size);
    // What the first tick drew is granted, so that the next ones see a home at rest.
    std::uint64_t sequence = ledger->last_sequence_of(own);
    for (auto batch = home->take_batch(); !batch.empty(); batch = home->take_batch()) {
        ledger->apply({own, ++sequence, batch});
        home->batch_applied(instant{}, batch);
    }
    figures["home_tick_us_a_budget"] =
        microseconds_a_call(100, [&](std::size_t index) { home->tick(instant(seconds(index))); }) /
        static_cast<double>(small_size);

    std::vector<ticket> tickets;
    const double before_tickets = heap_bytes();
    std::uint64_t key = 1;
    const instant now(seconds(200));
    figures["home_us_a_reservation"] = microseconds_a_call(large_size, [&](std::size_t index) {
        reservation_request ask;
        ask.request_id = index;
        ask.budget = budget_name(index % small_size);
        ask.key = digest{0, key++};
        ask.bound = 100;
        ask.keyed = true;
        const auto answer = home->reserve(now, ask);
        if (answer && answer->outcome == reservation_outcome::granted) {
            tickets.push_back(answer->granted);
        }
    });
    figures["home_bytes_a_ticket_with_key"] =
        (heap_bytes() - before_tickets - static_cast<double>(tickets.capacity() * sizeof(ticket))) /
        static_cast<double>(tickets.size());
    figures["home_us_a_charge"] = microseconds_a_call(tickets.size(), [&](std::size_t index) {
        const ticket& used = tickets[index];
        home->charge_reported(now, {used.budget, own, used.key, used.id, 50, false});
    });
    figures["reservations_granted"] = tickets.size();
    return figures;
}

json control_slopes() {
    json figures;
    const auto fleet_of = [](std::size_t count) {
        auto state = std::make_unique<control_state>();
        for (std::size_t index = 1; index <= count; ++index) {
            const registration self{member_role::guard, "host-" + std::to_string(index), "region-1",
                                    "domain-1",         "tcp://10.0.0.1:7001",           "model-1",
                                    "10.0.0.1:8001"};
            state->apply({incarnation_id{index}, 1, register_record{self}}, log_offset{index});
        }
        return state;
    };
    figures["control_bytes_a_member"] = bytes_an_item<control_state>(fleet_of);
    figures["control_bytes_an_account"] = bytes_an_item<control_state>([](std::size_t count) {
        auto state = std::make_unique<control_state>();
        for (std::size_t index = 1; index <= count; ++index) {
            const std::string name = "account-" + std::to_string(index);
            const change_set set{
                operation_id{index},
                0,
                false,
                {put_client_account{
                    client_account{name, sha256_hex(name), 1, "budget-" + std::to_string(index)}}}};
            state->apply({own, index, set}, log_offset{index});
        }
        return state;
    });
    const control_record registering{
        own, 1,
        register_record{registration{member_role::guard, "host-1", "region-1", "domain-1",
                                     "tcp://10.0.0.1:7001", "model-1", "10.0.0.1:8001"}}};
    figures["record_bytes_of_a_registration"] = encode_control_record(registering).size();
    const client_account account{"account-1", sha256_hex("k"), 1, "budget-1"};
    const control_record change{
        own, 1, change_set{operation_id{~0ULL}, 100'000, true, {put_client_account{account}}}};
    figures["record_bytes_of_a_change"] = encode_control_record(change).size();
    fence_acks_record marks;
    for (std::uint64_t index = 0; index < 100; ++index) {
        marks.acks.push_back({own, incarnation_id{~index}, {}});
    }
    figures["record_bytes_of_100_marks"] = encode_control_record({own, 1, marks}).size();

    const auto fleet = fleet_of(1140);
    control_state copy = *fleet;
    const double start = heap_bytes();
    std::uint64_t offset = 2000;
    figures["fence_us_at_1140_members"] = microseconds_a_call(100, [&](std::size_t index) {
        const incarnation_id entry{100'000 + index};
        copy.apply({entry, 1,
                    register_record{registration{member_role::entry, "h", "r", "d", "e", "", ""}}},
                   log_offset{++offset});
        copy.apply({own, 2 + index, fence_record{entry}}, log_offset{++offset});
    });
    figures["control_bytes_an_open_fence_at_1140_members"] = (heap_bytes() - start) / 100.0;
    return figures;
}

json routing_slopes(random_source& random) {
    json figures;
    for (const std::size_t count : {std::size_t{10}, std::size_t{100}, std::size_t{800}}) {
        picker_settings settings;
        settings.subset_size = 12;
        settings.failure_domain = "d1";
        target_picker picker(settings, random);
        std::vector<routable_target> targets;
        for (std::size_t index = 1; index <= count; ++index) {
            targets.push_back({incarnation_id{index}, "model", "d" + std::to_string(index % 10),
                               "h", "tcp://10.0.0." + std::to_string(index)});
        }
        const double before = heap_bytes();
        picker.set_targets(targets);
        const std::string suffix = "_at_" + std::to_string(count) + "_targets";
        figures["picker_bytes_a_target" + suffix] =
            (heap_bytes() - before) / static_cast<double>(count);
        figures["picker_us_a_decision" + suffix] =
            microseconds_a_call(100'000, [&](std::size_t index) {
                const routable_target* target = picker.pick(instant{}, "model", index % 1000, {});
                picker.record_sent(target->guard, index % 1000);
                picker.record_finished(target->guard);
            });
    }
    return figures;
}

}  // namespace

json measure_slopes(std::uint64_t seed) {
    random_source random(seed);
    return {{"seed", seed},
            {"ledger", ledger_slopes(random)},
            {"home", home_slopes(random)},
            {"control", control_slopes()},
            {"routing", routing_slopes(random)}};
}

}  // namespace wrenswitch::experiment
