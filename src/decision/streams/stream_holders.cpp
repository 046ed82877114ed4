#include "wrenswitch/decision/streams/stream_holders.hpp"

#include <algorithm>
#include <utility>

namespace wrenswitch {
namespace {

/// The entry that began the stream may be among the first members, which it passes over.
constexpr std::size_t candidates_in_domain = 2;
constexpr std::size_t candidates_over_domains = stream_holders::copies + 1;

/// Enough to find members of different failure domains, unless one domain has most of them.
constexpr std::size_t considered_members = 8;

bool contains_domain(const std::vector<cluster_member>& members, std::string_view failure_domain) {
    return std::any_of(members.begin(), members.end(), [&](const cluster_member& each) {
        return each.failure_domain == failure_domain;
    });
}

bool contains_host(const std::vector<cluster_member>& members, std::string_view host) {
    return std::any_of(members.begin(), members.end(),
                       [host](const cluster_member& each) { return each.host == host; });
}

}  // namespace

stream_holders::stream_holders(const token_allocator_selector& members, std::string failure_domain,
                               std::string region)
    : members_(members), failure_domain_(std::move(failure_domain)), region_(std::move(region)) {}

std::vector<cluster_member> stream_holders::ranked_in_domain(std::string_view request,
                                                             std::size_t count) const {
    return members_.ranked_members(request, count, [this](const cluster_member& each) {
        return each.failure_domain == failure_domain_;
    });
}

/// The first members of a region, those of different failure domains before others.
std::vector<cluster_member> stream_holders::spread_over_domains(std::string_view request,
                                                                std::string_view region) const {
    std::vector<cluster_member> chosen;
    std::vector<cluster_member> same_domain;
    const auto in_region = [region](const cluster_member& each) {
        return region.empty() || each.region == region;
    };
    for (cluster_member& each : members_.ranked_members(request, considered_members, in_region)) {
        const bool is_new_domain = !contains_domain(chosen, each.failure_domain);
        (is_new_domain ? chosen : same_domain).push_back(std::move(each));
    }
    for (cluster_member& each : same_domain) {
        chosen.push_back(std::move(each));
    }
    chosen.resize(std::min(chosen.size(), candidates_over_domains));
    return chosen;
}

void stream_holders::add_missing(std::vector<cluster_member>& to,
                                 std::vector<cluster_member> from) const {
    for (cluster_member& each : from) {
        if (each.host != members_.own_host() && !contains_host(to, each.host)) {
            to.push_back(std::move(each));
        }
    }
}

std::vector<cluster_member> stream_holders::recipients(std::string_view request) const {
    std::vector<cluster_member> in_domain;
    add_missing(in_domain, ranked_in_domain(request, candidates_in_domain));
    in_domain.resize(std::min<std::size_t>(in_domain.size(), 1));
    std::vector<cluster_member> chosen;
    for (cluster_member& each : spread_over_domains(request, region_)) {
        const bool is_own_domain = each.failure_domain == failure_domain_;
        if (!is_own_domain && chosen.size() + in_domain.size() < copies) {
            chosen.push_back(std::move(each));
        }
    }
    add_missing(chosen, std::move(in_domain));
    // A region with one failure domain has no other place for the second copy.
    add_missing(chosen, spread_over_domains(request, region_));
    chosen.resize(std::min(chosen.size(), copies));
    return chosen;
}

std::vector<cluster_member> stream_holders::candidates(std::string_view request) const {
    std::vector<cluster_member> chosen;
    add_missing(chosen, ranked_in_domain(request, candidates_in_domain));
    add_missing(chosen, spread_over_domains(request, region_));
    for (const auto& [region, count] : members_.members_by_region()) {
        if (region != region_) {
            add_missing(chosen, spread_over_domains(request, region));
        }
    }
    return chosen;
}

}  // namespace wrenswitch
