#include <tclap/CmdLine.h>

#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "experiment/limiter_run.hpp"
#include "experiment/parallel_runs.hpp"
#include "main/wrenload/subcommands.hpp"
#include "wrenswitch/core/exit_codes.hpp"

namespace wrenswitch::load {
namespace {

using experiment::limiter_run;
using experiment::limiter_score;
using nlohmann::json;

constexpr double percent = 100.0;

enum class latency_quantity { first_token, between_tokens };

/// The mean over runs of one figure.
template <typename Figure>
double mean_of(const std::vector<limiter_score>& scores, Figure figure) {
    double sum = 0.0;
    for (const limiter_score& score : scores) {
        sum += figure(score);
    }
    return sum / static_cast<double>(scores.size());
}

json summary_of(const std::string& name, const std::vector<limiter_score>& scores) {
    const auto quantile = [&](latency_quantity quantity, double probability) {
        return mean_of(scores, [&](const limiter_score& score) {
            return quantity == latency_quantity::first_token
                       ? score.first_token_ms.quantile(probability)
                       : score.between_tokens_ms.quantile(probability);
        });
    };
    return {{"limiter", name},
            {"runs", scores.size()},
            {"utilisation",
             mean_of(scores, [](const limiter_score& score) { return score.utilisation; })},
            {"first_token_ms_p50", quantile(latency_quantity::first_token, 0.5)},
            {"first_token_ms_p95", quantile(latency_quantity::first_token, 0.95)},
            {"first_token_ms_p99", quantile(latency_quantity::first_token, 0.99)},
            {"between_tokens_ms_p50", quantile(latency_quantity::between_tokens, 0.5)},
            {"between_tokens_ms_p95", quantile(latency_quantity::between_tokens, 0.95)},
            {"refused_share", mean_of(scores,
                                      [](const limiter_score& score) {
                                          return static_cast<double>(score.refused) /
                                                 static_cast<double>(score.requests);
                                      })},
            {"overload_episodes",
             mean_of(scores,
                     [](const limiter_score& score) { return double(score.overload_episodes); })},
            {"recovery_s",
             mean_of(scores, [](const limiter_score& score) { return score.recovery_s; })}};
}

void print_row(const json& row) {
    std::cout << std::left << std::setw(14) << row["limiter"].get<std::string>() << std::right
              << std::fixed << std::setprecision(1) << std::setw(8)
              << row["utilisation"].get<double>() * percent << std::setw(10)
              << row["first_token_ms_p50"].get<double>() << std::setw(10)
              << row["first_token_ms_p95"].get<double>() << std::setw(10)
              << row["first_token_ms_p99"].get<double>() << std::setw(10)
              << row["between_tokens_ms_p50"].get<double>() << std::setw(10)
              << row["between_tokens_ms_p95"].get<double>() << std::setprecision(2) << std::setw(9)
              << row["refused_share"].get<double>() * percent << std::setw(10)
              << row["overload_episodes"].get<double>() << std::setw(10)
              << row["recovery_s"].get<double>() << '\n';
}

}  // namespace

int run_policy_limits(std::vector<std::string>& words) {
    TCLAP::CmdLine command("Compares concurrency limiters on a batching engine, in virtual time.",
                           ' ', WRENSWITCH_VERSION);
    TCLAP::ValueArg<unsigned> seeds("", "seeds", "Runs, with seeds from the first on.", false, 8,
                                    "number", command);
    TCLAP::ValueArg<unsigned> first("s", "seed", "The first seed.", false, 1, "number", command);
    TCLAP::ValueArg<unsigned> wait("w", "most-wait-ms", "Expected wait beyond which is refused.",
                                   false, 500, "milliseconds", command);
    TCLAP::SwitchArg as_json("j", "json", "Print JSON.", command);
    command.parse(words);

    limiter_settings settings;
    settings.max_limit = 512;
    settings.initial_limit = 32;
    limiter_settings low = settings;
    low.initial_limit = 26;
    limiter_settings high = settings;
    high.initial_limit = 220;
    const std::vector<std::pair<std::string, limiter_factory>> compared{
        {"static low", make_limiter_factory("static", low)},
        {"static high", make_limiter_factory("static", high)},
        {"aimd", make_limiter_factory("aimd", settings)},
        {"gradient", make_limiter_factory("gradient", settings)},
        {"token_pace", make_limiter_factory("token_pace", settings)},
    };
    json rows = json::array();
    if (!as_json.getValue()) {
        std::cout
            << "seeds " << first.getValue() << " to " << first.getValue() + seeds.getValue() - 1
            << "; times in ms, shares in percent\n"
               "limiter       use of   first     first     first     between   between  "
               "refused  overload  back after\n"
               "              possible p50       p95       p99       p50       p95             "
               " episodes  burst, s\n";
    }
    for (const auto& [name, factory] : compared) {
        const auto scores = experiment::parallel_runs<limiter_score>(
            seeds.getValue(), [&, made = factory](std::size_t index) {
                return limiter_run(made, milliseconds(wait.getValue()), first.getValue() + index)
                    .run();
            });
        rows.push_back(summary_of(name, scores));
        if (!as_json.getValue()) {
            print_row(rows.back());
        }
    }
    if (as_json.getValue()) {
        std::cout << rows.dump(2) << '\n';
    }
    return exit_done;
}

}  // namespace wrenswitch::load
