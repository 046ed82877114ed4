#include "roles/gateway/request_trace.hpp"

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// More decisions than a request with all its attempts usually has.
constexpr std::size_t max_steps = 24;

}  // namespace

void request_trace::add(instant now, std::string_view event,
                        std::initializer_list<log_field> fields) {
    add(now, event, std::span<const log_field>(fields.begin(), fields.size()));
}

void request_trace::add(instant now, std::string_view event, std::span<const log_field> fields) {
    if (steps_.size() >= max_steps) {
        dropped_steps_ += 1;
        return;
    }
    step recorded{now - start_, std::string(event), {}};
    recorded.fields.reserve(fields.size());
    for (const log_field& field : fields) {
        recorded.fields.push_back({std::string(field.name), field.value});
    }
    steps_.push_back(std::move(recorded));
}

void request_trace::write() const {
    for (const step& entry : steps_) {
        std::vector<log_field> fields{{"request", id_}, {"at_ms", millis_text(entry.elapsed)}};
        for (const owned_log_field& field : entry.fields) {
            fields.push_back({field.name, field.value});
        }
        log_event(log_level::information, entry.event, fields);
    }
    if (dropped_steps_ > 0) {
        log_event(log_level::information, "request_steps_left_out",
                  {{"request", id_}, {"steps", std::to_string(dropped_steps_)}});
    }
}

bool request_trace::is_sampled(std::string_view id, unsigned percent) {
    constexpr unsigned percent_base = 100;
    return spread_hash(id) % percent_base < percent;
}

}  // namespace wrenswitch
