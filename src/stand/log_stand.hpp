#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "stand/log_store.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_server.hpp"

namespace wrenswitch::stand {

/// What goes wrong at one port of the log's stand-in. A port stands for the way that one region has
/// to the log, so that a cut can hit one region alone.
struct log_faults {
    bool outage = false;
    microseconds delay{0};
    /// The share of appends whose answer is lost after they took effect.
    double lose_answers = 0.0;
    /// The share of appends that fail without effect.
    double refuse_appends = 0.0;
};

/// A stand-in of the platform's log service. Faults are set at run time: POST /faults.
class log_stand {
public:
    /// Serves the same streams at each of these ports; 0 lets the system choose.
    static result<std::unique_ptr<log_stand>> start(event_loop& loop,
                                                    const std::vector<std::uint16_t>& ports,
                                                    std::uint64_t seed);

    /// The ports that are bound, in order.
    std::vector<std::uint16_t> ports() const;

private:
    struct listener {
        std::unique_ptr<http_server> server;
        log_faults faults;
    };

    struct waiting_read {
        http_exchange_pointer exchange;
        std::string stream;
        std::uint64_t from = 0;
        std::size_t most_bytes = 0;
        instant until{};
        std::size_t listener_index = 0;
    };

    log_stand(event_loop& loop, std::uint64_t seed) : loop_(loop), random_(seed) {}

    void handle(std::size_t index, const http_exchange_pointer& exchange);
    void handle_stream(std::size_t index, const http_exchange_pointer& exchange);
    void append(std::size_t index, const http_exchange_pointer& exchange, std::string_view name);
    void read(std::size_t index, const http_exchange_pointer& exchange, std::string_view name);
    void set_faults(const http_exchange_pointer& exchange);
    void describe(const http_exchange_pointer& exchange);
    void answer_read(const waiting_read& read);
    void wake(std::string_view stream);
    void end_late_reads();

    event_loop& loop_;
    random_source random_;
    log_store store_;
    std::size_t retention_ = SIZE_MAX;
    std::vector<std::unique_ptr<listener>> listeners_;
    std::list<waiting_read> waiting_;
    std::unique_ptr<timer> timer_;
    std::uint64_t appends_ = 0;
    std::uint64_t append_bytes_ = 0;
    std::uint64_t read_bytes_ = 0;
};

}  // namespace wrenswitch::stand
