#pragma once

#include <Deployment/Deployment.h>
#include <Harness/Expect.h>
#include <Harness/WaitFor.h>
#include <LibCore/BootClock.h>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <memory>
#include <string>
#include <vector>

namespace Sapphire {

/// Starts a deployment, by default the small one; the test fails if this fails.
inline std::unique_ptr<Deployment> startDeployment(const DeploymentOptions &options = {},
                                                   const std::string &plan = "Settings/quick.json")
{
    return expect([&]() -> Result<std::unique_ptr<Deployment>> {
        BOOST_LEAF_AUTO(loaded, DeploymentPlan::load(plan));
        return Deployment::create(loaded, options);
    });
}

inline Poco::JSON::Object::Ptr parseObject(const std::string &text)
{
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
}

/// Sends an operator command and returns the parsed answer.
inline Poco::JSON::Object::Ptr command(Deployment &deployment, const std::string &vm, const std::string &commandText,
                                       Milliseconds wait = Milliseconds(14'000))
{
    return parseObject(expect([&] {
        return deployment.command(vm, commandText, wait);
    }));
}

inline std::string outcomeOf(const Poco::JSON::Object::Ptr &answer)
{
    return answer->getValue<std::string>("outcome");
}

/// Sends a request to a VM with a customer's key. Returns an error if the connection fails.
inline Outcome<HttpAnswer> request(Deployment &deployment, const std::string &vm, const std::string &customer,
                                   const std::string &method, const std::string &path, const std::string &id = "",
                                   Milliseconds timeout = Milliseconds(5'000))
{
    HttpHeaders headers { { "Authorization", "Bearer " + deployment.key(customer) },
                          { "Request-Timeout-Ms", std::to_string(timeout.count()) } };
    if (!id.empty()) {
        headers.emplace_back("Idempotency-Key", id);
        headers.emplace_back("Content-Length", "0");
    }
    return capture([&] {
        return HttpCall { method, "http://" + deployment.vm(vm).callerAddress + path, headers, "",
                          timeout + Milliseconds(2'000) }
            .run();
    });
}

/// Returns the VMs that the answer to a look-up names, those to use first and then the alternatives.
inline std::vector<std::string> vmsOfLookUp(const HttpAnswer &answer)
{
    std::vector<std::string> vms;
    const auto object = parseObject(answer.body);
    for (const char *list : { "vms", "alternatives" }) {
        for (const auto &entry : *object->getArray(list)) {
            vms.push_back(entry.extract<Poco::JSON::Object::Ptr>()->getValue<std::string>("vm"));
        }
    }
    return vms;
}

inline std::string reasonOf(const Outcome<HttpAnswer> &answer)
{
    return answer ? answer.value().header("Sapphire-Reason").value_or("") : "error: " + answer.error().message;
}

inline std::string verdictOf(const Outcome<HttpAnswer> &answer)
{
    return answer ? answer.value().header("Sapphire-Verdict").value_or("") : "";
}

} // namespace Sapphire
