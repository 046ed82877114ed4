#include "wrenswitch/decision/suspects/request_fingerprint.hpp"

#include <array>

namespace wrenswitch {

digest fingerprint_of(const request_content& content) {
    const std::array<std::string_view, 5> parts{content.method, content.host, content.target,
                                                content.account, content.body};
    return digest_of(parts);
}

}  // namespace wrenswitch
