#pragma once

#include <csignal>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/signal_record.hpp"
#include "platform/store_standin.hpp"
#include "platform/worker_standin.hpp"
#include "support/child_process.hpp"
#include "support/loop_runner.hpp"
#include "support/loopback_proxy.hpp"
#include "support/raw_socket.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch::testing {

/// Real gateways and a real relay between bare clients and stand-ins of the store and of workers,
/// with faults injected from outside by a seed. It counts what callers and targets see.
class soak_fleet : public loop_runner {
public:
    static constexpr std::size_t gateway_count = 3;
    /// Less than is asked for, so that the budget runs out while faults come.
    static constexpr tokens first_prepaid = 3000;
    /// What the operator adds to the budget at a time.
    static constexpr tokens top_up = 300;
    static constexpr tokens prompt = 100;
    static constexpr tokens most_output = 30;
    /// The share that a version may get which isn't proved. So large that a verdict comes in the
    /// seconds of a play.
    static constexpr double exposed_share = 0.4;
    /// The requests per second that a cold plain worker takes.
    static constexpr double cold_rate = 6.0;

    explicit soak_fleet(std::uint64_t seed);
    ~soak_fleet();

    /// Requests and faults for so long, then all faults end.
    void play(microseconds length);

    /// Begins a planned stop of one gateway.
    void stop_gateway(std::size_t index) { gateways_[index].process->signal(SIGTERM); }

    /// True if a stream is answered whole again, at every gateway.
    bool serves_again(const std::string& path = "/again/x");

    /// A plain worker turns cold, and then its failure domain is emptied and taken back, while
    /// requests go on. What reaches the workers against that is kept as broken.
    void play_cold_and_emptied();

    /// Plain workers turn most requests away while a gateway is killed and starts again. What they
    /// get beyond the first of each request is checked against the bound on retries.
    void play_turned_away();

    /// A request ends each plain worker that runs it and comes again and again, at any gateway,
    /// while gateways are killed and the store is lost. What reaches workers after all is well
    /// again is checked against the most that may.
    void play_crashing_request();

    /// One or both plain workers name a limit, ask for rest, or say that they leave, while gateways
    /// are killed or stand still, and the store and the ways between gateways are lost. What the
    /// workers get against what they say is kept as broken.
    void play_signals();

    /// Restores the store from a copy several times. Configurations stored after a restoration must
    /// be applied in time, and the budget must not be exceeded.
    void play_restored_store();

    /// How often plain workers told a gateway what they say, in the play of signals.
    std::size_t signals_told() const { return signals_told_; }

    /// Workers that ended under the crashing request.
    std::size_t ends_seen() const { return crash_ends_.size(); }

    /// Waits for the end of the play's roll-out, if one comes, and checks it from the targets'
    /// side: what an unproved version got, that nothing came there after a roll-back, and that the
    /// service is served whatever the end was.
    void check_rollout();

    /// What was broken, one line each. Empty if every promise held.
    std::vector<std::string> broken() const;

    std::size_t served() const { return served_; }
    /// The requests of the play, of which served() were answered whole.
    std::size_t sent() const { return sent_; }
    /// Runs of requests that were bound to a region.
    std::size_t bound_runs() const { return bound_runs_; }
    /// What plain workers got beyond the first of each request.
    std::size_t retries_seen() const { return plain_retries_.size(); }
    const std::vector<std::string>& faults() const { return faults_; }

private:
    /// How long gateways that can read the store may take to know of a change.
    static constexpr microseconds until_known = milliseconds(1500);

    enum class request_shape { stream, single_run, repeatable };

    struct client {
        raw_socket socket;
        /// The gateway that it is connected to.
        std::size_t gateway = 0;
        /// True if the connection is used again after the answer.
        bool keeps = false;
        std::string id;
        request_shape shape = request_shape::stream;
        instant until{};
    };

    struct gateway_process {
        std::uint16_t listen = 0;
        std::uint16_t admin = 0;
        std::uint16_t bus = 0;
        /// Between the gateway and the store, and between other entries and the gateway.
        std::unique_ptr<loopback_proxy> way;
        std::unique_ptr<loopback_proxy> bus_way;
        /// Connections of clients that keep them open until the process is gone.
        std::vector<raw_socket> kept;
        std::unique_ptr<wrenswitch::test::child_process> process;
        bool paused = false;
    };

    /// An event of the streams that workers send.
    static std::string stream_event(int number);
    /// What the platform's list says of a worker.
    static std::string entry_of(const worker_standin& worker, int cold_left_ms = 0);
    void start_gateway(std::size_t index);
    void start_relay();
    void serve(worker_standin& worker, const ingress_exchange_pointer& exchange);
    /// A request came to a worker, and may be bound to the other region.
    void check_region(const worker_standin& worker, const message_head& head);
    void send_request();
    void send(const std::string& path, request_shape shape, const std::string& key = "key-1");
    void serve_versioned(worker_standin& worker, const ingress_exchange_pointer& exchange);
    void add_versioned(int number, const std::string& version);
    void begin_rollout(microseconds length);
    std::string rollout_state();
    std::string rollout_reason();
    void check_roll_back(instant in_touch);
    std::size_t reached_new(instant from, instant until) const;
    void ask_plain_workers(microseconds length);
    void check_cold_worker(const worker_standin& worker, instant from);
    bool turns_away(const worker_standin& worker, const ingress_exchange_pointer& exchange);
    void check_retries();
    bool ends_worker(worker_standin& worker, const ingress_exchange_pointer& exchange);
    void ask_crashing(std::size_t index);
    bool says_something(worker_standin& worker, const ingress_exchange_pointer& exchange);
    void ask_while_signalling(std::size_t turn, std::vector<raw_socket>& callers);
    void harm_while_signalling();
    void excuse(std::size_t index);
    void check_signals();
    void end_signals();
    void start_anew(worker_standin& worker);
    void harm_while_crashing();
    void send_streams_for(microseconds length);
    void check_applied(std::size_t excluded);
    void collect();
    void keep(client& done);
    void judge(const client& ended, const std::string& answer);
    void configure();
    void harm(loopback_proxy& way, const std::string& name);
    void inject_fault();
    void end_faults();
    std::string settings_path(const std::string& name) const;

    random_source random_;
    std::uint64_t seed_;
    store_standin store_{loop};
    std::vector<std::unique_ptr<worker_standin>> workers_;
    /// Of the service that is rolled out; the first two are of the old version.
    std::vector<std::unique_ptr<worker_standin>> versioned_;
    bool bad_version_ = false;
    instant ordered_at_{};
    microseconds order_length_{};
    std::vector<instant> bad_answers_;
    std::vector<gateway_process> gateways_;
    std::uint16_t relay_bus_ = 0;
    std::unique_ptr<wrenswitch::test::child_process> relay_;
    std::vector<client> clients_;
    std::map<std::string, unsigned> runs_;
    /// When requests reached each worker.
    std::map<std::string, std::vector<instant>> arrivals_;
    std::map<std::string, request_shape> shapes_;
    std::map<std::string, bool> refused_;
    tokens handed_out_ = 0;
    tokens prepaid_ = first_prepaid;
    std::uint64_t version_ = 0;
    double cut_share_ = 0.0;
    /// What plain workers turn away unrun, by numbers of its own: plays of old seeds stay as they
    /// were.
    double turned_away_share_ = 0.0;
    random_source turned_away_{seed_};
    /// When requests to plain workers were sent, and when one reached such a worker once more.
    std::vector<instant> plain_sent_;
    std::vector<instant> plain_retries_;
    std::map<std::string, unsigned> plain_arrivals_;
    /// Of the play of a crashing request, by numbers of its own.
    random_source crashing_{seed_};
    std::vector<instant> crash_ends_;
    std::vector<instant> crash_arrivals_;
    /// Of the play of signals: what plain workers say and got, by numbers of its own.
    enum class signal_kind { limit, rest, leaving };
    random_source signals_{seed_};
    bool signals_played_ = false;
    signal_kind signal_ = signal_kind::limit;
    double signalled_limit_ = 0.0;
    std::map<std::string, signal_record> signal_records_;
    std::size_t signals_told_ = 0;
    /// Numbers all requests, also those that only ask whether a gateway serves.
    std::size_t last_id_ = 0;
    std::size_t sent_ = 0;
    std::size_t served_ = 0;
    std::size_t bound_runs_ = 0;
    std::vector<std::string> broken_;
    std::vector<std::string> faults_;
};

}  // namespace wrenswitch::testing
