#include <tclap/CmdLine.h>

#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "experiment/budget_run.hpp"
#include "experiment/parallel_runs.hpp"
#include "main/wrenload/subcommands.hpp"
#include "wrenswitch/core/exit_codes.hpp"

namespace wrenswitch::load {
namespace {

using experiment::budget_scenario;
using experiment::budget_score;
using nlohmann::json;

/// The sums over all seeds of a policy in a scenario.
struct budget_row {
    std::string scenario;
    std::string policy;
    budget_score sum;
    double worst_run = 0.0;
    double worst_run_in_cut = 0.0;
    std::size_t runs = 0;
};

budget_row summed(const std::vector<budget_score>& scores) {
    budget_row row;
    row.runs = scores.size();
    for (const budget_score& score : scores) {
        row.sum.requests += score.requests;
        row.sum.refused_truly += score.refused_truly;
        row.sum.refused_falsely += score.refused_falsely;
        row.sum.requests_in_cut += score.requests_in_cut;
        row.sum.refused_falsely_in_cut += score.refused_falsely_in_cut;
        row.sum.worst_budget = std::max(row.sum.worst_budget, score.worst_budget);
        row.sum.overspend = std::max(row.sum.overspend, score.overspend);
        row.sum.unbacked += score.unbacked;
        row.sum.unbilled += score.unbilled;
        row.sum.doubt_mean += score.doubt_mean / static_cast<double>(scores.size());
        row.sum.doubt_worst = std::max(row.sum.doubt_worst, score.doubt_worst);
        row.sum.appends_a_second += score.appends_a_second / static_cast<double>(scores.size());
        row.sum.bytes_a_second += score.bytes_a_second / static_cast<double>(scores.size());
        row.worst_run = std::max(row.worst_run, score.false_share_outside());
        row.worst_run_in_cut = std::max(row.worst_run_in_cut, score.false_share_in_cut());
    }
    return row;
}

json to_json(const budget_row& row) {
    return {{"scenario", row.scenario},
            {"policy", row.policy},
            {"runs", row.runs},
            {"requests", row.sum.requests},
            {"refused_truly", row.sum.refused_truly},
            {"refused_falsely", row.sum.refused_falsely},
            {"false_share_outside_cut", row.sum.false_share_outside()},
            {"false_share_in_cut", row.sum.false_share_in_cut()},
            {"worst_run_outside_cut", row.worst_run},
            {"worst_run_in_cut", row.worst_run_in_cut},
            {"worst_budget", row.sum.worst_budget},
            {"overspend", row.sum.overspend},
            {"unbacked", row.sum.unbacked},
            {"unbilled", row.sum.unbilled},
            {"doubt_mean", row.sum.doubt_mean},
            {"doubt_worst", row.sum.doubt_worst},
            {"appends_a_second", row.sum.appends_a_second},
            {"bytes_a_second", row.sum.bytes_a_second}};
}

void print_row(const budget_row& row) {
    constexpr double percent = 100.0;
    std::cout << std::left << std::setw(15) << row.scenario << std::setw(16) << row.policy
              << std::right << std::fixed << std::setprecision(4) << std::setw(10)
              << row.sum.false_share_outside() * percent << std::setw(10)
              << row.sum.false_share_in_cut() * percent << std::setw(10)
              << row.sum.worst_budget * percent << std::setw(11) << row.sum.overspend
              << std::setw(9) << row.sum.unbilled << std::setprecision(2) << std::setw(9)
              << row.sum.doubt_worst * percent << std::setw(9) << row.sum.appends_a_second
              << std::setw(9) << row.sum.bytes_a_second << '\n';
}

std::vector<budget_scenario> chosen_scenarios(const std::string& name) {
    if (name == "all") {
        return experiment::budget_scenarios();
    }
    const result<budget_scenario> one = experiment::budget_scenario_named(name);
    if (!one) {
        std::cerr << one.error().message << '\n';
        return {};
    }
    return {one.value()};
}

}  // namespace

int run_policy_budget(std::vector<std::string>& words) {
    TCLAP::CmdLine command("Compares grant policies in virtual time, on the same demand.", ' ',
                           WRENSWITCH_VERSION);
    TCLAP::ValueArg<std::string> scenario("", "scenario", "A scenario, or all.", false, "all",
                                          "name", command);
    TCLAP::ValueArg<std::string> policy("", "policy", "A policy, or all.", false, "all", "name",
                                        command);
    TCLAP::ValueArg<unsigned> seeds("", "seeds", "Runs, with seeds from the first on.", false, 20,
                                    "number", command);
    TCLAP::ValueArg<unsigned> first("s", "seed", "The first seed.", false, 1, "number", command);
    TCLAP::ValueArg<double> reserve("", "reserve-share", "Share of what is left that is held.",
                                    false, grant_policy_settings{}.reserve_share, "0 to 1",
                                    command);
    TCLAP::SwitchArg as_json("j", "json", "Print JSON.", command);
    command.parse(words);

    std::vector<std::string> policies{"even_split", "demand_share", "capped_reserve",
                                      "shared_reserve"};
    if (policy.getValue() != "all") {
        policies = {policy.getValue()};
    }
    grant_policy_settings settings;
    settings.reserve_share = reserve.getValue();
    const std::vector<budget_scenario> scenarios = chosen_scenarios(scenario.getValue());
    if (scenarios.empty() || !grant_policy_named(policies.front(), settings)) {
        std::cerr << "Policies: even_split, demand_share, capped_reserve, shared_reserve.\n";
        return exit_bad_command;
    }
    json rows = json::array();
    if (!as_json.getValue()) {
        std::cout << "seeds " << first.getValue() << " to "
                  << first.getValue() + seeds.getValue() - 1 << "; refusals and doubt in percent\n"
                  << "scenario       policy            false   in cut    worst budget overspend "
                     "unbilled doubt appends/s bytes/s\n";
    }
    bool overspent = false;
    for (const budget_scenario& chosen : scenarios) {
        for (const std::string& name : policies) {
            const auto scores =
                experiment::parallel_runs<budget_score>(seeds.getValue(), [&](std::size_t index) {
                    experiment::budget_run run(chosen, grant_policy_named(name, settings),
                                               first.getValue() + index);
                    return run.run();
                });
            budget_row row = summed(scores);
            row.scenario = chosen.name;
            row.policy = name;
            overspent = overspent || row.sum.overspend > 0 || row.sum.unbacked > 0;
            rows.push_back(to_json(row));
            if (!as_json.getValue()) {
                print_row(row);
            }
        }
    }
    if (as_json.getValue()) {
        std::cout << rows.dump(2) << '\n';
    }
    return overspent ? exit_refused : exit_done;
}

}  // namespace wrenswitch::load
