#include "experiment/rollout_case.hpp"

namespace wrenswitch::experiment {

std::vector<rollout_case> rollout_cases() {
    return {
        {.name = "5% failures", .failures = 0.05},
        {.name = "10% failures", .failures = 0.1},
        {.name = "30% failures", .failures = 0.3},
        {.name = "2 times slower", .slower = 2.0},
        {.name = "4 times slower", .slower = 4.0},
        {.name = "8 times slower", .slower = 8.0},
        {.name = "30% are 4 times slower", .slower = 4.0, .slow_part = 0.3},
        {.name = "30% are 8 times slower", .slower = 8.0, .slow_part = 0.3},
        {.name = "10% failures from half time", .failures = 0.1, .bad_from = 0.5},
        {.name = "30% failures from half time", .failures = 0.3, .bad_from = 0.5},
        {.name = "4 times slower from half time", .slower = 4.0, .bad_from = 0.5},
        {.name = "30% failures under load", .failures = 0.3, .under_load = true},
        {.name = "30% failures under load, 1 loaded",
         .failures = 0.3,
         .under_load = true,
         .loaded_targets = 1},
        {.name = "4 times slower under load", .slower = 4.0, .under_load = true},
        {.name = "10% failures on one route", .failures = 0.1, .on_one_route = true},
        {.name = "30% failures on one route", .failures = 0.3, .on_one_route = true},
        {.name = "4 times slower on one route", .slower = 4.0, .on_one_route = true},
        {.name = "good", .bad = false},
        {.name = "good, 14% failures of its own", .bad = false, .own_failures = 0.14},
        {.name = "good, one target grey", .bad = false, .grey_targets = 1},
        {.name = "good, one target of ten grey", .bad = false, .grey_targets = 1, .targets = 10},
        {.name = "good, 20% of both fail in the move", .bad = false, .day_failures = 0.2},
        {.name = "good, both 3 times slower in the move", .bad = false, .day_slower = 3.0},
        {.name = "good, caches cold", .bad = false, .cold_answers = 20},
    };
}

std::vector<rollout_service> rollout_services() {
    return {{"streams", 411.0, 8.0, true, 4},
            {"streams", 411.0, 20.0, true, 4},
            {"plain", 124.0, 8.0, false, 3}};
}

}  // namespace wrenswitch::experiment
