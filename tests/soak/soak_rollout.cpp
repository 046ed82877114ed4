// The roll-out of a soak, and its checks from the side of the targets.

#include <algorithm>
#include <cctype>

#include "soak/soak_fleet.hpp"

namespace wrenswitch::testing {
namespace {

/// From the 50th bad answer of a version to the last request that it may get.
constexpr std::size_t borne_bad_answers = 50;
constexpr microseconds until_stopped = milliseconds(1500);

}  // namespace

void soak_fleet::add_versioned(int number, const std::string& version) {
    versioned_.push_back(std::make_unique<worker_standin>(loop, "rol-" + std::to_string(number)));
    worker_standin& worker = *versioned_.back();
    worker.version = version;
    worker.answer = [this, &worker](const ingress_exchange_pointer& exchange) {
        serve_versioned(worker, exchange);
    };
    store_.put("keyed.servers", worker.id(), worker.list_entry("rol"));
}

/// The new version fails four times in ten, if it is bad.
void soak_fleet::serve_versioned(worker_standin& worker, const ingress_exchange_pointer& exchange) {
    const bool fails = bad_version_ && worker.version == "2" && random_.unit() < 0.4;
    if (fails) {
        bad_answers_.push_back(monotonic_now());
        exchange->answer(500, worker.signed_headers(exchange), "");
        return;
    }
    serve(worker, exchange);
}

void soak_fleet::begin_rollout(microseconds length) {
    ordered_at_ = monotonic_now();
    order_length_ = length;
    store_.put("keyed.op", "rollout/rol",
               R"({"service":"rol","targetVersion":"2","durationS":)" +
                   std::to_string(as_seconds(length)) + "}");
    for (int number = 3; number <= 5; ++number) {
        add_versioned(number, "2");
    }
}

std::string soak_fleet::rollout_state() {
    const auto value = store_.newest("keyed.status", "rollout/rol");
    for (const char* state : {"completed", "rolled_back"}) {
        if (value && value->find(state) != std::string::npos) {
            return state;
        }
    }
    return "";
}

/// The text in the newest record of the log of roll-outs.
std::string soak_fleet::rollout_reason() {
    std::string text = store_.newest("keyed.rollouts", "rol").value_or("");
    std::erase_if(text, [](unsigned char each) { return std::isprint(each) == 0; });
    return text;
}

std::size_t soak_fleet::reached_new(instant from, instant until) const {
    std::size_t number = 0;
    for (const auto& worker : versioned_) {
        if (worker->version == "2") {
            number += static_cast<std::size_t>(
                std::count_if(worker->arrivals.begin(), worker->arrivals.end(),
                              [&](const worker_standin::arrival& each) {
                                  return each.at >= from && each.at < until;
                              }));
        }
    }
    return number;
}

/// Once all gateways are in touch, nothing comes later than it may after the 50th bad answer.
void soak_fleet::check_roll_back(instant in_touch) {
    if (bad_answers_.size() < borne_bad_answers) {
        return;
    }
    const instant bound = std::max(bad_answers_[borne_bad_answers - 1], in_touch) + until_stopped;
    const std::size_t late = reached_new(bound, instant::max());
    if (late > 0) {
        broken_.push_back(std::to_string(late) + " requests too late after the 50th bad answer");
    }
}

void soak_fleet::check_rollout() {
    const instant in_touch = monotonic_now() + until_known;
    const instant deadline = ordered_at_ + order_length_;
    std::size_t all = 0;
    for (const auto& worker : versioned_) {
        all += static_cast<std::size_t>(std::count_if(
            worker->arrivals.begin(), worker->arrivals.end(),
            [&](const auto& each) { return each.at >= ordered_at_ && each.at < deadline; }));
    }
    const std::size_t exposed = reached_new(ordered_at_, deadline);
    if (static_cast<double>(exposed) > exposed_share * static_cast<double>(all)) {
        broken_.push_back("exposed " + std::to_string(exposed) + " of " + std::to_string(all));
    }
    run_until(
        [this] {
            send("/roll/x", request_shape::repeatable);
            run_for(milliseconds(10));
            collect();
            return !rollout_state().empty();
        },
        seconds(20));
    const std::string state = rollout_state();
    faults_.push_back("roll-out of a " + std::string(bad_version_ ? "bad" : "good") +
                      " version: " + (state.empty() ? "no end" : state) + ", " +
                      std::to_string(bad_answers_.size()) + " bad answers, exposed " +
                      std::to_string(exposed) + " of " + std::to_string(all) + ", " +
                      rollout_reason());
    if (bad_version_ && state == "completed") {
        broken_.push_back("a bad version was completed");
    }
    run_for(until_known);
    if (state == "completed") {
        for (const int index : {0, 1}) {
            store_.put("keyed.servers", versioned_[static_cast<std::size_t>(index)]->id(),
                       std::nullopt);
        }
        versioned_.erase(versioned_.begin(), versioned_.begin() + 2);
    }
    const instant ended = monotonic_now();
    if (!serves_again("/roll/x")) {
        broken_.push_back("the service that was rolled out isn't served: " + state);
    }
    if (state == "rolled_back" && reached_new(ended, instant::max()) > 0) {
        broken_.push_back("a request reached a version that was rolled back");
    }
    check_roll_back(in_touch);
    run_until([this] {
        collect();
        return clients_.empty();
    });
}

}  // namespace wrenswitch::testing
