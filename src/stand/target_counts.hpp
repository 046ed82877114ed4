#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace wrenswitch::stand {

/// What a target did, by its own count: the evidence against which bills are checked.
class target_counts {
public:
    /// A request began to run.
    void started(std::string_view key, std::string_view client_account);

    /// Tokens were spent, prompt and answer alike.
    void spent(std::string_view client_account, std::int64_t tokens);

    /// A request ended whole.
    void ended();

    nlohmann::json to_json() const;

private:
    std::map<std::string, std::uint64_t, std::less<>> runs_by_key_;
    std::map<std::string, std::int64_t, std::less<>> tokens_by_account_;
    std::uint64_t runs_ = 0;
    std::uint64_t ended_ = 0;
    std::int64_t tokens_ = 0;
};

}  // namespace wrenswitch::stand
