#include "wrenswitch/decision/suspects/suspicion.hpp"

namespace wrenswitch {

std::string_view name_of(suspicion value) {
    switch (value) {
        case suspicion::none:
            return "none";
        case suspicion::suspected:
            return "suspected";
        case suspicion::quarantined:
            return "quarantined";
    }
    return "unnamed";
}

}  // namespace wrenswitch
