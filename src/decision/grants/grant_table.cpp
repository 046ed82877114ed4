#include "wrenswitch/decision/grants/grant_table.hpp"

#include <algorithm>

namespace wrenswitch {

void grant_table::add(const grant_key& key, const grant& value, int sign) {
    totals& sums = totals_[key.account];
    sums.granted += sign * value.granted;
    sums.spent += sign * value.spent;
    sums.wanted += sign * value.wanted;
    sums.hosts += static_cast<std::size_t>(sign);
}

void grant_table::apply(const grant_record& record) {
    remove(record.key);
    grants_.emplace(record.key, record.value);
    add(record.key, record.value, 1);
}

void grant_table::remove(const grant_key& key) {
    const auto found = grants_.find(key);
    if (found == grants_.end()) {
        return;
    }
    add(key, found->second, -1);
    grants_.erase(found);
}

grant grant_table::find(const grant_key& key) const {
    const auto found = grants_.find(key);
    return found == grants_.end() ? grant{} : found->second;
}

const grant_table::totals& grant_table::totals_of(std::string_view account) const {
    static const totals none;
    const auto found = totals_.find(std::string(account));
    return found == totals_.end() ? none : found->second;
}

tokens grant_table::granted(std::string_view account) const {
    return totals_of(account).granted;
}

tokens grant_table::spent(std::string_view account) const {
    return totals_of(account).spent;
}

tokens grant_table::wanted_by_others(std::string_view account, std::string_view host) const {
    const grant own = find({std::string(account), std::string(host)});
    return totals_of(account).wanted - own.wanted;
}

std::size_t grant_table::hosts(std::string_view account) const {
    return totals_of(account).hosts;
}

}  // namespace wrenswitch
