#include "wrenswitch/decision/streams/record_relays.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// Ranks the relays that may hold records; the same for all streams.
constexpr std::string_view selection_name = "stream records";

/// Sorts by descending rank under a seed.
template <typename Item, typename Endpoint>
void sort_by_rank(std::vector<Item>& items, std::uint64_t seed, const Endpoint& endpoint_of) {
    std::sort(items.begin(), items.end(), [&](const Item& left, const Item& right) {
        const std::uint64_t left_rank = spread_hash(endpoint_of(left), seed);
        const std::uint64_t right_rank = spread_hash(endpoint_of(right), seed);
        return left_rank != right_rank ? left_rank > right_rank
                                       : endpoint_of(left) < endpoint_of(right);
    });
}

}  // namespace

bool record_relays::select(std::vector<record_relay> relays) {
    sort_by_rank(relays, spread_hash(selection_name),
                 [](const record_relay& each) -> const std::string& { return each.endpoint; });
    std::vector<record_relay> selected;
    std::map<std::string, std::size_t> count_by_domain;
    for (record_relay& each : relays) {
        const bool is_repeated = !selected.empty() && selected.back().endpoint == each.endpoint;
        if (!is_repeated && count_by_domain[each.failure_domain] < relays_per_domain) {
            count_by_domain[each.failure_domain] += 1;
            selected.push_back(std::move(each));
        }
    }
    if (selected == selected_) {
        return false;
    }
    selected_ = std::move(selected);
    return true;
}

std::vector<const record_relay*> record_relays::ranked(std::string_view request) const {
    std::vector<const record_relay*> order;
    order.reserve(selected_.size());
    for (const record_relay& each : selected_) {
        order.push_back(&each);
    }
    sort_by_rank(order, spread_hash(request),
                 [](const record_relay* each) -> const std::string& { return each->endpoint; });
    return order;
}

std::vector<std::string> record_relays::candidates(std::string_view request) const {
    std::vector<const record_relay*> order = ranked(request);
    if (order.size() > copies) {
        // The first one of another failure domain than the first of all is the second.
        const auto other = std::find_if(order.begin() + 1, order.end(),
                                        [first = order.front()](const record_relay* each) {
                                            return each->failure_domain != first->failure_domain;
                                        });
        if (other != order.end()) {
            std::rotate(order.begin() + 1, other, other + 1);
        }
    }
    order.resize(std::min(order.size(), candidates_per_stream));
    std::vector<std::string> endpoints;
    endpoints.reserve(order.size());
    for (const record_relay* each : order) {
        endpoints.push_back(each->endpoint);
    }
    return endpoints;
}

std::vector<std::string> record_relays::recipients(std::string_view request) const {
    std::vector<std::string> endpoints = candidates(request);
    endpoints.resize(std::min(endpoints.size(), copies));
    return endpoints;
}

bool record_relays::contains(std::string_view endpoint) const {
    return std::any_of(selected_.begin(), selected_.end(),
                       [endpoint](const record_relay& each) { return each.endpoint == endpoint; });
}

}  // namespace wrenswitch
