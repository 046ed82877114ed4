#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "roles/gateway/event_log.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"
#include "wrenswitch/decision/gateway/target_word.hpp"
#include "wrenswitch/decision/suspects/target_life.hpp"

namespace wrenswitch {

/// Takes in what targets say of themselves with their answers, and tells what changed.
class target_words {
public:
    /// All that is referred to must outlive this.
    target_words(target_pool& targets, event_log& events, metrics& counters)
        : targets_(targets), events_(events), counters_(counters) {}

    /// An answer of this life of a target came to a request that was sent then. What a life says
    /// that has ended meanwhile counts no more.
    void heard(instant now, const target_life& life, instant sent, std::string_view request,
               const target_word& word);

    /// A request goes to a target.
    void sent(instant now, std::string_view target);

    /// To be called several times a second.
    void tick();

private:
    void limit_heard(instant now, const target_life& life, instant sent, std::string_view request,
                     const target_word& word);

    target_pool& targets_;
    event_log& events_;
    metrics& counters_;
};

}  // namespace wrenswitch
