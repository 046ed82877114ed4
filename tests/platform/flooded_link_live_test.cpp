#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>

#include "platform/gateway_fleet.hpp"
#include "support/loopback_proxy.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// The link of one entry, which callers, other entries and the store share.
struct entry_link {
    /// 10 Mbit/s, the link of most entries of the platform.
    static constexpr double bytes_per_second = 1'250'000.0;
    /// `longest_queue` is what the router before the link holds of callers' bytes until senders
    /// back off.
    entry_link(event_loop& loop, const gateway_fleet::entry& entry, std::uint16_t store,
               microseconds longest_queue)
        : callers(loop, entry.listen), bus(loop, entry.bus), store_calls(loop, store) {
        callers.request_link = &inbound;
        callers.link = &outbound;
        callers.longest_queue = longest_queue;
        bus.request_link = &inbound;
        bus.link = &outbound;
        store_calls.request_link = &outbound;
        store_calls.link = &inbound;
    }

    throttled_link inbound{bytes_per_second};
    throttled_link outbound{bytes_per_second};
    loopback_proxy callers;
    loopback_proxy bus;
    loopback_proxy store_calls;
};

/// Three real wrengates with links of 10 Mbit/s, three engines, and callers of two accounts at all
/// entries and of a third at the first entry.
struct flooded_link_fixture : gateway_fleet {
    static constexpr std::size_t flood_body_bytes = 9200;
    /// Five times the link.
    static constexpr double flood_requests_per_second =
        5.0 * entry_link::bytes_per_second / flood_body_bytes;
    /// Bounds the work of the test's process, which passes on every byte. 100 bodies take 0.7 s.
    static constexpr std::size_t max_flood_connections = 100;
    static constexpr double others_requests_per_second = 10.0;

    struct call {
        std::string account;
        std::size_t at = 0;
        raw_socket socket;
    };

    worker_standin app{loop, "i-app"};
    std::array<worker_standin, 3> engines{worker_standin{loop, "i-engine-1"},
                                          worker_standin{loop, "i-engine-2"},
                                          worker_standin{loop, "i-engine-3"}};
    std::vector<std::unique_ptr<entry_link>> links;
    std::vector<call> calls;
    /// Requests at the entries beside the flooded one.
    std::size_t sent_beside = 0;
    std::size_t served_beside = 0;
    std::size_t last_id = 0;

    flooded_link_fixture() : gateway_fleet(3) {
        configure(1);
        store.put("keyed.servers", app.id(), app.list_entry("app"));
        for (worker_standin& engine : engines) {
            engine.answer = [&engine](const ingress_exchange_pointer& exchange) {
                exchange->begin_answer(200, engine.signed_headers(exchange));
                exchange->send_piece("id: 1\ndata: e1\n\n");
                exchange->end_answer();
            };
            store.put("keyed.servers", engine.id(), engine.list_entry("llm"));
        }
    }

    void configure(int version) {
        store.put("keyed.op", "config", R"({"version":)" + std::to_string(version) + R"(,"routes":[
             {"name":"long","host":"h.test","pathPrefix":"/long/","kind":"idempotent",
              "timeoutMs":4000,"targetLatencyMs":1000,"service":"app","maxAttempts":1},
             {"name":"stream","host":"h.test","pathPrefix":"/stream/","kind":"streaming",
              "resumable":true,"timeoutMs":4000,"targetLatencyMs":1000,"service":"llm",
              "maxAttempts":1}],
            "services":[{"name":"app","healthPath":"/health","maxConns":600},
             {"name":"llm","healthPath":"/health","maxConns":600,
              "engine":{"slots":64,"kvCapacity":1000000,"stride":3}}],
            "limits":{"maxHeaderBytes":4096,"maxBodyBytes":100000,"headerTimeoutMs":1000,
              "idleTimeoutMs":10000},
            "tenants":[{"name":"a","apiKeys":["key-a"],"prepaid":10000000},
              {"name":"b","apiKeys":["key-b"],"prepaid":10000000},
              {"name":"flood","apiKeys":["key-flood"]}]})");
    }

    void start(microseconds longest_queue) {
        for (entry& each : entries) {
            links.push_back(std::make_unique<entry_link>(loop, each, store.port(), longest_queue));
            service_address = "127.0.0.1:" + std::to_string(links.back()->store_calls.port());
            more_settings =
                R"(,"link_mbps":10,"share_link":true,"member_endpoint":"tcp://127.0.0.1:)" +
                std::to_string(links.back()->bus.port()) + R"(")";
            launch(each);
        }
        for (const entry& each : entries) {
            until_ready(each);
        }
        BOOST_REQUIRE(run_until([&] { return sum_of("gateway_neighbours") == 6.0; }));
    }

    void begin(std::size_t at, const std::string& account, const std::string& path,
               std::size_t body_bytes) {
        raw_socket socket = raw_socket::connect(links[at]->callers.port());
        socket.send("POST " + path + " HTTP/1.1\r\nHost: h.test\r\nRequest-Id: r" +
                    std::to_string(++last_id) + "\r\nCredential: key-" + account +
                    "\r\nModel: m\r\nToken-Usage: 1000,50\r\nPrefix-Hash: a1:600,b2:400\r\n"
                    "Connection: close\r\nContent-Length: " +
                    std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x'));
        calls.push_back({account, at, std::move(socket)});
        sent_beside += at == 0 ? 0 : 1;
    }

    void collect() {
        std::erase_if(calls, [this](call& each) {
            if (!each.socket.ended()) {
                return false;
            }
            const bool is_served = each.socket.received().starts_with("HTTP/1.1 200 ");
            served_beside += each.at != 0 && is_served ? 1 : 0;
            return true;
        });
    }

    std::size_t open_floods() const {
        return static_cast<std::size_t>(std::count_if(
            calls.begin(), calls.end(), [](const call& each) { return each.account == "flood"; }));
    }

    /// Offers all loads for a time.
    void offer(microseconds length) {
        const instant begun = monotonic_now();
        double others = 0.0;
        double floods = 0.0;
        for (microseconds elapsed{}; elapsed < length; elapsed = monotonic_now() - begun) {
            for (; others < others_requests_per_second * as_seconds(elapsed); others += 1.0) {
                for (std::size_t at = 0; at < entries.size(); ++at) {
                    begin(at, "a", "/long/x", 1000);
                    begin(at, "b", "/stream/x", 1000);
                }
            }
            for (; floods < flood_requests_per_second * as_seconds(elapsed); floods += 1.0) {
                if (open_floods() < max_flood_connections) {
                    begin(0, "flood", "/long/x", flood_body_bytes);
                }
            }
            run_for(milliseconds(1));
            collect();
        }
    }

    bool has_logged(const entry& each, const std::string& text) const {
        return each.process->output().find("event=" + text + " ") != std::string::npos;
    }

    /// Floods the first entry, changes the configuration meanwhile, and checks what all have
    /// logged.
    void check_nobody_is_presumed_lost() {
        offer(seconds(3));
        configure(2);
        offer(seconds(3));
        for (const entry& each : entries) {
            BOOST_TEST(has_logged(each, "configuration_applied version=2"),
                       each.name << " did not hear of the store");
            for (const char* event :
                 {"token_home_lost", "engine_keeper_lost", "isolated", "log_lost"}) {
                BOOST_TEST(!has_logged(each, event), each.name << " logged " << event);
            }
        }
        run_until([this] {
            collect();
            return std::none_of(calls.begin(), calls.end(),
                                [](const call& each) { return each.at != 0; });
        });
        BOOST_TEST(served_beside == sent_beside);
        BOOST_TEST(sum_of("gateway_link_refused_total") > 0.0);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(flooded_link_live_test, flooded_link_fixture)

/// Load: an account with five times the link of one of three entries, over 100 connections, whose
/// bytes share the link with messages between entries and calls to the store. Callers' bodies are
/// on the wire before their heads are refused, and queue at the router. Guards against allocators,
/// coordinators and peers that are presumed lost because their messages wait in that queue, and
/// against an entry that hears no more of the store.
BOOST_AUTO_TEST_CASE(nobody_is_presumed_lost_behind_the_bytes_of_a_flood) {
    start(milliseconds(50));
    check_nobody_is_presumed_lost();
}

BOOST_AUTO_TEST_SUITE_END()
