#include "wrenswitch/decision/sharing/log_reader_selector.hpp"

#include <algorithm>
#include <functional>
#include <utility>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// Makes the choice of the readers independent of other choices among the same members.
constexpr std::uint64_t reader_selection_seed = 2;

/// Sorts the members by capacity, largest first, and equal ones by a hash.
void sort_by_capacity(std::vector<cluster_member>& members) {
    std::sort(members.begin(), members.end(),
              [](const cluster_member& left, const cluster_member& right) {
                  if (left.capacity != right.capacity) {
                      return left.capacity > right.capacity;
                  }
                  return spread_hash(left.host, reader_selection_seed) >
                         spread_hash(right.host, reader_selection_seed);
              });
}

}  // namespace

log_reader_selector::log_reader_selector(std::string own_host, log_reader_settings settings)
    : own_host_(std::move(own_host)),
      settings_(settings),
      backoffs_(settings.initial_backoff, settings.max_backoff) {}

void log_reader_selector::set_members(std::span<const cluster_member> members) {
    std::vector<cluster_member> candidates;
    std::copy_if(members.begin(), members.end(), std::back_inserter(candidates),
                 [](const cluster_member& member) { return member.shares_reads; });
    readers_.clear();
    is_reader_ = false;
    if (candidates.size() < settings_.min_entries) {
        return;
    }
    const std::size_t wanted =
        (candidates.size() + settings_.entries_per_reader - 1) / settings_.entries_per_reader;
    const std::size_t count = std::max(settings_.min_readers, wanted);
    sort_by_capacity(candidates);
    candidates.resize(std::min(count, candidates.size()));
    is_reader_ =
        std::any_of(candidates.begin(), candidates.end(),
                    [this](const cluster_member& member) { return member.host == own_host_; });
    if (is_reader_) {
        return;
    }
    // Each entry has an order of its own, which spreads them over the readers.
    const std::uint64_t seed = spread_hash(own_host_);
    std::sort(candidates.begin(), candidates.end(),
              [seed](const cluster_member& left, const cluster_member& right) {
                  return spread_hash(left.host, seed) > spread_hash(right.host, seed);
              });
    readers_ = std::move(candidates);
    backoffs_.keep_only([this](std::string_view host) {
        return std::any_of(readers_.begin(), readers_.end(),
                           [host](const cluster_member& reader) { return reader.host == host; });
    });
}

void log_reader_selector::add_announced(const cluster_member& reader) {
    const bool is_known =
        std::any_of(readers_.begin(), readers_.end(),
                    [&reader](const cluster_member& each) { return each.host == reader.host; });
    if (!is_known && readers_.size() < settings_.max_announced) {
        readers_.push_back(reader);
    }
}

std::optional<cluster_member> log_reader_selector::reader(instant now) const {
    const auto found =
        std::find_if(readers_.begin(), readers_.end(), [this, now](const cluster_member& each) {
            return !backoffs_.is_backed_off(now, each.host);
        });
    return found == readers_.end() ? std::nullopt : std::optional(*found);
}

bool log_reader_selector::record_failure(instant now, std::string_view host) {
    return backoffs_.record_failure(now, host) == peer_backoffs::outcome::first;
}

bool log_reader_selector::record_answer(std::string_view host) {
    return backoffs_.clear(host);
}

}  // namespace wrenswitch
