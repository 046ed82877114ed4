// The processes of a contended domain, its callers, and the course of a run.

#include "soak/contended_domain.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <numeric>

#include "support/fixed_port.hpp"

namespace wrenswitch::testing {
namespace {

constexpr tokens prompt = 100;
constexpr tokens event_tokens = 3;

/// 0.64 of the bandwidth of a low-bandwidth link before the first step back, and 1.4 times its
/// bandwidth afterwards. A flood that begins at 1.4 times the bandwidth starts timed shedding
/// before its average over a second shows that the account does not fit the link.
constexpr std::size_t flood_body_bytes = 9200;
constexpr microseconds first_flood_interval = microseconds(28'571);
constexpr microseconds flood_interval = milliseconds(13);
/// 0.74 s of a low-bandwidth link: callers that wait for responses bound what queues before it.
constexpr std::size_t flood_max_open = 40;

constexpr microseconds start_time = seconds(20);
/// An account above half of a link is announced after three requests, and the step is taken 250 ms
/// later. The rest allows for entries that do not know each other yet and for a busy machine.
constexpr microseconds step_back_time = seconds(10);
/// The stated bound on the return of all entries, and one readiness check that may just have been
/// sent when the last entry returned.
constexpr microseconds recovery_bound = seconds(15) + load_balancer_standin::check_period;

double bytes_per_second(int mbps) {
    return 125'000.0 * mbps;
}

}  // namespace

contended_domain::contended_domain(event_loop& loop, std::uint64_t seed, bool shares_link,
                                   microseconds flood_length, link_traffic traffic)
    : seed_(seed),
      shares_link_(shares_link),
      traffic_(traffic),
      flood_length_(flood_length),
      random_(seed),
      store_(loop),
      target_(loop, "app-1"),
      engine_(loop, "llm-1") {
    target_.answer = [this](const ingress_exchange_pointer& exchange) {
        const std::string id(exchange->head().header("Request-Id"));
        completed_[id] = monotonic_now();
        exchange->answer(200, target_.signed_headers(exchange), "body of " + id);
    };
    engine_.answer = [this, &loop](const ingress_exchange_pointer& exchange) {
        serve_stream(loop, exchange);
    };
    configure();
    add_gateways(loop);
    add_callers();
    plan_faults(flood_length);
    phase_began_ = monotonic_now();
}

contended_domain::~contended_domain() {
    for (std::size_t index = 0; index < gateways_.size(); ++index) {
        gateways_[index].process.reset();
        std::remove(settings_path(index).c_str());
    }
}

void contended_domain::configure() {
    store_.put("keyed.op", "config",
               R"({"version":1,"routes":[
        {"name":"plain","host":"h.test","pathPrefix":"/plain/","kind":"idempotent",
         "timeoutMs":2000,"targetLatencyMs":1000,"service":"app","maxAttempts":2},
        {"name":"stream","host":"h.test","pathPrefix":"/stream/","kind":"streaming",
         "timeoutMs":2000,"service":"llm","maxAttempts":1}],
        "services":[{"name":"app","healthPath":"/health","maxConns":600},
          {"name":"llm","healthPath":"/health","maxConns":120,"engine":{"slots":64,"stride":3}}],
        "limits":{"maxHeaderBytes":4096,"maxBodyBytes":20000,"headerTimeoutMs":1000,
          "idleTimeoutMs":60000},
        "tenants":[{"name":"flood","apiKeys":["key-flood"]},{"name":"a","apiKeys":["key-a"]},
          {"name":"b","apiKeys":["key-b"]},
          {"name":"metered","apiKeys":["key-metered"],"prepaid":)" +
                   std::to_string(prepaid) + "}]}");
    store_.put("keyed.servers", target_.id(), target_.list_entry("app"));
    store_.put("keyed.servers", engine_.id(), engine_.list_entry("llm"));
}

void contended_domain::add_gateways(event_loop& loop) {
    std::vector<std::uint16_t> admin_ports;
    for (std::size_t index = 0; index < entry_count; ++index) {
        gateway& added = gateways_.emplace_back();
        added.listen = fixed_port();
        added.admin = fixed_port();
        added.bus = fixed_port();
        added.proxy = std::make_unique<loopback_proxy>(loop, added.listen);
        if (index != wide_entry) {
            added.inbound = std::make_unique<throttled_link>(bytes_per_second(narrow_mbps));
            added.outbound = std::make_unique<throttled_link>(bytes_per_second(narrow_mbps));
            added.proxy->request_link = added.inbound.get();
            added.proxy->link = added.outbound.get();
        }
        if (traffic_ == link_traffic::callers_and_entries) {
            added.bus_proxy = std::make_unique<loopback_proxy>(loop, added.bus);
            added.bus_proxy->request_link = added.inbound.get();
            added.bus_proxy->link = added.outbound.get();
        }
        admin_ports.push_back(added.admin);
        entries_.push_back({added.proxy->port(), true, {}, 0});
        start_gateway(index);
    }
    balancer_ = std::make_unique<load_balancer_standin>(admin_ports);
}

std::string contended_domain::settings_path(std::size_t index) const {
    return "/tmp/wrensoak_contended_" + std::to_string(gateways_[index].listen) + ".json";
}

void contended_domain::start_gateway(std::size_t index) {
    gateway& started = gateways_[index];
    // The previous process removes its output file.
    started.process.reset();
    const std::string path = settings_path(index);
    const std::string member_endpoint = started.bus_proxy
                                            ? R"(,"member_endpoint":"tcp://127.0.0.1:)" +
                                                  std::to_string(started.bus_proxy->port()) + "\""
                                            : "";
    std::ofstream(path) << R"({"host":"front-)" << index << R"(","failure_domain":"z1",)"
                        << R"("listen":"127.0.0.1:)" << started.listen << R"(","admin":"127.0.0.1:)"
                        << started.admin << R"(","service":")" << store_.address()
                        << R"(","bus_endpoint":"tcp://127.0.0.1:)" << started.bus
                        << R"(","longest_drain_ms":3000,"listen_after_stop_ms":300)"
                        << R"(,"link_mbps":)" << (index == wide_entry ? wide_mbps : narrow_mbps)
                        << R"(,"share_link":)" << (shares_link_ ? "true" : "false")
                        << member_endpoint << "}";
    started.process = std::make_unique<test::child_process>(
        std::vector<std::string>{WRENSWITCH_BINARIES "/wrengate", "--settings", path},
        path + ".log");
    started.log = std::make_unique<log_follower>(path + ".log");
    started.stepped_back = false;
    started.sheds = false;
    entries_[index].running = true;
}

/// The flooding account is directed to all low-bandwidth entries before the high-bandwidth one, so
/// that only the budget keeps them from stepping back together.
void contended_domain::add_callers() {
    const auto shuffled = [this] {
        std::vector<std::size_t> order(entry_count);
        std::iota(order.begin(), order.end(), std::size_t{0});
        std::shuffle(order.begin(), order.end(), random_.engine());
        return order;
    };
    std::vector<std::size_t> flood_order = shuffled();
    std::iter_swap(std::find(flood_order.begin(), flood_order.end(), wide_entry),
                   flood_order.end() - 1);
    callers_.emplace_back(contended_caller::load{"flood", "/plain/x", flood_body_bytes,
                                                 first_flood_interval, flood_max_open, false},
                          flood_order);
    for (const char* account : {"a", "b"}) {
        callers_.emplace_back(
            contended_caller::load{account, "/plain/x", 100, milliseconds(50), 20, false},
            shuffled());
    }
    callers_.emplace_back(
        contended_caller::load{"metered", "/stream/x", 100, milliseconds(150), 10, true},
        shuffled());
}

void contended_domain::serve_stream(event_loop& loop, const ingress_exchange_pointer& exchange) {
    const std::string id(exchange->head().header("Request-Id"));
    stream_runs_[id] += 1;
    if (stream_runs_[id] > 1) {
        broken_.push_back("ran more than once: " + id);
    }
    handed_out_ += prompt + 2 * event_tokens;
    exchange->begin_answer(200, engine_.signed_headers(exchange));
    exchange->send_piece("id: 1\ndata: e1\n\n");
    const microseconds pause = milliseconds(5 + static_cast<std::int64_t>(random_.below(60)));
    loop.call_after(pause, [this, exchange, id] {
        exchange->send_piece("id: 2\ndata: e2\n\n");
        exchange->end_answer();
        completed_[id] = monotonic_now();
    });
}

void contended_domain::update() {
    const instant now = monotonic_now();
    if (phase_ == phase::over) {
        return;
    }
    read_logs();
    balancer_->update(now);
    update_callers(now);
    if (phase_ == phase::flood) {
        update_faults(now);
    }
    check_accepting(now);
    update_phase(now);
}

void contended_domain::update_callers(instant now) {
    for (std::size_t index = 0; index < callers_.size(); ++index) {
        const bool is_flood = index == 0;
        const bool sends = is_flood ? phase_ == phase::before_step_back || phase_ == phase::flood
                                    : phase_ != phase::starting;
        if (sends) {
            callers_[index].send_due(now, entries_, *balancer_);
        }
        callers_[index].collect(now, entries_, *balancer_, completed_);
    }
}

void contended_domain::update_phase(instant now) {
    const microseconds elapsed = now - phase_began_;
    const auto enter = [&](phase next) {
        phase_ = next;
        phase_began_ = now;
    };
    switch (phase_) {
        case phase::starting:
            if (balancer_->all_ready()) {
                enter(phase::before_step_back);
            } else if (elapsed > start_time) {
                broken_.emplace_back("not all entries became ready");
                enter(phase::over);
            }
            break;
        case phase::before_step_back:
            if (step_backs_ > 0 || elapsed > step_back_time) {
                enter(phase::flood);
                callers_.front().change_interval(flood_interval);
                fault_due_ = now + faults_.front().pause;
            }
            break;
        case phase::flood:
            if (elapsed > flood_length_) {
                begin_recovery(now);
                enter(phase::recovery);
            }
            break;
        case phase::recovery:
            recovery_time_ = elapsed;
            if (balancer_->all_ready() || elapsed > recovery_bound) {
                finish(now);
                enter(phase::over);
            }
            break;
        case phase::over:
            break;
    }
}

void contended_domain::begin_recovery(instant now) {
    if (fault_active_) {
        end_fault(now);
    }
    callers_.front().end();
}

void contended_domain::finish(instant now) {
    if (!balancer_->all_ready()) {
        broken_.emplace_back("not all entries were ready again in time after the flood ended");
    }
    check_results(now);
    callers_summary_ = summarize_callers(now);
}

}  // namespace wrenswitch::testing
