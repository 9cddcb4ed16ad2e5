#include <LibNet/SimpleHttpServer.h>

namespace Sapphire {

namespace {

constexpr int statusNotFound = 404;
constexpr int statusMethodNotAllowed = 405;

class SimpleHandler final : public HttpRequestHandler
{
public:
    explicit SimpleHandler(const SimpleHttpServer &server) : m_server(server)
    {
    }

    void begin(HttpServerConnection &connection, const HttpHead &head) override
    {
        const SimpleAnswer answer = m_server.answer(head);
        HttpAnswerHead answerHead;
        answerHead.status = answer.status;
        if (!answer.contentType.empty()) {
            answerHead.headers.push_back({ "Content-Type", answer.contentType });
        }
        connection.answer(answerHead, answer.body);
    }
    void bodyReceived(std::string_view, bool) override
    {
    }
    void callerGone() override
    {
    }

private:
    const SimpleHttpServer &m_server;
};

} // namespace

SimpleHttpServer::SimpleHttpServer(std::map<std::string, Function> functions) : m_functions(std::move(functions))
{
}

Result<std::unique_ptr<SimpleHttpServer>> SimpleHttpServer::create(EventLoop &loop,
                                                                   const Poco::Net::SocketAddress &address,
                                                                   std::map<std::string, Function> functions)
{
    std::unique_ptr<SimpleHttpServer> server(new SimpleHttpServer(std::move(functions)));
    BOOST_LEAF_ASSIGN(server->m_listener, HttpListener::create(loop, address, *server, *server));
    return server;
}

SimpleAnswer SimpleHttpServer::answer(const HttpHead &head) const
{
    const auto found = m_functions.find(head.target.substr(0, head.target.find('?')));
    if (found == m_functions.end()) {
        return { statusNotFound, {}, {} };
    }
    if (head.method != "GET" && head.method != "HEAD") {
        return { statusMethodNotAllowed, {}, {} };
    }
    return found->second(head);
}

RefPointer<HttpRequestHandler> SimpleHttpServer::createHandler()
{
    return makeRefCounted<SimpleHandler>(*this);
}

} // namespace Sapphire
