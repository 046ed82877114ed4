#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "wrenswitch/decision/gateway/gateway_configuration.hpp"
#include "wrenswitch/decision/streams/recent_values.hpp"

namespace wrenswitch {

/// The services to which configurations have recently sent the streams of each route.
class route_services {
public:
    /// Applies a configuration that is in force from now on in place of the one before.
    void apply(instant now, const gateway_configuration& configuration);

    /// The only service that may have begun a stream of the route within the time before now, by
    /// the configurations that this process has seen. Nothing if there were several.
    std::optional<std::string> only_service(instant now, const gateway_route& route,
                                            microseconds window) const;

private:
    void note_current(instant now);

    /// The longest time for which services are remembered.
    static constexpr microseconds kept_for = seconds(600);

    recent_values services_{kept_for};
    /// The name and service of each split of a stream route in force.
    std::vector<std::pair<std::string, std::string>> current_;
};

}  // namespace wrenswitch
