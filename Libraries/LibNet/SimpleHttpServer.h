#pragma once

#include <LibNet/HttpListener.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Sapphire {

/// A small answer that is available at once.
struct SimpleAnswer
{
    int status { 200 };
    std::string contentType;
    std::string body;
};

/// Serves a fixed set of paths with functions that must not block.
class SimpleHttpServer final : private HttpHandlerFactory, private HttpServerPolicy
{
public:
    using Function = std::function<SimpleAnswer(const HttpHead &)>;

    /// Fails with Unavailable if the address can't be used.
    [[nodiscard]] static Result<std::unique_ptr<SimpleHttpServer>>
    create(EventLoop &loop, const Poco::Net::SocketAddress &address, std::map<std::string, Function> functions);

    /// Returns the answer to a request: 404 for an unknown path, 405 for a method other than GET or HEAD.
    SimpleAnswer answer(const HttpHead &head) const;

private:
    explicit SimpleHttpServer(std::map<std::string, Function> functions);

    RefPointer<HttpRequestHandler> createHandler() override;

    std::map<std::string, Function> m_functions; ///< By path.
    std::unique_ptr<HttpListener> m_listener;
};

} // namespace Sapphire
