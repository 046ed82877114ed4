#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/log.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// The decisions that affected one request, kept until it ends. They are logged for all failed
/// requests and for a sample of the served ones.
class request_trace {
public:
    /// Starts the trace at the arrival of the request.
    void begin(std::string id, instant now) {
        id_ = std::move(id);
        start_ = now;
    }

    /// Adds a decision with the inputs that determined it. Beyond a limit only the number of
    /// decisions is kept.
    void add(instant now, std::string_view event, std::initializer_list<log_field> fields);
    void add(instant now, std::string_view event, std::span<const log_field> fields);

    /// Logs all decisions, each with its time since the arrival of the request.
    void write() const;

    const std::string& id() const { return id_; }

    /// True if the request belongs to the sample. All processes sample the same requests, since the
    /// choice depends on the identifier only.
    static bool is_sampled(std::string_view id, unsigned percent);

private:
    struct step {
        microseconds elapsed{};
        std::string event;
        std::vector<owned_log_field> fields;
    };

    std::string id_;
    instant start_{};
    std::vector<step> steps_;
    std::size_t dropped_steps_ = 0;
};

}  // namespace wrenswitch
