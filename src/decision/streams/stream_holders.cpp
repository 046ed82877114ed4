#include "wrenswitch/decision/streams/stream_holders.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// The entry that began the stream may be among the first members, which it passes over.
constexpr std::size_t candidates_in_domain = 2;
constexpr std::size_t candidates_over_domains = stream_holders::copies + 1;

/// Ranks the members that may keep records; the same for all streams.
constexpr std::string_view keeper_name = "stream records";

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

const std::vector<cluster_member>& stream_holders::all_keepers() const {
    if (keepers_version_ == members_.version()) {
        return keepers_;
    }
    keepers_version_ = members_.version();
    keepers_.clear();
    std::map<std::string, std::size_t> count_by_domain;
    for (cluster_member& each : members_.ranked_members(keeper_name, members_.members())) {
        std::size_t& count = count_by_domain[each.failure_domain];
        if (count < keepers_per_domain) {
            count += 1;
            keepers_.push_back(std::move(each));
        }
    }
    return keepers_;
}

std::vector<cluster_member> stream_holders::keepers() const {
    std::vector<cluster_member> found;
    for (const cluster_member& each : all_keepers()) {
        const bool is_near = region_.empty() || each.region == region_;
        if (is_near && each.host != members_.own_host()) {
            found.push_back(each);
        }
    }
    return found;
}

/// The first keepers in rendezvous order for a request, among those that the filter admits.
std::vector<cluster_member> stream_holders::ranked(std::string_view request, std::size_t count,
                                                   const member_filter& admits) const {
    const std::uint64_t seed = spread_hash(request);
    std::vector<std::pair<std::uint64_t, const cluster_member*>> order;
    for (const cluster_member& each : all_keepers()) {
        if (admits(each)) {
            order.emplace_back(spread_hash(each.host, seed), &each);
        }
    }
    std::sort(order.begin(), order.end(), std::greater<>());
    order.resize(std::min(count, order.size()));
    std::vector<cluster_member> selected;
    selected.reserve(order.size());
    for (const auto& [rank, member] : order) {
        selected.push_back(*member);
    }
    return selected;
}

std::vector<cluster_member> stream_holders::ranked_in_domain(std::string_view request,
                                                             std::size_t count) const {
    return ranked(request, count, [this](const cluster_member& each) {
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
    for (cluster_member& each : ranked(request, all_keepers().size(), in_region)) {
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
