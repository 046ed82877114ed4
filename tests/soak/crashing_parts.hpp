#pragma once

#include <memory>
#include <string>
#include <vector>

#include "platform/prompt_crash_fleet.hpp"
#include "support/loopback_proxy.hpp"
#include "wrenswitch/core/random_source.hpp"

namespace wrenswitch::testing {

/// Real gateways before engines that crash on one part of a prompt, and whose responses end in
/// several ways, while a seed injects faults: entries are killed, stopped and paused, the links
/// between them are cut, the log is lost, and engines crash for reasons of their own. It counts
/// what callers and engines see.
class crashing_parts : public prompt_crash_fleet {
public:
    static constexpr std::size_t soak_entries = 4;
    static constexpr std::size_t soak_engines = 8;
    /// The requests with the part that may reach engines later than the contact time after the
    /// fifth crash.
    static constexpr std::size_t most_after_contact = 3;

    explicit crashing_parts(std::uint64_t seed);

    /// Requests and faults for so long; then all faults end, and the part comes again and again.
    void play(microseconds length);

    /// Requests with the part that reached engines later than the contact time after the fifth
    /// crash and after the end of the faults.
    std::size_t arrivals_after_contact() const;

    /// What sound requests got that were sent from the contact time after the end of the faults on.
    service service_after_faults() { return service_since(healed_ + contact); }

    const std::vector<std::string>& faults() const { return faults_; }

private:
    void send_one();
    void inject_fault();
    void harm_entry(std::size_t index);
    void harm_link(std::size_t index);
    void end_faults();
    void restart_ended();

    random_source random_;
    std::vector<std::unique_ptr<loopback_proxy>> links_;
    std::vector<bool> paused_;
    std::vector<std::string> faults_;
    instant healed_{};
};

}  // namespace wrenswitch::testing
