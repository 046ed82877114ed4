#include "roles/gateway/request_trace.hpp"

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// More decisions than a request with all its attempts usually has.
constexpr std::size_t most_steps = 24;

}  // namespace

void request_trace::add(instant now, std::string_view event,
                        std::initializer_list<log_field> fields) {
    if (steps_.size() >= most_steps) {
        left_out_ += 1;
        return;
    }
    step made{now - began_, std::string(event), {}};
    made.fields.reserve(fields.size());
    for (const log_field& field : fields) {
        made.fields.push_back({std::string(field.name), field.value});
    }
    steps_.push_back(std::move(made));
}

void request_trace::tell() const {
    for (const step& each : steps_) {
        std::vector<log_field> fields{{"request", id_}, {"at_ms", millis_text(each.at)}};
        for (const owned_log_field& field : each.fields) {
            fields.push_back({field.name, field.value});
        }
        log_event(log_level::information, each.event, fields);
    }
    if (left_out_ > 0) {
        log_event(log_level::information, "request_steps_left_out",
                  {{"request", id_}, {"steps", std::to_string(left_out_)}});
    }
}

bool request_trace::sampled(std::string_view id, unsigned percent) {
    constexpr unsigned whole = 100;
    return spread_hash(id) % whole < percent;
}

}  // namespace wrenswitch
