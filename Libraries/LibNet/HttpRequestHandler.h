#pragma once

#include <LibCore/RefCounted.h>
#include <LibNet/HttpParser.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sapphire {

class HttpServerConnection;

/// Handles one request of a connection. The connection shares ownership of the handler with the code that processes the
/// request, so the handler may outlive the connection.
class HttpRequestHandler : public RefCounted<HttpRequestHandler>
{
public:
    virtual ~HttpRequestHandler() = default;

    /// Called when the head has arrived. The handler may answer here or later.
    virtual void begin(HttpServerConnection &connection, const HttpHead &head) = 0;
    /// Called with each piece of the body, without chunk framing. `isComplete` marks the last call, which may have no
    /// bytes.
    virtual void bodyReceived(std::string_view bytes, bool isComplete) = 0;
    /// Called when the caller has closed the connection or sent malformed HTTP. The connection must not be used any
    /// more.
    virtual void callerGone() = 0;
    /// Called when the kernel has accepted all pending output.
    virtual void outputDrained()
    {
    }
};

/// Creates the handlers of a listener's requests.
class HttpHandlerFactory
{
public:
    virtual ~HttpHandlerFactory() = default;

    virtual RefPointer<HttpRequestHandler> createHandler() = 0;
};

/// The head of an answer.
struct HttpAnswerHead
{
    int status { 200 };
    std::string reason; ///< Reason phrase; empty for the standard one.
    std::vector<HeaderField> headers; ///< Without Content-Length, Transfer-Encoding and Connection.
    std::optional<std::uint64_t> bodyBytes; ///< Empty if the length is not known in advance.
};

/// Limits of a listener's connections.
struct HttpServerLimits
{
    std::size_t headBytes { 16'384 };
    Milliseconds headTimeout { 3'000 }; ///< From the first byte of a head to the last.
    Milliseconds idleTimeout { 15'000 }; ///< Until the first request and between two requests of a connection.
};

/// Limits and closing state of the process, which apply to a listener's connections.
class HttpServerPolicy
{
public:
    static constexpr int statusHeadTooLarge = 431;

    virtual ~HttpServerPolicy() = default;

    virtual HttpServerLimits limits() const
    {
        return {};
    }
    /// The answer to a request whose head is larger than the limit.
    virtual HttpAnswerHead headTooLargeAnswer() const
    {
        return { statusHeadTooLarge, {}, {}, {} };
    }
    /// Whether connections must close after their current answer.
    virtual bool isClosing() const
    {
        return false;
    }
};

} // namespace Sapphire
