#pragma once

#include <boost/outcome/result.hpp>
#include <string>
#include <string_view>

namespace wrenswitch {

/// What kind of failure an error is, for code that reacts to it.
enum class error_code {
    bad_input,
    /// More than a limit allows.
    too_large,
    not_found,
    conflict,
    unavailable,
    /// The peer certainly did not receive anything.
    unreachable,
    expired,
    timed_out,
    damaged,
};

/// The name of an error code as it stands in logs and replies.
std::string_view name_of(error_code code);

/// A failure with its kind and a message for a person.
struct error {
    error_code code = error_code::bad_input;
    std::string message;
};

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// A value or an error. Reading the value of a failed result is a defect of the caller.
template <typename Value>
using result = outcome::basic_result<Value, error, outcome::policy::all_narrow>;

/// A failed result.
inline auto failed(error_code code, std::string message) {
    return outcome::failure(error{code, std::move(message)});
}

}  // namespace wrenswitch
