#pragma once

#include <LibGateway/GatewayRequest.h>
#include <LibSteering/QuotaBook.h>

#include <functional>
#include <list>
#include <unordered_map>

namespace Sapphire {

/// Where tokens of a customer's quota may come from when this VM has none.
class TokenSource
{
public:
    virtual ~TokenSource() = default;

    /// Asks for tokens for the customer.
    virtual void requestTokens(const CustomerId &customer) = 0;
    /// Whether tokens for the customer may come soon.
    virtual bool mayReceiveTokens(const CustomerId &customer) = 0;
};

/// Requests that wait for a token of their customer's quota from another VM. The wait is short: it takes a question
/// and its reply. A request that has no prospect of a token is refused at once.
class QuotaWaiters
{
public:
    QuotaWaiters(EventLoop &loop, QuotaBook &quotas);

    void setSource(TokenSource &source)
    {
        m_source = &source;
    }
    /// Admits the request at once, lets it wait or refuses it. Calls GatewayRequest::quotaGranted() or quotaDenied(),
    /// possibly before it returns.
    void submit(GatewayRequest &request);
    void cancel(GatewayRequest &request);
    /// Looks for tokens for the requests that wait.
    void serve();

private:
    struct Waiter
    {
        RefPointer<GatewayRequest> request;
        Deadline until;
    };
    using Queue = std::list<Waiter>;

    void serveCustomer(const CustomerId &customer);
    void reportWaiting(const CustomerId &customer);

    EventLoop &m_loop;
    QuotaBook &m_quotas;
    TokenSource *m_source { nullptr };
    std::unordered_map<CustomerId, Queue> m_queues;
};

} // namespace Sapphire
