#include <boost/test/unit_test.hpp>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/drivers/control_codec.hpp"
#include "wrenswitch/drivers/ledger_codec.hpp"

namespace {

using namespace wrenswitch;

constexpr incarnation_id writer{5};

/// One batch with an operation of each kind.
struct codec_fixture {
    charge spent{budget_id{3}, writer, digest{1, 2}, ticket_id{9}, 77, false};
    ledger_batch batch{
        writer,
        4,
        {set_budget_operation{operation_id{1}, "b", 5000},
         draw_operation{budget_id_of("b"), 500, 100}, settle_operation{spent},
         return_operation{budget_id_of("b"), 10}, claim_key_operation{digest{3, 4}, ticket_id{8}},
         reclaim_operation{incarnation_id{6}, {spent}}, close_holder_operation{},
         lock_keys_operation{}, unlock_keys_operation{}}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(codec_test, codec_fixture)

BOOST_AUTO_TEST_CASE(ledger_batch_written_and_read_has_the_same_effect) {
    const auto record = decode_ledger_record(encode_ledger_batch(batch));
    BOOST_REQUIRE(record.has_value());
    ledger_state direct;
    ledger_state decoded;
    BOOST_TEST((direct.apply(batch) == decoded.apply(std::get<ledger_batch>(record.value()))));
    BOOST_TEST((direct == decoded));
}

BOOST_AUTO_TEST_CASE(ledger_snapshot_and_tail_equal_the_whole) {
    random_source random(1);
    ledger_state whole;
    std::string image;
    std::vector<ledger_batch> tail;
    for (std::uint64_t sequence = 1; sequence <= 300; ++sequence) {
        ledger_batch next{writer, sequence, {}};
        next.operations.push_back(set_budget_operation{
            random.next_id<operation_id>(), "b" + std::to_string(random.below(9)),
            static_cast<tokens>(1000 + random.below(100'000))});
        const budget_id budget = budget_id_of("b" + std::to_string(random.below(9)));
        next.operations.push_back(
            draw_operation{budget, static_cast<tokens>(random.below(500)), 0});
        next.operations.push_back(settle_operation{
            charge{budget, writer, digest{0, random.below(100)}, ticket_id{1 + sequence},
                   static_cast<tokens>(random.below(90)), false}});
        whole.apply(next);
        if (sequence == 150) {
            image = encode_ledger_snapshot(whole, log_offset{150});
        } else if (sequence > 150) {
            tail.push_back(next);
        }
    }
    auto loaded = decode_ledger_snapshot(image);
    BOOST_REQUIRE(loaded.has_value());
    for (const ledger_batch& next : tail) {
        loaded.value().apply(next);
    }
    BOOST_TEST((loaded.value() == whole));
}

BOOST_AUTO_TEST_CASE(ledger_record_damaged_anywhere_is_refused_or_read_but_never_crashes) {
    const std::string good = encode_ledger_batch(batch);
    std::size_t refused = 0;
    for (std::size_t length = 0; length < good.size(); ++length) {
        refused += decode_ledger_record(std::string_view(good).substr(0, length)) ? 0 : 1;
    }
    BOOST_TEST(refused > 0U);
    random_source random(2);
    for (int round = 0; round < 2000; ++round) {
        std::string bad = good;
        bad[random.below(bad.size())] = static_cast<char>(random.below(256));
        const auto record = decode_ledger_record(bad);
        if (record && std::holds_alternative<ledger_batch>(record.value())) {
            ledger_state state;
            state.apply(std::get<ledger_batch>(record.value()));
        }
    }
}

BOOST_AUTO_TEST_CASE(ledger_record_of_a_newer_format_is_a_finding) {
    std::string record = encode_ledger_batch(batch);
    // The first field is the format, a small number in one byte.
    record[1] = 9;
    const auto decoded = decode_ledger_record(record);
    BOOST_REQUIRE(!decoded.has_value());
    BOOST_TEST(decoded.error().message.find("format 9") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(control_snapshot_written_and_read_is_the_same_state) {
    control_state state;
    const registration self{member_role::guard, "h", "r", "d", "tcp://x", "s", "1.2.3.4:5"};
    state.apply({writer, 1, register_record{self}}, log_offset{1});
    state.apply({incarnation_id{6}, 1,
                 register_record{registration{member_role::entry, "e", "r", "d", "t", "", ""}}},
                log_offset{2});
    state.apply({writer, 2, fence_record{incarnation_id{6}}}, log_offset{3});
    state.apply({writer, 3, fence_acks_record{{{incarnation_id{6}, writer, {spent}}}}},
                log_offset{4});
    change_set set{
        operation_id{4},
        0,
        true,
        {put_service{service{"s", false, 3, false, 9}},
         put_client_account{client_account{"a", std::string(64, 'a'), 2, "b"}}, drain_host{"h"}}};
    state.apply({writer, 4, set}, log_offset{5});
    const auto loaded = decode_control_snapshot(encode_control_snapshot(state, log_offset{5}));
    BOOST_REQUIRE(loaded.has_value());
    BOOST_TEST((loaded.value() == state));
}

BOOST_AUTO_TEST_CASE(snapshot_of_which_a_chunk_is_missing_does_not_count) {
    const std::string image(700'000, 'x');
    const auto chunks = cut_snapshot(1, log_offset{10}, image);
    BOOST_REQUIRE(chunks.size() == 3U);
    snapshot_assembler assembler;
    assembler.add(chunks[0]);
    assembler.add(chunks[2]);
    BOOST_TEST(!assembler.best().has_value());
    const auto second = cut_snapshot(2, log_offset{12}, "small");
    BOOST_TEST(assembler.add(second[0]));
    BOOST_TEST(!assembler.add(chunks[1]));
    BOOST_TEST((assembler.best()->as_of == log_offset{12}));
}

BOOST_AUTO_TEST_SUITE_END()
