#pragma once

#include <Harness/HttpCall.h>
#include <LibPlatform/DeadlineSocket.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <memory>

namespace Sapphire {

/// Returns whether there is a header of that name, in any letter case.
bool hasHeader(const HttpHeaders &headers, const std::string &name);

/// Returns a whole HTTP/1.1 request, with the length of its body unless the headers state it.
std::string writeRequest(const std::string &method, const std::string &path, const HttpHeaders &headers,
                         const std::string &body);

/// A persistent HTTP connection for sequential requests of a test.
class HttpConnection
{
public:
    /// Connects. Fails with Unavailable or Timeout; the error's verdict is NotRun.
    [[nodiscard]] static Result<std::unique_ptr<HttpConnection>> create(const Poco::Net::SocketAddress &address,
                                                                        Deadline deadline);

    /// Sends a whole request and waits for its answer. Fails with Unavailable if the connection broke before an answer
    /// began, DataLoss if the answer is truncated or malformed, and Timeout; no other request may follow then. The
    /// error's verdict is MayHaveRun once a byte was sent.
    [[nodiscard]] Result<HttpAnswer> exchange(const std::string &request, bool hasNoAnswerBody, Deadline deadline);

    /// Whether another request may follow a complete answer: the peer has neither closed the connection nor sent more.
    bool isReusable()
    {
        return !m_socket->hasInput();
    }

private:
    HttpConnection();

    DeadlineSocket *m_socket; ///< Owned by m_owner.
    Poco::Net::StreamSocket m_owner;
};

} // namespace Sapphire
