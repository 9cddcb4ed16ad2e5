#pragma once

#include <LibCaller/ConnectionGuard.h>
#include <LibCaller/EntryHandler.h>
#include <LibCaller/KeyCheck.h>
#include <LibCaller/LookUp.h>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

namespace Sapphire {

/// Answers the HTTP requests of callers: look-ups, service requests and queries for the state of a request id.
class CallerEndpoint
{
public:
    struct Parts
    {
        const ConfigurationSource &configuration;
        const KeyCheck &keys;
        const LookUp &lookUp;
        EntryHandler &entry;
        RequestStates &states;
        const ServingState &serving;
        const Clock &clock;
        Metrics &metrics;
        Tracer &tracer;
    };

    struct Settings
    {
        VmId vm;
        std::uint64_t mostBodyBytes { 64ULL << 20U };
    };

    CallerEndpoint(Parts parts, Settings settings);

    /// Answers one request. While a service request runs, the watch's deadline is set shortly after that of the
    /// request.
    void answer(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                const Poco::Net::StreamSocket &socket, ConnectionGuard::Watch &watch) const;

private:
    struct Call
    {
        Poco::Net::HTTPServerRequest &request;
        Poco::Net::HTTPServerResponse &response;
        const Poco::Net::StreamSocket &socket;
        ConnectionGuard::Watch &watch;
    };

    void answerLookUp(Call &call) const;
    void answerRequestState(Call &call, const std::string &id) const;
    void answerService(Call &call, const std::string &rest) const;
    std::variant<RequestHead, Refusal> readHead(Call &call, const std::string &rest) const;
    std::optional<Refusal> readOptions(Call &call, const ServiceRecord &service, RequestHead &head) const;
    void run(Call &call, RequestHead head) const;
    void refuse(Call &call, Refusal refusal, const CustomerId &customer) const;
    void recordMetrics(const RequestHead &head, const ExchangeReport &report, TimePoint startedAt) const;

    Parts m_parts;
    Settings m_settings;
};

} // namespace Sapphire
