#pragma once

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "platform/gateway_fleet.hpp"
#include "platform/prompt_engine.hpp"

namespace wrenswitch::testing {

/// Some real wrengates before engines that crash when they begin to write an answer on one part of
/// a prompt, whatever else the request holds, and are back a second later.
struct prompt_crash_fleet : gateway_fleet {
    /// The crashes after which the part is to be known, and how soon it is to be known then.
    static constexpr std::size_t known_crashes = 5;
    static constexpr microseconds known_after = milliseconds(500);
    static constexpr std::size_t most_late_arrivals = 2;
    /// How long after a failure an entry may lack what the others know.
    static constexpr microseconds contact = seconds(3);
    static constexpr microseconds away = seconds(1);
    static constexpr const char* crashing_part = "dead";

    /// A request under way.
    struct call {
        raw_socket socket;
        bool is_sound = false;
        instant sent{};

        bool is_served() {
            const std::string& text = socket.received();
            return text.starts_with("HTTP/1.1 200") && text.ends_with("0\r\n\r\n");
        }
        bool is_quarantined() { return socket.received().find("quarantined") != std::string::npos; }
    };

    /// How many sound requests were sent and served, and refused as quarantined.
    struct service {
        std::size_t sent = 0;
        std::size_t served = 0;
        std::size_t quarantined = 0;
        double share() const {
            return sent == 0 ? 0.0 : static_cast<double>(served) / static_cast<double>(sent);
        }
    };

    std::vector<std::unique_ptr<prompt_engine>> engines;
    /// When engines crashed under the part, and when requests with it reached one.
    std::vector<instant> crashes;
    std::vector<instant> arrivals;
    std::deque<call> calls;
    std::size_t last_request = 0;

    explicit prompt_crash_fleet(std::size_t entry_count = 3, std::size_t engine_count = 8)
        : gateway_fleet(entry_count) {
        more_settings = R"(,"retry_share":0.5)";
        configure();
        for (std::size_t number = 1; number <= engine_count; ++number) {
            add_engine("i-" + std::to_string(number));
        }
    }

    void configure() {
        store.put("keyed.op", "config", R"({"version":1,"routes":[
            {"name":"stream","host":"h.test","pathPrefix":"/stream/","kind":"streaming",
             "timeoutMs":2000,"service":"llm","maxAttempts":1},
            {"name":"resume","host":"h.test","pathPrefix":"/resume/","kind":"streaming",
             "resumable":true,"timeoutMs":2000,"service":"llm","maxAttempts":2}],
            "services":[{"name":"llm","healthPath":"/health","maxConns":240,
              "engine":{"slots":64,"kvCapacity":1000000,"stride":3}}],
            "limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,"headerTimeoutMs":1000,
              "idleTimeoutMs":10000},
            "tenants":[{"name":"tenant","apiKeys":["key-1"],"prepaid":100000000},
             {"name":"other","apiKeys":["key-2"],"prepaid":100000000}]})");
    }

    void add_engine(const std::string& id) {
        engines.push_back(std::make_unique<prompt_engine>(
            loop, id,
            prompt_engine::hooks{[this] { arrivals.push_back(monotonic_now()); },
                                 [this, number = engines.size()] {
                                     crashes.push_back(monotonic_now());
                                     restart_later(*engines[number]);
                                 }}));
        engines.back()->crashing_part = crashing_part;
        list(*engines.back());
    }

    void list(const prompt_engine& engine) {
        store.put("keyed.servers", engine.id(), engine.list_entry());
    }

    void restart_later(prompt_engine& engine) {
        loop.call_after(away, [this, &engine] {
            engine.start_again();
            list(engine);
        });
    }

    /// An engine crashes for a reason of its own.
    void end(prompt_engine& engine) {
        if (engine.runs()) {
            engine.crash();
            restart_later(engine);
        }
    }

    void send(const entry& to, const std::string& path, const std::string& shared_parts,
              bool is_sound, const std::string& key = "key-1") {
        call& sent = calls.emplace_back();
        const std::string number = std::to_string(++last_request);
        sent.is_sound = is_sound;
        sent.sent = monotonic_now();
        sent.socket = raw_socket::connect(to.listen);
        sent.socket.send("POST " + path + "x HTTP/1.1\r\nHost: h.test\r\nRequest-Id: r" + number +
                         "\r\nCredential: " + key +
                         "\r\nDeadline-Ms: 2000\r\nModel: m\r\nToken-Usage: 200,20\r\n"
                         "Prefix-Hash: " +
                         shared_parts + ",e" + number +
                         ":20\r\nConnection: close\r\nContent-Length: " +
                         std::to_string(number.size()) + "\r\n\r\n" + number);
    }

    /// A request that crashes its engine. No two are alike but for that one part.
    void send_crashing(const entry& to, const std::string& path = "/stream/",
                       const std::string& key = "key-1") {
        send(to, path, "a1:60," + std::string(crashing_part) + ":40", false, key);
    }

    /// A request that shares its caller and all other parts with those that crash engines.
    void send_sound(const entry& to, const std::string& path = "/stream/") {
        const std::string session = "b" + std::to_string(last_request % 4);
        send(to, path, "a1:60," + session + ":40", true);
    }

    const entry& entry_in_turn(std::size_t turn) const { return entries[turn % entries.size()]; }

    /// Crashing requests at all entries in turn, with pauses between.
    void send_crashing_in_turn(std::size_t count, microseconds pause = milliseconds(200),
                               const std::string& path = "/stream/") {
        for (std::size_t turn = 0; turn < count; ++turn) {
            send_crashing(entry_in_turn(turn), path);
            run_for(pause);
        }
    }

    /// Sound requests at all entries in turn, and crashing ones beside them if that is wanted.
    void play_load(microseconds length, bool with_crashing) {
        constexpr std::size_t sound_per_crashing = 15;
        const instant until = monotonic_now() + length;
        for (std::size_t turn = 0; monotonic_now() < until; ++turn) {
            send_sound(entry_in_turn(turn));
            if (with_crashing && turn % sound_per_crashing == 0) {
                send_crashing(entry_in_turn(turn / sound_per_crashing));
            }
            run_for(milliseconds(10));
        }
    }

    void finish_calls() {
        BOOST_REQUIRE(run_until(
            [this] {
                return std::all_of(calls.begin(), calls.end(),
                                   [](call& each) { return each.socket.ended(); });
            },
            seconds(6)));
    }

    /// Sound requests that were sent from an instant on. All calls must have ended.
    service service_since(instant from) {
        service total;
        for (call& each : calls) {
            if (each.is_sound && each.sent >= from) {
                total.sent += 1;
                total.served += each.is_served() ? 1 : 0;
                total.quarantined += each.is_quarantined() ? 1 : 0;
            }
        }
        return total;
    }

    void until_all_run() {
        BOOST_REQUIRE(run_until([this] {
            return std::all_of(engines.begin(), engines.end(),
                               [](const auto& each) { return each->runs(); });
        }));
        run_for(milliseconds(400));
    }

    /// Requests with the part that reached engines later than the part was to be known. `excused`
    /// is when the last failure of an entry or of the log ended.
    std::size_t late_arrivals(instant excused = {}) const {
        if (crashes.size() < known_crashes) {
            return 0;
        }
        const instant from = std::max(crashes[known_crashes - 1] + known_after, excused);
        return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(),
                                                      [from](instant at) { return at > from; }));
    }
};

}  // namespace wrenswitch::testing
