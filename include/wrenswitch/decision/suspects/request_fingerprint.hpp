#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/decision/placement/prompt_profile.hpp"

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

/// The fingerprint of a prompt part, which many requests may share. It is never that of a content.
digest fingerprint_of_part(std::uint64_t part);

/// The parts of a prompt that count as suspects: all that other requests may share, which is all
/// but the last, each once and no more than a bounded number, since callers name them.
std::vector<digest> shared_part_fingerprints(std::span<const prompt_part> prompt);

/// True for the fingerprint of a prompt part, false for that of a content.
bool is_prompt_part(const digest& fingerprint);

/// The prompt part's identifier in hexadecimal digits, as callers name it, for logs.
std::string part_name(const digest& fingerprint);

/// The names of prompt parts with commas between them, for logs.
std::string part_names(std::span<const digest> parts);

}  // namespace wrenswitch
