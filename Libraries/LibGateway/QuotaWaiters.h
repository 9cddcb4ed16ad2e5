#pragma once

#include <LibGateway/GatewayRequest.h>
#include <LibSteering/CustomerQuotas.h>

#include <functional>
#include <list>
#include <unordered_map>

namespace Sapphire {

/// Gets tokens of customers' quotas from other VMs when this VM has none.
class TokenSource
{
public:
    virtual ~TokenSource() = default;

    /// Requests tokens for the customer from other VMs.
    virtual void requestTokens(const CustomerId &customer) = 0;
    /// Whether tokens for the customer may arrive soon.
    virtual bool mayReceiveTokens(const CustomerId &customer) = 0;
};

/// Admits requests that have a token of their customer's quota, and lets others wait for a token from another VM. The
/// wait is short, at most two loan requests and their replies. A request that can't expect a token is refused at once.
class QuotaWaiters
{
public:
    QuotaWaiters(EventLoop &loop, CustomerQuotas &quotas);

    void setSource(TokenSource &source)
    {
        m_source = &source;
    }
    /// Admits the request at once, lets it wait or refuses it. Calls GatewayRequest::quotaGranted(), quotaDenied() or
    /// quotaUnknown(), possibly before it returns.
    void submit(GatewayRequest &request);
    void cancel(GatewayRequest &request);
    /// Gives the available tokens to waiting requests, and refuses those that can't expect one any more.
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
    CustomerQuotas &m_quotas;
    TokenSource *m_source { nullptr };
    std::unordered_map<CustomerId, Queue> m_queues;
};

} // namespace Sapphire
