#include "wrenswitch/decision/routing/rendezvous.hpp"

#include <algorithm>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

struct scored {
    std::uint64_t score = 0;
    incarnation_id incarnation{};
};

}  // namespace

std::vector<incarnation_id> rendezvous_order(std::uint64_t key,
                                             std::span<const rendezvous_candidate> candidates) {
    std::vector<scored> scores;
    scores.reserve(candidates.size());
    for (const rendezvous_candidate& candidate : candidates) {
        scores.push_back({spread_hash(candidate.name, key), candidate.incarnation});
    }
    std::sort(scores.begin(), scores.end(), [](const scored& left, const scored& right) {
        if (left.score != right.score) {
            return left.score > right.score;
        }
        return left.incarnation < right.incarnation;
    });
    std::vector<incarnation_id> order;
    order.reserve(scores.size());
    for (const scored& item : scores) {
        order.push_back(item.incarnation);
    }
    return order;
}

}  // namespace wrenswitch
