#pragma once

#include <string_view>

namespace wrenswitch {

/// The reason phrase of a status line.
inline std::string_view reason_of(unsigned status) {
    switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 408:
            return "Request Timeout";
        case 413:
            return "Content Too Large";
        case 429:
            return "Too Many Requests";
        case 431:
            return "Request Header Fields Too Large";
        case 503:
            return "Service Unavailable";
        default:
            return "Status";
    }
}

}  // namespace wrenswitch
