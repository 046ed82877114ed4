#include <tclap/CmdLine.h>

#include <iostream>

#include "experiment/open_loop_load.hpp"
#include "main/wrenload/subcommands.hpp"
#include "wrenswitch/core/exit_codes.hpp"

namespace wrenswitch::load {

int run_load(std::vector<std::string>& words) {
    TCLAP::CmdLine command("Sends requests at times that are fixed beforehand by a seed.", ' ',
                           WRENSWITCH_VERSION);
    TCLAP::MultiArg<std::string> address("a", "address", "Where to send; requests go round.", true,
                                         "address:port", command);
    TCLAP::ValueArg<std::string> key("k", "key", "The client account's key.", false, "", "key",
                                     command);
    TCLAP::ValueArg<std::string> model("m", "model", "The model.", false, "grijac-llm", "name",
                                       command);
    TCLAP::ValueArg<std::string> service("", "service-path", "Calls a plain service instead.",
                                         false, "", "path", command);
    TCLAP::ValueArg<double> rate("r", "rate", "Requests a second.", false, 100.0, "number",
                                 command);
    TCLAP::ValueArg<unsigned> length("l", "seconds", "How long.", false, 10, "seconds", command);
    TCLAP::ValueArg<unsigned> seed("s", "seed", "Seed of the arrivals.", false, 1, "number",
                                   command);
    TCLAP::ValueArg<unsigned> tokens("", "max-tokens", "Limit of each answer.", false, 16, "tokens",
                                     command);
    TCLAP::ValueArg<unsigned> prompt("", "prompt-bytes", "Length of each prompt.", false, 200,
                                     "bytes", command);
    TCLAP::ValueArg<int> priority("", "priority", "X-Priority; -1 for none.", false, -1, "number",
                                  command);
    TCLAP::SwitchArg streamed("", "stream", "Ask for streams.", command);
    TCLAP::SwitchArg keyed("", "keyed", "Send an Idempotency-Key.", command);
    command.parse(words);

    experiment::load_settings settings;
    for (const std::string& text : address.getValue()) {
        const result<http_address> parsed = http_address::parse(text);
        if (!parsed) {
            std::cerr << parsed.error().message << '\n';
            return exit_bad_command;
        }
        settings.addresses.push_back(parsed.value());
    }
    settings.key = key.getValue();
    settings.model = model.getValue();
    settings.service_path = service.getValue();
    settings.rate = rate.getValue();
    settings.length = seconds(length.getValue());
    settings.seed = seed.getValue();
    settings.streamed = streamed.getValue();
    settings.keyed = keyed.getValue();
    settings.prompt_bytes = prompt.getValue();
    settings.max_tokens = tokens.getValue();
    settings.priority = priority.getValue();

    event_loop loop;
    experiment::open_loop_load load(loop, settings);
    std::cout << load.run().dump(2) << '\n';
    return exit_done;
}

}  // namespace wrenswitch::load
