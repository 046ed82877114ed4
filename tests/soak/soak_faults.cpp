// The faults of a soak that come at random.

#include <csignal>
#include <utility>

#include "soak/soak_fleet.hpp"

namespace wrenswitch::testing {

void soak_fleet::inject_fault() {
    gateway_process& gateway = gateways_[random_.below(gateway_count)];
    const std::size_t index = static_cast<std::size_t>(&gateway - gateways_.data());
    const std::string name = " gateway " + std::to_string(index);
    switch (random_.below(11)) {
        case 0:
            faults_.push_back("kill" + name);
            gateway.process->signal(SIGKILL);
            break;
        case 1:
            faults_.push_back("stop" + name);
            gateway.process->signal(SIGTERM);
            break;
        case 2:
            faults_.push_back("pause" + name);
            gateway.process->signal(SIGSTOP);
            gateway.paused = true;
            break;
        case 3:
            harm(*gateway.way, "the way of" + name);
            break;
        case 4:
            faults_.push_back("busy store");
            store_.busy = true;
            break;
        case 5:
            faults_.push_back("lost append answers");
            store_.lose_append_answers = true;
            break;
        case 6:
            faults_.push_back("kill the relay");
            relay_->signal(SIGKILL);
            break;
        case 7:
            faults_.push_back("workers cut answers");
            cut_share_ = 0.3;
            break;
        case 8:
            harm(*gateway.bus_way, "the bus of" + name);
            break;
        case 9:
            faults_.push_back("raise the budget");
            prepaid_ += top_up;
            configure();
            break;
        default:
            faults_.push_back("hang up" + name);
            gateway.process->signal(SIGHUP);
            break;
    }
}

void soak_fleet::harm(loopback_proxy& way, const std::string& name) {
    switch (random_.below(4)) {
        case 0:
            faults_.push_back("silence " + name);
            way.silent = true;
            break;
        case 1:
            faults_.push_back("lose answers on " + name);
            way.answers_lost = true;
            break;
        case 2:
            faults_.push_back("delay " + name);
            way.delay = milliseconds(20 + static_cast<std::int64_t>(random_.below(200)));
            break;
        default:
            faults_.push_back("reset " + name);
            way.reset_connections();
            break;
    }
}

void soak_fleet::end_faults() {
    store_.busy = false;
    store_.lose_append_answers = false;
    cut_share_ = 0.0;
    for (gateway_process& gateway : gateways_) {
        gateway.way->heal();
        gateway.bus_way->heal();
        if (std::exchange(gateway.paused, false)) {
            gateway.process->signal(SIGCONT);
        }
    }
}

}  // namespace wrenswitch::testing
