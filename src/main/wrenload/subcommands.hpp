#pragma once

#include <string>
#include <vector>

namespace wrenswitch::load {

/// `wrenload run`: open-loop load against entries or, to compare, a target.
int run_load(std::vector<std::string>& words);

/// `wrenload policy-budget`: grant policies in virtual time.
int run_policy_budget(std::vector<std::string>& words);

}  // namespace wrenswitch::load
