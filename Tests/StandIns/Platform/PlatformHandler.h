#pragma once

#include <StandIns/Platform/HttpReply.h>
#include <StandIns/Platform/PlatformServerParts.h>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sapphire {

/// Answers one request by the platform's protocol (docs/design.md, section 10).
class PlatformHandler final : public Poco::Net::HTTPRequestHandler
{
public:
    explicit PlatformHandler(PlatformServerParts &parts);

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override;

private:
    /// Returns nothing if no answer is to be sent.
    std::optional<HttpReply> answer(Poco::Net::HTTPServerRequest &request);
    HttpReply route(const Poco::Net::HTTPServerRequest &request, const std::string &body);
    HttpReply answerRow(const Poco::Net::HTTPServerRequest &request, const TableName &table, const std::string &key,
                        const std::string &body);
    HttpReply readRow(const TableName &table, const std::string &key) const;
    HttpReply listRows(const TableName &table, std::string_view query) const;
    HttpReply runTransaction(const std::string &body);
    HttpReply answerObject(const std::string &method, const std::string &key, const std::string &body);

    PlatformServerParts &m_parts;
    std::vector<std::string> m_segments; ///< The decoded segments of the request's path.
    std::string m_query;
};

} // namespace Sapphire
