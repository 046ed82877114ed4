#include "wrenswitch/decision/gateway/candidate_constraints.hpp"

#include <algorithm>
#include <iterator>

namespace wrenswitch {

allowed_regions intersect_regions(const allowed_regions& left, const allowed_regions& right) {
    if (!left || !right) {
        return left ? left : right;
    }
    region_set both;
    std::set_intersection(left->begin(), left->end(), right->begin(), right->end(),
                          std::inserter(both, both.end()));
    return both;
}

bool allows_region(const allowed_regions& allowed, std::string_view region) {
    return !allowed || (!region.empty() && allowed->contains(region));
}

bool version_constraint::admits(std::string_view target_version) const {
    if (excluded.contains(target_version)) {
        return false;
    }
    switch (rule) {
        case version_rule::any:
            return true;
        case version_rule::only:
            return target_version == version;
        case version_rule::other_than:
            return target_version != version;
    }
    return true;
}

}  // namespace wrenswitch
