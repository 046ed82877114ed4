#include "stand/target_counts.hpp"

namespace wrenswitch::stand {

void target_counts::started(std::string_view key, std::string_view client_account) {
    ++runs_;
    if (!key.empty()) {
        ++runs_by_key_[std::string(key)];
    }
    tokens_by_account_.try_emplace(std::string(client_account), 0);
}

void target_counts::spent(std::string_view client_account, std::int64_t tokens) {
    tokens_ += tokens;
    tokens_by_account_[std::string(client_account)] += tokens;
}

void target_counts::ended() {
    ++ended_;
}

nlohmann::json target_counts::to_json() const {
    return {{"runs", runs_},
            {"ended", ended_},
            {"tokens", tokens_},
            {"tokens_by_client_account", tokens_by_account_},
            {"runs_by_key", runs_by_key_}};
}

}  // namespace wrenswitch::stand
