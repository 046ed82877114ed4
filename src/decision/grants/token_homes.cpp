#include "wrenswitch/decision/grants/token_homes.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// Seeds the choice of the hosts that are homes apart from the choice among them.
constexpr std::uint64_t home_seed = 1;

constexpr double least_capacity = 1e-3;

/// Calls to the store that differ by less are equally far: what a busy process takes longer.
constexpr microseconds store_call_step = milliseconds(10);

/// The rank of a member in a weighted rendezvous: lower is better, and twice the capacity wins
/// twice as often.
double weighted_rank(const ledger_member& member) {
    const double range = std::ldexp(1.0, 64);
    const double unit =
        (static_cast<double>(spread_hash(member.host, home_seed)) + 1.0) / (range + 1.0);
    return -std::log(unit) / std::max(least_capacity, member.capacity);
}

}  // namespace

token_homes::token_homes(std::string own_host, token_home_settings settings)
    : own_host_(std::move(own_host)),
      settings_(std::move(settings)),
      distances_(settings_.own_region, settings_.far_round_trip) {}

void token_homes::apply(const ledger_member& member) {
    const auto known = members_.find(member.host);
    if (known == members_.end() || known->second.process != member.process) {
        resting_.erase(member.host);
        asked_.erase(member.host);
    }
    members_.insert_or_assign(member.host, member);
    version_ += 1;
    choose_homes();
}

void token_homes::remove(std::string_view host) {
    const auto found = members_.find(host);
    if (found == members_.end()) {
        return;
    }
    resting_.erase(found->first);
    asked_.erase(found->first);
    distances_.forget(host);
    members_.erase(found);
    version_ += 1;
    choose_homes();
}

/// Of the regions whose fastest call to the store is known, the one where it took least; empty if
/// none is known, or there is but one region. Differences below a step don't count.
std::string_view token_homes::region_nearest_to_store() const {
    std::map<std::string_view, microseconds> fastest;
    for (const auto& [host, member] : members_) {
        if (member.region.empty() || member.store_call == microseconds(0)) {
            continue;
        }
        const microseconds rounded = member.store_call / store_call_step * store_call_step;
        const auto [known, first] = fastest.try_emplace(member.region, rounded);
        known->second = first ? rounded : std::min(known->second, rounded);
    }
    if (fastest.size() < 2) {
        return {};
    }
    return std::min_element(
               fastest.begin(), fastest.end(),
               [](const auto& left, const auto& right) { return left.second < right.second; })
        ->first;
}

/// An append to the ledger holds only if nobody else appended since its writer read, and from afar
/// that is 40 ms: homes that were 20 ms from the store lost to those beside it, for 0.7 s at a
/// start, and their accounts' requests were refused meanwhile.
void token_homes::choose_homes() {
    const std::string_view region = region_nearest_to_store();
    std::vector<std::pair<double, std::string>> ranked;
    ranked.reserve(members_.size());
    for (const auto& [host, member] : members_) {
        if (region.empty() || member.region == region) {
            ranked.emplace_back(weighted_rank(member), host);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(ranked.size(), settings_.most_homes));
    homes_.clear();
    for (auto& [rank, host] : ranked) {
        homes_.push_back(std::move(host));
    }
}

bool token_homes::rests(instant now, const std::string& host) const {
    const auto found = resting_.find(host);
    return host != own_host_ && found != resting_.end() && found->second.until > now;
}

std::optional<ledger_member> token_homes::home_of(instant now, std::string_view account,
                                                  std::span<const std::string> tried) const {
    const std::uint64_t seed = spread_hash(account);
    const std::string* best = nullptr;
    std::uint64_t highest = 0;
    for (const std::string& host : homes_) {
        const bool was_tried = std::find(tried.begin(), tried.end(), host) != tried.end();
        if (was_tried || rests(now, host)) {
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

std::vector<ledger_member> token_homes::largest(instant now, std::size_t count,
                                                std::string_view region) const {
    std::vector<const ledger_member*> answering;
    answering.reserve(members_.size());
    for (const auto& [host, member] : members_) {
        if (!rests(now, host) && (region.empty() || member.region == region)) {
            answering.push_back(&member);
        }
    }
    return largest_among(answering, count);
}

std::vector<ledger_member> token_homes::first_for(std::string_view name, std::size_t count) const {
    const std::uint64_t seed = spread_hash(name);
    std::vector<std::pair<std::uint64_t, const ledger_member*>> ranked;
    ranked.reserve(members_.size());
    for (const auto& [host, member] : members_) {
        ranked.emplace_back(spread_hash(host, seed), &member);
    }
    const std::size_t taken = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(taken),
                      ranked.end(), std::greater<>());
    std::vector<ledger_member> first;
    for (std::size_t at = 0; at < taken; ++at) {
        first.push_back(*ranked[at].second);
    }
    return first;
}

std::map<std::string, std::size_t, std::less<>> token_homes::members_by_region() const {
    std::map<std::string, std::size_t, std::less<>> counts;
    for (const auto& [host, member] : members_) {
        if (!member.region.empty()) {
            counts[member.region] += 1;
        }
    }
    return counts;
}

std::vector<ledger_member> token_homes::largest_of_all(std::size_t count,
                                                       std::string_view region) const {
    std::vector<const ledger_member*> all;
    all.reserve(members_.size());
    for (const auto& [host, member] : members_) {
        if (region.empty() || member.region == region) {
            all.push_back(&member);
        }
    }
    return largest_among(all, count);
}

std::vector<ledger_member> token_homes::largest_among(std::span<const ledger_member* const> members,
                                                      std::size_t count) {
    // Among equal ones the hash decides, so that not the first names have all the work everywhere.
    using rank = std::pair<double, std::uint64_t>;
    std::vector<std::pair<rank, const ledger_member*>> ranked;
    ranked.reserve(members.size());
    for (const ledger_member* member : members) {
        ranked.emplace_back(rank(member->capacity, spread_hash(member->host)), member);
    }
    const std::size_t taken = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(taken),
                      ranked.end(), std::greater<>());
    std::vector<ledger_member> chosen;
    for (std::size_t at = 0; at < taken; ++at) {
        chosen.push_back(*ranked[at].second);
    }
    return chosen;
}

std::vector<ledger_member> token_homes::far_homes() const {
    std::vector<ledger_member> far;
    for (const std::string& host : homes_) {
        const ledger_member& home = members_.at(host);
        if (is_far(home)) {
            far.push_back(home);
        }
    }
    return far;
}

bool token_homes::is_home(instant now, std::string_view account) const {
    const std::optional<ledger_member> home = home_of(now, account);
    return home && home->host == own_host_;
}

bool token_homes::failed(instant now, std::string_view host) {
    if (!members_.contains(host)) {
        return false;
    }
    asked_[std::string(host)].silences += 1;
    rest& present = resting_[std::string(host)];
    const bool was_well = present.length == microseconds(0);
    if (present.until > now) {
        return false;
    }
    present.length =
        was_well ? settings_.first_rest : std::min(present.length * 2, settings_.longest_rest);
    present.until = now + present.length;
    version_ += 1;
    return was_well;
}

bool token_homes::answered(std::string_view host) {
    if (members_.contains(host)) {
        asked_[std::string(host)].answers += 1;
    }
    const auto found = resting_.find(host);
    if (found == resting_.end()) {
        return false;
    }
    resting_.erase(found);
    version_ += 1;
    return true;
}

std::vector<member_answers> token_homes::answers() const {
    std::vector<member_answers> all;
    all.reserve(members_.size());
    for (const auto& [host, member] : members_) {
        const auto found = asked_.find(host);
        const asked_count count = found == asked_.end() ? asked_count{} : found->second;
        all.push_back({host, member.region, count.answers, count.silences});
    }
    return all;
}

}  // namespace wrenswitch
