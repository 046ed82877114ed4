#include "main/wrenctl/command_client.hpp"

namespace wrenswitch::ctl {

result<operator_reply> command_client::run_script(const http_address& entry,
                                                  const std::string& script) {
    http_request request;
    request.method = "POST";
    request.target = "/v1/operator/commands";
    request.headers = {{"Authorization", "Bearer " + key_}, {"Content-Type", "text/plain"}};
    request.body = script;
    request.timeout = seconds(60);
    return wait_for(entry, std::move(request));
}

result<operator_reply> command_client::fetch(const http_address& process,
                                             const std::string& target) {
    http_request request;
    request.target = target;
    request.timeout = seconds(5);
    return wait_for(process, std::move(request));
}

result<operator_reply> command_client::wait_for(const http_address& address, http_request request) {
    http_client client(loop_, address);
    result<operator_reply> answer = failed(error_code::unavailable, "No answer.");
    const auto call = client.send(std::move(request), [&](const result<http_reply>& reply) {
        loop_.stop();
        if (!reply) {
            answer = reply.error();
            return;
        }
        auto body = nlohmann::json::parse(reply.value().body, nullptr, false);
        if (body.is_discarded()) {
            answer =
                failed(error_code::damaged, "The answer of " + address.to_text() + " is not JSON.");
            return;
        }
        answer = operator_reply{reply.value().status, std::move(body)};
    });
    loop_.run();
    return answer;
}

}  // namespace wrenswitch::ctl
