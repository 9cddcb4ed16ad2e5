#pragma once

#include <LibCore/Metrics.h>
#include <LibExchange/RequestHandler.h>

#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

namespace Sapphire {

/// Sends an answer to a caller over HTTP.
class HttpAnswerSink final : public AnswerSink
{
public:
    HttpAnswerSink(Poco::Net::HTTPServerResponse &response, const Poco::Net::StreamSocket &socket, VmId ownVm,
                   bool hasNoBody);

    Result<void> start(const AnswerHead &head) override;
    Result<void> write(std::span<const char> bytes) override;
    Result<void> finish() override;
    bool isCancelled() const override;

    /// Closes the connection so that the caller sees the answer as truncated.
    void abort();

private:
    [[nodiscard]] Result<void> check();

    Poco::Net::HTTPServerResponse &m_response;
    Poco::Net::StreamSocket m_socket;
    VmId m_ownVm;
    bool m_hasNoBody; ///< Whether this is the answer to a HEAD request.
    std::ostream *m_stream { nullptr };
};

} // namespace Sapphire
