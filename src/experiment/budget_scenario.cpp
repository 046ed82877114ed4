#include "experiment/budget_scenario.hpp"

namespace wrenswitch::experiment {
namespace {

constexpr microseconds cut_begin = seconds(2700);
constexpr microseconds cut_end = seconds(6300);

}  // namespace

std::vector<budget_scenario> budget_scenarios() {
    budget_scenario base;
    std::vector<budget_scenario> all;

    base.name = "four_domains";
    all.push_back(base);

    base.name = "three_regions";
    base.homes = 3;
    all.push_back(base);

    budget_scenario cut = base;
    cut.name = "cut_off";
    cut.cut_off = {cut_begin, cut_end};
    all.push_back(cut);

    budget_scenario outage = base;
    outage.name = "log_outage";
    outage.outage = {cut_begin, cut_begin + seconds(600)};
    all.push_back(outage);

    budget_scenario crashes = base;
    crashes.name = "crashes";
    crashes.crashes = 6;
    all.push_back(crashes);

    budget_scenario near_end = base;
    near_end.name = "near_end";
    near_end.least_limit_factor = 0.7;
    near_end.most_limit_factor = 1.0;
    all.push_back(near_end);

    budget_scenario shift = base;
    shift.name = "shift";
    shift.shift = seconds(3600);
    all.push_back(shift);

    budget_scenario together = cut;
    together.name = "all_together";
    together.crashes = 3;
    together.shift = seconds(3600);
    together.least_limit_factor = 0.9;
    together.outage = {seconds(7000), seconds(7300)};
    all.push_back(together);
    return all;
}

result<budget_scenario> budget_scenario_named(std::string_view name) {
    std::string known;
    for (const budget_scenario& scenario : budget_scenarios()) {
        if (scenario.name == name) {
            return scenario;
        }
        known += " " + scenario.name;
    }
    return failed(error_code::not_found,
                  "There is no scenario " + std::string(name) + "; allowed: one of" + known + ".");
}

}  // namespace wrenswitch::experiment
