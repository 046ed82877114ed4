#include "soak/crashing_parts.hpp"

#include <algorithm>
#include <csignal>

namespace wrenswitch::testing {

crashing_parts::crashing_parts(std::uint64_t seed)
    : prompt_crash_fleet(soak_entries, soak_engines), random_(seed), paused_(soak_entries, false) {
    for (entry& each : entries) {
        links_.push_back(std::make_unique<loopback_proxy>(loop, each.bus));
        each.more_settings =
            R"(,"member_endpoint":"tcp://127.0.0.1:)" + std::to_string(links_.back()->port()) + '"';
    }
    for (const auto& engine : engines) {
        engine->delimiter = random_.below(2) == 0 ? body_end::chunks : body_end::connection;
        engine->crashes_inside_event = random_.below(2) == 0;
        engine->events_before_crash = static_cast<int>(random_.below(2));
    }
    start_all();
    run_for(seconds(1));
}

void crashing_parts::send_one() {
    constexpr std::uint64_t requests_per_crashing_one = 12;
    const entry& at = entries[random_.below(soak_entries)];
    const std::string path = random_.below(2) == 0 ? "/stream/" : "/resume/";
    if (random_.below(requests_per_crashing_one) == 0) {
        send_crashing(at, path, random_.below(2) == 0 ? "key-1" : "key-2");
    } else {
        send_sound(at, path);
    }
}

void crashing_parts::play(microseconds length) {
    const instant end_of_play = monotonic_now() + length;
    instant next_fault = monotonic_now() + milliseconds(300);
    while (monotonic_now() < end_of_play) {
        send_one();
        run_for(milliseconds(10 + static_cast<std::int64_t>(random_.below(20))));
        restart_ended();
        if (monotonic_now() > next_fault) {
            next_fault =
                monotonic_now() + milliseconds(150 + static_cast<std::int64_t>(random_.below(500)));
            if (random_.below(3) == 0) {
                end_faults();
            }
            inject_fault();
        }
    }
    end_faults();
    run_until(
        [this] {
            restart_ended();
            return std::all_of(entries.begin(), entries.end(),
                               [this](const entry& each) { return is_ready(each); });
        },
        seconds(10));
    healed_ = monotonic_now();
    play_load(contact + seconds(3), true);
    finish_calls();
}

std::size_t crashing_parts::arrivals_after_contact() const {
    if (crashes.size() < known_crashes) {
        return 0;
    }
    const instant from = std::max(crashes[known_crashes - 1], healed_) + contact;
    return static_cast<std::size_t>(
        std::count_if(arrivals.begin(), arrivals.end(), [from](instant at) { return at > from; }));
}

void crashing_parts::restart_ended() {
    for (entry& each : entries) {
        if (each.process->ended()) {
            launch(each);
        }
    }
}

void crashing_parts::inject_fault() {
    switch (random_.below(8)) {
        case 0:
        case 1:
        case 2:
            harm_entry(random_.below(soak_entries));
            break;
        case 3:
        case 4:
            harm_link(random_.below(soak_entries));
            break;
        case 5:
            faults_.push_back("lose the log");
            store.silent = true;
            break;
        default: {
            const std::size_t index = random_.below(soak_engines);
            faults_.push_back("end engine " + std::to_string(index + 1));
            end(*engines[index]);
            break;
        }
    }
}

void crashing_parts::harm_entry(std::size_t index) {
    const std::string name = " entry " + std::to_string(index + 1);
    switch (random_.below(3)) {
        case 0:
            faults_.push_back("kill" + name);
            entries[index].process->signal(SIGKILL);
            break;
        case 1:
            faults_.push_back("stop" + name);
            entries[index].process->signal(SIGTERM);
            break;
        default:
            faults_.push_back("pause" + name);
            entries[index].process->signal(SIGSTOP);
            paused_[index] = true;
            break;
    }
}

void crashing_parts::harm_link(std::size_t index) {
    loopback_proxy& link = *links_[index];
    const std::string name = " link " + std::to_string(index + 1);
    switch (random_.below(3)) {
        case 0:
            faults_.push_back("cut" + name);
            link.silent = true;
            break;
        case 1:
            faults_.push_back("cut one way" + name);
            link.answers_lost = true;
            break;
        default:
            faults_.push_back("reset" + name);
            link.reset_connections();
            break;
    }
}

void crashing_parts::end_faults() {
    faults_.push_back("end faults");
    store.silent = false;
    for (std::size_t index = 0; index < soak_entries; ++index) {
        links_[index]->heal();
        if (paused_[index]) {
            entries[index].process->signal(SIGCONT);
            paused_[index] = false;
        }
    }
}

}  // namespace wrenswitch::testing
