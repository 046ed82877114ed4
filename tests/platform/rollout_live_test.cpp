#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <deque>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

#include "platform/store_standin.hpp"
#include "platform/worker_standin.hpp"
#include "support/child_process.hpp"
#include "support/fixed_port.hpp"
#include "support/loop_runner.hpp"
#include "support/raw_socket.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;
using wrenswitch::test::child_process;

/// The share that the operator allows, and what requests beyond it are borne.
constexpr double allowed_share = 0.2;

/// From the 50th bad answer to the last request that is borne.
constexpr microseconds longest_roll_back = milliseconds(1500);
constexpr std::size_t borne_bad_answers = 50;

/// Three real wrengates before four targets of "v1" and three of "v2", whose software is as a test
/// says, with callers at a steady rate. The targets count what reached them.
struct rollout_fixture : loop_runner {
    struct gateway_process {
        std::uint16_t listen = fixed_port();
        std::uint16_t admin = fixed_port();
        std::uint16_t bus = fixed_port();
        std::unique_ptr<child_process> process;
    };

    struct caller {
        raw_socket socket;
        instant until{};
    };

    store_standin store{loop};
    /// The one that is rolled out.
    std::string service = "app";
    std::vector<std::unique_ptr<worker_standin>> old_targets;
    std::vector<std::unique_ptr<worker_standin>> new_targets;
    std::vector<gateway_process> gateways{3};
    std::vector<worker_standin::arrival> ended_arrivals;
    std::set<std::string> ended_targets;
    std::vector<std::unique_ptr<worker_standin>> ended_engines;
    std::deque<caller> callers;
    std::size_t asked = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t lost = 0;
    instant ordered_at{};
    microseconds duration{};

    rollout_fixture() {
        configure();
        for (int number = 1; number <= 4; ++number) {
            add_target(old_targets, "v1", number);
        }
        for (std::size_t index = 0; index < gateways.size(); ++index) {
            start_gateway(index);
        }
        BOOST_REQUIRE(run_until([this] {
            return std::all_of(gateways.begin(), gateways.end(),
                               [this](const auto& each) { return is_ready(each); });
        }));
        // Members learn of each other.
        run_for(milliseconds(300));
    }

    ~rollout_fixture() {
        for (std::size_t index = 0; index < gateways.size(); ++index) {
            gateways[index].process.reset();
            std::remove(settings_file(index).c_str());
        }
    }

    static std::string route(const std::string& name, const std::string& kind) {
        return R"({"name":")" + name + R"(","host":"h.test","pathPrefix":"/)" + name +
               R"(/","kind":")" + kind + R"(","timeoutMs":1000,"service":"app","maxAttempts":2})";
    }

    void configure() {
        store.put("keyed.op", "config",
                  R"({"version":1,"routes":[)" + route("once", "non_idempotent") + "," +
                      route("again", "idempotent") +
                      R"(,{"name":"talk","host":"h.test","pathPrefix":"/talk/","kind":"streaming",
                "resumable":true,"timeoutMs":9000,"service":"llm","maxAttempts":3}],
                "services":[{"name":"app","healthPath":"/health","maxConns":60},
                 {"name":"llm","healthPath":"/health","maxConns":60,
                  "engine":{"slots":64,"kvCapacity":1000000,"stride":3}}],
                "limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,"headerTimeoutMs":1000,
                  "idleTimeoutMs":10000},
                "tenants":[{"name":"tenant","apiKeys":["key-1"]}]})");
    }

    void add_target(std::vector<std::unique_ptr<worker_standin>>& targets,
                    const std::string& version, int number) {
        targets.push_back(
            std::make_unique<worker_standin>(loop, version + "-" + std::to_string(number)));
        targets.back()->version = version;
        targets.back()->work = milliseconds(5);
        list(*targets.back());
    }

    void list(const worker_standin& target, const std::string& state = "ready") {
        store.put("keyed.servers", target.id(), target.list_entry(service, state));
    }

    void start_new_version(const worker_standin::flaws& wrong) {
        for (int number = 1; number <= 3; ++number) {
            add_target(new_targets, "v2", number);
            new_targets.back()->wrong = wrong;
        }
    }

    void order(double seconds_given, const std::string& version = "v2") {
        duration = microseconds(static_cast<std::int64_t>(seconds_given * 1e6));
        ordered_at = monotonic_now();
        store.put("keyed.op", "rollout/" + service,
                  R"({"service":")" + service + R"(","targetVersion":")" + version +
                      R"(","durationS":)" + std::to_string(seconds_given) + "}");
    }

    std::string settings_file(std::size_t index) const {
        return "/tmp/wrengate_rollout_" + std::to_string(gateways[index].listen) + ".json";
    }

    void start_gateway(std::size_t index) {
        gateway_process& each = gateways[index];
        std::ofstream(settings_file(index))
            << R"({"host":"front-)" << index << R"(","failure_domain":"z1","listen":"127.0.0.1:)"
            << each.listen << R"(","admin":"127.0.0.1:)" << each.admin << R"(","service":")"
            << store.address() << R"(","bus_endpoint":"tcp://127.0.0.1:)" << each.bus
            << R"(","exposed_share":)" << allowed_share
            << R"(,"longest_drain_ms":3000,"listen_after_stop_ms":300})";
        each.process = std::make_unique<child_process>(
            std::vector<std::string>{WRENSWITCH_BINARIES "/wrengate", "--settings",
                                     settings_file(index)},
            settings_file(index) + ".log");
    }

    bool is_ready(const gateway_process& gateway) {
        raw_socket socket = raw_socket::connect(gateway.admin);
        socket.send("GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        run_until([&] { return socket.ended() || !socket.received().empty(); }, milliseconds(200));
        return socket.received().find(" 200 ") != std::string::npos;
    }

    /// Three requests in four may be repeated.
    void ask() {
        const std::size_t number = asked++;
        gateway_process& gateway = gateways[number % gateways.size()];
        const std::string path = service == "llm"  ? "/talk/"
                                 : number % 4 == 0 ? "/once/"
                                                   : "/again/";
        caller each{raw_socket::connect(gateway.listen), monotonic_now() + seconds(2)};
        each.socket.send("POST " + path + "1 HTTP/1.1\r\nHost: h.test\r\nRequest-Id: q" +
                         std::to_string(number) +
                         "\r\nCredential: key-1\r\nDeadline-Ms: 1000\r\nContent-Length: 2\r\n" +
                         (service == "llm" ? prompt(number) : "") + "Connection: close\r\n\r\nhi");
        callers.push_back(std::move(each));
    }

    static std::string prompt(std::size_t number) {
        return "Model: m\r\nToken-Usage: 100,50\r\nPrefix-Hash: a" +
               std::to_string(number % 50 + 1) + ":60,b" + std::to_string(number + 1) + ":40\r\n";
    }

    static std::string event(std::size_t number) {
        return "id: " + std::to_string(number) + "\ndata: e" + std::to_string(number) + "\n\n";
    }

    /// Two events, or on the long path one each 40 ms to the hundredth, behind the last that the
    /// request has seen.
    void stream(worker_standin& target, const ingress_exchange_pointer& exchange) {
        const bool lasts = exchange->head().target == "/talk/long";
        const std::string seen(exchange->head().header("Last-Event-Id"));
        exchange->begin_answer(200, target.signed_headers(exchange));
        const std::size_t first = seen.empty() ? 1 : std::stoul(seen) + 1;
        send_events(target.id(), exchange, first, lasts ? 100 : 2, milliseconds(lasts ? 40 : 5));
    }

    void add_engine(std::vector<std::unique_ptr<worker_standin>>& targets,
                    const std::string& version, int number) {
        add_target(targets, version, number);
        worker_standin& target = *targets.back();
        target.answer = [this, &target](const ingress_exchange_pointer& exchange) {
            stream(target, exchange);
        };
    }

    void send_events(const std::string& target, const ingress_exchange_pointer& exchange,
                     std::size_t next, std::size_t last, microseconds gap) {
        if (ended_targets.contains(target)) {
            exchange->cut();
            return;
        }
        exchange->send_piece(event(next));
        if (next >= last) {
            exchange->end_answer();
            return;
        }
        loop.call_after(gap, [this, target, exchange, next, last, gap] {
            send_events(target, exchange, next + 1, last, gap);
        });
    }

    void collect() {
        std::erase_if(callers, [this](caller& each) {
            const std::string& answer = each.socket.received();
            const bool whole = service == "llm" ? each.socket.ended()
                                                : answer.find("\r\n\r\n") != std::string::npos;
            if (!whole && !each.socket.ended() && monotonic_now() < each.until) {
                return false;
            }
            const std::string status = answer.size() > 12 ? answer.substr(9, 3) : "";
            served += status == "200" ? 1 : 0;
            refused += status == "503" ? 1 : 0;
            lost += status != "200" && status != "503" ? 1 : 0;
            return true;
        });
    }

    /// Callers for so long, or until something holds.
    bool play(
        microseconds length, const std::function<bool()>& done = [] { return false; },
        double rate = 300.0) {
        const instant from = monotonic_now();
        double due = 0.0;
        double sent = 0.0;
        while (monotonic_now() - from < length) {
            if (done()) {
                return true;
            }
            due = as_seconds(monotonic_now() - from) * rate;
            for (; sent < due; sent += 1.0) {
                ask();
            }
            run_for(milliseconds(2));
            collect();
        }
        return done();
    }

    std::string state() {
        const auto value = store.newest("keyed.status", "rollout/" + service);
        return value ? nlohmann::json::parse(*value).value("state", "") : "";
    }

    static std::size_t reached(const std::vector<std::unique_ptr<worker_standin>>& targets,
                               instant from) {
        std::size_t number = 0;
        for (const auto& each : targets) {
            number += static_cast<std::size_t>(
                std::count_if(each->arrivals.begin(), each->arrivals.end(),
                              [from](const auto& arrival) { return arrival.at >= from; }));
        }
        return number;
    }

    /// All that the new version got from the order to the deadline, against what all got.
    void check_exposure() const {
        const auto within = [this](const auto& targets) {
            std::size_t number = 0;
            for (const auto& each : targets) {
                number += static_cast<std::size_t>(std::count_if(
                    each->arrivals.begin(), each->arrivals.end(), [this](const auto& arrival) {
                        return arrival.at >= ordered_at && arrival.at < ordered_at + duration;
                    }));
            }
            return static_cast<double>(number);
        };
        const double exposed = within(new_targets);
        const auto ended =
            std::count_if(ended_arrivals.begin(), ended_arrivals.end(),
                          [this](const auto& arrival) { return arrival.at >= ordered_at; });
        const double all = exposed + within(old_targets) + static_cast<double>(ended);
        BOOST_TEST_MESSAGE("exposed " << exposed << " of " << all);
        BOOST_TEST(exposed <= allowed_share * all);
    }

    /// No request came later than it may after the 50th bad answer.
    void check_roll_back() const {
        std::vector<instant> bad;
        instant last{};
        for (const auto& each : new_targets) {
            for (const auto& arrival : each->arrivals) {
                last = std::max(last, arrival.at);
                if (arrival.bad) {
                    bad.push_back(arrival.at);
                }
            }
        }
        std::sort(bad.begin(), bad.end());
        BOOST_TEST_MESSAGE("bad answers " << bad.size());
        if (bad.size() >= borne_bad_answers) {
            BOOST_TEST_MESSAGE("last request after the 50th, ms: "
                               << millis_text(last - bad[borne_bad_answers - 1]));
            BOOST_TEST((last - bad[borne_bad_answers - 1] <= longest_roll_back));
        }
    }

    /// As the platform does once a roll-out is completed: the old targets end at once.
    void end_old_targets() {
        for (auto& each : old_targets) {
            store.put("keyed.servers", each->id(), std::nullopt);
            ended_targets.insert(each->id());
            if (service == "llm") {
                // What streams there is cut at its next event, which needs the stand-in.
                each->answer = [](const ingress_exchange_pointer& exchange) { exchange->cut(); };
                ended_engines.push_back(std::move(each));
            }
        }
        old_targets.clear();
    }

    /// As in a crash: they are still listed. What reached them before counts on.
    void end_old_targets_without_a_word() {
        for (auto& each : old_targets) {
            ended_arrivals.insert(ended_arrivals.end(), each->arrivals.begin(),
                                  each->arrivals.end());
        }
        old_targets.clear();
    }

    std::string logs() const {
        std::string text;
        for (const gateway_process& each : gateways) {
            text += each.process->output() + "\n--\n";
        }
        return text;
    }
};

worker_standin::flaws failing(double share) {
    worker_standin::flaws wrong;
    wrong.failing = share;
    return wrong;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(rollout_live_test, rollout_fixture)

BOOST_AUTO_TEST_CASE(good_version_is_completed_before_the_deadline_and_nothing_is_lost) {
    play(milliseconds(500));
    order(8.0);
    start_new_version({});
    BOOST_TEST(play(seconds(8), [this] { return state() == "completed"; }));
    BOOST_TEST_MESSAGE("completed after ms " << millis_text(monotonic_now() - ordered_at));
    BOOST_TEST((monotonic_now() - ordered_at <= duration), logs());
    check_exposure();
    const instant end = monotonic_now();
    end_old_targets();
    play(seconds(2));
    BOOST_TEST(reached(new_targets, end) > 400U);
    run_for(milliseconds(300));
    collect();
    BOOST_TEST(lost == 0U);
    BOOST_TEST((static_cast<double>(refused) <= 0.01 * static_cast<double>(asked)), logs());
}

BOOST_AUTO_TEST_CASE(version_that_fails_in_part_is_rolled_back_in_time_and_gets_nothing_after) {
    play(milliseconds(500));
    order(10.0);
    start_new_version(failing(0.3));
    BOOST_TEST(play(seconds(12), [this] { return state() == "rolled_back"; }));
    play(milliseconds(300));
    const instant end = monotonic_now();
    play(seconds(1));
    BOOST_TEST(reached(new_targets, end) == 0U);
    check_roll_back();
    check_exposure();
}

BOOST_AUTO_TEST_CASE(version_that_turns_bad_later_is_rolled_back) {
    order(8.0);
    worker_standin::flaws wrong = failing(0.4);
    wrong.from = monotonic_now() + seconds(4);
    start_new_version(wrong);
    BOOST_TEST(play(seconds(12), [this] { return !state().empty() && state() != "running"; }));
    BOOST_TEST(state() == "rolled_back");
    check_roll_back();
    check_exposure();
}

BOOST_AUTO_TEST_CASE(version_that_is_slow_is_rolled_back) {
    order(8.0);
    worker_standin::flaws wrong;
    wrong.slower = milliseconds(40);
    start_new_version(wrong);
    BOOST_TEST(play(seconds(12), [this] { return !state().empty() && state() != "running"; }));
    BOOST_TEST(state() == "rolled_back");
    check_exposure();
}

BOOST_AUTO_TEST_CASE(deciding_gateway_that_is_killed_is_replaced) {
    order(8.0);
    start_new_version({});
    play(seconds(3));
    const auto deciding = std::find_if(gateways.begin(), gateways.end(), [](const auto& each) {
        return each.process->output().find("self=yes") != std::string::npos;
    });
    BOOST_REQUIRE((deciding != gateways.end()));
    deciding->process->signal(SIGKILL);
    run_until([&] { return deciding->process->ended(); });
    start_gateway(static_cast<std::size_t>(deciding - gateways.begin()));
    BOOST_TEST(play(seconds(12), [this] { return state() == "completed"; }), logs());
    BOOST_TEST_MESSAGE("completed after ms " << millis_text(monotonic_now() - ordered_at));
    check_exposure();
}

BOOST_AUTO_TEST_CASE(loss_of_all_gateways_keeps_the_bound_and_the_roll_out_ends) {
    order(8.0);
    start_new_version({});
    play(seconds(3));
    for (std::size_t index = 0; index < gateways.size(); ++index) {
        gateways[index].process->signal(SIGKILL);
    }
    for (std::size_t index = 0; index < gateways.size(); ++index) {
        run_until([&] { return gateways[index].process->ended(); });
        start_gateway(index);
    }
    BOOST_TEST(play(seconds(16), [this] { return state() == "completed"; }), logs());
    check_exposure();
}

BOOST_AUTO_TEST_CASE(store_that_is_dark_holds_the_state_up_and_not_the_bound) {
    order(8.0);
    start_new_version(failing(0.3));
    play(seconds(1));
    store.busy = true;
    play(seconds(4));
    check_exposure();
    check_roll_back();
    store.busy = false;
    BOOST_TEST(play(seconds(10), [this] { return state() == "rolled_back"; }), logs());
    check_exposure();
}

BOOST_AUTO_TEST_CASE(withdrawn_order_ends_the_exposure_at_once) {
    order(20.0);
    start_new_version({});
    BOOST_TEST(play(seconds(8), [this] { return reached(new_targets, ordered_at) > 5U; }));
    store.put("keyed.op", "rollout/app", std::nullopt);
    play(milliseconds(300));
    const instant end = monotonic_now();
    play(seconds(2));
    BOOST_TEST(reached(new_targets, end) == 0U);
    BOOST_TEST(lost == 0U);
}

BOOST_AUTO_TEST_CASE(second_order_after_a_roll_back_is_judged_anew) {
    order(8.0);
    start_new_version(failing(0.5));
    BOOST_TEST(play(seconds(10), [this] { return state() == "rolled_back"; }));
    for (const auto& each : new_targets) {
        store.put("keyed.servers", each->id(), std::nullopt);
    }
    new_targets.clear();
    play(milliseconds(500));
    order(8.0, "v3");
    for (int number = 1; number <= 3; ++number) {
        add_target(new_targets, "v3", number);
    }
    BOOST_TEST(play(seconds(10),
                    [this] {
                        const auto value = store.newest("keyed.status", "rollout/app");
                        return value && value->find("completed") != std::string::npos &&
                               value->find("v3") != std::string::npos;
                    }),
               logs());
    check_exposure();
}

BOOST_AUTO_TEST_CASE(deciding_gateway_that_freezes_and_wakes_changes_no_end) {
    order(8.0);
    start_new_version(failing(0.3));
    play(seconds(1));
    const auto deciding = std::find_if(gateways.begin(), gateways.end(), [](const auto& each) {
        return each.process->output().find("self=yes") != std::string::npos;
    });
    BOOST_REQUIRE((deciding != gateways.end()));
    deciding->process->signal(SIGSTOP);
    BOOST_TEST(play(seconds(12), [this] { return state() == "rolled_back"; }), logs());
    deciding->process->signal(SIGCONT);
    play(milliseconds(500));
    const instant end = monotonic_now();
    play(seconds(1));
    BOOST_TEST(reached(new_targets, end) == 0U);
    BOOST_TEST(state() == "rolled_back");
    check_exposure();
}

BOOST_AUTO_TEST_CASE(order_of_the_version_in_force_disturbs_nothing_and_is_completed) {
    play(milliseconds(500));
    const std::size_t before = refused + lost;
    order(4.0, "v1");
    BOOST_TEST(play(seconds(8), [this] { return state() == "completed"; }), logs());
    play(milliseconds(500));
    BOOST_TEST(refused + lost == before);
}

BOOST_AUTO_TEST_CASE(streams_that_run_at_old_engines_at_the_end_finish_there_before_completion) {
    service = "llm";
    old_targets.clear();
    for (int number = 1; number <= 3; ++number) {
        add_engine(old_targets, "v1", 10 + number);
    }
    run_for(milliseconds(400));
    play(
        milliseconds(500), [] { return false; }, 150.0);
    order(6.0);
    for (int number = 1; number <= 3; ++number) {
        add_engine(new_targets, "v2", 20 + number);
    }
    play(
        seconds(4), [] { return false; }, 150.0);
    // They have 4 s to go, and the order 2 s.
    std::vector<raw_socket> lasting;
    for (std::size_t number = 0; number < 9; ++number) {
        lasting.push_back(raw_socket::connect(gateways[number % 3].listen));
        lasting.back().send("POST /talk/long HTTP/1.1\r\nHost: h.test\r\nRequest-Id: long" +
                            std::to_string(number) +
                            "\r\nCredential: key-1\r\nDeadline-Ms: 9000\r\nContent-Length: 2\r\n" +
                            prompt(1000 + number) + "Connection: close\r\n\r\nhi");
    }
    const auto have_ended = [&lasting] {
        return std::all_of(lasting.begin(), lasting.end(),
                           [](raw_socket& each) { return each.ended(); });
    };
    BOOST_TEST(play(
                   seconds(6), [&] { return have_ended() || state() == "completed"; }, 150.0),
               logs());
    BOOST_TEST(have_ended(), logs());
    BOOST_TEST(play(
                   milliseconds(700), [this] { return state() == "completed"; }, 150.0),
               logs());
    BOOST_TEST_MESSAGE("completed after ms " << millis_text(monotonic_now() - ordered_at));
    check_exposure();
    end_old_targets();
    play(
        seconds(1), [] { return false; }, 150.0);
    for (raw_socket& each : lasting) {
        const std::string& answer = each.received();
        BOOST_TEST(answer.ends_with("0\r\n\r\n"));
        for (std::size_t number = 1; number <= 100; ++number) {
            BOOST_TEST(answer.find(event(number)) != std::string::npos);
        }
    }
    std::size_t lasting_at_old = 0;
    for (const auto* versions : {&old_targets, &new_targets, &ended_engines}) {
        for (const auto& each : *versions) {
            for (const message_head& head : each->seen) {
                const bool is_lasting = head.target == "/talk/long";
                BOOST_TEST(!(is_lasting && head.count("Last-Event-Id") > 0));
                lasting_at_old += is_lasting && each->version == "v1" ? 1 : 0;
            }
        }
    }
    BOOST_TEST(lasting_at_old >= lasting.size() / 2);
    run_for(milliseconds(300));
    collect();
    BOOST_TEST(lost == 0U);
}

BOOST_AUTO_TEST_CASE(order_without_targets_of_its_version_leaves_the_old_one_serving) {
    order(4.0);
    play(seconds(5));
    BOOST_TEST(state() != "completed");
    BOOST_TEST(refused + lost == 0U);
    BOOST_TEST(served > 1000U);
}

BOOST_AUTO_TEST_CASE(old_targets_that_all_crash_leave_the_new_version_its_bound) {
    order(8.0);
    start_new_version({});
    play(seconds(2));
    end_old_targets_without_a_word();
    play(seconds(2));
    check_exposure();
    BOOST_TEST(refused > 300U);
}

/// Without an order new requests go to targets of every version.
BOOST_AUTO_TEST_CASE(targets_of_several_versions_without_an_order_all_serve) {
    play(milliseconds(500));
    start_new_version({});
    const std::size_t before = store.records("keyed.rollouts").size();
    play(milliseconds(1200));
    const instant from = monotonic_now();
    play(seconds(1));
    BOOST_TEST(reached(new_targets, from) > 60U);
    BOOST_TEST(reached(old_targets, from) > 60U);
    BOOST_TEST(store.records("keyed.rollouts").size() == before);
    BOOST_TEST(state().empty());
}

BOOST_AUTO_TEST_SUITE_END()
