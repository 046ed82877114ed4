#include <tclap/CmdLine.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <span>

#include "experiment/fixed_threshold_judge.hpp"
#include "experiment/parallel_runs.hpp"
#include "experiment/rollout_run.hpp"
#include "main/wrenload/subcommands.hpp"
#include "wrenswitch/core/exit_codes.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch::load {
namespace {

using experiment::rollout_case;
using experiment::rollout_score;
using experiment::rollout_service;
using nlohmann::json;

constexpr double percent = 100.0;
constexpr double usual_canary_part = 0.4;

template <typename Figure>
double share_of(const std::vector<rollout_score>& scores, Figure figure) {
    const auto count = std::count_if(scores.begin(), scores.end(), figure);
    return static_cast<double>(count) / static_cast<double>(scores.size());
}

template <typename Figure>
double mean_of(const std::vector<rollout_score>& scores, Figure figure) {
    double sum = 0.0;
    for (const rollout_score& score : scores) {
        sum += figure(score);
    }
    return sum / static_cast<double>(scores.size());
}

/// The median time to the roll-back, of those that were rolled back.
double median_ended(const std::vector<rollout_score>& scores) {
    std::vector<double> times;
    for (const rollout_score& score : scores) {
        if (score.rolled_back) {
            times.push_back(score.ended);
        }
    }
    std::sort(times.begin(), times.end());
    return times.empty() ? 0.0 : times[times.size() / 2];
}

rollout_evidence summed(std::span<const rollout_evidence> stretches) {
    rollout_evidence sum;
    for (const rollout_evidence& stretch : stretches) {
        sum.add(stretch);
    }
    return sum;
}

/// Microseconds that one call of the judge takes, with the evidence at the end of a good roll-out.
double cost_of(const rollout_evaluator& judge, const rollout_service& service) {
    rollout_evidence last;
    experiment::rollout_run(service, {.name = "good", .bad = false}, usual_canary_part, 1)
        .run([&](auto stretches) {
            last = stretches.front();
            return evaluation_result::undecided;
        });
    constexpr int calls = 1000;
    const instant begin = monotonic_now();
    int undecided = 0;
    for (int call = 0; call < calls; ++call) {
        undecided += judge.evaluate(last).result == evaluation_result::undecided ? 1 : 0;
    }
    const double taken = static_cast<double>((monotonic_now() - begin).count());
    return undecided > calls ? 0.0 : taken / calls;
}

json summary_of(const rollout_service& service, const rollout_case& played,
                const std::string& judge, const std::vector<rollout_score>& scores) {
    const auto rolled_back = [](const rollout_score& score) { return score.rolled_back; };
    const auto completed = [](const rollout_score& score) { return score.completed; };
    const double wrongly = played.bad ? share_of(scores, completed) : share_of(scores, rolled_back);
    std::uint64_t most_bad = 0;
    for (const rollout_score& score : scores) {
        most_bad = std::max(most_bad, score.bad_answers);
    }
    return {{"service", service.name},
            {"rate", service.rate},
            {"duration_s", service.duration},
            {"case", played.name},
            {"judge", judge},
            {"bad", played.bad},
            {"runs", scores.size()},
            {"rolled_back", share_of(scores, rolled_back)},
            {"rolled_back_in_time", share_of(scores,
                                             [&](const rollout_score& score) {
                                                 return score.rolled_back &&
                                                        score.ended <= service.duration;
                                             })},
            {"median_s", median_ended(scores)},
            {"exposed", mean_of(scores, [](const rollout_score& s) { return double(s.exposed); })},
            {"bad_answers",
             mean_of(scores, [](const rollout_score& s) { return double(s.bad_answers); })},
            {"most_bad_answers", most_bad},
            {"wrongly_ended", wrongly},
            {"in_time", share_of(scores, [](const rollout_score& s) { return s.in_time; })}};
}

void print_row(const json& row) {
    const auto shown = [&](const char* name, double factor, int width, int digits) {
        std::cout << std::setw(width) << std::fixed << std::setprecision(digits)
                  << row[name].get<double>() * factor;
    };
    std::cout << std::left << std::setw(9) << row["service"].get<std::string>() << std::right;
    shown("duration_s", 1.0, 3, 0);
    std::cout << "  " << std::left << std::setw(37) << row["case"].get<std::string>()
              << std::setw(12) << row["judge"].get<std::string>() << std::right;
    shown("rolled_back", percent, 7, 1);
    shown("rolled_back_in_time", percent, 7, 1);
    shown("median_s", 1.0, 8, 2);
    shown("exposed", 1.0, 9, 1);
    shown("bad_answers", 1.0, 7, 1);
    shown("most_bad_answers", 1.0, 6, 0);
    shown("wrongly_ended", percent, 9, 1);
    shown("in_time", percent, 9, 1);
    std::cout << '\n';
}

void print_costs(const rollout_evaluator& judge) {
    constexpr std::size_t many_targets = 57;
    rollout_service service = experiment::rollout_services().front();
    for (const std::size_t targets : {service.targets, many_targets}) {
        service.targets = targets;
        std::cout << "one call of the judge, four routes and " << targets
                  << " targets: " << std::setprecision(0) << cost_of(judge, service) << " us\n";
    }
}

}  // namespace

int run_policy_rollout(std::vector<std::string>& words) {
    TCLAP::CmdLine command("Compares judges of roll-outs on drawn answers, in virtual time.", ' ',
                           WRENSWITCH_VERSION);
    TCLAP::ValueArg<unsigned> seeds("", "seeds", "Runs, with seeds from the first on.", false, 200,
                                    "number", command);
    TCLAP::ValueArg<unsigned> first("s", "seed", "The first seed.", false, 1, "number", command);
    TCLAP::ValueArg<std::string> only("", "case", "A case by its name, or all.", false, "all",
                                      "name", command);
    TCLAP::ValueArg<double> part("", "canary-part", "Part of the exposure that the canary uses.",
                                 false, usual_canary_part, "0 to 1", command);
    TCLAP::SwitchArg as_json("j", "json", "Print JSON.", command);
    command.parse(words);

    const rollout_evaluator judge({});
    const std::vector<std::pair<std::string, experiment::rollout_opinion_of>> judges{
        {"sequential", [&](auto stretches) { return judge.evaluate(stretches).result; }},
        {"as one", [&](auto stretches) { return judge.evaluate(summed(stretches)).result; }},
        {"fixed",
         [](auto stretches) { return experiment::fixed_threshold_opinion(summed(stretches)); }}};
    json rows = json::array();
    if (!as_json.getValue()) {
        std::cout
            << "seeds " << first.getValue() << " to " << first.getValue() + seeds.getValue() - 1
            << "; shares in percent, times in s\n"
               "service    s  case                               judge         rolled     in  "
               "median  exposed  bad answers  wrongly completed\n"
               "                                                                 back   time  "
               " to it           mean  most    ended   in time\n";
    }
    for (const rollout_service& service : experiment::rollout_services()) {
        for (const rollout_case& played : experiment::rollout_cases()) {
            if (only.getValue() != "all" && only.getValue() != played.name) {
                continue;
            }
            for (const auto& [name, opinion_of] : judges) {
                const auto scores = experiment::parallel_runs<rollout_score>(
                    seeds.getValue(), [&, asked = opinion_of](std::size_t index) {
                        return experiment::rollout_run(service, played, part.getValue(),
                                                       first.getValue() + index)
                            .run(asked);
                    });
                rows.push_back(summary_of(service, played, name, scores));
                if (!as_json.getValue()) {
                    print_row(rows.back());
                }
            }
        }
    }
    if (as_json.getValue()) {
        std::cout << rows.dump(2) << '\n';
        return exit_done;
    }
    print_costs(judge);
    return exit_done;
}

}  // namespace wrenswitch::load
