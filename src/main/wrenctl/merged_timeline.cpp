#include "main/wrenctl/merged_timeline.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace wrenswitch::ctl {
namespace {

using nlohmann::json;

/// An event of the second kind follows one of the first with the same request and attempt.
struct cause {
    std::string_view before;
    std::string_view after;
};

constexpr std::array<cause, 5> causes{{
    {"dispatch_sent", "attempt_started"},
    {"dispatch_sent", "attempt_refused"},
    {"attempt_started", "attempt_accepted"},
    {"attempt_started", "attempt_ended"},
    {"attempt_ended", "request_answered"},
}};

std::int64_t time_of(const json& event) {
    return event.value("time_us", std::int64_t{0});
}

bool same_attempt(const json& left, const json& right) {
    return left["request"] == right["request"] && left["attempt"] == right["attempt"];
}

}  // namespace

json in_causal_order(json events) {
    // Clocks of two hosts differ a little. Where one event must have caused another, the later one
    // is moved to the earlier one's time; what follows in its process moves with it.
    std::map<std::string, std::vector<json*>> by_process;
    std::map<std::string, std::vector<json*>> by_request;
    for (json& event : events) {
        by_process[event["process"].get<std::string>()].push_back(&event);
        by_request[event["request"].get<std::string>()].push_back(&event);
    }
    for (auto& [process, list] : by_process) {
        std::sort(list.begin(), list.end(), [](const json* left, const json* right) {
            return (*left)["sequence"].get<std::uint64_t>() <
                   (*right)["sequence"].get<std::uint64_t>();
        });
    }
    bool moved = true;
    constexpr int most_rounds = 16;
    for (int round = 0; round < most_rounds && moved; ++round) {
        moved = false;
        for (auto& [request, list] : by_request) {
            if (request.empty()) {
                continue;
            }
            for (const cause& rule : causes) {
                for (json* before : list) {
                    for (json* after : list) {
                        const bool applies = (*before)["kind"] == rule.before &&
                                             (*after)["kind"] == rule.after &&
                                             same_attempt(*before, *after);
                        if (applies && time_of(*after) < time_of(*before)) {
                            (*after)["time_us"] = time_of(*before);
                            moved = true;
                        }
                    }
                }
            }
        }
        for (auto& [process, list] : by_process) {
            for (std::size_t index = 1; index < list.size(); ++index) {
                if (time_of(*list[index]) < time_of(*list[index - 1])) {
                    (*list[index])["time_us"] = time_of(*list[index - 1]);
                    moved = true;
                }
            }
        }
    }
    std::vector<json> ordered(events.begin(), events.end());
    std::map<std::string, std::size_t> rank;
    for (const auto& item :
         {"request_received", "reservation_granted", "dispatch_sent", "attempt_started",
          "attempt_accepted", "attempt_ended", "request_answered", "charge_settled"}) {
        rank.emplace(item, rank.size());
    }
    std::stable_sort(ordered.begin(), ordered.end(), [&rank](const json& left, const json& right) {
        if (time_of(left) != time_of(right)) {
            return time_of(left) < time_of(right);
        }
        if (left["process"] == right["process"]) {
            return left["sequence"].get<std::uint64_t>() < right["sequence"].get<std::uint64_t>();
        }
        const auto left_rank = rank.find(left["kind"].get<std::string>());
        const auto right_rank = rank.find(right["kind"].get<std::string>());
        const bool ranked = left_rank != rank.end() && right_rank != rank.end();
        return ranked && left_rank->second < right_rank->second;
    });
    return json(ordered);
}

result<json> merged_timeline(command_client& client, const http_address& entry,
                             const std::string& request) {
    const result<operator_reply> members =
        client.run_script(entry, "show member where state = active columns operator_address");
    if (!members) {
        return members.error();
    }
    const json& body = members.value().body;
    if (!body.contains("results")) {
        return failed(error_code::conflict, body.value("detail", "The entry refused."));
    }
    json events = json::array();
    for (const json& row : body["results"][0]["rows"]) {
        const result<http_address> address = http_address::parse(row[0].get<std::string>());
        if (!address) {
            continue;
        }
        const result<operator_reply> part =
            client.fetch(address.value(), "/timeline?request=" + request);
        if (!part || !part.value().body.is_array()) {
            // A process that does not answer leaves a gap, which is said in its place.
            events.push_back({{"process", address.value().to_text()},
                              {"time_us", 0},
                              {"sequence", 0},
                              {"kind", "no_answer"},
                              {"request", ""},
                              {"attempt", 0},
                              {"ticket", 0},
                              {"detail", part ? "not a time line" : part.error().message}});
            continue;
        }
        for (const json& event : part.value().body) {
            events.push_back(event);
        }
    }
    return in_causal_order(std::move(events));
}

}  // namespace wrenswitch::ctl
