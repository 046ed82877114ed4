#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "experiment/latency_summary.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_client.hpp"

namespace wrenswitch::experiment {

/// What an open-loop run sends.
struct load_settings {
    std::vector<http_address> addresses;
    std::string key;
    std::string model;
    /// A plain service's path in place of a completion, such as /v1/services/kotlovnica-app/valve.
    std::string service_path;
    double rate = 100.0;
    microseconds length = seconds(10);
    std::uint64_t seed = 1;
    bool streamed = false;
    bool keyed = false;
    std::size_t prompt_bytes = 200;
    std::int64_t max_tokens = 16;
    int priority = -1;
};

/// Sends requests at times that are fixed beforehand, whatever the answers do, and measures each
/// from the time at which it should have been sent.
class open_loop_load {
public:
    open_loop_load(event_loop& loop, load_settings settings);

    /// Runs to the end and returns the figures.
    nlohmann::json run();

private:
    struct sent_request {
        std::unique_ptr<http_call> call;
        instant planned{};
        instant first{};
        instant last{};
        std::size_t pieces = 0;
    };

    void plan();
    void send_due();
    void send(std::size_t index);
    void on_piece(std::size_t index);
    void on_reply(std::size_t index, const result<http_reply>& reply);
    std::string body_of(std::size_t index);

    event_loop& loop_;
    load_settings settings_;
    random_source random_;
    std::vector<std::unique_ptr<http_client>> clients_;
    std::vector<microseconds> arrivals_;
    std::vector<sent_request> requests_;
    std::size_t next_ = 0;
    std::size_t answered_ = 0;
    instant begin_{};
    std::unique_ptr<timer> timer_;
    latency_summary answer_;
    latency_summary first_piece_;
    latency_summary between_pieces_;
    latency_summary lateness_;
    std::map<std::string, std::uint64_t> outcomes_;
};

}  // namespace wrenswitch::experiment
