#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

namespace wrenswitch {

/// The account names that one metric uses as labels. Their number is bounded, since each label is
/// a series that is kept for good; further accounts share one label.
class account_labels {
public:
    static constexpr std::size_t max_labels = 64;

    /// The label of an account: its name, or `other`.
    std::string label_of(std::string_view account) {
        if (labels_.size() < max_labels) {
            labels_.emplace(account);
        }
        return labels_.contains(account) ? std::string(account) : "other";
    }

private:
    std::set<std::string, std::less<>> labels_;
};

}  // namespace wrenswitch
