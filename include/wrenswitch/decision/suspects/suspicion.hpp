#pragma once

#include <string_view>

namespace wrenswitch {

/// How likely a request's content, or a part of its prompt, is to crash the targets that run it.
enum class suspicion {
    none,
    /// In flight at fewer crashes than the quarantine threshold: may be unrelated to them.
    suspected,
    /// Not sent to any target.
    quarantined,
};

/// The name of a suspicion in logs.
std::string_view name_of(suspicion value);

}  // namespace wrenswitch
