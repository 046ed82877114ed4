#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/store_standin.hpp"
#include "platform/worker_standin.hpp"
#include "soak/contended_caller.hpp"
#include "soak/load_balancer_standin.hpp"
#include "soak/log_follower.hpp"
#include "support/child_process.hpp"
#include "support/loopback_proxy.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch::testing {

/// A failure domain of real gateways, one with a high-bandwidth link and the others with paced
/// low-bandwidth links. One account floods it while a seed kills, freezes, and stops and starts
/// gateways. Runs on an event loop beside other domains: update() advances it.
class contended_domain {
public:
    static constexpr std::size_t entry_count = 5;
    /// The entry with the high-bandwidth link.
    static constexpr std::size_t wide_entry = 0;
    static constexpr int narrow_mbps = 4;
    static constexpr int wide_mbps = 200;
    /// Less than is requested, so that the budget runs out during the run.
    static constexpr tokens prepaid = 3000;

    /// What crosses the links of the low-bandwidth entries.
    enum class link_traffic { callers, callers_and_entries };

    /// Without link sharing if `shares_link` is false. Faults come for `flood_length` from the
    /// first step back on.
    contended_domain(event_loop& loop, std::uint64_t seed, bool shares_link,
                     microseconds flood_length, link_traffic traffic = link_traffic::callers);
    ~contended_domain();
    contended_domain(const contended_domain&) = delete;
    contended_domain& operator=(const contended_domain&) = delete;

    /// Advances the run. To be called every few milliseconds.
    void update();

    bool is_over() const { return phase_ == phase::over; }

    /// The seed, the mode, the faults and what callers got.
    std::string summary() const;

    /// What was broken, one line each. Complete once the run is over.
    const std::vector<std::string>& broken() const { return broken_; }

private:
    enum class phase { starting, before_step_back, flood, recovery, over };
    enum class fault_kind { kill, freeze, stop };

    struct fault {
        fault_kind kind = fault_kind::kill;
        std::size_t entry = 0;
        /// The time since the last fault ended, and how long this one lasts.
        microseconds pause{};
        microseconds length{};
    };

    struct gateway {
        std::uint16_t listen = 0;
        std::uint16_t admin = 0;
        std::uint16_t bus = 0;
        /// Both directions of the link between callers and the gateway.
        std::unique_ptr<throttled_link> inbound;
        std::unique_ptr<throttled_link> outbound;
        std::unique_ptr<loopback_proxy> proxy;
        /// Between the other gateways and this one, if their messages cross the link.
        std::unique_ptr<loopback_proxy> bus_proxy;
        std::unique_ptr<test::child_process> process;
        std::unique_ptr<log_follower> log;
        bool stepped_back = false;
        bool sheds = false;
    };

    void add_gateways(event_loop& loop);
    void add_callers();
    void plan_faults(microseconds flood_length);
    void configure();
    std::string settings_path(std::size_t index) const;
    void start_gateway(std::size_t index);
    void serve_stream(event_loop& loop, const ingress_exchange_pointer& exchange);

    void update_phase(instant now);
    void begin_recovery(instant now);
    void finish(instant now);
    void update_callers(instant now);
    void update_faults(instant now);
    void begin_fault(instant now);
    void end_fault(instant now);

    void read_logs();
    void read_line(gateway& source, const std::string& line);
    void check_loss(const gateway& source, const std::string& line);
    bool is_undisturbed(std::size_t index, instant now) const;
    void check_accepting(instant now);
    void check_results(instant now);
    void check_callers(instant now);
    std::string log_lines_of(const std::string& request) const;
    std::string summarize_callers(instant now) const;
    std::size_t count_stepped_back() const;

    std::uint64_t seed_;
    bool shares_link_;
    link_traffic traffic_;
    microseconds flood_length_;
    random_source random_;
    store_standin store_;
    worker_standin target_;
    worker_standin engine_;
    std::vector<gateway> gateways_;
    /// What callers know of the gateways, in the same order.
    std::vector<contended_entry> entries_;
    std::unique_ptr<load_balancer_standin> balancer_;
    /// The flooding account is the first.
    std::vector<contended_caller> callers_;
    /// When targets completed the responses to requests.
    std::map<std::string, instant> completed_;
    std::map<std::string, unsigned> stream_runs_;
    tokens handed_out_ = 0;

    phase phase_ = phase::starting;
    instant phase_began_{};
    std::vector<fault> faults_;
    std::size_t next_fault_ = 0;
    bool fault_active_ = false;
    instant fault_due_{};
    std::size_t step_backs_ = 0;
    std::size_t most_stepped_back_ = 0;
    /// Since when half of the entries or more are out while one of them has stepped back, and since
    /// when no entry accepts callers.
    std::optional<instant> too_many_out_since_;
    std::optional<instant> none_accepts_since_;
    microseconds longest_too_many_out_{};
    microseconds longest_none_accepts_{};
    bool none_accepts_beside_wide_ = false;
    microseconds recovery_time_{};
    std::string fault_summary_;
    std::string callers_summary_;
    std::vector<std::string> broken_;
};

}  // namespace wrenswitch::testing
