#include "wrenswitch/decision/rollout/rollout_directive.hpp"

namespace wrenswitch {

const char* name_of(rollout_phase phase) {
    switch (phase) {
        case rollout_phase::waiting:
            return "waiting";
        case rollout_phase::canary:
            return "canary";
        case rollout_phase::moving:
            return "moving";
        case rollout_phase::completed:
            return "completed";
        case rollout_phase::rolled_back:
            return "rolled_back";
    }
    return "unnamed";
}

bool is_over(rollout_phase phase) {
    return phase == rollout_phase::completed || phase == rollout_phase::rolled_back;
}

}  // namespace wrenswitch
