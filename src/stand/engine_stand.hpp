#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "stand/batch_engine.hpp"
#include "stand/target_counts.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_server.hpp"

namespace wrenswitch::stand {

/// Settings of an engine's stand-in.
struct engine_stand_settings {
    std::uint16_t port = 0;
    std::string model = "grijac-llm";
    engine_speed speed;
    /// Answers have up to so many tokens, whatever the request allows.
    std::size_t longest_answer = 256;
    microseconds report_lag = milliseconds(250);
    /// The share of cache events that are never told.
    double lost_events = 0.1;
    std::uint64_t seed = 1;
};

/// A stand-in of a model engine: chat completions whole or streamed, lagging load reports, late and
/// gappy cache events, fenced orders, faults.
class engine_stand {
public:
    static result<std::unique_ptr<engine_stand>> start(event_loop& loop,
                                                       engine_stand_settings settings);

    std::uint16_t port() const { return server_->port(); }

private:
    struct completion;
    struct load_sample {
        instant when{};
        std::size_t batch = 0;
        std::size_t queue = 0;
        double memory = 0.0;
    };

    engine_stand(event_loop& loop, engine_stand_settings settings);

    void handle(const http_exchange_pointer& exchange);
    void complete(const http_exchange_pointer& exchange);
    void on_token(const std::shared_ptr<completion>& running, std::size_t number, bool last);
    void send_token(completion& running, std::size_t number);
    void send_end(completion& running);
    void run_steps();
    void sample_load();
    void report_load(const http_exchange_pointer& exchange) const;
    void report_cache_events(const http_exchange_pointer& exchange) const;
    void take_order(const http_exchange_pointer& exchange);
    void set_faults(const http_exchange_pointer& exchange);

    event_loop& loop_;
    engine_stand_settings settings_;
    random_source random_;
    batch_engine engine_;
    target_counts counts_;
    std::unique_ptr<http_server> server_;
    std::unique_ptr<timer> load_timer_;
    std::deque<load_sample> load_history_;
    std::deque<std::pair<std::uint64_t, std::uint64_t>> cache_events_;
    std::map<std::string, std::uint64_t> order_epochs_;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t next_event_ = 1;
    bool stepping_ = false;
    bool refuse_all_ = false;
    /// After so many tokens of an answer the connection is cut; zero for never.
    std::size_t cut_after_ = 0;
    microseconds extra_delay_{0};
};

}  // namespace wrenswitch::stand
