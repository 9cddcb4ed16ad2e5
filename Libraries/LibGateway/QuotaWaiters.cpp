#include <LibGateway/QuotaWaiters.h>

namespace Sapphire {

namespace {

// Two loan requests to other regions and their replies (110 ms each).
constexpr Milliseconds longestWait { 250 };
// More waiting requests of one customer than this would not get tokens in time.
constexpr std::size_t mostWaiting = 16;

} // namespace

QuotaWaiters::QuotaWaiters(EventLoop &loop, CustomerQuotas &quotas) : m_loop(loop), m_quotas(quotas)
{
}

void QuotaWaiters::submit(GatewayRequest &request)
{
    const CustomerId customer = request.customer()->id;
    const TimePoint now = m_loop.now();
    CustomerQuota *const quota = m_quotas.find(customer);
    if (quota == nullptr) {
        request.quotaDenied(Deadline::after(now, longestWait));
        return;
    }
    quota->noteArrival(now);
    if (quota->isLimited() && !m_quotas.hasVms()) {
        request.quotaUnknown();
        return;
    }
    Queue &queue = m_queues[customer];
    if (queue.empty() && quota->take(now)) {
        request.quotaGranted();
        return;
    }
    const bool mayWait = m_source != nullptr && queue.size() < mostWaiting;
    if (mayWait) {
        queue.push_back({ &request, Deadline::after(now, longestWait) });
        reportWaiting(customer);
        m_source->requestTokens(customer);
        serveCustomer(customer);
    } else {
        request.quotaDenied(quota->nextTokenAt(now));
    }
}

void QuotaWaiters::cancel(GatewayRequest &request)
{
    if (request.customer() == nullptr) {
        return;
    }
    const auto found = m_queues.find(request.customer()->id);
    if (found != m_queues.end()) {
        found->second.remove_if([&request](const Waiter &waiter) {
            return waiter.request.get() == &request;
        });
    }
}

void QuotaWaiters::serve()
{
    std::vector<CustomerId> customers;
    for (const auto &[customer, queue] : m_queues) {
        if (!queue.empty()) {
            customers.push_back(customer);
        }
    }
    for (const CustomerId &customer : customers) {
        serveCustomer(customer);
    }
}

void QuotaWaiters::serveCustomer(const CustomerId &customer)
{
    const TimePoint now = m_loop.now();
    CustomerQuota *const quota = m_quotas.find(customer);
    const bool mayGrantLater = quota != nullptr
        && (m_source->mayReceiveTokens(customer) || quota->nextTokenAt(now) <= Deadline::after(now, longestWait));
    Queue &queue = m_queues[customer];
    while (!queue.empty()) {
        const Waiter waiter = queue.front();
        if (quota != nullptr && quota->take(now)) {
            queue.pop_front();
            waiter.request->quotaGranted();
        } else if (!mayGrantLater || waiter.until.hasPassed(now)) {
            queue.pop_front();
            waiter.request->quotaDenied(quota != nullptr ? quota->nextTokenAt(now) : Deadline(now));
        } else {
            break;
        }
    }
    reportWaiting(customer);
}

void QuotaWaiters::reportWaiting(const CustomerId &customer)
{
    if (CustomerQuota *const quota = m_quotas.find(customer)) {
        quota->setWaiting(m_queues[customer].size());
    }
}

} // namespace Sapphire
