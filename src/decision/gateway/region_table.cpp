#include "wrenswitch/decision/gateway/region_table.hpp"

#include <algorithm>
#include <utility>

namespace wrenswitch {

bool region_table::add(std::string failure_domain, std::string region) {
    return regions_.emplace(std::move(failure_domain), std::move(region)).second;
}

std::string_view region_table::region_of(std::string_view failure_domain) const {
    const auto found = regions_.find(failure_domain);
    return found == regions_.end() ? std::string_view{} : std::string_view(found->second);
}

bool region_table::in_same_region(std::string_view left, std::string_view right) const {
    if (left == right) {
        return true;
    }
    const std::string_view region = region_of(left);
    return !region.empty() && region == region_of(right);
}

bool region_table::has_multiple_regions() const {
    return std::any_of(regions_.begin(), regions_.end(), [this](const auto& domain) {
        return domain.second != regions_.begin()->second;
    });
}

}  // namespace wrenswitch
