#include "wrenswitch/decision/streams/route_services.hpp"

namespace wrenswitch {

void route_services::note_current(instant now) {
    for (const auto& [route, service] : current_) {
        services_.note(now, route, service);
    }
}

void route_services::apply(instant now, const gateway_configuration& configuration) {
    // The configuration before was in force until now.
    note_current(now);
    services_.remove_old(now);
    current_.clear();
    for (const gateway_route& route : configuration.routes) {
        for (const route_split& split : route.splits) {
            if (is_stream(route.kind)) {
                current_.emplace_back(route.name, split.service);
            }
        }
    }
    note_current(now);
}

std::optional<std::string> route_services::only_service(instant now, const gateway_route& route,
                                                        microseconds window) const {
    if (window > kept_for) {
        return std::nullopt;
    }
    recent_values::value_set services = services_.within(now, route.name, window);
    for (const route_split& split : route.splits) {
        services.insert(split.service);
    }
    return services.size() == 1 ? std::optional(*services.begin()) : std::nullopt;
}

}  // namespace wrenswitch
