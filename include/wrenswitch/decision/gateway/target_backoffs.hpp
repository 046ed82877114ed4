#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// The targets that have refused a request of this gateway and asked it to send nothing for some
/// time. A backoff applies to this gateway only, because a target that sheds part of its load still
/// serves other gateways. No request is queued until a backoff ends. Each backoff ends slightly
/// later than requested, so that gateways that were refused together don't return together.
class target_backoffs {
public:
    explicit target_backoffs(random_source& random) : random_(random) {}

    /// Records that the target wants no requests for this long from now on. Of several backoffs the
    /// one that ends last applies.
    void add(instant now, std::string_view target, microseconds length);

    /// The remaining backoff of the target; zero if there is none.
    microseconds remaining(instant now, std::string_view target) const;

    /// Forgets a target that is gone or whose process has restarted.
    void forget(std::string_view target);

    /// False if no backoff was recorded.
    bool has_any() const { return !until_.empty(); }

    /// The number of targets whose backoff hasn't ended.
    std::size_t active_count(instant now) const;

private:
    random_source& random_;
    std::map<std::string, instant, std::less<>> until_;
};

}  // namespace wrenswitch
