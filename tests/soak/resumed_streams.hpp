#pragma once

#include <string>
#include <vector>

#include "platform/stream_fleet.hpp"
#include "support/loopback_proxy.hpp"
#include "wrenswitch/core/random_source.hpp"

namespace wrenswitch::testing {

/// Real gateways before targets of several software versions, and callers that resume broken
/// streams at any entry, while a seed injects faults: entries are killed, stopped and paused, the
/// links between them are cut, the store is lost, and targets crash, leave and are replaced by
/// other versions. It counts what callers and targets see.
///
/// With losses, a relay runs beside the targets; all entries are killed at once, at times while
/// versions come and go, targets leave without saying so, the relay restarts, and the store refuses
/// the records of versions.
class resumed_streams : public stream_fleet {
public:
    static constexpr std::size_t entry_count = 4;

    explicit resumed_streams(std::uint64_t seed, bool with_losses = false);
    ~resumed_streams();

    /// Streams and faults for so long, then all faults end and the streams are brought to their
    /// ends.
    void play(microseconds length);

    /// Kills an entry under running streams after all faults have ended. Returns the share of the
    /// streams that their callers receive whole by resuming them at another entry.
    double share_resumed_after_kill();

    /// What was broken, one line each.
    std::vector<std::string> broken();

    std::size_t begun() const { return calls.size(); }
    std::size_t resumptions() const { return resumptions_; }
    const std::vector<std::string>& faults() const { return faults_; }

private:
    /// A stream and when its caller tries again.
    struct caller {
        resumable_call* call = nullptr;
        instant retry_at{};
        bool given_up = false;
    };

    void begin_stream();
    void update_callers();
    void retry(caller& each);
    void check_attempt(const resumable_call& call);
    void inject_fault();
    void inject_loss();
    void lose_all_entries();
    void start_relay();
    void leave_silently();
    void check_gone_target(const stream_target& gone, instant left);
    void harm_entry(std::size_t index);
    void harm_link(std::size_t index);
    void harm_target();
    void replace_target(stream_target& old);
    void end_faults();
    void restart_ended();
    std::string logged_resumption(const std::string& id) const;
    bool has_run(const std::string& id) const;

    random_source random_;
    bool with_losses_;
    std::uint16_t relay_port_ = fixed_port();
    std::string relay_file_ = "/tmp/wrenrelay_soak_" + std::to_string(relay_port_) + ".json";
    std::unique_ptr<test::child_process> relay_;
    /// When the store or an entry was last away, so that an entry may not have read a removal.
    instant last_away_{};
    std::vector<std::string> late_requests_;
    std::vector<std::unique_ptr<loopback_proxy>> links_;
    std::vector<bool> paused_;
    std::vector<caller> callers_;
    std::size_t resumptions_ = 0;
    int last_target_ = 0;
    int last_version_ = 2;
    std::vector<std::string> refused_;
    std::vector<std::string> faults_;
};

}  // namespace wrenswitch::testing
