// A gateway that was told to stop takes a stream that it then cuts at its own end.

#include <map>

#include "stand/deployment.hpp"

namespace {

using namespace review;

// The engines of the site toplina-zg: tokens read in a millisecond, the length of a step, which
// makes one token of each answer, and the tokens of an event.
constexpr double prompt_tokens_a_ms = 38.4;
constexpr double step_ms = 5.23;
constexpr int tokens_an_event = 3;

// Of the same site.
constexpr long grace_ms = 8000;
constexpr long loss_slack_ms = 200;

const std::string configuration = R"({"version":7,"routes":[
  {"name":"r-review","host":"a.example","pathPrefix":"/review/","kind":"streaming",
   "timeoutMs":6000,"targetLatencyMs":600,"priority":1,"service":"llm","maxAttempts":1,
   "public":false,"sticky":true,"resumable":false,"targetGapMs":300},
  {"name":"r-setpoint","host":"a.example","pathPrefix":"/setpoint/","kind":"streaming",
   "timeoutMs":15000,"targetLatencyMs":400,"priority":2,"service":"llm","maxAttempts":1,
   "public":false,"sticky":true,"resumable":false,"targetGapMs":300}],
 "services":[{"name":"llm","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,
   "engine":{"slots":64,"kvCapacity":374509,"kvTokenBytes":163840,"linkMbps":1100000.0,
   "moves":true,"backups":true,"stride":3,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,
   "models":[{"name":"m"}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
   "idleTimeoutMs":15000},
 "tenants":[{"name":"tenant-1","apiKeys":["key-1"],"priority":1,"prepaid":2900465}]})";

/// What a client asks for.
struct question {
    std::string path;
    long prompt = 0;
    long most_output = 0;
    std::string parts;
    long deadline_ms = 0;
};

/// The largest commissioning-review of the site (6,290 + 11,300 + 39,600 tokens in), with a short
/// answer.
const question large_review{"/review/1", 57'190, 9, "a1:6290,b2:11300,c3:39600", 6000};
/// The longest setpoint-stream: 231 events.
const question long_stream{"/setpoint/1", 715, 693, "d1:103,d2:69,d3:543", 15'000};
/// A short setpoint-stream.
const question short_stream{"/setpoint/1", 715, 30, "d1:103,d2:69,e3:543", 15'000};

/// One client with its kept connection, and its last request.
struct client {
    std::string name;
    wire connection;
    std::string id;
    long sent_ms = 0;
    long deadline_ms = 0;
    bool waits = false;
};

/// What a worker knows of one request.
struct run {
    long began_ms = 0;
    long ended_ms = 0;
    bool cut = false;
};

struct play {
    record notes;
    deployment site;
    std::map<std::string, run> runs;
    std::vector<std::unique_ptr<client>> clients;
    long stopped_ms = 0;
    int served = 0;
    int lost = 0;

    explicit play(const std::string& file) : notes(file), site(temporary_folder()) {}

    /// A model worker: it reads the prompt and then makes an event each three steps.
    void serve(worker& self, const ingress_exchange_pointer& exchange) {
        const std::string id(exchange->head().header("Request-Id"));
        const std::string usage(exchange->head().header("Token-Usage"));
        const double prompt = std::stod(usage);
        const int events = std::stoi(usage.substr(usage.find(',') + 1)) / tokens_an_event;
        runs[id].began_ms = notes.elapsed_ms();
        notes.add("worker " + self.id() + " begins " + id);
        exchange->on_closed([this, id] {
            runs[id].cut = true;
            notes.add("worker sees the connection of " + id + " closed, while it works on it");
        });
        const auto read_ms = static_cast<long>(prompt / prompt_tokens_a_ms);
        site.loop.call_after(milliseconds(read_ms), [this, exchange, &self, id, events] {
            exchange->begin_answer(200, self.signature(exchange));
            make_event(exchange, id, 1, events);
        });
    }

    void make_event(const ingress_exchange_pointer& exchange, const std::string& id, int number,
                    int events) {
        if (runs[id].cut) {
            return;
        }
        exchange->send_piece("id: " + std::to_string(number) + "\ndata: text\n\n");
        if (number == events) {
            exchange->end_answer();
            runs[id].ended_ms = notes.elapsed_ms();
            notes.add("worker ended " + id);
            return;
        }
        const auto gap_us = static_cast<long>(step_ms * tokens_an_event * 1000.0);
        site.loop.call_after(microseconds(gap_us), [this, exchange, id, number, events] {
            make_event(exchange, id, number + 1, events);
        });
    }

    client& add_client(const std::string& name) {
        clients.push_back(std::make_unique<client>());
        client& added = *clients.back();
        added.name = name;
        added.connection = wire::connect(site.fronts[0].host, site.fronts[0].listen);
        return added;
    }

    void ask(client& who, const std::string& id, const question& what) {
        who.connection.forget_received();
        who.id = id;
        who.sent_ms = notes.elapsed_ms();
        who.deadline_ms = what.deadline_ms;
        who.waits = true;
        notes.add(who.name + " sends " + id + " over its kept connection, " + what.path + " " +
                  std::to_string(what.prompt) + "," + std::to_string(what.most_output));
        who.connection.send("POST " + what.path +
                            " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
                            "\r\nModel: m\r\nToken-Usage: " + std::to_string(what.prompt) + "," +
                            std::to_string(what.most_output) + "\r\nPrefix-Hash: " + what.parts +
                            "\r\nDeadline-Ms: " + std::to_string(what.deadline_ms) +
                            "\r\nCredential: key-1\r\nContent-Length: 2\r\n\r\nhi");
    }

    void look(client& who) {
        if (!who.waits) {
            return;
        }
        who.connection.read();
        const std::string& text = who.connection.received();
        const bool whole = text.ends_with("0\r\n\r\n") || who.connection.complete();
        if (whole) {
            who.waits = false;
            served += who.connection.status() == 200 ? 1 : 0;
            notes.add(who.name + " has the whole answer to " + who.id + ", status " +
                      std::to_string(who.connection.status()));
        } else if (who.connection.ended()) {
            who.waits = false;
            judge_cut(who);
        }
    }

    /// LOST, as the rules have it around a SIGTERM.
    void judge_cut(const client& who) {
        const long now = notes.elapsed_ms();
        const auto found = runs.find(who.id);
        const bool passed_on = found != runs.end();
        notes.add(who.name + ": the connection ends without a complete answer to " + who.id + ", " +
                  std::to_string(now - who.sent_ms) + " ms after it was sent, " +
                  (passed_on ? "passed on to a worker" : "not passed on"));
        const bool counts = passed_on || now - who.sent_ms > loss_slack_ms;
        const bool in_window = stopped_ms > 0 && now <= stopped_ms + grace_ms + 1000;
        const bool deadline_over = now - who.sent_ms >= who.deadline_ms;
        const bool worker_broke_off = passed_on && found->second.ended_ms > 0;
        const bool excused =
            now - stopped_ms >= grace_ms * 5 / 6 && passed_on && who.sent_ms <= stopped_ms + 3000;
        if (counts && in_window && !deadline_over && !worker_broke_off && !excused) {
            lost += 1;
            notes.add("LOST: " + who.id + ", sent " + std::to_string(who.sent_ms - stopped_ms) +
                      " ms after the SIGTERM and cut " + std::to_string(now - stopped_ms) +
                      " ms after it; its worker was at work on it");
        }
    }

    /// Lets this much time pass, in which clients take what comes.
    void pass(long length_ms) {
        const long end = notes.elapsed_ms() + length_ms;
        while (notes.elapsed_ms() < end) {
            for (const auto& each : clients) {
                look(*each);
            }
            site.run_for(milliseconds(5));
        }
    }

    int play_all() {
        for (int number = 1; number <= 3; ++number) {
            site.add_worker("i-" + std::to_string(number), "llm", "zg-borongaj", 64,
                            [this](worker& self, const ingress_exchange_pointer& exchange) {
                                serve(self, exchange);
                            });
        }
        site.configure(configuration);
        if (!site.start_front("front-zg-borongaj-1", "zg-borongaj")) {
            notes.add("could not run: the gateway is not ready");
            return could_not_run;
        }
        site.run_for(seconds(1));
        client& first = add_client("client-1");
        client& second = add_client("client-2");
        std::vector<client*> later;
        for (int number = 3; number <= 6; ++number) {
            later.push_back(&add_client("client-" + std::to_string(number)));
        }
        // Each connection is in use before the stop; it then rests for less than four fifths of
        // idleTimeoutMs, which are 12 s.
        for (const auto& each : clients) {
            ask(*each, "early-" + each->name, short_stream);
        }
        pass(800);
        if (served != static_cast<int>(clients.size())) {
            notes.add("could not run: the first requests were not served");
            return could_not_run;
        }
        // Two long streams, sent before and soon after the SIGTERM, keep the process at work.
        ask(first, "stream-1", long_stream);
        pass(500);
        stopped_ms = with_trouble() ? notes.elapsed_ms() : 0;
        if (with_trouble()) {
            site.fronts[0].process->signal(SIGTERM);
            notes.add("SIGTERM to the gateway");
        }
        pass(2600);
        ask(second, "stream-2", long_stream);
        pass(3600);
        for (std::size_t at = 0; at < later.size(); ++at) {
            ask(*later[at], "review-" + std::to_string(at + 1), large_review);
            pass(100);
        }
        pass(4000);
        if (site.fronts[0].process->ended()) {
            notes.add("the gateway has ended by itself");
        }
        notes.add(std::to_string(served) + " answers were whole, " + std::to_string(lost) +
                  " requests are lost");
        notes.add(lost > 0 ? "LOST is broken" : "LOST holds");
        return lost > 0 ? rule_broken : rule_held;
    }
};

}  // namespace

int main(int, char** arguments) {
    return play(arguments[1]).play_all();
}
