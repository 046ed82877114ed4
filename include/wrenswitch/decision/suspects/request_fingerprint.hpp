#pragma once

#include <string_view>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {

/// What makes a request the same one when it comes again under another identifier.
struct request_content {
    std::string_view method;
    std::string_view host;
    /// Path and query.
    std::string_view target;
    /// The client account that pays; empty if none does.
    std::string_view account;
    std::string_view body;
};

/// The same for requests of the same content, at every entry. Callers choose the content, and one
/// must not be able to make another's request look like its own: hence the digest.
digest fingerprint_of(const request_content& content);

}  // namespace wrenswitch
