#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/log.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// The decisions that touched one request, kept until its end: a request that failed tells them
/// all, of those that were served only a sample does.
class request_trace {
public:
    /// Starts at the request's arrival.
    void begin(std::string id, instant now) {
        id_ = std::move(id);
        began_ = now;
    }

    /// Adds a decision with the inputs that decided it. Beyond a bound only the count is kept.
    void add(instant now, std::string_view event, std::initializer_list<log_field> fields);

    /// Writes all decisions as lines of the log, each with its time after the arrival.
    void tell() const;

    const std::string& id() const { return id_; }

    /// True if the request is one of the sample. The same requests are sampled in every process,
    /// since the choice depends on their identifiers alone.
    static bool sampled(std::string_view id, unsigned percent);

private:
    struct step {
        microseconds at{};
        std::string event;
        std::vector<owned_log_field> fields;
    };

    std::string id_;
    instant began_{};
    std::vector<step> steps_;
    std::size_t left_out_ = 0;
};

}  // namespace wrenswitch
