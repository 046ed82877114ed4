#pragma once

#include <map>
#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// How long the answers of services without prompts take, as far as was seen. The load it answers:
/// a target that hangs takes every request and says nothing, while its health is good; what is
/// silent for much longer than answers take is likely to say nothing at all.
class answer_times {
public:
    /// A request was answered within this time.
    void observe(const std::string& service, microseconds time);

    /// The longest silence of a target of the service that means nothing yet.
    microseconds longest_usual(std::string_view service) const;

private:
    /// The usual time to an answer, in ms.
    std::map<std::string, double, std::less<>> usual_ms_;
};

}  // namespace wrenswitch
