#pragma once

#include <string>
#include <vector>

namespace wrenswitch::load {

/// `wrenload run`: open-loop load against entries or, to compare, a target.
int run_load(std::vector<std::string>& words);

/// `wrenload policy-budget`: grant policies in virtual time.
int run_policy_budget(std::vector<std::string>& words);

/// `wrenload policy-limits`: concurrency limiters in virtual time.
int run_policy_limits(std::vector<std::string>& words);

/// `wrenload policy-rollout`: judges of roll-outs on drawn answers, in virtual time.
int run_policy_rollout(std::vector<std::string>& words);

/// `wrenload slopes`: what one more of each thing costs.
int run_slopes(std::vector<std::string>& words);

}  // namespace wrenswitch::load
