#include "wrenswitch/core/error.hpp"

namespace wrenswitch {

std::string_view name_of(error_code code) {
    switch (code) {
        case error_code::bad_input:
            return "bad_input";
        case error_code::too_large:
            return "too_large";
        case error_code::not_found:
            return "not_found";
        case error_code::conflict:
            return "conflict";
        case error_code::unavailable:
            return "unavailable";
        case error_code::unreachable:
            return "unreachable";
        case error_code::expired:
            return "expired";
        case error_code::timed_out:
            return "timed_out";
        case error_code::damaged:
            return "damaged";
    }
    return "unnamed";
}

}  // namespace wrenswitch
