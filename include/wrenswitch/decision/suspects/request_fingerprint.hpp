#pragma once

#include <string_view>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {

/// The content that identifies a request when it is repeated under another request identifier.
struct request_content {
    std::string_view method;
    std::string_view host;
    /// Path and query.
    std::string_view target;
    /// The client account that is billed; empty if there is none.
    std::string_view account;
    std::string_view body;
};

/// A digest of the content, the same at every entry. It is cryptographic because callers choose the
/// content, and one caller must not be able to forge the fingerprint of another's request.
digest fingerprint_of(const request_content& content);

}  // namespace wrenswitch
