#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "platform/gateway_fleet.hpp"
#include "support/loopback_proxy.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// Three real wrengates and six accounts, whose allocators are spread over them. The last wrengate
/// stops answering while the other two serve requests.
struct silent_allocator_fixture : gateway_fleet {
    static constexpr std::size_t silent_entry = 2;
    static constexpr std::size_t accounts = 6;
    /// A request of each account at each of the two entries in turn.
    static constexpr microseconds request_interval = milliseconds(10);
    static constexpr microseconds fault_length = seconds(4);
    /// Longer than a request takes beside a busy allocator, shorter than the reply timeout.
    static constexpr microseconds delayed_time = milliseconds(50);

    struct call {
        raw_socket socket;
        instant sent_at{};
    };

    /// What the requests got that were sent during the fault.
    struct outcome {
        std::size_t sent = 0;
        std::size_t served = 0;
        std::size_t delayed = 0;
        microseconds slowest{};
    };

    worker_standin engine{loop, "i-engine"};
    std::vector<std::unique_ptr<loopback_proxy>> buses;
    std::vector<call> calls;
    outcome result;
    std::size_t last_id = 0;

    silent_allocator_fixture() : gateway_fleet(3) {
        std::string tenants;
        for (std::size_t number = 0; number < accounts; ++number) {
            const std::string name = "t" + std::to_string(number);
            tenants += (number == 0 ? "" : ",") + std::string(R"({"name":")") + name +
                       R"(","apiKeys":["key-)" + name + R"("],"prepaid":100000000})";
        }
        store.put("keyed.op", "config",
                  R"({"version":1,"routes":[
             {"name":"stream","host":"h.test","pathPrefix":"/stream/","kind":"streaming",
              "timeoutMs":4000,"targetLatencyMs":1000,"service":"llm","maxAttempts":1}],
            "services":[{"name":"llm","healthPath":"/health","maxConns":600,
              "engine":{"slots":64,"kvCapacity":1000000,"stride":3}}],
            "limits":{"maxHeaderBytes":4096,"maxBodyBytes":100000,"headerTimeoutMs":1000,
              "idleTimeoutMs":10000},"tenants":[)" +
                      tenants + "]}");
        engine.answer = [this](const ingress_exchange_pointer& exchange) {
            exchange->begin_answer(200, engine.signed_headers(exchange));
            exchange->send_piece("id: 1\ndata: e1\n\n");
            exchange->end_answer();
        };
        store.put("keyed.servers", engine.id(), engine.list_entry("llm"));
        for (entry& each : entries) {
            buses.push_back(std::make_unique<loopback_proxy>(loop, each.bus));
            more_settings = R"(,"member_endpoint":"tcp://127.0.0.1:)" +
                            std::to_string(buses.back()->port()) + R"(")";
            launch(each);
        }
        for (const entry& each : entries) {
            until_ready(each);
        }
        // Long enough for each account's tokens to be drawn by its allocator.
        offer(seconds(3));
        result = {};
    }

    void send_request() {
        const std::size_t number = last_id++;
        call next{raw_socket::connect(entries[number / accounts % silent_entry].listen),
                  monotonic_now()};
        next.socket.send("POST /stream/x HTTP/1.1\r\nHost: h.test\r\nRequest-Id: r" +
                         std::to_string(number) + "\r\nCredential: key-t" +
                         std::to_string(number % accounts) +
                         "\r\nModel: m\r\nToken-Usage: 10000,50\r\nPrefix-Hash: a1:6000,b2:4000\r\n"
                         "Connection: close\r\n"
                         "Content-Length: 2\r\n\r\nhi");
        calls.push_back(std::move(next));
        result.sent += 1;
    }

    void collect() {
        const instant now = monotonic_now();
        std::erase_if(calls, [this, now](call& each) {
            if (!each.socket.ended()) {
                return false;
            }
            const microseconds elapsed = now - each.sent_at;
            result.served += each.socket.received().starts_with("HTTP/1.1 200 ") ? 1 : 0;
            result.delayed += elapsed > delayed_time ? 1 : 0;
            result.slowest = std::max(result.slowest, elapsed);
            return true;
        });
    }

    void offer(microseconds length) {
        const instant begun = monotonic_now();
        instant next = begun;
        while (monotonic_now() - begun < length) {
            for (; next <= monotonic_now(); next += request_interval) {
                send_request();
            }
            run_for(milliseconds(1));
            collect();
        }
        run_until([this] {
            collect();
            return calls.empty();
        });
    }

    std::size_t count_lost() const {
        std::size_t count = 0;
        for (std::size_t each = 0; each < silent_entry; ++each) {
            const std::string text = entries[each].process->output();
            const std::string line = "event=token_home_lost home=" + entries[silent_entry].name;
            count += text.find(line) == std::string::npos ? 0 : 1;
        }
        return count;
    }

    /// Requests that wait for the allocator are those that were sent before its first query timed
    /// out, and one for each account and entry whenever it is tried again: three times in 4 s.
    void check_requests_go_on() {
        constexpr std::size_t retries = 3;
        constexpr std::size_t sent_before_timeout = milliseconds(60) / request_interval + 1;
        BOOST_TEST_MESSAGE(result.sent << " sent, " << result.served << " served, "
                                       << result.delayed << " delayed, slowest "
                                       << result.slowest / milliseconds(1) << " ms, lost at "
                                       << count_lost());
        BOOST_TEST(result.served == result.sent);
        BOOST_TEST(result.delayed <= silent_entry * (sent_before_timeout + retries * accounts));
        BOOST_TEST(count_lost() == silent_entry);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(silent_allocator_live_test, silent_allocator_fixture)

/// Load: 100 requests/s of six accounts at two entries. Guards against requests that wait for an
/// allocator that is gone.
BOOST_AUTO_TEST_CASE(killed_allocator_delays_few_requests) {
    entries[silent_entry].process->signal(SIGKILL);
    offer(fault_length);
    check_requests_go_on();
}

BOOST_AUTO_TEST_CASE(frozen_allocator_delays_few_requests) {
    entries[silent_entry].process->signal(SIGSTOP);
    offer(fault_length);
    check_requests_go_on();
}

BOOST_AUTO_TEST_CASE(allocator_whose_answers_are_lost_delays_few_requests) {
    buses[silent_entry]->answers_lost = true;
    offer(fault_length);
    check_requests_go_on();
}

BOOST_AUTO_TEST_SUITE_END()
