#include "wrenswitch/decision/grants/token_allocator_selector.hpp"

#include <algorithm>
#include <functional>
#include <utility>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// Makes the choice of the hosts that are allocators independent of the choice among them.
constexpr std::uint64_t allocator_selection_seed = 1;

/// Store latencies that differ by less than this step count as equal, since a busy process measures
/// more than the network takes.
constexpr microseconds store_latency_step = milliseconds(10);

/// The rank of a member as an allocator. Lower is better: the members with the most capacity come
/// first, and equal ones in the order of a hash.
std::pair<double, std::uint64_t> allocator_rank(const cluster_member& member) {
    return {-member.capacity, ~spread_hash(member.host, allocator_selection_seed)};
}

}  // namespace

token_allocator_selector::token_allocator_selector(std::string own_host,
                                                   token_allocator_settings settings)
    : own_host_(std::move(own_host)),
      settings_(std::move(settings)),
      round_trips_(settings_.own_region, settings_.remote_round_trip),
      backoffs_(settings_.initial_backoff, settings_.max_backoff) {}

void token_allocator_selector::apply(const cluster_member& member) {
    const auto known = members_.find(member.host);
    if (known == members_.end() || known->second.process != member.process) {
        suspicions_.clear(member.host);
        backoffs_.clear(member.host);
        call_counts_.erase(member.host);
    }
    members_.insert_or_assign(member.host, member);
    version_ += 1;
    allocators_outdated_ = true;
}

void token_allocator_selector::remove(std::string_view host) {
    const auto found = members_.find(host);
    if (found == members_.end()) {
        return;
    }
    suspicions_.clear(found->first);
    backoffs_.clear(found->first);
    call_counts_.erase(found->first);
    round_trips_.remove(host);
    members_.erase(found);
    version_ += 1;
    allocators_outdated_ = true;
}

/// The region with the lowest store latency, taking the fastest member of each region and ignoring
/// differences below the step. Empty if fewer than two regions have a known latency.
std::string_view token_allocator_selector::region_nearest_to_store() const {
    std::map<std::string_view, microseconds> fastest;
    for (const auto& [host, member] : members_) {
        if (member.region.empty() || member.store_latency == microseconds(0)) {
            continue;
        }
        const microseconds rounded = member.store_latency / store_latency_step * store_latency_step;
        const auto [known, is_first] = fastest.try_emplace(member.region, rounded);
        known->second = is_first ? rounded : std::min(known->second, rounded);
    }
    if (fastest.size() < 2) {
        return {};
    }
    return std::min_element(
               fastest.begin(), fastest.end(),
               [](const auto& left, const auto& right) { return left.second < right.second; })
        ->first;
}

/// An append to the ledger fails if another writer appended since the log was read, which takes 40
/// ms from another region. Allocators that were 20 ms away from the store lost against allocators
/// next to it for 0.7 s after a start, and requests of their accounts were refused meanwhile. A
/// small allocator on a narrow link loses against large ones in the same way.
void token_allocator_selector::select_allocators() const {
    const std::string_view region = region_nearest_to_store();
    std::vector<std::pair<std::pair<double, std::uint64_t>, std::string>> ranked;
    ranked.reserve(members_.size());
    for (const auto& [host, member] : members_) {
        if (region.empty() || member.region == region) {
            ranked.emplace_back(allocator_rank(member), host);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(ranked.size(), settings_.max_allocators));
    allocators_.clear();
    for (auto& [rank, host] : ranked) {
        allocators_.push_back(std::move(host));
    }
}

const std::vector<std::string>& token_allocator_selector::allocators() const {
    if (std::exchange(allocators_outdated_, false)) {
        select_allocators();
    }
    return allocators_;
}

bool token_allocator_selector::is_backed_off(instant now, const std::string& host) const {
    return host != own_host_ && backoffs_.is_backed_off(now, host);
}

std::optional<cluster_member> token_allocator_selector::allocator_of(
    instant now, std::string_view account, std::span<const std::string> excluded) const {
    return highest_ranked(account, [&](const std::string& host) {
        return std::find(excluded.begin(), excluded.end(), host) != excluded.end() ||
               suspicions_.is_suspected(host) || is_backed_off(now, host);
    });
}

std::optional<cluster_member> token_allocator_selector::owner_of(instant now,
                                                                 std::string_view account) const {
    return highest_ranked(account,
                          [&](const std::string& host) { return is_backed_off(now, host); });
}

std::optional<cluster_member> token_allocator_selector::highest_ranked(
    std::string_view account, const std::function<bool(const std::string&)>& is_skipped) const {
    const std::uint64_t seed = spread_hash(account);
    const std::string* best = nullptr;
    std::uint64_t highest = 0;
    for (const std::string& host : allocators()) {
        if (is_skipped(host)) {
            continue;
        }
        const std::uint64_t rank = spread_hash(host, seed);
        if (best == nullptr || rank > highest) {
            best = &host;
            highest = rank;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(members_.at(*best));
}

std::string token_allocator_selector::allocator_at(std::string_view endpoint) const {
    const std::vector<std::string>& hosts = allocators();
    const auto found = std::find_if(hosts.begin(), hosts.end(), [&](const std::string& host) {
        return members_.at(host).endpoint == endpoint;
    });
    return found == hosts.end() ? std::string() : *found;
}

std::vector<cluster_member> token_allocator_selector::largest_reachable(
    instant now, std::size_t count, std::string_view region) const {
    std::vector<const cluster_member*> answering;
    answering.reserve(members_.size());
    for (const auto& [host, member] : members_) {
        if (!is_backed_off(now, host) && (region.empty() || member.region == region)) {
            answering.push_back(&member);
        }
    }
    return largest_among(answering, count);
}

std::vector<cluster_member> token_allocator_selector::ranked_members(
    std::string_view name, std::size_t count,
    const std::function<bool(const cluster_member&)>& admits) const {
    const std::uint64_t seed = spread_hash(name);
    std::vector<std::pair<std::uint64_t, const cluster_member*>> ranked;
    ranked.reserve(members_.size());
    for (const auto& [host, member] : members_) {
        if (!admits || admits(member)) {
            ranked.emplace_back(spread_hash(host, seed), &member);
        }
    }
    const std::size_t selected_count = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(selected_count),
                      ranked.end(), std::greater<>());
    std::vector<cluster_member> selected;
    for (std::size_t at = 0; at < selected_count; ++at) {
        selected.push_back(*ranked[at].second);
    }
    return selected;
}

std::map<std::string, std::size_t, std::less<>> token_allocator_selector::members_by_region()
    const {
    std::map<std::string, std::size_t, std::less<>> counts;
    for (const auto& [host, member] : members_) {
        if (!member.region.empty()) {
            counts[member.region] += 1;
        }
    }
    return counts;
}

std::vector<cluster_member> token_allocator_selector::members_in(
    std::string_view failure_domain) const {
    std::vector<cluster_member> found;
    for (const auto& [host, member] : members_) {
        if (member.failure_domain == failure_domain) {
            found.push_back(member);
        }
    }
    return found;
}

std::vector<cluster_member> token_allocator_selector::largest_known(std::size_t count,
                                                                    std::string_view region) const {
    std::vector<const cluster_member*> all;
    all.reserve(members_.size());
    for (const auto& [host, member] : members_) {
        if (region.empty() || member.region == region) {
            all.push_back(&member);
        }
    }
    return largest_among(all, count);
}

std::vector<cluster_member> token_allocator_selector::largest_among(
    std::span<const cluster_member* const> members, std::size_t count) {
    // The hash breaks ties, so that members with the first names are not chosen everywhere.
    using rank = std::pair<double, std::uint64_t>;
    std::vector<std::pair<rank, const cluster_member*>> ranked;
    ranked.reserve(members.size());
    for (const cluster_member* member : members) {
        ranked.emplace_back(rank(member->capacity, spread_hash(member->host)), member);
    }
    const std::size_t selected_count = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(selected_count),
                      ranked.end(), std::greater<>());
    std::vector<cluster_member> chosen;
    for (std::size_t at = 0; at < selected_count; ++at) {
        chosen.push_back(*ranked[at].second);
    }
    return chosen;
}

std::vector<cluster_member> token_allocator_selector::remote_allocators() const {
    std::vector<cluster_member> remote;
    for (const std::string& host : allocators()) {
        const cluster_member& allocator = members_.at(host);
        if (is_remote(allocator)) {
            remote.push_back(allocator);
        }
    }
    return remote;
}

bool token_allocator_selector::is_allocator(instant now, std::string_view account) const {
    const std::optional<cluster_member> allocator = allocator_of(now, account);
    return allocator && allocator->host == own_host_;
}

std::optional<peer_suspicions::suspicion_id> token_allocator_selector::begin_suspicion(
    instant now, std::string_view host) {
    const auto found = members_.find(host);
    if (found == members_.end() || is_backed_off(now, found->first)) {
        return std::nullopt;
    }
    return suspicions_.begin(host);
}

bool token_allocator_selector::record_failure(instant now, std::string_view host) {
    if (!members_.contains(host)) {
        return false;
    }
    call_counts_[std::string(host)].failures += 1;
    const peer_backoffs::outcome outcome = backoffs_.record_failure(now, host);
    version_ += outcome == peer_backoffs::outcome::ignored ? 0 : 1;
    return outcome == peer_backoffs::outcome::first;
}

bool token_allocator_selector::record_answer(std::string_view host) {
    suspicions_.clear(host);
    return end_backoff(host);
}

bool token_allocator_selector::record_late_answer(std::string_view host) {
    suspicions_.record_late_answer(host);
    return end_backoff(host);
}

bool token_allocator_selector::end_backoff(std::string_view host) {
    if (members_.contains(host)) {
        call_counts_[std::string(host)].answers += 1;
    }
    const bool had_failed = backoffs_.clear(host);
    version_ += had_failed ? 1 : 0;
    return had_failed;
}

std::vector<member_call_counts> token_allocator_selector::call_counts() const {
    std::vector<member_call_counts> all;
    all.reserve(members_.size());
    for (const auto& [host, member] : members_) {
        const auto found = call_counts_.find(host);
        const call_count count = found == call_counts_.end() ? call_count{} : found->second;
        all.push_back({host, member.region, count.answers, count.failures});
    }
    return all;
}

}  // namespace wrenswitch
