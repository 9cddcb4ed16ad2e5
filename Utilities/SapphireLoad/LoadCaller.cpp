#include <SapphireLoad/LoadCaller.h>

#include <LibNet/SocketAddresses.h>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/String.h>

namespace Sapphire {

namespace {

constexpr Milliseconds lookUpTimeout { 2'000 };
constexpr Milliseconds timeoutMargin { 1'000 };
constexpr int firstErrorStatus = 400;
constexpr std::string_view cutAnswer = "cut";

std::string_view reasonOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::DataLoss:
        return cutAnswer;
    default:
        return "connection";
    }
}

} // namespace

std::optional<LookUpCache::Entry> LookUpCache::find(const std::string &key, TimePoint now) const
{
    const std::lock_guard guard(m_mutex);
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || found->second.expiry.hasPassed(now)) {
        return std::nullopt;
    }
    return found->second;
}

void LookUpCache::store(const std::string &key, Entry entry)
{
    const std::lock_guard guard(m_mutex);
    m_entries[key] = std::move(entry);
}

LoadCaller::LoadCaller(const LoadPlan &plan, LookUpCache &cache, std::uint64_t seed)
    : m_plan(plan), m_cache(cache), m_random(seed)
{
}

Result<HttpConnection *> LoadCaller::connectionTo(const std::string &vm, Deadline deadline)
{
    std::unique_ptr<HttpConnection> &connection = m_connections[vm];
    if (!connection || !connection->isReusable()) {
        const auto mapped = m_plan.addressMap.find(vm);
        BOOST_LEAF_AUTO(address, Ipv4Endpoint::parse(mapped == m_plan.addressMap.end() ? vm : mapped->second));
        BOOST_LEAF_ASSIGN(connection, HttpConnection::create(socketAddressOf(address), deadline));
    }
    return connection.get();
}

Outcome<HttpAnswer> LoadCaller::exchange(const std::string &vm, const std::string &request, Milliseconds timeout)
{
    const Deadline deadline = Deadline::after(m_clock.now(), timeout);
    Outcome<HttpAnswer> answer = capture([&]() -> Result<HttpAnswer> {
        BOOST_LEAF_AUTO(connection, connectionTo(vm, deadline));
        return connection->exchange(request, false, deadline);
    });
    if (!answer || Poco::icompare(answer.value().header("Connection").value_or(""), "close") == 0) {
        m_connections.erase(vm);
    }
    return answer;
}

LookUpCache::Entry LoadCaller::anyVm() const
{
    const LoadOrigin &origin = m_plan.origins[m_random.below(m_plan.origins.size())];
    return { { origin.vms[m_random.below(origin.vms.size())] }, "", {} };
}

LookUpCache::Entry LoadCaller::lookUp(const LoadCustomer &customer, const LoadOrigin &origin)
{
    if (!m_plan.usesLookUps) {
        return anyVm();
    }
    const std::string cacheKey = customer.name + "/" + origin.region;
    if (std::optional<LookUpCache::Entry> cached = m_cache.find(cacheKey, m_clock.now())) {
        return *cached;
    }
    for (std::size_t attempt = 0; attempt < origin.vms.size(); ++attempt) {
        const std::string &vm = origin.vms[m_random.below(origin.vms.size())];
        const HttpHeaders headers { { "Host", vm }, { "Authorization", "Bearer " + customer.key } };
        const Outcome<HttpAnswer> answer = exchange(vm, writeRequest("GET", "/v1/lookup", headers, ""), lookUpTimeout);
        if (!answer) {
            continue;
        }
        try {
            Poco::JSON::Parser parser;
            const auto object = parser.parse(answer.value().body).extract<Poco::JSON::Object::Ptr>();
            LookUpCache::Entry entry;
            for (const char *list : { "vms", "alternatives" }) {
                const Poco::JSON::Array::Ptr vms = object->getArray(list);
                for (unsigned i = 0; i < vms->size(); ++i) {
                    entry.vms.push_back(vms->getObject(i)->getValue<std::string>("address"));
                }
            }
            entry.requestIdPrefix = object->getValue<std::string>("requestIdPrefix");
            entry.expiry =
                Deadline::after(m_clock.now(), Milliseconds(object->getValue<std::int64_t>("ttlMilliseconds")));
            if (!entry.vms.empty()) {
                m_cache.store(cacheKey, entry);
                return entry;
            }
        } catch (const Poco::Exception &) {
            // Not a look-up's answer; the next VM may give one.
            continue;
        }
    }
    return anyVm();
}

LoadAnswer LoadCaller::call(const LoadCustomer &customer, const LoadRoute &route, const LoadOrigin &origin,
                            const std::string &idSuffix)
{
    const LookUpCache::Entry entry = lookUp(customer, origin);
    const bool isChange = route.method == "POST" || route.method == "PATCH";
    std::string id;
    if (isChange) {
        id = (m_plan.usesIssuedIds ? entry.requestIdPrefix : "") + idSuffix;
    }
    LoadAnswer answer = send(entry.vms.front(), customer, route, id);
    const bool mayTryNextVm = answer.status == 0 && answer.reason != cutAnswer && !isChange && entry.vms.size() > 1;
    if (mayTryNextVm) {
        // A caller that gets no answer repeats a read at the next VM that the look-up named. A cut one is not repeated,
        // so that it is counted.
        answer = send(entry.vms[1], customer, route, id);
    }
    return answer;
}

LoadAnswer LoadCaller::send(const std::string &vm, const LoadCustomer &customer, const LoadRoute &route,
                            const std::string &id)
{
    HttpHeaders headers { { "Host", vm },
                          { "Authorization", "Bearer " + customer.key },
                          { "Request-Timeout-Ms", std::to_string(route.timeout.count()) } };
    if (!id.empty()) {
        headers.emplace_back("Idempotency-Key", id);
    }
    const std::string request = writeRequest(route.method, "/v1/services/" + route.service + route.path, headers, "");
    Outcome<HttpAnswer> received = exchange(vm, request, route.timeout + timeoutMargin);
    LoadAnswer answer;
    if (!received) {
        answer.reason = reasonOf(received.error().code);
        return answer;
    }
    HttpAnswer &http = received.value();
    answer.status = http.status;
    answer.verdict = http.header("Sapphire-Verdict").value_or("");
    if (answer.status >= firstErrorStatus) {
        answer.reason = http.header("Sapphire-Reason").value_or("status-" + std::to_string(answer.status));
    }
    const std::string servedBy = http.header("Sapphire-Served-By").value_or("");
    answer.region = servedBy.substr(0, servedBy.find('/'));
    answer.body = std::move(http.body);
    return answer;
}

} // namespace Sapphire
